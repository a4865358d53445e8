"""Schedule the requests of one entry instance, without I/O or reading a clock."""

from collections import OrderedDict
from heapq import heappop, heappush
from math import ceil

from . import admission, retries
from .admission import Prediction
from .bounds import keep_latest
from .costs import CostModel
from .exceptions import NOT_RUN, DeadlinePassed, Scope
from .models import Customer, WorkClass
from .pools import Pool, SchedulingSettings
from .queues import BANDS, LONG, LOWEST_BAND, SHORT, QueuedWork
from .retry_budgets import Budgets
from .traffic_splits import TrafficSplitter
from .upstreams import RunningAttempt
from .work import BUSY, FAILED, OK, SILENT, Placement, Refusal, Work

__all__ = ["Placement", "Refusal", "Scheduler", "SchedulingSettings", "Work"]

# Short urgent requests that an upstream may be sent beyond its slots. Such a request
# waits in the engine, gets the first slot freed by any entry instance, and engines
# honour its priority.
URGENT_EXTRA = 1
# After a loss of capacity, the lowest band waits this long (seconds): about as long as
# the survivors need to take over the moved work.
RECOVERY_SECONDS = 10.0
# Maximum number of leaving upstreams to remember. They are remembered because the
# instance list may still show them as live.
MAX_LEAVING_NAMES = 4096
# Maximum number of pauses to remember that upstreams asked for. They are remembered
# because the instance list may leave an upstream out for a while.
MAX_STATED_PAUSES = 4096
# In the last seconds before a leaving upstream ends, all its remaining work is moved.
FINAL_MOVE_SECONDS = 1.5


class Scheduler:
    """Admit, queue, place, move and retry the requests of one entry instance.

    An entry instance is an instance that accepts callers' requests. All times are float
    seconds on one monotonic clock; the caller reads it and passes the time as ``now``.
    No call blocks, and all randomness comes from ``rng``.
    """

    def __init__(self, cfg, rng):
        self._cfg = cfg
        self._rng = rng
        self._pools = {}
        self._pools_by_upstream = {}
        self._pools_by_request = {}
        self._customers = {}
        self._classes = {}
        self._splitters = {}
        self._configured_upstreams = {}
        self._listed_upstreams = {}
        self._costs = CostModel()
        self._budgets = Budgets()
        self._start_deadlines = []
        self._pause_ends = []
        self._refusals = []
        self._leaving_since = OrderedDict()
        # Ends of the pauses that upstreams asked for, by name and address.
        self._stated_pauses = OrderedDict()

    def configure(self, configuration):
        """Apply a configuration; queued and running requests stay."""
        rules = configuration.rules
        self._customers = {customer.name: customer for customer in rules.customers}
        self._classes = {work_class.name: work_class for work_class in rules.classes}
        for pool in self._pools.values():
            pool.latency_targets.clear()
        for pool in configuration.inventory.pools:
            if pool.name not in self._pools:
                self._pools[pool.name] = Pool(pool.name, pool.kind, self._cfg)
        upstreams = configuration.inventory.upstreams
        self._configured_upstreams = {upstream.name: upstream for upstream in upstreams}
        self._update_splitters(rules.routes)
        self._update_pools()

    def update_upstreams(self, upstreams):
        """Set the upstreams that the instance list adds to the inventory."""
        self._listed_upstreams = {upstream.name: upstream for upstream in upstreams}
        self._update_pools()

    def update_entries(self, count):
        """Set the number of live entry instances, including this one."""
        for pool in self._pools.values():
            pool.state.set_entry_count(count)
            pool.needs_dispatch = True

    def mark_leaving(self, name, now):
        """Send no new work to an upstream that received a reclaim notice."""
        self._leaving_since[name] = now
        keep_latest(self._leaving_since, MAX_LEAVING_NAMES)
        pool = self._find_pool_of(name)
        if pool is None or pool.state.upstream_states[name].leaving:
            return
        pool.state.upstream_states[name].leaving = True
        self._handle_lost_upstream(pool, name, now)

    def pause(self, name, seconds, now):
        """Send nothing to an upstream for the time that it asked for.

        Queued work that can't wait for so long is refused if no other upstream takes
        new work.
        """
        pool = self._find_pool_of(name)
        if pool is None:
            return
        upstream_state = pool.state.upstream_states[name]
        key = name, upstream_state.upstream.address
        end = max(now + seconds, self._stated_pauses.pop(key, now))
        self._stated_pauses[key] = end
        keep_latest(self._stated_pauses, MAX_STATED_PAUSES)
        heappush(self._pause_ends, (upstream_state.pause_until(end), name))
        pool.state.refresh(name)
        if pool.state.get_pause_end() > now:
            self._refuse_hopeless(pool, now)

    def is_paused(self, name, now):
        """Return whether an upstream asked for a pause that has not ended."""
        pool = self._find_pool_of(name)
        if pool is None:
            return False
        key = name, pool.state.upstream_states[name].upstream.address
        return now < self._stated_pauses.get(key, now)

    def mark_down(self, name, now):
        """Send no new work to an upstream until it reports or is marked up."""
        pool = self._find_pool_of(name)
        if pool is None or pool.state.upstream_states[name].down_since is not None:
            return
        pool.state.upstream_states[name].down_since = now
        self._handle_lost_upstream(pool, name, now)

    def mark_up(self, name):
        """Send work again to an upstream that is reachable."""
        pool = self._find_pool_of(name)
        if pool is None:
            return
        pool.state.upstream_states[name].down_since = None
        pool.refresh(name)

    def report_load(self, name, running, waiting, slots, as_of, now):
        """Record the load that an upstream reports.

        ``running``, ``waiting`` and ``slots`` count requests. ``as_of`` is the time of
        the measurement, in seconds on this instance's clock.
        """
        pool = self._find_pool_of(name)
        if pool is None:
            return
        pool.state.upstream_states[name].report(
            running + waiting, slots, min(as_of, now)
        )
        pool.refresh(name)

    def report_models(self, name, models):
        """Record an engine's loaded models; None if it does not report them."""
        pool = self._find_pool_of(name)
        if pool is not None and pool.state.upstream_states[name].models != models:
            pool.state.set_models(name, models)
            pool.needs_dispatch = True

    def list_engines(self, name):
        """Return the live upstreams of a pool with the models that they report."""
        upstream_states = self._pools[name].state.upstream_states.values()
        return [
            (state.upstream, state.models)
            for state in upstream_states
            if state.is_live()
        ]

    def measure_load(self, name):
        """Return how many slots of a pool all entry instances use or wait for.

        The queues of the other entry instances aren't visible. Behind one load balancer
        they are about as long as this instance's queue.
        """
        pool = self._pools[name]
        return pool.state.get_load() + len(pool.queue) * pool.state.entry_count

    def record_cache_event(self, name, prefix):
        """Record a cache event as a hint that the upstream has the prefix cached."""
        pool = self._find_pool_of(name)
        if pool is not None:
            pool.state.cache_hints.add(prefix, name)

    def choose_version(self, model, caller):
        """Return the model version for this caller's request, or '' without a split."""
        splitter = self._splitters.get(model)
        return splitter.choose(caller) if splitter else ""

    def offer(self, work, now):
        """Queue the work and return None, or return its refusal.

        Under saturation and bursts, work that can't finish in time is refused on
        arrival. Otherwise it would wait, use a slot and miss its deadline, although its
        caller could have been told to retry later.
        """
        pool = self._pools.get(work.pool)
        if pool is None:
            return Refusal(
                work.request_id, admission.make_no_upstream_error(work.pool, 5)
            )
        cost = self._costs.estimate(work)
        exc = self._judge(pool, work, cost, now)
        pool.record_cost(cost)
        pool.latency_targets[work.work_class] = self._find_customer_and_class(work)[
            1
        ].first_token
        pool.excess.record(cost, exc is None, now)
        pool.offered_rates[self._find_lane(pool, work, cost)].record(cost, now)
        if exc is not None:
            return Refusal(work.request_id, exc)
        self._enqueue(pool, work, cost)
        self._budgets.earn(work)
        return None

    def dispatch(self, now):
        """Return the placements to send now."""
        self._end_pauses(now)
        placements = []
        for pool in self._pools.values():
            if pool.needs_dispatch and len(pool.queue):
                pool.needs_dispatch = False
                placements.extend(self._place_queued(pool, now))
        return tuple(placements)

    def expire(self, now):
        """Return the refusals of queued work that can no longer meet its deadline.

        Each refusal is returned as soon as the deadline is out of reach, not when the
        deadline passes.
        """
        while self._start_deadlines and self._start_deadlines[0][0] <= now:
            _, request_id = heappop(self._start_deadlines)
            pool = self._pools_by_request.get(request_id)
            item = pool.queue.find(request_id) if pool else None
            # A request that was queued again has another entry with a later time.
            if item is not None and item.latest_start <= now:
                self._refuse_late(request_id, now)
        refusals = tuple(self._refusals)
        self._refusals.clear()
        return refusals

    def withdraw(self, request_id, now):
        """Remove queued work of a disconnected caller; return whether it was queued."""
        pool = self._pools_by_request.pop(request_id, None)
        return pool is not None and pool.queue.remove(request_id) is not None

    def finish(
        self, request_id, upstream, outcome, first_token_s, duration_s, tokens, now
    ):
        """Record how an attempt ended and free its slot.

        ``first_token_s`` and ``duration_s`` are in seconds since the placement. For a
        plain service, the first token is the whole answer.
        """
        pool = self._find_pool_of(upstream)
        if pool is None:
            return
        state = pool.state.upstream_states[upstream]
        attempt = state.end(request_id, now)
        if attempt is None:
            return
        pool.state.running -= 1
        pool.state.non_urgent_count -= attempt.non_urgent
        if outcome == OK:
            pool.record_first_token(attempt.work.work_class, first_token_s)
            self._update_estimates(pool, state, attempt, duration_s, tokens)
        elif outcome == BUSY:
            heappush(self._pause_ends, (state.pause(now), upstream))
        elif outcome in (FAILED, SILENT):
            state.limit.fail()
        pool.refresh(upstream)

    def retry(self, work, upstream, outcome, now):
        """Queue another attempt ahead of all new work, or return the refusal.

        ``work`` includes the tokens already streamed. Call this after ``finish``.
        """
        rule = retries.RETRY_RULES[outcome]
        pool = self._pools.get(work.pool)
        if pool is None:
            return Refusal(
                work.request_id, admission.make_no_upstream_error(work.pool, 5)
            )
        work = retries.with_counted_attempt(rule, work, upstream)
        if rule.reuse_if_only and not pool.state.has_other(work.excluded):
            work = work._replace(excluded=work.excluded - {upstream})
        exc = self._check_retry(pool, rule, work, upstream, now)
        if exc is not None:
            return Refusal(work.request_id, exc)
        self._enqueue(pool, work, self._costs.estimate(work), front=True)
        return None

    def shift(self, name, until, now):
        """Return the ids of the requests to move off a leaving upstream now, in order.

        In a reclaim wave, moving all the work of a zone at once would overload the
        surviving upstreams, although the work can still run where it is. So only as
        many requests move as there are free slots: the most urgent first, and among
        equally urgent ones those with the most work left. ``until`` is the time when
        the upstream ends; requests that should end before it stay. In the last
        FINAL_MOVE_SECONDS, all remaining requests move. Call this repeatedly until the
        upstream has no requests left.
        """
        pool = self._find_pool_of(name)
        if pool is None:
            return ()
        pace = pool.state.pace.mean
        is_final = until - now <= FINAL_MOVE_SECONDS
        moves = []
        for request_id, attempt in pool.state.upstream_states[name].running.items():
            remaining = attempt.started + attempt.cost * pace - now
            # Work that is slower than its estimate seems to end in time until it is cut
            # off, so the final move ignores the estimate.
            if attempt.work.idempotent and (is_final or now + remaining > until):
                moves.append((attempt.band, -remaining, request_id))
        request_ids = tuple(request_id for *_, request_id in sorted(moves))
        if is_final:
            return request_ids
        free_slots = ceil(pool.state.count_free_slots() / pool.state.entry_count)
        return request_ids[: max(0, free_slots - len(pool.queue))]

    def next_wakeup(self, now):
        """Return the time when ``expire`` or ``dispatch`` is next due, or None."""
        while (
            self._start_deadlines
            and self._start_deadlines[0][1] not in self._pools_by_request
        ):
            heappop(self._start_deadlines)
        times = [
            heap[0][0] for heap in (self._start_deadlines, self._pause_ends) if heap
        ]
        if self._refusals:
            return now
        return max(now, min(times)) if times else None

    def describe(self, now):
        """Return the PoolFigures of each pool by its name."""
        return {name: pool.describe(now) for name, pool in self._pools.items()}

    def _find_pool_of(self, upstream):
        return self._pools_by_upstream.get(upstream)

    def _update_splitters(self, routes):
        """Update the traffic splitters; keep the counts of unchanged shares."""
        old = self._splitters
        self._splitters = {}
        for route in routes:
            if not route.shares:
                continue
            existing = old.get(route.name)
            unchanged = existing is not None and existing.shares == tuple(route.shares)
            self._splitters[route.name] = (
                existing if unchanged else TrafficSplitter(route.shares)
            )

    def _update_pools(self):
        all_upstreams = {**self._configured_upstreams, **self._listed_upstreams}
        for name, pool in self._pools.items():
            members = [
                upstream for upstream in all_upstreams.values() if upstream.pool == name
            ]
            pool.state.update(members, self._leaving_since)
            pool.needs_dispatch = True
            self._restore_pauses(pool)
        self._pools_by_upstream = {
            name: self._pools[upstream.pool]
            for name, upstream in all_upstreams.items()
            if upstream.pool in self._pools
        }

    def _restore_pauses(self, pool):
        """Pause upstreams again that were removed and added during their pauses."""
        for (name, address), end in self._stated_pauses.items():
            state = pool.state.upstream_states.get(name)
            if state is None or state.upstream.address != address:
                continue
            if state.paused_until < end:
                heappush(self._pause_ends, (state.pause_until(end), name))
                pool.state.refresh(name)

    def _handle_lost_upstream(self, pool, name, now):
        pool.state.refresh(name)
        pool.recovering_until = now + RECOVERY_SECONDS
        self._refuse_hopeless(pool, now)

    def _refuse_hopeless(self, pool, now):
        """Refuse queued work that can't meet its deadline on the remaining capacity.

        After the reclaim of a data centre, serving the whole queue late would be worse
        than serving most of it in time. Less urgent work is refused first. Work that
        was already attempted is never refused here.
        """
        total_rate = pool.state.estimate_concurrency() / pool.state.pace.mean
        earliest_start = max(now, pool.state.get_pause_end())
        cost_ahead = 0.0
        items = pool.queue.list_waiting()
        for item in sorted(items, key=lambda item: (item.band, item.latest_start)):
            start = earliest_start + cost_ahead * admission.WAIT_MARGIN / total_rate
            if start > item.latest_start and not item.work.attempts:
                self._refuse_late(item.work.request_id, now)
            else:
                cost_ahead += item.cost

    def _find_customer_and_class(self, work):
        # An unknown name gets a customer or class with the default limits.
        customer = self._customers.get(work.customer) or Customer(work.customer)
        work_class = self._classes.get(work.work_class) or WorkClass(work.work_class)
        return customer, work_class

    def _judge(self, pool, work, cost, now):
        """Return the error that refuses new work, or None to admit it."""
        customer, work_class = self._find_customer_and_class(work)
        if not pool.state.count_live():
            retry_after = admission.compute_retry_after(2.0, 1.0, self._rng)
            return admission.make_no_upstream_error(pool.name, retry_after)
        exc = self._check_pause(pool, work, cost, now)
        if exc is not None:
            return exc
        prediction = self._predict(pool, work, cost, customer, work_class, now)
        excess = pool.excess.measure(now)
        retry_after = admission.compute_retry_after(prediction.wait, excess, self._rng)
        if pool.queue.count(work.customer) >= customer.queue_limit:
            return admission.make_customer_limit_error(work.customer, retry_after)
        # An idle pool accepts any work; otherwise a bad estimate could never be
        # corrected.
        if not pool.state.running and not len(pool.queue):
            return None
        if self._is_overloaded(pool, work, prediction, work_class, now):
            return admission.make_pool_full_error(pool.name, retry_after)
        return None

    def _check_pause(self, pool, work, cost, now):
        """Return the error for work that can't wait until a pause ends, or None."""
        wait = pool.state.get_pause_end() - now
        if wait <= 0 or now + wait + pool.state.pace.estimate(cost) <= work.deadline:
            return None
        return admission.make_pool_paused_error(pool.name, wait, self._rng)

    def _is_overloaded(self, pool, work, prediction, work_class, now):
        # Refusing work that can start now gains nothing, and only running work can
        # correct an estimate that is too high.
        over_target = prediction.wait > 0 and admission.misses_target(
            prediction, work_class.first_token
        )
        standing = pool.congestion.is_standing(_find_band(work_class), over_target, now)
        if standing and over_target:
            return True
        measured = pool.state.pace.measured
        return measured and admission.misses_deadline(prediction, work, now)

    def _predict(self, pool, work, cost, customer, work_class, now):
        """Return the predicted wait and service time of new work in this pool."""
        pace = pool.state.pace.mean
        band = _find_band(work_class)
        total_rate = pool.state.estimate_concurrency() / pace
        wait = 0.0
        keep_reserve = pool.must_keep_reserve(self._find_lane(pool, work, cost))
        if pool.queue.count_before(band) >= pool.state.count_with_room(keep_reserve):
            band_rate = pool.get_band_rate(band, total_rate, now)
            wait = pool.queue.estimate_wait(
                work.customer, customer.weight, band, cost, total_rate, band_rate, now
            )
        completions_ahead = wait * total_rate / pool.get_typical_cost()
        first_token = pool.first_token_seconds.get(work.work_class, 0.0)
        return Prediction(wait, completions_ahead, first_token, cost * pace)

    def _enqueue(self, pool, work, cost, front=False):
        customer, _ = self._find_customer_and_class(work)
        lane = self._find_lane(pool, work, cost)
        latest_start = work.deadline - pool.state.pace.estimate(cost)
        item = QueuedWork(work, cost, lane, latest_start)
        pool.queue.push(item, customer.weight, front)
        self._pools_by_request[work.request_id] = pool
        pool.needs_dispatch = True
        heappush(self._start_deadlines, (latest_start, work.request_id))

    def _find_lane(self, pool, work, cost):
        _, work_class = self._find_customer_and_class(work)
        return _find_band(work_class), LONG if pool.is_long(cost) else SHORT

    def _check_retry(self, pool, rule, work, upstream, now):
        """Return the error that refuses another attempt, or None to allow it."""
        excess = pool.excess.measure(now)
        retry_after = admission.compute_retry_after(1.0, excess, self._rng)
        if not retries.may_retry(rule, work):
            return retries.make_not_retried_error(rule, work, upstream, retry_after)
        if not pool.state.has_other(work.excluded):
            return retries.make_not_retried_error(rule, work, upstream, retry_after)
        cost = self._costs.estimate(work)
        exc = self._check_pause(pool, work, cost, now) if rule.not_run else None
        if exc is not None:
            return exc
        if now + pool.state.pace.estimate(cost) > work.deadline:
            return retries.make_too_late_error(rule, work, retry_after)
        if rule.budgeted and not self._budgets.spend(work):
            return retries.make_retry_budget_error(rule, work, retry_after)
        return None

    def _end_pauses(self, now):
        """Make upstreams available again whose pause after a busy answer has ended."""
        while self._pause_ends and self._pause_ends[0][0] <= now:
            _, name = heappop(self._pause_ends)
            pool = self._find_pool_of(name)
            if pool is None or pool.state.upstream_states[name].paused_until > now:
                continue
            pool.state.upstream_states[name].paused_until = 0.0
            pool.refresh(name)

    def _place_queued(self, pool, now):
        """Place queued work while upstreams have room for it."""
        pool.update_quota(now)
        blocked = set()
        deferred = []
        defer_lowest = now < pool.recovering_until
        while (item := pool.queue.peek(blocked, defer_lowest)) is not None:
            if item.latest_start < now:
                self._refuse_late(item.work.request_id, now)
                continue
            placement = self._place_item(pool, item, now)
            if placement is not None:
                yield placement
            elif pool.state.is_restricted(item.work) and pool.state.count_with_room(
                keep_reserve=False
            ):
                # Upstreams have room, but this work may not run on them: let other work
                # pass it.
                deferred.append(pool.queue.remove(item.work.request_id))
            else:
                blocked |= {(band, item.lane[1]) for band in BANDS}
        for item in deferred:
            customer, _ = self._find_customer_and_class(item.work)
            pool.queue.push(item, customer.weight, front=True)

    def _place_item(self, pool, item, now):
        work = item.work
        urgent = item.lane == (pool.urgent_band, SHORT)
        keep_reserve = pool.must_keep_reserve(item.lane) and not pool.queue.has_credit(
            item
        )
        extra = URGENT_EXTRA if urgent else 0
        choice = pool.state.choose(
            work, keep_reserve, extra, self._costs.estimate, self._rng
        )
        if choice is None:
            return None
        name, cost, cached = choice
        pool.queue.dequeue(item, now)
        self._pools_by_request.pop(work.request_id, None)
        attempt = RunningAttempt(work, item.band, cost, cached, not urgent, now)
        pool.state.non_urgent_count += not urgent
        pool.state.upstream_states[name].start(attempt, now)
        pool.state.running += 1
        pool.state.refresh(name)
        if work.prefix:
            pool.state.cache_hints.add(work.prefix, name)
        return Placement(work.request_id, name, cost)

    def _update_estimates(self, pool, state, attempt, duration_s, tokens):
        """Update estimates, limit and the customer's account after an answer."""
        cost = self._costs.record_finished(attempt.work, tokens, attempt.cached)
        pace = max(duration_s, 1e-6) / cost
        pool.state.pace.record(pace)
        state.limit.record(pace, pool.state.pace.best, state.slots)
        state.reset_pause()
        pool.queue.charge(attempt.work.customer, attempt.band, cost - attempt.cost)

    def _refuse_late(self, request_id, now):
        pool = self._pools_by_request.pop(request_id, None)
        item = pool.queue.remove(request_id) if pool else None
        if item is None:
            return
        exc = self._check_pause(pool, item.work, item.cost, now)
        if exc is not None and not item.work.attempts:
            self._refusals.append(Refusal(request_id, exc))
            return
        excess = pool.excess.measure(now)
        retry_after = admission.compute_retry_after(1.0, excess, self._rng)
        detail = f"pool {pool.name} can't meet the deadline any more"
        outcome = NOT_RUN if not item.work.attempts else None
        scope = Scope("pool", pool.name)
        exc = DeadlinePassed(
            detail, scope=scope, retry_after=retry_after, outcome=outcome
        )
        self._refusals.append(Refusal(request_id, exc))


def _find_band(work_class):
    return min(work_class.priority, LOWEST_BAND)
