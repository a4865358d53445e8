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
    Moved,
    NotFound,
    Outbox,
    Part,
    Recall,
    Receipt,
    Received,
    Searches,
    Seek,
    Undelivered,
    Unheld,
)
from .held import Detached, HeldAnswers
from .logs import log_event
from .messages import Forward

EXPIRE_EVERY = 0.25


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
        self._held = HeldAnswers(cfg.reconnect_bytes)
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
        self._moved = {}
        self._later = {}
        peers.subscribe(tuple(HEARERS), self._hear)

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
        self._held.put(session)

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
        moved = key in self._moved
        if self._dispatch.draining and (moved or last is not None):
            raise HandedOver(retry_after=1.0)
        # Load: callers that name all their requests. Harm: questions to peers for each.
        # Only a reconnect, or a time when others have left, makes one worth asking.
        if last is None and not moved and time.monotonic() > self._ask_until:
            return False
        self._ask(_Waiting(exchange, key, last, begin))
        return True

    def detach(self, session):
        """Let a request run on for a while without its caller; False if it may not."""
        held = self._held.find(session)
        if held is None:
            return False
        session.attach(Detached())
        held.until = time.monotonic() + self._cfg.reconnect_grace
        held.read = False
        return True

    def end(self, session):
        """Keep a whole answer for a while; forget a request that failed."""
        held = self._held.find(session)
        if held is None:
            return
        if session.outcome != RAN:
            self._held.drop(session.key)
            return
        self._held.finish(held, time.monotonic() + self._cfg.reconnect_keep)

    def hand_over(self):
        """Give each model request that its caller can name to a peer, once."""
        sessions = [s for s in self._dispatch.sessions.values() if s.can_hand_over]
        unread = [held.session for held in self._held.list() if not held.read]
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
        for held in self._held.list_late(now):
            self._held.drop(held.session.key)
            held.session.abandon()
        for key, (_, until) in list(self._moved.items()):
            if now > until:
                del self._moved[key]

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
        peer, _ = self._moved.get(waiting.key, ("", 0.0))
        first = (peer, *self._parting) if peer else self._parting
        asked = handoffs.choose_asked(waiting.key, self._live, first)
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
        if held is None:
            peer, _ = self._moved.get(seek.key, ("", 0.0))
            answer = Moved(seek.search, peer) if peer else Unheld(seek.search)
            self._peers.forward(sender, answer)
        elif held.session.handing_over:
            # Who asks in the middle of a move is answered after it.
            self._later.setdefault(seek.key, []).append((sender, seek))
        else:
            self._send_state(held.session, seek.search, (sender,))

    def _hear_moved(self, sender, message):
        now = time.monotonic()
        self._apply(self._searches.redirect(sender, message, now))

    def _hear_recall(self, sender, message):
        """Drop a state that its sender has given to another peer meanwhile.

        Guard: a frozen instance takes a state that was offered long ago, and goes on
        with it beside the one that took its place; a caller that met both could read
        a mixture.
        """
        for held in self._held.list():
            waits = held.until is not None and not held.read
            if waits and held.transfer == f"{sender}/{message.transfer}":
                self._held.drop(held.session.key)
                held.session.abandon()

    def _hear_unheld(self, sender, message):
        self._apply(self._searches.receive(sender, message, time.monotonic()))

    def _send_state(self, session, transfer, peers):
        """Stop the request here and offer its state, its KV cache left at an engine.

        Guard: tokens that the caller got after the state was taken would be written
        again elsewhere, and may read differently; so nothing is generated meanwhile.
        """
        session.handing_over = True
        self._moving[transfer] = session
        session.store_cache(lambda: self._send_parked(session, transfer, peers))

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
        session.handing_over = False
        until = time.monotonic() + self._cfg.reconnect_keep
        self._moved[session.key] = (action.peer, until)
        self._held.drop(session.key)
        session.finish_hand_over()
        log_event("handed over", request=session.request_id, peer=action.peer)
        self._answer_later(session.key)

    def _undelivered(self, action):
        session = self._moving.pop(action.transfer)
        session.handing_over = False
        log_event("not handed over", request=session.request_id)
        if not session.closed:
            self._dispatch.requeue(session)
        self._answer_later(session.key)

    def _answer_later(self, key):
        for sender, seek in self._later.pop(key, ()):
            self._hear_seek(sender, seek)

    def _received(self, action):
        taken = True
        try:
            self._take_over(action)
        except ChervilwingError as exc:
            taken = False
            log_event("not taken over", detail=exc.detail)
        receipt = Receipt(action.transfer, action.number, taken)
        self._peers.forward(action.sender, receipt)
        waiting = self._waiting.get(action.transfer)
        if waiting is not None:
            self._searches.find(action.transfer)
            self._resolve(action.transfer)
        self._dispatch.run_scheduler()

    def _take_over(self, action):
        """Go on with a request that another instance began."""
        state = action.state
        if self._dispatch.draining and action.transfer not in self._waiting:
            raise NotReady("The instance is stopping.")
        # A receipt that was lost brings the same state again.
        if self._held.get(state.key) is not None:
            return
        size = len(state.prompt) + sum(map(len, state.tokens))
        if not self._held.make_room(size):
            raise PoolFull("No room for another state.")
        session = self._dispatch.adopt(state, Detached())
        until = time.monotonic() + self._cfg.reconnect_keep
        transfer = f"{action.sender}/{action.transfer}"
        self._held.put(session, until, size, transfer)
        self._moved.pop(state.key, None)
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
    Moved: Reconnects._hear_moved,
    Recall: Reconnects._hear_recall,
}
