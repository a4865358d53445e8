"""Prefix cache of the fake engine: text blocks, least recently used evicted first."""

import hashlib
import itertools
from collections import OrderedDict

from tests.fakes.tokens import count_tokens

BLOCK_CHARS = 32
MAX_IMPORTS = 64


def split_blocks(model, text):
    """Yield the digest and the token count of each whole block of the text.

    A digest covers the model and the text up to the end of the block.
    """
    digest = model
    for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
        block = text[start : start + BLOCK_CHARS]
        digest = hashlib.sha256(f"{digest}\0{block}".encode()).hexdigest()[:16]
        yield digest, count_tokens(block)


def count_whole_tokens(text, length):
    """Return the number of whole tokens in the first ``length`` characters."""
    count = count_tokens(text[:length])
    ends_inside = 0 < length < len(text)
    splits_token = ends_inside and not (
        text[length].isspace() or text[length - 1].isspace()
    )
    return count - splits_token


class PrefixCache:
    """Text blocks by prefix digest, and imported KV caches by model and text."""

    def __init__(self, capacity, publish):
        self.capacity = capacity
        self.publish = publish
        self.blocks = OrderedDict()
        self.imported = OrderedDict()

    def count_cached_tokens(self, model, text):
        """Return the number of tokens at the start of the text that are cached."""
        digests = [digest for digest, _ in split_blocks(model, text)]
        cached = list(itertools.takewhile(self.blocks.__contains__, digests))
        self.touch(cached)
        length = len(cached) * BLOCK_CHARS
        texts = [imported for owner, imported in self.imported if owner == model]
        prefix_lengths = [len(prefix) for prefix in texts if text.startswith(prefix)]
        full_lengths = [len(text) for longer in texts if longer.startswith(text)]
        return count_whole_tokens(text, max([length, *prefix_lengths, *full_lengths]))

    def touch(self, digests):
        """Mark the blocks as used, the first as the most recent.

        A block can't be used without the blocks before it, so these are evicted later.
        """
        for digest in reversed(digests):
            self.blocks.move_to_end(digest)

    def add_text(self, model, text):
        """Add the blocks of the text and evict the least recently used."""
        counts = dict(split_blocks(model, text))
        for digest in [digest for digest in counts if digest not in self.blocks]:
            self.publish("store", digest)
        self.blocks.update(counts)
        self.touch(list(counts))
        while len(self.blocks) > self.capacity:
            digest, _ = self.blocks.popitem(last=False)
            self.publish("evict", digest)

    def add_import(self, model, text):
        """Add an imported KV cache and evict the oldest."""
        self.imported[model, text] = True
        while len(self.imported) > MAX_IMPORTS:
            self.imported.popitem(last=False)

    def count_block_tokens(self):
        """Return the number of tokens in the blocks."""
        return sum(self.blocks.values())
