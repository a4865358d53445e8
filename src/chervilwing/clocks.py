"""Clocks: one that includes suspended time, and a time of day shared by instances."""

import time
from statistics import median

# Seconds after which another instance's time of day is out of date.
STALE_AFTER = 5.0


def read_boottime():
    """Return seconds on a clock that never jumps and includes suspended time.

    The monotonic clock stops while a machine is suspended; leases and knowledge would
    look too young afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# When this process began, apart from the interpreter's start before the first import.
STARTED_AT = read_boottime()


class AgreedTime:
    """The time of day as the median of all instances' clocks.

    If an instance's time of day jumps by seconds, usage counted by its clock would fall
    into a wrong window; a minority of such clocks hardly moves the median.
    """

    def __init__(self):
        self._offsets = {}
        self._adopted = (0.0, float("-inf"))

    def add_sample(self, peer, time_of_day, now):
        """Record another instance's time of day."""
        self._offsets[peer] = (time_of_day - now, now)

    def adopt(self, time_of_day, now):
        """Use the agreed time of another instance, which has samples of all."""
        self._adopted = (time_of_day - now, now)

    def read(self, time_of_day, now):
        """Return the agreed Unix time, in seconds, given this instance's own."""
        offset, at = self._adopted
        if now - at < STALE_AFTER:
            return now + offset
        fresh = [
            offset for offset, at in self._offsets.values() if now - at < STALE_AFTER
        ]
        return now + median([*fresh, time_of_day - now])
