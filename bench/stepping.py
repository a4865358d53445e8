"""A model of an engine with chunked prefill: each step decodes beside one prompt chunk.

Simpler than a real engine: memory never overflows, and no sequence is preempted.
"""

from collections import OrderedDict, deque

CHUNK = 2048
SLOTS = 64
# Tokens decoded per simulated step while no prompt is in prefill.
DECODE_TOKENS = 6
# Overhead of a request in seconds, from its arrival to the first step and back.
REQUEST_OVERHEAD = 0.014
# Seconds of a cache fetch from another engine: set-up and transfer of 5,000 tokens.
FETCH_SECONDS = 0.007


class Run:
    """A request in an engine; ``notify`` is called with "first", "done" or "failed".

    ``source`` is an engine from which to fetch cached prompt parts, or None.
    """

    __slots__ = ("notify", "left", "output", "parts", "source")

    def __init__(self, parts, output, notify, source=None):
        self.parts = parts
        self.source = source
        self.left = 0
        self.output = output
        self.notify = notify


class SteppingEngine:
    """An engine: its queue, its batch and its prefix cache."""

    def __init__(self, clock, figures):
        self._clock = clock
        self._figures = figures
        self._waiting = deque()
        self._prefilling = []
        self._decoding = []
        self.cache = OrderedDict()
        self._cached_tokens = 0
        self._stepping = False
        self.alive = True
        self.read_tokens = 0
        self.fetched_tokens = 0

    def arrive(self, run):
        """Accept a request; its prefill starts after the request overhead."""
        delay = REQUEST_OVERHEAD
        if run.source is not None and run.source.alive:
            delay += FETCH_SECONDS
        self._clock.call(delay, self._enter, run)

    def _enter(self, run):
        if not self.alive:
            run.notify("failed")
            return
        if run.source is not None and run.source.alive:
            self._fetch(run)
        self._waiting.append(run)
        self._begin_step()

    def _fetch(self, run):
        """Copy the prompt parts that only the source has in its cache."""
        for part in run.parts[:-1]:
            if part.name not in run.source.cache:
                return
            if part.name not in self.cache:
                self.fetched_tokens += part.tokens
                self._cache_part(part)

    def kill(self):
        """Stop the engine; its running and waiting requests fail."""
        self.alive = False
        runs = [*self._waiting, *self._prefilling, *self._decoding]
        self._waiting, self._prefilling, self._decoding = deque(), [], []
        for run in runs:
            run.notify("failed")

    def is_idle(self):
        """Return whether no request runs or waits."""
        return not (self._waiting or self._prefilling or self._decoding)

    def _begin_step(self):
        if self._stepping or self.is_idle() or not self.alive:
            return
        self._admit()
        chunk = self._prefill_chunk()
        tokens = 1 if chunk else DECODE_TOKENS
        pace = self._figures.step
        pace += self._figures.step_per_request * len(self._decoding)
        seconds = tokens * pace + chunk / self._figures.prefill_rate
        self._stepping = True
        self._clock.call(seconds, self._end_step, tokens)

    def _admit(self):
        while self._waiting and len(self._prefilling) + len(self._decoding) < SLOTS:
            run = self._waiting.popleft()
            run.left = self._count_uncached(run.parts)
            self._prefilling.append(run)

    def _count_uncached(self, parts):
        uncached, cached = 0, True
        for part in parts[:-1]:
            cached = cached and part.name in self.cache
            uncached += 0 if cached else part.tokens
            self._cache_part(part)
        return max(1, uncached + parts[-1].tokens)

    def _cache_part(self, part):
        if part.name not in self.cache:
            self._cached_tokens += part.tokens
        self.cache[part.name] = part.tokens
        self.cache.move_to_end(part.name)
        while self._cached_tokens > self._figures.memory_tokens:
            self._cached_tokens -= self.cache.popitem(last=False)[1]

    def _prefill_chunk(self):
        budget = CHUNK
        for run in self._prefilling:
            tokens = min(budget, run.left)
            run.left -= tokens
            budget -= tokens
            if not budget:
                break
        self.read_tokens += CHUNK - budget
        return CHUNK - budget

    def _end_step(self, tokens):
        self._stepping = False
        if not self.alive:
            return
        ended = []
        for run in self._decoding:
            run.output -= tokens
            if run.output <= 0:
                ended.append(run)
        self._decoding = [run for run in self._decoding if run.output > 0]
        started = [run for run in self._prefilling if not run.left]
        self._prefilling = [run for run in self._prefilling if run.left]
        self._decoding += started
        for run in started:
            run.notify("first")
        for run in ended:
            run.notify("done")
        self._begin_step()
