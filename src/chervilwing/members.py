"""The entry instances that are known: who is suspected, and who was forgotten."""

from .gossip import SUSPECT, Record


class Members:
    """Keep the records of a table by address, with suspicions and tombstones.

    A tombstone is the incarnation of a forgotten instance: a peer that was cut off for
    long still offers its record, which must not come back.
    """

    def __init__(self, cfg, table):
        self._cfg = cfg
        self._table = table
        self._names = {}
        self._suspected = {}
        self._tombstones = {}

    def __len__(self):
        return len(self._names)

    def knows(self, address):
        """Tell whether an instance at this address is known."""
        return address in self._names

    def find(self, address):
        """Return the record of the instance at an address, or None."""
        name = self._names.get(address)
        return None if name is None else self._table.get((Record, name))

    def list_records(self):
        """Return the records of all known instances."""
        return tuple(self._table.items(Record))

    def keep(self, record, now):
        """Keep a record if it is newer; return whether it was."""
        if not self._table.merge(record):
            return False
        self._names[record.address] = record.name
        self._suspected.pop(record.name, None)
        if record.state == SUSPECT:
            self._suspected[record.name] = now
        return True

    def is_forgotten(self, record):
        """Tell whether this or a later incarnation was forgotten."""
        buried, _ = self._tombstones.get(record.name, (0, 0.0))
        return record.incarnation <= buried

    def expire(self, now):
        """Forget those suspected for long, and old tombstones; return the former."""
        for name, (_, until) in list(self._tombstones.items()):
            if until < now:
                del self._tombstones[name]
        return [
            self._forget(name, now)
            for name, since in list(self._suspected.items())
            if since + self._cfg.suspect_age < now
        ]

    def _forget(self, name, now):
        record = self._table.get((Record, name))
        until = now + self._cfg.tombstone_age
        self._tombstones[name] = (record.incarnation, until)
        self._names.pop(record.address, None)
        del self._suspected[name]
        self._table.drop((Record, name))
        return record
