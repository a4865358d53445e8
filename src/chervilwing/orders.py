"""Send fenced orders to engines from one lease holder per pool and data centre.

An engine that refuses old fencing tokens never carries out an old holder's order after
a newer one, whatever process is paused. For engines that ignore the token, ``margin``
and ``settle_time`` keep the old holder's orders apart from the new holder's. This fails
in two cases: the sender is paused between the check of ``send_before`` and the send, or
the network delays an order for longer than ``settle_time``. The order may then arrive
after the new holder's orders.
"""

import hashlib
import itertools
from typing import NamedTuple

from .exceptions import UNKNOWN, ChervilwingError, NotHolder, OldFence, Scope
from .messages import (
    ABSENT,
    Found,
    Grant,
    Granted,
    Missing,
    Read,
    Rejected,
    Renew,
    StoreCall,
    Unanswered,
    Write,
    Written,
)
from .models import Upstream
from .ranking import rank

FREE = "free"
READING = "reading"
LEASING = "leasing"
WRITING = "writing"
SETTLING = "settling"
HOLDING = "holding"

ORDER_ID_BYTES = 12


class OrderSettings(NamedTuple):
    """Settings of the orders; times in seconds.

    ``margin`` covers a slow clock and a short pause of the holder; ``settle_time`` is
    the longest time that an order is in transit.
    """

    ttl: float = 9.0
    margin: float = 2.0
    settle_time: float = 2.0
    retry_interval: float = 3.0
    resend_interval: float = 1.0
    contenders: int = 2


class Order(NamedTuple):
    """One order: ``operation`` is ``load``, ``unload`` or ``role``."""

    operation: str
    upstream: Upstream
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


class OrderSend(NamedTuple):
    """Send the order, unless the monotonic time ``send_before`` has passed."""

    order_id: str
    order: Order
    fence: int
    send_before: float


class OrderDone(NamedTuple):
    """Report that the engine has carried out the order."""

    order_id: str


class OrderRefused(NamedTuple):
    """Report that the order was not sent, or that the engine refused it."""

    order_id: str
    failure: ChervilwingError


def make_order_id(revision, order):
    """Return the order's id; every holder computes the same one for a revision."""
    fields = (str(revision), order.operation, order.upstream.name, *order[2:])
    digest = hashlib.blake2b("\0".join(fields).encode(), digest_size=ORDER_ID_BYTES)
    return digest.hexdigest()


class Holder:
    """Acquire and hold the lease to send orders to one pool of a data centre."""

    def __init__(self, cfg, instance, data_centre, pool):
        self.cfg = cfg
        self.instance = instance
        self.pool = pool
        self.state = FREE
        self.fence = 0
        self._key = f"orders/{data_centre}/{pool}"
        self._rank_key = f"orders/{data_centre}/{pool}"
        self._is_contender = False
        self._token = None
        self._called_at = 0.0
        self._tokens = (f"{self._key}-{instance}-{n}" for n in itertools.count())
        self._lease = ""
        self._lease_until = 0.0
        self._next_call_at = 0.0
        self._holding_from = 0.0
        self._earliest_hold = 0.0
        self._orders = {}

    def enlist(self, members):
        """Set the live instances; those that rank first contend for the lease."""
        contenders = rank(self._rank_key, members)[: self.cfg.contenders]
        self._is_contender = self.instance in contenders

    def enter_epoch(self, now):
        """Step down, as the store returned from a copy; return the actions.

        The lease may be lost and its id another instance's. The next holder waits until
        a holder of before, who may not know of the return, no longer relies on it.
        """
        self._earliest_hold = now + self.cfg.ttl - self.cfg.margin
        return self._step_down() if self.state != FREE else ()

    def order(self, order_id, order, now):
        """Send an order, and send it again each second until it is answered."""
        if not self._may_order(order, now):
            scope = Scope("pool", self.pool)
            failure = NotHolder(scope=scope, retry_after=self.cfg.settle_time)
            return (OrderRefused(order_id, failure),)
        self._orders[order_id] = order, now + self.cfg.resend_interval
        return (self._send_order(order_id, order),)

    def may_act(self, now):
        """Return whether this holder may act on targets that ignore fencing tokens.

        No earlier holder's order is then assumed to be in transit any more.
        """
        return self.state == HOLDING and now < self._get_stop_time()

    def finish(self, order_id, newer_fence=None):
        """Record an engine's answer to an order; return the actions.

        ``newer_fence`` is the fencing token because of which the engine refused the
        order.
        """
        if self._orders.pop(order_id, None) is None:
            return ()
        if newer_fence is None:
            return (OrderDone(order_id),)
        detail = f"engine has seen fence {newer_fence}, this holder has {self.fence}"
        failure = OldFence(detail, scope=Scope("pool", self.pool))
        return (OrderRefused(order_id, failure), *self._step_down())

    def receive(self, token, reply, now):
        """Handle the store's reply to a call; return the actions."""
        if token != self._token:
            return ()
        self._token = None
        if isinstance(reply, Unanswered):
            return self._handle_unanswered(now)
        handle = REPLY_HANDLERS.get((self.state, type(reply)), Holder._start_over)
        return handle(self, reply, now)

    def tick(self, now):
        """Return the actions that are due; call this several times per second."""
        if self.state in (SETTLING, HOLDING) and now >= self._get_stop_time():
            return self._step_down()
        if self.state == SETTLING and now >= self._holding_from:
            self.state = HOLDING
        actions = [*self._resend(now)]
        if self._token is None and now >= self._next_call_at:
            actions += self._make_next_call(now)
        return tuple(actions)

    def _may_order(self, order, now):
        # A fenced engine refuses an old holder's orders itself. One that ignores the
        # token must not receive orders from this holder while the old holder's may be
        # in transit.
        states = (SETTLING, HOLDING) if order.upstream.fenced else (HOLDING,)
        return self.state in states and now < self._get_stop_time()

    def _get_stop_time(self):
        # The lease expires in the store while its holder is paused or partitioned, and
        # the next holder may start at once. This holder stops a margin earlier by its
        # own clock, counted from the time of the request and not of the answer.
        return self._lease_until - self.cfg.margin

    def _send_order(self, order_id, order):
        return OrderSend(order_id, order, self.fence, self._get_stop_time())

    def _resend(self, now):
        sends = []
        for order_id, (order, due) in list(self._orders.items()):
            if now >= due:
                self._orders[order_id] = order, now + self.cfg.resend_interval
                sends.append(self._send_order(order_id, order))
        return sends

    def _make_next_call(self, now):
        if self.state in (SETTLING, HOLDING):
            return (self._call(Renew(self._lease), now),)
        if not self._is_contender:
            return ()
        self.state = READING
        return (self._call(Read(self._key), now),)

    def _call(self, request, now):
        self._token = next(self._tokens)
        self._called_at = now
        self._next_call_at = now + self.cfg.retry_interval
        return StoreCall(self._token, request)

    def _request_lease(self, reply, now):
        self.state = LEASING
        return (self._call(Grant(self.cfg.ttl), now),)

    def _write_record(self, reply, now):
        self.state = WRITING
        self._lease = reply.lease
        self._lease_until = self._called_at + reply.ttl
        # The lease id marks this attempt: no other attempt writes it.
        value = f"{self.instance} {reply.lease}"
        return (self._call(Write(self._key, value, ABSENT, reply.lease), now),)

    def _check_own_record(self, reply, now):
        if reply.value != f"{self.instance} {self._lease}":
            return self._start_over(reply, now)
        return self._start_settling(reply, now)

    def _start_settling(self, reply, now):
        # Versions never decrease, not even after a deletion, so the version of the
        # holder's record is a fencing token that every later holder exceeds.
        self.state = SETTLING
        self.fence = reply.version
        self._holding_from = max(now + self.cfg.settle_time, self._earliest_hold)
        return ()

    def _extend_lease(self, reply, now):
        self._lease_until = self._called_at + reply.ttl
        return ()

    def _start_over(self, reply, now):
        return self._step_down()

    def _handle_unanswered(self, now):
        if self.state != WRITING:
            return ()
        # The record may have been written although the answer was lost: read it.
        return (self._call(Read(self._key), now),)

    def _step_down(self):
        self.state = FREE
        self._token = None
        orders, self._orders = self._orders, {}
        # These orders were sent but not answered: the engine may have carried them out.
        failure = NotHolder(scope=Scope("pool", self.pool), outcome=UNKNOWN)
        return tuple(OrderRefused(order_id, failure) for order_id in orders)


REPLY_HANDLERS = {
    (READING, Missing): Holder._request_lease,
    (LEASING, Granted): Holder._write_record,
    (WRITING, Written): Holder._start_settling,
    (WRITING, Found): Holder._check_own_record,
    (WRITING, Rejected): Holder._check_own_record,
    (SETTLING, Granted): Holder._extend_lease,
    (HOLDING, Granted): Holder._extend_lease,
}
