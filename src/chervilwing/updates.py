"""An update of the configuration whose answer may be lost."""

from typing import NamedTuple

from .exceptions import ChervilwingError, Conflict, UpdateUnknown
from .messages import (
    Found,
    Missing,
    Read,
    Rejected,
    StoreCall,
    Unanswered,
    Write,
    Written,
)


class UpdateTaken(NamedTuple):
    """The update took effect."""

    operation: str


class UpdateRefused(NamedTuple):
    """The update lost a race, or later writes hide what became of it."""

    operation: str
    failure: ChervilwingError


class Update:
    """One compare-and-swap of a value that carries its operation id.

    ``read`` returns the Stamp of a value; ``stamp`` is that of the new one.
    """

    def __init__(self, request, read):
        self.request = request
        self.stamp = read(request.value)
        self._read = read
        self._tries = 0
        self._token = ""

    def start(self):
        """Send the write."""
        return (self._call(self.request),)

    def receive(self, token, reply):
        """Take the store's reply; a lost one is settled by reading again."""
        if token != self._token:
            return ()
        if isinstance(reply, Unanswered):
            return (self._call(Read(self.request.key)),)
        if isinstance(reply, Written):
            return (UpdateTaken(self.stamp.operation),)
        version = 0 if isinstance(reply, Missing) else reply.version
        # What stands is what the write expected: it didn't take effect, or not yet.
        # Sent again it takes effect once, since both expect the same version.
        if version == self.request.expect:
            return (self._call(self.request),)
        return (self._compare(reply),)

    def _compare(self, reply: Found | Rejected | Missing):
        if isinstance(reply, Missing) or not reply.value:
            return self._refuse(Conflict("the configuration was deleted"))
        found = self._read(reply.value)
        mine = self.stamp.operation
        if mine == found.operation or mine in found.recent:
            return UpdateTaken(mine)
        if found.revision - self.stamp.revision > len(found.recent):
            return self._refuse(UpdateUnknown("later writes hide this one"))
        text = f"yours: {self.request.value}\nstands: {reply.value}"
        return self._refuse(Conflict(text))

    def _refuse(self, failure):
        return UpdateRefused(self.stamp.operation, failure)

    def _call(self, request: Read | Write):
        self._tries += 1
        self._token = f"update-{self.stamp.operation}-{self._tries}"
        return StoreCall(self._token, request)
