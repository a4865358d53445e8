"""Tests of the scheduler: what callers receive, and when."""

import unittest
from random import Random

from chervilwing import retries
from chervilwing.exceptions import (
    NOT_RUN,
    UNKNOWN,
    CustomerLimit,
    DeadlinePassed,
    NoUpstream,
    PoolFull,
    PoolPaused,
    UpstreamFailed,
)
from chervilwing.models import (
    MODEL,
    Address,
    Configuration,
    Customer,
    Inventory,
    Pool,
    Rules,
    Upstream,
    WorkClass,
)
from chervilwing.scheduling import Scheduler, SchedulingSettings
from chervilwing.work import BUSY, EXHAUSTED, FAILED, LEAVING, OK, Work

CLASSES = (WorkClass("memo", 1, 60.0, 5.0), WorkClass("batch", 2, 60.0, 30.0))


def make_configuration(size=2, slots=4, queue_limit=64):
    """Return a configuration of one model pool and one customer with a queue limit."""
    upstreams = tuple(
        Upstream(f"u{n}", MODEL, "pool", Address("127.0.0.1", 1), "a", slots=slots)
        for n in range(size)
    )
    customers = (Customer("org", queue_limit=queue_limit),)
    inventory = Inventory((Pool("pool", MODEL),), upstreams)
    return Configuration(1, "op", inventory, Rules(customers, CLASSES))


def make_scheduler(**sizes):
    """Return a scheduler as the only entry instance."""
    scheduler = Scheduler(SchedulingSettings("a", 1), Random(1))
    scheduler.configure(make_configuration(**sizes))
    return scheduler


def make_work(number, deadline=60.0, **fields):
    """Return one request of class memo with up to 100 tokens."""
    work = Work(str(number), "org", "memo", "pool", deadline, max_tokens=100)
    return work._replace(**fields)


def run_requests(scheduler, seconds=5.0):
    """Run 20 requests so that the scheduler learns the service time."""
    for number in range(20):
        scheduler.offer(make_work(f"w{number}"), 0.0)
        for placed in scheduler.dispatch(0.0):
            scheduler.finish(
                placed.request_id, placed.upstream, OK, 0.1, seconds, 60, 0.0
            )


def offer_requests(scheduler, count, now=0.0, **fields):
    """Offer ``count`` requests; return the placements and the refusals."""
    refusals = [scheduler.offer(make_work(n, **fields), now) for n in range(count)]
    return scheduler.dispatch(now), [refusal for refusal in refusals if refusal]


class TestStatedPauses(unittest.TestCase):
    def test_queued_work_that_cannot_wait_for_the_end_of_the_pause_is_refused(self):
        # It would wait in the queue until its deadline and be refused then.
        scheduler = make_scheduler(size=1)
        offer_requests(scheduler, 4)
        scheduler.offer(make_work("short", deadline=20.0), 0.0)
        scheduler.offer(make_work("long"), 0.0)
        scheduler.pause("u0", 30.0, 1.0)
        (refusal,) = scheduler.expire(1.0)
        self.assertEqual(refusal.request_id, "short")
        self.assertIsInstance(refusal.exc, PoolPaused)
        # Never before the end of the pause, and not all callers at the same moment.
        self.assertGreater(refusal.exc.retry_after, 30.0)
        self.assertLessEqual(refusal.exc.retry_after, 37.5)
        scheduler.finish("0", "u0", OK, 0.1, 5.0, 60, 2.0)
        self.assertEqual(scheduler.dispatch(30.9), ())
        (placement,) = scheduler.dispatch(31.1)
        self.assertEqual(placement.request_id, "long")

    def test_a_pause_outlasts_busy_answers_shorter_pauses_and_a_new_inventory(self):
        scheduler = make_scheduler(size=1)
        placements, _ = offer_requests(scheduler, 1)
        scheduler.pause("u0", 30.0, 0.0)
        scheduler.finish("0", "u0", BUSY, None, 0.1, 0, 0.1)
        scheduler.pause("u0", 5.0, 0.2)
        scheduler.configure(make_configuration(size=0))
        scheduler.configure(make_configuration(size=1))
        scheduler.offer(make_work("next"), 0.3)
        self.assertEqual(scheduler.dispatch(29.0), ())
        self.assertTrue(scheduler.is_paused("u0", 29.0))
        self.assertEqual(len(scheduler.dispatch(30.1)), 1)


class TestAdmission(unittest.TestCase):
    def test_work_that_cannot_meet_its_deadline_is_refused_on_arrival(self):
        scheduler = make_scheduler()
        run_requests(scheduler)
        offer_requests(scheduler, 8)
        refusal = scheduler.offer(make_work("late", deadline=4.0), 0.0)
        self.assertIsInstance(refusal.exc, PoolFull)
        self.assertEqual(refusal.exc.scope, ("pool", "pool"))
        self.assertEqual(refusal.exc.outcome, NOT_RUN)

    def test_full_customer_queue_is_refused_with_the_customer_as_scope(self):
        scheduler = make_scheduler(queue_limit=3)
        offer_requests(scheduler, 8)
        _, refusals = offer_requests(scheduler, 4)
        self.assertIsInstance(refusals[0].exc, CustomerLimit)
        self.assertEqual(refusals[0].exc.scope, ("customer", "org"))

    def test_idle_pool_accepts_work_whatever_the_estimate(self):
        scheduler = make_scheduler()
        run_requests(scheduler, seconds=500.0)
        self.assertIsNone(scheduler.offer(make_work("probe", deadline=20.0), 0.0))

    def test_without_upstreams_work_is_refused_at_once(self):
        scheduler = make_scheduler()
        scheduler.mark_leaving("u0", 0.0)
        scheduler.mark_down("u1", 0.0)
        self.assertIsInstance(scheduler.offer(make_work(1), 0.0).exc, NoUpstream)
        scheduler.report_load("u1", 0, 0, 4, 1.0, 1.0)
        self.assertIsNone(scheduler.offer(make_work(2), 1.0))

    def test_retry_after_grows_with_load_and_is_randomised(self):
        """A pool is offered a little over its capacity, then many times as much.

        With one constant Retry-After, all callers would leave and return together, and
        the pool would alternate between idle and overloaded.
        """
        mean_retry_after = []
        for request_count in (12, 200):
            scheduler = make_scheduler(queue_limit=10_000)
            run_requests(scheduler)
            offer_requests(scheduler, 8)
            _, refusals = offer_requests(scheduler, request_count, deadline=10.0)
            retry_after = [refusal.exc.retry_after for refusal in refusals]
            self.assertGreater(len(set(retry_after)), len(retry_after) // 2)
            mean_retry_after.append(sum(retry_after) / len(retry_after))
        self.assertGreater(mean_retry_after[1], 2 * mean_retry_after[0])


class TestExpiry(unittest.TestCase):
    def test_work_is_refused_once_its_deadline_is_out_of_reach(self):
        """Requests that never end hold all slots, and one more request waits.

        It needs 5 s and has 60 s left. It must be refused once, when 5 s are left, and
        not only at its deadline.
        """
        scheduler = make_scheduler()
        run_requests(scheduler)
        offer_requests(scheduler, 8)
        self.assertIsNone(scheduler.offer(make_work("waits"), 0.0))
        due = scheduler.next_wakeup(0.0)
        self.assertAlmostEqual(due, 55.0, delta=1.0)
        self.assertEqual(scheduler.expire(due - 0.1), ())
        (refusal,) = scheduler.expire(due)
        self.assertIsInstance(refusal.exc, DeadlinePassed)
        self.assertEqual(refusal.exc.outcome, NOT_RUN)
        self.assertEqual(scheduler.expire(due + 50), ())

    def test_lost_capacity_refuses_batch_work_first_and_at_once(self):
        """Sixteen requests run; eight memos and eight batch requests wait.

        Three of four upstreams are reclaimed. The memos can still be answered in time.
        The batch requests that can't must be refused now, not 20 s later.
        """
        scheduler = make_scheduler(size=4)
        run_requests(scheduler)
        offer_requests(scheduler, 16)
        for n in range(8):
            memo = make_work(f"m{n}", deadline=125.0)
            batch = make_work(f"b{n}", deadline=125.0, work_class="batch")
            self.assertIsNone(scheduler.offer(memo, 100.0))
            self.assertIsNone(scheduler.offer(batch, 100.0))
        for name in ("u0", "u1", "u2"):
            scheduler.mark_leaving(name, 100.0)
        refused = [refusal.request_id[0] for refusal in scheduler.expire(100.0)]
        self.assertEqual(refused.count("m"), 0)
        self.assertGreater(refused.count("b"), 0)
        self.assertLess(refused.count("b"), 8)

    def test_withdrawn_work_is_neither_placed_nor_refused(self):
        scheduler = make_scheduler()
        self.assertIsNone(scheduler.offer(make_work("gone"), 0.0))
        self.assertTrue(scheduler.withdraw("gone", 0.0))
        self.assertFalse(scheduler.withdraw("gone", 0.0))
        self.assertEqual(scheduler.dispatch(0.0), ())
        self.assertEqual(scheduler.expire(100.0), ())


class TestRetry(unittest.TestCase):
    def start_attempt(self, **fields):
        """Return a scheduler and the work and upstream of one running attempt."""
        scheduler = make_scheduler()
        work = make_work("one", **fields)
        scheduler.offer(work, 0.0)
        (placed,) = scheduler.dispatch(0.0)
        return scheduler, work, placed.upstream

    def fail_attempt(self, scheduler, work, upstream, outcome):
        """End the attempt with ``outcome`` and request a retry."""
        scheduler.finish("one", upstream, outcome, 0.1, 0.1, 0, 0.0)
        return scheduler.retry(work, upstream, outcome, 0.0)

    def test_failed_attempt_is_retried_on_another_upstream(self):
        scheduler, work, upstream = self.start_attempt()
        self.assertIsNone(self.fail_attempt(scheduler, work, upstream, FAILED))
        (placed,) = scheduler.dispatch(0.0)
        self.assertNotEqual(placed.upstream, upstream)

    def test_non_idempotent_work_is_not_retried_and_its_outcome_is_unknown(self):
        scheduler, work, upstream = self.start_attempt(idempotent=False)
        refusal = self.fail_attempt(scheduler, work, upstream, FAILED)
        self.assertIsInstance(refusal.exc, UpstreamFailed)
        self.assertEqual(refusal.exc.outcome, UNKNOWN)
        self.assertEqual(refusal.exc.scope, ("upstream", upstream))

    def test_not_started_work_is_retried_even_if_not_idempotent(self):
        scheduler, work, upstream = self.start_attempt(idempotent=False)
        self.assertIsNone(self.fail_attempt(scheduler, work, upstream, BUSY))

    def test_siblings_that_share_the_exhausted_resource_are_not_tried(self):
        scheduler, work, upstream = self.start_attempt()
        refusal = self.fail_attempt(scheduler, work, upstream, EXHAUSTED)
        self.assertIsInstance(refusal.exc, PoolFull)
        self.assertEqual(refusal.exc.outcome, NOT_RUN)
        self.assertEqual(scheduler.dispatch(0.0), ())

    def test_retry_budgets_bound_attempts(self):
        """Every attempt in a pool fails for a long time.

        With two retries each, 1,000 requests would cause 3,000 attempts.
        """
        scheduler = make_scheduler(slots=64)
        attempts = 0
        for number in range(1000):
            scheduler.offer(make_work(number), 0.0)
            queue = [(make_work(number), placed) for placed in scheduler.dispatch(0.0)]
            while queue:
                work, placed = queue.pop()
                attempts += 1
                name = placed.upstream
                scheduler.finish(work.request_id, name, FAILED, 0, 0.1, 0, 0.0)
                if scheduler.retry(work, name, FAILED, 0.0) is None:
                    retried = work._replace(attempts=work.attempts + 1)
                    queue = [(retried, item) for item in scheduler.dispatch(0.0)]
        self.assertLess(attempts, 1100)

    def test_moves_from_a_leaving_upstream_need_no_budget(self):
        scheduler = make_scheduler(size=4, slots=64)
        placements, _ = offer_requests(scheduler, 60)
        moved = [placed for placed in placements if placed.upstream == "u0"]
        scheduler.mark_leaving("u0", 0.0)
        for placed in moved:
            name = placed.request_id
            scheduler.finish(name, "u0", LEAVING, 0.1, 1.0, 10, 0.0)
            work = make_work(name, tokens=10)
            self.assertIsNone(scheduler.retry(work, "u0", LEAVING, 0.0))
        new_placements = scheduler.dispatch(0.0)
        self.assertEqual(len(new_placements), len(moved))
        self.assertNotIn("u0", {placed.upstream for placed in new_placements})


class TestReclaim(unittest.TestCase):
    def test_leaving_upstream_gets_no_work_although_the_list_lags(self):
        scheduler = make_scheduler()
        scheduler.mark_leaving("u0", 0.0)
        scheduler.update_upstreams(make_configuration().inventory.upstreams)
        placements, _ = offer_requests(scheduler, 8)
        self.assertEqual({placed.upstream for placed in placements}, {"u1"})

    def test_urgent_work_moves_first_and_free_slots_limit_the_moves(self):
        """One upstream gets a reclaim notice while the other has two free slots.

        Moving all its work at once would overload the other upstream, although the work
        can still run where it is. So only two requests move: those of the class memo,
        which is more urgent than batch. Just before the upstream is reclaimed, all of
        its work moves; a request that ends in time doesn't.
        """
        scheduler = make_scheduler(size=2, slots=5)
        run_requests(scheduler, seconds=30.0)
        scheduler.mark_down("u1", 100.0)
        for n, name in enumerate(("batch", "memo", "batch", "memo")):
            scheduler.offer(make_work(n, 160.0, work_class=name), 100.0)
            self.assertEqual(len(scheduler.dispatch(100.0)), 1)
        scheduler.report_load("u1", 2, 1, 5, 101.0, 101.0)
        scheduler.mark_leaving("u0", 101.0)
        self.assertEqual(set(scheduler.shift("u0", 111.0, 101.0)), {"1", "3"})
        self.assertEqual(len(scheduler.shift("u0", 111.0, 110.5)), 4)
        self.assertEqual(scheduler.shift("u0", 300.0, 101.0), ())

    def test_work_slower_than_estimated_moves_before_its_upstream_ends(self):
        """An engine runs a long plan more slowly than the estimate.

        By the estimate, the plan ends before the engine is reclaimed. It must still be
        moved at the last moment, or it would be lost half finished.
        """
        scheduler = make_scheduler()
        scheduler.offer(make_work("plan"), 0.0)
        (placed,) = scheduler.dispatch(0.0)
        scheduler.mark_leaving(placed.upstream, 10.0)
        self.assertEqual(scheduler.shift(placed.upstream, 30.0, 10.0), ())
        self.assertEqual(scheduler.shift(placed.upstream, 30.0, 29.0), ("plan",))

    def test_moves_in_a_reclaim_wave_do_not_count_as_attempts(self):
        """A wave reclaims five engines one after the other, each with notice.

        A long plan moves each time. If the moves counted as attempts, the plan would
        be refused although other engines can run it.
        """
        scheduler = make_scheduler(size=7)
        scheduler.offer(make_work("plan"), 0.0)
        work = make_work("plan", tokens=10)
        for outcome in (LEAVING,) * 5 + (FAILED,):
            (placed,) = scheduler.dispatch(0.0)
            scheduler.finish("plan", placed.upstream, outcome, 0.1, 1.0, 10, 0.0)
            refusal = scheduler.retry(work, placed.upstream, outcome, 0.0)
            self.assertIsNone(refusal, (outcome, work.attempts))
            work = retries.with_counted_attempt(
                retries.RETRY_RULES[outcome], work, placed.upstream
            )
        self.assertFalse(retries.may_retry(retries.RETRY_RULES[FAILED], work._replace(
            attempts=work.moves + retries.MAX_ATTEMPTS)))  # fmt: skip
