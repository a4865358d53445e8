"""Orders to engines: one holder a pool and data centre, by lease, with fencing.

Engines that refuse an old fencing number are safe whatever pauses. For those that
ignore it, ``margin`` and ``settle_for`` keep the old holder's orders and the new
one's apart. Not proved for them: an order whose sender is paused between the check
of ``send_before`` and the send, or one that the network holds for longer than
``settle_for``, arrives after the new holder's.
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

    ``margin`` covers a clock that runs slow and a short pause of the holder;
    ``settle_for`` the longest time an order is under way.
    """

    ttl: float = 9.0
    margin: float = 2.0
    settle_for: float = 2.0
    retry_every: float = 3.0
    resend_every: float = 1.0
    contenders: int = 2


class Order(NamedTuple):
    """One order: ``load``, ``unload`` or ``role``, with what it applies to."""

    operation: str
    upstream: Upstream
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


class OrderSend(NamedTuple):
    """Send the order, unless it is ``send_before`` by then, on the clock of ``now``."""

    order_id: str
    order: Order
    fence: int
    send_before: float


class OrderDone(NamedTuple):
    """The engine has carried out the order."""

    order_id: str


class OrderRefused(NamedTuple):
    """The order was not sent, or the engine refused it."""

    order_id: str
    failure: ChervilwingError


def name_order(revision, order):
    """Return the id of an order: every holder gives a revision's order the same."""
    fields = (str(revision), order.operation, order.upstream.name, *order[2:])
    digest = hashlib.blake2b("\0".join(fields).encode(), digest_size=ORDER_ID_BYTES)
    return digest.hexdigest()


class Holder:
    """This instance's part in who gives orders to one pool of its data centre."""

    def __init__(self, cfg, instance, data_centre, pool):
        self.cfg = cfg
        self.instance = instance
        self.pool = pool
        self.state = FREE
        self.fence = 0
        self._key = f"orders/{data_centre}/{pool}"
        self._task = f"orders/{data_centre}/{pool}"
        self._contends = False
        self._token = None
        self._sent_at = 0.0
        self._tokens = (f"{self._key}-{instance}-{n}" for n in itertools.count())
        self._lease = ""
        self._lease_until = 0.0
        self._next_at = 0.0
        self._settled_at = 0.0
        self._orders = {}

    def enlist(self, members):
        """Take the live instances of this data centre; the first in rank contend."""
        chosen = rank(self._task, members)[: self.cfg.contenders]
        self._contends = self.instance in chosen

    def order(self, order_id, order, now):
        """Give an order, again every second until its answer comes."""
        if not self._may_order(order, now):
            scope = Scope("pool", self.pool)
            failure = NotHolder(scope=scope, retry_after=self.cfg.settle_for)
            return (OrderRefused(order_id, failure),)
        self._orders[order_id] = order, now + self.cfg.resend_every
        return (self._send_order(order_id, order),)

    def may_act(self, now):
        """Tell whether this holder alone acts, for those who take no fences."""
        return self.state == HOLDING and now < self._get_end()

    def finish(self, order_id, newer_fence=None):
        """Take the engine's answer; ``newer_fence`` is what it refused the order by."""
        if self._orders.pop(order_id, None) is None:
            return ()
        if newer_fence is None:
            return (OrderDone(order_id),)
        detail = f"the engine has seen {newer_fence}, this holder has {self.fence}"
        failure = OldFence(detail, scope=Scope("pool", self.pool))
        return (OrderRefused(order_id, failure), *self._step_down())

    def receive(self, token, reply, now):
        """Take the store's reply to a call."""
        if token != self._token:
            return ()
        self._token = None
        if isinstance(reply, Unanswered):
            return self._take_silence(now)
        take = TAKERS.get((self.state, type(reply)), Holder._start_over)
        return take(self, reply, now)

    def tick(self, now):
        """Do what time has made due; call it some times a second."""
        if self.state in (SETTLING, HOLDING) and now >= self._get_end():
            return self._step_down()
        if self.state == SETTLING and now >= self._settled_at:
            self.state = HOLDING
        actions = [*self._resend(now)]
        if self._token is None and now >= self._next_at:
            actions += self._go_on(now)
        return tuple(actions)

    def _may_order(self, order, now):
        # A fenced engine keeps an old holder's orders out by itself; one that ignores
        # the number must not hear this holder while the old one's may be under way.
        states = (SETTLING, HOLDING) if order.upstream.fenced else (HOLDING,)
        return self.state in states and now < self._get_end()

    def _get_end(self):
        # The lease lapses in the store while its holder is paused or cut off, and
        # the next holder may start at once. This one stops a margin earlier, by its
        # own clock, counted from when it asked and not from when it was answered.
        return self._lease_until - self.cfg.margin

    def _send_order(self, order_id, order):
        return OrderSend(order_id, order, self.fence, self._get_end())

    def _resend(self, now):
        sends = []
        for order_id, (order, due) in list(self._orders.items()):
            if now >= due:
                self._orders[order_id] = order, now + self.cfg.resend_every
                sends.append(self._send_order(order_id, order))
        return sends

    def _go_on(self, now):
        if self.state in (SETTLING, HOLDING):
            return (self._call(Renew(self._lease), now),)
        if not self._contends:
            return ()
        self.state = READING
        return (self._call(Read(self._key), now),)

    def _call(self, request, now):
        self._token = next(self._tokens)
        self._sent_at = now
        self._next_at = now + self.cfg.retry_every
        return StoreCall(self._token, request)

    def _ask_lease(self, reply, now):
        self.state = LEASING
        return (self._call(Grant(self.cfg.ttl), now),)

    def _write(self, reply, now):
        self.state = WRITING
        self._lease = reply.lease
        self._lease_until = self._sent_at + reply.ttl
        # The lease's id is this try's operation id: no other try writes it.
        value = f"{self.instance} {reply.lease}"
        return (self._call(Write(self._key, value, ABSENT, reply.lease), now),)

    def _find_own(self, reply, now):
        if reply.value != f"{self.instance} {self._lease}":
            return self._start_over(reply, now)
        return self._hold(reply, now)

    def _hold(self, reply, now):
        # Versions never fall, not even after a deletion, so the version of the
        # holder's record is a fencing number that every later holder exceeds.
        self.state = SETTLING
        self.fence = reply.version
        self._settled_at = now + self.cfg.settle_for
        return ()

    def _renewed(self, reply, now):
        self._lease_until = self._sent_at + reply.ttl
        return ()

    def _start_over(self, reply, now):
        return self._step_down()

    def _take_silence(self, now):
        if self.state != WRITING:
            return ()
        # The record may stand although the answer is lost: read what stands.
        return (self._call(Read(self._key), now),)

    def _step_down(self):
        self.state = FREE
        self._token = None
        orders, self._orders = self._orders, {}
        # These were sent and not answered: the engine may have carried them out.
        failure = NotHolder(scope=Scope("pool", self.pool), outcome=UNKNOWN)
        return tuple(OrderRefused(order_id, failure) for order_id in orders)


TAKERS = {
    (READING, Missing): Holder._ask_lease,
    (LEASING, Granted): Holder._write,
    (WRITING, Written): Holder._hold,
    (WRITING, Found): Holder._find_own,
    (WRITING, Rejected): Holder._find_own,
    (SETTLING, Granted): Holder._renewed,
    (HOLDING, Granted): Holder._renewed,
}
