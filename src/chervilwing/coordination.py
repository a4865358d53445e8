"""An instance's view of the platform's store, and its registration among the others."""

import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .duty_leases import DutyLease, Record
from .exceptions import BadConfiguration
from .followed_prefixes import INSTANCES_WAIT, REGISTRATIONS_WAIT, make_mirrors
from .instance_count import COUNT, InstanceCount
from .instance_records import (
    DUTIES,
    INSTANCES,
    SHARED_DOCUMENTS,
    Peer,
    decode_peer,
    encode_peer,
)
from .logs import log_event, log_failure
from .resumptions import MAX_ANNOUNCEMENT_WAIT
from .rollouts import DECISIONS, decode_decision
from .store_calls import Committed, HistoryGone, Page
from .store_epochs import get_epoch, get_number
from .store_leases import choose_terms, is_claimant
from .stored_crashes import CRASHES, decode_crash
from .stream_versions import VERSIONS, decode_origin

# Seconds for which an instance that is gone still counts as recently registered: the
# length of a usage window plus the time until that window is reported.
RECENT_SECONDS = 10.0
# Fraction of the bound on keys up to which knowledge of them is trusted. Its age counts
# from the sending of a watch, which already covers the second by which the store's
# watches may be late; the rest covers the drift of two clocks. With a smaller fraction,
# all callers with keys would be refused sooner in an outage of the store.
TRUSTED_FRACTION = 0.95
# Seconds up to which knowledge of registrations counts as fresh.
MAX_REGISTRATIONS_AGE = 2.0
# The first followed prefixes, this many, must be fresh: the configuration and the
# registrations. Knowledge of other instances may be older.
FRESH_PREFIX_COUNT = 2


class StoreLayout(NamedTuple):
    """Where the platform keeps the followed items, and how they are decoded.

    ``read_document``, ``read_registration`` and ``read_order`` take a key and bytes,
    and raise BadConfiguration. ``write_status`` takes the pool, target and state of a
    roll-out and returns the put that reports it to the operator.
    """

    documents: str
    registrations: str
    read_document: Callable
    read_registration: Callable
    read_order: Callable = lambda key, data: None
    write_status: Callable = lambda pool, target, state: None


class Coordinator(BaseComponent):
    """Follow the store; keep this instance's registration and its claim to duties."""

    channel = "coordination"

    def __init__(self, cfg, store, sources, gateway):
        super().__init__()
        self.cfg = cfg
        self._store = store
        self._sources = sources
        self._last_seen = {}
        self._gateway = gateway
        rng = random.Random()
        value = encode_peer(Peer(cfg.beacon_listen, cfg.data_centre, cfg.link_rate))
        record = Record(INSTANCES + cfg.name, value)
        self.duty_lease = DutyLease(DUTIES, record, cfg.name, cfg.lease, rng)
        self._documents, self._registrations, self._instances = make_mirrors(
            sources.documents, sources.registrations, rng
        )
        store.epochs.subscribe(self._enter_epoch)
        self._followed = (
            (self._documents, self._apply_document),
            (self._registrations, self._apply_registration),
            (self._instances, self._apply_instance),
        )
        self._instance_count = InstanceCount()
        self.peers = {}
        # Incremented with each change of the peers.
        self.peers_version = 0
        # Items that couldn't be decoded, and those whose handling failed.
        self.ignored_items = 0
        self.failed_items = 0
        # When the configuration and the upstreams were first known, and whether
        # resumable streams could begin since.
        self._known_since = None
        self._streams_may_begin = False

    def keys_are_fresh(self):
        """Return whether the knowledge of keys is fresh enough to accept them."""
        return self.compute_keys_age() < self.cfg.revoke_bound * TRUSTED_FRACTION

    def compute_keys_age(self):
        """Return the maximum age of the knowledge of keys, in seconds."""
        return read_boottime() - self._documents.as_of

    def registrations_fresh_since(self):
        """Return since when registrations have been fresh without a break.

        While the store is unreachable, no registration is dropped, and the time is
        infinite.
        """
        age = read_boottime() - self._registrations.as_of
        return (
            self._registrations.regained_at
            if age <= MAX_REGISTRATIONS_AGE
            else float("inf")
        )

    def versions_are_fresh(self):
        """Return whether all versions at which streams may have begun are known."""
        age = read_boottime() - self._registrations.as_of
        return age <= MAX_REGISTRATIONS_AGE and self._instances.complete

    @property
    def ready(self):
        """Return whether requests can be served."""
        known = self._gateway.table is not None and self._registrations.complete
        return known and self.keys_are_fresh() and self._may_begin_streams()

    def _may_begin_streams(self):
        """Return whether resumable streams can begin; once true, it stays so.

        After the first start of all instances, the versions of the upstreams aren't
        stored yet, and each resumable stream would be refused. A store that takes no
        writes must not keep the instance out of service.
        """
        if self._streams_may_begin:
            return True
        now = read_boottime()
        if self._known_since is None:
            self._known_since = now
        waited = now - self._known_since >= MAX_ANNOUNCEMENT_WAIT
        self._streams_may_begin = waited or (
            self._instances.complete and self._gateway.resumptions.streams.may_begin()
        )
        return self._streams_may_begin

    @property
    def passive(self):
        """Return whether another instance watches the store for this one."""
        return self._documents.passive

    @passive.setter
    def passive(self, passive):
        for mirror, _ in self._followed:
            mirror.passive = passive

    def set_list_delay(self, seconds):
        """Set for how long a leader's news are waited for after the store's return."""
        for mirror, _ in self._followed:
            mirror.list_delay = seconds

    @property
    def unreachable(self):
        """Return whether the last own call on the store had no reply."""
        return any(mirror.unreachable for mirror, _ in self._followed)

    def list_links(self):
        """Return the Mbit/s of all instances' links, by name."""
        links = {name: peer.link for name, peer in self.peers.items()}
        return {**links, self.cfg.name: self.cfg.link_rate}

    def list_revisions(self):
        """Return the known revision of each prefix, None where it isn't listed yet."""
        return [mirror.revision for mirror, _ in self._followed]

    def list_news(self, revisions, now):
        """Return the News of each prefix after another instance's revisions."""
        mirrors = (mirror for mirror, _ in self._followed)
        return [
            mirror.make_news(revision, now)
            for mirror, revision in zip(mirrors, revisions, strict=True)
        ]

    def compute_age(self, news):
        """Return the greatest age in seconds among the prefixes that must be fresh."""
        fresh = news[:FRESH_PREFIX_COUNT]
        return max(float("inf") if item is None else item.age for item in fresh)

    def apply_news(self, news, queried_at, now):
        """Apply another instance's news of each prefix."""
        for (mirror, apply), item in zip(self._followed, news, strict=True):
            if item is not None:
                self._store.epochs.note(get_epoch(item.revision))
                self._apply_changes(
                    mirror, apply, mirror.apply_news(item, queried_at, now), now
                )

    def list_recent_instances(self):
        """Return the names of all instances that were registered recently."""
        now = read_boottime()
        for name in (self.cfg.name, *self.peers):
            self._last_seen[name] = now
        self._last_seen = {
            name: at
            for name, at in self._last_seen.items()
            if now - at < RECENT_SECONDS
        }
        return set(self._last_seen)

    @property
    def instance_items(self):
        """Return the Mirror of what the instances write."""
        return self._instances

    @property
    def documents(self):
        """Return the Mirror of the operators' documents."""
        return self._documents

    @property
    def lease(self):
        """Return the lease of this instance's items, or None."""
        return self.duty_lease.confirmed_lease

    def _enter_epoch(self, epoch):
        log_event("store epoch changed", epoch=epoch)
        self.duty_lease.enter_epoch(epoch, read_boottime())

    @handler("tick", channel="*")
    def _on_tick(self):
        self.make_due_calls()

    def make_due_calls(self):
        """Make the calls that are due."""
        now = read_boottime()
        self._set_watch_wait()
        lost = [mirror for mirror, _ in self._followed if mirror.lost_since]
        for mirror, apply in self._followed:
            self._apply_changes(mirror, apply, mirror.expire_held(now), now)
            # While the store is lost, only one prefix is tried: one call suffices to
            # detect its return, and every call is charged for.
            call = None if mirror in lost[1:] else mirror.next_call(now)
            if call is not None:
                self._store.submit(
                    call, lambda r, m=mirror, a=apply: self._receive_reply(m, a, r)
                )
        call = self.duty_lease.next_call(now)
        if call is not None:
            self._store.submit(call, self._receive_duty_reply)
        if self.duty_lease.fence(now) is not None:
            self._store_count(now)
        self._gateway.expire_upstreams()

    def _apply_changes(self, mirror, apply, changed, now):
        for item in changed:
            self._apply_item(apply, item, now)
        if mirror is self._instances and mirror.complete:
            self._observe_duty(mirror, now)
            if changed:
                # Recently lost instances count too.
                recent = len(self.list_recent_instances())
                count = max(self._instance_count.count, recent)
                self._gateway.allowances.set_instance_count(count, now)
                self._choose_lease_terms(count)

    def _apply_item(self, apply, item, now):
        try:
            apply(item, now)
        except Exception as exc:
            # The mirror returns each change once. Raised further, the exception would
            # lose all changes that follow.
            self.failed_items += 1
            log_failure("item not applied", exc, key=item.key)

    def _choose_lease_terms(self, count):
        """Choose the duration of this instance's lease among ``count`` instances."""
        centre = self.cfg.data_centre
        near = [name for name, peer in self.peers.items() if peer.data_centre == centre]
        name = self.cfg.name
        claimant = is_claimant(name, [name, *near], self.list_links())
        terms = choose_terms(self.cfg.lease, count, claimant, self.cfg.lease_renewals)
        self.duty_lease.wanted_terms = terms
        # Hundreds of instances list a document that is too large for a datagram.
        self._documents.lists_may_be_stale = terms.ttl > self.cfg.lease

    def _store_count(self, now):
        call = self._instance_count.next_call(len(self.list_recent_instances()), now)
        if call is not None:
            self._store.submit(call, self._receive_count_reply)

    def _receive_count_reply(self, reply):
        # The watch returns the stored count; a failed write becomes due again.
        if not isinstance(reply, Committed):
            log_event("instance count not written", reply=type(reply).__name__)

    def _receive_duty_reply(self, reply):
        now = read_boottime()
        fence_before, terms_before = self.duty_lease.fence(now), self.duty_lease.terms
        self.duty_lease.receive(reply, now)
        self._log_duty(fence_before, now)
        terms = self.duty_lease.terms
        if terms != terms_before:
            log_event("lease replaced", seconds=terms.ttl, was=terms_before.ttl)

    def _log_duty(self, fence_before, now):
        fence = self.duty_lease.fence(now)
        if fence != fence_before:
            log_event("duty claim changed", fence=fence or 0, lease=self.lease or 0)

    def _receive_reply(self, mirror, apply, reply):
        now = read_boottime()
        lost, revision = mirror.lost_since, mirror.revision
        changed = mirror.receive(reply, now)
        self._log_store_state(mirror, lost, reply)
        self._log_list(mirror, revision, reply, len(changed))
        self._apply_changes(mirror, apply, changed, now)
        self.make_due_calls()

    def _log_store_state(self, mirror, lost, reply):
        if lost is None and mirror.lost_since is not None:
            log_event("store lost", prefix=mirror.prefix, reason=reply.reason)
        elif lost is not None and mirror.lost_since is None:
            outage = round(read_boottime() - lost, 3)
            log_event("store regained", prefix=mirror.prefix, seconds=outage)

    def _log_list(self, mirror, revision, reply, changes):
        if isinstance(reply, HistoryGone):
            log_event(
                "store history gone",
                prefix=mirror.prefix,
                revision=get_number(revision),
            )
        elif isinstance(reply, Page) and mirror.revision is not None:
            log_event(
                "store listed",
                prefix=mirror.prefix,
                revision=get_number(mirror.revision),
                changes=changes,
                held=len(mirror.held_until),
            )

    def _observe_duty(self, mirror, now):
        if mirror.revision is None:
            return
        fence_before = self.duty_lease.fence(now)
        self.duty_lease.observe(mirror.items.get(DUTIES), mirror.revision)
        own_record = mirror.items.get(self.duty_lease.record.key)
        self.duty_lease.confirm_lease(own_record, mirror.revision)
        self._log_duty(fence_before, now)

    def _apply_document(self, item, now):
        if item.value is None:
            return
        order = self.read_item(self._sources.read_order, item)
        if order is not None:
            self._gateway.rollouts.put_order(order, item.revision)
            log_event(
                "rollout ordered", revision=get_number(item.revision), **order._asdict()
            )
            return
        document = self.read_item(self._sources.read_document, item)
        if document is not None and self._gateway.configure(document):
            log_event(
                "configuration in force",
                version=document.version,
                revision=get_number(item.revision),
            )

    def read_item(self, read, item):
        """Return ``read(key, value)`` of an item, or None if that is invalid."""
        try:
            return read(item.key, item.value)
        except BadConfiguration as exc:
            self.ignored_items += 1
            log_event("item ignored", key=item.key, detail=exc.detail)
            return None

    def _apply_registration(self, item, now):
        name = item.key.removeprefix(self._sources.registrations)
        if item.value is None:
            self._gateway.remove_upstream(name, self._registrations.regained_at)
            log_event(
                "upstream unregistered",
                upstream=name,
                revision=get_number(item.revision),
            )
            return
        found = self.read_item(self._sources.read_registration, item)
        if found is None:
            # Another writer overwrote the item; it is no longer a valid registration.
            self._gateway.remove_upstream_now(name)
            return
        self._gateway.put_upstream(found)
        log_event(
            "upstream registered",
            upstream=name,
            pool=found.pool,
            leaving=found.leaving,
            reclaimable=found.reclaimable,
            version=found.version,
            revision=get_number(item.revision),
        )

    def _apply_instance(self, item, now):
        if item.key == COUNT:
            self._instance_count.observe(item)
            return
        if item.key.startswith(SHARED_DOCUMENTS):
            key = item.key.removeprefix(SHARED_DOCUMENTS)
            self._apply_document(item._replace(key=key), now)
            return
        if item.key.startswith(DECISIONS):
            self._apply_decision(item)
            return
        if item.key.startswith(CRASHES):
            self._apply_crash(item, now)
            return
        if item.key.startswith(VERSIONS):
            origin = None if item.value is None else self.read_item(decode_origin, item)
            self._gateway.resumptions.streams.put_stored(item.key, origin)
            return
        self._apply_peer(item)
        self.list_recent_instances()
        self._gateway.retries.set_instances(1 + len(self.peers))

    def _apply_decision(self, item):
        decision = None if item.value is None else self.read_item(decode_decision, item)
        pool = item.key.removeprefix(DECISIONS)
        self._gateway.rollouts.put_decision(pool, decision, item.revision)
        if decision is not None:
            log_event("rollout decided", pool=pool, **msgspec.structs.asdict(decision))

    def _apply_crash(self, item, now):
        crash = None if item.value is None else self.read_item(decode_crash, item)
        self._gateway.crashes.apply_stored(item.key, crash, item.revision, now)

    def _set_watch_wait(self):
        """Shorten the watches while a decision on a roll-out is pending."""
        rollouts = self._gateway.rollouts
        rollouts.updated_at = self._instances.as_of
        wait = REGISTRATIONS_WAIT if rollouts.has_undecided else INSTANCES_WAIT
        self._instances.wait = wait

    def _apply_peer(self, item):
        name = item.key.removeprefix(INSTANCES)
        if not item.key.startswith(INSTANCES) or name == self.cfg.name:
            return
        self.peers_version += 1
        peer = None if item.value is None else self.read_item(decode_peer, item)
        if peer is None:
            self.peers.pop(name, None)
        else:
            self.peers[name] = peer
