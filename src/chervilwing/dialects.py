"""Translation between HTTP header fields and the gateway's own types.

The gateway itself reads standard HTTP header fields only. A dialect reads a caller's
header fields into a Demand, writes those of a request to an upstream, and interprets
those of the upstream's answer.
"""

import re
import uuid
from collections.abc import Callable
from email.utils import parsedate_to_datetime
from math import ceil
from typing import NamedTuple

from .addresses import format_address
from .demands import Demand
from .models import Address
from .stream_moves.calls import (
    CallNames,
    MoveCalls,
    StreamCopy,
    format_copy,
    make_move_calls,
)
from .upstream_pace import StatedLoad, read_stated_load

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

UNAVAILABLE = 503
DELAY_SECONDS = re.compile(r"[0-9]+(?:\.[0-9]*)?\Z")
# The copy from which a request goes on, and the upstream that keeps a copy of a run.
COPY = "chervilwing-copy"
BACKUP = "chervilwing-backup"
# Fields that only the gateway may send to an upstream; a caller's are dropped.
RESERVED = ("authorization", COPY, BACKUP)
MOVE_NAMES = CallNames(
    copy_path="/-/chervilwing-copy",
    free_path="/-/chervilwing-copies/",
    report_path="/-/chervilwing-runs",
    request_id="id",
    target="target",
    last="last",
    handle="handle",
    runs="runs",
)
# Longest time in seconds that an upstream may ask to be left alone; a larger value in a
# faulty answer would take it out of service for good.
MAX_RETRY_AFTER = 600.0


class AnswerStatus(NamedTuple):
    """What the status and header fields of an upstream's answer state.

    ``not_run`` means that the request certainly has not run and never will.
    ``authentic`` is False for an answer that the upstream itself can't have sent.
    ``limit`` is the rate, in requests per second, that the upstream accepts from all
    instances together: infinity if it states no limit, None if that is unknown.
    ``refusals`` is how many requests a second it may have to refuse, from all instances
    together, before it falls over; infinity and None mean the same.
    ``leaving`` means that the upstream is about to end. ``retry_after`` is the time in
    seconds for which it wants no requests from this instance, None if it states none.
    ``load`` is the load that the upstream states, None if it states none that is
    plausible.
    """

    not_run: bool = False
    authentic: bool = True
    limit: float | None = None
    refusals: float | None = None
    leaving: bool = False
    retry_after: float | None = None
    load: StatedLoad | None = None


class AttemptContext(NamedTuple):
    """Data of one attempt that is written into its header fields.

    ``seconds_left`` is the time until the deadline, ``urgency`` a priority (0 is most
    urgent), ``last_event`` the id after which a stream resumes. ``source`` is the
    Address of another upstream from which this one may fetch parts of the prompt.
    ``copy`` is the StreamCopy from which the request goes on, and ``backup`` the
    Address of another upstream that keeps a copy of this run.
    """

    upstream: str
    organisation: str
    seconds_left: float
    urgency: int | None = None
    last_event: str = ""
    source: Address | None = None
    copy: StreamCopy | None = None
    backup: Address | None = None


class Dialect(NamedTuple):
    """The functions that depend on a platform's header fields.

    ``read_demand`` accepts a request, the current time and the route's time limit in
    seconds, and returns a Demand. ``write_headers`` accepts the caller's header fields
    and an AttemptContext, and returns the fields for the upstream. ``read_answer_head``
    accepts the status and header fields of an answer and returns an AnswerStatus.
    ``belongs_to`` accepts the head of an answer and a request id, and returns whether
    they match. ``measure_cost`` returns what a request is charged to its organisation's
    allowance.
    ``format_retry_after`` accepts seconds and returns the value of Retry-After.
    ``moves`` holds the calls about copies of running streams.
    """

    read_demand: Callable
    write_headers: Callable
    read_answer_head: Callable
    belongs_to: Callable
    measure_cost: Callable
    format_retry_after: Callable
    moves: MoveCalls | None = None


def select_end_to_end(headers):
    """Return the fields without the hop-by-hop ones (RFC 9110, section 7.6.1)."""
    connection_fields = headers.get("connection", "").lower().split(",")
    excluded = HOP_BY_HOP | {name.strip() for name in connection_fields}
    return {name: value for name, value in headers.items() if name not in excluded}


def _read_demand(req, now, time_limit):
    timeout = req.headers.get("chervilwing-timeout", "")
    seconds = float(timeout) if timeout.replace(".", "", 1).isdigit() else time_limit
    request_id = req.headers.get("x-request-id") or uuid.uuid4().hex
    return Demand(
        request_id,
        now + min(seconds, time_limit),
        last_event=req.headers.get("last-event-id", ""),
        resumes=req.headers.get("chervilwing-resumes", ""),
    )


def _write_headers(headers, context):
    fields = select_end_to_end(headers)
    for name in RESERVED:
        fields.pop(name, None)
    fields["chervilwing-timeout"] = f"{context.seconds_left:.3f}"
    fields["chervilwing-customer"] = context.organisation
    if context.last_event:
        fields["last-event-id"] = context.last_event
    if context.copy is not None:
        fields[COPY] = format_copy(context.copy)
    if context.backup is not None:
        fields[BACKUP] = format_address(context.backup)
    return fields


def read_limit(text):
    """Return the requests per second that a header field states, or None."""
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if limit >= 0.0 else None


def read_flag(text):
    """Return whether a header field, which may be repeated, is set to 1."""
    return "1" in [part.strip() for part in text.split(",")]


def read_retry_after(status, headers):
    """Return the seconds that the Retry-After of a 503 states, or None.

    RFC 9110, section 10.2.3, allows whole seconds or a date; fractions are read as
    well. A date is compared with the answer's own, as the upstream's clock may differ
    from this machine's. Of repeated values the longest counts.
    """
    if status != UNAVAILABLE:
        return None
    text = headers.get("retry-after", "")
    parts = [part.strip() for part in text.split(",")]
    delays = [float(part) for part in parts if DELAY_SECONDS.match(part)]
    if not delays:
        delays = _read_retry_date(text, headers.get("date", ""))
    return min(MAX_RETRY_AFTER, max(0.0, *delays)) if delays else None


def _read_retry_date(text, sent_at):
    """Return the seconds between two HTTP dates as a list, empty if one is invalid."""
    try:
        delay = parsedate_to_datetime(text) - parsedate_to_datetime(sent_at)
    except (TypeError, ValueError, OverflowError):
        return []
    return [delay.total_seconds()]


def _read_answer_head(status, headers):
    return AnswerStatus(
        not_run=headers.get("chervilwing-outcome") == "not_run",
        limit=read_limit(headers.get("chervilwing-limit", "inf")),
        refusals=read_limit(headers.get("chervilwing-refusal-limit", "inf")),
        leaving=read_flag(headers.get("chervilwing-leaving", "")),
        retry_after=read_retry_after(status, headers),
        load=read_stated_load(headers.get("chervilwing-load", "")),
    )


def _belongs_to(head, request_id):
    return head.headers.get("x-request-id", request_id) == request_id


def _format_retry_after(seconds):
    # RFC 9110, section 10.2.3: whole seconds. Rounding up ensures that the caller does
    # not return too early.
    return str(max(1, ceil(seconds)))


def _measure_cost(demand, organisation):
    return 1.0


# The project's own header fields, for use without a platform.
PLAIN = Dialect(
    _read_demand,
    _write_headers,
    _read_answer_head,
    _belongs_to,
    _measure_cost,
    _format_retry_after,
    make_move_calls(MOVE_NAMES),
)
