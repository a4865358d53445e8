"""Simulate entry instances, each with its own scheduler, and modelled upstreams."""

import math
from random import Random

from chervilwing.models import MODEL, SERVICE
from chervilwing.scheduling import SchedulingSettings
from chervilwing.work import BUSY, CANCELLED, FAILED, LEAVING, OK, Work

from .arrivals import draw_requests
from .deployments import (
    CROSS_CENTRE_DELAY,
    ENTRY_CENTRES,
    SAME_CENTRE_DELAY,
    build_configuration,
    list_upstreams,
)
from .engines import Clock, Engine

SEED = 20261202
# Seconds between load reports of an upstream, and their delay.
REPORT_INTERVAL = 1.0
REPORT_DELAY = 0.3
# Seconds from the notice of a reclaim to the end of the instance.
NOTICE_TIME = 10.0
# Seconds until an instance learns of a reclaim that another instance was notified of.
NOTICE_DELAY = 2.0
# Seconds between attempts to move requests off a reclaimed upstream.
SHIFT_INTERVAL = 0.25
SLOW_AT = 20.0
# Seconds after the last arrival for which the simulation goes on.
DRAIN_TIME = 120.0
# Seconds until a caller retries when the refusal names no delay.
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
        self.entries = [self._build_entry(index) for index in range(len(ENTRY_CENTRES))]
        self.requests = draw_requests(deployment, load, Random(seed))
        self._by_name = {request.name: request for request in self.requests}
        self._notice_at = load.duration / 2
        self._wakeups = [None] * len(ENTRY_CENTRES)

    def play(self):
        """Run to the end and return all requests."""
        for request in self.requests:
            self.clock.call(request.arrival, self._offer, request)
            self.clock.call(request.deadline, self._abandon, request)
        self._report()
        self._schedule_faults()
        self.clock.run(self.load.duration + DRAIN_TIME)
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
        cfg = SchedulingSettings(ENTRY_CENTRES[index], len(ENTRY_CENTRES))
        scheduler = self.policy.build(cfg, Random(self._seed + index))
        scheduler.configure(build_configuration(self.deployment))
        return scheduler

    def _schedule_faults(self):
        """Schedule the load's faults: slow upstreams and a reclaimed data centre."""
        names = list(self.engines)
        if self.load.slow != 1.0:
            for name in (names[0], names[-1]):
                slow = self.engines[name].slow
                self.clock.call(SLOW_AT, slow, self.load.slow)
        for name, up in self.upstreams.items():
            if up.data_centre == self.load.reclaimed:
                self._schedule_reclaim(name)

    def _schedule_reclaim(self, name):
        for index in range(len(ENTRY_CENTRES)):
            lag = 0.1 if index == 0 else NOTICE_DELAY
            self.clock.call(self._notice_at + lag, self._notice, index, name)
        self.clock.call(self._notice_at + NOTICE_TIME, self.engines[name].kill)

    def _notice(self, index, name):
        self.entries[index].mark_leaving(name, self.clock.now)
        self._run_scheduler(index)
        if self.policy.moves:
            self._shift(index, name)

    def _shift(self, index, name):
        if self.engines[name].dead:
            return
        moves = self.entries[index].shift(
            name, self._notice_at + NOTICE_TIME, self.clock.now
        )
        for request_id in moves:
            self._move(index, name, self._get_request(request_id))
        self._run_scheduler(index)
        self.clock.call(SHIFT_INTERVAL, self._shift, index, name)

    def _get_request(self, request_id):
        return self._by_name[request_id]

    def _move(self, index, name, request):
        done = self.engines[name].cancel(request)
        if done is not None:
            request.tokens += done
            request.exported = True
        self._end(index, name, request, LEAVING, 0.0, done or 0.0)

    def _report(self):
        """Report every upstream's load to every entry instance, with a delay."""
        now = self.clock.now
        reports = [
            (name, *engine.report(), engine.slots, now)
            for name, engine in self.engines.items()
            if not engine.dead
        ]
        for index in range(len(ENTRY_CENTRES)):
            self.clock.call(REPORT_DELAY, self._receive_reports, index, reports)
        self.clock.call(REPORT_INTERVAL, self._report)

    def _receive_reports(self, index, reports):
        for report in reports:
            self.entries[index].report_load(*report, self.clock.now)
        self._run_scheduler(index)

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
        self._run_scheduler(request.entry)

    def _refuse(self, request, refusal):
        if request.offers <= self.load.returns:
            after = refusal.exc.retry_after or DEFAULT_RETRY
            request.deadline = math.inf
            self.clock.call(after, self._retry_request, request)
            return
        request.closed = True
        request.cause = refusal.exc.type

    def _retry_request(self, request):
        """Send the refused request again, with its whole deadline."""
        request.arrival = self.clock.now
        request.deadline = self.clock.now + request.kind.deadline
        self.clock.call(request.kind.deadline, self._abandon, request)
        self._offer(request)

    def _abandon(self, request):
        """Cancel the request if it is still open at its deadline."""
        if request.closed or self.clock.now < request.deadline:
            return
        request.closed = True
        request.cause = "caller gave up"
        entry = self.entries[request.entry]
        if entry.withdraw(request.name, self.clock.now) or request.upstream is None:
            return
        done = self.engines[request.upstream].cancel(request)
        self._end(request.entry, request.upstream, request, CANCELLED, 0.0, done or 0)

    def _run_scheduler(self, index):
        """Carry out the scheduler's decisions and schedule its next wake-up."""
        entry = self.entries[index]
        now = self.clock.now
        for refusal in entry.expire(now):
            self._refuse(self._get_request(refusal.request_id), refusal)
        for placement in entry.dispatch(now):
            self._send(index, placement)
        due = entry.next_wakeup(now)
        planned = self._wakeups[index]
        if due is not None and (planned is None or due < planned):
            self._wakeups[index] = due
            self.clock.call(max(0.0, due - now) + 1e-6, self._wake, index)

    def _wake(self, index):
        self._wakeups[index] = None
        self._run_scheduler(index)

    def _send(self, index, placement):
        request = self._get_request(placement.request_id)
        request.attempts += 1
        request.upstream = request.last_upstream = placement.upstream
        sent = self.clock.now
        decode = max(1.0 if request.prompt else 0.01, request.output - request.tokens)
        attempt = request.attempts

        delay = self._measure_delay(index, placement.upstream)

        def notify(event, sequence):
            args = (index, placement.upstream, attempt, sent, event, sequence.done)
            self.clock.call(delay, self._handle_event, request, *args)

        self.clock.call(
            delay, self._arrive, placement.upstream, request, decode, notify
        )

    def _arrive(self, name, request, decode, notify):
        if not request.closed:
            self.engines[name].arrive(request, decode, notify)

    def _measure_delay(self, index, name):
        same = ENTRY_CENTRES[index] == self.upstreams[name].data_centre
        return SAME_CENTRE_DELAY if same else CROSS_CENTRE_DELAY

    def _handle_event(self, request, index, name, attempt, sent, event, done):
        """Handle an upstream's event, unless a later attempt has replaced it."""
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
        self._run_scheduler(index)
