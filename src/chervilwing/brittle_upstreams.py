"""Upstreams that fall over if they have to refuse too many requests in a second.

Such an upstream states in its answers how many refusals it bears, from all instances
together. The instances share that number like a limit on requests: a request that may
be refused costs credit, one for which the upstream certainly has room costs none.
"""

# Prefix of the names under which refusals are kept among the limits of upstreams.
REFUSALS = "refusals/"
# Part of the stated number that is used. The upstream counts in any second, and an
# instance may hold the credit of a quarter of a second besides.
USABLE_PART = 0.5
# Slots that may be taken by connections that have just opened.
SPARE_SLOTS = 1
# Part of the slots that instances may fill which choose for themselves, each an equal
# share: they don't know what the others have just sent.
LOCAL_PART = 0.5


class BrittleUpstreams:
    """Which upstreams are brittle, and whether a request may be refused there.

    ``limits`` is the UpstreamLimits that shares the numbers and the credit,
    ``count_instances`` returns how many instances share them.
    """

    def __init__(self, limits, count_instances=lambda: 1):
        self._limits = limits
        self._count_instances = count_instances

    def record_answer(self, upstream, refusals, sent_at, now):
        """Update the refusals that an upstream bears in a second, from an answer.

        ``refusals`` is infinity if the answer states none, None if it is unknown.
        """
        if refusals is not None:
            name, rate = REFUSALS + upstream, refusals * USABLE_PART
            self._limits.record_answer(name, rate, sent_at, now)

    def record_restart(self, upstream, now):
        """Forget what the previous process of an upstream stated."""
        self._limits.record_restart(REFUSALS + upstream, now)

    def record_refusal(self, upstream, now):
        """Spend credit for a refusal that wasn't expected."""
        if self.is_brittle(upstream):
            self._limits.charge(REFUSALS + upstream, now)

    def is_brittle(self, upstream):
        """Return whether an upstream states how many refusals it bears."""
        return self._limits.is_limited(REFUSALS + upstream)

    def may_refuse(self, pool, upstream_state, now, placing):
        """Return whether a brittle upstream may lack room for one more request."""
        slots = upstream_state.registration.slots
        if pool.spec.engine is not None:
            slots = pool.spec.engine.slots
        if placing:
            room = max(1, slots - SPARE_SLOTS)
            return upstream_state.count(now, placing).requests >= room
        share = slots * LOCAL_PART / self._count_instances()
        return upstream_state.own_load.requests + 1 > share

    def list_brittle(self, pool):
        """Return the brittle upstreams of a pool."""
        if not self._limits.count():
            return frozenset()
        return frozenset(filter(self.is_brittle, pool.upstream_states))

    def list_full(self, pool, now, placing):
        """Return the brittle upstreams at which a refusal can't be afforded."""
        risky = [
            name
            for name in self.list_brittle(pool)
            if self.may_refuse(pool, pool.upstream_states[name], now, placing)
        ]
        keys = {REFUSALS + name: None for name in risky}
        exhausted = self._limits.list_exhausted(keys, now) if keys else ()
        if placing:
            self._limits.request_credit(exhausted, now)
        return frozenset(name.removeprefix(REFUSALS) for name in exhausted)

    def charge(self, pool, upstream_state, now, placing):
        """Spend credit if the request may be refused; return False if there is none."""
        name = upstream_state.registration.name
        if not self.is_brittle(name):
            return True
        if not self.may_refuse(pool, upstream_state, now, placing):
            return True
        return self._limits.charge(REFUSALS + name, now)
