"""Split a model's requests between versions: exact per window, sticky per caller."""

from .hashing import hash_text

# Of every WINDOW_REQUESTS requests of a model, each version gets exactly its share.
WINDOW_REQUESTS = 1000
# Requests that a version may be ahead of its share within the window.
MAX_LEAD = 16
HASH_RANGE = float(2**64)


def split_window(shares):
    """Return the number of requests of a window by version.

    The versions with the largest remainders get the requests that rounding left over,
    so that the sum is WINDOW_REQUESTS.
    """
    total = sum(share.part for share in shares) or 1.0
    exact = [(share.version, WINDOW_REQUESTS * share.part / total) for share in shares]
    quotas = {version: int(count) for version, count in exact}
    unassigned = WINDOW_REQUESTS - sum(quotas.values())
    by_remainder = sorted(exact, key=lambda item: int(item[1]) - item[1])
    for version, _ in by_remainder[:unassigned]:
        quotas[version] += 1
    return quotas


class TrafficSplitter:
    """Choose a version for each request of one model.

    A few large callers may each make a third of the traffic. By a hash of the caller
    alone, a 5% share could become 0% or 33%; by counts alone, a caller would see the
    version change from request to request. The hash therefore decides within the bounds
    of the counts.
    """

    def __init__(self, shares):
        self.shares = tuple(shares)
        self._quotas = split_window(self.shares)
        self._assigned = dict.fromkeys(self._quotas, 0)
        self._assigned_total = 0

    def choose(self, caller):
        """Return the version for the next request of this caller."""
        if self._assigned_total == WINDOW_REQUESTS:
            self._assigned = dict.fromkeys(self._quotas, 0)
            self._assigned_total = 0
        version = self._find_by_hash(caller)
        if self._measure_lead(version) >= MAX_LEAD or self._get_remaining(version) <= 0:
            version = self._find_most_behind()
        self._assigned[version] += 1
        self._assigned_total += 1
        return version

    def _find_by_hash(self, caller):
        position = hash_text(caller) / HASH_RANGE * WINDOW_REQUESTS
        for version, quota in self._quotas.items():
            if position < quota:
                return version
            position -= quota
        return self._find_most_behind()

    def _get_remaining(self, version):
        return self._quotas[version] - self._assigned[version]

    def _measure_lead(self, version):
        expected = self._quotas[version] * (self._assigned_total + 1) / WINDOW_REQUESTS
        return self._assigned[version] - expected

    def _find_most_behind(self):
        candidates = [
            version for version in self._quotas if self._get_remaining(version) > 0
        ]
        return min(candidates, key=self._measure_lead)
