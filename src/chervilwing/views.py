"""The partial view: which few peers an instance keeps streams to, and their health."""

from .gossip import SUSPECT

CUT_OFF_FAILURES = 2


class View:
    """Hold the links that this instance chose, and when each peer was last heard."""

    def __init__(self, cfg, record, rng):
        self._cfg = cfg
        self._record = record
        self._rng = rng
        self._links = []
        self._heard = {}
        self._asked = {}
        self._missed = {}
        self._silent = {}
        self._shunned = {}
        self._failed_centres = {}
        self._next_link = 0

    def links(self):
        """Return the addresses of the chosen peers."""
        return tuple(self._links)

    def neighbours(self, now):
        """Return the chosen peers and those that were heard a short while ago."""
        recent = now - self._cfg.inbound_age
        inbound = [peer for peer, at in self._heard.items() if at > recent]
        return list(dict.fromkeys(self._links + inbound))

    def heard_within(self, age, now):
        """Tell whether any peer was heard in the last ``age`` seconds."""
        return any(at > now - age for at in self._heard.values())

    def note_heard(self, peer, data_centre, now):
        """Take a message as proof that a peer is up; return whether a cut healed."""
        self._heard[peer] = now
        for state in (self._asked, self._missed, self._silent, self._shunned):
            state.pop(peer, None)
        healed = self.is_cut_off(data_centre)
        self._failed_centres.pop(data_centre, None)
        return healed

    def note_asked(self, peer, now):
        """Remember a probe, from which silence is counted."""
        self._asked.setdefault(peer, now)

    def collect_silent(self, now):
        """Return the links that just used up their misses; forget failed trials."""
        lost = []
        for peer, at in list(self._asked.items()):
            if now - at < self._cfg.probe_timeout:
                continue
            del self._asked[peer]
            self._missed[peer] = self._missed.get(peer, 0) + 1
            self._silent.setdefault(peer, at)
            if peer not in self._links:
                self.drop(peer, now)
            elif self._missed[peer] >= self._cfg.misses:
                lost.append(peer)
        return lost

    def drop(self, peer, now):
        """Give a link up and leave its peer alone for a while."""
        if peer in self._links:
            self._links.remove(peer)
        for state in (self._heard, self._asked, self._missed, self._silent):
            state.pop(peer, None)
        self._shunned[peer] = now + self._cfg.shun

    def choose_probes(self):
        """Return the next link in turn and all that missed their last probe."""
        if not self._links:
            return []
        self._next_link = (self._next_link + 1) % len(self._links)
        doubtful = [peer for peer in self._links if self._missed.get(peer)]
        return list(dict.fromkeys([self._links[self._next_link], *doubtful]))

    def note_centre_failed(self, data_centre):
        """Count a lost link to a data centre of which nothing else was heard."""
        failed = self._failed_centres.get(data_centre, 0)
        self._failed_centres[data_centre] = failed + 1

    def is_cut_off(self, data_centre):
        """Tell whether links to a data centre failed one after the other.

        One failed link may be one dead instance; the second shows that the data
        centre as a whole can't be reached, whether cut off or gone.
        """
        return self._failed_centres.get(data_centre, 0) >= CUT_OFF_FAILURES

    def silent_since(self, peer):
        """Return when a peer left its first probe unanswered, or was last heard."""
        return self._silent.get(peer, self._heard.get(peer, 0.0))

    def heard_since(self, peers, since):
        """Tell whether any of these peers was heard after a time."""
        return any(self._heard.get(peer, 0.0) > since for peer in peers)

    def rebalance(self, records, now):
        """Choose all links anew, as after a cut, when near ones fill every place."""
        self._links.clear()
        return self.refill(records, now)

    def rotate(self):
        """Drop one link at random, so that every instance is probed now and then."""
        if len(self._links) >= self._cfg.links:
            self._links.remove(self._rng.choice(self._links))

    def refill(self, records, now):
        """Choose links up to the quota of each distance; return the new ones.

        Mostly within the data centre, where bytes are cheap, but always some to the
        other data centres of the region and to the other region: without those a
        notice would stay where it was heard.
        """
        if len(self._links) >= self._cfg.links:
            return []
        by_address = {record.address: record for record in records}
        counts = [0] * len(self._cfg.quotas)
        for peer in self._links:
            if peer in by_address:
                counts[self._distance(by_address[peer])] += 1
        free = [record for record in records if self._may_link(record, now)]
        self._rng.shuffle(free)
        added = []
        for quotas in (self._cfg.quotas, (self._cfg.links,) * len(counts)):
            for record in free:
                distance = self._distance(record)
                full = len(self._links) >= self._cfg.links
                if full or record.address in self._links:
                    continue
                if counts[distance] < quotas[distance]:
                    counts[distance] += 1
                    self._links.append(record.address)
                    added.append(record.address)
        return added

    def choose_trial(self, records):
        """Return the address of an instance that isn't linked, doubted ones first.

        Without trials of what looks dead, a healed cut would never be noticed: both
        sides have given up their links by then.
        """
        others = [
            record
            for record in records
            if record.address not in self._links
            and record.address != self._record.address
        ]
        if not others:
            return None
        doubted = [
            record
            for record in others
            if record.state == SUSPECT or self.is_cut_off(record.data_centre)
        ]
        return self._rng.choice(doubted or others).address

    def forget_old(self, now):
        """Drop what is known of peers that were silent for long."""
        oldest = now - self._cfg.inbound_age
        for peer in [peer for peer, at in self._heard.items() if at < oldest]:
            if peer not in self._links:
                del self._heard[peer]
        for peer in [peer for peer, until in self._shunned.items() if until < now]:
            del self._shunned[peer]

    def _distance(self, record):
        if record.data_centre == self._record.data_centre:
            return 0
        return 1 if record.region == self._record.region else 2

    def _may_link(self, record, now):
        if record.address == self._record.address or record.state == SUSPECT:
            return False
        if self._shunned.get(record.address, 0) > now:
            return False
        return not self.is_cut_off(record.data_centre)
