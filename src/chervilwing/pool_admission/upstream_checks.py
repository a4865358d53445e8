"""Which upstreams a request may be sent to, and why none of them."""

from ..exceptions import (
    RETRY_AFTER,
    NoUpstream,
    PoolFull,
    PoolLimited,
    PoolPaused,
    Scope,
)
from ..planned_stops import make_stopping_error
from .pool import MAX_DEADLINE_PART


class UpstreamChecks:
    """Choose upstreams for requests, and check each send of a request."""

    def __init__(self, gateway):
        self._gateway = gateway

    def choose(self, relay, now, refused=()):
        """Return this instance's best (upstream, estimate), or None without one.

        The upstreams in ``refused`` are not chosen.
        """
        origin = self._gateway.placing.get_origin(relay.pool)
        exhausted = self._gateway.upstream_limits.list_exhausted(
            relay.pool.upstream_states, now
        )
        placing = origin is not None and bool(origin.placer)
        if placing:
            self._gateway.upstream_limits.request_credit(exhausted, now)
        exhausted |= self._gateway.brittle_upstreams.list_full(relay.pool, now, placing)
        excluded = exhausted.union(refused) | self.list_excluded_upstreams(relay, now)
        return relay.pool.choose(relay.demand, excluded, now, origin)

    def check_send(self, relay, choice, now):
        """Raise unless a request may be sent to the upstream chosen for it.

        Every send of a request passes this check. The upstream's own limit is checked
        last, because that check consumes its credit.
        """
        self._gateway.crashes.raise_if_barred(relay.suspects, now)
        if choice is None:
            self._gateway.resumptions.raise_if_gone(relay)
            raise self.make_unavailable_error(relay.pool, now)
        self._gateway.detours.raise_if_unreachable(relay.pool, now)
        upstream_state, estimate = choice
        if self._gateway.stop_deadline.is_late(relay, estimate, now):
            raise make_stopping_error()
        if relay.upstream_state is None and not relay.admitted:
            self._check_capacity(relay, estimate, now)
        if estimate.charged:
            return
        if not self._gateway.upstream_limits.charge(
            upstream_state.registration.name, now
        ):
            raise self.make_unavailable_error(relay.pool, now)
        # What another instance chose, it has charged.
        if relay.placement_id is not None:
            return
        placing = bool(estimate.placer)
        if not self._gateway.brittle_upstreams.charge(
            relay.pool, upstream_state, now, placing
        ):
            raise self.make_unavailable_error(relay.pool, now)

    def make_paused_error(self, pool, now):
        """Return the error for a pool whose upstreams all want no requests, or None."""
        wait = self._gateway.pauses.get_wait(pool.list_accepting(), now)
        if wait is None:
            return None
        return PoolPaused(scope=Scope("pool", pool.spec.name), retry_after=wait)

    def make_unavailable_error(self, pool, now):
        """Return the error for a request that no upstream of the pool can accept."""
        error = self.make_paused_error(pool, now)
        if error is not None:
            return error
        scope = Scope("pool", pool.spec.name)
        names = {state.registration.name for state in pool.list_accepting()}
        paused = self._gateway.pauses.list_paused(pool.upstream_states, now)
        if any(map(self._gateway.brittle_upstreams.is_brittle, names - paused)):
            return PoolFull(scope=scope, retry_after=RETRY_AFTER)
        wait = self._gateway.upstream_limits.get_retry_after(names - paused)
        if wait is None:
            return NoUpstream(scope=scope, retry_after=RETRY_AFTER)
        return PoolLimited(scope=scope, retry_after=wait)

    def list_excluded_upstreams(self, relay, now):
        """Return the names of the upstreams to which a request must not be sent.

        A stream that has begun isn't part of a trial.
        """
        if relay.origin is not None:
            return self.list_unavailable_upstreams(relay, now)
        unannounced = self._gateway.resumptions.list_unannounced(relay, now)
        draw = None if relay.attempts or unannounced else relay.rollout_draw
        pool = relay.pool
        name = pool.spec.name
        excluded = self._gateway.rollouts.list_excluded(
            name, pool.upstream_states, draw, now
        )
        return excluded | unannounced | self.list_unavailable_upstreams(relay, now)

    def list_unavailable_upstreams(self, relay, now):
        """Return the names of the upstreams that can't or may not be used now.

        Those were tried, want no requests or have another version.
        """
        paused = self._gateway.pauses.list_paused(relay.pool.upstream_states, now)
        excluded = self._gateway.detours.list_unreachable(now).union(paused)
        excluded |= self._gateway.resumptions.list_excluded(relay)
        return excluded | relay.tried_upstreams if excluded else relay.tried_upstreams

    def _check_capacity(self, relay, estimate, now):
        """Raise PoolFull if the deadline can't be met or the pool is overloaded."""
        scope = Scope("pool", relay.pool.spec.name)
        seconds = estimate.seconds
        hopeless = seconds > (relay.deadline - now) * MAX_DEADLINE_PART
        shortest_target = self._gateway.table.shortest_latency_targets.get(
            scope.name, float("inf")
        )
        # A stream of which its caller has read a part waits for its own version.
        queued = relay.origin is None and relay.pool.is_overloaded(
            estimate, shortest_target
        )
        if hopeless or queued:
            relay.pool.record_work(relay.demand, estimate)
            raise PoolFull(scope=scope, retry_after=min(seconds, RETRY_AFTER * 4))
