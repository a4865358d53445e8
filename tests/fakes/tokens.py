"""Deterministic text generation, so that a test can compute the expected answer."""

import hashlib

SYLLABLES = ("ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "to")
SYLLABLES_PER_TOKEN = 3


def make_token(model, prompt, index):
    """Return token ``index``: a space and a word derived from the arguments."""
    digest = hashlib.sha256(f"{model}\0{prompt}\0{index}".encode()).digest()
    syllables = (
        SYLLABLES[byte % len(SYLLABLES)] for byte in digest[:SYLLABLES_PER_TOKEN]
    )
    return " " + "".join(syllables)


def expected_tokens(model, prompt, count):
    """Return the first ``count`` tokens that every engine generates."""
    return [make_token(model, prompt, index) for index in range(count)]


def count_tokens(text):
    """Return the number of tokens in a text, which are its words."""
    return len(text.split())
