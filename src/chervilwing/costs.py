"""Estimates of the cost of a request, in units of the time to decode one token."""

from .models import SERVICE

# Cost of a prompt token relative to a decoded one: prefill is compute-bound and
# processes tokens in parallel, decoding is memory-bound and produces one at a time.
PREFILL_COST = 0.01
SERVICE_COST = 1.0
# Fraction of max_tokens that a request is expected to generate before any sample.
DEFAULT_OUTPUT_FRACTION = 0.6
# Weight of a new sample in a moving average, which follows a change of a customer's
# requests after about 20 samples.
SAMPLE_WEIGHT = 0.05


def update_average(old, new, weight=SAMPLE_WEIGHT):
    """Return the moving average after one more sample."""
    return old + weight * (new - old)


class CostModel:
    """Expected output lengths by customer and class, and the resulting costs.

    A few very long requests may come among many short ones. If each request counted the
    same, a customer with long prompts would get many times its share.
    """

    def __init__(self):
        self._output_fractions = {}

    def estimate_output_tokens(self, work):
        """Return the expected number of tokens still to be generated, at least 1."""
        fraction = self._output_fractions.get(
            (work.customer, work.work_class), DEFAULT_OUTPUT_FRACTION
        )
        return max(1.0, work.max_tokens * fraction - work.tokens)

    def estimate(self, work, cached=0):
        """Return the expected cost; ``cached`` prompt tokens cost nothing."""
        if work.kind == SERVICE:
            return SERVICE_COST
        uncached = max(0, work.prompt_tokens + work.tokens - cached)
        return uncached * PREFILL_COST + self.estimate_output_tokens(work)

    def record_finished(self, work, tokens, cached=0):
        """Return the cost of finished work, and update the expected output length."""
        if work.kind == SERVICE:
            return SERVICE_COST
        if work.max_tokens:
            key = (work.customer, work.work_class)
            old = self._output_fractions.get(key, DEFAULT_OUTPUT_FRACTION)
            fraction_used = min(1.0, (work.tokens + tokens) / work.max_tokens)
            self._output_fractions[key] = update_average(old, fraction_used)
        uncached = max(0, work.prompt_tokens + work.tokens - cached)
        return uncached * PREFILL_COST + max(1, tokens)
