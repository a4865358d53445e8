"""Hand over model requests from one entry instance to another.

A request's state is sent in parts, each after the receipt for the one before. So the
sender knows when the whole state was accepted, and a peer buffers at most one part per
transfer.
"""

from math import ceil
from typing import NamedTuple

import msgpack

from .exceptions import BadFrame
from .messages import Forward
from .ranking import rank
from .wire import rebuild

# Bytes of state in a part. A frame holds 64 KiB; the rest is for the other fields.
PART_BYTES = 48 * 1024
# Bytes of a state. A larger one, such as a long history as prompt, could use up the few
# seconds of notice that all states share. At 3 ms a part this much takes 0.13 s.
STATE_LIMIT = 2 * 1024 * 1024
MAX_PARTS = ceil(STATE_LIMIT / PART_BYTES)
# Transfers that send parts at a time. Hundreds of requests may be handed over at once,
# but a peer closes the stream when its buffer exceeds 4 MiB. 32 parts are 1.5 MiB.
MAX_TRANSFERS = 32
# Seconds to wait for a receipt. A frozen peer must not use up the notice: with half a
# second, three peers are tried before the deadline.
RECEIPT_TIMEOUT = 0.5
# Maximum number of peers to which a state is offered.
MAX_OFFERS = 3
# Maximum number of peers that are asked for the state of a reconnecting caller. After a
# data centre is lost, thousands of callers reconnect; without the limit, the messages
# per caller would grow with the number of instances. In a deployment of up to nine
# entry instances, eight peers are all the others.
MAX_SEARCH_PEERS = 8
# Seconds that a reconnect waits for a reply or a part of its state.
SEARCH_TIMEOUT = 1.0


class Key(NamedTuple):
    """Identifies a request; a reconnect must match customer, id and content."""

    customer: str
    request_id: str
    fingerprint: str

    def __str__(self):
        return "\0".join(self)


class State(NamedTuple):
    """State of one model request with which another instance can continue it."""

    key: Key
    model: str
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool
    version: str
    created: int
    tokens: tuple[str, ...]
    recomputed: int
    elapsed: float
    complete: bool = False
    finish_reason: str | None = None
    prompt_tokens: int = 0
    # The engine that stores the KV cache, or empty.
    upstream: str = ""


class Part(NamedTuple):
    """One part of a state; ``number`` counts from 0."""

    transfer: str
    number: int
    count: int
    data: bytes


class Receipt(NamedTuple):
    """Accept one part, or reject the whole state."""

    transfer: str
    number: int
    taken: bool


class Seek(NamedTuple):
    """Request a state; its holder sends it as a transfer with the id ``search``."""

    search: str
    key: Key


class Unheld(NamedTuple):
    """Reply to Seek: this instance doesn't have the state."""

    search: str


class Moved(NamedTuple):
    """Reply to Seek: this instance has handed the state over to ``peer``."""

    search: str
    peer: str


class Recall(NamedTuple):
    """Ask a peer to drop the state of a transfer, as another peer continues it."""

    transfer: str


class Delivered(NamedTuple):
    """The peer has accepted the whole state."""

    transfer: str
    peer: str


class Undelivered(NamedTuple):
    """No peer has accepted the state."""

    transfer: str


class Received(NamedTuple):
    """All parts of a state have arrived; the sender awaits the last receipt."""

    sender: str
    transfer: str
    number: int
    state: State


class NotFound(NamedTuple):
    """No peer has the state that the search was for."""

    search: str


def pack_state(state):
    """Return a state as the data of its parts, or None if it is over the limit."""
    data = msgpack.packb(state)
    if len(data) > STATE_LIMIT:
        return None
    return [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]


def unpack_state(parts):
    """Return the state that the data of its parts contains, or raise BadFrame."""
    try:
        value = msgpack.unpackb(b"".join(parts))
    except Exception as exc:  # msgpack raises many types.
        raise BadFrame("A state is not valid msgpack.") from exc
    return rebuild(State, value)


def choose_recipients(key, live, data_centre):
    """Return the peers to offer a state to, those of other data centres first.

    A data centre is reclaimed as a whole, so its other instances will soon leave too.
    """
    ranked = rank(str(key), live)
    ranked.sort(key=lambda name: live[name] == data_centre)
    return tuple(ranked[:MAX_OFFERS])


def choose_search_peers(key, live, leaving):
    """Return the peers to ask for a state, the most likely holder first.

    The sender offered the state first to the key's highest ranked peer outside its own
    data centre. That data centre isn't known here, but only two peers are possible: the
    highest ranked of all, and the highest ranked outside that one's data centre. They
    are asked first.
    """
    ranked = rank(str(key), live)
    outside = [name for name in ranked if live[name] != live[ranked[0]]]
    order = dict.fromkeys([*ranked[:1], *outside[:1], *leaving, *ranked])
    return tuple(order)[:MAX_SEARCH_PEERS]


class _Transfer:
    """State of one transfer to a peer."""

    def __init__(self, parts, peers):
        self.parts = parts
        self.peers = list(peers)
        self.peer = ""
        self.number = 0
        self.due = 0.0


class Outbox:
    """Send states to peers."""

    def __init__(self):
        self._waiting = {}
        self._active = {}

    def begin(self, transfer, parts, peers, now):
        """Queue a state to be offered to these peers in turn; return actions."""
        self._waiting[transfer] = _Transfer(parts, peers)
        return self._fill_slots(now)

    def receive(self, sender, receipt, now):
        """Handle a receipt; return actions."""
        active = self._active.get(receipt.transfer)
        if active is None or active.peer != sender:
            recall = Forward(sender, Recall(receipt.transfer))
            return [recall] if receipt.taken else []
        if active.number != receipt.number:
            return []
        if not receipt.taken:
            return self._offer(receipt.transfer, active, now) + self._fill_slots(now)
        active.number += 1
        if active.number < len(active.parts):
            return [self._send(receipt.transfer, active, now)]
        del self._active[receipt.transfer]
        return [Delivered(receipt.transfer, sender), *self._fill_slots(now)]

    def tick(self, now):
        """Offer each state with an overdue receipt to its next peer; return actions."""
        actions = []
        for transfer, active in list(self._active.items()):
            if now > active.due:
                actions += self._offer(transfer, active, now)
        return actions + self._fill_slots(now)

    def count(self):
        """Return the number of states that are queued or being sent."""
        return len(self._waiting) + len(self._active)

    def _fill_slots(self, now):
        actions = []
        while self._waiting and len(self._active) < MAX_TRANSFERS:
            transfer = next(iter(self._waiting))
            active = self._active[transfer] = self._waiting.pop(transfer)
            actions += self._offer(transfer, active, now)
        return actions

    def _offer(self, transfer, active, now):
        if not active.peers:
            del self._active[transfer]
            return [Undelivered(transfer)]
        active.peer, active.number = active.peers.pop(0), 0
        return [self._send(transfer, active, now)]

    def _send(self, transfer, active, now):
        active.due = now + RECEIPT_TIMEOUT
        data = active.parts[active.number]
        part = Part(transfer, active.number, len(active.parts), data)
        return Forward(active.peer, part)


class _IncomingTransfer:
    """State of one transfer from a peer."""

    def __init__(self):
        self.parts = []
        self.received_at = 0.0


class Inbox:
    """Collect the parts of states from peers, at most ``limit`` bytes in all."""

    def __init__(self, limit):
        self._limit = limit
        self._incoming = {}
        self.size = 0

    def receive(self, sender, part, now):
        """Handle a part and return actions; raise BadFrame on an invalid state."""
        name = (sender, part.transfer)
        # Part 0 restarts a transfer: the sender has missed a receipt.
        if part.number == 0:
            self._drop(name)
            self._incoming[name] = _IncomingTransfer()
        incoming = self._incoming.get(name)
        misplaced = incoming is None or part.number != len(incoming.parts)
        full = part.count > MAX_PARTS or self.size + len(part.data) > self._limit
        if misplaced or full:
            self._drop(name)
            return [Forward(sender, Receipt(part.transfer, part.number, False))]
        incoming.parts.append(part.data)
        incoming.received_at = now
        self.size += len(part.data)
        if part.number + 1 < part.count:
            return [Forward(sender, Receipt(part.transfer, part.number, True))]
        parts = incoming.parts
        self._drop(name)
        state = unpack_state(parts)
        return [Received(sender, part.transfer, part.number, state)]

    def tick(self, now):
        """Drop unfinished transfers whose senders have stopped, as after a crash."""
        for name, incoming in list(self._incoming.items()):
            if now - incoming.received_at > 2 * RECEIPT_TIMEOUT:
                self._drop(name)
        return []

    def _drop(self, name):
        incoming = self._incoming.pop(name, None)
        if incoming is not None:
            self.size -= sum(map(len, incoming.parts))


class _Search:
    """State of one search."""

    def __init__(self, key, peers, due):
        self.key = key
        # Peers whose replies are pending, and peers that Moved replies named.
        self.pending = set(peers)
        self.redirected = set()
        self.due = due


class Searches:
    """Search the peers for the states of reconnecting callers."""

    def __init__(self):
        self._searches = {}

    def begin(self, search, key, peers, now):
        """Start a search at these peers; return actions."""
        self._searches[search] = _Search(key, peers, now + SEARCH_TIMEOUT)
        if not peers:
            return self._end(search)
        return [Forward(name, Seek(search, key)) for name in peers]

    def receive(self, sender, message, now):
        """Handle a peer's reply that it doesn't have the state; return actions."""
        search = self._searches.get(message.search)
        if search is None:
            return []
        search.pending.discard(sender)
        return [] if search.pending else self._end(message.search)

    def redirect(self, sender, message, now):
        """Ask the peer to which the state was handed over; return actions."""
        search = self._searches.get(message.search)
        if search is None:
            return []
        search.pending.discard(sender)
        if message.peer in search.redirected:
            return [] if search.pending else self._end(message.search)
        search.redirected.add(message.peer)
        search.pending.add(message.peer)
        search.due = now + SEARCH_TIMEOUT
        return [Forward(message.peer, Seek(message.search, search.key))]

    def extend(self, name, now):
        """Extend a search's deadline, as parts of its state are arriving."""
        if name in self._searches:
            self._searches[name].due = now + SEARCH_TIMEOUT

    def finish(self, name):
        """End a search whose state has arrived."""
        self._searches.pop(name, None)

    def tick(self, now):
        """End the searches past their deadline; return actions."""
        expired = [name for name, item in self._searches.items() if now > item.due]
        return [action for name in expired for action in self._end(name)]

    def _end(self, name):
        del self._searches[name]
        return [NotFound(name)]
