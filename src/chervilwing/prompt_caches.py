"""Which engine has which parts of prompts in its KV cache, as far as instances know.

An instance knows what it has sent itself. It tells the others the long ones of late, so
that the next request of a subject finds its history by whichever instance it comes.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

# Fewest tokens of a prompt that are told. Load: hundreds of requests a second, most of
# them short. Harm: each costs some 25 bytes in every answer between instances; fewer
# tokens than these are read in 20 ms.
TOLD_TOKENS = 1000
# Seconds for which a send is told: two questions, in each of two groups, and one that
# is lost.
TOLD_FOR = 1.5
# Part of an engine's memory that is believed to hold what others may ask for again; the
# rest are prompts of one request alone, and what is generated.
KEPT_PART = 0.5


class Placement(NamedTuple):
    """A prompt's leading parts, by the last of them, that were sent to an upstream."""

    upstream: str
    part: str
    tokens: int


class PromptCaches:
    """State of one pool; its methods take ``memory_tokens``, those of one engine."""

    def __init__(self):
        self._kept = {}
        self._sizes = {}
        self._recent = deque()

    def note(self, upstream, parts, memory_tokens, now):
        """Take note that a prompt with these shared parts was sent to an upstream."""
        for part in parts:
            self._keep(upstream, part.name, part.tokens, memory_tokens)
        tokens = sum(part.tokens for part in parts)
        if tokens >= TOLD_TOKENS:
            self._recent.append((now, Placement(upstream, parts[-1].name, tokens)))

    def learn(self, placements, memory_tokens):
        """Take what other instances have sent of late; twice is as good as once."""
        for placement in placements:
            self._keep(*placement, memory_tokens)

    def forget(self, upstream):
        """Take note that an upstream is gone, and its memory with it."""
        self._kept.pop(upstream, None)
        self._sizes.pop(upstream, None)

    def list_recent(self, now):
        """Return the Placements of late, to be told to others."""
        while self._recent and now - self._recent[0][0] > TOLD_FOR:
            self._recent.popleft()
        return [placement for _, placement in self._recent]

    def count(self, upstream, parts):
        """Return how many tokens of the leading ones of these parts an upstream has.

        A part is only of use with all before it, so that the last one that is there
        tells of those as well.
        """
        kept = self._kept.get(upstream, ())
        tokens = sum(part.tokens for part in parts)
        for part in reversed(parts):
            if part.name in kept:
                return tokens
            tokens -= part.tokens
        return 0

    def _keep(self, upstream, name, tokens, memory_tokens):
        kept = self._kept.setdefault(upstream, OrderedDict())
        size = self._sizes.get(upstream, 0) + tokens - kept.pop(name, 0)
        kept[name] = tokens
        while size > memory_tokens * KEPT_PART and len(kept) > 1:
            size -= kept.popitem(last=False)[1]
        self._sizes[upstream] = size
