"""One request on its way: its attempts and what its caller has read already."""

from .events import EventReader

# Bytes of an answer that are held until it is whole, so that one that breaks off can
# be asked for again or refused, and the caller never reads a part. Load: documents of
# about a kilobyte. Harm: held whole, larger ones would fill a small instance's memory.
HELD_BYTES = 262_144


class Relay:
    """State of one request between its caller and its upstreams.

    ``may_have_run`` is set by the first attempt of which nobody can say that it did not
    run; from then on no refusal may promise that.
    """

    __slots__ = (
        "answer",
        "attempts",
        "call",
        "charged",
        "counted",
        "demand",
        "ends_at",
        "events",
        "exchange",
        "fallback",
        "headers",
        "held",
        "held_size",
        "may_have_run",
        "organisation",
        "over",
        "pool",
        "received_at",
        "route",
        "sent_at",
        "station",
        "started_at",
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
        self.tried = set()
        self.attempts = 0
        self.call = None
        self.station = None
        self.sent_at = now
        self.started_at = None
        self.answer = None
        self.held = []
        self.held_size = 0
        self.fallback = None
        self.events = EventReader() if route.resumable else None
        self.may_have_run = False
        self.counted = False
        self.charged = 0.0
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
