"""Claims to keys: non-idempotent work runs at most once across entry instances.

The ways weighed and the figures are in docs/design/AT-MOST-ONCE.md.
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
    judge_claim,
)

# Owners tried before the instance writes by itself.
MAX_HOPS = 2


class ClaimGranted(NamedTuple):
    """The request may be sent, to start and end before ``run_until`` (Unix seconds)."""

    operation: str
    key: ClaimKey
    run_until: float


class ClaimRecorded(NamedTuple):
    """The key has run; this is the answer that its caller gets."""

    operation: str
    key: ClaimKey
    outcome: Outcome


class ClaimRefused(NamedTuple):
    """The request must not be sent; the failure says why."""

    operation: str
    key: ClaimKey
    failure: ChervilwingError


class Pending:
    """An ask of this instance that has no verdict yet."""

    def __init__(self, ask, give_up_at):
        self.ask = ask
        self.give_up_at = give_up_at
        self.hops = 0
        self.owner = None
        self.sent = False
        self.received = False
        self.resend_at = math.inf


class Ledger:
    """The claims that this instance holds, and those that it writes for others.

    Every ``operation`` must be unique among all instances and restarts. After a
    ``ClaimGranted`` the caller settles, or releases if no byte has been sent.
    """

    def __init__(self, cfg, instance):
        self.cfg = cfg
        self.instance = instance
        self._writer = Writer(cfg, instance)
        self._members = (instance,)
        self._owners = {}
        self._suspects = {}
        self._pending = {}
        self._held = {}
        self._by_key = {}
        self._abandoned = {}
        self._sweep_at = 0.0

    def enlist(self, members):
        """Take the entry instances that may own shards; disagreement costs writes."""
        self._members = tuple(sorted({*members, self.instance}))
        self._owners.clear()

    def claim(self, operation, key, fingerprint, now):
        """Ask for the right to run a key; the actions tell, now or later."""
        try:
            place = locate(self.cfg, key, now)
        except (BadKey, KeyExpired) as exc:
            return (ClaimRefused(operation, key, exc),)
        run_until = now + self.cfg.run_limit
        ask = Ask(CLAIM, key, place, operation, fingerprint, self.instance, run_until)
        first = self._by_key.get(key)
        if first == operation:
            return ()
        if first is not None:
            return self._answer_here(first, ask, now)
        self._by_key[key] = operation
        return self._start(ask, now + self.cfg.claim_wait, now)

    def settle(self, operation, outcome, now):
        """Record the answer of a granted claim; a body over the limit is left out."""
        ask = self._held.get(operation)
        if ask is None or ask.outcome is not None or now > ask.run_until:
            return ()
        if len(outcome.body) > self.cfg.outcome_limit:
            outcome = outcome._replace(body="", whole=False)
        ask = self._held[operation] = ask._replace(kind=SETTLE, outcome=outcome)
        return self._start(ask, ask.run_until, now)

    def release(self, operation, now):
        """Free the key of a claim whose request was not sent and never will be."""
        ask = self._held.get(operation)
        if ask is not None and ask.outcome is None:
            del self._held[operation]
            return self._abandon(ask, now)
        pending = self._pending.get((operation, CLAIM))
        return self._abandon(pending.ask, now) if pending else ()

    def may_start(self, operation, now):
        """Tell whether a granted claim still lets its request be sent."""
        ask = self._held.get(operation)
        return ask is not None and ask.outcome is None and now < ask.run_until

    def is_idle(self):
        """Tell whether nothing is asked, running or waiting to be recorded."""
        running = any(ask.outcome is None for ask in self._held.values())
        return not self._pending and not running

    def hear(self, sender, message, now):
        """Take an ask or a verdict from another instance."""
        self._suspects.pop(sender, None)
        if isinstance(message, Verdict):
            return self._conclude(message, sender, now)
        if self._is_stale(message, now):
            return ()
        actions = self._take(self._writer.submit(sender, message, now), now)
        if any(_answers(action, sender, message) for action in actions):
            return actions
        receipt = Verdict(message.kind, message.operation, QUEUED)
        return (*actions, Forward(sender, receipt))

    def receive(self, token, reply, now):
        """Take the store's reply to a call."""
        return self._take(self._writer.receive(token, reply, now), now)

    def tick(self, now):
        """Do what time has made due; call it every 10 to 50 ms."""
        if now >= self._sweep_at:
            self._sweep(now)
        actions = list(self._take(self._writer.tick(now), now))
        for name, pending in list(self._pending.items()):
            if self._pending.get(name) is not pending:
                continue
            if now >= pending.give_up_at:
                actions += self._give_up(pending, now)
            elif now >= pending.resend_at:
                actions += self._pass_over(pending, now)
        return tuple(actions)

    def _answer_here(self, first, ask, now):
        pending = self._pending.get((first, CLAIM))
        known = pending.ask if pending else self._held[first]
        claim = Claim(
            known.operation,
            known.fingerprint,
            known.holder,
            known.run_until,
            known.outcome,
        )
        verdict = judge_claim(claim, ask, now, self.cfg.skew)
        return self._report(ask, verdict)

    def _start(self, ask, give_up_at, now):
        pending = Pending(ask, give_up_at)
        self._pending[ask.operation, ask.kind] = pending
        return self._route(pending, now)

    def _route(self, pending, now):
        ask = pending.ask
        pending.owner = self._find_owner(ask.place.shard, now)
        if pending.hops >= MAX_HOPS:
            pending.owner = self.instance
        if pending.owner != self.instance:
            pending.sent = True
            pending.resend_at = now + self.cfg.owner_wait
            return (Forward(pending.owner, ask),)
        pending.sent = pending.sent or not self._writer.down
        pending.resend_at = math.inf
        return self._take(self._writer.submit(self.instance, ask, now), now)

    def _find_owner(self, shard, now):
        if shard not in self._owners:
            self._owners[shard] = rank(f"claims/{shard}", self._members)
        ranked = self._owners[shard]
        trusted = (name for name in ranked if self._suspects.get(name, 0.0) <= now)
        return next(trusted, self.instance)

    def _pass_over(self, pending, now):
        # A frozen or cut off owner shows as silence. Another instance may write the
        # same ask: its operation id makes the second write a repeat of the first.
        if not pending.received:
            self._suspects[pending.owner] = now + self.cfg.suspect_for
        pending.received = False
        pending.hops += 1
        return self._route(pending, now)

    def _give_up(self, pending, now):
        if pending.ask.kind != CLAIM:
            del self._pending[pending.ask.operation, pending.ask.kind]
            return ()
        return self._decline(pending, now)

    def _take(self, outputs, now):
        actions = []
        for output in outputs:
            if not isinstance(output, Answer):
                actions.append(output)
            elif output.asker == self.instance:
                actions += self._conclude(output.verdict, self.instance, now)
            else:
                actions.append(Forward(output.asker, output.verdict))
        return tuple(actions)

    def _conclude(self, verdict, sender, now):
        pending = self._pending.get((verdict.operation, verdict.kind))
        if pending is None:
            return self._take_stray(verdict, now)
        if verdict.state == QUEUED:
            self._wait_on(pending, now)
            return ()
        if verdict.state == DECLINED and sender != self.instance:
            pending.hops = MAX_HOPS
            return self._route(pending, now)
        # Granted after a pause: the caller may have gone and sent it elsewhere.
        late = verdict.state == GRANTED and now >= pending.give_up_at
        if verdict.state == DECLINED or late:
            return self._decline(pending, now)
        del self._pending[verdict.operation, verdict.kind]
        return self._report(pending.ask, verdict)

    def _wait_on(self, pending, now):
        # The owner is alive, so it is the store that is slow: if all others wrote the
        # ask too, they would race on the slow store. A claim has only its own time
        # limit left, an outcome goes elsewhere in case the owner dies with it.
        pending.received = True
        again = math.inf if pending.ask.kind == CLAIM else now + self.cfg.suspect_for
        pending.resend_at = again

    def _take_stray(self, verdict, now):
        # A thawed owner writes a claim that was given up long ago. Only a claim this
        # very process refused as not run is freed: of any other, one granted before
        # a restart for example, the request may have been sent.
        ask = self._abandoned.get(verdict.operation)
        if ask is None or verdict.state != GRANTED:
            return ()
        return self._abandon(ask, now)

    def _report(self, ask, verdict):
        if verdict.state == DONE:
            return ()
        if verdict.state == GRANTED:
            self._held[ask.operation] = ask
            return (ClaimGranted(ask.operation, ask.key, ask.run_until),)
        self._drop(ask)
        if verdict.state == RECORDED:
            return (ClaimRecorded(ask.operation, ask.key, verdict.outcome),)
        failure = self._explain(ask.key, verdict.state)
        return (ClaimRefused(ask.operation, ask.key, failure),)

    def _explain(self, key, state):
        kind, detail = REFUSALS[state]
        wait = self.cfg.progress_wait if state in RETRIED else None
        return kind(detail, scope=Scope("key", key.uuid), retry_after=wait)

    def _decline(self, pending, now):
        ask = pending.ask
        failure = PlatformDown(
            "the claim can't be written",
            scope=Scope("key", ask.key.uuid),
            retry_after=self._writer.back_in(now),
        )
        refusal = ClaimRefused(ask.operation, ask.key, failure)
        if pending.sent:
            return (refusal, *self._abandon(ask, now))
        self._drop(ask)
        return (refusal,)

    def _abandon(self, ask, now):
        """Free the key, which may be written or not, of an ask that never ran."""
        self._drop(ask)
        ask = self._abandoned[ask.operation] = ask._replace(kind=RELEASE)
        return self._start(ask, ask.run_until, now)

    def _drop(self, ask):
        self._pending.pop((ask.operation, CLAIM), None)
        if self._by_key.get(ask.key) == ask.operation:
            del self._by_key[ask.key]

    def _is_stale(self, ask, now):
        # An owner that was frozen reads asks that their sender gave up on.
        asked = ask.run_until - self.cfg.run_limit
        return ask.kind == CLAIM and now > asked + self.cfg.claim_wait + self.cfg.skew

    def _sweep(self, now):
        self._sweep_at = now + self.cfg.progress_wait
        for known in (self._held, self._abandoned):
            self._forget(known, now)

    def _forget(self, known, now):
        # Past this time no reader grants, settles or frees the claim any more.
        too_late = now - 2 * self.cfg.skew
        for operation, ask in list(known.items()):
            if ask.run_until >= too_late:
                continue
            del known[operation]
            self._drop(ask)


def _answers(action, sender, ask):
    if not isinstance(action, Forward) or action.instance != sender:
        return False
    return action.message.operation == ask.operation


RETRIED = {IN_PROGRESS, FULL}
REFUSALS = {
    EXPIRED: (KeyExpired, "the key is older than the kept window"),
    FULL: (ClaimsFull, "no room for this claim; take a new key"),
    IN_PROGRESS: (InProgress, "a first request with this key is running"),
    LOST: (OutcomeUnknown, "the instance that ran this key vanished"),
    REUSED: (KeyReused, "the key came with a different request before"),
}
