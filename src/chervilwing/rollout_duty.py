"""Decide on roll-outs and store the decisions, on the holder of the duty lease."""

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .instance_reports import add_totals
from .logs import log_event
from .rollouts import (
    Decision,
    decide,
    make_commit,
    may_follow,
    split_answers,
    sum_answers,
)
from .store_calls import Committed
from .store_epochs import get_number

# Seconds between two evaluations of the versions' answers.
EVALUATE_INTERVAL = 0.5


class RolloutDuty(BaseComponent):
    """Advance each roll-out to its final state, one write at a time."""

    channel = "rollout-duty"

    def __init__(self, store, coordinator, gateway, write_status, read_time):
        super().__init__()
        self._store = store
        self._coordinator = coordinator
        self._rollouts = gateway.rollouts
        self._write_status = write_status
        self._read_time = read_time
        self._busy = False
        self._next_evaluation = 0.0

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        if (
            self._busy
            or now < self._next_evaluation
            or not self._rollouts.rollouts_by_pool
        ):
            return
        self._next_evaluation = now + EVALUATE_INTERVAL
        if self._coordinator.duty_lease.fence(now) is None:
            return
        for rollout in self._rollouts.rollouts_by_pool.values():
            if self._advance(rollout):
                return

    def _advance(self, rollout):
        """Write the next state of a roll-out; return whether there is one.

        A decision that the store lost is written again first.
        """
        if rollout.unsaved:
            self._write(rollout, rollout.decision)
            return True
        answers = add_totals(self._rollouts.answers, self._rollouts.peer_answers)
        tried, current = split_answers(answers, rollout)
        now = self._read_time()
        state = decide(rollout, tried, current, now)
        if state is None or not may_follow(rollout.decision, state):
            return False
        began = rollout.decision.began_at if rollout.decision else now
        target = rollout.order.target
        decision = Decision(get_number(rollout.revision), target, state, began)
        log_event(
            "rollout",
            pool=rollout.order.pool,
            target=target,
            state=state,
            seconds=round(now - began, 3),
            tried=dict(zip(("answers", "bad"), sum_answers(tried), strict=True)),
            standing=dict(zip(("answers", "bad"), sum_answers(current), strict=True)),
        )
        self._write(rollout, decision)
        return True

    def _write(self, rollout, decision):
        pool, target, state = rollout.order.pool, decision.target, decision.state
        status = self._write_status(pool, target, state)
        self._busy = True
        self._coordinator.duty_lease.record_act(read_boottime())
        commit = make_commit(rollout, decision, status)
        self._store.submit(commit, lambda reply: self._written(pool, decision, reply))

    def _written(self, pool, decision, reply):
        self._busy = False
        if isinstance(reply, Committed):
            self._rollouts.put_decision(pool, decision, reply.revision)
            return
        # If another instance has decided, or the reply to a successful write was lost,
        # the watch on the store delivers the decision.
        log_event("rollout not written", pool=pool, reply=type(reply).__name__)
