"""A store in the process, filled from a file: one gateway without a platform."""

import os

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .coordination import Sources
from .exceptions import BadConfiguration
from .items import (
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
from .logs import log_event
from .routing_files import parse_file

DOCUMENTS = "configuration/"
UPSTREAMS = "upstreams/"
# The one lease there is: nobody else could hold it.
LEASE = 1
# Changes kept for watches: a file of some hundred upstreams may change at once.
HISTORY_KEPT = 4096


class LocalStore(BaseComponent):
    """Own the items; the file is read again whenever it has changed.

    Values are the types themselves and not bytes, but for what the gateway writes.
    """

    channel = "local-store"

    def __init__(self, cfg):
        super().__init__()
        self.cfg = cfg
        self._items = {}
        self._history = []
        self._forgotten = 0
        self._revision = 1
        self._waiting = []
        self._stamp = None

    def submit(self, req, reply):
        """Answer one call, a watch when there is something or its wait is over."""
        if isinstance(req, WatchItems):
            self._waiting.append((req, reply, read_boottime() + req.wait))
            return
        reply(ANSWERS[type(req)](self, req))

    def _list(self, req):
        found = [
            item for key, item in self._items.items() if key.startswith(req.prefix)
        ]
        return Page(tuple(found), self._revision)

    def _commit(self, req):
        for key, revision in req.expect:
            item = self._items.get(key)
            if (item.revision if item else 0) != revision:
                return Conflict()
        self._write({key: value for key, value, _ in req.puts}, frozenset(req.deletes))
        return Committed(self._revision)

    def _lease(self, req):
        return Leased(LEASE, getattr(req, "ttl", self.cfg.lease))

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
        waiting, self._waiting = self._waiting, []
        for req, reply, until in waiting:
            found = self._find_changes(req)
            if req.after < self._forgotten:
                reply(HistoryGone())
            elif found or read_boottime() >= until:
                reply(Changes(found, self._revision))
            else:
                self._waiting.append((req, reply, until))
        while len(self._history) > HISTORY_KEPT:
            self._forgotten = self._history.pop(0).revision

    def _find_changes(self, req):
        return tuple(
            item
            for item in self._history
            if item.revision > req.after and item.key.startswith(req.prefix)
        )

    def _read_file(self):
        """Take the file's contents; a fault leaves the older ones in force."""
        try:
            stamp = os.stat(self.cfg.routes).st_mtime_ns
            if stamp == self._stamp:
                return
            self._stamp = stamp
            with open(self.cfg.routes, encoding="utf-8") as file:
                document, upstreams = parse_file(file.read())
        except (OSError, UnicodeDecodeError, BadConfiguration) as exc:
            log_event("item ignored", key=self.cfg.routes, detail=str(exc))
            return
        puts = {f"{UPSTREAMS}{item.name}": item for item in upstreams}
        gone = {key for key in self._items if key.startswith(UPSTREAMS)} - set(puts)
        self._write({DOCUMENTS: document, **puts}, gone)


ANSWERS = {
    ListItems: LocalStore._list,
    Commit: LocalStore._commit,
    TakeLease: LocalStore._lease,
    KeepLease: LocalStore._lease,
    EndLease: LocalStore._lease,
}
SOURCES = Sources(
    DOCUMENTS, UPSTREAMS, lambda key, value: value, lambda key, value: value
)
