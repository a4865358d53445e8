"""Keep the newest configuration of the store and the peers in force."""

import random
import time

from circuits.core import BaseComponent, handler
from returns.pipeline import is_successful

from .documents import CONFIG_KEY, parse_document, serialise
from .exceptions import BadConfiguration, TooLarge
from .logs import log_event
from .messages import StoreCall
from .revisions import PEERS, Adopted, Ignored, Revisions, RevisionSettings, Stamp


def read_stamp(value):
    """Return the Stamp of a stored document, or raise BadConfiguration.

    The whole document is validated first: an instance must not announce a revision to
    its peers that it can't put in force itself.
    """
    configuration = unwrap(parse_document(value))
    return Stamp(configuration.revision, configuration.operation)


def renumber(value, revision):
    """Return a stored document with another revision."""
    configuration = unwrap(parse_document(value))
    return serialise(configuration._replace(revision=revision))


def unwrap(result):
    """Return the value of a parser's result, or raise its failure."""
    if is_successful(result):
        return result.unwrap()
    raise result.failure()


class Follower(BaseComponent):
    """Run the ``Revisions`` of an instance and configure its dispatcher.

    ``publish`` is called with the revision number and the bytes of each configuration
    that is put in force.
    """

    channel = "follower"

    def __init__(self, cfg, store, publish, dispatcher):
        super().__init__()
        self._store = store
        self._publish = publish
        self._dispatch = dispatcher
        settings = RevisionSettings(key=CONFIG_KEY, watch_wait=cfg.watch_wait)
        self.revisions = Revisions(
            settings, cfg.name, read_stamp, random.Random(), renumber
        )
        store.epochs.subscribe(self._enter_epoch)

    def begin(self, members):
        """Read the configuration from the store and start waiting for the peers."""
        self.revisions.enlist(members)
        self._apply(self.revisions.start(time.monotonic()))

    def enlist(self, members):
        """Set the live entry instances, name to data centre."""
        self.revisions.enlist(members)

    def receive_value(self, value):
        """Handle the bytes of a value that the membership received."""
        try:
            text = value.decode()
        except UnicodeDecodeError as exc:
            self._on_ignored(
                Ignored(PEERS, BadConfiguration(f"not UTF-8: {exc.reason}"))
            )
            return
        self._apply(self.revisions.hear(text, time.monotonic()))

    def explain_not_ready(self):
        """Return a NoConfiguration if no configuration is in force, or None."""
        return self.revisions.explain_not_ready()

    def _enter_epoch(self, epoch):
        log_event("store epoch changed", epoch=epoch)
        self._apply(self.revisions.enter_epoch(epoch))

    @handler("tick", channel="*")
    def _on_tick(self):
        self._apply(self.revisions.tick(time.monotonic()))

    def _on_reply(self, token, reply):
        self._apply(self.revisions.receive(token, reply, time.monotonic()))

    def _apply(self, actions):
        for action in actions:
            APPLIERS[type(action)](self, action)

    def _send_store_call(self, action):
        self._store.send_call(action, self._on_reply)

    def _on_adopted(self, action):
        configuration = unwrap(parse_document(action.value))
        self._dispatch.configure(configuration)
        log_event("configuration in force", revision=configuration.revision)
        # A value that came from the membership is already stored there and starts no
        # rumour.
        try:
            self._publish(action.stamp.revision, action.value.encode())
        except TooLarge as exc:
            # The value was written without the operators' tools, which refuse this
            # size. It stays in force here, and the peers read it from the store.
            # Raising would end the task that communicates with the store.
            log_event("configuration not spread", detail=exc.detail)

    def _on_ignored(self, action):
        detail = action.failure.detail
        log_event("configuration ignored", source=action.source, detail=detail)


APPLIERS = {
    StoreCall: Follower._send_store_call,
    Adopted: Follower._on_adopted,
    Ignored: Follower._on_ignored,
}
