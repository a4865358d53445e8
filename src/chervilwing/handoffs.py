"""Hand the state of model requests from one entry instance to another.

A state travels in parts, one at a time, each with its receipt: the sender knows when
all of it was taken, and no more than one part a transfer waits in a peer's buffer.
"""

from math import ceil
from typing import NamedTuple

import msgpack

from .exceptions import BadFrame
from .messages import Forward
from .ranking import rank
from .wire import rebuild

# A frame takes 64 KiB; the rest is for the part's other fields.
PART_BYTES = 48 * 1024
# Load: long histories as prompts, handed over in a wave. Harm: one state that fills the
# seconds of the notice for all; at 3 ms a part this one takes 0.13 s.
STATE_LIMIT = 2 * 1024 * 1024
MAX_PARTS = ceil(STATE_LIMIT / PART_BYTES)
# Load: hundreds of requests handed over at once. Harm: a peer's buffer over its 4 MiB,
# which drops the stream. 32 parts are 1.5 MiB.
TRANSFERS_AT_ONCE = 32
# Seconds for a receipt. Harm: a frozen peer takes the whole notice; with half a second
# three peers are tried within the lead before the deadline.
RECEIPT_WAIT = 0.5
# Peers that a state is offered to, and peers that a reconnect asks. Load: thousands of
# callers that reconnect after a data centre went. Harm: messages that grow with the
# fleet. Eight reach all instances of today's sizes.
OFFERS = 3
QUESTIONS = 8
# Seconds that a reconnect waits for a sign of its state.
SEARCH_WAIT = 1.0


class Key(NamedTuple):
    """What a reconnect must match: nobody else's answer, and the same request."""

    customer: str
    request_id: str
    fingerprint: str

    def __str__(self):
        return "\0".join(self)


class State(NamedTuple):
    """One model request as another instance can go on with it."""

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
    # The engine that keeps the KV cache, where one does.
    upstream: str = ""


class Part(NamedTuple):
    """A piece of a state on its way."""

    transfer: str
    number: int
    count: int
    data: bytes


class Receipt(NamedTuple):
    """The part was taken, or the whole state is refused."""

    transfer: str
    number: int
    taken: bool


class Seek(NamedTuple):
    """Ask for a state; its holder sends it as the transfer ``search``."""

    search: str
    key: Key


class Unheld(NamedTuple):
    """The asked instance doesn't hold the state."""

    search: str


class Moved(NamedTuple):
    """The asked instance has given the state to this peer."""

    search: str
    peer: str


class Recall(NamedTuple):
    """Another peer goes on with what this transfer brought; drop it."""

    transfer: str


class Delivered(NamedTuple):
    """The peer has taken the whole state."""

    transfer: str
    peer: str


class Undelivered(NamedTuple):
    """No peer has taken the state."""

    transfer: str


class Received(NamedTuple):
    """A whole state has come; ``accept`` or ``reject`` it."""

    sender: str
    transfer: str
    number: int
    state: State


class NotFound(NamedTuple):
    """No peer holds what the search was for."""

    search: str


def pack_state(state):
    """Return the parts' data of a state, or None when it is over the limit."""
    data = msgpack.packb(state)
    if len(data) > STATE_LIMIT:
        return None
    return [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]


def unpack_state(parts):
    """Return the state in the parts' data, or raise BadFrame."""
    try:
        value = msgpack.unpackb(b"".join(parts))
    except Exception as exc:  # Guard: msgpack raises many types; see frames.decode.
        raise BadFrame("A state is no msgpack.") from exc
    return rebuild(State, value)


def choose_takers(key, live, centre):
    """Return who is offered a state: other data centres' live instances first.

    A data centre is reclaimed as a whole, so that a neighbour's turn is near.
    """
    ranked = rank(str(key), live)
    ranked.sort(key=lambda name: live[name] == centre)
    return tuple(ranked[:OFFERS])


def choose_asked(key, live, leaving):
    """Return who is asked for a state, the likeliest first.

    A holder was the first of the key's order outside a data centre that isn't known
    here: it is the first of all, or the first outside that one's data centre.
    """
    ranked = rank(str(key), live)
    outside = [name for name in ranked if live[name] != live[ranked[0]]]
    order = dict.fromkeys([*ranked[:1], *outside[:1], *leaving, *ranked])
    return tuple(order)[:QUESTIONS]


class _Transfer:
    """State of one transfer."""

    def __init__(self, parts, peers):
        self.parts = parts
        self.peers = list(peers)
        self.peer = ""
        self.number = 0
        self.due = 0.0


class Outbox:
    """States on their way to peers."""

    def __init__(self):
        self._waiting = {}
        self._moving = {}

    def begin(self, transfer, parts, peers, now):
        """Offer a state to these peers, one after the other."""
        self._waiting[transfer] = _Transfer(parts, peers)
        return self._fill(now)

    def receive(self, sender, receipt, now):
        """Take the answer to a part."""
        moving = self._moving.get(receipt.transfer)
        if moving is None or moving.peer != sender:
            late = Forward(sender, Recall(receipt.transfer))
            return [late] if receipt.taken else []
        if moving.number != receipt.number:
            return []
        if not receipt.taken:
            return self._offer(receipt.transfer, moving, now) + self._fill(now)
        moving.number += 1
        if moving.number < len(moving.parts):
            return [self._send(receipt.transfer, moving, now)]
        del self._moving[receipt.transfer]
        return [Delivered(receipt.transfer, sender), *self._fill(now)]

    def tick(self, now):
        """Offer what got no receipt to the next peer."""
        actions = []
        for transfer, moving in list(self._moving.items()):
            if now > moving.due:
                actions += self._offer(transfer, moving, now)
        return actions + self._fill(now)

    def count(self):
        """Return how many states are on their way."""
        return len(self._waiting) + len(self._moving)

    def _fill(self, now):
        actions = []
        while self._waiting and len(self._moving) < TRANSFERS_AT_ONCE:
            transfer = next(iter(self._waiting))
            moving = self._moving[transfer] = self._waiting.pop(transfer)
            actions += self._offer(transfer, moving, now)
        return actions

    def _offer(self, transfer, moving, now):
        if not moving.peers:
            del self._moving[transfer]
            return [Undelivered(transfer)]
        moving.peer, moving.number = moving.peers.pop(0), 0
        return [self._send(transfer, moving, now)]

    def _send(self, transfer, moving, now):
        moving.due = now + RECEIPT_WAIT
        data = moving.parts[moving.number]
        part = Part(transfer, moving.number, len(moving.parts), data)
        return Forward(moving.peer, part)


class _Arrival:
    """State of one transfer that comes in."""

    def __init__(self):
        self.parts = []
        self.heard = 0.0


class Inbox:
    """Parts of states that come from peers, ``limit`` bytes of them at most."""

    def __init__(self, limit):
        self._limit = limit
        self._arrivals = {}
        self.size = 0

    def receive(self, sender, part, now):
        """Take a part; raise BadFrame on nonsense."""
        name = (sender, part.transfer)
        # Only the sender starts again, after a receipt that came too late.
        if part.number == 0:
            self._drop(name)
            self._arrivals[name] = _Arrival()
        arrival = self._arrivals.get(name)
        misplaced = arrival is None or part.number != len(arrival.parts)
        full = part.count > MAX_PARTS or self.size + len(part.data) > self._limit
        if misplaced or full:
            self._drop(name)
            return [Forward(sender, Receipt(part.transfer, part.number, False))]
        arrival.parts.append(part.data)
        arrival.heard = now
        self.size += len(part.data)
        if part.number + 1 < part.count:
            return [Forward(sender, Receipt(part.transfer, part.number, True))]
        parts = arrival.parts
        self._drop(name)
        state = unpack_state(parts)
        return [Received(sender, part.transfer, part.number, state)]

    def tick(self, now):
        """Drop what its sender has given up: an instance died in the middle."""
        for name, arrival in list(self._arrivals.items()):
            if now - arrival.heard > 2 * RECEIPT_WAIT:
                self._drop(name)
        return []

    def _drop(self, name):
        arrival = self._arrivals.pop(name, None)
        if arrival is not None:
            self.size -= sum(map(len, arrival.parts))


class _Search:
    """State of one search."""

    def __init__(self, key, asked, due):
        self.key = key
        # Those that have not answered yet, and those that others have named.
        self.asked = set(asked)
        self.told = set()
        self.due = due


class Searches:
    """Reconnects that wait for their state."""

    def __init__(self):
        self._searches = {}

    def begin(self, search, key, asked, now):
        """Ask the peers."""
        self._searches[search] = _Search(key, asked, now + SEARCH_WAIT)
        if not asked:
            return self._end(search)
        return [Forward(name, Seek(search, key)) for name in asked]

    def receive(self, sender, message, now):
        """Take note that a peer doesn't hold the state."""
        search = self._searches.get(message.search)
        if search is None:
            return []
        search.asked.discard(sender)
        return [] if search.asked else self._end(message.search)

    def redirect(self, sender, message, now):
        """Ask the peer that the state has moved to."""
        search = self._searches.get(message.search)
        if search is None:
            return []
        search.asked.discard(sender)
        if message.peer in search.told:
            return [] if search.asked else self._end(message.search)
        search.told.add(message.peer)
        search.asked.add(message.peer)
        search.due = now + SEARCH_WAIT
        return [Forward(message.peer, Seek(message.search, search.key))]

    def prolong(self, name, now):
        """Go on waiting: parts of the state are coming."""
        if name in self._searches:
            self._searches[name].due = now + SEARCH_WAIT

    def find(self, name):
        """End a search whose state has come."""
        self._searches.pop(name, None)

    def tick(self, now):
        """End what waited too long: an asked peer is dead or cut off."""
        late = [name for name, item in self._searches.items() if now > item.due]
        return [action for name in late for action in self._end(name)]

    def _end(self, name):
        del self._searches[name]
        return [NotFound(name)]
