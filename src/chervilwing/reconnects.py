"""Serve callers that reconnect, and hand over requests to other entry instances.

A request is held under its customer, its request id and a fingerprint of its content. A
reconnect that matches all three gets the rest of the same answer.
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
from .held_requests import HeldRequests, NullExchange
from .logs import log_event
from .messages import Forward

# Seconds between two checks for expired requests.
EXPIRY_INTERVAL = 0.25


class _PendingReconnect:
    """State of a reconnect while its request is searched for at the peers."""

    def __init__(self, exchange, key, last_index, begin):
        self.exchange = exchange
        self.key = key
        self.last_index = last_index
        # Starts the request as a new one.
        self.begin = begin
        self.disconnected = False

    def leave(self):
        """Record that the caller has disconnected again."""
        self.disconnected = True


class Reconnects(BaseComponent):
    """Hold requests for reconnecting callers and hand them over to peers."""

    channel = "reconnects"

    def __init__(self, cfg, dispatcher, peers):
        super().__init__()
        self._cfg = cfg
        self._dispatch = dispatcher
        self._peers = peers
        self._held = HeldRequests(cfg.reconnect_bytes)
        self._live_peers = {}
        self._leaving_peers = ()
        self._search_until = 0.0
        self._next_expiry = 0.0
        self._transfer_numbers = itertools.count()
        self._outbox = Outbox()
        self._inbox = Inbox(cfg.reconnect_bytes)
        self._searches = Searches()
        self._pending = {}
        self._handing_over = {}
        self._offered = set()
        self._handed_over = {}
        self._deferred_seeks = {}
        peers.subscribe(tuple(MESSAGE_HANDLERS), self._handle_message)

    def enlist(self, records):
        """Update the member records of the entry instances."""
        others = [record for record in records if record.name != self._cfg.name]
        live = {item.name: item.data_centre for item in others if item.state == LIVE}
        leaving = tuple(item.name for item in others if item.state == LEAVING)
        # When an instance has left or was lost, its callers may reconnect without
        # naming an event: answers that aren't streamed have no events. So for a while,
        # requests that look new are searched for at the peers.
        if set(self._live_peers) - set(live) or set(leaving) - set(self._leaving_peers):
            self._search_until = time.monotonic() + self._cfg.reconnect_keep
        self._live_peers, self._leaving_peers = live, leaving

    def admit(self, session):
        """Hold a request whose caller chose its id and so can reconnect."""
        self._held.put(session)

    def resume(self, exchange, key, begin):
        """Serve a reconnect; return False for a request that is new.

        ``begin`` runs the request from the start.
        """
        last_index = read_last_event(exchange.req.headers, key.request_id)
        held = self._held.get(key)
        if held is not None:
            self._attach(held, exchange, last_index)
            return True
        # A stopping instance doesn't fetch the request from a peer: it would have to
        # hand it over again. The caller retries at another instance.
        moved = key in self._handed_over
        if self._dispatch.draining and (moved or last_index is not None):
            raise HandedOver(retry_after=1.0)
        # Callers may send an id with every request; searching the peers for each would
        # flood them. Search only for a reconnect, or shortly after an instance has
        # left.
        if last_index is None and not moved and time.monotonic() > self._search_until:
            return False
        self._start_search(_PendingReconnect(exchange, key, last_index, begin))
        return True

    def detach(self, session):
        """Keep a request running for a while without its caller.

        Return False if it isn't held, or if there is no room for it.
        """
        held = self._held.find(session)
        expires_at = time.monotonic() + self._cfg.reconnect_grace
        if held is None or not self._held.detach(held, expires_at):
            return False
        session.attach(NullExchange())
        return True

    def end(self, session):
        """Keep a complete answer for a while; drop a request that failed."""
        held = self._held.find(session)
        if held is None:
            return
        if session.outcome != RAN:
            self._held.drop(session.key)
            return
        self._held.finish(held, time.monotonic() + self._cfg.reconnect_keep)

    def hand_over(self):
        """Offer to peers, once each, the requests to which callers can reconnect."""
        sessions = [s for s in self._dispatch.sessions.values() if s.can_hand_over]
        unread = [held.session for held in self._held.list() if not held.delivered]
        for session in dict.fromkeys(sessions + unread):
            if session.serial not in self._offered:
                self._offered.add(session.serial)
                self._offer(session)

    def _offer(self, session):
        data_centre = self._cfg.data_centre
        recipients = handoffs.choose_recipients(
            session.key, self._live_peers, data_centre
        )
        if recipients:
            self._send_state(session, self._make_transfer_id(), recipients)

    @property
    def busy(self):
        """Return whether a request is being handed over."""
        return bool(self._handing_over)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = time.monotonic()
        for component in (self._outbox, self._inbox, self._searches):
            self._apply(component.tick(now))
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL
            self._expire(now)

    def _make_transfer_id(self):
        return f"{self._cfg.name}-{next(self._transfer_numbers)}"

    def _expire(self, now):
        for held in self._held.list_expired(now):
            self._held.drop(held.session.key)
            held.session.abandon()
        for key, (_, expires_at) in list(self._handed_over.items()):
            if now > expires_at:
                del self._handed_over[key]

    def _attach(self, held, exchange, last_index):
        session = held.session
        after = -1 if last_index is None else last_index
        if session.stream and after >= session.run.answer.offset:
            raise AnswerLost()
        held.delivered = True
        if not session.closed:
            held.expires_at = None
        session.attach(exchange)
        session.run.replay(after)
        log_event("caller reconnected", request=session.request_id, after=after)

    def _start_search(self, pending):
        search = self._make_transfer_id()
        pending.exchange.tag = pending
        self._pending[search] = pending
        peer, _ = self._handed_over.get(pending.key, ("", 0.0))
        first = (peer, *self._leaving_peers) if peer else self._leaving_peers
        candidates = handoffs.choose_search_peers(pending.key, self._live_peers, first)
        now = time.monotonic()
        self._apply(self._searches.begin(search, pending.key, candidates, now))

    def _finish_search(self, search):
        """Serve a reconnect after its search."""
        pending = self._pending.pop(search)
        if pending.disconnected:
            return
        pending.exchange.tag = None
        self._dispatch.serve(
            lambda exchange: self._serve_pending(pending), pending.exchange
        )

    def _serve_pending(self, pending):
        held = self._held.get(pending.key)
        if held is not None:
            self._attach(held, pending.exchange, pending.last_index)
        elif pending.last_index is not None and pending.last_index >= 0:
            # A new answer may have other tokens, so it can't continue the part that the
            # caller has read.
            raise AnswerLost()
        else:
            pending.begin()

    def _handle_message(self, sender, message):
        MESSAGE_HANDLERS[type(message)](self, sender, message)

    def _handle_part(self, sender, part):
        now = time.monotonic()
        self._searches.extend(part.transfer, now)
        self._apply(self._inbox.receive(sender, part, now))

    def _handle_receipt(self, sender, receipt):
        self._apply(self._outbox.receive(sender, receipt, time.monotonic()))

    def _handle_seek(self, sender, seek):
        held = self._held.get(seek.key)
        if held is None:
            peer, _ = self._handed_over.get(seek.key, ("", 0.0))
            answer = Moved(seek.search, peer) if peer else Unheld(seek.search)
            self._peers.send_message(sender, answer)
        elif held.session.handing_over:
            # Reply after the hand-over that is in progress.
            self._deferred_seeks.setdefault(seek.key, []).append((sender, seek))
        else:
            self._send_state(held.session, seek.search, (sender,))

    def _handle_moved(self, sender, message):
        now = time.monotonic()
        self._apply(self._searches.redirect(sender, message, now))

    def _handle_recall(self, sender, message):
        """Drop a state that its sender has handed over to another peer meanwhile.

        An instance that was frozen may accept a state that was offered long ago. It
        would then continue the request beside the other peer, and a caller that
        reconnects to both could read a mixture of two answers.
        """
        for held in self._held.list():
            unclaimed = held.expires_at is not None and not held.delivered
            if unclaimed and held.transfer == f"{sender}/{message.transfer}":
                self._held.drop(held.session.key)
                held.session.abandon()

    def _handle_unheld(self, sender, message):
        self._apply(self._searches.receive(sender, message, time.monotonic()))

    def _send_state(self, session, transfer, peers):
        """Store the KV cache at an engine, stop the request and offer it to peers.

        No tokens are generated after the state was made: the next instance would
        generate them again, and they may differ from those that the caller has read.
        """
        session.handing_over = True
        self._handing_over[transfer] = session
        session.store_cache(lambda: self._send_stored(session, transfer, peers))

    def _send_stored(self, session, transfer, peers):
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
        self._peers.send_message(action.instance, action.message)

    def _delivered(self, action):
        session = self._handing_over.pop(action.transfer)
        session.handing_over = False
        expires_at = time.monotonic() + self._cfg.reconnect_keep
        self._handed_over[session.key] = (action.peer, expires_at)
        self._held.drop(session.key)
        session.finish_hand_over()
        log_event("handed over", request=session.request_id, peer=action.peer)
        self._answer_deferred(session.key)

    def _undelivered(self, action):
        session = self._handing_over.pop(action.transfer)
        session.handing_over = False
        log_event("not handed over", request=session.request_id)
        if not session.closed:
            self._dispatch.requeue(session)
        self._answer_deferred(session.key)

    def _answer_deferred(self, key):
        for sender, seek in self._deferred_seeks.pop(key, ()):
            self._handle_seek(sender, seek)

    def _received(self, action):
        taken = True
        try:
            self._take_over(action)
        except ChervilwingError as exc:
            taken = False
            log_event("not taken over", detail=exc.detail)
        receipt = Receipt(action.transfer, action.number, taken)
        self._peers.send_message(action.sender, receipt)
        pending = self._pending.get(action.transfer)
        if pending is not None:
            self._searches.finish(action.transfer)
            self._finish_search(action.transfer)
        self._dispatch.run_scheduler()

    def _take_over(self, action):
        """Continue a request that another instance has handed over."""
        state = action.state
        if self._dispatch.draining and action.transfer not in self._pending:
            raise NotReady("The instance is stopping.")
        # After a lost receipt the same state arrives again.
        if self._held.get(state.key) is not None:
            return
        size = len(state.prompt) + sum(map(len, state.tokens))
        if not self._held.make_room(size):
            raise PoolFull("No room for another state.")
        session = self._dispatch.adopt(state, NullExchange())
        expires_at = time.monotonic() + self._cfg.reconnect_keep
        transfer = f"{action.sender}/{action.transfer}"
        self._held.put(session, expires_at, size, transfer)
        self._handed_over.pop(state.key, None)
        log_event("taken over", request=session.request_id, tokens=len(state.tokens))

    def _not_found(self, action):
        self._finish_search(action.search)


APPLIERS = {
    Forward: Reconnects._forward,
    Delivered: Reconnects._delivered,
    Undelivered: Reconnects._undelivered,
    Received: Reconnects._received,
    NotFound: Reconnects._not_found,
}
MESSAGE_HANDLERS = {
    Part: Reconnects._handle_part,
    Receipt: Reconnects._handle_receipt,
    Seek: Reconnects._handle_seek,
    Unheld: Reconnects._handle_unheld,
    Moved: Reconnects._handle_moved,
    Recall: Reconnects._handle_recall,
}
