"""Upstreams that register themselves, and which of them may get new requests."""

from typing import NamedTuple

from .models import Address

# Seconds after the store's return for which lapsed entries are kept. The platform
# promises that upstreams write them again within about two seconds; an upstream whose
# entry is still missing then is gone. Slightly less than 2 s, because an upstream that
# left at the store's return must get no requests two seconds later.
LAPSE_GRACE = 1.8


class Registration(NamedTuple):
    """One process of an upstream, as it registered itself.

    ``leaves_in`` is the seconds until a reclaimed machine ends, None where that is
    unknown. ``started_at`` is the Unix time of the process's start by its own clock, 0
    where unknown; another value under the same name means a new process with no memory
    of the previous one. ``version`` is that of its software.
    """

    name: str
    pool: str
    address: Address
    data_centre: str
    slots: int = 1
    leaving: bool = False
    reclaimable: bool = False
    leaves_in: float | None = None
    started_at: float = 0.0
    version: str = ""


class ProcessId(NamedTuple):
    """Identifies one process of an upstream; a restart may keep the name."""

    name: str
    started_at: float


def get_process(registration):
    """Return the ProcessId of a registration."""
    return ProcessId(registration.name, registration.started_at)


class Registry:
    """All known upstreams by name; times are seconds on one clock."""

    def __init__(self):
        self.upstreams = {}
        self._missing = {}

    def add(self, registration):
        """Apply a registration; return the one of a replaced process, or None.

        An upstream may restart under its name. Its cached prompts are gone then, and
        requests sent over connections to the previous process would be lost.
        """
        self._missing.pop(registration.name, None)
        known = self.upstreams.get(registration.name)
        self.upstreams[registration.name] = registration
        if known is None or get_process(known) == get_process(registration):
            return None
        return known

    def mark_leaving(self, process):
        """Mark a ProcessId as leaving; return its registration, or None if unknown."""
        known = self.upstreams.get(process.name)
        if known is None or get_process(known) != process:
            return None
        self.upstreams[process.name] = known._replace(leaving=True)
        return self.upstreams[process.name]

    def remove(self, name, now, regained_at):
        """Apply the removal of an entry; return whether its upstream is gone now.

        While the store is away, entries lapse because living upstreams can't renew
        them. Such an upstream is kept until LAPSE_GRACE seconds after the store's
        return. If it were dropped at once, a whole pool would vanish and every caller
        would be refused; if it were kept longer, an upstream that really left would
        still get requests when it ends.
        """
        if name not in self.upstreams:
            return False
        if now < regained_at + LAPSE_GRACE:
            self._missing[name] = regained_at + LAPSE_GRACE
            return False
        self.drop(name)
        return True

    def drop(self, name):
        """Remove an entry at once."""
        self._missing.pop(name, None)
        self.upstreams.pop(name, None)

    def count_leaving(self):
        """Return how many of the known upstreams are leaving."""
        return sum(item.leaving for item in self.upstreams.values())

    def expire(self, now):
        """Drop the entries that did not return in time; return their names."""
        gone = [name for name, due in self._missing.items() if now >= due]
        for name in gone:
            self.drop(name)
        return gone
