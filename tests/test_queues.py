"""Tests of the fair queue: the order in which requests are served."""

import unittest
from collections import Counter
from random import Random

from chervilwing.queues import LONG, SHORT, FairQueue, QueuedWork
from chervilwing.work import Work


def make_item(number, customer, cost=1.0, band=0, size=SHORT):
    """Return a queued request."""
    work = Work(f"{customer}-{number}", customer, "class", "pool", deadline=100.0)
    return QueuedWork(work, cost, (band, size), 100.0)


def serve(queue, turns, defer_lowest=False):
    """Dequeue ``turns`` requests; return the cost served by customer."""
    served = Counter()
    for turn in range(turns):
        item = queue.peek(set(), defer_lowest)
        served[item.work.customer] += item.cost
        queue.dequeue(item, float(turn))
    return served


class TestFairQueue(unittest.TestCase):
    def test_a_large_customer_cannot_starve_a_small_one(self):
        """One customer sends 1,000 requests before another sends its first ten.

        In a single queue, the small customer would wait for all of them. With equal
        shares, its ten requests are served within about twice as many turns.
        """
        queue = FairQueue()
        for number in range(1000):
            queue.push(make_item(number, "large"), 1.0)
        serve(queue, 50)
        for number in range(10):
            queue.push(make_item(number, "small"), 1.0)
        self.assertEqual(serve(queue, 21)["small"], 10)

    def test_shares_follow_weight_and_cost_not_request_count(self):
        rng = Random(7)
        queue = FairQueue()
        for number in range(3000):
            queue.push(make_item(number, "long", rng.uniform(10, 30)), 1.0)
            queue.push(make_item(number, "short", rng.uniform(1, 3)), 1.0)
            queue.push(make_item(number, "double", rng.uniform(1, 3)), 2.0)
        served = serve(queue, 2000)
        self.assertAlmostEqual(served["long"] / served["short"], 1.0, delta=0.1)
        self.assertAlmostEqual(served["double"] / served["short"], 2.0, delta=0.1)

    def test_an_idle_customer_gets_no_credit_and_no_debt(self):
        queue = FairQueue()
        for number in range(500):
            queue.push(make_item(number, "busy"), 1.0)
        serve(queue, 300)
        for number in range(100):
            queue.push(make_item(number, "back"), 1.0)
        self.assertAlmostEqual(serve(queue, 100)["back"], 50, delta=1)

    def test_less_urgent_bands_get_their_guaranteed_share_and_no_more(self):
        queue = FairQueue()
        for number in range(2000):
            queue.push(make_item(number, "questions", band=0), 1.0)
            queue.push(make_item(number, "plans", band=1), 1.0)
            queue.push(make_item(number, "batch", band=2), 1.0)
        served = serve(queue, 1000)
        self.assertAlmostEqual(served["plans"] / served["questions"], 0.3, delta=0.02)
        self.assertGreater(served["batch"], 50)
        self.assertLess(served["batch"], served["plans"])

    def test_batch_work_waits_while_survivors_take_over(self):
        queue = FairQueue()
        for number in range(200):
            queue.push(make_item(number, "batch", band=2), 1.0)
            queue.push(make_item(number, "urgent", band=0), 1.0)
        served = serve(queue, 200, defer_lowest=True)
        self.assertEqual(served["batch"], 0)
        self.assertEqual(serve(queue, 10, defer_lowest=True)["batch"], 10)

    def test_blocked_lane_does_not_block_the_other(self):
        queue = FairQueue()
        queue.push(make_item(0, "one", 500.0, size=LONG), 1.0)
        queue.push(make_item(1, "one", size=SHORT), 1.0)
        item = queue.peek({(0, LONG)}, False)
        self.assertEqual(item.work.request_id, "one-1")

    def test_removed_work_is_never_served(self):
        rng = Random(11)
        queue = FairQueue()
        for number in range(300):
            queue.push(make_item(number, f"c{number % 7}", band=number % 3), 1.0)
        removed = {f"c{number % 7}-{number}" for number in rng.sample(range(300), 120)}
        for request_id in removed:
            self.assertIsNotNone(queue.remove(request_id))
            self.assertIsNone(queue.remove(request_id))
        served_ids = set()
        while (item := queue.peek(set(), False)) is not None:
            served_ids.add(queue.dequeue(item, 0.0).work.request_id)
        self.assertEqual(len(served_ids), 180)
        self.assertEqual(served_ids & removed, set())
        self.assertEqual(len(queue), 0)

    def test_retried_work_goes_before_the_customers_new_work(self):
        queue = FairQueue()
        queue.push(make_item(0, "one"), 1.0)
        queue.push(make_item(1, "one"), 1.0, front=True)
        self.assertEqual(queue.peek(set(), False).work.request_id, "one-1")
