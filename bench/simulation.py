"""Entry instances, each with a scheduler of its own, before modelled upstreams."""

import math
from random import Random

from chervilwing.models import MODEL, SERVICE
from chervilwing.scheduling import SchedulingSettings
from chervilwing.work import BUSY, CANCELLED, FAILED, LEAVING, OK, Work

from .arrivals import draw_requests
from .deployments import (
    BETWEEN_CENTRES,
    ENTRIES,
    WITHIN_CENTRE,
    build_configuration,
    list_upstreams,
)
from .engines import Clock, Engine

SEED = 20261202
REPORT_EVERY = 1.0
REPORT_LAG = 0.3
NOTICE = 10.0
LIST_LAG = 2.0
SHIFT_EVERY = 0.25
SLOW_AT = 20.0
DRAIN = 120.0
# Callers who aren't told when to come back do so after a second.
DEFAULT_RETRY = 1.0
CAUSES = {"failed": FAILED, "busy": BUSY}


class Run:
    """One policy under one load in one deployment."""

    def __init__(self, deployment, load, policy, seed=SEED):
        self.clock = Clock()
        self._seed = seed
        self.load = load
        self.policy = policy
        self.deployment = deployment
        self.upstreams = {up.name: up for up in list_upstreams(deployment)}
        self.engines = self._build_engines()
        self.entries = [self._build_entry(index) for index in range(len(ENTRIES))]
        self.requests = draw_requests(deployment, load, Random(seed))
        self._by_name = {request.name: request for request in self.requests}
        self._notice_at = load.duration / 2
        self._wakeups = [None] * len(ENTRIES)

    def play(self):
        """Run to the end and return the requests."""
        for request in self.requests:
            self.clock.call(request.arrival, self._offer, request)
            self.clock.call(request.deadline, self._hang_up, request)
        self._report()
        self._break()
        self.clock.run(self.load.duration + DRAIN)
        return self.requests

    def _build_engines(self):
        computed = set()
        return {
            name: Engine(name, self.clock, computed, up.slots)
            if up.kind == MODEL
            else Engine(name, self.clock, computed, up.slots, 1.0, 0.0)
            for name, up in self.upstreams.items()
        }

    def _build_entry(self, index):
        cfg = SchedulingSettings(ENTRIES[index], len(ENTRIES))
        scheduler = self.policy.build(cfg, Random(self._seed + index))
        scheduler.configure(build_configuration(self.deployment))
        return scheduler

    def _break(self):
        """Plan the load's faults."""
        names = list(self.engines)
        if self.load.slow != 1.0:
            for name in (names[0], names[-1]):
                slow = self.engines[name].slow
                self.clock.call(SLOW_AT, slow, self.load.slow)
        for name, up in self.upstreams.items():
            if up.data_centre == self.load.reclaimed:
                self._plan_reclaim(name)

    def _plan_reclaim(self, name):
        for index in range(len(ENTRIES)):
            lag = 0.1 if index == 0 else LIST_LAG
            self.clock.call(self._notice_at + lag, self._notice, index, name)
        self.clock.call(self._notice_at + NOTICE, self.engines[name].kill)

    def _notice(self, index, name):
        self.entries[index].mark_leaving(name, self.clock.now)
        self._poke(index)
        if self.policy.moves:
            self._shift(index, name)

    def _shift(self, index, name):
        if self.engines[name].dead:
            return
        moves = self.entries[index].shift(
            name, self._notice_at + NOTICE, self.clock.now
        )
        for request_id in moves:
            self._move(index, name, self._find(request_id))
        self._poke(index)
        self.clock.call(SHIFT_EVERY, self._shift, index, name)

    def _find(self, request_id):
        return self._by_name[request_id]

    def _move(self, index, name, request):
        done = self.engines[name].cancel(request)
        if done is not None:
            request.tokens += done
            request.exported = True
        self._end(index, name, request, LEAVING, 0.0, done or 0.0)

    def _report(self):
        """Pass every upstream's load on, late, to every entry instance."""
        now = self.clock.now
        reports = [
            (name, *engine.report(), engine.slots, now)
            for name, engine in self.engines.items()
            if not engine.dead
        ]
        for index in range(len(ENTRIES)):
            self.clock.call(REPORT_LAG, self._hear, index, reports)
        self.clock.call(REPORT_EVERY, self._report)

    def _hear(self, index, reports):
        for report in reports:
            self.entries[index].report_load(*report, self.clock.now)
        self._poke(index)

    def _make_work(self, request):
        return Work(
            request.name,
            request.customer,
            request.kind.name,
            request.kind.pool,
            request.deadline,
            MODEL if request.kind.prefix else SERVICE,
            prompt_tokens=request.prompt,
            max_tokens=request.max_tokens,
            prefix=request.prefix,
            idempotent=request.kind.idempotent,
            tokens=int(request.tokens),
            attempts=max(0, request.attempts - 1),
        )

    def _offer(self, request):
        request.offers += 1
        refusal = self.entries[request.entry].offer(
            self._make_work(request), self.clock.now
        )
        if refusal is not None:
            self._refuse(request, refusal)
        self._poke(request.entry)

    def _refuse(self, request, refusal):
        if request.offers <= self.load.returns:
            after = refusal.exc.retry_after or DEFAULT_RETRY
            request.deadline = math.inf
            self.clock.call(after, self._come_back, request)
            return
        request.closed = True
        request.cause = refusal.exc.type

    def _come_back(self, request):
        """Let the caller send the request again, with all of its time."""
        request.arrival = self.clock.now
        request.deadline = self.clock.now + request.kind.deadline
        self.clock.call(request.kind.deadline, self._hang_up, request)
        self._offer(request)

    def _hang_up(self, request):
        """Let the caller go at the deadline."""
        if request.closed or self.clock.now < request.deadline:
            return
        request.closed = True
        request.cause = "caller gave up"
        entry = self.entries[request.entry]
        if entry.withdraw(request.name, self.clock.now) or request.upstream is None:
            return
        done = self.engines[request.upstream].cancel(request)
        self._end(request.entry, request.upstream, request, CANCELLED, 0.0, done or 0)

    def _poke(self, index):
        """Carry out what the scheduler decides now and plan its next time."""
        entry = self.entries[index]
        now = self.clock.now
        for refusal in entry.expire(now):
            self._refuse(self._find(refusal.request_id), refusal)
        for placement in entry.dispatch(now):
            self._send(index, placement)
        due = entry.next_wakeup(now)
        planned = self._wakeups[index]
        if due is not None and (planned is None or due < planned):
            self._wakeups[index] = due
            self.clock.call(max(0.0, due - now) + 1e-6, self._wake, index)

    def _wake(self, index):
        self._wakeups[index] = None
        self._poke(index)

    def _send(self, index, placement):
        request = self._find(placement.request_id)
        request.attempts += 1
        request.upstream = request.last_upstream = placement.upstream
        sent = self.clock.now
        decode = max(1.0 if request.prompt else 0.01, request.output - request.tokens)
        attempt = request.attempts

        delay = self._measure_delay(index, placement.upstream)

        def hear(event, sequence):
            args = (index, placement.upstream, attempt, sent, event, sequence.done)
            self.clock.call(delay, self._hear_event, request, *args)

        self.clock.call(delay, self._arrive, placement.upstream, request, decode, hear)

    def _arrive(self, name, request, decode, hear):
        if not request.closed:
            self.engines[name].arrive(request, decode, hear)

    def _measure_delay(self, index, name):
        same = ENTRIES[index] == self.upstreams[name].data_centre
        return WITHIN_CENTRE if same else BETWEEN_CENTRES

    def _hear_event(self, request, index, name, attempt, sent, event, done):
        """Act on what an upstream says of an attempt; a crossed one is dropped."""
        if request.closed or request.attempts != attempt or request.upstream != name:
            return
        now = self.clock.now
        if event == "first":
            request.first_token = request.first_token or now
            return
        if event == "done":
            request.closed = True
            request.finished = now
            self._end(index, name, request, OK, now - sent, done)
            return
        request.tokens += done
        request.exported = False
        self._end(index, name, request, CAUSES[event], now - sent, done)

    def _end(self, index, name, request, outcome, duration, done):
        request.upstream = None
        entry = self.entries[index]
        began = request.first_token or self.clock.now
        first = began - (self.clock.now - duration)
        entry.finish(
            request.name, name, outcome, first, duration, int(done), self.clock.now
        )
        if outcome not in (OK, CANCELLED):
            work = self._make_work(request)
            refusal = entry.retry(work, name, outcome, self.clock.now)
            if refusal is not None:
                self._refuse(request, refusal)
        self._poke(index)
