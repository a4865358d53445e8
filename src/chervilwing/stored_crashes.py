"""Crashes of upstreams in the platform's store, and the writes that are due.

An item holds one crash: its key contains the upstream and the writing instance, its
value the fingerprints of the suspected requests.
"""

from itertools import islice
from typing import NamedTuple

from .crash_causes import CrashNote
from .exceptions import BadConfiguration
from .fingerprints import RETRY_DIGEST_SIZE

# Prefix of the keys of crashes; the upstream and the writer follow.
CRASHES = "chervilwing/instances-crashes/"
# Stands before each fingerprint of a CrashNote, in place of the upstream. Its item has
# no value: to an older instance it is a crash that nobody is suspected of.
NOTE_MARK = "~"
# Seconds until a crash is written, so that the suspicions of other instances are
# included and most requests that were in flight beside the cause have been answered.
COLLECT_FOR = 2.0
# Seconds until a crash is written if one of its requests is already suspected of
# another crash.
COLLECT_REPEATED_FOR = 0.4
# Seconds until a stored crash is rewritten without the requests cleared since: by the
# instance that wrote it, and by other instances in case the writer is gone.
REWRITE_AFTER = 2.0
REWRITE_BY_PEERS_AFTER = 5.0
# Seconds for which an instance that doesn't lead its group keeps due writes, as it may
# become the leader in that time.
KEEP_DUE_FOR = 3.0
# Seconds between two checks for new CrashNotes, and after which one is written again:
# half of the time for which a crash is stored.
NOTE_INTERVAL = 1.0
RENEW_NOTE_AFTER = 300.0
# CrashNotes of one writer in the store, and those of one call.
MAX_NOTES = 128
MAX_NOTES_AT_ONCE = 32
# Requests stored with one crash, so that a crash fits into one datagram.
MAX_FINGERPRINTS = 128
# Number of crashes in the store at which no further crashes are added.
MAX_STORED = 256


class StoredCrash(NamedTuple):
    """An upstream that crashed, and the fingerprints of the suspected requests."""

    upstream: str
    fingerprints: tuple[str, ...]


class CrashWrite(NamedTuple):
    """A write of a StoredCrash, or its deletion if it has no fingerprints.

    ``revision`` is the revision that the key must have for the write to succeed, or
    None for a key that no other instance writes.
    """

    key: str
    crash: StoredCrash
    revision: int | None = None


class NoteWrite(NamedTuple):
    """A write of CrashNotes, whose keys say all."""

    keys: tuple[str, ...]


class DueNotes:
    """CrashNotes that one instance has to write; times are seconds on one clock.

    ``list_notes(now)`` returns those that hold.
    """

    def __init__(self, name, list_notes):
        self._name = name
        self._list_notes = list_notes
        # The times of the last writes by key.
        self._written = {}
        self._next_check = 0.0

    def pop_write(self, now):
        """Return a NoteWrite that is due now, or None."""
        if now < self._next_check:
            return None
        self._next_check = now + NOTE_INTERVAL
        self._written = {
            key: at for key, at in self._written.items() if now - at < RENEW_NOTE_AFTER
        }
        keys = (make_note_key(note, self._name) for note in self._list_notes(now))
        room = min(MAX_NOTES - len(self._written), MAX_NOTES_AT_ONCE)
        due = tuple(islice((key for key in keys if key not in self._written), room))
        self._written.update(dict.fromkeys(due, now))
        return NoteWrite(due) if due else None

    def requeue_write(self, write):
        """Schedule a failed write again."""
        for key in write.keys:
            self._written.pop(key, None)


class StoredCrashes:
    """Stored crashes and due writes of one instance; times are seconds on one clock.

    ``count_crashes(fingerprint, upstream)`` returns the number of crashes that a
    request is suspected of, or 0 if it isn't suspected of this upstream's crash.
    """

    def __init__(self, name, count_crashes):
        self._name = name
        self._count_crashes = count_crashes
        # Crashes to be written by this instance: due time and requests, by upstream.
        self._unsaved = {}
        # Due times of rewrites of stored crashes, by key.
        self._rewrites = {}
        # Stored crashes and their revisions by key, and sets of keys by fingerprint.
        self._crashes = {}
        self._revisions = {}
        self._keys = {}

    def update(self, key, crash, revision):
        """Update the crash stored under a key; ``crash`` is None if it was deleted.

        Return the previous StoredCrash, or None.
        """
        if crash is not None and self._is_own(key) and key in self._crashes:
            # This may be an older write of this instance; applying it would undo what
            # was written since.
            return None
        self._revisions[key] = revision
        if crash is None:
            del self._revisions[key]
        return self._replace_crash(key, crash)

    def collect(self, fingerprint, upstream, now):
        """Schedule the write of a request that is suspected of a crash."""
        due, found = self._unsaved.get(upstream, (now + COLLECT_FOR, {}))
        found[fingerprint] = None
        self._unsaved[upstream] = (due, found)

    def expedite(self, upstreams, now):
        """Move the writes of these upstreams' crashes forward."""
        for name in self._unsaved.keys() & upstreams:
            due, found = self._unsaved[name]
            self._unsaved[name] = (min(due, now + COLLECT_REPEATED_FOR), found)

    def schedule_rewrite(self, fingerprint, now):
        """Schedule rewrites of the crashes that a request is no longer suspected of."""
        for key in self._keys.get(fingerprint, ()):
            wait = REWRITE_AFTER if self._is_own(key) else REWRITE_BY_PEERS_AFTER
            self._rewrites.setdefault(key, now + wait)

    def pop_write(self, now):
        """Remove and return a CrashWrite that is due now, or return None."""
        write = self._pop_unsaved(now) or self._pop_rewrite(now)
        if write is not None and write.revision is None:
            self._replace_crash(write.key, write.crash)
        return write

    def requeue_write(self, write, now):
        """Schedule a failed write again, except deletions and writes to peers' keys."""
        if write.revision is not None or not write.crash.fingerprints:
            return
        self._replace_crash(write.key, None)
        _, found = self._unsaved.get(write.crash.upstream, (now, {}))
        found = dict.fromkeys([*found, *write.crash.fingerprints])
        self._unsaved[write.crash.upstream] = (now, found)

    def drop_writes(self, now):
        """Drop overdue writes, as the leader of this instance's group makes them."""
        for upstream, (due, _) in list(self._unsaved.items()):
            if now >= due + KEEP_DUE_FOR:
                del self._unsaved[upstream]
        for key, due in list(self._rewrites.items()):
            if now >= due + KEEP_DUE_FOR:
                del self._rewrites[key]

    def _is_own(self, key):
        return key.endswith(f"/{self._name}")

    def _replace_crash(self, key, crash):
        """Set the crash stored under a key and return the previous one."""
        before = self._crashes.pop(key, None)
        for fingerprint in before.fingerprints if before else ():
            self._keys[fingerprint].discard(key)
            if not self._keys[fingerprint]:
                del self._keys[fingerprint]
        if crash is not None and crash.fingerprints:
            self._crashes[key] = crash
            for fingerprint in crash.fingerprints:
                self._keys.setdefault(fingerprint, set()).add(key)
        return before

    def _pop_unsaved(self, now):
        due = [name for name, (at, _) in self._unsaved.items() if now >= at]
        for upstream in due:
            _, found = self._unsaved.pop(upstream)
            key = make_key(upstream, self._name)
            stored = self._crashes.get(key, StoredCrash(upstream, ()))
            found = self._select(
                upstream, dict.fromkeys([*stored.fingerprints, *found])
            )
            has_room = key in self._crashes or len(self._crashes) < MAX_STORED
            if has_room and set(found) - set(stored.fingerprints):
                return CrashWrite(key, StoredCrash(upstream, found))
        return None

    def _pop_rewrite(self, now):
        due = [key for key, at in self._rewrites.items() if now >= at]
        for key in due:
            del self._rewrites[key]
            stored = self._crashes.get(key)
            if stored is None:
                continue
            found = self._select(stored.upstream, stored.fingerprints)
            if set(found) != set(stored.fingerprints):
                revision = None if self._is_own(key) else self._revisions[key]
                return CrashWrite(key, StoredCrash(stored.upstream, found), revision)
        return None

    def _select(self, upstream, fingerprints):
        """Return the fingerprints still suspected of a crash, most suspected first."""
        counts = {item: self._count_crashes(item, upstream) for item in fingerprints}
        found = [item for item, count in counts.items() if count]
        return tuple(sorted(found, key=counts.get, reverse=True)[:MAX_FINGERPRINTS])


def make_key(upstream, writer):
    """Return the key under which an instance stores an upstream's crash."""
    return f"{CRASHES}{upstream}/{writer}"


def make_note_key(note, writer):
    """Return the key under which an instance stores a CrashNote."""
    return make_key("".join(NOTE_MARK + part for part in note if part), writer)


def find_note(crash):
    """Return the CrashNote of an item that was read as a StoredCrash, or None."""
    mark, *parts = crash.upstream.split(NOTE_MARK)
    if mark or crash.fingerprints or not 0 < len(parts) <= len(CrashNote._fields):
        return None
    return CrashNote(*parts)


def encode_crash(crash):
    """Return the stored value of a crash: its fingerprints as bytes."""
    return b"".join(map(bytes.fromhex, crash.fingerprints))


def decode_crash(key, data):
    """Return the StoredCrash of a key and its value, or raise BadConfiguration."""
    upstream, _, writer = key.removeprefix(CRASHES).rpartition("/")
    if not upstream or not writer or len(data) % RETRY_DIGEST_SIZE:
        raise BadConfiguration(f"{key}: no crash of an upstream")
    starts = range(0, len(data), RETRY_DIGEST_SIZE)
    found = tuple(data[start : start + RETRY_DIGEST_SIZE].hex() for start in starts)
    return StoredCrash(upstream, found)
