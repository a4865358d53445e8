"""Estimates of what a piece of work costs, in the time of one decoded token."""

from .models import SERVICE

# A prompt token costs this part of a decoded one: prefill is bound by arithmetic
# and runs in parallel, decoding is bound by memory and runs one by one.
PREFILL_PART = 0.01
SERVICE_COST = 1.0
# Part of max_tokens that is expected before anything was measured.
FIRST_GUESS = 0.6
# Weight of a new sample: a change in a customer's habits shows after about 20.
SAMPLE_WEIGHT = 0.05


def blend(old, new, weight=SAMPLE_WEIGHT):
    """Return the moving average after one more sample."""
    return old + weight * (new - old)


class CostModel:
    """Expected output lengths by customer and class, and costs made from them.

    Load: few very long requests among many short ones. Harm prevented: counted as
    requests, a customer with long prompts takes many times its share.
    """

    def __init__(self):
        self._parts = {}

    def expect_output(self, work):
        """Return how many tokens are still to be generated."""
        part = self._parts.get((work.customer, work.work_class), FIRST_GUESS)
        return max(1.0, work.max_tokens * part - work.tokens)

    def estimate(self, work, cached=0):
        """Return the cost with so many prompt tokens already cached."""
        if work.kind == SERVICE:
            return SERVICE_COST
        fresh = max(0, work.prompt_tokens + work.tokens - cached)
        return fresh * PREFILL_PART + self.expect_output(work)

    def measure(self, work, tokens, cached=0):
        """Return the cost that the finished work really had, and learn from it."""
        if work.kind == SERVICE:
            return SERVICE_COST
        if work.max_tokens:
            key = (work.customer, work.work_class)
            old = self._parts.get(key, FIRST_GUESS)
            whole = min(1.0, (work.tokens + tokens) / work.max_tokens)
            self._parts[key] = blend(old, whole)
        fresh = max(0, work.prompt_tokens + work.tokens - cached)
        return fresh * PREFILL_PART + max(1, tokens)
