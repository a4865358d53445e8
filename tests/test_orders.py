"""Tests of who gives orders to engines, one step at a time."""

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
    name_order,
)

NOW = 1.8e9
CFG = OrderSettings()
FENCED = Upstream("e-1", "model", "pool", Address("127.0.0.1", 1), "a")
CARELESS = FENCED._replace(name="e-2", fenced=False)


class TestHolder(unittest.TestCase):
    def setUp(self):
        self.holder = Holder(CFG, "one", "a", "pool")
        self.holder.enlist(["one"])

    def feed(self, *replies, now=NOW):
        """Answer one call after the other; return the last actions."""
        actions = self.holder.tick(now)
        for reply in replies:
            self.assertEqual([type(action) for action in actions], [m.StoreCall])
            actions = self.holder.receive(actions[0].token, reply, now)
        return actions

    def hold(self):
        """Become the holder with fence 5."""
        self.feed(m.Missing(), m.Granted("l-1", 9.0), m.Written(5))

    def kinds(self, upstream, now, operation="load"):
        """Give an order; return the types of what comes of it."""
        actions = self.holder.order("o-1", Order(operation, upstream, "m"), now)
        return [type(action) for action in actions]

    def test_lost_answer_of_the_record(self):
        # The holder's record is written and the answer lost: read again, it is found
        # by the lease in it. Taken for a no, the pool had no holder for a lease.
        stands = m.Found("one l-1", 5)
        self.feed(m.Missing(), m.Granted("l-1", 9.0), m.Unanswered(), stands)
        self.assertEqual(self.kinds(FENCED, NOW), [OrderSend])

    def test_record_of_another_try_is_not_taken(self):
        # An instance restarts and finds the record of its former life: that lease
        # is nobody's to renew, and lapses under the orders.
        self.feed(m.Found("one l-0", 4))
        self.assertEqual(self.kinds(FENCED, NOW), [OrderRefused])

    def test_engine_without_fences_waits_out_the_old_holder(self):
        # The old holder's last order is on its way when the lease goes over.
        # An engine that ignores fences would obey it after the new holder's.
        self.hold()
        self.assertEqual(self.kinds(CARELESS, NOW + 1), [OrderRefused])
        self.assertEqual(self.kinds(FENCED, NOW + 1), [OrderSend])
        self.holder.tick(NOW + CFG.settle_for)
        self.assertEqual(self.kinds(CARELESS, NOW + CFG.settle_for), [OrderSend])

    def test_holder_falls_silent_before_its_lease_lapses(self):
        # All renewals go unanswered; the store lets the lease lapse after its ttl.
        self.hold()
        end = NOW + CFG.ttl - CFG.margin
        self.assertEqual(self.kinds(FENCED, end - 0.1), [OrderSend])
        self.assertEqual(self.kinds(FENCED, end), [OrderRefused])

    def test_unanswered_order_is_sent_again_with_its_id(self):
        self.hold()
        self.kinds(FENCED, NOW)
        again = [a for a in self.holder.tick(NOW + 1.5) if isinstance(a, OrderSend)]
        self.assertEqual([send.order_id for send in again], ["o-1"])
        self.assertEqual(self.holder.finish("o-1"), (OrderDone("o-1"),))
        self.assertEqual(self.holder.finish("o-1"), ())

    def test_newer_fence_ends_the_holder(self):
        # An engine refuses by a newer fence: the lease went over without a word.
        # The refused order was not run; of another, unanswered, nobody knows.
        self.hold()
        self.kinds(FENCED, NOW)
        self.holder.order("o-2", Order("unload", FENCED, "m"), NOW)
        refusals = self.holder.finish("o-1", newer_fence=8)
        outcomes = {one.order_id: one.failure.outcome for one in refusals}
        self.assertEqual(outcomes, {"o-1": NOT_RUN, "o-2": UNKNOWN})
        self.assertEqual(self.kinds(FENCED, NOW), [OrderRefused])

    def test_two_holders_name_an_order_alike(self):
        first = name_order(7, Order("load", FENCED, "m"))
        self.assertEqual(first, name_order(7, Order("load", FENCED, "m")))
        others = (
            name_order(8, Order("load", FENCED, "m")),
            name_order(7, Order("unload", FENCED, "m")),
            name_order(7, Order("load", FENCED, "", "m")),
            name_order(7, Order("load", CARELESS, "m")),
        )
        self.assertNotIn(first, others)
