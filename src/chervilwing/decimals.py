"""Whole numbers in texts of other programs: header fields and stored values."""

import re

# Up to 15 digits, which a double holds exactly and msgpack can encode. int() refuses
# texts of over 4,300 digits, and many conversions fail on fewer.
NUMBER = re.compile(r"[0-9]{1,15}\Z")


def read_number(text):
    """Return the whole number that a text consists of, or None."""
    return int(text) if NUMBER.match(text) else None
