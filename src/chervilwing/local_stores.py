"""An in-process store that is filled from a file, for a gateway without a platform."""

import os

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .coordination import StoreLayout
from .exceptions import BadConfiguration
from .logs import log_event
from .routing_files import parse_file
from .store_calls import (
    Changes,
    Commit,
    Committed,
    Conflict,
    EndLease,
    HistoryGone,
    Item,
    KeepLease,
    Leased,
    ListItems,
    Page,
    TakeLease,
    WatchItems,
)
from .store_epochs import StoreEpochs

DOCUMENT_PREFIX = "configuration/"
UPSTREAM_PREFIX = "upstreams/"
# Id of the only lease; a single gateway has no competitors for it.
LEASE_ID = 1
# Changes that are kept for watches. One edit of the file may change some hundred
# upstreams at once.
MAX_HISTORY = 4096


class LocalStore(BaseComponent):
    """Hold the store's items and reload the file whenever it changes.

    Values read from the file are decoded objects, those that the gateway writes are
    bytes.
    """

    channel = "local-store"

    def __init__(self, cfg):
        super().__init__()
        self.cfg = cfg
        self.epochs = StoreEpochs()
        self._items = {}
        self._history = []
        self._compacted_revision = 0
        self._revision = 1
        self._watches = []
        self._file_mtime = None

    def submit(self, req, reply):
        """Answer one call; a watch waits up to ``req.wait`` seconds for a change."""
        if isinstance(req, WatchItems):
            self._watches.append((req, reply, read_boottime() + req.wait))
            return
        reply(CALL_HANDLERS[type(req)](self, req))

    def _list(self, req):
        items = [
            item for key, item in self._items.items() if key.startswith(req.prefix)
        ]
        return Page(tuple(items), self._revision)

    def _commit(self, req):
        for key, revision in req.expect:
            item = self._items.get(key)
            if (item.revision if item else 0) != revision:
                return Conflict()
        self._write({key: value for key, value, _ in req.puts}, frozenset(req.deletes))
        return Committed(self._revision)

    def _answer_lease_call(self, req):
        return Leased(LEASE_ID, getattr(req, "ttl", self.cfg.lease))

    def _write(self, puts, deletes):
        self._revision += 1
        for key, value in puts.items():
            self._items[key] = Item(key, value, self._revision)
            self._history.append(self._items[key])
        for key in deletes & set(self._items):
            del self._items[key]
            self._history.append(Item(key, None, self._revision))

    @handler("tick", channel="*")
    def _on_tick(self):
        self._read_file()
        watches, self._watches = self._watches, []
        for req, reply, deadline in watches:
            changes = self._find_changes(req)
            if req.after < self._compacted_revision:
                reply(HistoryGone())
            elif changes or read_boottime() >= deadline:
                reply(Changes(changes, self._revision))
            else:
                self._watches.append((req, reply, deadline))
        while len(self._history) > MAX_HISTORY:
            self._compacted_revision = self._history.pop(0).revision

    def _find_changes(self, req):
        return tuple(
            item
            for item in self._history
            if item.revision > req.after and item.key.startswith(req.prefix)
        )

    def _read_file(self):
        """Load the file if it changed; a faulty one leaves the items unchanged."""
        try:
            mtime = os.stat(self.cfg.routes).st_mtime_ns
            if mtime == self._file_mtime:
                return
            self._file_mtime = mtime
            with open(self.cfg.routes, encoding="utf-8") as file:
                document, upstreams = parse_file(file.read())
        except (OSError, UnicodeDecodeError, BadConfiguration) as exc:
            log_event("item ignored", key=self.cfg.routes, detail=str(exc))
            return
        puts = {f"{UPSTREAM_PREFIX}{item.name}": item for item in upstreams}
        removed = {key for key in self._items if key.startswith(UPSTREAM_PREFIX)} - set(
            puts
        )
        self._write({DOCUMENT_PREFIX: document, **puts}, removed)


CALL_HANDLERS = {
    ListItems: LocalStore._list,
    Commit: LocalStore._commit,
    TakeLease: LocalStore._answer_lease_call,
    KeepLease: LocalStore._answer_lease_call,
    EndLease: LocalStore._answer_lease_call,
}
SOURCES = StoreLayout(
    DOCUMENT_PREFIX, UPSTREAM_PREFIX, lambda key, value: value, lambda key, value: value
)
