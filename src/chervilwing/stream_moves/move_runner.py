"""The calls of moves in progress, and the requests that they send on."""

from collections import Counter
from functools import partial
from math import inf

from ..clocks import read_boottime
from ..connections import Call, CallHandlers
from ..exceptions import ChervilwingError, ConnectionBroken
from ..logs import log_event
from ..registrations import get_process
from .calls import StreamCopy
from .move_state import Action, MoveState, Result, Step

# Seconds that a connection for a call may take to open, and that the last call may
# take: its copy is small, but queued behind others on both links.
CONNECT_TIMEOUT = 0.3
STOP_TIMEOUT = 1.0
# Shortest timeout in seconds of a copy call, whatever is left of the notice.
MIN_COPY_TIMEOUT = 0.3
# Seconds until a call is repeated.
REPEAT_INTERVAL = 0.05
# Seconds to wait for the events that a stopped engine sent before its answer. The
# stream usually ends before the answer; what isn't read by then is generated again.
DRAIN_TIME = 0.05
# Idle seconds after which a connection isn't reused for a call: a broken one would
# leave the call's outcome unknown.
MAX_IDLE = 1.0


class Move:
    """One move of one request: its state, engines and times in seconds.

    ``closed`` is the failure with which the stream ended while the engine was told to
    stop it. ``ended_in_order`` is set if it closed its connection in order instead,
    which may also be the whole stream's end.
    """

    def __init__(self, relay, source, target, leaves_at, now):
        self.relay = relay
        self.source = source
        self.target = target
        self.leaves_at = leaves_at
        self.state = MoveState(leaves_at)
        self.began_at = self.stopped_at = now
        self.closed = None
        self.ended_in_order = False
        self.due_at, self.due = inf, None
        # The call of the continued request, None before that.
        self.sent_call = None

    @property
    def may_end_stream(self):
        """Return whether the end of the stream is due to the move."""
        state = self.state
        return state.is_stopping or state.is_continuing and self.sent_call is None


class MoveRunner:
    """Runs the moves of this instance.

    ``moves`` holds those in progress by the name of the leaving engine. ``on_closed``
    is called with each Move that has ended.
    """

    def __init__(self, gateway, attempts, client, calls):
        self._gateway = gateway
        self._attempts = attempts
        self._client = client
        self._calls = calls
        self.on_closed = lambda move: None
        self.moves = {}
        self.begun = self.completed = 0
        self.failed = Counter()

    def begin(self, move):
        """Begin a move with its first call."""
        self.moves[move.source.name] = move
        self.begun += 1
        self._act(move, move.state.begin())

    def run_due_calls(self, now):
        """Make the calls that were put off until now."""
        for move in list(self.moves.values()):
            if now >= move.due_at:
                self.run_due(move)

    def _act(self, move, action):
        ACTIONS[action](self, move)

    def record(self, move, result, handle=""):
        """Apply a result and do what follows from it."""
        action = move.state.record(result, handle, read_boottime())
        self._act(move, action)

    def _delay(self, move, action, seconds):
        move.due_at, move.due = read_boottime() + seconds, action

    def run_due(self, move):
        """Do now what was put off, unless the request has ended."""
        action, move.due, move.due_at = move.due, None, inf
        if move.relay.ended or move.state.has_ended:
            move.state.end(move.state.cause or "ended")
            self.close(move)
            return
        self._act(move, action)

    def _copy(self, move):
        timeout = max(MIN_COPY_TIMEOUT, move.leaves_at - read_boottime())
        self._call_copy(move, timeout, last=False)

    def _stop(self, move):
        move.stopped_at = read_boottime()
        self._call_copy(move, STOP_TIMEOUT, last=True)

    def _call_copy(self, move, timeout, last):
        request_id, target = move.relay.demand.request_id, move.target.address
        call = self._calls.write_copy(request_id, target, last)

        def handle_answer(status, body):
            self._handle_answer(move, *self._calls.read_copy(status, body))

        self._call(move.source.address, call, timeout, handle_answer)

    def _ask(self, move):
        request_id = move.relay.demand.request_id

        def handle_answer(status, body):
            result = self._calls.read_report(status, body, request_id)
            self._handle_answer(move, result)

        call = self._calls.write_report()
        self._call(move.source.address, call, STOP_TIMEOUT, handle_answer)

    def _handle_answer(self, move, result, handle=""):
        """Apply an answer, or free the copy if the request needs it no more."""
        if move.relay.ended or move.state.has_ended:
            move.state.handle = handle or move.state.handle
            move.state.end(move.state.cause or "ended")
            self.close(move)
            return
        self.record(move, result, handle)

    def _call(self, address, call, timeout, on_answer):
        """Make a call; an answer without a result has the status 0."""
        parts, answered = [], []
        handlers = CallHandlers(
            head=lambda status, headers: answered.append(status),
            data=parts.append,
            done=lambda: on_answer(answered[0], b"".join(parts)),
            failed=lambda exc: on_answer(0, b""),
        )
        call = Call(
            address,
            *call,
            connect_timeout=CONNECT_TIMEOUT,
            silence_timeout=timeout,
            probe_if_silent=False,
            max_idle_time=MAX_IDLE,
        )
        self._client.submit(call, handlers)

    def _send_to_target(self, move):
        """Send the request on, once the events of the stopped engine are read."""
        relay = move.relay
        is_open = relay.call is not None and not move.ended_in_order
        if is_open and not relay.exchange.congested and move.sent_call is None:
            self._delay(move, Action.SEND_NOW, DRAIN_TIME)
            return
        self._send_now(move)

    def _send_now(self, move):
        at_target = move.state.step is Step.AT_TARGET
        self.send(move, move.target if at_target else move.source)

    def send(self, move, registration):
        """Send the request on to an engine, from the copy."""
        relay, now = move.relay, read_boottime()
        if relay.call is not None:
            self._attempts.end_attempt(relay, failed=None, cancel=True)
        relay.may_have_run = True
        relay.events.restart()
        state = relay.pool.upstream_states.get(registration.name)
        if state is None or get_process(state.registration) != (
            get_process(registration)
        ):
            self.record(move, Result.NOT_STARTED)
            return
        estimate = relay.pool.estimate(state, relay.demand, now)
        # It is admitted first and has its prompt already.
        estimate = estimate._replace(prefill=0, queued_tokens=0)
        try:
            self._gateway.check_send(relay, (state, estimate), now)
        except ChervilwingError:
            self.record(move, Result.NOT_STARTED)
            return
        relay.copy = StreamCopy(move.source.address, move.state.handle)
        self._attempts.send(relay, (state, estimate))
        # The route's attempts don't count this one.
        relay.attempts -= 1
        relay.copy, move.sent_call = None, relay.call

    def handle_closed(self, move, exc):
        """Note the end of a stream whose engine was told to stop it."""
        move.closed, move.relay.may_have_run = exc, True
        self._attempts.end_attempt(move.relay, failed=None)
        if move.due is not None and move.state.is_continuing:
            self.run_due(move)

    def handle_send_failure(self, move, exc):
        """Go on after an engine that didn't begin to answer the continued request."""
        relay = move.relay
        log_event(
            "stream not continued",
            request=relay.demand.request_id,
            upstream=relay.upstream_state.registration.name,
            outcome=exc.outcome,
            detail=exc.detail,
        )
        self._attempts.end_attempt(relay, failed=True)
        self.record(move, Result.NOT_STARTED)

    def _leave(self, move):
        """End a move; a stream that was stopped counts as failed."""
        relay = move.relay
        relay.refused_targets += (move.target.name,)
        self.close(move)
        if move.sent_call is None and not move.ended_in_order and relay.call:
            return
        if move.ended_in_order and move.state.cause == Result.NO_RUN.value:
            self._attempts.handle_done(relay)
            return
        if relay.call is not None:
            self._attempts.end_attempt(relay, failed=None, cancel=True)
        relay.may_have_run = True
        exc = move.closed or ConnectionBroken("The stream ended during its move.")
        self._attempts.recover(relay, exc)

    def close(self, move):
        """Remove a move from those in progress, and free a copy that wasn't used."""
        if self.moves.get(move.source.name) is move:
            del self.moves[move.source.name]
        state, now = move.state, read_boottime()
        is_backup = move.source is move.target
        if state.cause and state.handle and not is_backup:
            call = self._calls.write_free(state.handle)
            address = move.source.address
            self._call(address, call, STOP_TIMEOUT, lambda status, body: None)
        if is_backup:
            return
        if state.cause:
            self.failed[state.cause] += 1
        else:
            self.completed += 1
        log_event(
            "stream move ended",
            request=move.relay.demand.request_id,
            upstream=move.source.name,
            target=move.target.name,
            cause=state.cause,
            events=move.relay.events.count,
            seconds=round(now - move.began_at, 4),
            stopped=round(now - move.stopped_at, 4),
        )
        self.on_closed(move)


ACTIONS = {
    Action.COPY: MoveRunner._copy,
    Action.COPY_LATER: partial(
        MoveRunner._delay, action=Action.COPY, seconds=REPEAT_INTERVAL
    ),
    Action.STOP: MoveRunner._stop,
    Action.STOP_LATER: partial(
        MoveRunner._delay, action=Action.STOP, seconds=REPEAT_INTERVAL
    ),
    Action.ASK: MoveRunner._ask,
    Action.SEND_TO_TARGET: MoveRunner._send_to_target,
    Action.SEND_TO_SOURCE: MoveRunner._send_to_target,
    Action.SEND_NOW: MoveRunner._send_now,
    Action.LEAVE: MoveRunner._leave,
    Action.DONE: MoveRunner.close,
}
