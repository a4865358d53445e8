"""Organisations' allowances over all instances, without a call for each request.

Every instance keeps the whole bucket of each organisation and takes from it what it
spends itself and what the others say they have spent. Instances that aren't heard
from keep their equal part of the rate, so that a part of the system that is cut off
can't spend what the other part spends too.
"""

from .exceptions import CustomerLimit, Scope

SHORTEST_RETRY = 0.25
LONGEST_RETRY = 10.0


class Bucket:
    """State of one organisation's allowance, in cost."""

    __slots__ = ("level", "at", "rate", "burst")

    def __init__(self, rate, burst, now):
        self.level = burst
        self.at = now
        self.rate = rate
        self.burst = burst

    def refill(self, part, now):
        """Add what has come since the last time, for a part of the rate and the burst.

        Guard: a third of many instances is cut off while a customer sends many times
        its usual. Each holds the whole bucket, full; left with it, twenty of them spend
        twenty bursts at once.
        """
        gained = max(0.0, now - self.at) * self.rate * part
        self.level = min(self.burst * part, self.level + gained)
        self.at = now


class Allowances:
    """State of all organisations' allowances in one instance."""

    def __init__(self):
        self.spent = {}
        self._buckets = {}
        self._source = None
        self._others = {}
        self._heard_of = (0, float("-inf"))
        self._known = 1

    def configure(self, organisations, now):
        """Put new limits in force; what was spent stays spent."""
        limited = {item.name: item for item in organisations if item.rate > 0}
        for name in set(self._buckets) - set(limited):
            del self._buckets[name]
        for name, item in limited.items():
            bucket = self._buckets.setdefault(name, Bucket(item.rate, item.burst, now))
            bucket.refill(self._part(now), now)
            bucket.rate, bucket.burst = item.rate, item.burst
            bucket.level = min(bucket.level, item.burst)

    def set_known(self, count):
        """Set how many instances there are, this one included."""
        self._known = max(1, count)

    def hear(self, source, spent, instances, until):
        """Take the totals of all other instances together, as one of them adds them up.

        ``source`` is the process that added them up and ``instances`` how many it heard
        of; the sums of two processes differ by what either missed.

        Guard: words overtake each other, and a sum falls for a moment; measured from
        there, what was spent in between would be taken twice.
        """
        if self._source != source:
            self._source = source
            self._others = dict(spent)
        self._heard_of = (instances, until)
        for name, total in spent.items():
            old = self._others.get(name, 0.0)
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level -= max(0.0, total - old)
            self._others[name] = max(old, total)

    def charge(self, organisation, cost, now):
        """Spend the cost, or raise CustomerLimit with a time to come back."""
        if organisation is None:
            return
        bucket = self._buckets.get(organisation.name)
        if bucket is not None:
            part = self._part(now)
            bucket.refill(part, now)
            lacking = min(cost, bucket.burst * part) - bucket.level
            if lacking > 0:
                raise refuse(organisation, lacking, bucket.rate * part)
            bucket.level -= cost
        spent = self.spent.get(organisation.name, 0.0)
        self.spent[organisation.name] = spent + cost

    def refund(self, organisation, cost):
        """Give back what a request cost that did not run."""
        if organisation is None:
            return
        bucket = self._buckets.get(organisation.name)
        if bucket is not None:
            bucket.level = min(bucket.burst, bucket.level + cost)

    def _part(self, now):
        """Return the part of the rate that the instances within hearing may spend."""
        instances, until = self._heard_of
        heard = 1 + (instances if now <= until else 0)
        return min(1.0, heard / max(self._known, heard))


def refuse(organisation, lacking, rate):
    """Return the refusal of a request for which so much cost is lacking."""
    wait = lacking / max(1e-9, rate)
    wait = min(LONGEST_RETRY, max(SHORTEST_RETRY, wait))
    return CustomerLimit(
        "The allowance is used up.",
        scope=Scope("customer", organisation.name),
        retry_after=round(wait, 2),
    )
