"""The platform's header fields: decoding into the gateway's types and encoding."""

import uuid

from ..addresses import format_address
from ..decimals import read_number
from ..demands import Demand, PromptPart
from ..dialects import (
    AnswerStatus,
    Dialect,
    read_flag,
    read_limit,
    read_retry_after,
    select_end_to_end,
)
from ..stream_moves.calls import CallNames, format_copy, make_move_calls
from ..upstream_pace import read_stated_load

REQUEST_ID = "x-request-id"
DEADLINE = "x-deadline-ms"
TOKEN_COUNT = "x-token-count"
PROMPT_PREFIX = "x-prompt-prefix"
LENGTH_HINT = "x-length-hint"
LAST_EVENT = "last-event-id"
# The X-Request-Id of the client attempt that brought a stream's first event.
RESUMES = "resumes"
EXPECTED_UPSTREAM = "x-expect-instance"
ORGANISATION = "x-tenant"
URGENCY = "x-request-urgency"
# The address from which an upstream fetches missing parts of the prompt's KV cache.
FETCH = "kv-fetch"
NOT_RUN = "x-not-run"
# The copy of a run from which a request goes on, and the upstream that keeps a backup.
COPY = "kv-from"
BACKUP = "x-kv-backup"
# Present in answers that come from the upstream itself.
SIGNATURE = "x-server-stamp"
# The requests per second that the upstream accepts from all instances together.
LIMIT = "server-limit"
# The refusals per second, of all instances together, after which the upstream fails.
BRITTLE = "server-brittle"
# Set to 1 in all answers of an upstream that is about to end.
LEAVING = "server-leaving"
# Running and waiting calls, slots and, from some upstreams, the pace in per cent.
LOAD = "x-server-load"
MISDIRECTED = 421
LEAST_URGENT = 9
MOVE_NAMES = CallNames(
    copy_path="/-/kv-move",
    free_path="/-/kv-handle/",
    report_path="/-/report",
    request_id="id",
    target="target",
    last="last",
    handle="handle",
    runs="runs",
)
# Fields that only the gateway may send to an upstream; a caller's are dropped.
RESERVED = frozenset(
    {
        "authorization",
        EXPECTED_UPSTREAM,
        ORGANISATION,
        URGENCY,
        "x-expect-version",
        "x-hold",
        "x-pin-ms",
        BACKUP,
        COPY,
        FETCH,
        NOT_RUN,
    }
)


def read_numbers(text, count):
    """Return ``count`` integers of a comma-separated list, zeros if it is malformed."""
    numbers = tuple(read_number(part.strip()) for part in text.split(","))
    if len(numbers) != count or None in numbers:
        return (0,) * count
    return numbers


def read_parts(text):
    """Return the PromptParts of ``ID:TOKENS,...``."""
    pairs = (entry.strip().partition(":") for entry in text.split(",") if entry)
    parts = (PromptPart(name, read_number(tokens)) for name, _, tokens in pairs)
    return tuple(part for part in parts if part.tokens is not None)


def read_demand(req, now, time_limit):
    """Return the Demand of a request; ``time_limit`` is its route's, in seconds."""
    headers = req.headers
    deadline_ms = read_number(headers.get(DEADLINE, ""))
    seconds = time_limit if deadline_ms is None else deadline_ms / 1000
    prompt, output = read_numbers(headers.get(TOKEN_COUNT, ""), 2)
    hint = read_number(headers.get(LENGTH_HINT, ""))
    return Demand(
        # Requests without an id still need a unique one in the gateway.
        headers.get(REQUEST_ID) or uuid.uuid4().hex,
        now + min(seconds, time_limit),
        prompt,
        output,
        output if hint is None else hint,
        read_parts(headers.get(PROMPT_PREFIX, "")),
        headers.get(LAST_EVENT, ""),
        headers.get(RESUMES, ""),
    )


def write_headers(headers, context):
    """Return the header fields of an attempt at an upstream."""
    fields = select_end_to_end(headers)
    fields = {name: value for name, value in fields.items() if name not in RESERVED}
    fields[DEADLINE] = str(max(1, int(context.seconds_left * 1000)))
    fields[EXPECTED_UPSTREAM] = context.upstream
    if context.organisation:
        fields[ORGANISATION] = context.organisation
    if context.urgency is not None:
        fields[URGENCY] = str(min(LEAST_URGENT, max(0, context.urgency)))
    if context.source is not None:
        fields[FETCH] = format_address(context.source)
    if context.last_event:
        fields[LAST_EVENT] = context.last_event
    if context.copy is not None:
        fields[COPY] = format_copy(context.copy)
    if context.backup is not None:
        fields[BACKUP] = format_address(context.backup)
    return fields


def read_answer_head(status, headers):
    """Return the AnswerStatus of an answer's status and header fields."""
    if status == MISDIRECTED:
        # Another upstream answered at this address; what it states does not apply to
        # the expected one.
        return AnswerStatus(not_run=True)
    success = 200 <= status < 300
    not_run = NOT_RUN in headers
    authentic = not_run or (
        "content-encoding" not in headers and (SIGNATURE in headers or not success)
    )
    if not authentic:
        return AnswerStatus(authentic=False)
    return AnswerStatus(
        not_run,
        limit=read_stated_limit(headers, LIMIT),
        refusals=read_stated_limit(headers, BRITTLE),
        leaving=read_flag(headers.get(LEAVING, "")),
        retry_after=read_retry_after(status, headers),
        load=read_stated_load(headers.get(LOAD, "")),
    )


def read_stated_limit(headers, name):
    """Return the limit that an answer states in this field; see AnswerStatus.

    An error may come from a proxy in front of the upstream. Therefore a missing limit
    means "no limit" only in an answer with the upstream's signature; otherwise such an
    error would remove a limit that still applies.
    """
    default = "inf" if SIGNATURE in headers else ""
    return read_limit(headers.get(name, default))


def belongs_to(head, request_id):
    """Return whether an answer belongs to the request with this id."""
    return head.headers.get(REQUEST_ID, request_id) == request_id


def measure_cost(demand, organisation):
    """Return what a request is charged to its organisation's allowance."""
    if organisation is None or not organisation.plain_cost:
        return 1.0
    tokens = demand.prompt_tokens + demand.output_tokens
    return float(tokens or organisation.plain_cost)


def format_retry_after(seconds):
    """Return the value of Retry-After; the platform's clients accept fractions."""
    return f"{seconds:.2f}"


DIALECT = Dialect(
    read_demand,
    write_headers,
    read_answer_head,
    belongs_to,
    measure_cost,
    format_retry_after,
    make_move_calls(MOVE_NAMES),
)
