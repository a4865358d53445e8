"""Load that an upstream states in its answers, and the checks of its figures."""

import re
from typing import NamedTuple

# Digits of a figure; more are absurd, and converting very long texts takes long.
FIGURE = re.compile(r"[0-9]{1,6}\Z")
COUNTS = 3
# Most running, waiting or free calls of one upstream that are believed.
MAX_COUNT = 100_000
# Bounds of a believed pace: ten times as fast as usual and a hundred times as slow.
MIN_PACE = 0.1
MAX_PACE = 100.0
# The pace is stated in per cent of the usual duration.
PER_CENT = 100.0


class StatedLoad(NamedTuple):
    """Load of an upstream at the time of an answer.

    ``running`` and ``waiting`` are numbers of calls of all callers, ``slots`` how many
    it can run at once. ``pace`` is the current duration of work as a multiple of the
    usual one, None if it isn't stated.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None

    @property
    def calls(self):
        """Return the number of calls that run or wait."""
        return self.running + self.waiting


def read_stated_load(text):
    """Return the StatedLoad of ``RUNNING,WAITING,SLOTS[,PER CENT]``, or None."""
    parts = [part.strip(" \t") for part in text.split(",", COUNTS + 1)]
    if not COUNTS <= len(parts) <= COUNTS + 1 or not all(map(FIGURE.match, parts)):
        return None
    counts = [int(part) for part in parts[:COUNTS]]
    pace = int(parts[COUNTS]) / PER_CENT if len(parts) > COUNTS else None
    load = StatedLoad(*counts, pace)
    return load if is_plausible(load) else None


def is_plausible(load):
    """Return whether the figures of a StatedLoad, read or received, can be true."""
    counts = load[:COUNTS]
    if not all(type(count) is int and 0 <= count <= MAX_COUNT for count in counts):
        return False
    if not load.slots:
        return False
    pace = load.pace
    return pace is None or (type(pace) in (int, float) and MIN_PACE <= pace <= MAX_PACE)
