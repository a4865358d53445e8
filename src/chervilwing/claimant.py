"""Claim the idempotency key of a non-idempotent call before it is sent."""

import json
import time

from circuits.core import BaseComponent, handler

from .claim_keys import ClaimKey, ClaimSettings
from .claims import ClaimGranted, ClaimRecorded, ClaimRefused, Ledger
from .exceptions import NOT_RUN
from .exchanges import JSON_TYPE, PROBLEM_TYPE
from .fingerprints import make_fingerprint
from .messages import Forward, StoreCall
from .response_heads import encode_problem
from .segments import Ask, Outcome, Verdict

KEY_HEADER = "idempotency-key"


def encode_outcome(status, content_type, body):
    """Return the outcome to record for a response; a non-UTF-8 body is left out."""
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return Outcome(status, content_type + "\n", whole=False)
    return Outcome(status, f"{content_type}\n{text}")


class Claimant(BaseComponent):
    """Run the ``Ledger`` of an instance for the sessions that need a claim."""

    channel = "claimant"

    def __init__(self, cfg, store, peers):
        super().__init__()
        self._store = store
        self._peers = peers
        self._sessions = {}
        settings = ClaimSettings(run_limit=cfg.request_timeout)
        self._ledger = Ledger(settings, cfg.name)
        peers.subscribe((Ask, Verdict), self._on_peer_message)
        store.epochs.subscribe(self._enter_epoch)

    def _enter_epoch(self, epoch):
        self._apply(self._ledger.enter_epoch(time.time()))

    def enlist(self, names):
        """Set the names of the live entry instances, which may own shards."""
        self._ledger.enlist(names)

    def is_idle(self):
        """Return whether no ask is pending and no claimed request is running.

        A shutdown waits for this, so that no outcome is lost.
        """
        return self._ledger.is_idle()

    def claim(self, session, on_granted):
        """Claim the session's key, then call ``on_granted`` with the session.

        If the claim isn't granted, the caller gets the recorded outcome or an error.
        """
        req = session.exchange.req
        key = ClaimKey(session.target.customer.name, req.headers[KEY_HEADER])
        self._sessions[session.serial] = (session, on_granted)
        session.claimant = self
        fingerprint = make_fingerprint(req)
        self._apply(self._ledger.claim(session.serial, key, fingerprint, time.time()))

    def may_send(self, session):
        """Return whether the session's call may still be sent under its claim."""
        return self._ledger.may_send(session.serial, time.time())

    def settle(self, session, status, content_type, body):
        """Record the response that later requests with the same key get."""
        outcome = encode_outcome(status, content_type, body)
        self._apply(self._ledger.settle(session.serial, outcome, time.time()))

    def record_failure(self, session, exc):
        """Release the key of a call that was not run; record any other failure."""
        self._sessions.pop(session.serial, None)
        if exc.outcome == NOT_RUN:
            self._apply(self._ledger.release(session.serial, time.time()))
            return
        value, _ = encode_problem(exc)
        body = json.dumps(value).encode()
        self.settle(session, exc.status, PROBLEM_TYPE, body)

    @handler("tick", channel="*")
    def _on_tick(self):
        self._apply(self._ledger.tick(time.time()))

    def _on_peer_message(self, sender, message):
        self._apply(self._ledger.hear(sender, message, time.time()))

    def _on_reply(self, token, reply):
        self._apply(self._ledger.receive(token, reply, time.time()))

    def _apply(self, actions):
        for action in actions:
            APPLIERS[type(action)](self, action)

    def _send_store_call(self, action):
        self._store.send_call(action, self._on_reply)

    def _forward(self, action):
        self._peers.send_message(action.instance, action.message)

    def _on_granted(self, action):
        session, on_granted = self._sessions.pop(action.operation, (None, None))
        # The caller may have disconnected or been refused while the claim was written.
        if session is None or session.closed:
            self._apply(self._ledger.release(action.operation, time.time()))
            return
        on_granted(session)

    def _on_recorded(self, action):
        session, _ = self._sessions.pop(action.operation, (None, None))
        if session is None or session.closed:
            return
        content_type, _, body = action.outcome.body.partition("\n")
        headers = session.headers | {"Idempotent-Replay": "true"}
        if not action.outcome.whole:
            headers["X-Answer-Cut"] = "true"
        session.exchange.answer(
            action.outcome.status or 200,
            body.encode(),
            content_type or JSON_TYPE,
            headers,
        )
        session.close()

    def _on_refused(self, action):
        session, _ = self._sessions.pop(action.operation, (None, None))
        if session is not None:
            session.refuse(action.failure)


APPLIERS = {
    StoreCall: Claimant._send_store_call,
    Forward: Claimant._forward,
    ClaimGranted: Claimant._on_granted,
    ClaimRecorded: Claimant._on_recorded,
    ClaimRefused: Claimant._on_refused,
}
