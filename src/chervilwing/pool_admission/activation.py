"""The pools for which admission by urgency is active."""

from ..routing import STREAM

# A less urgent route has work that can wait if its latency target is at least this
# multiple of a more urgent route's.
MIN_TARGET_RATIO = 2.0


def find_active_pools(document):
    """Return the names of the pools whose routes have work that can wait.

    Only streams before engines count: of other requests the time in the queue isn't
    known in advance.
    """
    engines = {pool.name for pool in document.pools if pool.engine is not None}
    routes = {}
    for route in document.routes:
        for target in route.targets:
            if route.kind == STREAM and target.pool in engines:
                routes.setdefault(target.pool, []).append(route)
    return frozenset(name for name, found in routes.items() if _can_wait(found))


def _can_wait(routes):
    return any(
        other.priority > route.priority
        and other.latency_target >= MIN_TARGET_RATIO * route.latency_target
        for route in routes
        for other in routes
    )
