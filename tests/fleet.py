"""Many memberships in one process, with simulated time, loss and cuts."""

import heapq
import random
from collections import Counter
from itertools import count

from chervilwing.frames import Decoder, Frame
from chervilwing.gossip import Record, to_wire
from chervilwing.gossip_settings import MembershipSettings
from chervilwing.membership import (
    HEADER_BYTES,
    Heard,
    Membership,
    Send,
)
from chervilwing.models import Address

START = 1_800_000_000.0
REGIONS = {"a": "south", "b": "south", "c": "south", "d": "west", "e": "west"}
LOOK = 0.02
LARGE = 8192
NEAR, FAR, ABROAD = 0.0005, 0.0015, 0.05


class Fleet:
    """Hold the instances, the frames under way and what was counted."""

    def __init__(self, size, seed, loss=0.0, cfg=None, centres="abcde"):
        self.rng = random.Random(seed)
        self.cfg = cfg or MembershipSettings()
        self.loss = loss
        self.now = START
        self.cut = set()
        self.nodes = {}
        self.heard = {}
        self.sent_bytes = Counter()
        self.headers = 0
        self.value_bytes = 0
        self._queue = []
        self._order = count()
        self._streams = set()
        for number in range(size):
            self.start(f"entry-{number}", centres[number % len(centres)], number)

    def start(self, name, centre, number, incarnation=1):
        """Start an instance, or start it anew without its state."""
        address = Address("127.0.0.1", 20_000 + number)
        record = Record(name, address, centre, REGIONS[centre], "live", incarnation)
        rng = random.Random(self.rng.random())
        node = Membership(self.cfg, record, rng)
        node.centre = centre
        node.join([Address("127.0.0.1", 20_000 + seed) for seed in range(3)])
        self.stop(address)
        self.nodes[address] = node
        self._push(
            self.now + self.rng.random() * self.cfg.interval, address, None, node
        )
        return node

    def introduce(self):
        """Let every instance know every other, as after a start long ago."""
        records = [to_wire(node.members()[0]) for node in self.nodes.values()]
        for address, node in self.nodes.items():
            node.receive(address, Frame("items", records), self.now)

    def stop(self, address):
        """Kill an instance: its streams and state are gone."""
        self.nodes.pop(address, None)
        self.heard = {at: got for at, got in self.heard.items() if at[0] != address}
        self._streams = {pair for pair in self._streams if address not in pair}

    def run(self, seconds, until=None):
        """Let time pass; return the seconds until ``until()`` held, or None."""
        start, end, look = self.now, self.now + seconds, self.now
        while self._queue and self._queue[0][0] <= end:
            self.now, _, address, sender, load = heapq.heappop(self._queue)
            self._step(address, sender, load)
            if until and self.now >= look:
                if until():
                    return self.now - start
                look = self.now + LOOK
        self.now = end
        return None

    def all_heard(self, item, addresses=None):
        """Tell whether all instances, or these, have heard of an item."""
        return all((at, item) in self.heard for at in addresses or self.nodes)

    def agree(self):
        """Tell whether all tables are alike."""
        return len({node.describe().digest for node in self.nodes.values()}) == 1

    def take(self, address, outcome):
        """Send what an instance wants sent and note what it heard."""
        for entry in outcome:
            if type(entry) is Send:
                self._send(address, entry.peer, entry.data)
            elif type(entry) is Heard:
                self.heard.setdefault((address, entry.item), self.now)

    def _step(self, address, sender, load):
        node = self.nodes.get(address)
        if node is None:
            return
        if sender is not None:
            for frame in Decoder().feed(load):
                self.take(address, node.receive(sender, frame, self.now))
        elif load is node:
            self.take(address, node.tick(self.now))
            self._push(self.now + self.cfg.interval, address, None, node)

    def _send(self, source, target, data):
        if (source, target) not in self._streams:
            self._streams |= {(source, target), (target, source)}
            data = self.nodes[source].greet() + data
        if len(data) > LARGE:
            self.value_bytes += len(data)
        else:
            self.sent_bytes[source] += len(data) + HEADER_BYTES
            self.headers += HEADER_BYTES
        if target not in self.nodes:
            self._streams -= {(source, target), (target, source)}
            return
        here, there = self.nodes[source].centre, self.nodes[target].centre
        if here != there and (here in self.cut) != (there in self.cut):
            return
        if self.rng.random() < self.loss:
            return
        self._push(self.now + self._delay(here, there), target, source, data)

    def _delay(self, here, there):
        if here == there:
            return NEAR
        return FAR if REGIONS[here] == REGIONS[there] else ABROAD

    def _push(self, at, address, sender, load):
        heapq.heappush(self._queue, (at, next(self._order), address, sender, load))
