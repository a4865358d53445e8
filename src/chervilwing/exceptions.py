"""The exceptions of chervilwing, one type for each kind of failure."""

from typing import NamedTuple

NOT_RUN = "not_run"
UNKNOWN = "unknown"
RAN = "ran"
# Usual Retry-After of refusals, in seconds. Instances learn of a new instance, or of
# the replacement of an upstream, in about this time.
RETRY_AFTER = 0.5
# What decoders raise on data of another program. Besides ValueError, of which json's
# and msgspec's errors are subclasses, there is RecursionError for deep nesting,
# OverflowError for numbers that a float can't hold, and the rest for values of an
# unexpected type.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


class Scope(NamedTuple):
    """The resource that a failure is about.

    Without it, the receiver of a refusal would retry on the same exhausted resource or
    avoid a healthy one (RFC 5390, REQ 18).
    """

    kind: str
    name: str


SYSTEM = Scope("system", "chervilwing")


class ChervilwingError(Exception):
    """Base of all failures; subclasses set the HTTP status, type, title and outcome.

    ``outcome`` says whether the request ran: work that must not be repeated may be
    retried only after ``not_run``. ``retry_after`` is in seconds; ``retry_jitter`` are
    the least and greatest random factor on it, so that refused callers do not all
    return at the same moment.
    """

    status = 500
    type = "internal"
    title = "Internal failure"
    outcome = UNKNOWN
    retry_jitter = (0.5, 1.5)

    def __init__(self, detail="", *, scope=SYSTEM, retry_after=None, outcome=None):
        super().__init__(detail or self.title)
        self.detail = detail or self.title
        self.scope = scope
        self.retry_after = retry_after
        if outcome is not None:
            self.outcome = outcome


class BadRequest(ChervilwingError):
    """The request is not valid HTTP, or not JSON of the expected form."""

    status, type, title, outcome = 400, "bad-request", "Malformed request", NOT_RUN


class UnknownCustomer(ChervilwingError):
    """The API key belongs to no customer."""

    status, type, title, outcome = 401, "unknown-customer", "Unknown API key", NOT_RUN


class WrongOperatorKey(ChervilwingError):
    """The request doesn't contain the operators' key."""

    status, type, title = 401, "wrong-operator-key", "Operators' key needed"
    outcome = NOT_RUN


class NotAllowed(ChervilwingError):
    """The rules don't allow this customer to use this model or service."""

    status, type, title, outcome = 403, "not-allowed", "Not allowed by rule", NOT_RUN


class NotFound(ChervilwingError):
    """No route, model or service has this name."""

    status, type, title, outcome = 404, "not-found", "Not found", NOT_RUN


class SlowSender(ChervilwingError):
    """The caller took too long to send its request."""

    status, type, title, outcome = 408, "slow-sender", "Request too slow", NOT_RUN


class Conflict(ChervilwingError):
    """Two concurrent writes conflict; the message shows both versions."""

    status, type, title, outcome = 409, "conflict", "Conflicting write", NOT_RUN


class EditConflict(Conflict):
    """Two operators changed the same entries; ``overlaps`` holds both versions."""

    type, title = "edit-conflict", "Conflicting edit"

    def __init__(self, detail="", *, overlaps=(), **more):
        super().__init__(detail, **more)
        self.overlaps = overlaps


class LengthRequired(ChervilwingError):
    """The request has no Content-Length (RFC 9110, section 15.5.12)."""

    status, type, title, outcome = 411, "length-required", "Length required", NOT_RUN


class TooLarge(ChervilwingError):
    """The head or the body of the request exceeds its limit."""

    status, type, title, outcome = 413, "too-large", "Request too large", NOT_RUN


class CustomerLimit(ChervilwingError):
    """A limit of the customer, such as its queue or retry budget, is used up."""

    status, type, title, outcome = 429, "customer-limit", "Customer limit", NOT_RUN


class AllowanceUnknown(ChervilwingError):
    """This instance is partitioned; other instances may have used up the rate limit."""

    status, type, title = 503, "allowance-unknown", "Allowance unknown"
    outcome = NOT_RUN


class InstanceFull(ChervilwingError):
    """This instance has no memory left for the request."""

    status, type, title, outcome = 503, "instance-full", "Instance full", NOT_RUN


class PoolFull(ChervilwingError):
    """The pool has no capacity to finish more work by its deadline."""

    status, type, title, outcome = 503, "pool-full", "Pool full", NOT_RUN


class PoolOverloaded(PoolFull):
    """The request would start later than its latency target or deadline allows."""

    type, title = "pool-overloaded", "Pool overloaded"
    # Capacity may be reserved from the stated time on, for a second.
    retry_jitter = (1.0, 1.0)


class PoolLimited(ChervilwingError):
    """All upstreams of the pool have reached the limits that they announced."""

    status, type, title, outcome = 503, "pool-limited", "Pool limited", NOT_RUN


class PoolPaused(ChervilwingError):
    """All upstreams of the pool asked this instance to send nothing for a time."""

    status, type, title, outcome = 503, "pool-paused", "Pool paused", NOT_RUN
    # A caller that returned any earlier would be refused again.
    retry_jitter = (1.0, 1.25)


class NoUpstream(ChervilwingError):
    """No upstream of the pool is reachable and accepts new work."""

    status, type, title, outcome = 503, "no-upstream", "No upstream", NOT_RUN


class StreamUnknown(ChervilwingError):
    """No instance that was asked knows which version began the caller's stream."""

    status, type, title, outcome = 503, "stream-unknown", "Stream unknown", NOT_RUN


class VersionGone(ChervilwingError):
    """The caller's stream never goes on: no upstream has the version that began it."""

    status, type, title, outcome = 503, "version-gone", "Version gone", NOT_RUN


class RequestBarred(ChervilwingError):
    """The request is blocked, as several upstreams crashed while running it."""

    status, type, title, outcome = 503, "request-barred", "Request barred", NOT_RUN


class UpstreamFailed(ChervilwingError):
    """A call to an upstream failed; by default it is unknown whether the work ran."""

    status, type, title, outcome = 502, "upstream-failed", "Upstream failed", UNKNOWN


class EventOutOfOrder(UpstreamFailed):
    """An upstream sent an event that doesn't follow the last one of its stream."""

    type, title = "event-out-of-order", "Event out of order"


class UpstreamSilent(UpstreamFailed):
    """An upstream, or the path to it, was silent for longer than the timeout."""

    type, title = "upstream-silent", "Upstream silent"


class ReplyTooLarge(UpstreamFailed):
    """A reply has more bytes than its call allows."""

    type, title = "reply-too-large", "Reply too large"


class ReplyTooSlow(UpstreamFailed):
    """A reply wasn't whole in the time that its call allows."""

    type, title = "reply-too-slow", "Reply too slow"


class ConnectionBroken(UpstreamFailed):
    """The connection to an upstream closed before the answer was complete."""


class ConnectionRefused(ConnectionBroken):
    """Nothing accepts connections at an upstream's address."""


class UpstreamEnded(ConnectionBroken):
    """An upstream's process ended together with a stream that has no other end."""


class PathSilent(UpstreamSilent):
    """An upstream is silent on old connections but answers on a new one."""


class TunnelError(OSError):
    """A connection through another instance failed.

    The sockets report it like any other connection's error.
    """


class TunnelNotOpened(TunnelError):
    """The other instance can't be reached, or opens no tunnel."""


class TunnelRejected(TunnelError):
    """The other instance can't connect to the upstream either."""


class TunnelRefused(TunnelRejected):
    """The upstream refuses connections from the other instance too."""


class TunnelLost(TunnelError):
    """A tunnel ended before the upstream's connection did."""


class PathUnavailable(UpstreamFailed):
    """No tunnel was opened; this says nothing about the upstream."""

    type, title = "path-unavailable", "Path unavailable"


class UpstreamUnreachable(UpstreamFailed):
    """Neither this instance nor another one can connect to the upstream."""

    type, title = "upstream-unreachable", "Upstream unreachable"


class PathBroken(UpstreamFailed):
    """The tunnel to the upstream was lost; this says nothing about the upstream."""

    type, title = "path-broken", "Path broken"


class DeadlinePassed(ChervilwingError):
    """The request was not finished by its deadline."""

    status, type, title, outcome = 504, "deadline-passed", "Deadline passed", UNKNOWN


class HandedOver(ChervilwingError):
    """The instance is stopping and a peer continues the request; send it again."""

    status, type, title, outcome = 503, "handed-over", "Handed over", UNKNOWN


class AnswerLost(ChervilwingError):
    """No instance holds the partly read answer that the caller wants to resume."""

    status, type, title, outcome = 410, "answer-lost", "Answer lost", UNKNOWN


class PlatformDown(ChervilwingError):
    """The key-value service is unreachable, so a claim or edit can't be written."""

    status, type, title, outcome = 503, "platform-down", "Platform down", NOT_RUN


class NotReady(ChervilwingError):
    """This instance has no configuration yet, or it is stopping."""

    status, type, title, outcome = 503, "not-ready", "Not ready", NOT_RUN


class Unreachable(ChervilwingError):
    """An instance or service that the operators' tool calls doesn't answer."""

    status, type, title = 504, "unreachable", "No answer"


class BadSetting(ChervilwingError):
    """A flag or environment variable has a wrong value."""

    type, title = "bad-setting", "Bad setting"


class BadFrame(ChervilwingError):
    """A peer sent bytes that are not a valid frame of the peer protocol."""

    type, title = "bad-frame", "Bad frame"


class BadConfiguration(ChervilwingError):
    """An inventory or rules document is invalid; the message names the key."""

    status, type, title = 422, "bad-configuration", "Bad configuration"
    outcome = NOT_RUN


class BadKey(ChervilwingError):
    """The Idempotency-Key is not a UUIDv7, or its timestamp is in the future."""

    status, type, title, outcome = 400, "bad-key", "Bad idempotency key", NOT_RUN


class KeyExpired(ChervilwingError):
    """The key is older than the kept records.

    Its request may have run and is not run again.
    """

    status, type, title, outcome = 410, "key-expired", "Key too old", UNKNOWN


class KeyReused(ChervilwingError):
    """The key was first used with a different request; this one was not run."""

    status, type, title, outcome = 422, "key-reused", "Key reused", NOT_RUN


class InProgress(ChervilwingError):
    """An earlier request with this key is running; retry after ``retry_after``."""

    status, type, title, outcome = 409, "in-progress", "In progress", UNKNOWN


class OutcomeUnknown(ChervilwingError):
    """The instance that ran the request was lost; the request is never run again."""

    status, type, title, outcome = 409, "outcome-unknown", "Outcome unknown", UNKNOWN


class ClaimsFull(ChervilwingError):
    """The stored segment that holds the claims of the key's time is full.

    A new key has a later timestamp, so that its claim belongs to another segment.
    """

    status, type, title, outcome = 503, "claims-full", "Claims full", NOT_RUN


class NoConfiguration(NotReady):
    """No configuration was received yet from the key-value service or a peer."""

    type, title = "no-configuration", "No configuration"


class StaleKeys(NotReady):
    """The stored API keys are too old: this one may have been revoked since."""

    type, title = "stale-keys", "Keys not fresh"


class NotHolder(ChervilwingError):
    """This instance doesn't hold the pool's lease, so it can't give orders."""

    status, type, title, outcome = 409, "not-holder", "Not the holder", NOT_RUN


class OldFence(ChervilwingError):
    """The engine has seen a newer fencing number, of another lease holder."""

    status, type, title, outcome = 409, "old-fence", "Old fencing number", NOT_RUN
