"""Crashing parts of prompts in a simulation of instances that restart."""

import random
import sys
import unittest
from typing import NamedTuple

from chervilwing.fingerprints import make_part_fingerprint
from tests.crash_fleet import IN_CONTACT_AFTER, Fleet
from tests.test_crash_records_model import FAULTS, SIZES, restart_some

# Crashes from which a part may not be sent any more, as soon as all know of them.
KNOWN_CRASHES = 5
# Seconds after the last of these crashes from which sound requests are served as ever.
SOUND_AFTER = 2 * IN_CONTACT_AFTER
# Shares of the sound requests by their first part.
FIRST_PARTS = {"system": 0.6, "agent": 0.4}
DOCUMENTS = 40
# Seconds between two requests with the part: two and five a second.
PAUSES = (0.5, 0.2)


class Shape(NamedTuple):
    """What the requests with a crashing part have in common.

    ``first`` is their first part, any if empty; ``documents`` whether they also have
    one of the parts that sound requests share; ``parts`` are those that crash engines.
    """

    first: str = ""
    documents: bool = True
    parts: tuple[str, ...] = ("bad",)


SHAPES = {
    "any first part": Shape(),
    "one first part, shared with sound requests": Shape(first="system"),
    "part first": Shape(first="bad", documents=False),
    "a first part that only a few sound requests share": Shape(first="rare"),
    "two parts at once": Shape(parts=("bad", "worse")),
}
# Share of the sound requests that begin with the part "rare".
RARE_SHARE = 0.01


def make_drawer(shape):
    """Return a function that draws the shared parts of a prompt."""

    def draw(rng, part):
        first = rng.choices(*zip(*FIRST_PARTS.items(), strict=True))[0]
        names = [first, f"doc{int(rng.paretovariate(0.7)) % DOCUMENTS}"]
        if part:
            documents = names[1:] if shape.documents else []
            names = [shape.first or first, *documents, part]
        elif rng.random() < RARE_SHARE:
            names[0] = "rare"
        return tuple(map(make_part_fingerprint, dict.fromkeys(names)))

    return draw


def play(size, engines, rate, fault, shape, pause, seed):
    """Play one fault while callers send crashing parts; return the Fleet."""
    fleet = Fleet(size, engines, seed, draw_parts=make_drawer(shape))
    fleet.run(3, rate)
    for part in shape.parts:
        fleet.repeat_part(part, pause)
    fault(fleet, rate)
    return fleet


def list_faults(size):
    """Return the faults that instances of this number can have."""
    return [item for item in FAULTS if size > 1 or item is not restart_some]


def find_breach(fleet, shape):
    """Return what a played fleet has broken, or an empty text."""
    for part in shape.parts:
        late = fleet.count_late(part, KNOWN_CRASHES)
        if late:
            return f"{part} sent {late} times too late"
    known_at = max(fleet.get_crash(part, KNOWN_CRASHES) for part in shape.parts)
    unserved = sum(at > known_at + SOUND_AFTER for at in fleet.refused_at)
    return f"{unserved} sound requests refused later" if unserved else ""


class TestCrashingParts(unittest.TestCase):
    def test_a_part_is_barred_by_all_instances_and_sound_requests_by_none(self):
        # Guards against a part that crashes one engine after the other, and against
        # bars on what was only in flight beside it.
        rng = random.Random(1)
        for size, engines, rate in SIZES:
            for fault in list_faults(size):
                name, shape = rng.choice(list(SHAPES.items()))
                pause = rng.choice(PAUSES)
                fleet = play(size, engines, rate, fault, shape, pause, size)
                with self.subTest(size=size, fault=fault.__name__, shape=name):
                    self.assertEqual(find_breach(fleet, shape), "")


def main(count, first):
    """Print the breaches of ``count`` seeds, each with all sizes and faults."""
    played = broken = 0
    for seed in range(first, first + count):
        rng = random.Random(seed)
        for size, engines, rate in SIZES:
            for fault in list_faults(size):
                name, shape = rng.choice(list(SHAPES.items()))
                pause = rng.choice(PAUSES)
                fleet = play(size, engines, rate, fault, shape, pause, seed)
                breach = find_breach(fleet, shape)
                played, broken = played + 1, broken + bool(breach)
                if breach:
                    print(seed, size, fault.__name__, name, pause, breach, flush=True)
    print(f"{broken} of {played} broken")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
