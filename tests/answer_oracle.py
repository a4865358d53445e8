"""What each caller must get, judged by what upstreams ran and callers read."""

from typing import NamedTuple

from tests.generated_answers import (
    EXCESS,
    LEAVES,
    WHOLE,
    GeneratedAnswer,
    GeneratedRequest,
    make_answer_body,
)

STAMP = "x-server-stamp"
# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Seconds after which a request may have met its deadline.
NEARLY_DEADLINE = 2.8


class Run(NamedTuple):
    """One run of a request at an upstream."""

    answer: GeneratedAnswer
    method: str
    body: bytes


class Reading(NamedTuple):
    """What a caller read of an answer; the status is 0 without a head.

    ``whole`` is how it looks to the caller, ``seconds`` the time since the request.
    """

    req: GeneratedRequest
    status: int
    headers: dict
    body: bytes
    whole: bool
    seconds: float


def list_faults(reading, runs):
    """Return what is wrong with a reading, given the runs of its request."""
    req = reading.req
    faults = []
    if req.path.startswith("/note/") and len(runs) > 1:
        faults.append(f"ran {len(runs)} times")
    faults += [
        f"an upstream got {run.method} with {len(run.body)} bytes"
        for run in runs
        if (run.method, run.body) != (req.method, req.body)
    ]
    if reading.status:
        faults += list_answer_faults(reading, runs)
    if not reading.whole and is_owed(reading, runs):
        faults.append("a whole answer was cut")
    return faults


def list_answer_faults(reading, runs):
    """Return what is wrong with an answer whose head was read."""
    stamp = reading.headers.get(STAMP)
    if stamp is None:
        return list_refusal_faults(reading, runs)
    request_id, _, number = stamp.rpartition(".")
    if request_id != reading.req.id or int(number) >= len(runs):
        return [f"the answer belongs to {stamp}"]
    answer = runs[int(number)].answer
    faults = []
    if reading.status != answer.status:
        faults.append(f"status {reading.status} in place of {answer.status}")
    expected = make_answer_body(request_id, int(number), answer)
    if reading.req.method == "HEAD":
        expected = b""
    if reading.whole and reading.body != expected:
        faults.append(f"{len(reading.body)} bytes in place of {len(expected)}")
    if not expected.startswith(reading.body):
        faults.append("bytes that the upstream didn't send")
    return faults


def list_refusal_faults(reading, runs):
    """Return what is wrong with an answer of the gateway itself."""
    if reading.status < 400:
        return [f"status {reading.status} without an upstream's stamp"]
    if reading.status in NOT_RUN_STATUSES and runs:
        # Only a non-idempotent request may not be sent again.
        if reading.req.path.startswith("/note/"):
            return [f"status {reading.status} for a request that has run"]
    return []


def is_owed(reading, runs):
    """Return whether a caller that is still there must get a whole answer."""
    if not runs or reading.req.pace == LEAVES or reading.seconds > NEARLY_DEADLINE:
        return False
    return runs[-1].answer.ending in (WHOLE, EXCESS)
