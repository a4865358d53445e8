"""Keep the newest configuration in force: store, membership and dispatcher."""

import random
import time

from circuits.core import BaseComponent, handler
from returns.pipeline import is_successful

from .documents import CONFIG_KEY, parse_document
from .exceptions import BadConfiguration, TooLarge
from .logs import log_event
from .messages import StoreCall
from .revisions import PEERS, Adopted, Ignored, Revisions, RevisionSettings, Stamp


def read_stamp(value):
    """Return the revision and operation of a stored document, or raise.

    Guard: the whole document is checked before its revision counts. One that this
    version can't read must not be announced to peers as one that is in force here.
    """
    configuration = unwrap(parse_document(value))
    return Stamp(configuration.revision, configuration.operation)


def unwrap(result):
    """Return what a parser found, or raise its failure."""
    if is_successful(result):
        return result.unwrap()
    raise result.failure()


class Follower(BaseComponent):
    """Drive the revisions of one instance.

    ``publish`` takes the number and the bytes of each value that came into force.
    """

    channel = "follower"

    def __init__(self, cfg, store, publish, dispatcher):
        super().__init__()
        self._store = store
        self._publish = publish
        self._dispatch = dispatcher
        settings = RevisionSettings(key=CONFIG_KEY, watch_wait=cfg.watch_wait)
        self.revisions = Revisions(settings, cfg.name, read_stamp, random.Random())

    def begin(self, members):
        """Ask the store for the configuration, and wait for the peers."""
        self.revisions.enlist(members)
        self._apply(self.revisions.start(time.monotonic()))

    def enlist(self, members):
        """Take the live entry instances, name to data centre."""
        self.revisions.enlist(members)

    def hear(self, value):
        """Take the bytes of a value that the membership brought."""
        try:
            text = value.decode()
        except UnicodeDecodeError as exc:
            self._ignore(Ignored(PEERS, BadConfiguration(f"not UTF-8: {exc.reason}")))
            return
        self._apply(self.revisions.hear(text, time.monotonic()))

    def explain_not_ready(self):
        """Return why there is no configuration in force, or None."""
        return self.revisions.explain_not_ready()

    @handler("tick", channel="*")
    def _on_tick(self):
        self._apply(self.revisions.tick(time.monotonic()))

    def _received(self, token, reply):
        self._apply(self.revisions.receive(token, reply, time.monotonic()))

    def _apply(self, actions):
        for action in actions:
            APPLIERS[type(action)](self, action)

    def _call(self, action):
        self._store.carry(action, self._received)

    def _adopt(self, action):
        configuration = unwrap(parse_document(action.value))
        self._dispatch.configure(configuration)
        log_event("configuration in force", revision=configuration.revision)
        # One that the membership brought has its number already and starts no rumour.
        try:
            self._publish(action.stamp.revision, action.value.encode())
        except TooLarge as exc:
            # Written past our tools, which refuse it: it holds here, the peers read the
            # store themselves. Raised, it would end the task that talks to the store.
            log_event("configuration not spread", detail=exc.detail)

    def _ignore(self, action):
        detail = action.failure.detail
        log_event("configuration ignored", source=action.source, detail=detail)


APPLIERS = {
    StoreCall: Follower._call,
    Adopted: Follower._adopt,
    Ignored: Follower._ignore,
}
