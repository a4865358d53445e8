"""Traffic shares of model versions: exact over a window and sticky to a caller."""

from .hashing import hash_text

# Over every WINDOW requests of a model each version gets its part to the request.
WINDOW = 1000
# Within the window no version runs ahead of its part by more than this many.
LEAD = 16
SCALE = float(2**64)


def split_window(shares):
    """Return how many of a window's requests each version gets.

    Largest remainders get what rounding left over, so that the sum is WINDOW.
    """
    total = sum(share.part for share in shares) or 1.0
    exact = [(share.version, WINDOW * share.part / total) for share in shares]
    quotas = {version: int(count) for version, count in exact}
    rest = WINDOW - sum(quotas.values())
    by_remainder = sorted(exact, key=lambda item: int(item[1]) - item[1])
    for version, _ in by_remainder[:rest]:
        quotas[version] += 1
    return quotas


class Splitter:
    """The choice of a version for each request of one model.

    Load: a few large callers, of which any could be a third of the traffic. Harm
    prevented: by caller hash alone a 5% share may become 0% or 33%; by counting
    alone a caller sees the version change on each request.
    """

    def __init__(self, shares):
        self.shares = tuple(shares)
        self._quotas = split_window(self.shares)
        self._given = dict.fromkeys(self._quotas, 0)
        self._count = 0

    def choose(self, caller):
        """Return the version that this caller's next request goes to."""
        if self._count == WINDOW:
            self._given = dict.fromkeys(self._quotas, 0)
            self._count = 0
        version = self._find_own(caller)
        if self._measure_lead(version) >= LEAD or self._left(version) <= 0:
            version = self._find_neediest()
        self._given[version] += 1
        self._count += 1
        return version

    def _find_own(self, caller):
        point = hash_text(caller) / SCALE * WINDOW
        for version, quota in self._quotas.items():
            if point < quota:
                return version
            point -= quota
        return self._find_neediest()

    def _left(self, version):
        return self._quotas[version] - self._given[version]

    def _measure_lead(self, version):
        due = self._quotas[version] * (self._count + 1) / WINDOW
        return self._given[version] - due

    def _find_neediest(self):
        able = [version for version in self._quotas if self._left(version) > 0]
        return min(able, key=self._measure_lead)
