"""Read a request's id and estimate its size for the scheduler."""

import hashlib
import re
import uuid

from .exceptions import BadRequest

REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")
# Only an engine can count the tokens of a prompt. To compare the sizes of requests
# before they have run, 4 characters per token are precise enough.
CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256


def has_caller_id(exchange):
    """Return whether the caller sent a request id."""
    return "x-request-id" in exchange.req.headers


def read_request_id(headers):
    """Return the caller's request id or a new one; raise BadRequest if invalid."""
    given = headers.get("x-request-id", "")
    if not given:
        return uuid.uuid4().hex
    if not REQUEST_ID.match(given):
        raise BadRequest(
            "X-Request-Id must be 1 to 64 characters from A-Z a-z 0-9 . _ -"
        )
    return given


def estimate_size(completion):
    """Return a model request's sizes in tokens and a digest of its prompt's start."""
    prefix = completion.prompt[:PREFIX_CHARACTERS].encode()
    return {
        "prompt_tokens": len(completion.prompt) // CHARACTERS_PER_TOKEN + 1,
        "max_tokens": completion.max_tokens,
        "prefix": hashlib.blake2b(prefix, digest_size=8).hexdigest(),
    }
