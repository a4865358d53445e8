"""How many requests of each organisation began to run, by window of time."""

import json
from collections import Counter
from typing import NamedTuple

# Windows kept that couldn't be written: longer than the store's usual outages, and
# useless afterwards, since a late report is worth nothing.
WINDOWS_KEPT = 12


def name_process(name, incarnation):
    """Return the name of one process of an instance."""
    return f"{name}.{incarnation}"


class Report(NamedTuple):
    """The counts of one window, as they were decided once and for all."""

    window: int
    counts: dict[str, int]


class UsageCounter:
    """Counts of this process; times are Unix seconds."""

    def __init__(self, length):
        self.length = length
        self._windows = {}
        self._first = None
        self._stored = set()

    def count(self, organisation, at):
        """Count one request that began to run."""
        window = int(at // self.length)
        self._windows.setdefault(window, Counter())[organisation] += 1
        # One that was counted late: what is stored of the window is no longer true.
        self._stored.discard(window)

    def begin(self, now):
        """Start with the window that is open now."""
        self._first = int(now // self.length)

    def list_open(self, now):
        """Return the counts that aren't stored yet, by window, this moment's last.

        A window in which nothing ran has counts too: they tell that nothing is missing.
        """
        if self._first is None:
            return {}
        last = int(now // self.length)
        self._first = max(self._first, last - WINDOWS_KEPT)
        for window in [item for item in self._windows if item < self._first]:
            del self._windows[window]
        self._stored = {window for window in self._stored if window >= self._first}
        windows = range(self._first, last + 1)
        return {
            window: dict(self._windows.get(window, {}))
            for window in windows
            if window not in self._stored
        }

    def note_stored(self, window, counts):
        """Take note that these counts of a window that has ended are stored."""
        if self._windows.get(window, {}) == counts:
            self._stored.add(window)


class HeardCounts:
    """The counts of several processes, by window and process.

    Guard: an instance that dies, or is cut off from the store, would take its counts of
    up to a window with it, and the report be off by its share of the requests.
    """

    def __init__(self):
        self._counts = {}

    def hear(self, process, windows):
        """Take the counts that a process has not stored yet, by window."""
        for window, counts in windows.items():
            heard = self._counts.setdefault(window, {})
            # Datagrams overtake each other, and counts never fall.
            heard[process] = larger(heard.get(process, {}), counts)
        for old in sorted(self._counts)[:-WINDOWS_KEPT]:
            del self._counts[old]

    def count(self):
        """Return how many requests others have told of, in all windows kept."""
        told = (counts for heard in self._counts.values() for counts in heard.values())
        return sum(sum(counts.values()) for counts in told)

    def list_windows(self):
        """Return the windows of which anything was heard, the oldest first."""
        return sorted(self._counts)

    def find(self, window):
        """Return the counts of a window by process."""
        return self._counts.get(window, {})


def larger(one, other):
    """Return the counts that have more of the same process and window."""
    return one if sum(one.values()) > sum(other.values()) else other


def merge(parts):
    """Return counts by process; of those that stand twice, the larger ones.

    Guard: an instance's counts may be stored by two that it told, one after the other;
    added up they would count twice.
    """
    merged = {}
    for part in parts:
        for process, counts in part.items():
            merged[process] = larger(merged.get(process, {}), counts)
    return merged


def add_up(parts):
    """Return the sums of several instances' counts."""
    total = Counter()
    for counts in parts:
        total.update(counts)
    return dict(total)


def encode_counts(counts):
    """Return counts by process as bytes for the store."""
    return json.dumps(counts, sort_keys=True).encode()


def decode_counts(value):
    """Return counts by process from the store's bytes."""
    return json.loads(value)


def encode_report(report):
    """Return a decided report as bytes for the store."""
    return json.dumps({"window": report.window, "counts": report.counts}).encode()


def decode_report(value):
    """Return a decided report from the store's bytes."""
    value = json.loads(value)
    return Report(value["window"], value["counts"])
