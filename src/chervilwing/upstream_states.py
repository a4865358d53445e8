"""State of an upstream at one instance: its load in flight and its failure rate."""

from typing import NamedTuple

from .costs import update_average
from .queues import BANDS
from .upstream_pace import ReadingRate, UpstreamPace

# Half-life of the failure rate in seconds. Without decay, an upstream that once failed
# would never be used again. An upstream that passes health checks but fails part of its
# calls must not be used again too soon: with a retry every second, every tenth caller
# would fail.
FAILURE_HALF_LIFE = 4.0
# Weight of one attempt's outcome in the failure rate.
FAILURE_WEIGHT = 0.25
# Seconds beyond twice the estimate after which a prompt that another instance sent
# counts as read without a report, since the datagram that reported it may be lost.
READ_REPORT_TIMEOUT = 1.0
# Seconds after a refusal within which a further one counts as a failure, where
# admission by urgency is active. An upstream that refuses everything looks idle and
# would be chosen for every request.
REFUSAL_INTERVAL = 1.0


class UpstreamLoad(NamedTuple):
    """Load in flight at one upstream.

    ``prefill`` is the number of prompt tokens not yet read, ``tokens`` the number of
    tokens that the requests may take in the engine's memory.
    """

    requests: int = 0
    prefill: int = 0
    tokens: int = 0


NO_LOAD = UpstreamLoad()


def ignore_change():
    """Do nothing when an upstream's load changes."""


def add_loads(one, other):
    """Return the sum of two loads."""
    return UpstreamLoad(
        one.requests + other.requests,
        one.prefill + other.prefill,
        one.tokens + other.tokens,
    )


class SentRequest(NamedTuple):
    """A request in flight, with the estimate on which it was placed.

    ``prefill`` is the number of its prompt tokens to read, ``tokens`` its prompt and
    output tokens, and ``queued_tokens`` the prompt tokens queued before its own. ``at``
    is the time of sending in seconds. ``lightly_loaded`` is true if the upstream had
    little other work. ``placer`` names the process that chose the upstream for other
    instances; it is empty if this instance chose for itself. Without a report, the
    prompt counts as read from ``assumed_read_at`` on, and the request as ended from
    ``assumed_ended_at`` on. ``band`` is the priority band at which the upstream reads
    the prompt; None, where admission by urgency isn't active, counts as the first.
    """

    prefill: int
    tokens: int
    queued_tokens: int
    at: float
    lightly_loaded: bool = False
    started: bool = False
    placer: str = ""
    assumed_read_at: float = float("inf")
    assumed_ended_at: float = float("inf")
    band: int | None = None


class InFlightRequests:
    """Requests in flight at one upstream, by key.

    ``load`` is their sum, updated with each change: every choice of an upstream reads
    the loads of all upstreams of the pool. ``prefill_by_band`` holds its prompt tokens
    not yet read by priority band.
    """

    def __init__(self, on_change=ignore_change):
        self.sent = {}
        self.load = NO_LOAD
        self.prefill_by_band = [0] * len(BANDS)
        self._on_change = on_change

    def add(self, key, sent):
        """Add a request that is sent to the upstream."""
        self.remove(key)
        self.sent[key] = sent
        self._add_to_load(1, sent.prefill, sent)

    def start(self, key):
        """Mark a request's prompt as read.

        Return its SentRequest, or None if it is unknown or was marked before.
        """
        sent = self.sent.get(key)
        if sent is None or sent.started:
            return None
        self.sent[key] = sent._replace(started=True)
        self._add_to_load(0, -sent.prefill, sent)
        return sent

    def remove(self, key):
        """Remove a request that has ended."""
        sent = self.sent.pop(key, None)
        if sent is not None:
            self._add_to_load(-1, 0 if sent.started else -sent.prefill, sent)

    def sum_by_placer(self):
        """Return the load by the process that chose the upstream for it."""
        total = {}
        for sent in self.sent.values():
            load = UpstreamLoad(1, 0 if sent.started else sent.prefill, sent.tokens)
            total[sent.placer] = add_loads(total.get(sent.placer, NO_LOAD), load)
        return total

    def expire(self, now):
        """Mark requests as read, or remove them, if no report has come in time.

        The datagram with the report may be lost, or its sender gone. Without this, such
        requests would accumulate and make the upstream look ever busier.
        """
        for key, sent in list(self.sent.items()):
            if now >= sent.assumed_ended_at:
                self.remove(key)
            elif now >= sent.assumed_read_at:
                self.start(key)

    def _add_to_load(self, requests, prefill, sent):
        change = UpstreamLoad(requests, prefill, requests * sent.tokens)
        self.load = add_loads(self.load, change)
        self.prefill_by_band[sent.band or 0] += prefill
        self._on_change()


class UpstreamState:
    """State of one upstream at one instance.

    ``own_requests`` holds the requests that this instance has in flight at the
    upstream, ``placed_requests`` those of other instances for which this instance chose
    the upstream. ``pace`` is used only while the pool's upstreams state their pace.
    ``on_change`` is called when its load or failure rate has changed.
    """

    def __init__(self, registration, on_change=ignore_change):
        self.registration = registration
        self.pace = UpstreamPace()
        self.reading_rate = ReadingRate()
        self.own_requests = InFlightRequests(on_change)
        self.placed_requests = InFlightRequests(on_change)
        self._on_change = on_change
        # The PeerLoads of a large pool, which replace the loads below.
        self.peer_loads = None
        # Load of all other instances at this upstream, the part of it that this
        # instance didn't place, and the time until which both count.
        self._peer_load = NO_LOAD
        self._peer_unplaced = NO_LOAD
        self._peer_until = float("-inf")
        self._failure_rate = 0.0
        self._failure_at = 0.0
        self._refused_at = float("-inf")

    @property
    def own_load(self):
        """Return the load that this instance has in flight at the upstream."""
        return self.own_requests.load

    def set_peer_load(self, peer_load, until, unplaced=NO_LOAD):
        """Set the load that all other instances have in flight at the upstream.

        ``unplaced`` is the part of it that this instance did not place. Both count
        until the time ``until``.
        """
        self._peer_load, self._peer_unplaced, self._peer_until = (
            peer_load,
            unplaced,
            until,
        )

    def count(self, now, placing=False):
        """Return the load of all instances at the upstream.

        An instance that is ``placing`` for all uses its own record of what it placed
        instead of the reports.
        """
        load = self.own_requests.load
        if placing:
            load = add_loads(load, self.placed_requests.load)
        if self.peer_loads is not None:
            return self.peer_loads.add_to(load, self.registration.name, placing, now)
        if now >= self._peer_until:
            return load
        return add_loads(load, self._peer_unplaced if placing else self._peer_load)

    def count_by_band(self, now, placing, own=False):
        """Return, by band, the prompt tokens to be read in that and more urgent bands.

        With ``own`` only those of this instance and of those for which it chose. The
        reports of other instances don't tell bands. Their loads count for the least
        urgent band only: in an overload, most of what waits belongs to it.
        """
        tokens, counts = 0, []
        for band in BANDS:
            tokens += self.own_requests.prefill_by_band[band]
            if placing or own:
                tokens += self.placed_requests.prefill_by_band[band]
            counts.append(tokens)
        if not own:
            counts[-1] += self._count_reported(now, placing).prefill
        return counts

    def count_less_urgent(self, band, placing):
        """Return the prompt tokens of less urgent bands, which are read later."""
        tokens = sum(self.own_requests.prefill_by_band[band + 1 :])
        if placing:
            tokens += sum(self.placed_requests.prefill_by_band[band + 1 :])
        return tokens

    def _count_reported(self, now, placing):
        if now >= self._peer_until:
            return NO_LOAD
        return self._peer_unplaced if placing else self._peer_load

    def is_repeated_refusal(self, now):
        """Record a refusal; return whether another one preceded it just now."""
        repeated = now < self._refused_at + REFUSAL_INTERVAL
        self._refused_at = now
        return repeated

    def count_sent(self):
        """Return the number of requests that this instance has sent or placed."""
        return self.own_load.requests + self.placed_requests.load.requests

    def get_failure_rate(self, now):
        """Return the failure rate from 0 to 1, which decays with time."""
        return self._failure_rate * 0.5 ** (
            (now - self._failure_at) / FAILURE_HALF_LIFE
        )

    def clear_failures(self):
        """Forget failures that were not the upstream's."""
        self._failure_rate = 0.0
        self._on_change()

    def record(self, failed, now):
        """Record the outcome of one attempt."""
        rate = self.get_failure_rate(now)
        self._failure_rate = update_average(
            rate, 1.0 if failed else 0.0, FAILURE_WEIGHT
        )
        self._failure_at = now
        self._on_change()
