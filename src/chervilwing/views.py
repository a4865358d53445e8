"""The partial view: the few peers an instance keeps streams to, and their health."""

from .gossip import SUSPECT

# Failed links after which a data centre counts as cut off.
CUT_OFF_FAILURES = 2


class View:
    """Hold the links of this instance and the time of each peer's last frame.

    All times are in Unix seconds.
    """

    def __init__(self, cfg, record, rng):
        self._cfg = cfg
        self._record = record
        self._rng = rng
        self._links = []
        self._last_contact = {}
        self._probed_at = {}
        self._missed_probes = {}
        self._first_missed_at = {}
        self._avoided_until = {}
        self._failed_links = {}
        self._next_link = 0

    def links(self):
        """Return the addresses of the linked peers."""
        return tuple(self._links)

    def neighbours(self, now):
        """Return the linked peers and those that sent a frame recently."""
        recent = now - self._cfg.contact_age
        inbound = [peer for peer, at in self._last_contact.items() if at > recent]
        return list(dict.fromkeys(self._links + inbound))

    def has_contact_within(self, age, now):
        """Return whether any peer sent a frame in the last ``age`` seconds."""
        return any(at > now - age for at in self._last_contact.values())

    def record_contact(self, peer, data_centre, now):
        """Record a frame from a peer; return whether its data centre was cut off."""
        self._last_contact[peer] = now
        for state in (
            self._probed_at,
            self._missed_probes,
            self._first_missed_at,
            self._avoided_until,
        ):
            state.pop(peer, None)
        was_cut_off = self.is_cut_off(data_centre)
        self._failed_links.pop(data_centre, None)
        return was_cut_off

    def record_probe(self, peer, now):
        """Record a probe of a peer, unless one is still unanswered."""
        self._probed_at.setdefault(peer, now)

    def collect_silent(self, now):
        """Return the links that missed ``max_missed_probes`` probes.

        An unlinked peer is dropped after one missed probe.
        """
        silent = []
        for peer, at in list(self._probed_at.items()):
            if now - at < self._cfg.probe_timeout:
                continue
            del self._probed_at[peer]
            self._missed_probes[peer] = self._missed_probes.get(peer, 0) + 1
            self._first_missed_at.setdefault(peer, at)
            if peer not in self._links:
                self.drop(peer, now)
            elif self._missed_probes[peer] >= self._cfg.max_missed_probes:
                silent.append(peer)
        return silent

    def drop(self, peer, now):
        """Drop a link and don't link its peer again for ``relink_delay`` seconds."""
        if peer in self._links:
            self._links.remove(peer)
        for state in (
            self._last_contact,
            self._probed_at,
            self._missed_probes,
            self._first_missed_at,
        ):
            state.pop(peer, None)
        self._avoided_until[peer] = now + self._cfg.relink_delay

    def choose_probes(self):
        """Return the next link in turn and all links that missed a probe."""
        if not self._links:
            return []
        self._next_link = (self._next_link + 1) % len(self._links)
        missed = [peer for peer in self._links if self._missed_probes.get(peer)]
        return list(dict.fromkeys([self._links[self._next_link], *missed]))

    def record_failed_link(self, data_centre):
        """Count a failed link to a data centre with no other reachable peer."""
        failed = self._failed_links.get(data_centre, 0)
        self._failed_links[data_centre] = failed + 1

    def is_cut_off(self, data_centre):
        """Return whether ``CUT_OFF_FAILURES`` links to a data centre failed in a row.

        A single failed link may be a single dead instance; the second one shows that
        the whole data centre can't be reached.
        """
        return self._failed_links.get(data_centre, 0) >= CUT_OFF_FAILURES

    def silent_since(self, peer):
        """Return the time of a peer's first missed probe, or else of its last frame."""
        return self._first_missed_at.get(peer, self._last_contact.get(peer, 0.0))

    def has_contact_since(self, peers, since):
        """Return whether any of these peers sent a frame after ``since``."""
        return any(self._last_contact.get(peer, 0.0) > since for peer in peers)

    def rebalance(self, records, now):
        """Choose all links again, after a partition.

        During a partition, links to reachable data centres replace those to the others.
        """
        self._links.clear()
        return self.refill(records, now)

    def rotate(self):
        """Drop a random link, so that over time every instance is linked and probed."""
        if len(self._links) >= self._cfg.links:
            self._links.remove(self._rng.choice(self._links))

    def refill(self, records, now):
        """Choose links up to the quota of each distance; return the new ones.

        Most links stay within the data centre, where traffic is cheap. Some always lead
        to other data centres of the region and to other regions, since otherwise a
        notice would not leave the data centre that received it.
        """
        if len(self._links) >= self._cfg.links:
            return []
        by_address = {record.address: record for record in records}
        counts = [0] * len(self._cfg.quotas)
        for peer in self._links:
            if peer in by_address:
                counts[self._distance(by_address[peer])] += 1
        linkable = [record for record in records if self._is_linkable(record, now)]
        self._rng.shuffle(linkable)
        added = []
        for quotas in (self._cfg.quotas, (self._cfg.links,) * len(counts)):
            for record in linkable:
                distance = self._distance(record)
                full = len(self._links) >= self._cfg.links
                if full or record.address in self._links:
                    continue
                if counts[distance] < quotas[distance]:
                    counts[distance] += 1
                    self._links.append(record.address)
                    added.append(record.address)
        return added

    def choose_unlinked(self, records):
        """Return the address of an instance that isn't linked, suspected ones first.

        Return None if all are linked. Without these probes the end of a partition would
        never be noticed, since both sides have dropped their links by then.
        """
        others = [
            record
            for record in records
            if record.address not in self._links
            and record.address != self._record.address
        ]
        if not others:
            return None
        suspected = [
            record
            for record in others
            if record.state == SUSPECT or self.is_cut_off(record.data_centre)
        ]
        return self._rng.choice(suspected or others).address

    def drop_old_entries(self, now):
        """Drop expired relink delays and the contact times of silent unlinked peers."""
        oldest = now - self._cfg.contact_age
        for peer in [peer for peer, at in self._last_contact.items() if at < oldest]:
            if peer not in self._links:
                del self._last_contact[peer]
        for peer in [
            peer for peer, until in self._avoided_until.items() if until < now
        ]:
            del self._avoided_until[peer]

    def _distance(self, record):
        if record.data_centre == self._record.data_centre:
            return 0
        return 1 if record.region == self._record.region else 2

    def _is_linkable(self, record, now):
        if record.address == self._record.address or record.state == SUSPECT:
            return False
        if self._avoided_until.get(record.address, 0) > now:
            return False
        return not self.is_cut_off(record.data_centre)
