"""The calls of moves in progress, and the requests that they send on."""

from collections import Counter
from functools import partial
from math import inf

from ..clocks import read_boottime
from ..connections import Call, CallHandlers
from ..detours import TUNNEL_TIMEOUT
from ..exceptions import NOT_RUN, ChervilwingError, ConnectionBroken, PathBroken
from ..logs import log_event
from ..registrations import get_process
from .calls import StreamCopy
from .engine_checks import EngineChecks
from .move_state import Action, MoveState, Result, Step

# Seconds that a connection for a call may take to open, and that the last call may
# take: its copy is small, but queued behind others on both links.
CONNECT_TIMEOUT = 0.3
STOP_TIMEOUT = 1.0
# Shortest timeout in seconds of a copy call, whatever is left of the notice.
MIN_COPY_TIMEOUT = 0.3
# Seconds until a call is repeated. After a broken connection, this doubles each time.
REPEAT_INTERVAL = 0.05
# Seconds by which an engine's report may be out of date.
MAX_REPORT_AGE = 0.5
# Seconds to wait for the events that a stopped engine sent before its answer. The
# stream usually ends before the answer; what isn't read by then is generated again.
DRAIN_TIME = 0.05
# Idle seconds after which a connection isn't reused for a call: a broken one would
# leave the call's outcome unknown.
MAX_IDLE = 1.0


class Move:
    """One move of one request: its state, engines and times in seconds.

    ``closed`` is the failure with which the stream ended, while the engine was told to
    stop it or, with ``after_break``, before that. ``ended_in_order`` is set if it
    closed its connection in order instead, which may also be the whole stream's end.
    """

    def __init__(self, relay, source, target, leaves_at, now):
        self.relay = relay
        self.source = source
        self.target = target
        self.leaves_at = leaves_at
        self.state = MoveState(leaves_at)
        self.began_at = self.stopped_at = now
        self.closed = None
        self.after_break = False
        self.ended_in_order = False
        self.due_at, self.due = inf, None
        # The call of the continued request, None before that.
        self.sent_call = None

    @property
    def is_from_backup(self):
        """Return whether the engine that keeps a backup is source and target."""
        return self.source is self.target

    @property
    def may_end_stream(self):
        """Return whether the end of the stream is due to the move."""
        state = self.state
        return state.is_stopping or state.is_continuing and self.sent_call is None


class MoveRunner:
    """Runs the moves of this instance.

    ``moves`` holds those in progress by the name of the leaving engine, and ``ending``
    those that began after a broken connection. ``on_closed`` is called with each other
    Move that has ended.
    """

    def __init__(self, gateway, attempts, client, calls):
        self._gateway = gateway
        self._attempts = attempts
        self._client = client
        self._calls = calls
        self.on_closed = lambda move: None
        self._engine_checks = EngineChecks(gateway, client)
        self.moves = {}
        self.ending = set()
        # How the runs ended whose connections broke off, by the result that showed it.
        self.ended = Counter()
        self.begun = self.completed = 0
        self.failed = Counter()

    def begin(self, move):
        """Begin a move with its first call."""
        self.moves[move.source.name] = move
        self.begun += 1
        self._act(move, move.state.begin())

    def begin_ending(self, move, step):
        """Begin a move with a step after a broken connection."""
        move.after_break = True
        self.ending.add(move)
        self._act(move, move.state.begin_ending(step))

    def run_due_calls(self, now):
        """Make the calls that were put off until now."""
        for move in [*self.moves.values(), *self.ending]:
            if now >= move.due_at:
                self.run_due(move)

    def _act(self, move, action):
        ACTIONS[action](self, move)

    def record(self, move, result, handle=""):
        """Apply a result and do what follows from it."""
        action = move.state.record(result, handle, read_boottime())
        if move.state.run_ended:
            process, relay = get_process(move.source), move.relay
            relay.open_runs = tuple(
                item for item in relay.open_runs if get_process(item) != process
            )
        self._act(move, action)

    def _repeat(self, move, action):
        doublings = move.state.calls - 2 if move.after_break else 0
        self._delay(move, action, REPEAT_INTERVAL * 2**doublings)

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

        self._call(move, call, timeout, handle_answer)

    def _ask(self, move):
        request_id, asked_at = move.relay.demand.request_id, read_boottime()

        def handle_answer(status, body):
            result = self._calls.read_report(status, body, request_id)
            is_old = asked_at - move.began_at < MAX_REPORT_AGE
            if result is Result.STOPPED and move.after_break and is_old:
                # The report may be older than the run.
                result = Result.LOST
            self._handle_answer(move, result)

        self._call(move, self._calls.write_report(), STOP_TIMEOUT, handle_answer)

    def _handle_answer(self, move, result, handle=""):
        """Apply an answer, or free the copy if the request needs it no more."""
        if move.relay.ended or move.state.has_ended:
            move.state.handle = handle or move.state.handle
            move.state.end(move.state.cause or "ended")
            self.close(move)
            return
        self.record(move, result, handle)

    def _handle_unanswered(self, move, exc):
        """Apply the failure of a call, which may show that the engine has ended."""

        def handle_result(gone):
            self._handle_answer(move, Result.GONE if gone else Result.LOST)

        self._engine_checks.check(move.source, exc, handle_result)

    def _call(self, move, call, timeout, on_answer, on_failed=None):
        """Make a call to a move's source."""
        name, now = move.source.name, read_boottime()
        peer = None
        if self._gateway.paths.needs_detour(name):
            peer = self._gateway.tunnel_peers.choose(now)
        parts, answered = [], []
        handlers = CallHandlers(
            head=lambda status, headers: answered.append(status),
            data=parts.append,
            done=lambda: on_answer(answered[0], b"".join(parts)),
            failed=on_failed or partial(self._handle_unanswered, move),
        )
        call = Call(
            move.source.address,
            *call,
            connect_timeout=CONNECT_TIMEOUT if peer is None else TUNNEL_TIMEOUT,
            silence_timeout=timeout,
            probe_if_silent=False,
            max_idle_time=MAX_IDLE,
            via=peer,
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
        if not relay.events.can_resume:
            self.record(move, Result.NOT_STARTED)
            return
        state = relay.pool.upstream_states.get(registration.name)
        if state is None or not self._may_begin(move, registration, state):
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

    def _may_begin(self, move, registration, state):
        """Return whether an engine may get a request now.

        One that leaves gets only its own run back, which it has stopped.
        """
        known = state.registration
        if get_process(known) != get_process(registration):
            return False
        is_own_run = registration is move.source and not move.is_from_backup
        return is_own_run or not known.leaving

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
        self.record_open_run(relay, exc)
        self._attempts.end_attempt(relay, failed=True)
        self.record(move, Result.NOT_STARTED)

    def record_open_run(self, relay, exc):
        """Record that an engine may still work on a request after a failed attempt.

        A request without an id of its caller's can't be named to the engine, and one
        behind a lost tunnel isn't reached.
        """
        has_id = relay.headers.get("x-request-id") == relay.demand.request_id
        if exc.outcome == NOT_RUN or isinstance(exc, PathBroken) or not has_id:
            return
        relay.open_runs += (relay.upstream_state.registration,)

    def _leave(self, move):
        """End a move; a stream that was stopped counts as failed."""
        relay, state = move.relay, move.state
        if not move.after_break or state.cause == Result.NOT_STARTED.value:
            relay.refused_targets += (move.target.name,)
        self.close(move)
        if move.sent_call is None and not move.ended_in_order and relay.call:
            return
        if move.ended_in_order and state.cause == Result.NO_RUN.value:
            self._attempts.handle_done(relay)
            return
        if relay.call is not None:
            self._attempts.end_attempt(relay, failed=None, cancel=True)
        relay.may_have_run = True
        exc = move.closed or ConnectionBroken("The stream ended during its move.")
        if state.run_ended:
            self._attempts.recover(relay, exc)
        elif not move.after_break:
            relay.open_runs += (move.source,)
            self._attempts.recover(relay, exc)
        elif state.cause == Result.NOT_OFFERED.value and relay.route.repeatable:
            relay.open_runs = ()
            self._attempts.recover(relay, exc)
        else:
            self._attempts.give_up(relay, exc)

    def close(self, move):
        """Remove a move from those in progress, and free a copy that wasn't used."""
        if self.moves.get(move.source.name) is move:
            del self.moves[move.source.name]
        state, now = move.state, read_boottime()
        if state.cause and state.handle and not move.is_from_backup:
            self._free_copy(move)
        if move.is_from_backup:
            return
        if move.after_break:
            self._close_ending(move)
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

    def _close_ending(self, move):
        """Record how a run ended whose connection broke off."""
        self.ending.discard(move)
        result = move.state.cause or "continued"
        self.ended[result] += 1
        log_event(
            "earlier run ended" if move.state.run_ended else "earlier run not ended",
            request=move.relay.demand.request_id,
            upstream=move.source.name,
            result=result,
            calls=move.state.calls,
            seconds=round(read_boottime() - move.began_at, 4),
        )

    def _free_copy(self, move):
        """Free a copy at both engines; its time limit does so if the call fails."""
        call = self._calls.write_free(move.state.handle)
        ignore = lambda *args: None
        self._call(move, call, STOP_TIMEOUT, ignore, ignore)


ACTIONS = {
    Action.COPY: MoveRunner._copy,
    Action.COPY_LATER: partial(MoveRunner._repeat, action=Action.COPY),
    Action.STOP: MoveRunner._stop,
    Action.STOP_LATER: partial(MoveRunner._repeat, action=Action.STOP),
    Action.ASK: MoveRunner._ask,
    Action.ASK_LATER: partial(MoveRunner._repeat, action=Action.ASK),
    Action.SEND_TO_TARGET: MoveRunner._send_to_target,
    Action.SEND_TO_SOURCE: MoveRunner._send_to_target,
    Action.SEND_NOW: MoveRunner._send_now,
    Action.LEAVE: MoveRunner._leave,
    Action.DONE: MoveRunner.close,
}
