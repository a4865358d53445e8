"""How the gateway's callers and upstreams say what it has to know of a request.

The gateway itself reads no header but those of HTTP. A dialect reads the caller's into
a Demand, writes the upstream's, and judges what an upstream answered.
"""

import uuid
from collections.abc import Callable
from math import ceil
from typing import NamedTuple

from .demands import Demand
from .models import Address

# RFC 9110, section 7.6.1: fields that concern one connection only.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "host",
    }
)


class Verdict(NamedTuple):
    """What the head of an upstream's answer says.

    ``not_run`` is a promise. ``sound`` is False for an answer that can't be the
    upstream's own. ``limit`` are the requests a second that the upstream takes from all
    instances together: infinity where it names none, None where that isn't known.
    """

    not_run: bool = False
    sound: bool = True
    limit: float | None = None


class Errand(NamedTuple):
    """One attempt: to which upstream, for whom, with how many seconds left.

    ``source`` is the Address of an upstream that may have what this one lacks.
    """

    upstream: str
    organisation: str
    seconds_left: float
    urgency: int | None = None
    last_event: str = ""
    source: Address | None = None


class Dialect(NamedTuple):
    """The functions in which one platform's headers differ from another's.

    ``read_demand`` takes a request, the time now and the most seconds it may take.
    ``write_headers`` takes the caller's header fields and the Errand. ``judge`` takes
    status and fields of an answer, ``is_for`` tells whether it belongs to the request
    of that id. ``cost`` is what a request takes from its organisation's allowance, and
    ``write_return`` writes the seconds until a caller may come back.
    """

    read_demand: Callable
    write_headers: Callable
    judge: Callable
    is_for: Callable
    cost: Callable
    write_return: Callable


def end_to_end(headers):
    """Return the fields that are passed on (RFC 9110, section 7.6.1)."""
    named = headers.get("connection", "").lower().split(",")
    left_out = HOP_BY_HOP | {name.strip() for name in named}
    return {name: value for name, value in headers.items() if name not in left_out}


def _read_demand(req, now, longest):
    given = req.headers.get("chervilwing-timeout", "")
    seconds = float(given) if given.replace(".", "", 1).isdigit() else longest
    request_id = req.headers.get("x-request-id") or uuid.uuid4().hex
    return Demand(request_id, now + min(seconds, longest))


def _write_headers(headers, errand):
    kept = end_to_end(headers)
    kept.pop("authorization", None)
    kept["chervilwing-timeout"] = f"{errand.seconds_left:.3f}"
    kept["chervilwing-customer"] = errand.organisation
    if errand.last_event:
        kept["last-event-id"] = errand.last_event
    return kept


def read_limit(text):
    """Return the requests a second that a header field names, or None."""
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if limit >= 0.0 else None


def _judge(status, headers):
    not_run = headers.get("chervilwing-outcome") == "not_run"
    return Verdict(not_run, limit=read_limit(headers.get("chervilwing-limit", "inf")))


def _is_for(head, request_id):
    return head.headers.get("x-request-id", request_id) == request_id


def _write_return(seconds):
    # RFC 9110, section 10.2.3: whole seconds; rounding up keeps the promise.
    return str(max(1, ceil(seconds)))


def _cost(demand, organisation):
    return 1.0


# The product's own header fields, for use without a platform.
PLAIN = Dialect(_read_demand, _write_headers, _judge, _is_for, _cost, _write_return)
