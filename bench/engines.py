"""A discrete-event model of an upstream: batch, prefix cache, queue, failure."""

from collections import OrderedDict
from heapq import heappop, heappush
from itertools import count

# Tokens per second.
PREFILL_RATE = 8000.0
# Seconds per decode step of a single sequence.
MODEL_STEP = 0.025
# Relative slowdown of a decode step per further sequence in the batch.
BATCH_SLOWDOWN = 0.12
# Fraction of the decode speed that remains while another sequence is in prefill.
MIXED_SPEED = 0.6
CACHE_TOKENS = 40_000
# Queue limit, in requests per slot.
WAITING_PER_SLOT = 2
EPSILON = 1e-9


class Clock:
    """Simulated time in seconds and the queue of scheduled actions."""

    def __init__(self):
        self.now = 0.0
        self._due = []
        self._order = count()

    def call(self, delay, action, *args):
        """Schedule the action to run after ``delay`` seconds."""
        heappush(self._due, (self.now + delay, next(self._order), action, args))

    def run(self, until):
        """Run all actions due up to ``until`` and set the time to it."""
        while self._due and self._due[0][0] <= until:
            self.now, _, action, args = heappop(self._due)
            action(*args)
        self.now = max(self.now, until)


class Sequence:
    """An attempt in an upstream; ``prefill`` and ``decode`` are the tokens left."""

    def __init__(self, job, decode, notify):
        self.job = job
        self.notify = notify
        self.prefill = 0.0
        self.decode = decode
        self.done = 0.0
        self.cached = 0
        self.waited_from = 0.0


class Engine:
    """An upstream with slots; a service is modelled as an upstream without prefill."""

    def __init__(
        self,
        name,
        clock,
        computed,
        slots=8,
        step=MODEL_STEP,
        batch_slowdown=BATCH_SLOWDOWN,
    ):
        self.name = name
        self.slots = slots
        self.slowdown = 1.0
        self.dead = False
        self.recomputed = 0
        self._clock = clock
        self._computed = computed
        self._step = step
        self._batch_slowdown = batch_slowdown
        self._cache = OrderedDict()
        self._cached_tokens = 0
        self._running = []
        self._waiting = []
        self._order = count()
        self._at = 0.0
        self._version = 0

    def report(self):
        """Return the numbers of running and waiting attempts."""
        return len(self._running), len(self._waiting)

    def arrive(self, job, decode, notify):
        """Accept an attempt; call ``notify(event, sequence)`` on each of its events."""
        sequence = Sequence(job, decode, notify)
        if self.dead:
            notify("failed", sequence)
            return
        if len(self._waiting) >= WAITING_PER_SLOT * self.slots:
            notify("busy", sequence)
            return
        # Only model engines order their queue by priority.
        priority = job.priority if job.prompt else 0
        heappush(self._waiting, (priority, next(self._order), sequence))
        self._advance()
        self._admit()
        self._plan()

    def cancel(self, job):
        """Stop an attempt; return its generated tokens, None if it was not running."""
        self._advance()
        found = [seq for seq in self._running if seq.job is job]
        self._waiting = [item for item in self._waiting if item[2].job is not job]
        self._running = [seq for seq in self._running if seq.job is not job]
        self._admit()
        self._plan()
        return found[0].done if found else None

    def kill(self):
        """Stop the upstream; its running and waiting attempts fail."""
        self._advance()
        self.dead = True
        self._version += 1
        for sequence in self._running + [item[2] for item in self._waiting]:
            sequence.notify("failed", sequence)
        self._running, self._waiting = [], []

    def slow(self, factor):
        """Make each step ``factor`` times as long as normal from now on."""
        self._advance()
        self.slowdown = factor
        self._plan()

    def _admit(self):
        while self._waiting and len(self._running) < self.slots:
            _, _, sequence = heappop(self._waiting)
            self._begin(sequence)
            self._running.append(sequence)

    def _begin(self, sequence):
        job = sequence.job
        job.runs += 1
        if not job.prompt:
            return
        sequence.prefill = float(job.prompt + job.tokens)
        if job.exported:
            sequence.prefill = 1.0
            return
        if job.prefix in self._cache:
            self._cache.move_to_end(job.prefix)
            sequence.prefill -= job.prefix_tokens
        elif job.prefix in self._computed:
            self.recomputed += job.prefix_tokens
        self.recomputed += job.tokens

    def _rates(self):
        prefilling = sum(seq.prefill > EPSILON for seq in self._running)
        pace = self._step * self.slowdown
        pace *= 1.0 + self._batch_slowdown * (len(self._running) - 1)
        decode = (MIXED_SPEED if prefilling else 1.0) / pace
        return PREFILL_RATE / self.slowdown / max(1, prefilling), decode

    def _advance(self):
        passed = self._clock.now - self._at
        self._at = self._clock.now
        if passed <= 0 or not self._running:
            return
        prefill, decode = self._rates()
        for sequence in self._running:
            if sequence.prefill > EPSILON:
                sequence.prefill -= prefill * passed
            else:
                sequence.decode -= decode * passed
                sequence.done += decode * passed

    def _plan(self):
        self._version += 1
        if not self._running:
            return
        prefill, decode = self._rates()
        delay = min(
            seq.prefill / prefill if seq.prefill > EPSILON else seq.decode / decode
            for seq in self._running
        )
        self._clock.call(max(0.0, delay) + EPSILON, self._run_step, self._version)

    def _run_step(self, version):
        if version != self._version or self.dead:
            return
        prefilling = {id(seq) for seq in self._running if seq.prefill > EPSILON}
        self._advance()
        ended = [seq for seq in self._running if seq.prefill <= EPSILON >= seq.decode]
        for sequence in self._running:
            if id(sequence) in prefilling and sequence.prefill <= EPSILON:
                self._cache_prefix(sequence.job)
                sequence.notify("first", sequence)
        self._running = [seq for seq in self._running if seq not in ended]
        for sequence in ended:
            sequence.notify("done", sequence)
        self._admit()
        self._plan()

    def _cache_prefix(self, job):
        """Cache the prefix, evicting the least recently used prefixes."""
        if not job.prefix:
            return
        self._computed.add(job.prefix)
        if job.prefix in self._cache:
            return
        self._cache[job.prefix] = job.prefix_tokens
        self._cached_tokens += job.prefix_tokens
        while self._cached_tokens > CACHE_TOKENS:
            _, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens
