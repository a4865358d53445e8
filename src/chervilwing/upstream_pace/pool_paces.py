"""Paces of all upstreams of a pool, relative to that of a usual one."""

from typing import NamedTuple

from .upstream_paces import USUAL_PACE

# Seconds after the last statement of a pace for which paces are used.
ACTIVE_FOR = 10.0
# Seconds between two calculations of the usual duration and of the slow data centres:
# the least, and for each upstream, as one upstream takes 1.7 µs.
UPDATE_INTERVAL = 0.2
UPDATE_INTERVAL_PER_UPSTREAM = 0.001
# Seconds for which a calculated pace is used again unless something is recorded for its
# upstream: each choice reads the paces of many upstreams.
REUSE_TIME = 0.02
# The usual duration is the mean of the upstreams that take little longer than the one
# at this part of all, fastest first: half of the upstreams may be slow, and a few fast
# ones aren't usual.
USUAL_QUANTILE = 0.25
# Part of the upstreams that must have a learned pace before the usual duration is taken
# from them and not from the pool's rate.
MIN_LEARNED_PART = 0.25
# Upstreams with a sample from which on a data centre can be slow as a whole, at least
# half of its upstreams.
MIN_MEASURED_IN_CENTRE = 2
# An upstream or data centre counts as slow from this pace on, and no more below the
# second one, so that it isn't logged at each answer.
SLOW_PACE = 2.0
NO_LONGER_SLOW_PACE = 1.5
# An answer that took this many times as long as usual says nothing about the pool's
# rate, whatever its upstream states.
OUTLIER_FACTOR = 2.0
# A learned pace below this is taken as usual: those of equal upstreams differ as much.
MIN_LEARNED_PACE = 1.4
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


def find_quantile(values):
    """Return the value at USUAL_QUANTILE of all, lowest first."""
    values = sorted(values)
    return values[int((len(values) - 1) * USUAL_QUANTILE)]


class SlowCentre(NamedTuple):
    """Durations of a unit of work in a data centre that is slow as a whole.

    ``measured`` is that of the upstream at USUAL_QUANTILE, and ``expected`` the same
    after each was moved towards the usual one by its age.
    """

    measured: float
    expected: float


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
        # Duration of a unit of work at a usual upstream, as predicted by the pool's
        # rate and as measured, None without enough samples.
        self._predicted = 1.0
        self._usual = None
        # SlowCentres of the data centres that are slow as a whole.
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
        if now - self._stated_at >= ACTIVE_FOR:
            return USUAL_PACE
        pace = upstream_state.pace
        if not 0.0 <= now - pace.calculated_at < REUSE_TIME:
            pace.calculated = self._calculate(upstream_state, now)
            pace.calculated_at = now
        return pace.calculated

    def _calculate(self, upstream_state, now):
        self._update(now)
        now = self._get_known_until(upstream_state, now)
        stated = upstream_state.pace.compute_stated(now)
        learned = self._compute_own(upstream_state, now)
        if learned < MIN_LEARNED_PACE:
            learned = USUAL_PACE
        return max(stated, learned)

    def _get_known_until(self, upstream_state, now):
        """Return the time up to which what is known of an upstream loses weight.

        If a request was sent since the last answer, that answer counts in full until
        the next one comes. Otherwise an upstream whose pace has decayed would be sent
        many requests before the first of them shows that it is still slow.
        """
        pace = upstream_state.pace
        if pace.tried_at <= pace.answered_at or not upstream_state.count_sent():
            return now
        return pace.answered_at

    def count_unknown_calls(self, upstream_state, now):
        """Return the calls at an upstream that it stated and that aren't known here."""
        if not self.is_active(now):
            return 0
        return upstream_state.pace.count_unknown_calls(now)

    def record_sample(self, upstream_state, duration, predicted, now):
        """Record the measured duration of a unit of work, and the predicted one.

        Return the pace by which the sample has to be corrected before it changes the
        pool's rate.
        """
        if not self.is_active(now):
            return USUAL_PACE
        self._predicted = predicted
        self._update(now)
        usual = self._get_usual()
        upstream_state.pace.record_sample(duration, usual, now)
        relative = duration / usual
        if relative > OUTLIER_FACTOR:
            return relative
        return self.compute_pace(upstream_state, now)

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
            ("", centre): slow.measured / self._get_usual()
            for centre, slow in self._centres.items()
        }
        for name, state in self._upstream_states.items():
            centre = state.registration.data_centre
            pace = state.pace
            known = pace.is_learned and pace.is_measured(now)
            if known and centre not in self._centres:
                found[name, centre] = pace.duration / self._get_usual()
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
        if not upstream_state.pace.is_learned:
            return usual / self._get_usual()
        return upstream_state.pace.compute_duration(usual, now) / self._get_usual()

    def _get_usual(self, registration=None):
        """Return the usual duration of a unit of work in an upstream's data centre.

        Without a registration, return that of the pool.
        """
        usual = self._predicted if self._usual is None else self._usual
        if registration is None:
            return usual
        slow = self._centres.get(registration.data_centre)
        return usual if slow is None else slow.expected

    def _update(self, now):
        """Calculate the usual duration and find the data centres that are slow."""
        count = len(self._upstream_states)
        interval = max(UPDATE_INTERVAL, count * UPDATE_INTERVAL_PER_UPSTREAM)
        if now - self._updated_at < interval:
            return
        self._updated_at = now
        measured, sizes = {}, {}
        for state in self._upstream_states.values():
            centre = state.registration.data_centre
            sizes[centre] = sizes.get(centre, 0) + 1
            if state.pace.is_measured(now):
                measured.setdefault(centre, []).append(state.pace)
        durations = [
            pace.duration
            for paces in measured.values()
            for pace in paces
            if pace.is_learned
        ]
        if len(durations) < max(1.0, MIN_LEARNED_PART * count):
            self._usual, self._centres = None, {}
            return
        quantile = find_quantile(durations)
        usual = [item for item in durations if item <= quantile * MIN_LEARNED_PACE]
        self._usual = sum(usual) / len(usual)
        least = {
            centre: max(MIN_MEASURED_IN_CENTRE, size / 2)
            for centre, size in sizes.items()
        }
        self._centres = dict(self._list_slow_centres(measured, least, now))

    def _list_slow_centres(self, measured, least, now):
        """Yield each slow data centre with its SlowCentre.

        ``measured`` has the measured paces by data centre, and ``least`` how many of
        them are needed. The last sample of each tells sooner than its average. A data
        centre is slow in comparison with others only.
        """
        for centre, paces in measured.items() if len(least) > 1 else ():
            bound = NO_LONGER_SLOW_PACE if centre in self._centres else SLOW_PACE
            latest = find_quantile(pace.latest for pace in paces)
            if len(paces) >= least[centre] and latest >= bound * self._usual:
                expected = (pace.compute_latest(self._usual, now) for pace in paces)
                yield centre, SlowCentre(latest, find_quantile(expected))
