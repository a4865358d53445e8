"""Counts of the requests that began to run, by organisation and window of time."""

import json
from collections import Counter
from typing import Annotated, NamedTuple, NotRequired, TypedDict

import msgspec

from .exceptions import DECODE_ERRORS, BadConfiguration

# Key of the last report, followed by all instances: in a restored store the report may
# be missing, and its window must not be counted again.
SHARED_REPORT = "chervilwing/instances-usage-report"
# Number of windows kept while they can't be written: they span more than the usual
# outages of the store, and a report after a longer outage would be useless.
MAX_WINDOWS = 12


def name_process(name, incarnation):
    """Return the name of one process of an instance."""
    return f"{name}.{incarnation}"


class Report(NamedTuple):
    """The final counts of one window, by organisation; ``epoch`` is the store's."""

    window: int
    counts: dict[str, int]
    epoch: int = 0


# Counts and windows are sent to other instances; msgpack encodes 64 bits at most.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class StoredReport(TypedDict):
    """The fields of a Report as stored."""

    window: Count
    counts: dict[str, Count]
    epoch: NotRequired[Count]


COUNTS_DECODER = msgspec.json.Decoder(dict[str, dict[str, Count]])
REPORT_DECODER = msgspec.json.Decoder(StoredReport)


class UsageCounter:
    """Counts of this process; times are Unix seconds, ``length`` a window's seconds."""

    def __init__(self, length):
        self.length = length
        self._windows = {}
        self._first = None
        self._first_counted = None
        self._stored = set()

    def count(self, organisation, at):
        """Count one request that began to run."""
        window = int(at // self.length)
        self._windows.setdefault(window, Counter())[organisation] += 1
        # After a late count, the stored counts of the window are out of date.
        self._stored.discard(window)

    def start(self, now):
        """Start counting with the present window."""
        self._first = self._first_counted = int(now // self.length)

    def list_unstored(self, now):
        """Return the counts that aren't stored yet by window, the present one included.

        A window without requests has empty counts, which show that none is missing.
        """
        if self._first is None:
            return {}
        last = int(now // self.length)
        self._first = max(self._first, last - MAX_WINDOWS)
        for window in [item for item in self._windows if item < self._first]:
            del self._windows[window]
        self._stored = {window for window in self._stored if window >= self._first}
        windows = range(self._first, last + 1)
        return {
            window: dict(self._windows.get(window, {}))
            for window in windows
            if window not in self._stored
        }

    def forget_stored(self, after):
        """Take no window after this one for stored any more."""
        self._stored = {window for window in self._stored if window <= after}

    @property
    def first(self):
        """Return the window in which the counting began, 0 before it."""
        return self._first_counted or 0

    def mark_stored(self, window, counts):
        """Record that these counts of an ended window are stored."""
        if self._windows.get(window, {}) == counts:
            self._stored.add(window)


class ReceivedCounts:
    """The counts of several processes, by window and process.

    If an instance kept its counts to itself and died or lost the store, up to one
    window of them would be lost, and the report would lack its share of the requests.
    """

    def __init__(self):
        self._counts = {}

    def add(self, process, windows):
        """Add the counts that a process has not stored yet, by window."""
        for window, counts in windows.items():
            by_process = self._counts.setdefault(window, {})
            # Datagrams may be reordered, and counts never fall.
            by_process[process] = choose_larger(by_process.get(process, {}), counts)
        for old in sorted(self._counts)[:-MAX_WINDOWS]:
            del self._counts[old]

    def count(self):
        """Return the number of requests reported here, in all kept windows."""
        reported = (
            counts
            for by_process in self._counts.values()
            for counts in by_process.values()
        )
        return sum(sum(counts.values()) for counts in reported)

    def list_windows(self):
        """Return the windows that have counts, the oldest first."""
        return sorted(self._counts)

    def find(self, window):
        """Return the counts of a window by process."""
        return self._counts.get(window, {})


def choose_larger(one, other):
    """Return the larger of two counts of the same process and window."""
    return one if sum(one.values()) > sum(other.values()) else other


def merge_counts(parts):
    """Return counts by process; where a process occurs twice, its larger counts.

    Two instances may store the same process's counts one after the other; added up,
    they would count twice.
    """
    merged = {}
    for part in parts:
        for process, counts in part.items():
            merged[process] = choose_larger(merged.get(process, {}), counts)
    return merged


def sum_counts(parts):
    """Return the sums of several processes' counts."""
    total = Counter()
    for counts in parts:
        total.update(counts)
    return dict(total)


def encode_counts(counts):
    """Return counts by process as bytes for the store."""
    return json.dumps(counts, sort_keys=True).encode()


def decode_counts(key, value):
    """Return counts by process from the store's bytes, or raise BadConfiguration."""
    return _decode(COUNTS_DECODER, key, value)


def encode_report(report):
    """Return a Report as bytes for the store."""
    return json.dumps(report._asdict()).encode()


def decode_report(key, value):
    """Return the Report of the store's bytes, or raise BadConfiguration."""
    return Report(**_decode(REPORT_DECODER, key, value))


def _decode(decoder, key, value):
    try:
        return decoder.decode(value)
    except DECODE_ERRORS as exc:
        raise BadConfiguration(f"{key}: {type(exc).__name__} {exc}") from exc
