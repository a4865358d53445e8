"""Simulation of many gateways in front of one pool of engines, without a network.

Each gateway knows its own requests at once, and the loads of all others only with a
delay, as in reports through group leaders. With a placer, the first gateway chooses for
all, and receives reports of begun and ended requests late or not at all. Upstreams may
work at different paces, and state them or others in their answers.
"""

import heapq
import random
from collections import deque
from functools import partial
from itertools import count
from typing import NamedTuple

from chervilwing.balancing import PlacementOrigin, PoolBalancer
from chervilwing.demands import Demand, PromptPart
from chervilwing.hashing import hash_text
from chervilwing.models import Address
from chervilwing.placing import PlacerPart
from chervilwing.registrations import Registration
from chervilwing.routing import EngineSpec, PoolSpec
from chervilwing.upstream_pace import StatedLoad
from chervilwing.upstream_states import NO_LOAD, UpstreamLoad, add_loads

SPEC = PoolSpec("engines", engine=EngineSpec(64, 372_000))
# Prompt tokens per second that an engine reads while it also generates.
ENGINE_RATE = 36_000.0
TOKEN_SECONDS = 0.009
SNAPSHOT_INTERVAL = 0.05
# Seconds until a placer's answer or a stated load arrives, and until a report of a
# request's start or end reaches the placer.
ASK_TIME = 0.003
REPORT_TIME = 0.03
PLACER = "first"
# Wait of a request that was refused.
REFUSED = float("inf")


class Kind(NamedTuple):
    """A kind of request.

    ``shared`` and ``subject`` are the tokens of these prompt parts and the number of
    different ones, ``own`` and ``output`` are mean token counts, and ``target`` is the
    latency target in seconds.
    """

    name: str
    per_second: float
    shared: tuple[int, int]
    subject: tuple[int, int]
    own: int
    output: int
    target: float


# Work of an insurer: long memos with a history each, short quotes and chats.
KINDS = (
    Kind("memo", 81.5, (2520, 4), (3780, 840), 2890, 40, 0.8),
    Kind("quote", 57.3, (341, 40), (227, 394), 1800, 18, 0.6),
    Kind("chat", 62.3, (103, 40), (69, 641), 543, 200, 0.4),
)


SHORTEST_TARGET = min(kind.target for kind in KINDS)
# Different work on the same engines: fewer, longer prompts that share less.
SHIFTED = (
    Kind("plan", 50.0, (2520, 4), (3780, 560), 5800, 52, 0.8),
    Kind("check", 40.0, (341, 16), (227, 887), 1800, 24, 0.6),
    Kind("talk", 20.0, (103, 40), (69, 962), 543, 270, 0.4),
)


# Calls of plain upstreams with SERVICE_SLOTS each, and the mean seconds of a call.
PAGES = PoolSpec("pages")
SERVICE_SLOTS = 6
SERVICE_SECONDS = 0.02
CALLS = (Kind("page", 450.0, (0, 1), (0, 1), 0, 0, 0.12),)
# Seconds of work between two looks at a pace that changes.
PACE_STEP = 0.01


def work(seconds, start, pace):
    """Return when some seconds of work at the usual pace end; ``pace`` is by time."""
    now = start
    while seconds > 0.0:
        step = min(seconds, PACE_STEP)
        now += step * pace(now)
        seconds -= step
    return now


class Engine:
    """An engine that reads prompts one after the other and caches them forever."""

    first_token = 0.015
    slots = 64

    def __init__(self, known_parts, pace=None):
        self.free_at = 0.0
        self.parts = set()
        # Parts that any engine of the pool has read, and the tokens of those that this
        # one read although another had them.
        self.known_parts = known_parts
        self.read_again = 0
        self._pace = pace

    def read(self, demand, now):
        """Return when the prompt will have been read."""
        tokens, cached = demand.prompt_tokens, True
        for part in demand.parts[:-1]:
            cached = cached and part.name in self.parts
            tokens -= part.tokens if cached else 0
            if not cached and part.name in self.known_parts:
                self.read_again += part.tokens
            self.parts.add(part.name)
            self.known_parts.add(part.name)
        start, seconds = max(self.free_at, now), tokens / ENGINE_RATE
        if self._pace is None:
            self.free_at = start + seconds
        else:
            self.free_at = work(seconds, start, self._pace)
        return self.free_at


class Service:
    """A plain upstream that runs several calls at once, in the order of arrival."""

    first_token = 0.0
    slots = SERVICE_SLOTS

    def __init__(self, pace, rng):
        self._free_at = [0.0] * SERVICE_SLOTS
        self._ends = []
        self._pace = pace
        self._rng = rng

    def read(self, demand, now):
        """Return when the call will have been answered."""
        start = max(now, self._free_at[0])
        at = work(SERVICE_SECONDS * self._rng.uniform(0.6, 1.4), start, self._pace)
        heapq.heapreplace(self._free_at, at)
        heapq.heappush(self._ends, at)
        return at

    def count_calls(self, now):
        """Return the number of calls that run or wait."""
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        return len(self._ends)


class Simulation:
    """Gateways and engines under a random load.

    ``age`` is the least and greatest age of the other gateways' loads in seconds. With
    a ``placer``, ``lost`` is the fraction of asks and reports that are lost. With
    several ``placers``, the first gateways each choose for a part of the subjects.
    ``paces`` returns the pace of an engine by its number and the time, ``stated`` what
    the engine states of it, by the same two and its pace.
    """

    spec, kinds = SPEC, KINDS
    # Data centres of the engines, in turn; all gateways are in "a".
    centres = ("a",)

    def __init__(
        self,
        gateways,
        engines,
        age,
        seed=1,
        load=1.0,
        placer=False,
        lost=0.0,
        paces=None,
        stated=lambda number, now, pace: pace,
        placers=1,
        parts=True,
    ):
        self.rng = random.Random(seed)
        self._paces, self._stated = paces, stated
        self._known_parts = set()
        self.engines = {f"u{n}": self._make_engine(n) for n in range(engines)}
        self.pools = [self._make_pool(seed + n) for n in range(gateways)]
        self.waits = {kind.name: [] for kind in (*self.kinds, *SHIFTED)}
        # Time and upstream of each request that was sent.
        self.sent = []
        self._placers = self.pools[:placers] if placer else []
        names = [f"{PLACER}{number}" for number in range(placers)]
        self._origins = [
            PlacementOrigin(
                "a",
                name,
                PlacerPart(tuple(names), name) if placers > 1 and parts else None,
            )
            for name in names
        ]
        self._lost = lost
        self._age = age
        self._load = load
        self._snapshots = deque()
        self._event_numbers = count()
        self._queue = []

    def _make_engine(self, number):
        return Engine(self._known_parts, self._paces and partial(self._paces, number))

    def _make_pool(self, seed):
        pool = PoolBalancer(self.spec, "a", random.Random(seed))
        for number, (name, engine) in enumerate(self.engines.items()):
            address = Address("10.0.0.1", number)
            centre = self.centres[number % len(self.centres)]
            registration = Registration(
                name, self.spec.name, address, centre, engine.slots
            )
            pool.put_upstream(registration)
        return pool

    def run(self, seconds, shift_at=float("inf")):
        """Run for some seconds; return the fraction of requests in time, by kind.

        From the second ``shift_at`` on, the work is SHIFTED.
        """
        self._shift_at = shift_at
        for kind in self.kinds:
            self._push(self.rng.random() / 10, self._arrive, kind)
        for kind in SHIFTED if shift_at < seconds else ():
            self._push(shift_at + self.rng.random() / 10, self._arrive, kind)
        self._push(0.0, self._report_loads)
        while self._queue:
            now, _, action, args = heapq.heappop(self._queue)
            if now > seconds:
                break
            action(now, *args)
        return {
            kind.name: sum(w <= kind.target for w in self.waits[kind.name])
            / len(self.waits[kind.name])
            for kind in (*self.kinds, *SHIFTED)
            if self.waits[kind.name]
        }

    @property
    def placer(self):
        """Return the state of the first gateway that chooses for all."""
        return self._placers[0]

    def replace_placer(self, now):
        """Let another gateway choose for all from now on."""
        self._placers = [self.pools[-1]]

    def count_late(self):
        """Return the fraction of requests that were refused or late."""
        kinds = (*self.kinds, *SHIFTED)
        late = sum(w > kind.target for kind in kinds for w in self.waits[kind.name])
        return late / sum(map(len, self.waits.values()))

    def sum_read_again(self):
        """Return the tokens that engines read although another had them cached."""
        return sum(engine.read_again for engine in self.engines.values())

    def _push(self, at, action, *args):
        heapq.heappush(self._queue, (at, next(self._event_numbers), action, args))

    def _report_loads(self, now):
        """Give each gateway the loads that the other gateways had some time ago."""
        loads = [
            {
                name: upstream_state.own_load
                for name, upstream_state in pool.upstream_states.items()
            }
            for pool in self.pools
        ]
        sums = {
            name: UpstreamLoad(
                *(sum(c) for c in zip(*(load[name] for load in loads), strict=True))
            )
            for name in self.engines
        }
        placed = [item for pool in self.pools for item in pool.caches.list_recent(now)]
        self._snapshots.append((now, loads, sums, placed, self._sum_unplaced(loads)))
        while now - self._snapshots[0][0] > self._age[1]:
            self._snapshots.popleft()
        for number, pool in enumerate(self.pools):
            # Gateways get reports at different times, so the ages of their data vary.
            phase = (now / (self._age[1] - self._age[0]) + number * 0.618) % 1.0
            age = self._age[0] + phase * (self._age[1] - self._age[0])
            old_enough = [item for item in self._snapshots if now - item[0] >= age]
            if not old_enough:
                continue
            _, loads, sums, placed, unplaced = old_enough[-1]
            pool.add_reported_prompts(placed)
            peer_loads = {
                name: UpstreamLoad(*(a - b for a, b in zip(total, own, strict=True)))
                for name, total in sums.items()
                for own in (loads[number][name],)
            }
            pool.set_peer_loads(peer_loads, now + 9.0, unplaced.get(number, {}))
        self._push(now + SNAPSHOT_INTERVAL, self._report_loads)

    def _sum_unplaced(self, loads):
        """Return, for each of several placers, the others' loads it didn't place."""
        if len(self._placers) < 2:
            return {}
        unplaced = {}
        for number in range(len(self._placers)):
            origin, found = f"{PLACER}{number}", unplaced.setdefault(number, {})
            for other, pool in enumerate(self.pools):
                if other == number:
                    continue
                for name, state in pool.upstream_states.items():
                    if loads[other][name] == NO_LOAD:
                        continue
                    by_placer = state.own_requests.sum_by_placer()
                    for placer, load in by_placer.items():
                        if placer != origin:
                            found[name] = add_loads(found.get(name, NO_LOAD), load)
        return unplaced

    def _arrive(self, now, kind):
        if kind in self.kinds and now >= self._shift_at:
            return
        self._push(
            now + self.rng.expovariate(kind.per_second * self._load), self._arrive, kind
        )
        number = next(self._event_numbers)
        own = max(50, int(kind.own * self.rng.lognormvariate(-0.3, 0.8)))
        shared = f"{kind.name}s{self.rng.randrange(kind.shared[1])}"
        subject = f"{kind.name}j{self.rng.randrange(kind.subject[1])}"
        parts = (
            PromptPart(shared, kind.shared[0]),
            PromptPart(subject, kind.subject[0]),
            PromptPart(f"o{number}", own),
        )
        tokens = sum(part.tokens for part in parts)
        demand = Demand(
            f"r{number}", now + 6.0, tokens, kind.output, kind.output, parts
        )
        pool = self.rng.choice(self.pools)
        waited = 0.0
        placer = None
        if self._placers and not self._is_lost():
            placer = hash_text(demand.subject) % len(self._placers)
        if placer is None:
            upstream_state, estimate = pool.choose(demand, (), now)
        else:
            upstream_state, estimate = self._ask(pool, placer, demand, now)
            waited = ASK_TIME
        if pool.is_overloaded(estimate, SHORTEST_TARGET):
            self.waits[kind.name].append(REFUSED)
            self._receive_ended(now, placer, upstream_state, demand)
            return
        pool.record_sent(upstream_state, demand, estimate, now)
        self.sent.append((now, upstream_state.registration.name))
        engine = self.engines[upstream_state.registration.name]
        at = engine.read(demand, now) + engine.first_token
        self.waits[kind.name].append(at + waited - now)
        self._push(at, self._start, pool, placer, upstream_state, demand)

    def _is_lost(self):
        return self.rng.random() < self._lost

    def _ask(self, pool, number, demand, now):
        """Return the placer's choice: the asker's own UpstreamState and Estimate."""
        placer, origin = self._placers[number], self._origins[number]
        chosen, estimate = placer.choose(demand, (), now, origin)
        placer.record_placed(demand.request_id, demand, (chosen, estimate), now)
        name = chosen.registration.name
        source = (
            estimate.source and pool.upstream_states[estimate.source.registration.name]
        )
        return pool.upstream_states[name], estimate._replace(source=source)

    def _state_load(self, now, pool, placer, upstream_state):
        """Give the asker, and later the placer, the load that an answer states."""
        name = upstream_state.registration.name
        number = int(name[1:])
        pace = self._stated(number, now, self._paces(number, now))
        calls = self._count_calls(name, now)
        slots = self.engines[name].slots
        load = StatedLoad(min(calls, slots), max(0, calls - slots), slots, pace)
        pool.record_stated_load(upstream_state, load, now, now)
        if placer is not None and not self._is_lost():
            self._push(now + ASK_TIME, self._receive_stated, placer, name, load, now)

    def _receive_stated(self, now, placer, name, load, at):
        pool = self._placers[placer]
        pool.record_stated_load(pool.upstream_states[name], load, at, now)

    def _count_calls(self, name, now):
        """Return the calls at an upstream that it states; engines' are not used."""
        return 0

    def _start(self, now, pool, placer, upstream_state, demand):
        if self._paces is not None:
            self._state_load(now, pool, placer, upstream_state)
        pool.record_first_byte(upstream_state, demand, now)
        if placer is not None and not self._is_lost():
            args = (placer, upstream_state, demand, now)
            self._push(now + REPORT_TIME, self._receive_started, *args)
        ended = now + demand.output_tokens * TOKEN_SECONDS
        self._push(ended, self._end, pool, placer, upstream_state, demand)

    def _end(self, now, pool, placer, upstream_state, demand):
        pool.record_end(upstream_state, demand, False, now)
        if placer is not None and not self._is_lost():
            args = (placer, upstream_state, demand)
            self._push(now + REPORT_TIME, self._receive_ended, *args)

    def _receive_started(self, now, placer, upstream_state, demand, at):
        pool = self._placers[placer]
        placer_state = pool.upstream_states[upstream_state.registration.name]
        pool.record_placed_first_byte(placer_state, demand.request_id, at)

    def _receive_ended(self, now, placer, upstream_state, demand):
        pool = self._placers[placer]
        placer_state = pool.upstream_states[upstream_state.registration.name]
        pool.record_placed_end(placer_state, demand.request_id, None, now)
        pool.expire_placed(now)


class PlainSimulation(Simulation):
    """The same gateways in front of plain upstreams."""

    spec, kinds = PAGES, CALLS

    def _make_engine(self, number):
        return Service(partial(self._paces, number), self.rng)

    def _count_calls(self, name, now):
        return self.engines[name].count_calls(now)

    def occupy(self, now, name, per_second, until):
        """Let other callers call an upstream until a time."""
        if now < until:
            self.engines[name].read(None, now)
            later = now + self.rng.expovariate(per_second)
            self._push(later, self.occupy, name, per_second, until)

    def compute_p95(self):
        """Return the wait that 95 in 100 calls don't exceed, in seconds."""
        waits = sorted(self.waits["page"])
        return waits[int(len(waits) * 0.95)]
