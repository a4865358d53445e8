"""Digests that identify a request by its content, whatever its id."""

from functools import lru_cache
from hashlib import blake2b

# Digest sizes in bytes.
CONTENT_DIGEST_SIZE = 12
RETRY_DIGEST_SIZE = 8
# Digests of parts that are kept, as popular parts come with most requests.
MAX_CACHED_DIGESTS = 1024


def make_fingerprint(req):
    """Return the hex digest of the request's method, target and body."""
    text = f"{req.method} {req.path}?{req.query}\n".encode() + req.body
    return blake2b(text, digest_size=CONTENT_DIGEST_SIZE).hexdigest()


def make_retry_fingerprint(req, customer=""):
    """Return the hex digest that is the same for all retries of one request.

    It covers the content, the host and the customer, but not which of the customer's
    keys was used. Header fields are excluded, as ids, deadlines and the event from
    which a stream resumes differ between retries.
    """
    host = req.headers.get("host", "").partition(":")[0].lower()
    text = f"{host}\n{customer}\n{make_fingerprint(req)}"
    return blake2b(text.encode(), digest_size=RETRY_DIGEST_SIZE).hexdigest()


@lru_cache(MAX_CACHED_DIGESTS)
def make_part_fingerprint(name):
    """Return the hex digest of a prompt part, whichever customer's request has it."""
    text = f"part\n{name}"
    return blake2b(text.encode(), digest_size=RETRY_DIGEST_SIZE).hexdigest()
