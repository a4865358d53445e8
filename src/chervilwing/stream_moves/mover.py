"""Moves of running streams off leaving engines, and their way on from a copy."""

from collections import defaultdict

from ..bodies import CLOSE_FRAMING
from ..clocks import read_boottime
from ..exceptions import ConnectionBroken, EventOutOfOrder, UpstreamFailed
from ..gateway_settings import AUTO
from ..logs import log_event
from ..registrations import get_process
from .backups import Backups
from .candidates import list_candidates, make_stream
from .move_runner import Move, MoveRunner
from .move_state import Result, Step
from .planner import choose_move, choose_target, list_cut_off

# Seconds left until a request's deadline below which it isn't worth a move.
MIN_TIME_LEFT = 0.3
# Targets that may refuse one stream.
MAX_TARGETS = 2
# Seconds for which an engine is asked to end a run whose connection broke off. Callers
# give up a stream after a pause of two seconds.
MAX_ENDING_TIME = 1.5
# Part of the bound on leaving upstreams that is left when this instance learns of one.
USABLE_NOTICE = 0.8
# Seconds for which an engine is remembered that should have ended, so that a repeated
# registration begins no second notice.
REMEMBERED_FOR = 30.0


class Mover:
    """Moves the streams of this instance, one at a time for each leaving engine."""

    def __init__(self, gateway, attempts, client, calls):
        self._gateway = gateway
        self._attempts = attempts
        self._has_calls = calls is not None
        self._runner = MoveRunner(gateway, attempts, client, calls)
        self._runner.on_closed = self._begin_after
        # Leaving engines and when they end, by process.
        self._leaving = {}
        self.backups = Backups(gateway)

    def is_active(self, pool, now):
        """Return whether this part is active for a pool."""
        engine = pool.spec.engine
        if engine is None or not self._has_calls:
            return False
        if self._gateway.cfg.stream_moves != AUTO:
            return False
        return (engine.moves or engine.backups) and pool.paces.is_active(now)

    def handle_leaving(self, registration, now):
        """Note when a leaving engine ends, and begin to move its streams."""
        if not registration.leaving:
            return
        leaves_in = registration.leaves_in
        if leaves_in is None and registration.reclaimable:
            # A reclaimed engine that states no time serves for at least this bound.
            leaves_in = self._gateway.cfg.leave_bound * USABLE_NOTICE
        if leaves_in is None:
            return
        process = get_process(registration)
        leaves_at = now + leaves_in
        known = self._leaving.get(process)
        # A repeated registration may be an old one.
        if known is not None:
            leaves_at = min(leaves_at, known[1])
        self._leaving[process] = registration, leaves_at
        self._begin_next(registration, leaves_at, now)

    def begin_answer(self, relay, now):
        """Follow a stream's events from the start of its answer."""
        if not self.is_active(relay.pool, now):
            return
        # An engine knows a run by the id that the caller gave it.
        relay.begin_following(relay.headers.get("x-request-id"))

    def advance(self, now):
        """Make the calls that are due, and begin moves; called at each tick."""
        self._runner.run_due_calls(now)
        if not self._leaving:
            return
        relays = defaultdict(list)
        for relay in self._gateway.relays:
            if relay.call is not None:
                relays[relay.upstream_state.registration.name].append(relay)
        for process, (registration, leaves_at) in list(self._leaving.items()):
            if now >= leaves_at + REMEMBERED_FOR:
                del self._leaving[process]
            elif now < leaves_at and registration.name in relays:
                found = relays[registration.name]
                self._begin_next(registration, leaves_at, now, found)

    def is_moving(self, relay):
        """Return whether a move of a request's stream is in progress."""
        return relay.move is not None and not relay.move.state.has_ended

    def is_sent_on(self, relay):
        """Return whether a request's current attempt continues an earlier one."""
        move = relay.move
        return move is not None and relay.call is move.sent_call is not None

    def handle_failure(self, relay, exc):
        """Handle a failed attempt if it belongs to a move; return whether it does."""
        move = relay.move
        if move is None or move.state.has_ended:
            return False
        if self.is_sent_on(relay):
            self._runner.handle_send_failure(move, exc)
            return True
        if move.may_end_stream:
            self._runner.handle_closed(move, exc)
            return True
        # The engine may have crashed; its stream goes on elsewhere or is lost.
        move.state.end("lost")
        return False

    def handle_ended_in_order(self, relay):
        """Return whether a stream that ended with its connection isn't known whole."""
        move = relay.move
        if move is None or relay.framing != CLOSE_FRAMING:
            return False
        if not move.may_end_stream:
            return False
        move.ended_in_order = True
        if move.due is not None and move.state.is_continuing:
            self._runner.run_due(move)
        return True

    def handle_refused(self, relay):
        """Handle a refusal of the continued request; return whether it was one."""
        if not self.is_sent_on(relay) or relay.move.state.has_ended:
            return False
        self._attempts.end_attempt(relay, failed=None, cancel=True)
        self._runner.record(relay.move, Result.NOT_STARTED)
        return True

    def handle_started(self, relay):
        """Handle the head of a stream that follows events of an earlier attempt."""
        if self.is_sent_on(relay):
            relay.continued = True
            self._runner.record(relay.move, Result.STARTED)

    def handle_relay_ended(self, relay, now):
        """Handle a request's end: its copies aren't needed any more."""
        self.backups.release(relay, now)
        move = relay.move
        if move is None or move.state.has_ended:
            return
        if move.state.is_continuing or move.due is not None:
            move.state.end("ended")
            self._runner.close(move)

    def record_open_run(self, relay, exc):
        """Record that an engine may still work on a request after a failed attempt."""
        if self._has_calls and relay.pool.spec.engine is not None:
            self._runner.record_open_run(relay, exc)

    def end_open_run(self, relay, exc):
        """End the run of an earlier attempt, whose connection's end doesn't show that.

        The request goes on from the copy of that run, or is recovered again once the
        run is known to have ended. If that can't be found out, it is given up.
        """
        now, source = read_boottime(), relay.open_runs[0]
        target = self._choose_copy_target(relay, source, now)
        if target is None:
            step = Step.CHECKING
        elif self._may_use_copy(relay):
            step = Step.ENDING
        else:
            step = Step.DISCARDING
        until = min(relay.deadline, now + MAX_ENDING_TIME)
        move = relay.move = Move(relay, source, target, until, now)
        move.closed = exc
        self._runner.begin_ending(move, step)

    def _may_use_copy(self, relay):
        """Return whether a request may go on from a copy of its run."""
        if relay.continued or len(relay.refused_targets) >= MAX_TARGETS:
            return False
        events = relay.events
        return events is not None and events.can_resume and bool(events.last_id)

    def _choose_copy_target(self, relay, source, now):
        """Return the Registration of an engine to which a run may be copied, or None.

        The call that stops a run names one, with or without room. It has the version of
        the run, which may go on there.
        """
        pool, engine = relay.pool, relay.pool.spec.engine
        if not engine.moves or self._gateway.cfg.stream_moves != AUTO:
            return None
        backup = self.backups.find(relay, now)
        if backup is not None and backup.name != source.name:
            return backup
        interval = self.backups.pace_of(pool).interval
        stream = make_stream(relay, relay.deadline, interval, now)
        excluded = self._list_excluded(pool, now) | {source.name}
        candidates = list_candidates(pool, excluded, now)
        same = [item for item in candidates if item.version == stream.version]
        target = choose_target(stream, same, engine) or next(iter(same), None)
        return target and pool.upstream_states[target.name].registration

    def may_use_backup(self, relay, exc):
        """Return whether a request may be sent on from its backup after a failure."""
        broken = isinstance(exc, ConnectionBroken | EventOutOfOrder)
        broken = broken or type(exc) is UpstreamFailed
        has_backup = self.backups.find(relay, read_boottime()) is not None
        return broken and has_backup and self._may_send_on(relay)

    def continue_from_backup(self, relay, exc):
        """Send a request on from its backup."""
        now = read_boottime()
        backup = self.backups.find(relay, now)
        move = Move(relay, backup, backup, relay.deadline, now)
        move.state.use_backup(relay.demand.request_id)
        move.closed = exc
        relay.move, relay.backup = move, None
        self.backups.used += 1
        log_event(
            "stream backup used",
            request=relay.demand.request_id,
            upstream=relay.upstream_state.registration.name,
            backup=backup.name,
            last_event=relay.events.last_id,
        )
        self._runner.send(move, backup)

    def _may_send_on(self, relay):
        now = read_boottime()
        if relay.ended or relay.continued or not relay.continuable:
            return False
        if not relay.events.can_resume:
            return False
        if not relay.events.last_id or relay.deadline - now < MIN_TIME_LEFT:
            return False
        planned = len(self._runner.moves)
        return self._gateway.retries.may_retry(relay.pool.spec.name, planned)

    def _begin_next(self, registration, leaves_at, now, relays=None):
        """Begin the next move from a leaving engine unless one is in progress."""
        pool = self._gateway.pools.get(registration.pool)
        if registration.name in self._runner.moves or not self.is_active(pool, now):
            return
        if not pool.spec.engine.moves:
            return
        streams = [
            make_stream(relay, leaves_at, self.backups.pace_of(pool).interval, now)
            for relay in (self._gateway.relays if relays is None else relays)
            if self._is_movable(relay, registration)
        ]
        streams = list_cut_off(streams, now)
        if not streams:
            return
        reserved = [move.target.name for move in self._runner.moves.values()]
        candidates = list_candidates(pool, self._list_excluded(pool, now), now)
        candidates = [
            item._replace(requests=item.requests + reserved.count(item.name))
            for item in candidates
        ]
        found = choose_move(streams, candidates, pool.spec.engine, now)
        if found is not None:
            self._begin(*found, registration, now)

    def _list_excluded(self, pool, now):
        """Return the names of the engines that want or may have no requests."""
        gateway = self._gateway
        excluded = gateway.pauses.list_paused(pool.upstream_states, now)
        exhausted = gateway.upstream_limits.list_exhausted(pool.upstream_states, now)
        return gateway.detours.list_unreachable(now).union(excluded, exhausted)

    def _is_movable(self, relay, registration):
        if relay.call is None or relay.upstream_state.registration.name != (
            registration.name
        ):
            return False
        if len(relay.refused_targets) >= MAX_TARGETS:
            return False
        return (
            not self.is_moving(relay) and relay.has_events and self._may_send_on(relay)
        )

    def _begin(self, stream, target, registration, now):
        relay = stream.key
        state = relay.pool.upstream_states[target.name]
        move = Move(relay, registration, state.registration, stream.leaves_at, now)
        relay.move = move
        log_event(
            "stream move begun",
            request=relay.demand.request_id,
            upstream=registration.name,
            target=target.name,
            events=stream.events,
            expected_events=stream.expected_events,
            interval=round(stream.interval, 4),
            tokens=stream.tokens,
            leaves_in=round(stream.leaves_at - now, 3),
        )
        self._runner.begin(move)

    def _begin_after(self, move):
        """Begin the next move from the same engine."""
        found = self._leaving.get(get_process(move.source))
        if found is not None:
            self._begin_next(*found, read_boottime())

    def count(self):
        """Return the figures of moves and backups by the last part of their metric."""
        runner = self._runner
        failed = {f'moves_failed{{cause="{k}"}}': n for k, n in runner.failed.items()}
        ended = {f'runs_ended{{result="{k}"}}': n for k, n in runner.ended.items()}
        return {
            "moves_begun": runner.begun,
            "moves_completed": runner.completed,
            **failed,
            "backups_held": len(self.backups.budget),
            "backups_used": self.backups.used,
            **ended,
        }
