"""Tests of the lease holder that sends orders to engines, step by step."""

import unittest

from chervilwing import messages as m
from chervilwing.exceptions import NOT_RUN, UNKNOWN
from chervilwing.models import Address, Upstream
from chervilwing.orders import (
    Holder,
    Order,
    OrderDone,
    OrderRefused,
    OrderSend,
    OrderSettings,
    make_order_id,
)

NOW = 1.8e9
CFG = OrderSettings()
FENCED = Upstream("e-1", "model", "pool", Address("127.0.0.1", 1), "a")
UNFENCED = FENCED._replace(name="e-2", fenced=False)


class TestHolder(unittest.TestCase):
    def setUp(self):
        self.holder = Holder(CFG, "one", "a", "pool")
        self.holder.enlist(["one"])

    def answer_calls(self, *replies, now=NOW):
        """Reply to one store call after the other; return the last actions."""
        actions = self.holder.tick(now)
        for reply in replies:
            self.assertEqual([type(action) for action in actions], [m.StoreCall])
            actions = self.holder.receive(actions[0].token, reply, now)
        return actions

    def acquire_lease(self):
        """Acquire the lease with fence 5."""
        self.answer_calls(m.Missing(), m.Granted("l-1", 9.0), m.Written(5))

    def order_types(self, upstream, now, operation="load"):
        """Give an order; return the types of the resulting actions."""
        actions = self.holder.order("o-1", Order(operation, upstream, "m"), now)
        return [type(action) for action in actions]

    def test_lost_answer_to_the_record_write(self):
        # The holder's record is written but the answer is lost. A second read must find
        # it by its lease id; otherwise the pool has no holder until the lease expires.
        record = m.Found("one l-1", 5)
        self.answer_calls(m.Missing(), m.Granted("l-1", 9.0), m.Unanswered(), record)
        self.assertEqual(self.order_types(FENCED, NOW), [OrderSend])

    def test_record_of_an_earlier_run_is_not_used(self):
        # An instance restarts and finds the record of its previous run. It can't renew
        # that lease, which would expire while orders are in progress.
        self.answer_calls(m.Found("one l-0", 4))
        self.assertEqual(self.order_types(FENCED, NOW), [OrderRefused])

    def test_unfenced_engine_gets_no_order_while_old_ones_are_in_transit(self):
        # The old holder's last order is in transit when the lease changes hands. An
        # engine that ignores fencing would carry it out after the new holder's orders.
        self.acquire_lease()
        self.assertEqual(self.order_types(UNFENCED, NOW + 1), [OrderRefused])
        self.assertEqual(self.order_types(FENCED, NOW + 1), [OrderSend])
        self.holder.tick(NOW + CFG.settle_time)
        self.assertEqual(self.order_types(UNFENCED, NOW + CFG.settle_time), [OrderSend])

    def test_holder_stops_before_its_lease_expires(self):
        # All renewals stay unanswered; the store expires the lease after its ttl.
        self.acquire_lease()
        end = NOW + CFG.ttl - CFG.margin
        self.assertEqual(self.order_types(FENCED, end - 0.1), [OrderSend])
        self.assertEqual(self.order_types(FENCED, end), [OrderRefused])

    def test_holder_steps_down_when_the_store_returns_from_a_copy(self):
        # The lease may be lost, and its id another instance's by now.
        self.acquire_lease()
        self.assertEqual(self.order_types(FENCED, NOW), [OrderSend])
        (refused,) = self.holder.enter_epoch(NOW + 1)
        self.assertEqual(refused.failure.outcome, UNKNOWN)
        self.assertEqual(self.order_types(FENCED, NOW + 1), [OrderRefused])

    def test_no_early_hold_after_the_store_returned_from_a_copy(self):
        # The holder of before may not know of the return and still sends orders.
        self.holder.enter_epoch(NOW)
        self.acquire_lease()
        end = NOW + CFG.ttl - CFG.margin
        self.answer_calls(m.Granted("l-1", 9.0), now=end - 0.1)
        self.assertFalse(self.holder.may_act(end - 0.1))
        self.holder.tick(end)
        self.assertTrue(self.holder.may_act(end))

    def test_unanswered_order_is_sent_again_with_its_id(self):
        self.acquire_lease()
        self.order_types(FENCED, NOW)
        resent = [a for a in self.holder.tick(NOW + 1.5) if isinstance(a, OrderSend)]
        self.assertEqual([send.order_id for send in resent], ["o-1"])
        self.assertEqual(self.holder.finish("o-1"), (OrderDone("o-1"),))
        self.assertEqual(self.holder.finish("o-1"), ())

    def test_newer_fence_makes_the_holder_step_down(self):
        # An engine refuses an order because of a newer fence: the lease changed hands
        # unnoticed. The refused order was not run; whether the unanswered one ran is
        # unknown.
        self.acquire_lease()
        self.order_types(FENCED, NOW)
        self.holder.order("o-2", Order("unload", FENCED, "m"), NOW)
        refusals = self.holder.finish("o-1", newer_fence=8)
        outcomes = {refusal.order_id: refusal.failure.outcome for refusal in refusals}
        self.assertEqual(outcomes, {"o-1": NOT_RUN, "o-2": UNKNOWN})
        self.assertEqual(self.order_types(FENCED, NOW), [OrderRefused])

    def test_two_holders_give_an_order_the_same_id(self):
        first = make_order_id(7, Order("load", FENCED, "m"))
        self.assertEqual(first, make_order_id(7, Order("load", FENCED, "m")))
        others = (
            make_order_id(8, Order("load", FENCED, "m")),
            make_order_id(7, Order("unload", FENCED, "m")),
            make_order_id(7, Order("load", FENCED, "", "m")),
            make_order_id(7, Order("load", UNFENCED, "m")),
        )
        self.assertNotIn(first, others)
