"""Deterministic text generation, so that a test can work out the expected answer."""

import hashlib

SYLLABLES = ("ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "to")
SYLLABLES_PER_TOKEN = 3


def make_token(model, prompt, index):
    """Return token ``index``: a space and a word that model, prompt and index fix."""
    digest = hashlib.sha256(f"{model}\0{prompt}\0{index}".encode()).digest()
    picked = (SYLLABLES[byte % len(SYLLABLES)] for byte in digest[:SYLLABLES_PER_TOKEN])
    return " " + "".join(picked)


def expected_tokens(model, prompt, count):
    """Return the first ``count`` tokens that any engine generates."""
    return [make_token(model, prompt, index) for index in range(count)]


def count_tokens(text):
    """Return how many tokens a text has: its words."""
    return len(text.split())
