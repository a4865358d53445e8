"""Claim idempotency keys, so that non-idempotent work runs at most once in the fleet.

The alternatives considered and the figures are in docs/design/AT-MOST-ONCE.md.
"""

import math
from typing import NamedTuple

from .claim_keys import ClaimKey, locate
from .claim_writer import Answer, Writer
from .exceptions import (
    BadKey,
    ChervilwingError,
    ClaimsFull,
    InProgress,
    KeyExpired,
    KeyReused,
    OutcomeUnknown,
    PlatformDown,
    Scope,
)
from .messages import Forward
from .ranking import rank
from .segments import (
    CLAIM,
    DECLINED,
    DONE,
    EXPIRED,
    FULL,
    GRANTED,
    IN_PROGRESS,
    LOST,
    QUEUED,
    RECORDED,
    RELEASE,
    REUSED,
    SETTLE,
    Ask,
    Claim,
    Outcome,
    Verdict,
    evaluate_claim,
)

# Owners that an instance sends an ask to before it writes to the store itself.
MAX_OWNERS_TRIED = 2


class ClaimGranted(NamedTuple):
    """Allow the request to be sent; it must end before ``run_until`` (Unix seconds)."""

    operation: str
    key: ClaimKey
    run_until: float


class ClaimRecorded(NamedTuple):
    """Report that the request of this key has run; the caller gets its outcome."""

    operation: str
    key: ClaimKey
    outcome: Outcome


class ClaimRefused(NamedTuple):
    """Forbid sending the request, for the reason in ``failure``."""

    operation: str
    key: ClaimKey
    failure: ChervilwingError


class PendingAsk:
    """Hold an ``Ask`` of this instance that has no verdict yet."""

    def __init__(self, ask, give_up_at):
        self.ask = ask
        self.give_up_at = give_up_at
        self.owners_tried = 0
        self.owner = None
        self.maybe_written = False
        self.acknowledged = False
        self.resend_at = math.inf


class Ledger:
    """Manage the claims that this instance holds and those it writes for its peers.

    An ``operation`` id must be unique across all instances and restarts. After a
    ``ClaimGranted`` call ``settle``, or ``release`` if no byte has been sent.
    """

    def __init__(self, cfg, instance):
        self.cfg = cfg
        self.instance = instance
        self._writer = Writer(cfg, instance)
        self._members = (instance,)
        self._owners = {}
        self._suspected_until = {}
        self._pending = {}
        self._held = {}
        self._by_key = {}
        self._abandoned = {}
        self._sweep_at = 0.0

    def enlist(self, members):
        """Set the entry instances that may own shards.

        Instances may hold different lists: that only costs rejected writes.
        """
        self._members = tuple(sorted({*members, self.instance}))
        self._owners.clear()

    def enter_epoch(self, now):
        """Write the known claims again that a restored store lacks; return actions."""
        return self._apply_outputs(self._writer.enter_epoch(now), now)

    def claim(self, operation, key, fingerprint, now):
        """Claim a key, so that its request may be sent; return actions.

        The result (ClaimGranted, ClaimRecorded or ClaimRefused) is among these actions
        or those of a later call.
        """
        try:
            place = locate(self.cfg, key, now)
        except (BadKey, KeyExpired) as exc:
            return (ClaimRefused(operation, key, exc),)
        run_until = now + self.cfg.run_limit
        ask = Ask(CLAIM, key, place, operation, fingerprint, self.instance, run_until)
        earlier = self._by_key.get(key)
        if earlier == operation:
            return ()
        if earlier is not None:
            return self._answer_from_own_claims(earlier, ask, now)
        self._by_key[key] = operation
        return self._start(ask, now + self.cfg.claim_timeout, now)

    def settle(self, operation, outcome, now):
        """Record the outcome of a granted claim; a body over the limit is left out."""
        ask = self._held.get(operation)
        if ask is None or ask.outcome is not None or now > ask.run_until:
            return ()
        if len(outcome.body) > self.cfg.outcome_limit:
            outcome = outcome._replace(body="", whole=False)
        ask = self._held[operation] = ask._replace(kind=SETTLE, outcome=outcome)
        return self._start(ask, ask.run_until, now)

    def release(self, operation, now):
        """Release the key of a claim whose request was not sent and never will be."""
        ask = self._held.get(operation)
        if ask is not None and ask.outcome is None:
            del self._held[operation]
            return self._abandon(ask, now)
        pending = self._pending.get((operation, CLAIM))
        return self._abandon(pending.ask, now) if pending else ()

    def may_send(self, operation, now):
        """Return whether the request of a granted claim may still be sent."""
        ask = self._held.get(operation)
        return ask is not None and ask.outcome is None and now < ask.run_until

    def is_idle(self):
        """Return whether no ask is pending and no claimed request is running."""
        running = any(ask.outcome is None for ask in self._held.values())
        return not self._pending and not running

    def hear(self, sender, message, now):
        """Handle an ``Ask`` or ``Verdict`` from another instance; return actions."""
        self._suspected_until.pop(sender, None)
        if isinstance(message, Verdict):
            return self._handle_verdict(message, sender, now)
        if self._is_stale(message, now):
            return ()
        actions = self._apply_outputs(self._writer.submit(sender, message, now), now)
        if any(_is_verdict_for(action, sender, message) for action in actions):
            return actions
        receipt = Verdict(message.kind, message.operation, QUEUED)
        return (*actions, Forward(sender, receipt))

    def receive(self, token, reply, now):
        """Handle the store's reply to a call; return actions."""
        return self._apply_outputs(self._writer.receive(token, reply, now), now)

    def tick(self, now):
        """Perform due writes, retries and timeouts; call it every 10 to 50 ms."""
        if now >= self._sweep_at:
            self._sweep(now)
        actions = list(self._apply_outputs(self._writer.tick(now), now))
        for name, pending in list(self._pending.items()):
            if self._pending.get(name) is not pending:
                continue
            if now >= pending.give_up_at:
                actions += self._time_out(pending, now)
            elif now >= pending.resend_at:
                actions += self._try_next_owner(pending, now)
        return tuple(actions)

    def _answer_from_own_claims(self, earlier, ask, now):
        pending = self._pending.get((earlier, CLAIM))
        own = pending.ask if pending else self._held[earlier]
        claim = Claim(
            own.operation,
            own.fingerprint,
            own.holder,
            own.run_until,
            own.outcome,
        )
        verdict = evaluate_claim(claim, ask, now, self.cfg.skew)
        return self._report_verdict(ask, verdict)

    def _start(self, ask, give_up_at, now):
        pending = PendingAsk(ask, give_up_at)
        self._pending[ask.operation, ask.kind] = pending
        return self._route(pending, now)

    def _route(self, pending, now):
        ask = pending.ask
        pending.owner = self._find_owner(ask.place.shard, now)
        if pending.owners_tried >= MAX_OWNERS_TRIED:
            pending.owner = self.instance
        if pending.owner != self.instance:
            pending.maybe_written = True
            pending.resend_at = now + self.cfg.owner_timeout
            return (Forward(pending.owner, ask),)
        pending.maybe_written = pending.maybe_written or not self._writer.down
        pending.resend_at = math.inf
        return self._apply_outputs(self._writer.submit(self.instance, ask, now), now)

    def _find_owner(self, shard, now):
        if shard not in self._owners:
            self._owners[shard] = rank(f"claims/{shard}", self._members)
        ranked = self._owners[shard]
        candidates = (
            name for name in ranked if self._suspected_until.get(name, 0.0) <= now
        )
        return next(candidates, self.instance)

    def _try_next_owner(self, pending, now):
        # A frozen or unreachable owner doesn't reply. Another instance may write the
        # same ask: the operation id makes the second write a repeat of the first.
        if not pending.acknowledged:
            self._suspected_until[pending.owner] = now + self.cfg.suspect_time
        pending.acknowledged = False
        pending.owners_tried += 1
        return self._route(pending, now)

    def _time_out(self, pending, now):
        if pending.ask.kind != CLAIM:
            del self._pending[pending.ask.operation, pending.ask.kind]
            return ()
        return self._decline(pending, now)

    def _apply_outputs(self, outputs, now):
        actions = []
        for output in outputs:
            if not isinstance(output, Answer):
                actions.append(output)
            elif output.asker == self.instance:
                actions += self._handle_verdict(output.verdict, self.instance, now)
            else:
                actions.append(Forward(output.asker, output.verdict))
        return tuple(actions)

    def _handle_verdict(self, verdict, sender, now):
        pending = self._pending.get((verdict.operation, verdict.kind))
        if pending is None:
            return self._release_stray_grant(verdict, now)
        if verdict.state == QUEUED:
            self._extend_wait(pending, now)
            return ()
        if verdict.state == DECLINED and sender != self.instance:
            pending.owners_tried = MAX_OWNERS_TRIED
            return self._route(pending, now)
        # Granted after a pause of this process: the caller may have given up and sent
        # the request to another instance.
        late = verdict.state == GRANTED and now >= pending.give_up_at
        if verdict.state == DECLINED or late:
            return self._decline(pending, now)
        del self._pending[verdict.operation, verdict.kind]
        return self._report_verdict(pending.ask, verdict)

    def _extend_wait(self, pending, now):
        # The owner is alive, so the store is slow; writes of the same ask by other
        # instances would only add load to it. A claim waits until its own timeout. An
        # outcome is resent to another instance later, in case the owner dies.
        pending.acknowledged = True
        retry_at = (
            math.inf if pending.ask.kind == CLAIM else now + self.cfg.suspect_time
        )
        pending.resend_at = retry_at

    def _release_stray_grant(self, verdict, now):
        # An owner that was frozen may write a claim long after it was abandoned.
        # Release only claims that this process refused as not run. The request of any
        # other claim, such as one granted before a restart, may have been sent.
        ask = self._abandoned.get(verdict.operation)
        if ask is None or verdict.state != GRANTED:
            return ()
        return self._abandon(ask, now)

    def _report_verdict(self, ask, verdict):
        if verdict.state == DONE:
            return ()
        if verdict.state == GRANTED:
            self._held[ask.operation] = ask
            return (ClaimGranted(ask.operation, ask.key, ask.run_until),)
        self._unregister(ask)
        if verdict.state == RECORDED:
            return (ClaimRecorded(ask.operation, ask.key, verdict.outcome),)
        failure = self._make_failure(ask.key, verdict.state)
        return (ClaimRefused(ask.operation, ask.key, failure),)

    def _make_failure(self, key, state):
        kind, detail = REFUSALS[state]
        wait = self.cfg.retry_after if state in RETRYABLE else None
        return kind(detail, scope=Scope("key", key.uuid), retry_after=wait)

    def _decline(self, pending, now):
        ask = pending.ask
        failure = PlatformDown(
            "the claim can't be written",
            scope=Scope("key", ask.key.uuid),
            retry_after=self._writer.retry_delay(now),
        )
        refusal = ClaimRefused(ask.operation, ask.key, failure)
        if pending.maybe_written:
            return (refusal, *self._abandon(ask, now))
        self._unregister(ask)
        return (refusal,)

    def _abandon(self, ask, now):
        """Release a key whose request was not sent; its claim may have been written."""
        self._unregister(ask)
        ask = self._abandoned[ask.operation] = ask._replace(kind=RELEASE)
        return self._start(ask, ask.run_until, now)

    def _unregister(self, ask):
        self._pending.pop((ask.operation, CLAIM), None)
        if self._by_key.get(ask.key) == ask.operation:
            del self._by_key[ask.key]

    def _is_stale(self, ask, now):
        # After a freeze, an owner reads claims whose senders have already timed out.
        asked_at = ask.run_until - self.cfg.run_limit
        return (
            ask.kind == CLAIM
            and now > asked_at + self.cfg.claim_timeout + self.cfg.skew
        )

    def _sweep(self, now):
        self._sweep_at = now + self.cfg.retry_after
        for asks in (self._held, self._abandoned):
            self._drop_expired(asks, now)

    def _drop_expired(self, asks, now):
        # After this time no instance grants, settles or releases the claim any more.
        cutoff = now - 2 * self.cfg.skew
        for operation, ask in list(asks.items()):
            if ask.run_until >= cutoff:
                continue
            del asks[operation]
            self._unregister(ask)


def _is_verdict_for(action, sender, ask):
    if not isinstance(action, Forward) or action.instance != sender:
        return False
    return action.message.operation == ask.operation


RETRYABLE = {IN_PROGRESS, FULL}
REFUSALS = {
    EXPIRED: (KeyExpired, "the key is older than the time for which keys are kept"),
    FULL: (ClaimsFull, "the segment of this key is full; use a new key"),
    IN_PROGRESS: (InProgress, "an earlier request with this key is still running"),
    LOST: (
        OutcomeUnknown,
        "the instance that ran this request stopped without recording an outcome",
    ),
    REUSED: (KeyReused, "the key was used with a different request before"),
}
