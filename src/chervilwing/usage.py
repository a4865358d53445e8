"""How many requests of each organisation began to run, by window of time."""

import json
from collections import Counter
from typing import NamedTuple

# Windows kept that couldn't be written: longer than the store's usual outages, and
# useless afterwards, since a late report is worth nothing.
WINDOWS_KEPT = 12


class Report(NamedTuple):
    """The counts of one window, as they were decided once and for all."""

    window: int
    counts: dict[str, int]


class UsageCounter:
    """Counts of this instance that aren't stored yet; times are Unix seconds."""

    def __init__(self, length):
        self.length = length
        self._windows = {}
        self._written = None

    def count(self, organisation, at):
        """Count one request that began to run."""
        window = int(at // self.length)
        self._windows.setdefault(window, Counter())[organisation] += 1

    def begin(self, now):
        """Start with the window that is open now."""
        self._written = int(now // self.length) - 1

    def list_due(self, now, lag):
        """Return the windows that closed ``lag`` seconds ago and aren't stored."""
        if self._written is None:
            return []
        last = int((now - lag) // self.length) - 1
        first = max(self._written + 1, last - WINDOWS_KEPT)
        return list(range(first, last + 1))

    def read(self, window):
        """Return the counts of a window."""
        return dict(self._windows.get(window, {}))

    def list_open(self):
        """Return the counts that aren't stored yet, by window."""
        return {window: dict(counts) for window, counts in self._windows.items()}

    def note_written(self, window):
        """Forget a window that is stored."""
        self._written = max(self._written, window)
        for old in [item for item in self._windows if item <= window]:
            del self._windows[old]


class HeardCounts:
    """What other processes said of their counts, in case they can't store them.

    Guard: an instance that dies, or is cut off from the store, takes its counts of up
    to a window with it, and the report is off by its share of the requests.
    """

    def __init__(self):
        self._counts = {}

    def hear(self, process, windows):
        """Take the counts that a process has not stored yet, by window."""
        for window, counts in windows.items():
            self._counts.setdefault(window, {})[process] = counts
        for old in sorted(self._counts)[:-WINDOWS_KEPT]:
            del self._counts[old]

    def count(self):
        """Return how many requests others have told of, in all windows kept."""
        told = (counts for heard in self._counts.values() for counts in heard.values())
        return sum(sum(counts.values()) for counts in told)

    def find(self, window, stored):
        """Return the counts of processes that aren't among the stored ones."""
        heard = self._counts.get(window, {})
        return {name: heard[name] for name in heard if name not in stored}


def add_up(parts):
    """Return the sums of several instances' counts."""
    total = Counter()
    for counts in parts:
        total.update(counts)
    return dict(total)


def encode_counts(counts):
    """Return counts as bytes for the store."""
    return json.dumps(counts, sort_keys=True).encode()


def decode_counts(value):
    """Return counts from the store's bytes."""
    return json.loads(value)


def encode_report(report):
    """Return a decided report as bytes for the store."""
    return json.dumps({"window": report.window, "counts": report.counts}).encode()


def decode_report(value):
    """Return a decided report from the store's bytes."""
    value = json.loads(value)
    return Report(value["window"], value["counts"])
