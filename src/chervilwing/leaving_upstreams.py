"""Upstreams that announced in their answers that they are about to end.

An upstream also reports this to the store, which may be unavailable for longer than the
upstream stays. An announcement holds for the rest of that process: an older or repeated
registration that says otherwise does not revoke it, and neither does one that lapses
and returns.
"""

from collections import OrderedDict

from .bounds import keep_latest
from .registrations import get_process

# Maximum number of announcements to keep; the oldest ones are of processes that ended
# long ago. The largest deployments have 660 upstreams.
MAX_ANNOUNCEMENTS = 4096


class LeavingUpstreams:
    """Processes of upstreams that announced their end, and when that became known."""

    def __init__(self):
        self._known_since = OrderedDict()

    def add(self, process, now):
        """Record a ProcessId's announcement; return whether it is new."""
        if process in self._known_since:
            return False
        self._known_since[process] = now
        keep_latest(self._known_since, MAX_ANNOUNCEMENTS)
        return True

    def apply(self, registration):
        """Return the registration, as leaving if its process has announced its end."""
        if get_process(registration) in self._known_since:
            return registration._replace(leaving=True)
        return registration

    def is_overdue(self, process, seconds, now):
        """Return whether a process announced its end longer than ``seconds`` ago."""
        return now - self._known_since.get(process, now) > seconds
