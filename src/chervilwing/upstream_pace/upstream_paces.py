"""Pace of one upstream: what it last stated, and what its answers showed."""

from ..costs import update_average

# Seconds in which the weight of a statement halves. The pace changes within 0.6 s.
STATED_HALF_LIFE = 0.3
# Seconds without samples in which half of the learned pace's distance to the usual one
# decays: an upstream that is avoided gives no samples, and may have recovered.
LEARNED_HALF_LIFE = 2.0
# Samples from which on the learned pace is used; the first answers of an upstream that
# has just started are often slow.
MIN_SAMPLES = 5
# Weight of a sample in the learned pace: five slow answers of an upstream that states a
# usual pace show two thirds of its slowness.
LEARNED_WEIGHT = 0.2
# An answer that took at most this many times as long as an upstream states, or as is
# usual, agrees with that.
AGREED_FACTOR = 1.5
# An answer from which on an upstream is as slow as it states.
SLOW_FACTOR = 2.0
# Weight of an answer that shows, as its upstream states, that it is no longer slow.
RECOVERY_WEIGHT = 0.5
# Seconds for which all answers must have been slow to show a lasting slowness: a slow
# period of a shared machine takes 0.6 s.
LASTING_AFTER = 2.0
# Weight of an answer that shows it, and the half-life of what it shows: each answer
# that finds an upstream to be still slow is late.
LASTING_WEIGHT = 0.8
LASTING_HALF_LIFE = 4.0
# Bounds of one sample, as multiples of the usual duration. An instance that was
# suspended reads all answers late.
MIN_SAMPLE = 0.1
MAX_SAMPLE = 20.0
USUAL_PACE = 1.0
# Seconds for which a measured duration tells what is usual, and is logged as such.
MEASURED_FOR = 10.0


class UpstreamPace:
    """State of one upstream's pace; times are seconds on one clock.

    ``stated`` is the latest StatedLoad, None before the first. ``duration`` is the
    measured duration of a unit of work, ``latest`` the last sample of it. They aren't
    kept as multiples of what the pool's rate predicts: each change of the rate would
    change the paces and so the rate again.
    """

    def __init__(self):
        self.stated = None
        self.duration = self.latest = 0.0
        self.samples = 0
        self._half_life = LEARNED_HALF_LIFE
        # Time since which all answers were slow, None if the last one wasn't; whether
        # its upstream stated that it is slow.
        self._slow_since = None
        self._confirmed = False
        # The pace that PoolPaces last calculated, and when; reset by each record.
        self.calculated, self.calculated_at = USUAL_PACE, float("-inf")
        # When the first request since the last answer was sent.
        self.tried_at = float("-inf")
        self._stated_at = float("-inf")
        # Calls that the statement named beyond those known here at that time.
        self._unknown_calls = 0
        self._learned_at = float("-inf")

    def record_stated(self, load, known_calls, at):
        """Record a StatedLoad of the time ``at``; an older one changes nothing.

        ``known_calls`` is the number of calls at the upstream that are known here.
        """
        if at < self._stated_at:
            return
        self.stated, self._stated_at = load, at
        self.calculated_at = float("-inf")
        self._unknown_calls = max(0, load.calls - known_calls)

    def record_sample(self, duration, usual, now):
        """Record the measured duration of a unit of work whose answer has just begun.

        ``usual`` is that of a usual upstream.
        """
        duration = min(MAX_SAMPLE * usual, max(MIN_SAMPLE * usual, duration))
        learned = self.compute_duration(usual, now)
        slow = duration >= SLOW_FACTOR * usual
        agreed = duration <= AGREED_FACTOR * usual * self.compute_stated(now)
        if not slow or self._slow_since is None:
            self._slow_since = now if slow else None
        lasting = slow and now - self._slow_since >= LASTING_AFTER
        weight = self._weigh_sample(now)
        if lasting:
            weight = LASTING_WEIGHT
        elif not agreed:
            weight = max(weight, LEARNED_WEIGHT)
        elif duration < AGREED_FACTOR * usual < learned:
            weight = max(weight, RECOVERY_WEIGHT)
        self.duration = update_average(learned, duration, weight)
        self.latest = duration
        if lasting or not slow:
            self._half_life = LASTING_HALF_LIFE if lasting else LEARNED_HALF_LIFE
        self._confirmed = slow and agreed
        self.samples += 1
        self._learned_at = now
        self.calculated_at = float("-inf")

    def _weigh_sample(self, now):
        """Return the weight of a sample for the time since the one before."""
        if not self.samples:
            return LEARNED_WEIGHT
        return 1.0 - 0.5 ** ((now - self._learned_at) / LEARNED_HALF_LIFE)

    def record_sent(self, now):
        """Record that a request was sent to the upstream."""
        if self.tried_at <= self.answered_at:
            self.tried_at = now
            self.calculated_at = float("-inf")

    def compute_stated(self, now):
        """Return the stated pace, moved towards the usual one by its age."""
        if self.stated is None or self.stated.pace is None:
            return USUAL_PACE
        return USUAL_PACE + (self.stated.pace - USUAL_PACE) * self._weigh(now)

    def compute_duration(self, usual, now):
        """Return the measured duration, moved towards ``usual`` by its age."""
        return usual + (self.duration - usual) * self._decay(now)

    @property
    def is_learned(self):
        """Return whether there are enough samples to use the learned pace.

        A slow answer and a statement that agree need no further ones.
        """
        return self.samples >= MIN_SAMPLES or self._confirmed

    @property
    def answered_at(self):
        """Return the time of the last answer, minus infinity before the first."""
        return max(self._stated_at, self._learned_at)

    def is_measured(self, now):
        """Return whether there was a sample lately."""
        return now - self._learned_at < MEASURED_FOR

    def compute_latest(self, usual, now):
        """Return the last sample, moved towards ``usual`` by its age."""
        return usual + (self.latest - usual) * self._decay(now)

    def count_unknown_calls(self, now):
        """Return the stated calls that aren't known here, weighted by their age."""
        return self._unknown_calls * self._weigh(now) if self._unknown_calls else 0

    def _weigh(self, now):
        return 0.5 ** (max(0.0, now - self._stated_at) / STATED_HALF_LIFE)

    def _decay(self, now):
        return 0.5 ** (max(0.0, now - self._learned_at) / self._half_life)
