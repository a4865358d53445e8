"""Membership and the spread of notices and revisions by gossip over partial views."""

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
    from_wire,
    key_of,
    order_of,
    read_body,
    to_body,
    to_wire,
    urgency_of,
)
from .members import Members
from .models import Address
from .transfer import Transfer
from .views import View

# An IP header and a TCP header with timestamps go with each small frame; the budget
# counts them, since the operators pay for them.
HEADER_BYTES = 52

# Seconds by which a clock may be corrected backwards without being taken as set back.
CLOCK_STEP = 1.0


class Send(NamedTuple):
    """Ask the transport to write an encoded frame to the instance at an address."""

    peer: Address
    data: bytes


class Heard(NamedTuple):
    """Tell what is new here; a revision comes with its whole ``value``."""

    item: Record | Notice | Revision
    value: bytes = b""


class Description(NamedTuple):
    """What the status page shows of the membership."""

    members: int
    suspects: int
    links: tuple[Address, ...]
    cut_off: tuple[str, ...]
    revision: int
    rumours: int
    digest: str


class Chore(NamedTuple):
    """Something that ``tick`` runs again after each period, in seconds."""

    run: Callable
    period: Callable


class Membership:
    """Hold what this instance knows of its peers, notices and the newest revision.

    ``now`` is in Unix seconds, since the deadlines of notices are. ``receive`` raises
    BadFrame on a wrong body and nothing else.
    """

    def __init__(self, cfg, record, rng):
        self._cfg = cfg
        self._record = record
        self._rng = rng
        self._seeds = []
        self._table = Table()
        self._members = Members(cfg, self._table)
        self._rumours = Rumours(cfg.copies)
        self._view = View(cfg, record, rng)
        self._budget = Budget(cfg.rate, cfg.burst)
        self._transfer = Transfer(cfg)
        self._chores = (
            Chore(self._maintain, lambda: cfg.probe_interval),
            Chore(self._probe, lambda: cfg.probe_interval),
            Chore(self._rotate, lambda: cfg.rotation),
            Chore(self._try_unlinked, self._trial_interval),
            Chore(self._fetch_again, lambda: cfg.fetch_timeout),
            Chore(self._push_rumours, lambda: cfg.interval),
        )
        self._due = [0.0] * len(self._chores)
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
        """Name the addresses to try while no other instance is heard."""
        self._seeds = [seed for seed in seeds if seed != self._record.address]

    def greet(self):
        """Return the bytes that start every stream: who opened it."""
        return frames.encode(Frame("hello", to_wire(self._record)))

    def tick(self, now):
        """Do what is due and return the bytes to send; call it each ``interval``."""
        if now < self._now - CLOCK_STEP:
            self._start_over()
        self._now = now
        self._budget.refill(now)
        self._transfer.refill(now)
        sends = []
        for number, chore in enumerate(self._chores):
            if now >= self._due[number]:
                self._due[number] = now + chore.period()
                sends += chore.run(now)
        return tuple(sends)

    def receive(self, peer, frame, now):
        """Take a frame from the instance at ``peer``; raise BadFrame on a wrong one."""
        handler = self._handlers.get(frame.type)
        if handler is None:
            raise BadFrame(f"frame type {frame.type!r} is unknown")
        outcome = handler(peer, frame.body, now)
        self._note_heard(peer, now)
        return tuple(outcome)

    def publish(self, notice, now):
        """Spread a notice that this instance learned from outside."""
        return tuple(self._take([notice], None, now, rumour=True))

    def publish_revision(self, number, value, now):
        """Spread a configuration read from the platform; an older one is ignored."""
        revision = self._transfer.keep(number, value)
        if self._keep(revision):
            self._rumours.add(revision)

    def leave(self):
        """Tell the others that this instance takes no more work."""
        self._announce(self._record._replace(state=LEAVING))

    def lose(self, peer, now):
        """Take a refused or broken stream as a failed link."""
        if peer in self._view.links():
            self._give_up(peer, now)

    def peers(self):
        """Return the addresses to keep streams to."""
        return self._view.links()

    def members(self):
        """Return the records of all known instances, this one's included."""
        return self._members.list_records()

    def notices(self):
        """Return the notices that are still kept."""
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

    def _start_over(self):
        """Choose links anew after the clock was set back.

        All times kept would lie ahead: no chore would be due and no silence counted
        until the clock catches up, so this instance would miss notices for as long.
        """
        self._due = [0.0] * len(self._chores)
        self._view = View(self._cfg, self._record, self._rng)

    # Chores of tick.

    def _maintain(self, now):
        self._view.refill(self.members(), now)
        self._view.forget_old(now)
        self._expire(now)
        return []

    def _probe(self, now):
        for peer in self._view.collect_silent(now):
            self._give_up(peer, now)
        targets = self._view.choose_probes()
        if self._seeds and not self._view.heard_within(self._cfg.inbound_age, now):
            targets.append(self._rng.choice(self._seeds))
        return [self._ping(peer, now) for peer in dict.fromkeys(targets)]

    def _rotate(self, now):
        self._view.rotate()
        return []

    def _try_unlinked(self, now):
        # Instances that joined by different seeds are separate groups, each of which
        # hears its own members and would never look for the other; a seed that is no
        # known member is therefore tried for as long as it is named.
        strange = [seed for seed in self._seeds if not self._members.knows(seed)]
        doubted = self._view.choose_trial(self.members())
        peer = self._rng.choice([doubted, *strange])
        return [] if peer is None else [self._ping(peer, now)]

    def _trial_interval(self):
        # All instances together make a fixed number of trials a second, so that a
        # healed cut is found equally soon in a small fleet and costs a large one no
        # more.
        return max(1.0, len(self._members) / self._cfg.trials_per_second)

    def _fetch_again(self, now):
        overdue = self._transfer.ask_again(now)
        if overdue is None:
            return []
        peer, body = overdue
        return [self._send(peer, "fetch", body)]

    def _push_rumours(self, now):
        """Push to a few neighbours; an item goes out ``copies`` times at most.

        The bound keeps the bytes per node fixed as the fleet grows; instances that
        all pushes miss are found by the digests in pings.
        """
        if not len(self._rumours):
            return []
        neighbours = self._view.neighbours(now)
        self._rumours.prune(neighbours)
        self._rng.shuffle(neighbours)
        sends = []
        for peer in neighbours[: self._cfg.fanout]:
            items = self._rumours.pick(peer, self._cfg.frame_items)
            if items and self._budget.has(0):
                self._rumours.note_pushed(items, peer)
                sends.append(self._send(peer, "push", to_body(items)))
        return sends

    # Handlers of frames.

    def _on_hello(self, peer, body, now):
        item = from_wire(body)
        if type(item) is not Record:
            raise BadFrame("a stream starts with the record of its opener")
        return self._take([item], peer, now, rumour=True)

    def _on_ping(self, peer, body, now):
        if _check_bytes(body) == self._table.digest():
            return [self._send(peer, "ack", None)]
        if self._budget.has(self._cfg.sync_reserve):
            return [self._send(peer, "buckets", self._table.bucket_digests())]
        # Hundreds that start at once all ask the few seeds, whose budget is soon used
        # up; each is then told of a few others to ask, else it would know the seed
        # alone for minutes.
        count = min(self._cfg.referrals, len(self._members))
        records = self._rng.sample(self.members(), count)
        return [self._send(peer, "items", to_body(records))]

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
        return self._take(read_body(body), peer, now, rumour=True)

    def _on_items(self, peer, body, now):
        return self._take(read_body(body), peer, now, rumour=False)

    def _on_fetch(self, peer, body, now):
        reply = self._transfer.serve(*check_pair(body, int))
        if reply is None:
            return []
        # Values have a budget of their own: one of them is more than the control
        # traffic of a minute, and would hold up every notice behind it.
        return [Send(peer, frames.encode(Frame("value", reply)))]

    def _on_value(self, peer, body, now):
        revision, ask = self._transfer.receive(body, now)
        if ask is not None:
            return [self._send(peer, "fetch", ask)]
        if revision is None:
            return []
        # The number goes on only now that the value is here: whoever hears it from
        # this instance can fetch it from this instance.
        self._keep(revision)
        self._rumours.add(revision, peer)
        return [Heard(revision, self._transfer.value())]

    # Items.

    def _take(self, items, peer, now, rumour):
        outcome = []
        for item in items:
            outcome += self._takers[type(item)](self, item, peer, now, rumour)
        return outcome

    def _take_record(self, record, peer, now, rumour):
        if record.name == self._record.name:
            self._refute(record)
            return []
        if self._members.is_forgotten(record):
            return []
        return self._take_newer(record, peer, now, rumour)

    def _take_notice(self, notice, peer, now, rumour):
        # A peer that was cut off still offers notices that all others let go; taking
        # them back would shut out an upstream that has since been replaced.
        if notice.deadline + self._cfg.notice_age < now:
            return []
        return self._take_newer(notice, peer, now, rumour=True)

    def _take_revision(self, revision, peer, now, rumour):
        self._rumours.note_known(revision, peer)
        ask = self._transfer.offer(revision, peer, now)
        return [] if ask is None else [self._send(peer, "fetch", ask)]

    _takers = {
        Record: _take_record,
        Notice: _take_notice,
        Revision: _take_revision,
    }

    def _take_newer(self, item, peer, now, rumour):
        if not self._keep(item, now):
            self._rumours.note_known(item, peer)
            return []
        if rumour:
            self._rumours.add(item, peer)
        return [Heard(item)]

    def _keep(self, item, now=0.0):
        if type(item) is Record:
            return self._members.keep(item, now)
        return self._table.merge(item)

    def _announce(self, record):
        self._record = record
        self._keep(record)
        self._rumours.add(record)

    def _refute(self, record):
        """Start a new incarnation when others hold something newer of this instance.

        A false suspicion, or a restart whose clock stands earlier than that of the
        last run: without this the others would keep the wrong record for good.
        """
        if order_of(record) > order_of(self._record):
            incarnation = record.incarnation + 1
            self._announce(self._record._replace(incarnation=incarnation))

    # Health of peers.

    def _note_heard(self, peer, now):
        record = self._members.find(peer)
        data_centre = None if record is None else record.data_centre
        if self._view.note_heard(peer, data_centre, now):
            self._view.rebalance(self.members(), now)

    def _give_up(self, peer, now):
        """Drop a silent link; suspect its instance if its data centre is heard.

        When nothing of the data centre is heard, cut off and gone look the same, and
        suspecting each of its instances would cost a burst of rumours at the cut and
        another at the healing.
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
        if not self._view.heard_since(others, silent_since):
            self._view.note_centre_failed(record.data_centre)
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
        self._view.note_asked(peer, now)
        return self._send(peer, "ping", self._table.digest())

    def _send_items(self, peer, items):
        size = self._cfg.frame_items
        items = sorted(items, key=urgency_of)[: size * self._cfg.sync_frames]
        sends = []
        for start in range(0, len(items), size):
            if self._budget.has(self._cfg.sync_reserve):
                body = to_body(items[start : start + size])
                sends.append(self._send(peer, "items", body))
        return sends

    def _send(self, peer, type, body):
        data = frames.encode(Frame(type, body))
        self._budget.spend(len(data) + HEADER_BYTES)
        return Send(peer, data)


def _check_bytes(body):
    if type(body) is not bytes:
        raise BadFrame("a digest is bytes")
    return body
