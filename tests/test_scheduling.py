"""Tests of the scheduler: what a caller gets, and when."""

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
    """Return a configuration of one model pool and one customer with a limit."""
    upstreams = tuple(
        Upstream(f"u{n}", MODEL, "pool", Address("127.0.0.1", 1), "a", slots=slots)
        for n in range(size)
    )
    customers = (Customer("org", queue_limit=queue_limit),)
    inventory = Inventory((Pool("pool", MODEL),), upstreams)
    return Configuration(1, "op", inventory, Rules(customers, CLASSES))


def make_scheduler(**sizes):
    """Return a scheduler that is the only entry instance."""
    scheduler = Scheduler(SchedulingSettings("a", 1), Random(1))
    scheduler.configure(make_configuration(**sizes))
    return scheduler


def make_work(number, deadline=60.0, **fields):
    """Return one memo of a hundred tokens."""
    work = Work(str(number), "org", "memo", "pool", deadline, max_tokens=100)
    return work._replace(**fields)


def warm(scheduler, seconds=5.0):
    """Teach the scheduler how long its work takes."""
    for number in range(20):
        scheduler.offer(make_work(f"w{number}"), 0.0)
        for placed in scheduler.dispatch(0.0):
            scheduler.finish(
                placed.request_id, placed.upstream, OK, 0.1, seconds, 60, 0.0
            )


def fill(scheduler, count, now=0.0, **fields):
    """Offer so many requests and return the placements and the refusals."""
    refusals = [scheduler.offer(make_work(n, **fields), now) for n in range(count)]
    return scheduler.dispatch(now), [refusal for refusal in refusals if refusal]


class TestAdmission(unittest.TestCase):
    def test_what_cannot_meet_its_deadline_is_refused_at_the_door(self):
        scheduler = make_scheduler()
        warm(scheduler)
        fill(scheduler, 8)
        refusal = scheduler.offer(make_work("late", deadline=4.0), 0.0)
        self.assertIsInstance(refusal.exc, PoolFull)
        self.assertEqual(refusal.exc.scope, ("pool", "pool"))
        self.assertEqual(refusal.exc.outcome, NOT_RUN)

    def test_a_full_customer_queue_names_the_customer(self):
        scheduler = make_scheduler(queue_limit=3)
        fill(scheduler, 8)
        _, refusals = fill(scheduler, 4)
        self.assertIsInstance(refusals[0].exc, CustomerLimit)
        self.assertEqual(refusals[0].exc.scope, ("customer", "org"))

    def test_an_idle_pool_takes_work_whatever_the_estimate_says(self):
        scheduler = make_scheduler()
        warm(scheduler, seconds=500.0)
        self.assertIsNone(scheduler.offer(make_work("probe", deadline=20.0), 0.0))

    def test_without_upstreams_work_is_refused_at_once(self):
        scheduler = make_scheduler()
        scheduler.mark_leaving("u0", 0.0)
        scheduler.mark_down("u1", 0.0)
        self.assertIsInstance(scheduler.offer(make_work(1), 0.0).exc, NoUpstream)
        scheduler.report_load("u1", 0, 0, 4, 1.0, 1.0)
        self.assertIsNone(scheduler.offer(make_work(2), 1.0))

    def test_refusals_are_graded_and_spread(self):
        """A pool is offered five times its capacity, then a little too much.

        With one constant all callers would leave and come back together, and the
        pool would swing between idle and swamped.
        """
        means = []
        for offered in (12, 200):
            scheduler = make_scheduler(queue_limit=10_000)
            warm(scheduler)
            fill(scheduler, 8)
            _, refusals = fill(scheduler, offered, deadline=10.0)
            after = [refusal.exc.retry_after for refusal in refusals]
            self.assertGreater(len(set(after)), len(after) // 2)
            means.append(sum(after) / len(after))
        self.assertGreater(means[1], 2 * means[0])


class TestGivingUp(unittest.TestCase):
    def test_hopeless_work_is_answered_when_it_becomes_hopeless(self):
        """All slots are held by requests that never end, and one more waits.

        It needs five seconds and has sixty. It must hear the answer when five are
        left, not at its deadline, and only once.
        """
        scheduler = make_scheduler()
        warm(scheduler)
        fill(scheduler, 8)
        self.assertIsNone(scheduler.offer(make_work("waits"), 0.0))
        due = scheduler.next_wakeup(0.0)
        self.assertAlmostEqual(due, 55.0, delta=1.0)
        self.assertEqual(scheduler.expire(due - 0.1), ())
        (refusal,) = scheduler.expire(due)
        self.assertIsInstance(refusal.exc, DeadlinePassed)
        self.assertEqual(refusal.exc.outcome, NOT_RUN)
        self.assertEqual(scheduler.expire(due + 50), ())

    def test_lost_capacity_is_told_at_once_and_batch_goes_first(self):
        """Sixteen requests run, eight memos and eight batch requests wait.

        Three of four upstreams are reclaimed. The memos can still be answered in
        time; the batch requests that can't must hear it now, not in 20 s.
        """
        scheduler = make_scheduler(size=4)
        warm(scheduler)
        fill(scheduler, 16)
        for n in range(8):
            memo = make_work(f"m{n}", deadline=125.0)
            batch = make_work(f"b{n}", deadline=125.0, work_class="batch")
            self.assertIsNone(scheduler.offer(memo, 100.0))
            self.assertIsNone(scheduler.offer(batch, 100.0))
        for name in ("u0", "u1", "u2"):
            scheduler.mark_leaving(name, 100.0)
        gone = [refusal.request_id[0] for refusal in scheduler.expire(100.0)]
        self.assertEqual(gone.count("m"), 0)
        self.assertGreater(gone.count("b"), 0)
        self.assertLess(gone.count("b"), 8)

    def test_withdrawn_work_is_neither_placed_nor_refused(self):
        scheduler = make_scheduler()
        self.assertIsNone(scheduler.offer(make_work("gone"), 0.0))
        self.assertTrue(scheduler.withdraw("gone", 0.0))
        self.assertFalse(scheduler.withdraw("gone", 0.0))
        self.assertEqual(scheduler.dispatch(0.0), ())
        self.assertEqual(scheduler.expire(100.0), ())


class TestRetry(unittest.TestCase):
    def start(self, **fields):
        """Return a scheduler and the work and upstream of one attempt."""
        scheduler = make_scheduler()
        work = make_work("one", **fields)
        scheduler.offer(work, 0.0)
        (placed,) = scheduler.dispatch(0.0)
        return scheduler, work, placed.upstream

    def fail(self, scheduler, work, upstream, outcome):
        """End the attempt so and ask for another one."""
        scheduler.finish("one", upstream, outcome, 0.1, 0.1, 0, 0.0)
        return scheduler.retry(work, upstream, outcome, 0.0)

    def test_a_broken_attempt_goes_to_another_upstream(self):
        scheduler, work, upstream = self.start()
        self.assertIsNone(self.fail(scheduler, work, upstream, FAILED))
        (placed,) = scheduler.dispatch(0.0)
        self.assertNotEqual(placed.upstream, upstream)

    def test_work_that_must_not_be_repeated_is_told_unknown(self):
        scheduler, work, upstream = self.start(idempotent=False)
        refusal = self.fail(scheduler, work, upstream, FAILED)
        self.assertIsInstance(refusal.exc, UpstreamFailed)
        self.assertEqual(refusal.exc.outcome, UNKNOWN)
        self.assertEqual(refusal.exc.scope, ("upstream", upstream))

    def test_not_started_work_is_tried_again_even_if_not_idempotent(self):
        scheduler, work, upstream = self.start(idempotent=False)
        self.assertIsNone(self.fail(scheduler, work, upstream, BUSY))

    def test_siblings_that_share_the_exhausted_resource_are_not_asked(self):
        scheduler, work, upstream = self.start()
        refusal = self.fail(scheduler, work, upstream, EXHAUSTED)
        self.assertIsInstance(refusal.exc, PoolFull)
        self.assertEqual(refusal.exc.outcome, NOT_RUN)
        self.assertEqual(scheduler.dispatch(0.0), ())

    def test_retry_budgets_bound_attempts(self):
        """Every attempt of a whole pool fails for a long time.

        With two retries each, 1,000 requests would make 3,000 attempts.
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
                    again = work._replace(attempts=work.attempts + 1)
                    queue = [(again, item) for item in scheduler.dispatch(0.0)]
        self.assertLess(attempts, 1100)

    def test_moves_from_a_leaving_upstream_need_no_budget(self):
        scheduler = make_scheduler(size=4, slots=64)
        placements, _ = fill(scheduler, 60)
        moved = [placed for placed in placements if placed.upstream == "u0"]
        scheduler.mark_leaving("u0", 0.0)
        for placed in moved:
            name = placed.request_id
            scheduler.finish(name, "u0", LEAVING, 0.1, 1.0, 10, 0.0)
            work = make_work(name, tokens=10)
            self.assertIsNone(scheduler.retry(work, "u0", LEAVING, 0.0))
        again = scheduler.dispatch(0.0)
        self.assertEqual(len(again), len(moved))
        self.assertNotIn("u0", {placed.upstream for placed in again})


class TestReclaim(unittest.TestCase):
    def test_a_leaving_upstream_gets_nothing_although_the_list_lags(self):
        scheduler = make_scheduler()
        scheduler.mark_leaving("u0", 0.0)
        scheduler.update_upstreams(make_configuration().inventory.upstreams)
        placements, _ = fill(scheduler, 8)
        self.assertEqual({placed.upstream for placed in placements}, {"u1"})

    def test_moves_are_urgent_first_and_paced_by_room(self):
        """A zone gets notice while its survivor has two slots left.

        Moving all at once would flood the survivor with work that could still run
        where it is. Memos move before batch work; just before the end all move.
        """
        scheduler = make_scheduler(size=2, slots=5)
        warm(scheduler, seconds=30.0)
        scheduler.mark_down("u1", 100.0)
        for n, name in enumerate(("batch", "memo", "batch", "memo")):
            scheduler.offer(make_work(n, 160.0, work_class=name), 100.0)
            self.assertEqual(len(scheduler.dispatch(100.0)), 1)
        scheduler.report_load("u1", 2, 1, 5, 101.0, 101.0)
        scheduler.mark_leaving("u0", 101.0)
        self.assertEqual(set(scheduler.shift("u0", 111.0, 101.0)), {"1", "3"})
        self.assertEqual(len(scheduler.shift("u0", 111.0, 110.5)), 4)
        self.assertEqual(scheduler.shift("u0", 300.0, 101.0), ())

    def test_what_should_have_ended_by_now_moves_before_the_end(self):
        """An engine writes a plan more slowly than the pool's pace foretells.

        By the estimate the plan ends before the engine does, so it was never moved,
        and the engine was taken away with the plan half written.
        """
        scheduler = make_scheduler()
        scheduler.offer(make_work("plan"), 0.0)
        (placed,) = scheduler.dispatch(0.0)
        scheduler.mark_leaving(placed.upstream, 10.0)
        self.assertEqual(scheduler.shift(placed.upstream, 30.0, 10.0), ())
        self.assertEqual(scheduler.shift(placed.upstream, 30.0, 29.0), ("plan",))

    def test_a_reclaim_wave_uses_up_no_attempts(self):
        """A wave takes five engines one after the other, with notice each time.

        A long plan moves each time. Counted like failures, the moves used up its
        attempts, and the plan was lost with engines left that could write it.
        """
        scheduler = make_scheduler(size=7)
        scheduler.offer(make_work("plan"), 0.0)
        work = make_work("plan", tokens=10)
        for outcome in (LEAVING,) * 5 + (FAILED,):
            (placed,) = scheduler.dispatch(0.0)
            scheduler.finish("plan", placed.upstream, outcome, 0.1, 1.0, 10, 0.0)
            refusal = scheduler.retry(work, placed.upstream, outcome, 0.0)
            self.assertIsNone(refusal, (outcome, work.attempts))
            work = retries.count_attempt(retries.RULES[outcome], work, placed.upstream)
        self.assertFalse(retries.may_repeat(retries.RULES[FAILED], work._replace(
            attempts=work.moves + retries.MAX_ATTEMPTS)))  # fmt: skip
