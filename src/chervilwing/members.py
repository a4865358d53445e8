"""The known entry instances: their records, suspicions and tombstones."""

from .gossip import SUSPECT, Record


class Members:
    """Index the records of a table by address, with suspicions and tombstones.

    A tombstone holds the incarnation of a forgotten instance, so that its record is not
    accepted again from a peer that was cut off for long.
    """

    def __init__(self, cfg, table):
        self._cfg = cfg
        self._table = table
        self._name_by_address = {}
        self._suspected_at = {}
        self._tombstones = {}

    def __len__(self):
        return len(self._name_by_address)

    def has_address(self, address):
        """Return whether an instance at this address is known."""
        return address in self._name_by_address

    def find(self, address):
        """Return the record of the instance at an address, or None."""
        name = self._name_by_address.get(address)
        return None if name is None else self._table.get((Record, name))

    def list_records(self):
        """Return the records of all known instances."""
        return tuple(self._table.items(Record))

    def merge(self, record, now):
        """Store a record if it is newer; return whether it was."""
        if not self._table.merge(record):
            return False
        self._name_by_address[record.address] = record.name
        self._suspected_at.pop(record.name, None)
        if record.state == SUSPECT:
            self._suspected_at[record.name] = now
        return True

    def is_forgotten(self, record):
        """Return whether this or a later incarnation was forgotten."""
        forgotten, _ = self._tombstones.get(record.name, (0, 0.0))
        return record.incarnation <= forgotten

    def expire(self, now):
        """Forget instances suspected for ``suspect_age`` seconds; return their records.

        Also drop expired tombstones.
        """
        for name, (_, until) in list(self._tombstones.items()):
            if until < now:
                del self._tombstones[name]
        return [
            self._forget(name, now)
            for name, since in list(self._suspected_at.items())
            if since + self._cfg.suspect_age < now
        ]

    def _forget(self, name, now):
        record = self._table.get((Record, name))
        until = now + self._cfg.tombstone_age
        self._tombstones[name] = (record.incarnation, until)
        self._name_by_address.pop(record.address, None)
        del self._suspected_at[name]
        self._table.drop((Record, name))
        return record
