"""State of one request: its attempts and the part of the answer already relayed."""

from typing import NamedTuple

from .crash_causes import Suspect, list_part_suspects
from .events import EventReader
from .exceptions import RequestBarred, Scope
from .fingerprints import make_retry_fingerprint
from .stream_versions import make_stream_id

# Bytes of an answer that are buffered until it is complete, so that a broken answer can
# be retried or refused and the caller never receives part of it. Usual answers have
# about a kilobyte; buffering large ones would fill the memory of a small instance.
MAX_BUFFERED_BYTES = 262_144


# ``Scope.kind`` of a refusal that concerns one customer only.
CUSTOMER_SCOPE = "customer"


class RequestLogLine(NamedTuple):
    """Log line of one finished request; times in seconds.

    ``version`` is the configuration's; ``expected`` (seconds) and ``prefill`` (tokens)
    are the estimate by which the upstream was chosen; ``source`` is the upstream from
    which prompt parts were to be fetched; ``first`` is the time until the answer's
    first byte. ``fingerprint`` is the same for all retries of one request. ``limit`` is
    the limit, in requests per second, that an answer stated for its upstream, None if
    none did. ``placer`` is the process that chose the upstream for other instances,
    empty if this instance chose for itself. ``framing`` is what told the end of the
    answer: a length, chunks or the connection's close. ``partial`` is set if a stream
    ended in the middle of an event. ``upstream_version`` is the version of the last
    upstream's software, and ``resumes`` the request that began the stream which this
    one goes on with, after the event ``resumes_after``. ``first_event`` and
    ``last_event`` are the first and last event that were relayed, ``out_of_order`` is
    how many events didn't follow the one before. ``parts`` names the shared parts of
    the prompt, in their order; in the line of a barred request it names what is barred.
    """

    request: str
    customer: str
    route: str
    upstream: str
    tries: int
    outcome: str
    cause: str
    status: int
    seconds: float
    version: int
    expected: float = 0.0
    prefill: int = 0
    source: str = ""
    first: float = 0.0
    last_event: str = ""
    fingerprint: str = ""
    limit: float | None = None
    placer: str = ""
    framing: str = ""
    partial: bool = False
    upstream_version: str = ""
    resumes: str = ""
    resumes_after: str = ""
    first_event: str = ""
    out_of_order: int = 0
    parts: str = ""


class Relay:
    """State of one request between its caller and its upstreams.

    ``may_have_run`` is set once an upstream may have run the request; from then on no
    error may state that it has not run.
    """

    __slots__ = (
        "admission_key",
        "admitted",
        "answer",
        "attempts",
        "backup",
        "call",
        "continuable",
        "continued",
        "copy",
        "charged_at",
        "cost",
        "usage_counted",
        "demand",
        "rollout_draw",
        "deadline",
        "estimate",
        "events",
        "exchange",
        "fallback",
        "fingerprint",
        "framing",
        "has_events",
        "headers",
        "buffered",
        "buffered_size",
        "limit",
        "may_have_run",
        "open_runs",
        "move",
        "organisation",
        "origin",
        "ended",
        "pool",
        "received_at",
        "refused_targets",
        "route",
        "sent_at",
        "streaming",
        "suspects",
        "upstream_state",
        "upstream_version",
        "first_byte_at",
        "placement_id",
        "tried_peers",
        "tried_upstreams",
    )

    def __init__(self, exchange, route, organisation, pool, demand, now):
        self.exchange = exchange
        self.route = route
        self.organisation = organisation
        self.pool = pool
        self.demand = demand
        self.received_at = now
        self.deadline = demand.deadline
        self.headers = exchange.req.headers
        self.fingerprint = make_retry_fingerprint(exchange.req, self.organisation_name)
        content = Suspect(self.fingerprint, Scope("request", self.fingerprint))
        # What of this request may crash upstreams.
        self.suspects = (content, *list_part_suspects(demand))
        # Random number from 0 to 1 that decides whether a request is sent to a version
        # that is being rolled out.
        self.rollout_draw = 1.0
        self.tried_upstreams = set()
        # Instances through which the current attempt was to reach its upstream.
        self.tried_peers = set()
        self.attempts = 0
        self.call = None
        self.upstream_state = None
        # Version that the current attempt was sent to; the registration may change.
        self.upstream_version = ""
        # Identifies this request to the instance that chose its upstream; None if this
        # instance did.
        self.placement_id = None
        self.estimate = None
        self.sent_at = now
        self.first_byte_at = None
        # Status and header fields of the current attempt's answer.
        self.answer = None
        self.buffered = []
        self.buffered_size = 0
        # Status, header fields and body of an upstream's server error, which is relayed
        # if no later attempt succeeds.
        self.fallback = None
        self.limit = None
        # Reader of the events of a stream, None for other answers.
        self.events = self._make_reader() if route.resumable else None
        # Origin of the stream: an answer that has begun goes on at its version only.
        self.origin = None
        self.has_events = False
        # Whether the caller receives a stream, which another run may continue.
        self.streaming = False
        self.framing = ""
        self.may_have_run = False
        self.usage_counted = False
        self.cost = 0.0
        # When the cost was charged, None before that.
        self.charged_at = None
        self.ended = False
        # Whether the request was admitted to the pool, and its key while it waits for
        # that at this instance.
        self.admitted = False
        self.admission_key = None
        # Whether the stream's events are followed, so that it may go on from a copy,
        # and whether it did so; the copy that the current attempt is to go on from.
        self.continuable = self.continued = False
        self.copy = None
        # Registrations of the engines that may still work on the request.
        self.open_runs = ()
        # The Move of the stream, the engines that refused one, and the registration of
        # the engine that keeps a backup.
        self.move = None
        self.refused_targets = ()
        self.backup = None

    @property
    def organisation_name(self):
        """Return the organisation's name, or an empty text without one."""
        return self.organisation.name if self.organisation else ""

    @property
    def priority(self):
        """Return the organisation's priority or else the route's; 0 is most urgent."""
        own = self.organisation.priority if self.organisation else None
        return self.route.priority if own is None else own

    @property
    def takes_up(self):
        """Return whether the caller takes up a stream of which it has read a part."""
        started = self.demand.last_event or self.demand.resumes
        return self.route.resumable and bool(started)

    @property
    def can_resume(self):
        """Return whether another attempt may go on with the answer that has begun.

        A resumable route may also answer with a page, for instance with an error.
        """
        is_stream = self.route.resumable and self.streaming
        return is_stream and self.events.can_resume

    @property
    def stream(self):
        """Return the id of the stream, the same over all tries of the caller."""
        return make_stream_id(self.demand.resumes or self.demand.request_id)

    @property
    def has_partial_event(self):
        """Return whether the answer ended, so far, in the middle of an event."""
        return self.events is not None and self.events.has_partial

    def _make_reader(self):
        """Return the reader of a stream that a caller may resume."""
        return EventReader(after=self.demand.last_event)

    def start_answer(self, framing, has_events):
        """Prepare for the body of an attempt's answer, which may be a stream."""
        self.framing, self.has_events = framing, has_events
        if not (self.route.resumable or self.continuable):
            self.events = EventReader(resumable=False) if has_events else None

    def begin_following(self, run_id):
        """Follow the events of a stream whose engine knows it by an id, or by None."""
        if run_id != self.demand.request_id:
            return
        if not self.route.resumable:
            self.events = EventReader()
        self.continuable = True

    def buffer(self, data):
        """Buffer a part of the answer; return False once the buffer is too large."""
        self.buffered.append(data)
        self.buffered_size += len(data)
        return self.buffered_size <= MAX_BUFFERED_BYTES

    def may_buffer(self):
        """Return whether there is memory for the buffered part of the answer."""
        return self.exchange.may_buffer(self.buffered_size)

    def take_buffered(self):
        """Return the buffered bytes and clear the buffer."""
        data, self.buffered, self.buffered_size = b"".join(self.buffered), [], 0
        return data


def describe_relay(relay, outcome, status, cause, version, now):
    """Return the RequestLogLine of a finished request."""
    first_byte_at, estimate = relay.first_byte_at, relay.estimate
    source = estimate.source if estimate else None
    return RequestLogLine(
        request=relay.demand.request_id,
        customer=relay.organisation_name,
        route=relay.route.name,
        upstream=relay.upstream_state.registration.name if relay.upstream_state else "",
        tries=relay.attempts,
        outcome=outcome,
        cause=cause,
        status=status,
        seconds=round(now - relay.received_at, 4),
        version=version,
        expected=round(estimate.seconds, 4) if estimate else 0.0,
        prefill=estimate.prefill if estimate else 0,
        source=source.registration.name if source else "",
        first=0.0
        if first_byte_at is None
        else round(first_byte_at - relay.received_at, 4),
        last_event=relay.events.last_id if relay.events else "",
        fingerprint=relay.fingerprint,
        limit=relay.limit,
        placer=estimate.placer if estimate else "",
        framing=relay.framing,
        partial=relay.has_partial_event,
        upstream_version=relay.upstream_version,
        resumes=relay.demand.resumes,
        resumes_after=relay.demand.last_event,
        first_event=relay.events.first_id if relay.events else "",
        out_of_order=relay.events.out_of_order if relay.events else 0,
        parts=",".join(relay.demand.shared_parts),
    )


def describe_refusal(req, exc, version):
    """Return the RequestLogLine of a request that was refused before any attempt."""
    return RequestLogLine(
        request=req.headers.get("x-request-id", ""),
        customer=exc.scope.name if exc.scope.kind == CUSTOMER_SCOPE else "",
        route=f"{req.headers.get('host', '')}{req.path}",
        upstream="",
        tries=0,
        outcome=exc.outcome,
        cause=exc.type,
        status=exc.status,
        seconds=0.0,
        version=version,
        parts=exc.scope.name if isinstance(exc, RequestBarred) else "",
    )
