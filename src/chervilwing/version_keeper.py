"""Store the versions that streams may have begun at, for instances that start later."""

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .logs import log_event
from .store_calls import Commit, Committed, Conflict
from .stream_versions import (
    ANNOUNCED,
    RETIRED,
    Origin,
    encode_origin,
    get_life,
    make_key,
)

# Seconds between two checks. A version usually gets requests two seconds after it is
# known, and is announced before that.
CHECK_INTERVAL = 0.5
RETRY_AFTER = 1.0
# Versions in one write.
MAX_KEYS = 8


def make_removal(keys, stored):
    """Return the Commit that retires versions, and deletes those retired before.

    It may take effect late, when streams begin at a version again, so that a version in
    use must not disappear from the store.
    """
    origins = {stored[key] for key in keys if not key.startswith(RETIRED)}
    retired = {make_key(origin, RETIRED): origin for origin in sorted(origins)}
    puts = tuple((key, encode_origin(origin), 0) for key, origin in retired.items())
    return Commit(puts=puts, deletes=tuple(key for key in keys if key not in retired))


class VersionKeeper(BaseComponent):
    """Write the versions in use, one call at a time, on the leaders of groups.

    A version is retired when none of its streams can be taken up again, and deleted as
    long after that. ``leads`` returns whether this instance leads its group. Without
    the stored versions, an instance that starts could not tell whether a stream that it
    doesn't know was begun by a version that is gone.
    """

    channel = "version-keeper"

    def __init__(self, store, gateway, leads):
        super().__init__()
        self._store = store
        self._gateway = gateway
        self._leads = leads
        self._busy = False
        self._next_check = 0.0
        # When each stored version was first seen without an upstream, by key.
        self._unused_since = {}
        gateway.resumptions.streams.are_announced = True

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        streams, table = self._gateway.resumptions.streams, self._gateway.table
        if self._busy or now < self._next_check or table is None:
            return
        if not self._leads() or not streams.are_fresh():
            self._unused_since.clear()
            return
        self._next_check = now + CHECK_INTERVAL
        commit = self._make_commit(self._list_used(table, now), now)
        if commit is not None:
            self._busy = True
            self._store.submit(commit, self._finish)

    def _list_used(self, table, now):
        """Return the Origins that new streams may have now or soon, by key.

        A version is announced at once, and stored as one that all instances know when
        their registrations show that.
        """
        pools = {target.pool for route in table.resumable for target in route.targets}
        states, rollouts = self._gateway.pools, self._gateway.rollouts
        origins = [
            Origin(pool, version)
            for pool in pools & states.keys()
            for version in states[pool].list_versions()
        ]
        used = {make_key(origin, ANNOUNCED): origin for origin in origins}
        known = (item for item in origins if not rollouts.is_new(*item, now))
        return used | {make_key(origin): origin for origin in known}

    def _make_commit(self, used, now):
        """Return the Commit of the next change, or None."""
        stored = self._gateway.resumptions.streams.stored
        missing = sorted(used.keys() - stored.keys())
        if missing:
            keys = missing[:MAX_KEYS]
            puts = tuple((key, encode_origin(used[key]), 0) for key in keys)
            return Commit(expect=tuple((key, 0) for key in keys), puts=puts)
        routes = self._gateway.table.resumable
        life = max(map(get_life, routes), default=0.0)
        self._unused_since = {
            key: self._unused_since.get(key, now) for key in stored.keys() - used.keys()
        }
        expired = [key for key, at in self._unused_since.items() if now - at >= life]
        del expired[MAX_KEYS:]
        for key in expired:
            del self._unused_since[key]
        return make_removal(expired, stored) if expired else None

    def _finish(self, reply):
        self._busy = False
        # After a conflict another instance has written them.
        if not isinstance(reply, Committed | Conflict):
            self._next_check = read_boottime() + RETRY_AFTER
            log_event("versions not stored", reply=type(reply).__name__)
