"""Clocks: one that goes on through a suspension, and the time of day of most."""

import time
from statistics import median

# Seconds after which another instance's word about the time of day no longer counts.
STALE_AFTER = 5.0


def read_boottime():
    """Return seconds on a clock that never jumps and counts suspended time too.

    Guard: the monotonic clock stands still while a machine is suspended; leases and
    the age of what is known would look young after it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# When this process began, but for what the interpreter takes before its first import.
STARTED_AT = read_boottime()


class AgreedTime:
    """The time of day as the middle of all instances' clocks.

    Guard: the time of day of some instances jumps by seconds. Usage counted by such a
    clock falls into a wrong window; the median of all doesn't move with a minority.
    """

    def __init__(self):
        self._offsets = {}
        self._adopted = (0.0, float("-inf"))

    def hear(self, peer, time_of_day, now):
        """Take another instance's time of day."""
        self._offsets[peer] = (time_of_day - now, now)

    def adopt(self, time_of_day, now):
        """Take the time on which those agree whom another instance hears."""
        self._adopted = (time_of_day - now, now)

    def read(self, time_of_day, now):
        """Return Unix seconds, given this instance's own time of day."""
        offset, at = self._adopted
        if now - at < STALE_AFTER:
            return now + offset
        fresh = [
            offset for offset, at in self._offsets.values() if now - at < STALE_AFTER
        ]
        return now + median([*fresh, time_of_day - now])
