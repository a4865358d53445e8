"""Latency, outcome and token statistics by customer and class, in bounded memory."""

from collections import Counter

from hdrh.histogram import HdrHistogram

FIRST_TOKEN = "first_token"
BETWEEN_TOKENS = "between_tokens"
WHOLE_ANSWER = "whole_answer"
LATENCIES = (FIRST_TOKEN, BETWEEN_TOKENS, WHOLE_ANSWER)

# Latencies are recorded in tenths of a millisecond, up to an hour, with two significant
# digits; at the target of 63 ms between tokens, the error of 1 % is 0.6 ms. A histogram
# of this range takes 21.6 kB, so 64 pairs of customer and class with three latencies
# each take 4.2 MB of the 128 MB that a node has for the control plane.
# Recording a value takes 2.3 us, so the gaps between tokens that arrive in one chunk
# are recorded in one call with a count.
UNITS_PER_SECOND = 10_000
MAX_UNITS = 3600 * UNITS_PER_SECOND
SIGNIFICANT_DIGITS = 2

# A configured name can't contain parentheses, so these can't clash with a customer's.
OTHER = "(other)"
NOBODY = "(none)"
MAX_CAUSES = 64


def make_histogram():
    """Return an empty histogram; all share one range, as merging requires it."""
    return HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)


class Series:
    """Counters and latency histograms of one customer and class."""

    def __init__(self, customer, work_class):
        self.customer = customer
        self.work_class = work_class
        self.latencies = {}
        self.seconds = dict.fromkeys(LATENCIES, 0.0)
        self.outcomes = Counter()
        self.tokens = 0
        self.recomputed = 0

    def record_latency(self, kind, seconds, count=1):
        """Record a latency of a kind in LATENCIES; an hour is the highest value."""
        histogram = self.latencies.get(kind)
        if histogram is None:
            histogram = self.latencies[kind] = make_histogram()
        units = max(1, min(MAX_UNITS, round(seconds * UNITS_PER_SECOND)))
        histogram.record_value(units, count)
        self.seconds[kind] += seconds * count

    def record_first_token(self, seconds):
        """Record the time in seconds from a request's arrival to its first token."""
        self.record_latency(FIRST_TOKEN, seconds)

    def record_gap(self, seconds, count=1):
        """Record the time in seconds between two tokens, for ``count`` equal gaps."""
        self.record_latency(BETWEEN_TOKENS, seconds, count)

    def record_answer(self, seconds):
        """Record the time in seconds from a request's arrival to its answer's end."""
        self.record_latency(WHOLE_ANSWER, seconds)

    def record_outcome(self, outcome, cause=""):
        """Count a finished request by its outcome and the type of its failure.

        Causes beyond MAX_CAUSES are counted together, so that a caller who can trigger
        arbitrary causes can't fill the memory.
        """
        key = (outcome, cause)
        if key not in self.outcomes and len(self.outcomes) >= MAX_CAUSES:
            key = (outcome, OTHER)
        self.outcomes[key] += 1

    def record_tokens(self, tokens, recomputed=0):
        """Count tokens sent to the caller, and tokens that engines recomputed."""
        self.tokens += tokens
        self.recomputed += recomputed


class Stats:
    """Statistics of at most ``pairs`` pairs of customer and class.

    Further pairs share one series named ``(other)``. A pair keeps its series until the
    process ends, so that its counters never decrease.
    """

    def __init__(self, pairs):
        self.pairs = pairs
        self.series = {}

    def select(self, customer, work_class):
        """Return the Series of a pair, or the shared one if there are too many pairs.

        A request calls this once.
        """
        key = (customer, work_class)
        if key not in self.series and len(self.series) >= self.pairs:
            key = (OTHER, OTHER)
        if key not in self.series:
            self.series[key] = Series(*key)
        return self.series[key]

    def list_series(self):
        """Return all Series, sorted by customer and class."""
        return [self.series[key] for key in sorted(self.series)]
