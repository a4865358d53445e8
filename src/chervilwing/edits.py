"""Commit an edit of the configuration to the key-value service, without I/O.

``Commit`` is a state machine: its caller sends each request that it returns and passes
it the reply. The value under CONFIG_KEY is replaced by compare-and-swap. Before
revision N is replaced it is copied to the history. So the history has no gap even if a
writer dies in between, and a writer that got no reply can look for its operation id in
the current value and in the history.
"""

from typing import NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from .changes import (
    EMPTY_CONFIGURATION,
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

STORE_SCOPE = Scope("platform", "key-value service")
CONFIGURATION_SCOPE = Scope("configuration", CONFIG_KEY)
# How many times one request is sent before the service is reported as down. With a
# pause of a second between attempts an operator waits for seconds, not minutes.
MAX_SENDS = 4
# How many times one edit is prepared and written before the tool gives up. At a load of
# 580 changes a day two operators rarely write at the same time; this many lost races in
# a row mean that a script writes without pause.
MAX_WRITE_ATTEMPTS = 16

READING, ARCHIVING, WRITING, VERIFYING = "reading", "archiving", "writing", "settling"


class Edit(NamedTuple):
    """Changes to a base revision, with a unique operation id."""

    base: Configuration
    changes: tuple[Change, ...]
    operation: str
    author: str = ""
    edited_at: str = ""


class Committed(NamedTuple):
    """The stored configuration after an edit.

    ``changed`` is false if the store already had the edit's values, ``rebased`` true if
    the edit was applied on top of a later revision than its base.
    """

    configuration: Configuration
    changed: bool = True
    rebased: bool = False


class Done(NamedTuple):
    """The final result of a Commit, in place of a further request."""

    result: Result[Committed, ChervilwingError]


def make_history_key(revision):
    """Return the key of a replaced revision in the history."""
    return f"{HISTORY_PREFIX}{revision:08d}"


class Commit:
    """State of one edit while it is committed.

    ``empty_configuration`` is the configuration to edit if none is stored. If the
    history shows that a configuration was deleted, it must have the deleted revision's
    number: instances keep using the deleted revision and ignore lower ones.
    ``in_doubt`` is true after a write without a reply, until it is known whether the
    write took effect.
    """

    def __init__(self, edit, empty_configuration=EMPTY_CONFIGURATION):
        self.edit = edit
        self.current = empty_configuration
        self.current_text = ""
        self.version = ABSENT
        self.desired = None
        self.desired_text = ""
        self.state = READING
        self.request = None
        self.sends = 0
        self.write_attempts = 0
        self.in_doubt = False

    def start(self) -> StoreRequest | Done:
        """Return the first request, or Done if the edit is invalid on its own base."""
        try:
            # Only checks the edit, before the first request.
            self._serialise_checked(self._apply_edit(self.edit.base))
        except BadConfiguration as exc:
            return Done(Failure(exc))
        return self._send(READING, Read(CONFIG_KEY))

    def receive(self, reply) -> StoreRequest | Done:
        """Return the next request after a reply, or Done."""
        if isinstance(reply, Unanswered):
            return self._resend()
        handle = TRANSITIONS.get((self.state, type(reply)))
        if handle is None:
            return self._give_up(
                f"unexpected {type(reply).__name__} while {self.state}"
            )
        try:
            return handle(self, reply)
        except (BadConfiguration, EditConflict) as exc:
            return self._give_up(str(exc)) if self.in_doubt else Done(Failure(exc))

    def _send(self, state, request):
        self.state, self.request, self.sends = state, request, 1
        return request

    def _resend(self):
        """Return the same request again, or Done after MAX_SENDS attempts.

        Resending a write whose reply was lost is safe: the same expected version lets
        it take effect at most once. If the first write took effect, the second is
        rejected, and this edit's operation id is in the current value, or in the
        history if another revision has followed.
        """
        self.in_doubt = self.in_doubt or self.state == WRITING
        if self.sends >= MAX_SENDS:
            return self._give_up("no answer from the key-value service")
        self.sends += 1
        return self.request

    def _give_up(self, reason):
        outcome = UNKNOWN if self.in_doubt else NOT_RUN
        text = f"{reason}; operation {self.edit.operation}"
        if self.in_doubt:
            text += f" may be stored as revision {self.desired.revision}"
        return Done(Failure(PlatformDown(text, scope=STORE_SCOPE, outcome=outcome)))

    def _set_current(self, text, version):
        result = parse_document(text)
        if not is_successful(result):
            raise result.failure()
        self.current, self.current_text = result.unwrap(), text
        self.version = version

    def _on_found(self, reply):
        self._set_current(reply.value, reply.version)
        return self._prepare_write()

    def _prepare_write(self):
        """Apply the edit to the current revision; return the request to archive it.

        Returns the write itself if no configuration is stored, and Done if the edit is
        already stored or changes nothing.
        """
        if self.current.revision and self.current.operation == self.edit.operation:
            return self._finish(self.current)
        self.write_attempts += 1
        if self.write_attempts > MAX_WRITE_ATTEMPTS:
            raise EditConflict(
                f"lost {MAX_WRITE_ATTEMPTS} write races in a row",
                scope=CONFIGURATION_SCOPE,
            )
        desired = self._rebase()
        if not find_changes(self.current, desired):
            return Done(Success(Committed(self.current, changed=False)))
        self.desired, self.desired_text = desired, self._serialise_checked(desired)
        if self.version == ABSENT:
            return self._write()
        key = make_history_key(self.current.revision)
        return self._send(ARCHIVING, Write(key, self.current_text, ABSENT))

    def _rebase(self):
        """Return the current configuration with the edit's changes applied.

        Raises EditConflict if another operator changed the same entries, or if both
        edits together are invalid.
        """
        edit = self.edit
        overlaps = find_overlaps(edit.base, edit.changes, self.current)
        if overlaps:
            names = ", ".join(f"{item.section}.{item.name}" for item in overlaps)
            raise self._make_conflict(f"{names} changed", overlaps)
        merged = self._apply_edit(self.current)
        try:
            return check_configuration(merged)
        except BadConfiguration as exc:
            # The edit is valid on its own base but not on the current revision, for
            # example because it uses a pool that another operator removed.
            raise self._make_conflict(f"invalid together: {exc}", ()) from exc

    def _apply_edit(self, cfg):
        edit = self.edit
        return apply_changes(cfg, edit.changes)._replace(
            revision=max(cfg.revision, edit.base.revision) + 1,
            operation=edit.operation,
            author=edit.author,
            at=edit.edited_at,
        )

    def _serialise_checked(self, cfg):
        """Return the text to store, after checking that it can be parsed.

        An author's name with a line break, for example, would make a value that no
        instance can parse. All instances would stay on the old revision, and no later
        edit could replace the value.
        """
        text = serialise(cfg)
        result = parse_document(text)
        if not is_successful(result):
            raise result.failure()
        return text

    def _make_conflict(self, reason, overlaps):
        author = self.current.author or "someone"
        text = (
            f"{reason}: revision {self.current.revision} by {author} conflicts with "
            f"this edit, which is based on revision {self.edit.base.revision}"
        )
        return EditConflict(text, scope=CONFIGURATION_SCOPE, overlaps=overlaps)

    def _on_archived(self, reply):
        return self._write()

    def _on_archive_exists(self, reply):
        """Write the edit if the archived revision has the expected text.

        Another writer archived it, or an earlier request of this edit whose reply was
        lost.
        """
        if reply.value != self.current_text:
            raise EditConflict(
                f"history holds a different revision {self.current.revision}",
                scope=CONFIGURATION_SCOPE,
            )
        return self._write()

    def _write(self):
        request = Write(CONFIG_KEY, self.desired_text, self.version)
        return self._send(WRITING, request)

    def _on_written(self, reply):
        return self._finish(self.desired)

    def _on_rejected(self, reply):
        if not reply.value:
            raise EditConflict(
                "the configuration was deleted", scope=CONFIGURATION_SCOPE
            )
        self._set_current(reply.value, reply.version)
        replaced = self.current.revision > self.desired.revision
        if self.in_doubt and replaced:
            return self._send(VERIFYING, Read(make_history_key(self.desired.revision)))
        return self._prepare_new_write()

    def _prepare_new_write(self):
        """Prepare a new write on the current revision.

        The stored version has changed, so an earlier write without a reply can no
        longer take effect.
        """
        self.in_doubt = False
        return self._prepare_write()

    def _on_history_found(self, reply):
        result = parse_document(reply.value)
        if is_successful(result) and result.unwrap().operation == self.edit.operation:
            return self._finish(result.unwrap())
        return self._prepare_new_write()

    def _on_history_missing(self, reply):
        return self._prepare_new_write()

    def _finish(self, cfg):
        rebased = cfg.revision != self.edit.base.revision + 1
        return Done(Success(Committed(cfg, rebased=rebased)))


TRANSITIONS = {
    (READING, Found): Commit._on_found,
    (READING, Missing): lambda commit, reply: commit._prepare_write(),
    (ARCHIVING, Written): Commit._on_archived,
    (ARCHIVING, Rejected): Commit._on_archive_exists,
    (WRITING, Written): Commit._on_written,
    (WRITING, Rejected): Commit._on_rejected,
    (VERIFYING, Found): Commit._on_history_found,
    (VERIFYING, Missing): Commit._on_history_missing,
}
