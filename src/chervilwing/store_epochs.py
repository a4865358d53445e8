"""Epochs of the store: what it holds after it returned from a copy of itself.

A store that returns from a copy has lost its latest writes and gives out their revision
numbers again. Each return begins a new epoch. A revision in this package therefore
contains the epoch as well as the store's number, so that revisions of all epochs are
ordered and any revision tells which history it belongs to.
"""

from .decimals import read_number

# Bits of a revision that hold the store's number. Epochs up to 8191 leave revisions
# exact in a double, in which a JSON parser may read them.
NUMBER_BITS = 40


def make_revision(epoch, number):
    """Return the revision of a number that the store gave out in an epoch."""
    return epoch << NUMBER_BITS | number


def get_epoch(revision):
    """Return the epoch of a revision."""
    return revision >> NUMBER_BITS


def get_number(revision):
    """Return the store's number of a revision."""
    return revision & (1 << NUMBER_BITS) - 1


def make_return_revision(epoch):
    """Return the revision of the store's return, which is before all others of it.

    It is that of the deletions which no write made: of items that the copy lacks.
    """
    return make_revision(epoch, 0)


def is_return(revision):
    """Return whether a revision is that of a return of the store."""
    return get_number(revision) == 0


def read_epoch(headers, field):
    """Return the epoch that a reply's header field states, 0 if it states none."""
    return read_number(headers.get(field, "")) or 0


class StoreEpochs:
    """The present epoch of the store, as far as this instance knows."""

    def __init__(self):
        self.current = 0
        self._listeners = []

    def subscribe(self, handle):
        """Call ``handle`` with each new epoch, before a reply of it is processed."""
        self._listeners.append(handle)

    def note(self, epoch):
        """Record that the store has reached an epoch; return whether it is the latest.

        Epochs only grow: what belongs to an earlier one is from before the store's
        return, however late it arrives.
        """
        if epoch > self.current:
            self.current = epoch
            for handle in self._listeners:
                handle(epoch)
        return epoch == self.current
