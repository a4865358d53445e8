"""Which new streams get a backup, and what the backups of this instance take."""

import random
from math import inf

from ..routing import STREAM
from .candidates import count_events, list_candidates, make_stream
from .planner import BackupBudget, Pace, choose_backup

# Engines looked at for one backup: enough that one in another data centre has room.
MAX_CANDIDATES = 12
# Seconds since a stream's first event until its backup can be complete: engines send
# it several times per second. A prompt that crashes engines as they begin to answer it
# thus isn't sent on to the next one.
MIN_AGE = 0.25


class Backups:
    """State of the backups of this instance's streams."""

    def __init__(self, gateway):
        self._gateway = gateway
        self._paces = {}
        self.budget = BackupBudget()
        self.used = 0

    def pace_of(self, pool):
        """Return the Pace of a pool's streams."""
        return self._paces.setdefault(pool.spec.name, Pace())

    def choose(self, relay, now):
        """Return the Registration of the engine that keeps a backup, or None."""
        engine = relay.pool.spec.engine
        if not engine.backups or relay.route.kind != STREAM or relay.route.resumable:
            return None
        if relay.headers.get("x-request-id") != relay.demand.request_id:
            return None
        interval = self.pace_of(relay.pool).interval
        self.budget.release(relay)
        stream = make_stream(relay, inf, interval, now)
        expected = count_events(relay.demand.expected_tokens, engine)
        stream = stream._replace(expected_events=expected)
        candidates = self._list_candidates(relay, now)
        target = choose_backup(stream, candidates, engine)
        if target is None:
            return None
        shares = self._gateway.retries.instances
        capacity = len(relay.pool.upstream_states) * engine.memory_tokens / shares
        if not self.budget.reserve(relay, stream.tokens, capacity):
            return None
        return relay.pool.upstream_states[target.name].registration

    def _list_candidates(self, relay, now):
        """Return a few random engines other than the request's own."""
        names = list(relay.pool.upstream_states)
        names = random.sample(names, min(MAX_CANDIDATES, len(names)))
        paused = self._gateway.pauses.list_paused(relay.pool.upstream_states, now)
        excluded = {relay.upstream_state.registration.name, *paused}
        return list_candidates(relay.pool, excluded, now, names)

    def find(self, relay, now):
        """Return the Registration of the engine that has a request's backup, or None.

        A stream without events, or one that has just begun, has none. A leaving engine
        gets no requests.
        """
        if not relay.has_events or relay.first_byte_at is None:
            return None
        if relay.backup is None or self._is_leaving(relay):
            return None
        return relay.backup if now - relay.first_byte_at >= MIN_AGE else None

    def _is_leaving(self, relay):
        state = relay.pool.upstream_states.get(relay.backup.name)
        return state is not None and state.registration.leaving

    def release(self, relay, now):
        """Release a request's backup and learn from its pace."""
        self.budget.release(relay)
        if relay.continuable and relay.first_byte_at is not None:
            pace = self.pace_of(relay.pool)
            pace.record(now - relay.first_byte_at, relay.events.count)
