"""One request on its way: its attempts and what its caller has read already."""

from typing import NamedTuple

from .events import EventReader
from .fingerprints import fingerprint_repeats

# Bytes of an answer that are held until it is whole, so that one that breaks off can
# be asked for again or refused, and the caller never reads a part. Load: documents of
# about a kilobyte. Harm: held whole, larger ones would fill a small instance's memory.
HELD_BYTES = 262_144


# Kind of the scope of a refusal that is for one customer alone.
CUSTOMER = "customer"


class RelayLine(NamedTuple):
    """What is logged of one finished request; times in seconds.

    ``version`` is that of the configuration it was handled by, ``expected`` and
    ``prefill`` what decided where it went, ``source`` the upstream that it was to fetch
    prompt parts from, ``first`` when its answer began. ``fingerprint`` is the same for
    all tries of one request. ``limit`` are the requests a second that an answer to it
    named for its upstream, None where none did.
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


class Relay:
    """State of one request between its caller and its upstreams.

    ``may_have_run`` is set by the first attempt of which nobody can say that it did not
    run; from then on no refusal may promise that.
    """

    __slots__ = (
        "answer",
        "attempts",
        "call",
        "charged_at",
        "cost",
        "counted",
        "demand",
        "drawn",
        "ends_at",
        "estimate",
        "events",
        "exchange",
        "fallback",
        "fingerprint",
        "headers",
        "held",
        "held_size",
        "limit",
        "may_have_run",
        "organisation",
        "over",
        "pool",
        "received_at",
        "route",
        "sent_at",
        "station",
        "started_at",
        "ticket",
        "tried",
    )

    def __init__(self, exchange, route, organisation, pool, demand, now):
        self.exchange = exchange
        self.route = route
        self.organisation = organisation
        self.pool = pool
        self.demand = demand
        self.received_at = now
        self.ends_at = demand.deadline
        self.headers = exchange.req.headers
        self.fingerprint = fingerprint_repeats(exchange.req, self.name)
        # From 0 to 1: which version of an upstream's software it may try.
        self.drawn = 1.0
        self.tried = set()
        self.attempts = 0
        self.call = None
        self.station = None
        # By what the instance knows this request that placed it, None for this one.
        self.ticket = None
        self.estimate = None
        self.sent_at = now
        self.started_at = None
        self.answer = None
        self.held = []
        self.held_size = 0
        self.fallback = None
        self.limit = None
        self.events = EventReader() if route.resumable else None
        self.may_have_run = False
        self.counted = False
        self.cost = 0.0
        # When the cost was charged, None before it was.
        self.charged_at = None
        self.over = False

    @property
    def name(self):
        """Return the organisation's name, or an empty text without one."""
        return self.organisation.name if self.organisation else ""

    @property
    def priority(self):
        """Return how urgent this is, 0 first; the organisation's own word wins."""
        own = self.organisation.priority if self.organisation else None
        return self.route.priority if own is None else own

    def hold(self, data):
        """Keep a piece of the answer; tell whether there is room for more."""
        self.held.append(data)
        self.held_size += len(data)
        return self.held_size <= HELD_BYTES

    def take_held(self):
        """Return what is held and forget it."""
        data, self.held, self.held_size = b"".join(self.held), [], 0
        return data


def describe_relay(relay, outcome, status, cause, version, now):
    """Return the log line of a finished request."""
    started, estimate = relay.started_at, relay.estimate
    source = estimate.source if estimate else None
    return RelayLine(
        request=relay.demand.request_id,
        customer=relay.name,
        route=relay.route.name,
        upstream=relay.station.registration.name if relay.station else "",
        tries=relay.attempts,
        outcome=outcome,
        cause=cause,
        status=status,
        seconds=round(now - relay.received_at, 4),
        version=version,
        expected=round(estimate.seconds, 4) if estimate else 0.0,
        prefill=estimate.prefill if estimate else 0,
        source=source.registration.name if source else "",
        first=0.0 if started is None else round(started - relay.received_at, 4),
        last_event=relay.events.last_id if relay.events else "",
        fingerprint=relay.fingerprint,
        limit=relay.limit,
    )


def describe_refusal(req, exc, version):
    """Return the log line of a request that was refused at the door."""
    return RelayLine(
        request=req.headers.get("x-request-id", ""),
        customer=exc.scope.name if exc.scope.kind == CUSTOMER else "",
        route=f"{req.headers.get('host', '')}{req.path}",
        upstream="",
        tries=0,
        outcome=exc.outcome,
        cause=exc.type,
        status=exc.status,
        seconds=0.0,
        version=version,
    )
