"""Paces of all upstreams of a pool, relative to that of a usual one."""

from typing import NamedTuple

from .upstream_paces import USUAL_PACE

# Seconds after the last statement of a pace for which paces are used.
ACTIVE_FOR = 10.0
# Seconds between two calculations of the usual pace and of those of the data centres.
UPDATE_INTERVAL = 0.2
# The usual pace is that of the upstream at this part of all, fastest first: half of the
# upstreams may be slow, and a few fast ones aren't usual.
USUAL_QUANTILE = 0.25
# Part of the upstreams that must have a learned pace before it replaces the usual one.
MIN_LEARNED_PART = 0.25
# Upstreams with a learned pace from which on a data centre can be slow as a whole.
MIN_LEARNED_IN_CENTRE = 2
# An upstream or data centre counts as slow from this pace on, and no more below the
# second one, so that it isn't logged at each answer.
SLOW_PACE = 2.0
NO_LONGER_SLOW_PACE = 1.4
# An answer that took this many times as long as usual says nothing about the pool's
# rate, whatever its upstream states.
OUTLIER_FACTOR = 2.0
# A request without an answer after this many times its estimate is overdue.
OVERDUE_FACTOR = 3.0
# An overdue request is sent elsewhere if that is expected to take at most this part of
# the time that has passed; if all upstreams are slow, more attempts make it worse.
ELSEWHERE_PART = 0.5


class PaceChange(NamedTuple):
    """An upstream or a whole data centre that began or ended to count as slow."""

    upstream: str
    data_centre: str
    slow: bool
    pace: float


def is_better_elsewhere(waited, seconds):
    """Return whether to send a request again that has waited for some seconds.

    ``seconds`` is its estimate elsewhere.
    """
    return seconds <= ELSEWHERE_PART * waited


class PoolPaces:
    """Paces of one pool; ``upstream_states`` are its states by upstream name.

    Unless an upstream stated a pace lately, every pace is exactly 1.
    """

    def __init__(self, upstream_states):
        self._upstream_states = upstream_states
        self._stated_at = float("-inf")
        self._updated_at = float("-inf")
        self._usual = USUAL_PACE
        # Learned paces of the data centres that are slow as a whole.
        self._centres = {}
        # Keys of the upstreams and data centres that count as slow.
        self._slow = set()

    def is_active(self, now):
        """Return whether an upstream of the pool stated its pace lately."""
        return now - self._stated_at < ACTIVE_FOR

    def record_stated(self, upstream_state, load, at, now):
        """Record what an upstream stated at the time ``at``."""
        if load.pace is not None:
            self._stated_at = max(self._stated_at, at)
        known = max(upstream_state.count(now, placing).requests for placing in (0, 1))
        upstream_state.pace.record_stated(load, known, at)

    def compute_pace(self, upstream_state, now):
        """Return the pace of an upstream, the worse of the stated and learned ones."""
        if not self.is_active(now):
            return USUAL_PACE
        self._update(now)
        pace = upstream_state.pace
        return max(
            USUAL_PACE, pace.compute_stated(now), self._compute_own(upstream_state, now)
        )

    def count_unknown_calls(self, upstream_state, now):
        """Return the calls at an upstream that it stated and that aren't known here."""
        if not self.is_active(now):
            return 0
        return upstream_state.pace.count_unknown_calls(now)

    def record_sample(self, upstream_state, ratio, now):
        """Record measured over predicted time of an answer.

        Return the pace by which the sample has to be corrected before it changes the
        pool's rate.
        """
        if not self.is_active(now):
            return USUAL_PACE
        self._update(now)
        upstream_state.pace.record_sample(
            ratio, self._get_usual(upstream_state.registration), now
        )
        relative = ratio / self._usual
        if relative > OUTLIER_FACTOR:
            return relative
        return max(
            upstream_state.pace.compute_stated(now),
            self._compute_own(upstream_state, now),
        )

    def is_overdue(self, upstream_state, sent_at, seconds, now):
        """Return whether a request waits too long because its upstream is slow.

        ``seconds`` is its estimate. An upstream that has answered others since is not
        slow unless its pace says so: then only this request takes long.
        """
        if not self.is_active(now) or now - sent_at <= OVERDUE_FACTOR * seconds:
            return False
        if upstream_state.pace.answered_at < sent_at:
            return True
        return self.compute_pace(upstream_state, now) >= SLOW_PACE

    def summarise(self, now):
        """Return the slowest and the mean pace of the pool's upstreams."""
        states = self._upstream_states.values()
        paces = [self.compute_pace(state, now) for state in states] or [USUAL_PACE]
        return max(paces), sum(paces) / len(paces)

    def list_changes(self, now):
        """Return the PaceChanges since the last call.

        The upstreams of a data centre that is slow as a whole are not listed.
        """
        if not self.is_active(now):
            return list(self._compare_slow({}))
        self._update(now)
        found = {
            ("", centre): pace / self._usual for centre, pace in self._centres.items()
        }
        for name, state in self._upstream_states.items():
            centre = state.registration.data_centre
            if centre not in self._centres:
                found[name, centre] = self._compute_own(state, now)
        return list(self._compare_slow(found))

    def _compare_slow(self, found):
        """Yield the changes to the keys in ``found``, which maps them to paces."""
        # What is known of a data centre replaces what was known of its upstreams.
        self._slow = {
            key for key in self._slow if not key[0] or key[1] not in self._centres
        }
        for key in self._slow | found.keys():
            pace, was_slow = found.get(key, USUAL_PACE), key in self._slow
            slow = pace >= (NO_LONGER_SLOW_PACE if was_slow else SLOW_PACE)
            if slow != was_slow:
                self._slow.symmetric_difference_update((key,))
                yield PaceChange(*key, slow, round(pace, 2))

    def _compute_own(self, upstream_state, now):
        """Return the learned pace of an upstream relative to a usual one."""
        usual = self._get_usual(upstream_state.registration)
        pace = upstream_state.pace
        if not pace.is_learned:
            return usual / self._usual
        return pace.compute_learned(usual, now) / self._usual

    def _get_usual(self, registration):
        """Return the pace to which that of an upstream returns without samples."""
        return self._centres.get(registration.data_centre, self._usual)

    def _update(self, now):
        """Calculate the usual pace and find the data centres that are slow."""
        if now - self._updated_at < UPDATE_INTERVAL:
            return
        self._updated_at = now
        learned, sizes = {}, {}
        for state in self._upstream_states.values():
            centre = state.registration.data_centre
            sizes[centre] = sizes.get(centre, 0) + 1
            if state.pace.is_learned:
                pace = state.pace.compute_learned(
                    self._get_usual(state.registration), now
                )
                learned.setdefault(centre, []).append(pace)
        paces = sorted(pace for found in learned.values() for pace in found)
        if len(paces) < max(1.0, MIN_LEARNED_PART * len(self._upstream_states)):
            self._usual, self._centres = USUAL_PACE, {}
            return
        self._usual = paces[int((len(paces) - 1) * USUAL_QUANTILE)]
        self._centres = {
            centre: median
            for centre, found in learned.items()
            for median in (sorted(found)[(len(found) - 1) // 2],)
            if len(found) >= max(MIN_LEARNED_IN_CENTRE, sizes[centre] / 2)
            and median >= SLOW_PACE * self._usual
        }
