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
# A statement explains an answer that took at most this many times as long as stated.
EXPLAINED_FACTOR = 1.5
# Bounds of one sample. An instance that was suspended reads all answers late.
MIN_SAMPLE = 0.1
MAX_SAMPLE = 20.0
USUAL_PACE = 1.0


class UpstreamPace:
    """State of one upstream's pace; times are seconds on one clock.

    ``stated`` is the latest StatedLoad, None before the first. ``learned`` is the
    measured duration of work over the one that the pool's rate predicts.
    """

    def __init__(self):
        self.stated = None
        self.learned = USUAL_PACE
        self.samples = 0
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
        self._unknown_calls = max(0, load.calls - known_calls)

    def record_sample(self, ratio, usual, now):
        """Record measured over predicted time of an answer that has just begun.

        ``usual`` is the pace of a usual upstream in the same unit.
        """
        ratio = min(MAX_SAMPLE, max(MIN_SAMPLE, ratio))
        learned = self.compute_learned(usual, now)
        # What has decayed since the last sample is replaced by this one.
        weight = 1.0 - self._decay(now)
        stated = usual * self.compute_stated(now)
        if ratio < learned or ratio > EXPLAINED_FACTOR * stated:
            weight = max(weight, LEARNED_WEIGHT)
        if not self.samples:
            weight = LEARNED_WEIGHT
        self.learned = update_average(learned, ratio, weight)
        self.samples += 1
        self._learned_at = now

    def compute_stated(self, now):
        """Return the stated pace, moved towards the usual one by its age."""
        if self.stated is None or self.stated.pace is None:
            return USUAL_PACE
        return USUAL_PACE + (self.stated.pace - USUAL_PACE) * self._weigh(now)

    def compute_learned(self, usual, now):
        """Return the learned pace, moved towards ``usual`` by its age."""
        return usual + (self.learned - usual) * self._decay(now)

    @property
    def is_learned(self):
        """Return whether there are enough samples to use the learned pace."""
        return self.samples >= MIN_SAMPLES

    @property
    def answered_at(self):
        """Return the time of the last answer, minus infinity before the first."""
        return max(self._stated_at, self._learned_at)

    def count_unknown_calls(self, now):
        """Return the stated calls that aren't known here, weighted by their age."""
        return self._unknown_calls * self._weigh(now) if self._unknown_calls else 0

    def _weigh(self, now):
        return 0.5 ** (max(0.0, now - self._stated_at) / STATED_HALF_LIFE)

    def _decay(self, now):
        return 0.5 ** (max(0.0, now - self._learned_at) / LEARNED_HALF_LIFE)
