"""Admission by urgency under load: one placer, engines that read urgent prompts first.

Extends the simulation of ``outdated_loads`` by organisations, kinds with priorities and
callers that return after a refusal.
"""

import heapq
from typing import NamedTuple

from chervilwing.balancing import FIRST_TOKEN_TIME, PlacementOrigin
from chervilwing.demands import Demand, PromptPart
from chervilwing.pool_admission import (
    AdmissionRequest,
    Admit,
    PoolAdmission,
    Refuse,
    measure_room,
)
from tests.outdated_loads import (
    ASK_TIME,
    PLACER,
    REPORT_TIME,
    TOKEN_SECONDS,
    Simulation,
)

# Different first parts of each kind of prompt.
SUBJECTS = 8
ENGINE_RATE = 50_000.0
RUN_INTERVAL = 0.01
MAX_WAIT_PART = 1 / 3


class Kind(NamedTuple):
    """A kind of stream; ``shared`` and ``own`` are prompt tokens, times in seconds."""

    name: str
    priority: int
    per_second: float
    shared: int
    own: int
    output: int
    target: float
    deadline: float


# The kinds of stream of customer A.
FILE = Kind("file", 0, 70, 6300, 2890, 13, 0.8, 6.0)
SUMMARY = Kind("summary", 1, 81, 568, 1800, 6, 1.2, 4.0)
TAGS = Kind("tags", 2, 46, 172, 543, 65, 2.5, 15.0)
KINDS = (FILE, SUMMARY, TAGS)
ORGANISATIONS = tuple(f"o{number}" for number in range(6))


class PriorityEngine:
    """An engine that reads one prompt at a time, the most urgent first."""

    def __init__(self):
        self.waiting, self.reading, self.parts = [], False, set()
        self.alive = True


class Outcome(NamedTuple):
    """One request: its kind, organisation, prompt tokens and result."""

    kind: str
    organisation: str
    tokens: int
    sent_at: float
    in_time: bool


class UrgentLoad(Simulation):
    """Requests of KINDS before a placer that admits by urgency.

    ``scale(kind, organisation, now)`` is the factor on a kind's rate. ``returns`` is
    "told" if refused callers return once at the stated time, "hasty" if they return
    every 0.1 s instead. Without ``admission`` all requests are placed at once.
    """

    def __init__(self, engines, scale, seed=1, returns="told", admission=True):
        super().__init__(1, engines, (0.3, 0.9), seed, placer=True)
        self.engines = {name: PriorityEngine() for name in self.engines}
        self.pool = self.pools[0]
        self.admission = PoolAdmission() if admission else None
        self.outcomes, self.late_refusals, self.returned = [], 0, []
        self.read_tokens, self.told = 0, []
        self._scale, self._returns = scale, returns
        self._states = {}
        # Requests without an outcome so far, by id.
        self._open = {}
        self._first_tries = {}
        self._origin = PlacementOrigin("a", PLACER)

    def run(self, seconds):
        for kind in KINDS:
            for organisation in ORGANISATIONS:
                self._push(self.rng.random() / 10, self._arrive, kind, organisation)
        self._push(0.0, self._run_admission)
        while self._queue and self._queue[0][0] <= seconds:
            now, _, action, args = heapq.heappop(self._queue)
            action(now, *args)
        for item in list(self._open.values()):
            self._record(*item, False)

    def measure(self, of=lambda outcome: True, start=0.0, end=float("inf")):
        """Return the fraction in time of the requests sent between two times."""
        found = [o for o in self.outcomes if of(o) and start <= o.sent_at < end]
        return sum(o.in_time for o in found) / max(1, len(found))

    def measure_kind(self, kind, start=0.0, end=float("inf"), organisations=None):
        names = organisations or ORGANISATIONS
        of = lambda o: o.kind == kind.name and o.organisation in names
        return self.measure(of, start, end)

    def set_leaving(self, at, number, leaving):
        """Let the first engines leave at a time, or return."""
        self._push(at, self._set_leaving, number, leaving)

    def _set_leaving(self, now, number, leaving):
        for state in list(self.pool.upstream_states.values())[:number]:
            self.pool.put_upstream(state.registration._replace(leaving=leaving))

    def _arrive(self, now, kind, organisation):
        rate = (
            kind.per_second / len(ORGANISATIONS) * self._scale(kind, organisation, now)
        )
        if rate:
            self._begin(now, kind, organisation)
        gap = self.rng.expovariate(rate) if rate else 0.05
        self._push(now + gap, self._arrive, kind, organisation)

    def _begin(self, now, kind, organisation, own=None):
        number = next(self._event_numbers)
        own = own or max(50, int(kind.own * self.rng.lognormvariate(-0.3, 0.8)))
        subject = f"{kind.name}{self.rng.randrange(SUBJECTS)}"
        parts = (PromptPart(subject, kind.shared), PromptPart(f"own{number}", own))
        tokens = kind.shared + own
        demand = Demand(
            f"r{number}", now + kind.deadline, tokens, kind.output, kind.output, parts,
            band=kind.priority,
        )  # fmt: skip
        self._open[demand.request_id] = (kind, organisation, demand, now)
        self._try(now, kind, organisation, demand, now, 0)

    def _try(self, now, kind, organisation, demand, first, tries):
        """Ask the placer, at first or again."""
        item = (kind, organisation, demand, first, tries, now)
        if self.admission is None:
            self._place(now + ASK_TIME, item)
            return
        _, estimate = self.pool.choose(demand, (), now, self._origin)
        request = AdmissionRequest(
            (demand.request_id, tries), kind.priority, organisation, estimate.prefill,
            estimate.unqueued_seconds, kind.target, now + kind.target,
            demand.deadline, now, demand.request_id,
        )  # fmt: skip
        room = measure_room(self.pool, now, True, scale=self.admission.scale)
        decision = self.admission.decide(request, room, now)
        if isinstance(decision, Admit | Refuse):
            self._handle(now, item, decision)
        else:
            self._states[request.key] = item

    def _run_admission(self, now):
        self._push(now + RUN_INTERVAL, self._run_admission)
        self.pool.expire_placed(now)
        if self.admission is None:
            return
        self.admission.update_overload(now)
        self.admission.expire(now)
        room = measure_room(self.pool, now, True, scale=self.admission.scale)
        for key, decision in self.admission.list_admitted(room, now):
            self._handle(now, self._states.pop(key), decision)

    def _handle(self, now, item, decision):
        kind, organisation, demand, first, tries, began = item
        if isinstance(decision, Admit):
            if tries and self._returns == "told":
                self.returned.append(True)
            self._place(now + ASK_TIME, item)
            return
        if tries and self._returns == "told":
            self.returned.append(False)
        self.late_refusals += now - began > kind.target / 4
        wait = decision.retry_after
        self.told.append(now + wait)
        if self._returns == "hasty":
            wait = 0.1
        elif tries or wait > (demand.deadline - now) * MAX_WAIT_PART:
            self._record(kind, organisation, demand, first, False)
            return
        if now + wait >= demand.deadline:
            self._record(kind, organisation, demand, first, False)
            return
        self._push(now + wait, self._try, kind, organisation, demand, first, tries + 1)

    def _record(self, kind, organisation, demand, first, in_time):
        del self._open[demand.request_id]
        self.outcomes.append(
            Outcome(kind.name, organisation, demand.prompt_tokens, first, in_time)
        )

    def _place(self, now, item):
        demand = item[2]
        chosen, estimate = self.pool.choose(demand, (), now, self._origin)
        self.pool.record_placed(demand.request_id, demand, (chosen, estimate), now)
        name = chosen.registration.name
        engine = self.engines[name]
        entry = (item[0].priority, next(self._event_numbers), item, chosen)
        heapq.heappush(engine.waiting, entry)
        self._read_next(now, engine)

    def _read_next(self, now, engine):
        if engine.reading or not engine.waiting:
            return
        engine.reading = True
        item, chosen = heapq.heappop(engine.waiting)[2:]
        tokens = item[2].prompt_tokens
        if item[2].parts[0].name in engine.parts:
            tokens -= item[2].parts[0].tokens
        engine.parts.add(item[2].parts[0].name)
        self.read_tokens += tokens
        self._push(now + tokens / ENGINE_RATE, self._finish, engine, item, chosen)

    def _finish(self, now, engine, item, chosen):
        engine.reading = False
        self._push(now + FIRST_TOKEN_TIME, self._begin_answer, item, chosen)
        self._read_next(now, engine)

    def _begin_answer(self, now, item, chosen):
        kind, organisation, demand, first, *_ = item
        self._record(kind, organisation, demand, first, now - first <= kind.target)
        if now > demand.deadline:
            self._push(now, self._report_ended, chosen, demand)
        self._push(now + REPORT_TIME, self._report_started, chosen, demand, now)
        ended = now + demand.output_tokens * TOKEN_SECONDS
        self._push(ended + REPORT_TIME, self._report_ended, chosen, demand)

    def _report_started(self, now, chosen, demand, at):
        self.pool.record_placed_first_byte(chosen, demand.request_id, at)

    def _report_ended(self, now, chosen, demand):
        self.pool.record_placed_end(chosen, demand.request_id, None, now)
