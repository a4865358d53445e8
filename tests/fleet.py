"""A fleet of memberships in one process, with simulated time, loss and partitions."""

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

START_TIME = 1_800_000_000.0
REGIONS = {"a": "south", "b": "south", "c": "south", "d": "west", "e": "west"}
# Simulated seconds between two checks of the condition that a run waits for.
POLL_INTERVAL = 0.02
# A frame over this size carries a configuration value; it is counted in
# ``value_bytes`` and not in ``sent_bytes``.
VALUE_FRAME_BYTES = 8192
# Simulated network delays in one direction, in seconds.
SAME_CENTRE_DELAY, SAME_REGION_DELAY, CROSS_REGION_DELAY = 0.0005, 0.0015, 0.05


class Fleet:
    """Simulate the instances, the frames in transit and the traffic counters.

    ``cut`` holds the data centres that can't reach any data centre outside the set.
    """

    def __init__(self, size, seed, loss=0.0, cfg=None, centres="abcde"):
        self.rng = random.Random(seed)
        self.cfg = cfg or MembershipSettings()
        self.loss = loss
        self.now = START_TIME
        self.cut = set()
        self.nodes = {}
        self.received_at = {}
        self.sent_bytes = Counter()
        self.headers = 0
        self.value_bytes = 0
        self._queue = []
        self._sequence = count()
        self._streams = set()
        for number in range(size):
            self.start(f"entry-{number}", centres[number % len(centres)], number)

    def start(self, name, centre, number, incarnation=1):
        """Start an instance, or restart it without its state."""
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
        """Pass the records of all instances to each of them."""
        records = [to_wire(node.members()[0]) for node in self.nodes.values()]
        for address, node in self.nodes.items():
            node.receive(address, Frame("items", records), self.now)

    def stop(self, address):
        """Kill an instance, with its streams and state."""
        self.nodes.pop(address, None)
        self.received_at = {
            key: time for key, time in self.received_at.items() if key[0] != address
        }
        self._streams = {pair for pair in self._streams if address not in pair}

    def run(self, seconds, until=None):
        """Simulate ``seconds``; return the seconds until ``until()`` held, or None."""
        start, end, next_poll = self.now, self.now + seconds, self.now
        while self._queue and self._queue[0][0] <= end:
            self.now, _, address, sender, payload = heapq.heappop(self._queue)
            self._deliver(address, sender, payload)
            if until and self.now >= next_poll:
                if until():
                    return self.now - start
                next_poll = self.now + POLL_INTERVAL
        self.now = end
        return None

    def all_heard(self, item, addresses=None):
        """Return whether all instances, or these, have received an item."""
        return all((at, item) in self.received_at for at in addresses or self.nodes)

    def agree(self):
        """Return whether the tables of all instances are equal."""
        return len({node.describe().digest for node in self.nodes.values()}) == 1

    def take(self, address, actions):
        """Send the frames in an instance's actions and record the items it received."""
        for action in actions:
            if type(action) is Send:
                self._send(address, action.peer, action.data)
            elif type(action) is Heard:
                self.received_at.setdefault((address, action.item), self.now)

    def _deliver(self, address, sender, payload):
        node = self.nodes.get(address)
        if node is None:
            return
        if sender is not None:
            for frame in Decoder().feed(payload):
                self.take(address, node.receive(sender, frame, self.now))
        elif payload is node:
            self.take(address, node.tick(self.now))
            self._push(self.now + self.cfg.interval, address, None, node)

    def _send(self, source, target, data):
        if (source, target) not in self._streams:
            self._streams |= {(source, target), (target, source)}
            data = self.nodes[source].encode_hello() + data
        if len(data) > VALUE_FRAME_BYTES:
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
            return SAME_CENTRE_DELAY
        return (
            SAME_REGION_DELAY if REGIONS[here] == REGIONS[there] else CROSS_REGION_DELAY
        )

    def _push(self, at, address, sender, payload):
        heapq.heappush(
            self._queue, (at, next(self._sequence), address, sender, payload)
        )
