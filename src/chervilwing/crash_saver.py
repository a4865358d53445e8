"""Store crashes of upstreams, so that instances that start later know them."""

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .crash_records import SUSPECTED_FOR
from .logs import log_event
from .store_calls import Commit, Committed, Leased, TakeLease
from .stored_crashes import NoteWrite, encode_crash

# Seconds after a failed write until the next attempt.
RETRY_AFTER = 1.0
# Seconds for which a lease is used for the writes of further crashes.
REUSE_LEASE_FOR = 60.0


class CrashSaver(BaseComponent):
    """Write the crashes that this instance's group detected, one call at a time.

    ``leads`` returns whether this instance leads its group. If the crashes were kept in
    memory only, a crashing request could crash as many upstreams again whenever all
    instances restart together or a new one starts.
    """

    channel = "crash-saver"

    def __init__(self, store, gateway, leads):
        super().__init__()
        self._store = store
        self._stored = gateway.crashes.stored
        self._notes = gateway.crashes.due_notes
        self._leads = leads
        self._lease = 0
        self._lease_until = 0.0
        self._busy = False
        self._next_write = 0.0
        store.epochs.subscribe(self._enter_epoch)

    def _enter_epoch(self, epoch):
        # The store may have lost the lease and granted its number to another instance.
        self._lease_until = 0.0

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        if not self._leads():
            self._stored.drop_writes(now)
            return
        if self._busy or now < self._next_write:
            return
        write = self._stored.pop_write(now) or self._notes.pop_write(now)
        if write is None:
            return
        self._busy = True
        if now < self._lease_until:
            self._write(write)
            return
        self._store.submit(
            TakeLease(SUSPECTED_FOR), lambda reply: self._leased(write, reply)
        )

    def _leased(self, write, reply):
        if not isinstance(reply, Leased):
            self._fail(write, reply)
            return
        self._lease = reply.lease
        self._lease_until = read_boottime() + REUSE_LEASE_FOR
        self._write(write)

    def _write(self, write):
        commit = self._make_commit(write)
        self._store.submit(commit, lambda reply: self._written(write, reply))

    def _make_commit(self, write):
        if isinstance(write, NoteWrite):
            return Commit(puts=tuple((key, b"", self._lease) for key in write.keys))
        key, crash, revision = write
        expect = () if revision is None else ((key, revision),)
        if crash.fingerprints:
            puts = ((key, encode_crash(crash), self._lease),)
            return Commit(expect=expect, puts=puts)
        return Commit(expect=expect, deletes=(key,))

    def _written(self, write, reply):
        if not isinstance(reply, Committed):
            self._fail(write, reply)
            return
        self._busy = False
        if isinstance(write, NoteWrite):
            log_event("crash notes stored", count=len(write.keys))
            return
        count = len(write.crash.fingerprints)
        log_event("crash stored", upstream=write.crash.upstream, suspected=count)

    def _fail(self, write, reply):
        """Schedule the write again; repeating a write that succeeded is harmless."""
        now = read_boottime()
        self._busy = False
        self._next_write = now + RETRY_AFTER
        self._lease_until = 0.0
        if isinstance(write, NoteWrite):
            self._notes.requeue_write(write)
            log_event("crash notes not stored", reply=repr(reply))
            return
        self._stored.requeue_write(write, now)
        upstream = write.crash.upstream
        log_event("crash not stored", upstream=upstream, reply=repr(reply))
