"""Measurement of how fast an engine reads prompts while it is busy."""

# Seconds after which the rate of a busy period is returned, and the least seconds and
# prompt tokens of a period that shows a rate: reports of single prompts may be late.
MAX_PERIOD = 0.5
MIN_PERIOD = 0.05
MIN_TOKENS = 3000


class ReadingRate:
    """Prompt tokens per second of one engine in periods without idle time.

    The time from sending a prompt until it was read doesn't show the rate where engines
    read urgent prompts first: others may have overtaken it. Nor does the sender know
    how much of the prompt before it had been read.
    """

    def __init__(self):
        self._began_at = None
        self._last_at = 0.0
        self._tokens = 0

    def record(self, tokens, at, unread):
        """Record a prompt that was read at a time in seconds; return a rate or None.

        ``unread`` is the number of prompt tokens that the engine still has to read.
        """
        if self._began_at is None:
            if unread > 0:
                self._began_at = self._last_at = at
            return None
        self._tokens += tokens
        self._last_at = max(self._last_at, at)
        elapsed = self._last_at - self._began_at
        if unread > 0 and elapsed < MAX_PERIOD:
            return None
        read, self._tokens = self._tokens, 0
        self._began_at = self._last_at if unread > 0 else None
        valid = elapsed >= MIN_PERIOD and read >= MIN_TOKENS
        return read / elapsed if valid else None
