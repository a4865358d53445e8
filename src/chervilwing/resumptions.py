"""Where a stream that has begun may go on."""

from .exceptions import StreamUnknown, VersionGone
from .stream_versions import Origin, StreamVersions, get_life

# Retry-After in seconds of callers whose streams aren't known here now.
UNKNOWN_RETRY_AFTER = 0.5
# Seconds until a version is used that the store doesn't hold: its upstreams may be the
# only ones while the store accepts no writes.
MAX_ANNOUNCEMENT_WAIT = 4.0


class Resumptions:
    """Keep each stream at the version that began it, at one instance.

    ``on_begun`` is called with a relay and the time before a stream's first event is
    relayed. ``seek(relay, now)`` asks other instances for a caller's stream and returns
    whether it did; the gateway's ``resume_stream`` is called with the result.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self.streams = StreamVersions(self._list_registered)
        gateway.rollouts.is_known = self.streams.is_stored
        self.on_begun = lambda relay, now: None
        self.seek = lambda relay, now: False
        # Attempts that ended with an event out of order.
        self.out_of_order = 0
        # Whether other instances may begin streams at versions unknown to this one.
        self.is_shared = False

    def _list_registered(self, pool):
        balancer = self._gateway.pools.get(pool)
        return frozenset() if balancer is None else balancer.list_versions()

    def _find_pool(self, relay):
        """Return the name of a pool, which one without settings doesn't know."""
        names = (target.pool for target in relay.route.targets)
        return next(n for n in names if self._gateway.pools.get(n) is relay.pool)

    def find_origin(self, relay, now):
        """Bind a caller's stream to its Origin; return False while others are asked."""
        if not relay.takes_up:
            return True
        is_named = bool(relay.demand.resumes)
        if is_named and self.streams.is_disputed(relay.stream, now):
            raise StreamUnknown()
        origin = self.streams.find(relay.stream, now) if is_named else None
        if origin is None and not self.is_shared:
            origin = self.streams.infer(relay.route, now)
        if origin is None and self.seek(relay, now):
            return False
        if origin is None and not is_named:
            # Nobody can know it later.
            raise StreamUnknown()
        self.bind(relay, origin)
        return True

    def bind(self, relay, origin):
        """Bind a caller's stream to its Origin, or raise if it can't go on.

        ``origin`` is None if nobody knows it.
        """
        if origin is None:
            raise StreamUnknown(retry_after=UNKNOWN_RETRY_AFTER)
        if all(target.pool != origin.pool for target in relay.route.targets):
            raise VersionGone()
        relay.origin = origin
        relay.pool = self._gateway.get_or_create_pool(origin.pool)
        self.raise_if_gone(relay)

    def begin(self, relay, now):
        """Record the Origin of a stream whose first event is about to be relayed."""
        if relay.origin is None:
            relay.origin = Origin(self._find_pool(relay), relay.upstream_version)
        until = now + get_life(relay.route)
        self.streams.record_begun(relay.stream, relay.origin, until)
        self.on_begun(relay, now)

    def list_excluded(self, relay):
        """Return the names of the upstreams at which a stream may not go on."""
        origin = relay.origin
        if origin is None:
            return frozenset()
        if self._gateway.rollouts.is_rolled_back(*origin):
            return frozenset(relay.pool.upstream_states)
        return relay.pool.list_other_versions(origin.version)

    def list_unannounced(self, relay, now):
        """Return the names of the upstreams at which a new stream may not begin yet."""
        if relay.origin is not None or not relay.route.resumable:
            return frozenset()
        pool, rollouts = self._find_pool(relay), self._gateway.rollouts
        unannounced = self.streams.list_unannounced(pool)
        if not unannounced:
            return frozenset()
        versions = {
            version
            for version in unannounced
            if rollouts.compute_age(pool, version, now) < MAX_ANNOUNCEMENT_WAIT
        }
        return frozenset(
            name
            for name, state in relay.pool.upstream_states.items()
            if state.registration.version in versions
        )

    def raise_if_gone(self, relay):
        """Raise VersionGone if only upstreams of other versions take requests."""
        if relay.origin is None or not relay.pool.list_accepting():
            return
        if not relay.pool.list_accepting(self.list_excluded(relay)):
            raise VersionGone()
