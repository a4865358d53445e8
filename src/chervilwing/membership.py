"""Gossip membership, notices and configuration revisions over partial views."""

from collections.abc import Callable
from typing import NamedTuple

from . import frames
from .anti_entropy import check_pair, compare_list, list_differences, select_wanted
from .exceptions import BadFrame
from .frames import Frame
from .gossip import (
    LEAVING,
    SUSPECT,
    Budget,
    Notice,
    Record,
    Revision,
    Rumours,
    Table,
    decode_items,
    encode_items,
    from_wire,
    key_of,
    priority_of,
    to_wire,
    version_of,
)
from .members import Members
from .models import Address
from .transfer import Transfer
from .views import View

# Size of the IP header and of the TCP header with timestamps, which are sent with each
# small frame. The byte budget counts them, since the network traffic is paid for.
HEADER_BYTES = 52

# Seconds; if the clock is set back by more, the schedule is reset.
CLOCK_STEP = 1.0


class Send(NamedTuple):
    """Send an encoded frame to the instance at an address."""

    peer: Address
    data: bytes


class Heard(NamedTuple):
    """Report a new or newer item; a revision comes with its complete ``value``."""

    item: Record | Notice | Revision
    value: bytes = b""


class Description(NamedTuple):
    """Describe the membership for the status page."""

    members: int
    suspects: int
    links: tuple[Address, ...]
    cut_off: tuple[str, ...]
    revision: int
    rumours: int
    digest: str


class PeriodicTask(NamedTuple):
    """Hold a function that ``tick`` runs at intervals of ``period()`` seconds."""

    run: Callable
    period: Callable


class Membership:
    """Maintain the table of peers and notices, and the newest revision.

    ``now`` is in Unix seconds, like the deadlines of notices. ``receive`` raises
    BadFrame on a malformed body and no other exception.
    """

    def __init__(self, cfg, record, rng):
        self._cfg = cfg
        self._record = record
        self._rng = rng
        self._seeds = []
        self._table = Table()
        self._members = Members(cfg, self._table)
        self._rumours = Rumours(cfg.max_pushes)
        self._view = View(cfg, record, rng)
        self._budget = Budget(cfg.rate, cfg.burst)
        self._transfer = Transfer(cfg)
        self._tasks = (
            PeriodicTask(self._maintain, lambda: cfg.probe_interval),
            PeriodicTask(self._probe, lambda: cfg.probe_interval),
            PeriodicTask(self._rotate_links, lambda: cfg.rotation_interval),
            PeriodicTask(self._probe_unlinked, self._unlinked_probe_interval),
            PeriodicTask(self._retry_fetch, lambda: cfg.fetch_timeout),
            PeriodicTask(self._push_rumours, lambda: cfg.interval),
        )
        self._due_at = [0.0] * len(self._tasks)
        self._now = 0.0
        self._handlers = {
            "hello": self._on_hello,
            "ping": self._on_ping,
            "ack": self._on_ack,
            "buckets": self._on_buckets,
            "list": self._on_list,
            "want": self._on_want,
            "push": self._on_push,
            "items": self._on_items,
            "fetch": self._on_fetch,
            "value": self._on_value,
        }
        self._keep(record)

    def join(self, seeds):
        """Set the seed addresses to contact while no other instance is reachable."""
        self._seeds = [seed for seed in seeds if seed != self._record.address]

    def encode_hello(self):
        """Return the first frame of each stream, encoded: this instance's record."""
        return frames.encode(Frame("hello", to_wire(self._record)))

    def tick(self, now):
        """Run due tasks and return the frames to send; call it each ``interval``."""
        if now < self._now - CLOCK_STEP:
            self._reset_schedule()
        self._now = now
        self._budget.refill(now)
        self._transfer.refill(now)
        sends = []
        for number, task in enumerate(self._tasks):
            if now >= self._due_at[number]:
                self._due_at[number] = now + task.period()
                sends += task.run(now)
        return tuple(sends)

    def receive(self, peer, frame, now):
        """Handle a frame from the instance at ``peer``; return sends and new items.

        Raise BadFrame if it is malformed.
        """
        handler = self._handlers.get(frame.type)
        if handler is None:
            raise BadFrame(f"frame type {frame.type!r} is unknown")
        actions = handler(peer, frame.body, now)
        self._record_contact(peer, now)
        return tuple(actions)

    def publish(self, notice, now):
        """Gossip a notice that this instance received from outside the fleet."""
        return tuple(self._accept([notice], None, now, spread=True))

    def publish_revision(self, number, value, now):
        """Gossip a configuration read from the store; ignore an older one."""
        revision = self._transfer.store_value(number, value)
        if self._keep(revision):
            self._rumours.add(revision)

    def leave(self):
        """Announce that this instance accepts no more work."""
        self._announce(self._record._replace(state=LEAVING))

    def handle_lost_stream(self, peer, now):
        """Treat a refused or broken stream to ``peer`` as a failed link."""
        if peer in self._view.links():
            self._drop_link(peer, now)

    def peers(self):
        """Return the addresses to keep streams to."""
        return self._view.links()

    def members(self):
        """Return the records of all known instances, including this one."""
        return self._members.list_records()

    def notices(self):
        """Return the notices that have not expired."""
        return tuple(self._table.items(Notice))

    def revision(self):
        """Return the number of the newest configuration held, or 0."""
        revision = self._transfer.newest()
        return 0 if revision is None else revision.number

    def value(self):
        """Return the newest configuration as bytes, or None."""
        return self._transfer.value()

    def describe(self):
        """Return the figures for the status page."""
        records = self.members()
        centres = {record.data_centre for record in records}
        return Description(
            members=len(records),
            suspects=sum(record.state == SUSPECT for record in records),
            links=self._view.links(),
            cut_off=tuple(sorted(filter(self._view.is_cut_off, centres))),
            revision=self.revision(),
            rumours=len(self._rumours),
            digest=self._table.digest().hex(),
        )

    def _reset_schedule(self):
        """Make all tasks due and choose new links after the clock was set back.

        All stored times now lie in the future. Until then, no task would run and
        no peer would count as silent, so this instance would miss notices.
        """
        self._due_at = [0.0] * len(self._tasks)
        self._view = View(self._cfg, self._record, self._rng)

    # Periodic tasks.

    def _maintain(self, now):
        self._view.refill(self.members(), now)
        self._view.drop_old_entries(now)
        self._expire(now)
        return []

    def _probe(self, now):
        for peer in self._view.collect_silent(now):
            self._drop_link(peer, now)
        targets = self._view.choose_probes()
        if self._seeds and not self._view.has_contact_within(
            self._cfg.contact_age, now
        ):
            targets.append(self._rng.choice(self._seeds))
        return [self._ping(peer, now) for peer in dict.fromkeys(targets)]

    def _rotate_links(self, now):
        self._view.rotate()
        return []

    def _probe_unlinked(self, now):
        # Instances that joined through different seeds form separate groups, which
        # would never find each other once their own members respond. So a seed is
        # probed for as long as it is not a known member.
        unknown_seeds = [
            seed for seed in self._seeds if not self._members.has_address(seed)
        ]
        unlinked = self._view.choose_unlinked(self.members())
        peer = self._rng.choice([unlinked, *unknown_seeds])
        return [] if peer is None else [self._ping(peer, now)]

    def _unlinked_probe_interval(self):
        # All instances together send a fixed number of these probes a second, so that
        # the end of a partition is detected equally fast in a fleet of any size, at the
        # same total cost.
        return max(1.0, len(self._members) / self._cfg.unlinked_probes_per_second)

    def _retry_fetch(self, now):
        overdue = self._transfer.retry(now)
        if overdue is None:
            return []
        peer, body = overdue
        return [self._send(peer, "fetch", body)]

    def _push_rumours(self, now):
        """Push to a few neighbours; each item is pushed ``max_pushes`` times at most.

        The limit keeps the bytes per instance constant as the fleet grows. Instances
        that no push reaches get the item after a ping shows that the digests differ.
        """
        if not len(self._rumours):
            return []
        neighbours = self._view.neighbours(now)
        self._rumours.prune(neighbours)
        self._rng.shuffle(neighbours)
        sends = []
        for peer in neighbours[: self._cfg.fanout]:
            items = self._rumours.select(peer, self._cfg.items_per_frame)
            if items and self._budget.is_above(0):
                self._rumours.record_push(items, peer)
                sends.append(self._send(peer, "push", encode_items(items)))
        return sends

    # Frame handlers.

    def _on_hello(self, peer, body, now):
        item = from_wire(body)
        if type(item) is not Record:
            raise BadFrame("a hello must carry a record")
        return self._accept([item], peer, now, spread=True)

    def _on_ping(self, peer, body, now):
        if _check_bytes(body) == self._table.digest():
            return [self._send(peer, "ack", None)]
        if self._budget.is_above(self._cfg.sync_reserve):
            return [self._send(peer, "buckets", self._table.bucket_digests())]
        # When hundreds of instances start at once, all ask the few seeds, whose byte
        # budget is soon used up. Each then gets a few other addresses to ask; otherwise
        # it would know only the seed for minutes.
        count = min(self._cfg.referrals, len(self._members))
        records = self._rng.sample(self.members(), count)
        return [self._send(peer, "items", encode_items(records))]

    def _on_ack(self, peer, body, now):
        return []

    def _on_buckets(self, peer, body, now):
        numbers, hashes = list_differences(self._table, body)
        return [self._send(peer, "list", [numbers, hashes])] if numbers else []

    def _on_list(self, peer, body, now):
        extra, want = compare_list(self._table, body)
        sends = self._send_items(peer, extra)
        if want is not None:
            sends.append(self._send(peer, "want", want))
        return sends

    def _on_want(self, peer, body, now):
        return self._send_items(peer, select_wanted(self._table, body))

    def _on_push(self, peer, body, now):
        return self._accept(decode_items(body), peer, now, spread=True)

    def _on_items(self, peer, body, now):
        return self._accept(decode_items(body), peer, now, spread=False)

    def _on_fetch(self, peer, body, now):
        reply = self._transfer.serve(*check_pair(body, int))
        if reply is None:
            return []
        # Values have their own budget: a single value exceeds the control traffic of a
        # minute and would delay all notices behind it.
        return [Send(peer, frames.encode(Frame("value", reply)))]

    def _on_value(self, peer, body, now):
        revision, fetch = self._transfer.receive(body, now)
        if fetch is not None:
            return [self._send(peer, "fetch", fetch)]
        if revision is None:
            return []
        # Announce the number only once the value is complete, so that each peer that
        # receives it from this instance can also fetch the value here.
        self._keep(revision)
        self._rumours.add(revision, peer)
        return [Heard(revision, self._transfer.value())]

    # Items.

    def _accept(self, items, peer, now, spread):
        actions = []
        for item in items:
            actions += self._acceptors[type(item)](self, item, peer, now, spread)
        return actions

    def _accept_record(self, record, peer, now, spread):
        if record.name == self._record.name:
            self._refute(record)
            return []
        if self._members.is_forgotten(record):
            return []
        return self._accept_if_newer(record, peer, now, spread)

    def _accept_notice(self, notice, peer, now, spread):
        # A peer that was cut off may still send notices that have expired. Accepting
        # them would exclude an upstream that has since been replaced.
        if notice.deadline + self._cfg.notice_age < now:
            return []
        return self._accept_if_newer(notice, peer, now, spread=True)

    def _accept_revision(self, revision, peer, now, spread):
        self._rumours.record_holder(revision, peer)
        fetch = self._transfer.record_offer(revision, peer, now)
        return [] if fetch is None else [self._send(peer, "fetch", fetch)]

    _acceptors = {
        Record: _accept_record,
        Notice: _accept_notice,
        Revision: _accept_revision,
    }

    def _accept_if_newer(self, item, peer, now, spread):
        if not self._keep(item, now):
            self._rumours.record_holder(item, peer)
            return []
        if spread:
            self._rumours.add(item, peer)
        return [Heard(item)]

    def _keep(self, item, now=0.0):
        if type(item) is Record:
            return self._members.merge(item, now)
        return self._table.merge(item)

    def _announce(self, record):
        self._record = record
        self._keep(record)
        self._rumours.add(record)

    def _refute(self, record):
        """Start a new incarnation if a peer has a newer record of this instance.

        That happens after a false suspicion, or after a restart with a clock behind
        that of the previous run. Without a new incarnation the peers would keep the
        wrong record for good.
        """
        if version_of(record) > version_of(self._record):
            incarnation = record.incarnation + 1
            self._announce(self._record._replace(incarnation=incarnation))

    # Health of peers.

    def _record_contact(self, peer, now):
        record = self._members.find(peer)
        data_centre = None if record is None else record.data_centre
        if self._view.record_contact(peer, data_centre, now):
            self._view.rebalance(self.members(), now)

    def _drop_link(self, peer, now):
        """Drop a silent link; suspect its instance if its data centre is reachable.

        If the whole data centre is silent, it may be gone or only cut off. Suspecting
        each of its instances would cost a burst of rumours when the partition starts
        and another when it ends.
        """
        silent_since = self._view.silent_since(peer)
        self._view.drop(peer, now)
        record = self._members.find(peer)
        if record is None:
            return
        others = [
            other.address
            for other in self.members()
            if other.data_centre == record.data_centre and other.address != peer
        ]
        if not self._view.has_contact_since(others, silent_since):
            self._view.record_failed_link(record.data_centre)
            return
        suspect = record._replace(state=SUSPECT)
        if self._keep(suspect, now):
            self._rumours.add(suspect)

    def _expire(self, now):
        for notice in self.notices():
            if notice.deadline + self._cfg.notice_age < now:
                self._table.drop(key_of(notice))
                self._rumours.drop(notice)
        for record in self._members.expire(now):
            self._rumours.drop(record)

    # Frames.

    def _ping(self, peer, now):
        self._view.record_probe(peer, now)
        return self._send(peer, "ping", self._table.digest())

    def _send_items(self, peer, items):
        size = self._cfg.items_per_frame
        items = sorted(items, key=priority_of)[: size * self._cfg.max_sync_frames]
        sends = []
        for start in range(0, len(items), size):
            if self._budget.is_above(self._cfg.sync_reserve):
                body = encode_items(items[start : start + size])
                sends.append(self._send(peer, "items", body))
        return sends

    def _send(self, peer, type, body):
        data = frames.encode(Frame(type, body))
        self._budget.spend(len(data) + HEADER_BYTES)
        return Send(peer, data)


def _check_bytes(body):
    if type(body) is not bytes:
        raise BadFrame("a digest must be bytes")
    return body
