"""Which upstream of a pool takes a request: the one that is expected to start it first.

Load reports are old when they come and every instance reads the same ones, so that all
would pick the same upstream. Here each instance adds up what it has sent itself and
what the others said a moment ago that they have in flight.
"""

from heapq import nlargest
from types import MappingProxyType
from typing import NamedTuple

from .costs import blend
from .hashing import Ring
from .prompt_caches import PromptCaches
from .service_times import ServiceTime
from .stations import NOTHING, READ_WAIT, Sent, Station

# Tokens a second that an engine reads of prompts beside the tokens it generates, before
# anything was measured; what is measured replaces it within some twenty answers.
PREFILL_RATE = 34_000.0
SLOWEST_RATE = 4_000.0
FASTEST_RATE = 200_000.0
# Requests at an engine up to which an answer tells how fast the engine is itself.
ALONE = 6
# Prompts shorter than this say nothing about the rate: one step dominates.
MEASURED_TOKENS = 1500
# Seconds from the arrival at an idle engine to its first token, and for each request
# that it generates for.
FIRST_STEP = 0.015
STEP_PER_REQUEST = 0.0006
# Engine seconds of one generated token in a full batch.
TOKEN_TIME = 0.000115
# Seconds of expected wait that a failure rate of 1 counts for: about as long as a
# caller loses by an attempt that fails and is made once more.
FAILURE_COST = 3.0
# Seconds that another data centre counts for: bytes between them are paid for, and a
# round trip takes 3 ms. It only decides between equals.
FAR_COST = 0.008
# Weight of what others have waiting at one upstream, against the mean of all. Load:
# many instances that decide alone, by figures of each other that are older than a
# prompt takes to be read. Harm: taken as it stands, what looked idle is chosen by all
# of them until the next figures come. What waits changes in a moment; memory and
# requests in flight last longer and count in full.
OTHERS_WEIGHT = 0.25
# Spread of the estimate, so that instances that know the same choose differently.
SPREAD = 0.15
# An engine is full at this part of its memory: what is generated needs room too.
MEMORY_PART = 0.9
# Part of a pool's shortest latency target for which prompts may wait before they are
# read: the rest is for the reading itself. Seconds for which they may in any case.
QUEUE_PART = 0.8
LEAST_QUEUE = 0.1
# Fewest tokens that are fetched from another engine: 512 are read in 11 to 20 ms, and a
# fetch takes some 6 ms and its place on the links.
FETCHED_TOKENS = 512
# Seconds until a fetch begins: 4 ms at the engines, and a round trip.
FETCH_SETUP = 0.006


class Estimate(NamedTuple):
    """Seconds until the first byte, and prompt tokens that must be read for it.

    ``source`` is the upstream from which it fetches what it lacks, None for none.
    ``ahead`` are the prompt tokens that are read before, and ``alone`` tells that the
    upstream has little else to do. ``placer`` is as in Sent. ``charged`` tells that
    whoever chose the upstream has spent the credit for its limit.
    """

    seconds: float
    prefill: int
    source: Station | None = None
    ahead: int = 0
    alone: bool = False
    placer: str = ""
    charged: bool = False


class Copies(NamedTuple):
    """The leading tokens of a prompt that upstreams are believed to have, by name.

    ``most`` are the two that have most, the first one first: whichever upstream lacks
    some of the prompt, one of them is the best other one to fetch it from.
    """

    tokens: dict[str, int]
    most: tuple[str, ...]


NO_COPIES = Copies({}, ())
NO_LOADS = MappingProxyType({})


class Origin(NamedTuple):
    """From where a request is sent, and who chooses its upstream.

    ``centre`` is the data centre of the instance that will send the request.
    ``placer`` names this process where it chooses for all instances, and so knows what
    it placed; an empty text where it chooses for itself.
    """

    centre: str
    placer: str = ""


class PoolBalance:
    """State of one pool: its stations and what its upstreams were measured to do."""

    def __init__(self, traits, data_centre, rng):
        self.traits = traits
        self.stations = {}
        self.caches = PromptCaches()
        self.rate = PREFILL_RATE
        # The same, of engines that have little else to do.
        self.lone_rate = PREFILL_RATE
        self.service_time = ServiceTime()
        # Engine seconds of all that was asked for, here and at each other instance.
        self.work = 0.0
        self.peers_work = {}
        self._alone = Origin(data_centre)
        self._rng = rng
        # Made when it is asked for. Load: hundreds of upstreams register at once. Harm:
        # made anew for each, it would take half a minute of the processor.
        self._ring = None

    def put(self, registration):
        """Take a new or changed upstream."""
        known = self.stations.get(registration.name)
        if known is not None:
            known.registration = registration
            return
        self.stations[registration.name] = Station(registration)
        self._ring = None

    def hear(self, others, until, unplaced=NO_LOADS):
        """Take what all other instances had in flight a moment ago, by upstream.

        ``unplaced`` is the part for which this instance did not choose the upstream.
        """
        others = self._even_out(others)
        unplaced = self._even_out(unplaced) if unplaced else unplaced
        for name, station in self.stations.items():
            station.hear(others[name], until, unplaced.get(name, NOTHING))

    def _even_out(self, loads):
        """Return the loads of all stations, what waits there nearer to their mean."""
        found = {name: loads.get(name, NOTHING) for name in self.stations}
        mean = sum(load.prefill for load in found.values()) / max(1, len(found))
        return {
            name: load._replace(
                prefill=round(mean + OTHERS_WEIGHT * (load.prefill - mean))
            )
            for name, load in found.items()
        }

    def learn(self, placements):
        """Take where other instances have sent long prompts of late."""
        if self.traits.engine is not None:
            known = [item for item in placements if item.upstream in self.stations]
            self.caches.learn(known, self.traits.engine.memory_tokens)

    def remove(self, name):
        """Forget an upstream and return its address, or None."""
        station = self.stations.pop(name, None)
        if station is None:
            return None
        self._ring = None
        self.caches.forget(name)
        return station.registration.address

    def list_open(self, excluded=()):
        """Return the stations that may take new work."""
        return [
            station
            for name, station in self.stations.items()
            if not station.registration.leaving and name not in excluded
        ]

    def choose(self, demand, excluded, now, origin=None):
        """Return the best station and its estimate, or None where there is none.

        Without an Origin this instance chooses for itself.
        """
        able = self.list_open(excluded)
        if not able:
            return None
        origin = origin or self._alone
        placing = bool(origin.placer)
        copies = self._find_copies(demand, able, placing)
        ranked = []
        for station in able:
            estimate = self.estimate(station, demand, now, copies, placing)
            weight = self._weigh(station, estimate, origin.centre, now)
            ranked.append((weight, len(ranked), estimate))
        _, index, estimate = min(ranked)
        return able[index], estimate._replace(placer=origin.placer)

    def estimate(self, station, demand, now, copies=NO_COPIES, placing=False):
        """Return when the station is expected to answer, failures left aside.

        ``copies`` are what the upstreams are believed to have of the prompt.
        """
        load = station.count(now, placing)
        if self.traits.engine is None:
            slots = max(1, station.registration.slots)
            turns = (load.requests + 1) / slots
            seconds = self.service_time.measure(now) * max(1.0, turns)
            return Estimate(seconds, 0)
        cached, fetched, source = self._plan_fetch(station, copies)
        prefill = max(0, demand.prompt_tokens - cached - fetched)
        seconds = (load.prefill + prefill) / self.rate
        seconds += FIRST_STEP + STEP_PER_REQUEST * load.requests
        if source is not None:
            seconds += self._measure_fetch(fetched)
        if self._is_full(load, demand):
            seconds += self._wait_for_room(load)
        alone = not load.prefill and load.requests < ALONE
        return Estimate(seconds, prefill, source, load.prefill, alone)

    def is_crowded(self, estimate, shortest):
        """Tell whether whatever is let in now would make all of the pool start late.

        ``shortest`` is the shortest latency target of its routes, in seconds. Load:
        engines that are asked for more than they can do, for seconds. Harm: each prompt
        waits for all before it, up to its deadline; all begin late, and the engines
        work for nothing. So no queue grows beyond what that target bears. It is the
        same for all kinds and sizes: a longer one for some would leave no room to the
        others. Where nobody placed for all, queues aren't known well enough.
        """
        if self.traits.engine is None or not estimate.placer:
            return False
        most = max(LEAST_QUEUE, shortest * QUEUE_PART)
        return estimate.ahead / self.rate > most

    def _plan_fetch(self, station, copies):
        """Return the tokens that a station has, those it may fetch, and from where."""
        name = station.registration.name
        cached = copies.tokens.get(name, 0)
        best = next((other for other in copies.most if other != name), None)
        if not self.traits.engine.link_rate or best is None:
            return cached, 0, None
        lacking = copies.tokens[best] - cached
        if lacking < FETCHED_TOKENS:
            return cached, 0, None
        return cached, lacking, self.stations[best]

    def _measure_fetch(self, tokens):
        engine = self.traits.engine
        return FETCH_SETUP + tokens * engine.token_bytes * 8 / engine.link_rate

    def _is_full(self, load, demand):
        room = self.traits.engine.memory_tokens * MEMORY_PART
        tokens = load.tokens + demand.prompt_tokens + demand.output_tokens
        return load.requests >= self.traits.engine.slots or tokens > room

    def _wait_for_room(self, load):
        """Return seconds until one of the running requests has ended, roughly."""
        return 1.0 + load.requests / self.traits.engine.slots

    def _weigh(self, station, estimate, centre, now):
        far = station.registration.data_centre != centre
        seconds = estimate.seconds * self._rng.uniform(1.0, 1.0 + SPREAD)
        seconds += station.measure_failures(now) * FAILURE_COST
        return seconds + (FAR_COST if far else 0.0)

    def _find_copies(self, demand, able, placing=False):
        """Return the Copies of a prompt's shared parts.

        Where nobody is known to have a subject, its own upstream on the ring is taken
        to: other instances may have sent it there a moment ago, and do so too. One that
        is placing for all knows where they have.
        """
        if self.traits.engine is None or len(demand.parts) < 2:
            return NO_COPIES
        shared = demand.parts[:-1]
        counted = ((name, self.caches.count(name, shared)) for name in self.stations)
        tokens = {name: count for name, count in counted if count}
        total = sum(part.tokens for part in shared)
        if not placing and total not in tokens.values():
            for owner in self._find_owner(demand, able):
                tokens[owner] = total
        return Copies(tokens, tuple(nlargest(2, tokens, key=tokens.get)))

    def _find_owner(self, demand, able):
        """Return the name of the subject's own upstream on the ring, one at most."""
        names = {station.registration.name for station in able}
        if self._ring is None:
            self._ring = Ring(self.stations)
        return self._ring.find(demand.subject, 1, names)

    def ask(self, demand, estimate):
        """Count the work that a caller asks for, once, whatever becomes of it.

        Guard: engines that are overloaded seem slow, and those that refuse are asked
        twice. Counted in their time of now, or at each attempt, the work would look
        larger the fewer engines there are, and orders follow it up without an end.
        """
        self.work += estimate.prefill / self.lone_rate
        self.work += demand.expected_tokens * TOKEN_TIME

    def send(self, station, demand, estimate, now):
        """Take note that the request goes to the station."""
        sent = make_sent(demand, estimate, now)
        station.ledger.add(demand.request_id, sent)
        self._note_prompt(station, demand, now)

    def place(self, key, demand, found, now):
        """Take note that another instance was told to send a request to a station.

        ``key`` tells the request from those of all other instances.
        """
        station, estimate = found
        sent = make_sent(demand, estimate, now)._replace(
            read_by=now + 2 * estimate.seconds + READ_WAIT, over_by=demand.deadline
        )
        station.placed.add(key, sent)
        self._note_prompt(station, demand, now)

    def _note_prompt(self, station, demand, now):
        if self.traits.engine is not None:
            self.caches.note(
                station.registration.name,
                demand.parts[:-1],
                self.traits.engine.memory_tokens,
                now,
            )

    def start(self, station, demand, now):
        """Take note of the first byte of the answer; tell whether it is news."""
        return self._measure(station.ledger.start(demand.request_id), now)

    def start_placed(self, station, key, now):
        """Take note of the first byte of an answer to another instance."""
        return self._measure(station.placed.start(key), now)

    def _measure(self, sent, now):
        """Learn from a prompt that was read, None for one that was before."""
        if sent is None:
            return False
        took = now - sent.at
        tokens = sent.prefill + sent.ahead
        if self.traits.engine is None:
            self.service_time.record(took, now)
        elif tokens >= MEASURED_TOKENS and took > FIRST_STEP:
            rate = min(FASTEST_RATE, max(SLOWEST_RATE, tokens / (took - FIRST_STEP)))
            self.rate = blend(self.rate, rate)
            if sent.alone:
                self.lone_rate = blend(self.lone_rate, rate)
        return True

    def end_placed(self, station, key, failed, now):
        """Take note that another instance's attempt is over."""
        station.placed.remove(key)
        if failed is not None:
            station.record(failed, now)

    def expire_placed(self, now):
        """Forget what other instances haven't spoken of for too long."""
        for station in self.stations.values():
            station.placed.expire(now)

    def end(self, station, demand, failed, now):
        """Take note that the attempt is over."""
        station.ledger.remove(demand.request_id)
        if failed is not None:
            station.record(failed, now)


def make_sent(demand, estimate, now):
    """Return what is noted of a request that goes to an upstream."""
    return Sent(
        estimate.prefill,
        demand.prompt_tokens + demand.output_tokens,
        estimate.ahead,
        now,
        estimate.alone,
        placer=estimate.placer,
    )
