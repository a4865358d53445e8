"""Reads of the store that show at which versions streams may have begun.

A resumable stream begins only at a version that the store holds. Whatever an instance
knows itself, and however old that is, a read that begins after a caller has brought a
stream back shows the version that began it.
"""

from math import inf
from typing import NamedTuple

from .exceptions import BadConfiguration
from .store_calls import Changes, ListItems, Page, WatchItems
from .store_epochs import get_epoch
from .stream_versions import VERSIONS, Origin, decode_origin

# Seconds after which another read begins although one still runs: a lost connection
# must not hold up the callers that come after its repair.
MAX_READ_TIME = 0.25
# Seconds between the beginnings of two reads while each is answered. Thousands of
# streams may break within a second, at all instances.
MIN_INTERVAL = 0.02
# Callers that wait for a read. Without a limit, they would pile up while the store is
# silent.
MAX_WAITING = 512


class StoredVersions(NamedTuple):
    """The Origins that the store holds, under a configuration that is still its newest.

    ``document_revision`` is that of the configuration.
    """

    origins: frozenset[Origin]
    document_revision: int


def read_origins(page):
    """Return the Origins on a page, None if one of them can't be read."""
    try:
        return frozenset(decode_origin(item.key, item.value) for item in page.items)
    except BadConfiguration:
        return None


class VersionReads:
    """Read the stored versions for many callers at once; times are in seconds.

    ``documents`` and ``instances`` are the Mirrors of the configuration and of what the
    instances store. A caller that comes while a read runs waits for the next one, since
    the present one may have been answered before.
    """

    def __init__(self, store, documents, instances):
        self._store = store
        self._documents = documents
        self._instances = instances
        self._waiting = []
        self._running = 0
        self._began_at = -inf

    def request(self, reply, now):
        """Call ``reply`` with StoredVersions, or with None if they can't be read.

        Returns False, and never calls it, if too many callers wait.
        """
        if len(self._waiting) >= MAX_WAITING:
            return False
        self._waiting.append(reply)
        self.advance(now)
        return True

    def advance(self, now):
        """Begin the read that callers wait for, if it is due."""
        interval = MAX_READ_TIME if self._running else MIN_INTERVAL
        if self._waiting and now - self._began_at >= interval:
            self._start(now)

    def _start(self, now):
        replies, self._waiting = self._waiting, []
        self._began_at = now
        revision = self._documents.revision
        if revision is None or self._instances.revision is None:
            for reply in replies:
                reply(None)
            return
        self._running += 1
        found = []

        def receive(answer):
            found.append(answer)
            if len(found) == 2:
                self._finish(replies, found, revision)

        self._store.submit(ListItems(VERSIONS), receive)
        # Without a waiting time, this is a read of what has changed since.
        self._store.submit(WatchItems(self._documents.prefix, revision, 0.0), receive)

    def _finish(self, replies, answers, revision):
        self._running -= 1
        stored = self._combine(answers, revision)
        for reply in replies:
            reply(stored)

    def _combine(self, answers, revision):
        page = next((item for item in answers if isinstance(item, Page)), None)
        changes = next((item for item in answers if isinstance(item, Changes)), None)
        if page is None or page.more or changes is None or changes.items:
            return None
        # A store that has returned from a copy may have lost versions.
        known = {get_epoch(self._instances.revision), get_epoch(revision)}
        if known != {get_epoch(page.revision)} or known != {
            get_epoch(changes.revision)
        }:
            return None
        origins = read_origins(page)
        return None if origins is None else StoredVersions(origins, revision)
