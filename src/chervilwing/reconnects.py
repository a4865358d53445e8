"""Callers that lost their connection, and requests that change their entry instance.

A request is held under its customer, its request id and a fingerprint of its content.
A reconnect that matches all three is given the same answer from where it broke off.
"""

import itertools
import time

from circuits.core import BaseComponent, handler

from . import handoffs
from .completions import read_last_event
from .exceptions import (
    RAN,
    AnswerLost,
    ChervilwingError,
    HandedOver,
    NotReady,
    PoolFull,
)
from .gossip import LEAVING, LIVE
from .handoffs import (
    Delivered,
    Inbox,
    NotFound,
    Outbox,
    Part,
    Receipt,
    Received,
    Searches,
    Seek,
    Undelivered,
    Unheld,
)
from .logs import log_event
from .messages import Forward

EXPIRE_EVERY = 0.25


class Detached:
    """Take the place of an exchange whose caller has gone: it writes to nobody."""

    started = gone = finished = congested = False
    on_drain = tag = None

    def start(self, status, content_type, headers=None):
        """Do nothing."""

    def write(self, data):
        """Do nothing."""

    def finish(self, data=b""):
        """Do nothing."""

    def answer_json(self, status, value, headers=None):
        """Do nothing."""

    def refuse(self, exc, headers=None):
        """Do nothing."""

    def abort(self):
        """Do nothing."""


class _Held:
    """State of one request that its caller may ask for again."""

    __slots__ = ("session", "until", "size", "read")

    def __init__(self, session, until=None, size=0):
        self.session = session
        # Without a caller it is kept until then.
        self.until = until
        self.size = size
        self.read = until is None


class _Waiting:
    """State of a reconnect whose answer is looked for at the peers."""

    def __init__(self, exchange, key, last, begin):
        self.exchange = exchange
        self.key = key
        self.last = last
        # Runs the request as a new one.
        self.begin = begin
        self.gone = False

    def leave(self):
        """Note that the caller has gone again."""
        self.gone = True


class Reconnects(BaseComponent):
    """Hold what callers may come back for, and hand it to peers."""

    channel = "reconnects"

    def __init__(self, cfg, dispatcher, peers):
        super().__init__()
        self._cfg = cfg
        self._dispatch = dispatcher
        self._peers = peers
        self._held = {}
        self._size = 0
        self._live = {}
        self._parting = ()
        self._ask_until = 0.0
        self._expire_due = 0.0
        self._serials = itertools.count()
        self._outbox = Outbox()
        self._inbox = Inbox(cfg.reconnect_bytes)
        self._searches = Searches()
        self._waiting = {}
        self._moving = {}
        self._tried = set()
        self._moved = set()
        peers.subscribe((Part, Receipt, Seek, Unheld), self._hear)

    def enlist(self, records):
        """Take the entry instances that are known."""
        others = [record for record in records if record.name != self._cfg.name]
        live = {item.name: item.data_centre for item in others if item.state == LIVE}
        parting = tuple(item.name for item in others if item.state == LEAVING)
        # After an instance left or was lost, callers come that say nothing of having
        # been elsewhere: an answer that comes at once has no events to name.
        if set(self._live) - set(live) or set(parting) - set(self._parting):
            self._ask_until = time.monotonic() + self._cfg.reconnect_keep
        self._live, self._parting = live, parting

    def admit(self, session):
        """Hold a request whose caller can name it again."""
        self._held[session.key] = _Held(session)

    def resume(self, exchange, key, begin):
        """Serve a reconnect; return False for a request that is new.

        ``begin`` runs the request from the start.
        """
        last = read_last_event(exchange.req.headers, key.request_id)
        held = self._held.get(key)
        if held is not None:
            self._attach(held, exchange, last)
            return True
        # An instance that is stopping would only have to hand it over again.
        stopping = self._dispatch.draining and last is not None
        if stopping or key in self._moved:
            raise HandedOver(retry_after=1.0)
        # Load: callers that name all their requests. Harm: questions to peers for each.
        # Only a reconnect, or a time when others have left, makes one worth asking.
        if last is None and time.monotonic() > self._ask_until:
            return False
        self._ask(_Waiting(exchange, key, last, begin))
        return True

    def detach(self, session):
        """Let a request run on for a while without its caller; False if it may not."""
        held = self._held.get(session.key)
        if held is None or held.session is not session:
            return False
        session.attach(Detached())
        held.until = time.monotonic() + self._cfg.reconnect_grace
        held.read = False
        return True

    def end(self, session):
        """Keep a whole answer for a while; forget a request that failed."""
        held = self._held.get(session.key)
        if held is None or held.session is not session:
            return
        if session.outcome != RAN:
            self._drop(session.key)
            return
        held.until = time.monotonic() + self._cfg.reconnect_keep
        self._resize(held, measure(session))
        self._evict()

    def hand_over(self):
        """Give each model request that its caller can name to a peer, once."""
        sessions = [s for s in self._dispatch.sessions.values() if s.may_move]
        unread = [held.session for held in self._held.values() if not held.read]
        for session in dict.fromkeys(sessions + unread):
            if session.serial not in self._tried:
                self._tried.add(session.serial)
                self._offer(session)

    def _offer(self, session):
        centre = self._cfg.data_centre
        takers = handoffs.choose_takers(session.key, self._live, centre)
        if takers:
            self._send_state(session, self._name_transfer(), takers)

    @property
    def busy(self):
        """Tell whether a state is on its way to a peer."""
        return bool(self._moving)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = time.monotonic()
        for core in (self._outbox, self._inbox, self._searches):
            self._apply(core.tick(now))
        if now >= self._expire_due:
            self._expire_due = now + EXPIRE_EVERY
            self._expire(now)

    def _name_transfer(self):
        return f"{self._cfg.name}-{next(self._serials)}"

    def _expire(self, now):
        held = [item for item in self._held.values() if not item.session.moving]
        for item in held:
            if item.until is not None and now > item.until:
                self._drop(item.session.key)
                item.session.abandon()

    def _drop(self, key):
        held = self._held.pop(key, None)
        if held is not None:
            self._size -= held.size

    def _resize(self, held, size):
        self._size += size - held.size
        held.size = size

    def _evict(self):
        """Forget the oldest whole answers over the limit.

        Load: long answers to callers that name all of them. Harm: memory for control
        is 128 MB a node (letter 1). What still runs has no other copy and stays.
        """
        for key, held in list(self._held.items()):
            if self._size <= self._cfg.reconnect_bytes:
                return
            if held.session.closed:
                self._drop(key)

    def _attach(self, held, exchange, last):
        session = held.session
        after = -1 if last is None else last
        if session.stream and after >= session.run.answer.offset:
            raise AnswerLost()
        held.read = True
        if not session.closed:
            held.until = None
        session.attach(exchange)
        session.run.replay(after)
        log_event("caller reconnected", request=session.request_id, after=after)

    def _ask(self, waiting):
        search = self._name_transfer()
        waiting.exchange.tag = waiting
        self._waiting[search] = waiting
        asked = handoffs.choose_asked(waiting.key, self._live, self._parting)
        now = time.monotonic()
        self._apply(self._searches.begin(search, waiting.key, asked, now))

    def _resolve(self, search):
        """Answer a reconnect after its search."""
        waiting = self._waiting.pop(search)
        if waiting.gone:
            return
        waiting.exchange.tag = None
        self._dispatch.serve(lambda exchange: self._start(waiting), waiting.exchange)

    def _start(self, waiting):
        held = self._held.get(waiting.key)
        if held is not None:
            self._attach(held, waiting.exchange, waiting.last)
        elif waiting.last is not None and waiting.last >= 0:
            # A new answer may read differently: joined to what the caller has read, it
            # would be a mixture.
            raise AnswerLost()
        else:
            waiting.begin()

    def _hear(self, sender, message):
        HEARERS[type(message)](self, sender, message)

    def _hear_part(self, sender, part):
        now = time.monotonic()
        self._searches.prolong(part.transfer, now)
        self._apply(self._inbox.receive(sender, part, now))

    def _hear_receipt(self, sender, receipt):
        self._apply(self._outbox.receive(sender, receipt, time.monotonic()))

    def _hear_seek(self, sender, seek):
        held = self._held.get(seek.key)
        if held is None or held.session.moving:
            self._peers.forward(sender, Unheld(seek.search))
            return
        self._send_state(held.session, seek.search, (sender,))

    def _hear_unheld(self, sender, message):
        self._apply(self._searches.receive(sender, message, time.monotonic()))

    def _send_state(self, session, transfer, peers):
        """Stop the request here and offer its state, its KV cache left at an engine.

        Guard: tokens that the caller got after the state was taken would be written
        again elsewhere, and may read differently; so nothing is generated meanwhile.
        """
        session.moving = True
        self._moving[transfer] = session
        session.park(lambda: self._send_parked(session, transfer, peers))

    def _send_parked(self, session, transfer, peers):
        session.suspend()
        parts = handoffs.pack_state(session.make_state())
        if parts is None:
            self._apply([Undelivered(transfer)])
            return
        now = time.monotonic()
        self._apply(self._outbox.begin(transfer, parts, peers, now))

    def _apply(self, actions):
        for action in actions:
            APPLIERS[type(action)](self, action)

    def _forward(self, action):
        self._peers.forward(action.instance, action.message)

    def _delivered(self, action):
        session = self._moving.pop(action.transfer)
        session.moving = False
        if self._dispatch.draining:
            self._moved.add(session.key)
        self._drop(session.key)
        session.finish_move()
        log_event("handed over", request=session.request_id, peer=action.peer)

    def _undelivered(self, action):
        session = self._moving.pop(action.transfer)
        session.moving = False
        log_event("not handed over", request=session.request_id)
        if not session.closed:
            self._dispatch.readmit(session)

    def _received(self, action):
        taken = True
        try:
            self._take_over(action.state, action.transfer)
        except ChervilwingError as exc:
            taken = False
            log_event("not taken over", detail=exc.detail)
        receipt = Receipt(action.transfer, action.number, taken)
        self._peers.forward(action.sender, receipt)
        waiting = self._waiting.get(action.transfer)
        if waiting is not None:
            self._searches.find(action.transfer)
            self._resolve(action.transfer)
        self._dispatch.pump()

    def _take_over(self, state, transfer):
        """Go on with a request that another instance began."""
        if self._dispatch.draining and transfer not in self._waiting:
            raise NotReady("The instance is stopping.")
        # A receipt that was lost brings the same state again.
        if state.key in self._held:
            return
        size = len(state.prompt) + sum(map(len, state.tokens))
        if self._size + size > self._cfg.reconnect_bytes:
            raise PoolFull("No room for another state.")
        session = self._dispatch.adopt(state, Detached())
        held = _Held(session, time.monotonic() + self._cfg.reconnect_keep)
        self._held[state.key] = held
        self._resize(held, size)
        log_event("taken over", request=session.request_id, tokens=len(state.tokens))

    def _not_found(self, action):
        self._resolve(action.search)


APPLIERS = {
    Forward: Reconnects._forward,
    Delivered: Reconnects._delivered,
    Undelivered: Reconnects._undelivered,
    Received: Reconnects._received,
    NotFound: Reconnects._not_found,
}
HEARERS = {
    Part: Reconnects._hear_part,
    Receipt: Reconnects._hear_receipt,
    Seek: Reconnects._hear_seek,
    Unheld: Reconnects._hear_unheld,
}


def measure(session):
    """Return about how many bytes an answer takes while it is held."""
    return len(session.run.completion.prompt) + len(session.run.answer.text)
