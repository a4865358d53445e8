"""What an admission decision is made from, and its outcomes."""

from typing import NamedTuple

# Causes of refusals, used as labels of metrics.
LATE = "late"
DEADLINE = "deadline"
EARLY = "early"
DISPLACED = "displaced"


class AdmissionRequest(NamedTuple):
    """One request to a pool; times are seconds on the deciding instance's clock.

    ``key`` identifies the request among all that this instance decides on. ``cost`` is
    the number of prompt tokens to prefill and ``prefill_seconds`` the time from its
    start at an engine to the first event. ``target_at`` is when the latency target
    passes, ``latency_target`` that target in seconds and ``received_at`` the time of
    the caller's request. All retries of a request have the same ``fingerprint``.
    """

    key: tuple
    band: int
    organisation: str
    cost: float
    prefill_seconds: float
    latency_target: float
    target_at: float
    deadline: float
    received_at: float
    fingerprint: str = ""


class Admit(NamedTuple):
    """The request may be sent now."""


class Wait(NamedTuple):
    """The request is queued; a later decision follows."""


class Refuse(NamedTuple):
    """The request is refused and may be retried after these seconds."""

    retry_after: float
    cause: str = LATE


ADMIT = Admit()
WAIT = Wait()
