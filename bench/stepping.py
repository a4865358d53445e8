"""A model of an engine that works in steps: a batch decodes beside one chunk of prompt.

Simpler than an engine: memory never overflows, and what runs is never put back.
"""

from collections import OrderedDict, deque

CHUNK = 2048
SLOTS = 64
# Tokens that are decoded in one go while no prompt is read.
STRIDE = 6
# Seconds from arrival to the first step, and back.
FIRST_SECONDS = 0.014
# Seconds of a fetch from another engine: to set up, and 5,000 tokens on the link.
FETCH_SECONDS = 0.007


class Run:
    """One request in an engine; ``heard`` takes "first", "done" or "failed".

    ``source`` is an engine from which it fetches what the other one lacks, or None.
    """

    __slots__ = ("heard", "left", "output", "parts", "source")

    def __init__(self, parts, output, heard, source=None):
        self.parts = parts
        self.source = source
        self.left = 0
        self.output = output
        self.heard = heard


class SteppingEngine:
    """State of one engine."""

    def __init__(self, clock, figures):
        self._clock = clock
        self._figures = figures
        self._waiting = deque()
        self._reading = []
        self._decoding = []
        self.cache = OrderedDict()
        self._kept = 0
        self._stepping = False
        self.alive = True
        self.read_tokens = 0
        self.fetched_tokens = 0

    def arrive(self, run):
        """Take a request in."""
        delay = FIRST_SECONDS
        if run.source is not None and run.source.alive:
            delay += FETCH_SECONDS
        self._clock.call(delay, self._enter, run)

    def _enter(self, run):
        if not self.alive:
            run.heard("failed")
            return
        if run.source is not None and run.source.alive:
            self._fetch(run)
        self._waiting.append(run)
        self._begin_step()

    def _fetch(self, run):
        """Take what the source keeps of the prompt beyond what is kept here."""
        for part in run.parts[:-1]:
            if part.name not in run.source.cache:
                return
            if part.name not in self.cache:
                self.fetched_tokens += part.tokens
                self._keep(part)

    def kill(self):
        """End the engine; what it has fails."""
        self.alive = False
        runs = [*self._waiting, *self._reading, *self._decoding]
        self._waiting, self._reading, self._decoding = deque(), [], []
        for run in runs:
            run.heard("failed")

    def is_idle(self):
        """Tell whether nothing runs or waits."""
        return not (self._waiting or self._reading or self._decoding)

    def _begin_step(self):
        if self._stepping or self.is_idle() or not self.alive:
            return
        self._admit()
        chunk = self._read_chunk()
        tokens = 1 if chunk else STRIDE
        pace = self._figures.step
        pace += self._figures.step_per_request * len(self._decoding)
        seconds = tokens * pace + chunk / self._figures.prefill_rate
        self._stepping = True
        self._clock.call(seconds, self._end_step, tokens)

    def _admit(self):
        while self._waiting and len(self._reading) + len(self._decoding) < SLOTS:
            run = self._waiting.popleft()
            run.left = self._count_unread(run.parts)
            self._reading.append(run)

    def _count_unread(self, parts):
        unread, known = 0, True
        for part in parts[:-1]:
            known = known and part.name in self.cache
            unread += 0 if known else part.tokens
            self._keep(part)
        return max(1, unread + parts[-1].tokens)

    def _keep(self, part):
        if part.name not in self.cache:
            self._kept += part.tokens
        self.cache[part.name] = part.tokens
        self.cache.move_to_end(part.name)
        while self._kept > self._figures.memory_tokens:
            self._kept -= self.cache.popitem(last=False)[1]

    def _read_chunk(self):
        room = CHUNK
        for run in self._reading:
            taken = min(room, run.left)
            run.left -= taken
            room -= taken
            if not room:
                break
        self.read_tokens += CHUNK - room
        return CHUNK - room

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
        started = [run for run in self._reading if not run.left]
        self._reading = [run for run in self._reading if run.left]
        self._decoding += started
        for run in started:
            run.heard("first")
        for run in ended:
            run.heard("done")
        self._begin_step()
