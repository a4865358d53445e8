"""The prompt prefix cache of the stand-in engine: blocks of text, least recent out."""

import hashlib
import itertools
from collections import OrderedDict

from tests.fakes.tokens import count_tokens

BLOCK = 32
IMPORT_LIMIT = 64


def split_blocks(model, text):
    """Yield the chained digest and the token count of each whole block of the text."""
    digest = model
    for start in range(0, len(text) - BLOCK + 1, BLOCK):
        block = text[start : start + BLOCK]
        digest = hashlib.sha256(f"{digest}\0{block}".encode()).hexdigest()[:16]
        yield digest, count_tokens(block)


def count_covered(text, length):
    """Return how many whole tokens lie in the first ``length`` characters."""
    counted = count_tokens(text[:length])
    inside = 0 < length < len(text)
    cut = inside and not (text[length].isspace() or text[length - 1].isspace())
    return counted - cut


class PrefixCache:
    """Blocks by digest and imported KV caches by whole text."""

    def __init__(self, capacity, publish):
        self.capacity = capacity
        self.publish = publish
        self.blocks = OrderedDict()
        self.imported = OrderedDict()

    def match(self, model, text):
        """Return how many tokens of the text need no computing."""
        digests = [digest for digest, _ in split_blocks(model, text)]
        found = list(itertools.takewhile(self.blocks.__contains__, digests))
        self.touch(found)
        length = len(found) * BLOCK
        kept = [known for owner, known in self.imported if owner == model]
        shared = [len(known) for known in kept if text.startswith(known)]
        whole = [len(text) for known in kept if known.startswith(text)]
        return count_covered(text, max([length, *shared, *whole]))

    def touch(self, digests):
        """Make the blocks recent, the first most: one without its prefix is no use."""
        for digest in reversed(digests):
            self.blocks.move_to_end(digest)

    def store(self, model, text):
        """Keep the blocks of the text, and push out the least recently used."""
        counts = dict(split_blocks(model, text))
        for digest in [digest for digest in counts if digest not in self.blocks]:
            self.publish("store", digest)
        self.blocks.update(counts)
        self.touch(list(counts))
        while len(self.blocks) > self.capacity:
            digest, _ = self.blocks.popitem(last=False)
            self.publish("evict", digest)

    def load(self, model, text):
        """Keep an imported KV cache, and push out the oldest."""
        self.imported[model, text] = True
        while len(self.imported) > IMPORT_LIMIT:
            self.imported.popitem(last=False)

    def count(self):
        """Return the tokens held in blocks."""
        return sum(self.blocks.values())
