"""Loads that the other instances have at the upstreams of a large pool.

A report changes only the entries that differ. The share that counts of what waits at
one upstream depends on the mean of all, and is computed where it is read.
"""

from ..upstream_states import NO_LOAD, UpstreamLoad

NO_LOADS = {}


class ReportedLoads:
    """The last reported load by upstream, and the sum of prompt tokens that wait.

    ``members`` are the pool's upstreams by name. Reports may name others, of other
    pools or not registered yet: their loads are kept, but don't count in the sum.
    """

    def __init__(self, members):
        self.loads = {}
        self._members = members
        self._prefill = 0

    def update(self, loads, complete):
        """Apply loads, of all upstreams if ``complete``; return the changed names."""
        known = self.loads
        changed = [name for name, load in loads.items() if known.get(name) != load]
        if complete:
            changed += [name for name in known if name not in loads]
        for name in changed:
            load = loads.get(name, NO_LOAD)
            if name in self._members:
                self._prefill += load.prefill - known.get(name, NO_LOAD).prefill
            if load == NO_LOAD:
                known.pop(name, None)
            else:
                known[name] = load
        return changed

    def add_member(self, name):
        """Count the load of an upstream that has joined the pool."""
        self._prefill += self.loads.get(name, NO_LOAD).prefill

    def remove_member(self, name):
        """Forget the load of an upstream that has left the pool."""
        self._prefill -= self.loads.pop(name, NO_LOAD).prefill

    def add_to(self, load, name, weight):
        """Return the sum of a load and that of the name.

        The tokens that wait at the name are moved towards the mean of all.
        """
        requests, prefill, tokens = self.loads.get(name, NO_LOAD)
        mean = self._prefill / (len(self._members) or 1)
        return UpstreamLoad(
            load.requests + requests,
            load.prefill + round(mean + weight * (prefill - mean)),
            load.tokens + tokens,
        )


class PeerLoads:
    """Loads of all other instances, and the part that this instance didn't place.

    ``prefill_weight`` is the weight of the prompt tokens that wait at one upstream; the
    rest of the weight goes to the mean of all upstreams.
    """

    def __init__(self, members, prefill_weight):
        self._weight = prefill_weight
        self._all = ReportedLoads(members)
        self._unplaced = ReportedLoads(members)
        self._until = float("-inf")

    def update(self, loads, until, unplaced=NO_LOADS, complete=True):
        """Apply reported loads, which count until ``until``; return changed names.

        Only if they are ``complete``, upstreams that they don't name have no load.
        """
        self._until = until
        changed = self._all.update(loads, complete)
        return changed + self._unplaced.update(unplaced, complete)

    def add_member(self, name):
        """Count the loads of an upstream that has joined the pool."""
        self._all.add_member(name)
        self._unplaced.add_member(name)

    def remove_member(self, name):
        """Forget the loads of an upstream that has left the pool."""
        self._all.remove_member(name)
        self._unplaced.remove_member(name)

    def add_to(self, load, name, placing, now):
        """Return the sum of a load and that of the other instances at an upstream.

        An instance that is ``placing`` for all adds only what it didn't place.
        """
        if now >= self._until:
            return load
        loads = self._unplaced if placing else self._all
        return loads.add_to(load, name, self._weight)
