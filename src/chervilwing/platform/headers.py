"""The platform's header fields, read into the gateway's types and written from them."""

import uuid

from ..addresses import format_address
from ..demands import Demand, PromptPart
from ..dialects import Dialect, Verdict, end_to_end, read_limit

REQUEST_ID = "x-request-id"
DEADLINE = "x-deadline-ms"
TOKEN_COUNT = "x-token-count"
PROMPT_PREFIX = "x-prompt-prefix"
LENGTH_HINT = "x-length-hint"
LAST_EVENT = "last-event-id"
EXPECTED_UPSTREAM = "x-expect-instance"
ORGANISATION = "x-tenant"
URGENCY = "x-request-urgency"
# The address from which an upstream fetches what it lacks of the prompt.
FETCH = "kv-fetch"
NOT_RUN = "x-not-run"
# Signs an answer as the upstream's own.
SIGNATURE = "x-server-stamp"
# The requests a second that the upstream takes from all instances together.
LIMIT = "server-limit"
MISDIRECTED = 421
LEAST_URGENT = 9
# What only the gateway may say to an upstream; callers' own words are left out.
RESERVED = frozenset(
    {
        "authorization",
        EXPECTED_UPSTREAM,
        ORGANISATION,
        URGENCY,
        "x-expect-version",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        FETCH,
        NOT_RUN,
    }
)


def read_numbers(text, count):
    """Return whole numbers of a comma list, or zeros where it is malformed."""
    parts = text.split(",")
    if len(parts) != count or not all(part.strip().isdecimal() for part in parts):
        return (0,) * count
    return tuple(int(part) for part in parts)


def read_parts(text):
    """Return the prompt's parts of ``ID:TOKENS,...``."""
    pairs = (entry.strip().partition(":") for entry in text.split(",") if entry)
    return tuple(
        PromptPart(name, int(tokens)) for name, _, tokens in pairs if tokens.isdecimal()
    )


def read_demand(req, now, longest):
    """Return what a request asks; ``longest`` are the seconds its route allows."""
    headers = req.headers
    given = headers.get(DEADLINE, "")
    seconds = int(given) / 1000 if given.isdecimal() else longest
    prompt, output = read_numbers(headers.get(TOKEN_COUNT, ""), 2)
    hint = headers.get(LENGTH_HINT, "")
    return Demand(
        # Without one, requests are still told apart here.
        headers.get(REQUEST_ID) or uuid.uuid4().hex,
        now + min(seconds, longest),
        prompt,
        output,
        int(hint) if hint.isdecimal() else output,
        read_parts(headers.get(PROMPT_PREFIX, "")),
        headers.get(LAST_EVENT, ""),
    )


def write_headers(headers, errand):
    """Return the fields for an upstream."""
    kept = end_to_end(headers)
    kept = {name: value for name, value in kept.items() if name not in RESERVED}
    kept[DEADLINE] = str(max(1, int(errand.seconds_left * 1000)))
    kept[EXPECTED_UPSTREAM] = errand.upstream
    if errand.organisation:
        kept[ORGANISATION] = errand.organisation
    if errand.urgency is not None:
        kept[URGENCY] = str(min(LEAST_URGENT, max(0, errand.urgency)))
    if errand.source is not None:
        kept[FETCH] = format_address(errand.source)
    if errand.last_event:
        kept[LAST_EVENT] = errand.last_event
    return kept


def judge(status, headers):
    """Return what an answer's head says of the request."""
    if status == MISDIRECTED:
        # Another upstream answered, which says nothing of this one.
        return Verdict(not_run=True)
    if NOT_RUN in headers:
        return Verdict(not_run=True, limit=judge_limit(headers))
    success = 200 <= status < 300
    sound = "content-encoding" not in headers and (SIGNATURE in headers or not success)
    return Verdict(sound=sound, limit=judge_limit(headers) if sound else None)


def judge_limit(headers):
    """Return the limit that an answer names; see Verdict.

    Guard: a failure may come from something before the upstream. That none is named
    counts only in an answer that the upstream has signed; taken from another one, it
    would lift a limit that holds.
    """
    unnamed = "inf" if SIGNATURE in headers else ""
    return read_limit(headers.get(LIMIT, unnamed))


def is_for(head, request_id):
    """Tell whether an answer belongs to the request of this id."""
    return head.headers.get(REQUEST_ID, request_id) == request_id


def measure_cost(demand, organisation):
    """Return what a request takes from its organisation's allowance."""
    if organisation is None or not organisation.plain_cost:
        return 1.0
    tokens = demand.prompt_tokens + demand.output_tokens
    return float(tokens or organisation.plain_cost)


def write_return(seconds):
    """Return the time to come back; the platform's clients read fractions."""
    return f"{seconds:.2f}"


DIALECT = Dialect(read_demand, write_headers, judge, is_for, measure_cost, write_return)
