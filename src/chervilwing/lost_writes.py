"""Write again what the instances wrote and a restored store has lost.

Documents are the operators' to write. What instances have in force of these is shared
under a key of their own, for instances that start before it is written again.
"""

import random

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .crash_records import SUSPECTED_FOR
from .exceptions import BadConfiguration
from .instance_count import COUNT
from .instance_records import SHARED_DOCUMENTS
from .logs import log_event
from .rollouts import DECISIONS, decode_decision
from .store_calls import Commit, Committed, Leased, TakeLease
from .stored_crashes import CRASHES
from .stream_versions import VERSIONS
from .usage import SHARED_REPORT

# Keys that no single instance looks after. Instances register themselves again.
REWRITTEN = (DECISIONS, CRASHES, COUNT, SHARED_REPORT, VERSIONS)
# Seconds after which a lost item is written again, drawn at random: several instances
# may do so, and the first write shows the others that theirs is not needed.
MIN_DELAY, MAX_DELAY = 0.2, 1.2
# Seconds for which a document is shared; it is shared again where it is still lost.
SHARE_FOR = 60.0
# Mean seconds between two tries after a failure.
RETRY_INTERVAL = 0.5
# Seconds of the leases of what is written under these prefixes; other items have none.
LEASES = {CRASHES: SUSPECTED_FOR, SHARED_DOCUMENTS: SHARE_FOR}


class LostWrites(BaseComponent):
    """Write held items again, one call at a time, on the leaders of groups.

    Each write is conditional on what the store has, so that an item is written once and
    never over a newer one. ``is_leader`` returns whether this instance leads its group.
    """

    channel = "lost-writes"

    def __init__(self, store, mirror, documents, sources, is_leader):
        super().__init__()
        self._store = store
        self._mirror = mirror
        self._documents = documents
        self._sources = sources
        self._is_leader = is_leader
        self._busy = False
        # When each held key is due.
        self._due_at = {}
        store.epochs.subscribe(lambda epoch: self._due_at.clear())

    @handler("tick", channel="*")
    def _on_tick(self):
        if self._busy or not self._is_leader():
            return
        now = read_boottime()
        wanted = self._list_wanted()
        for key in wanted:
            delay = random.uniform(MIN_DELAY, MAX_DELAY)
            self._due_at.setdefault(key, now + delay)
        due = [key for key in wanted if now >= self._due_at[key]]
        if due:
            self._write(due[0], wanted[due[0]])

    def _list_wanted(self):
        """Return the items to write by key, None for one to delete."""
        wanted = {
            key: self._mirror.in_force.get(key)
            for key in self._mirror.held_until
            if key.startswith(REWRITTEN)
        }
        for key in self._documents.held_until:
            item = self._documents.in_force.get(key)
            shared_key = SHARED_DOCUMENTS + key
            shared = self._mirror.items.get(shared_key)
            is_shared = shared is not None and item and shared.value == item.value
            if item and not is_shared and self._is_document(item):
                wanted[shared_key] = item
        return wanted

    def _is_document(self, item):
        try:
            return self._sources.read_document(item.key, item.value) is not None
        except BadConfiguration:
            return False

    def _write(self, key, item):
        """Write one key with an item's value, or delete it."""
        self._busy = True
        seconds = next((s for p, s in LEASES.items() if key.startswith(p)), None)
        if item is None or seconds is None:
            self._commit(key, item, 0)
            return
        self._store.submit(
            TakeLease(seconds), lambda reply: self._receive_lease(key, item, reply)
        )

    def _receive_lease(self, key, item, reply):
        if isinstance(reply, Leased):
            self._commit(key, item, reply.lease)
        else:
            self._finish(key, reply)

    def _commit(self, key, item, lease):
        stored = self._mirror.items.get(key)
        expect = ((key, stored.revision if stored else 0),)
        if item is None:
            commit = Commit(expect=expect, deletes=(key,))
        else:
            puts = ((key, item.value, lease), *self._make_status(key, item))
            commit = Commit(expect=expect, puts=puts)
        self._store.submit(commit, lambda reply: self._finish(key, reply))

    def _make_status(self, key, item):
        """Return the puts that report a decision to the operator."""
        if not key.startswith(DECISIONS):
            return ()
        decision = decode_decision(key, item.value)
        pool = key.removeprefix(DECISIONS)
        return (self._sources.write_status(pool, decision.target, decision.state),)

    def _finish(self, key, reply):
        # The watch on the store ends the hold; a failed write is due again later.
        self._busy = False
        delay = RETRY_INTERVAL * random.uniform(0.5, 1.5)
        self._due_at[key] = read_boottime() + delay
        if isinstance(reply, Committed):
            log_event("lost item written again", key=key)
