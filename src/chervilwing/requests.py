"""What a request says of itself: its id, and its size as the scheduler weighs it."""

import hashlib
import re
import uuid

from .exceptions import BadRequest

REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")
# Tokens are counted by the engines; before one has answered, four characters a token is
# near enough to weigh requests against each other.
CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256


def is_named(exchange):
    """Tell whether the caller gave its request an id of its own."""
    return "x-request-id" in exchange.req.headers


def read_request_id(headers):
    """Return the caller's request id, or a new one."""
    given = headers.get("x-request-id", "")
    if not given:
        return uuid.uuid4().hex
    if not REQUEST_ID.match(given):
        raise BadRequest("X-Request-Id must be 1 to 64 of A-Z a-z 0-9 . _ -")
    return given


def measure(completion):
    """Return what the scheduler wants to know of a model request's size."""
    prefix = completion.prompt[:PREFIX_CHARACTERS].encode()
    return {
        "prompt_tokens": len(completion.prompt) // CHARACTERS_PER_TOKEN + 1,
        "max_tokens": completion.max_tokens,
        "prefix": hashlib.blake2b(prefix, digest_size=8).hexdigest(),
    }
