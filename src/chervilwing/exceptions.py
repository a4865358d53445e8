"""Every failure that chervilwing reports, each as a type of its own."""

from typing import NamedTuple

NOT_RUN = "not_run"
UNKNOWN = "unknown"
RAN = "ran"


class Scope(NamedTuple):
    """Name the one thing that a failure speaks about.

    RFC 5390 REQ 18: a refusal without a scope makes its receiver retry into the
    same exhausted resource or shun a healthy one.
    """

    kind: str
    name: str


SYSTEM = Scope("system", "chervilwing")


class ChervilwingError(Exception):
    """Base of all failures; subclasses fix the status, the type and the outcome.

    ``outcome`` says whether the request ran: only ``not_run`` invites a retry of
    work that must not be repeated.
    """

    status = 500
    type = "internal"
    title = "Internal failure"
    outcome = UNKNOWN

    def __init__(self, detail="", *, scope=SYSTEM, retry_after=None, outcome=None):
        super().__init__(detail or self.title)
        self.detail = detail or self.title
        self.scope = scope
        self.retry_after = retry_after
        if outcome is not None:
            self.outcome = outcome


class BadRequest(ChervilwingError):
    """The request can't be read as HTTP or JSON of the right shape."""

    status, type, title, outcome = 400, "bad-request", "Malformed request", NOT_RUN


class UnknownCustomer(ChervilwingError):
    """The API key names no customer."""

    status, type, title, outcome = 401, "unknown-customer", "Unknown API key", NOT_RUN


class WrongOperatorKey(ChervilwingError):
    """The request doesn't carry the operators' key."""

    status, type, title = 401, "wrong-operator-key", "Operators' key needed"
    outcome = NOT_RUN


class NotAllowed(ChervilwingError):
    """The rules don't let this customer use this model or service."""

    status, type, title, outcome = 403, "not-allowed", "Not allowed by rule", NOT_RUN


class NotFound(ChervilwingError):
    """No route, model or service has this name."""

    status, type, title, outcome = 404, "not-found", "Not found", NOT_RUN


class SlowSender(ChervilwingError):
    """The caller took too long to send its request."""

    status, type, title, outcome = 408, "slow-sender", "Request too slow", NOT_RUN


class Conflict(ChervilwingError):
    """Two writers raced; the text shows both sides."""

    status, type, title, outcome = 409, "conflict", "Conflicting write", NOT_RUN


class EditConflict(Conflict):
    """Two operators changed the same entry; ``overlaps`` holds both sides of each."""

    type, title = "edit-conflict", "Conflicting edit"

    def __init__(self, detail="", *, overlaps=(), **more):
        super().__init__(detail, **more)
        self.overlaps = overlaps


class LengthRequired(ChervilwingError):
    """The body's length isn't given up front (RFC 9110, section 15.5.12)."""

    status, type, title, outcome = 411, "length-required", "Length required", NOT_RUN


class TooLarge(ChervilwingError):
    """The head or the body is over its limit."""

    status, type, title, outcome = 413, "too-large", "Request too large", NOT_RUN


class CustomerLimit(ChervilwingError):
    """The customer's own queue or retry budget is used up."""

    status, type, title, outcome = 429, "customer-limit", "Customer limit", NOT_RUN


class AllowanceUnknown(ChervilwingError):
    """This instance is cut off, and others may have what is left of an allowance."""

    status, type, title = 503, "allowance-unknown", "Allowance unknown"
    outcome = NOT_RUN


class PoolFull(ChervilwingError):
    """The pool can't meet the deadline of more work."""

    status, type, title, outcome = 503, "pool-full", "Pool full", NOT_RUN


class PoolLimited(ChervilwingError):
    """The pool's upstreams name limits on what they are sent, and these are used up."""

    status, type, title, outcome = 503, "pool-limited", "Pool limited", NOT_RUN


class NoUpstream(ChervilwingError):
    """No upstream of the pool can be reached or may take new work."""

    status, type, title, outcome = 503, "no-upstream", "No upstream", NOT_RUN


class RequestBarred(ChervilwingError):
    """Several upstreams crashed while they ran this request."""

    status, type, title, outcome = 503, "request-barred", "Request barred", NOT_RUN


class UpstreamFailed(ChervilwingError):
    """An upstream broke off; whether the work ran can't be told."""

    status, type, title, outcome = 502, "upstream-failed", "Upstream failed", UNKNOWN


class UpstreamSilent(UpstreamFailed):
    """An upstream, or the path to it, gave no sign for too long."""

    type, title = "upstream-silent", "Upstream silent"


class ConnectionBroken(UpstreamFailed):
    """An upstream's end of the connection closed before the answer was whole."""


class PathSilent(UpstreamSilent):
    """Old connections to an upstream gave no sign while a new one is answered."""


class DeadlinePassed(ChervilwingError):
    """The request was given up on at its deadline."""

    status, type, title, outcome = 504, "deadline-passed", "Deadline passed", UNKNOWN


class HandedOver(ChervilwingError):
    """The instance is stopping and a peer goes on; ask for the same request again."""

    status, type, title, outcome = 503, "handed-over", "Handed over", UNKNOWN


class AnswerLost(ChervilwingError):
    """No instance holds the answer that the caller has read a part of."""

    status, type, title, outcome = 410, "answer-lost", "Answer lost", UNKNOWN


class PlatformDown(ChervilwingError):
    """The key-value service can't be reached, so the claim can't be written."""

    status, type, title, outcome = 503, "platform-down", "Platform down", NOT_RUN


class NotReady(ChervilwingError):
    """This instance has no configuration yet, or it is stopping."""

    status, type, title, outcome = 503, "not-ready", "Not ready", NOT_RUN


class Unreachable(ChervilwingError):
    """An entry instance or another service of the operators' tool doesn't answer."""

    status, type, title = 504, "unreachable", "No answer"


class BadSetting(ChervilwingError):
    """A flag or environment variable has a wrong value."""

    type, title = "bad-setting", "Bad setting"


class BadFrame(ChervilwingError):
    """A peer sent bytes that are not a frame of our protocol."""

    type, title = "bad-frame", "Bad frame"


class BadConfiguration(ChervilwingError):
    """An inventory or rules document breaks a check; the text names the key."""

    status, type, title = 422, "bad-configuration", "Bad configuration"
    outcome = NOT_RUN


class BadKey(ChervilwingError):
    """The Idempotency-Key is not a UUIDv7, or its time lies in the future."""

    status, type, title, outcome = 400, "bad-key", "Bad idempotency key", NOT_RUN


class KeyExpired(ChervilwingError):
    """The key is older than the kept window: it may have run and is not run again."""

    status, type, title, outcome = 410, "key-expired", "Key too old", UNKNOWN


class KeyReused(ChervilwingError):
    """The key was first used with a different request; this one was not run."""

    status, type, title, outcome = 422, "key-reused", "Key reused", NOT_RUN


class InProgress(ChervilwingError):
    """A first request with this key is running; ask again after ``retry_after``."""

    status, type, title, outcome = 409, "in-progress", "In progress", UNKNOWN


class OutcomeUnknown(ChervilwingError):
    """The instance that ran this key vanished; the key is never run again."""

    status, type, title, outcome = 409, "outcome-unknown", "Outcome unknown", UNKNOWN


class ClaimsFull(ChervilwingError):
    """The key's segment has no room for another claim; a later key has."""

    status, type, title, outcome = 503, "claims-full", "Claims full", NOT_RUN


class NoConfiguration(NotReady):
    """Neither the key-value service nor a peer has given a configuration yet."""

    type, title = "no-configuration", "No configuration"


class StaleKeys(NotReady):
    """What is known of the keys is too old: this one may have been taken away."""

    type, title = "stale-keys", "Keys not fresh"


class NotHolder(ChervilwingError):
    """This instance doesn't hold the lease of the pool, so it gives no orders."""

    status, type, title, outcome = 409, "not-holder", "Not the holder", NOT_RUN


class OldFence(ChervilwingError):
    """The engine has seen a newer fencing number: another instance holds the pool."""

    status, type, title, outcome = 409, "old-fence", "Old fencing number", NOT_RUN
