"""Commit an edit of the configuration: store replies in, store requests out.

The value under CONFIG_KEY is replaced by compare-and-swap. Before revision N is
replaced it is copied to history, so the history has no gap whenever a writer dies, and
a writer whose answer was lost finds its operation in the current value or in history.
"""

from typing import NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from .changes import (
    EMPTY,
    Change,
    apply_changes,
    find_changes,
    find_overlaps,
)
from .documents import (
    CONFIG_KEY,
    HISTORY_PREFIX,
    check_configuration,
    parse_document,
    serialise,
)
from .exceptions import (
    NOT_RUN,
    UNKNOWN,
    BadConfiguration,
    ChervilwingError,
    EditConflict,
    PlatformDown,
    Scope,
)
from .messages import (
    ABSENT,
    Found,
    Missing,
    Read,
    Rejected,
    StoreRequest,
    Unanswered,
    Write,
    Written,
)
from .models import Configuration

STORE = Scope("platform", "key-value service")
DOCUMENT = Scope("configuration", CONFIG_KEY)
# A request is sent this often before the service counts as down: with a pause of a
# second between tries an operator waits seconds, not minutes.
TRIES = 4
# At 580 changes a day (letter 1) two operators rarely meet; this many lost races in a
# row mean that a script writes without pause.
ROUNDS = 16

READING, ARCHIVING, WRITING, SETTLING = "reading", "archiving", "writing", "settling"


class Edit(NamedTuple):
    """Changes against a base revision, under an operation id of their own."""

    base: Configuration
    changes: tuple[Change, ...]
    operation: str
    author: str = ""
    at: str = ""


class Committed(NamedTuple):
    """The configuration now in the store; not ``changed`` if it stood there before."""

    configuration: Configuration
    changed: bool = True
    rebased: bool = False


class Done(NamedTuple):
    """The end of an edit."""

    result: Result[Committed, ChervilwingError]


def history_key(revision):
    """Return the key under which a replaced revision is kept."""
    return f"{HISTORY_PREFIX}{revision:08d}"


class Commit:
    """State of one edit on its way into the store.

    ``empty`` stands for a store without a configuration. Where history shows that one
    was deleted, its revision must be the deleted one's: instances hold that revision
    and would ignore a lower one.
    """

    def __init__(self, edit, empty=EMPTY):
        self.edit = edit
        self.current = empty
        self.current_text = ""
        self.version = ABSENT
        self.wanted = None
        self.wanted_text = ""
        self.state = READING
        self.request = None
        self.tries = 0
        self.rounds = 0
        self.in_doubt = False

    def start(self) -> StoreRequest | Done:
        """Return the first request, or Done if the edit is wrong in itself."""
        try:
            self._make_text(self._merge(self.edit.base))
        except BadConfiguration as exc:
            return Done(Failure(exc))
        return self._send(READING, Read(CONFIG_KEY))

    def receive(self, reply) -> StoreRequest | Done:
        """Return the next request, or Done."""
        if isinstance(reply, Unanswered):
            return self._repeat()
        handle = TRANSITIONS.get((self.state, type(reply)))
        if handle is None:
            return self._give_up(f"{type(reply).__name__} while {self.state}")
        try:
            return handle(self, reply)
        except (BadConfiguration, EditConflict) as exc:
            return self._give_up(str(exc)) if self.in_doubt else Done(Failure(exc))

    def _send(self, state, request):
        self.state, self.request, self.tries = state, request, 1
        return request

    def _repeat(self):
        """Send the same request again.

        Guards against a write whose answer is lost. The same value under the same
        expected version can take effect once at most: if the first one did, the second
        is rejected and shows our operation, or a later revision with ours in history.
        """
        self.in_doubt = self.in_doubt or self.state == WRITING
        if self.tries >= TRIES:
            return self._give_up("no answer")
        self.tries += 1
        return self.request

    def _give_up(self, reason):
        outcome = UNKNOWN if self.in_doubt else NOT_RUN
        text = f"{reason}; operation {self.edit.operation}"
        if self.in_doubt:
            text += f" may stand as revision {self.wanted.revision}"
        return Done(Failure(PlatformDown(text, scope=STORE, outcome=outcome)))

    def _take_current(self, text, version):
        result = parse_document(text)
        if not is_successful(result):
            raise result.failure()
        self.current, self.current_text = result.unwrap(), text
        self.version = version

    def _on_found(self, reply):
        self._take_current(reply.value, reply.version)
        return self._plan()

    def _plan(self):
        """Check the edit on what stands now, then make its old revision last."""
        if self.current.revision and self.current.operation == self.edit.operation:
            return self._finish(self.current)
        self.rounds += 1
        if self.rounds > ROUNDS:
            raise EditConflict(f"lost {ROUNDS} races in a row", scope=DOCUMENT)
        wanted = self._rebase()
        if not find_changes(self.current, wanted):
            return Done(Success(Committed(self.current, changed=False)))
        self.wanted, self.wanted_text = wanted, self._make_text(wanted)
        if self.version == ABSENT:
            return self._write()
        key = history_key(self.current.revision)
        return self._send(ARCHIVING, Write(key, self.current_text, ABSENT))

    def _rebase(self):
        """Return the current configuration with the edit's changes made."""
        edit = self.edit
        overlaps = find_overlaps(edit.base, edit.changes, self.current)
        if overlaps:
            names = ", ".join(f"{item.section}.{item.name}" for item in overlaps)
            raise self._make_conflict(f"{names} changed", overlaps)
        merged = self._merge(self.current)
        try:
            return check_configuration(merged)
        except BadConfiguration as exc:
            # Right on its own base, wrong on top of theirs: a pool that they removed.
            raise self._make_conflict(f"together: {exc}", ()) from exc

    def _merge(self, cfg):
        edit = self.edit
        return apply_changes(cfg, edit.changes)._replace(
            revision=max(cfg.revision, edit.base.revision) + 1,
            operation=edit.operation,
            author=edit.author,
            at=edit.at,
        )

    def _make_text(self, cfg):
        """Return the stored form, read back first.

        Guards against a value that no instance could read, by an author's name with a
        line break for example: all would stay on the old revision, and no later edit
        could replace it.
        """
        text = serialise(cfg)
        result = parse_document(text)
        if not is_successful(result):
            raise result.failure()
        return text

    def _make_conflict(self, reason, overlaps):
        who = self.current.author or "someone"
        text = (
            f"{reason}: revision {self.current.revision} by {who} against this edit of "
            f"revision {self.edit.base.revision}"
        )
        return EditConflict(text, scope=DOCUMENT, overlaps=overlaps)

    def _on_archived(self, reply):
        return self._write()

    def _on_archive_taken(self, reply):
        """Go on if another writer, or our own lost try, has archived the same."""
        if reply.value != self.current_text:
            raise EditConflict(
                f"history holds another revision {self.current.revision}",
                scope=DOCUMENT,
            )
        return self._write()

    def _write(self):
        request = Write(CONFIG_KEY, self.wanted_text, self.version)
        return self._send(WRITING, request)

    def _on_written(self, reply):
        return self._finish(self.wanted)

    def _on_rejected(self, reply):
        if not reply.value:
            raise EditConflict("the configuration was deleted", scope=DOCUMENT)
        self._take_current(reply.value, reply.version)
        replaced = self.current.revision > self.wanted.revision
        if self.in_doubt and replaced:
            return self._send(SETTLING, Read(history_key(self.wanted.revision)))
        return self._settle()

    def _settle(self):
        """Plan again: the version moved on, so the write in doubt can't land now."""
        self.in_doubt = False
        return self._plan()

    def _on_history(self, reply):
        result = parse_document(reply.value)
        if is_successful(result) and result.unwrap().operation == self.edit.operation:
            return self._finish(result.unwrap())
        return self._settle()

    def _on_no_history(self, reply):
        return self._settle()

    def _finish(self, cfg):
        rebased = cfg.revision != self.edit.base.revision + 1
        return Done(Success(Committed(cfg, rebased=rebased)))


TRANSITIONS = {
    (READING, Found): Commit._on_found,
    (READING, Missing): lambda commit, reply: commit._plan(),
    (ARCHIVING, Written): Commit._on_archived,
    (ARCHIVING, Rejected): Commit._on_archive_taken,
    (WRITING, Written): Commit._on_written,
    (WRITING, Rejected): Commit._on_rejected,
    (SETTLING, Found): Commit._on_history,
    (SETTLING, Missing): Commit._on_no_history,
}
