"""Upstreams that register themselves, and which of them may take new work."""

from typing import NamedTuple

from .models import Address

# Entries that lapsed with the store are written anew within about two seconds of its
# return (the platform's promise); what is missing then is gone.
LAPSE_GRACE = 2.0


class Registration(NamedTuple):
    """One incarnation of an upstream, as it registered itself.

    ``leaves_in`` are the seconds until a reclaimed instance ends, None where nobody
    has said it.
    """

    name: str
    pool: str
    address: Address
    data_centre: str
    slots: int = 1
    leaving: bool = False
    reclaimable: bool = False
    leaves_in: float | None = None


class Registry:
    """All upstreams known, by name; times are seconds on one clock."""

    def __init__(self):
        self.members = {}
        self._missing = {}

    def put(self, registration):
        """Take a new or changed registration."""
        self._missing.pop(registration.name, None)
        self.members[registration.name] = registration

    def remove(self, name, now, doubtful):
        """Take note that an entry is gone.

        Guard: while the store is away, entries lapse although their upstreams live and
        can't renew them. ``doubtful`` keeps such an upstream for LAPSE_GRACE; dropped
        at once, a whole pool would vanish at the store's return and every caller be
        refused.
        """
        if name not in self.members:
            return
        if doubtful:
            self._missing.setdefault(name, now + LAPSE_GRACE)
            return
        self._missing.pop(name, None)
        del self.members[name]

    def expire(self, now, doubtful):
        """Drop what stayed away and return the names.

        While the store can't be asked nothing is dropped: its upstreams can't renew.
        """
        if doubtful:
            self._missing = dict.fromkeys(self._missing, now + LAPSE_GRACE)
            return []
        gone = [name for name, due in self._missing.items() if now >= due]
        for name in gone:
            del self._missing[name]
            self.members.pop(name, None)
        return gone
