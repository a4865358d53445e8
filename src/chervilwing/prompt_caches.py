"""Record of which prompt parts are probably in which engine's KV cache.

An instance records what it has sent itself and reports recent long prompts to the other
instances, so that each of them can send the next request of the same subject to the
engine that has its history cached.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

from .placement import RandomSet

# Fewest shared tokens of a prompt that is reported. Most of hundreds of requests per
# second have fewer. An engine reads such a prompt in 20 ms, while each report adds
# about 25 bytes to every answer between instances.
MIN_REPORTED_TOKENS = 1000
# Seconds for which a sent prompt is reported: long enough for two exchanges within the
# sender's group and two within the receiver's, even if one of them is lost.
PROMPT_REPORT_SECONDS = 1.5
# Fraction of an engine's memory assumed to hold parts that later requests share; the
# rest holds the own parts of single requests and generated tokens.
SHARED_FRACTION = 0.5
NO_HOLDERS = RandomSet()


class CachedPrompt(NamedTuple):
    """The leading parts of a prompt that was sent to an upstream.

    ``part`` is the name of the last of these parts, ``tokens`` the token count of all.
    """

    upstream: str
    part: str
    tokens: int


class PromptCaches:
    """Prompt parts by upstream of one pool; ``memory_tokens`` are per engine."""

    def __init__(self):
        self._parts = {}
        self._sizes = {}
        # The upstreams that have each part.
        self._holders = {}
        self._recent = deque()

    def record(self, upstream, parts, memory_tokens, now):
        """Record that a prompt with these shared parts was sent to an upstream."""
        for part in parts:
            self._add_part(upstream, part.name, part.tokens, memory_tokens)
        tokens = sum(part.tokens for part in parts)
        if tokens >= MIN_REPORTED_TOKENS:
            self._recent.append((now, CachedPrompt(upstream, parts[-1].name, tokens)))

    def add_reported(self, cached_prompts, memory_tokens):
        """Record what other instances recently sent; repeated reports are harmless."""
        for cached_prompt in cached_prompts:
            self._add_part(*cached_prompt, memory_tokens)

    def remove_upstream(self, upstream):
        """Remove an upstream that is gone, as its cache is gone too."""
        for part in self._parts.pop(upstream, ()):
            self._remove_holder(part, upstream)
        self._sizes.pop(upstream, None)

    def find_holders(self, part):
        """Return the RandomSet of the upstreams that have a part cached."""
        return self._holders.get(part, NO_HOLDERS)

    def list_recent(self, now):
        """Return the recent CachedPrompts to report to other instances."""
        while self._recent and now - self._recent[0][0] > PROMPT_REPORT_SECONDS:
            self._recent.popleft()
        return [cached_prompt for _, cached_prompt in self._recent]

    def count_cached(self, upstream, parts):
        """Return how many leading tokens of these parts an upstream has cached.

        A cached part is usable only together with all parts before it, so the last part
        that is recorded implies that those before it are cached too.
        """
        cached = self._parts.get(upstream, ())
        for count in range(len(parts), 0, -1):
            if parts[count - 1].name in cached:
                return sum([part.tokens for part in parts[:count]])
        return 0

    def _add_part(self, upstream, name, tokens, memory_tokens):
        cached = self._parts.setdefault(upstream, OrderedDict())
        size = self._sizes.get(upstream, 0) + tokens - cached.pop(name, 0)
        cached[name] = tokens
        self._holders.setdefault(name, RandomSet()).add(upstream)
        while size > memory_tokens * SHARED_FRACTION and len(cached) > 1:
            evicted, evicted_tokens = cached.popitem(last=False)
            size -= evicted_tokens
            self._remove_holder(evicted, upstream)
        self._sizes[upstream] = size

    def _remove_holder(self, part, upstream):
        holders = self._holders[part]
        holders.discard(upstream)
        if not holders:
            del self._holders[part]
