"""Choice of the instances through which upstreams are reached."""

from typing import NamedTuple

from .hashing import hash_text
from .tunnels import TunnelPeer

# Instances that are asked, half of them in this data centre, and seconds between two
# queries: in calm, while tunnels are needed, and while no instance offers one. In the
# last case avoided instances are asked as well.
CALM, NEEDED, MISSING = "calm", "needed", "missing"
QUERIES = {CALM: (2, 1.0), NEEDED: (4, 0.25), MISSING: (8, 0.1)}
# The state by whether tunnels are needed and whether no instance offers one.
STATES = {
    (False, False): CALM,
    (False, True): NEEDED,
    (True, False): NEEDED,
    (True, True): MISSING,
}
# Seconds for which a reply counts; an instance that is asked and silent counts no more.
REPLY_LIFETIME = 3.0
# Seconds without a reply after which an asked instance counts as silent: three queries
# in a row are hardly ever lost by chance.
SILENT_AFTER = 0.8
# Seconds for which an instance that is silent, or doesn't help, isn't asked again.
AVOID_TIME = 2.0
# Requests in flight that an instance in another data centre must be ahead by: traffic
# between data centres is billed.
REMOTE_COST = 8


class PeerReply(NamedTuple):
    """What an instance replied last; ``load`` is its requests in flight.

    ``rank`` decides between equal loads, differently at each asking instance.
    """

    peer: TunnelPeer
    load: int
    at: float
    rank: int


class TunnelPeers:
    """State of the queries for instances that open tunnels; times are in seconds.

    ``set_peers`` gives the names of all other instances, and which of them are in this
    instance's data centre.
    """

    def __init__(self, name):
        self._name = name
        self._near, self._far = [], []
        self._replies = {}
        self._asked = {}
        self._avoided_until = {}
        self._next_query = float("-inf")
        # Tunnels in use by the name of the instance that they lead through.
        self.in_use = {}

    def set_peers(self, near, far):
        """Set the names of the instances in this data centre and in others."""
        self._near, self._far = self._order(near), self._order(far)
        names = {*near, *far}
        self._replies = {n: r for n, r in self._replies.items() if n in names}
        self._asked = {n: at for n, at in self._asked.items() if n in names}
        avoided = self._avoided_until.items()
        self._avoided_until = {n: until for n, until in avoided if n in names}

    def _order(self, names):
        """Return the names in an order of this instance's own, to spread the load."""
        return sorted(names, key=self._hash)

    def _hash(self, name):
        return hash_text(f"{self._name} {name}")

    def list_queries(self, needed, now):
        """Return the instances to ask now, an empty list between two rounds."""
        missing = self.choose(now) is None
        state = STATES[needed, missing]
        count, interval = QUERIES[state]
        self._next_query = min(self._next_query, now + interval)
        if now < self._next_query:
            return []
        self._next_query = now + interval
        near = self._list_askable(self._near, missing, now)
        far = self._list_askable(self._far, missing, now)
        half = max(count // 2, count - len(far))
        names = (near[:half] + far)[:count]
        # Those in use may begin to stop, which must be known before the next request.
        known = {*self._near, *self._far}
        names += [n for n in self.in_use if n in known and n not in names]
        for name in names:
            self._asked.setdefault(name, now)
        return names

    def record_reply(self, peer, helps, load, now):
        """Record an instance's reply to a query."""
        self._asked.pop(peer.name, None)
        if not helps:
            self.avoid(peer.name, now)
            return
        self._avoided_until.pop(peer.name, None)
        rank = self._hash(peer.name)
        self._replies[peer.name] = PeerReply(peer, load, now, rank)

    def avoid(self, name, now):
        """Open no tunnels through an instance for some time."""
        self._replies.pop(name, None)
        self._avoided_until[name] = now + AVOID_TIME

    def choose(self, now, excluded=()):
        """Return the TunnelPeer with the least load, or None if no instance helps."""
        found = [
            (self._measure(name, reply), reply.rank, reply)
            for name, reply in self._replies.items()
            if now - reply.at <= REPLY_LIFETIME and name not in excluded
        ]
        return min(found)[2].peer if found else None

    def avoid_silent(self, now):
        """Avoid the asked instances that didn't reply in time, and return them."""
        silent = [n for n, at in self._asked.items() if now - at >= SILENT_AFTER]
        for name in silent:
            del self._asked[name]
            self.avoid(name, now)
        return silent

    def _measure(self, name, reply):
        load = reply.load + self.in_use.get(name, 0)
        return load + (0 if name in self._near else REMOTE_COST)

    def _list_askable(self, names, all_names, now):
        """Return the names that aren't avoided, then those avoided longest ago."""
        askable = [n for n in names if now >= self._avoided_until.get(n, 0.0)]
        if not all_names:
            return askable
        avoided = [n for n in names if now < self._avoided_until.get(n, 0.0)]
        return askable + sorted(avoided, key=self._avoided_until.get)
