"""Random faults on the simulated world, from a seed; the service is the oracle."""

from chervilwing.claim_keys import ClaimSettings
from tests import scenarios
from tests.world import Node, World

# Short times, so that claims lapse and cells of the ring are used again.
SETTINGS = ClaimSettings(
    shards=2, run_limit=8.0, skew=1.0, slot=2.0, ring=24, window=40.0
)
PLACES = {"one": "a", "two": "a", "three": "b", "four": "b", "five": "c"}
LENGTH = 80.0
QUIET = 20.0
NOTES = 15
FAULTS = 8
INVARIANTS = ("whole", "not_run", "never_reverts")


def explore(seed):
    """Return what went wrong in the world of this seed, as text."""
    world = World(seed, SETTINGS)
    for name, zone in PLACES.items():
        world.nodes[name] = Node(world, name, zone)
    world.start()
    for _ in range(5):
        world.later(world.rng.uniform(0, LENGTH), world.publish_next)
    for number in range(NOTES):
        plan_note(world, f"note-{number}")
    for _ in range(FAULTS):
        at = world.rng.uniform(0, LENGTH)
        world.later(at, world.rng.choice(FAULT_PLANS), world)
    world.run(LENGTH)
    for node in world.nodes.values():
        node.pause = 0.0
    world.run(QUIET)
    world.send("last-note", "one")
    world.run(5.0)
    return judge(world)


def judge(world):
    """Return the broken invariants."""
    wrong = []
    for note in {effect.note for effect in world.effects}:
        runs = [effect for effect in world.effects if effect.note == note]
        if len(runs) > 1:
            wrong.append(f"{note} ran {len(runs)} times")
    last = [call.kind for call in world.calls if call.note == "last-note"]
    if last != ["ran"]:
        wrong.append(f"after all faults: {last}")
    found = ((name, scenarios.EXPECTS[name](world)) for name in INVARIANTS)
    return wrong + [f"{name}: {text}" for name, text in found if text]


def plan_note(world, note):
    """Send a note up to five times, mostly within seconds of each other."""
    at = world.rng.uniform(1, LENGTH)
    for _ in range(world.rng.randint(1, 5)):
        if at < LENGTH:
            world.later(at, world.send, note, world.rng.choice(list(PLACES)))
        at += world.rng.choice([0.0, 0.002, 0.05, 1.0, 4.0, 12.0, 45.0])


def pick(world):
    """Return any instance's name."""
    return world.rng.choice(list(PLACES))


def restart(world):
    """Kill an instance and start it again."""
    name = pick(world)
    world.kill(name)
    world.later(world.rng.uniform(0.1, 10.0), world.nodes[name].boot)


def pause_late(world):
    """Pause an instance between its check and its send."""
    world.nodes[pick(world)].pause = world.rng.uniform(0.5, 15.0)


def break_store(world):
    """Set one fault of the store."""
    fault, value = world.rng.choice(
        [("down", True), ("loses", True), ("slow", 0.3), ("slow", 0.7), ("delays", 1.2)]
    )
    length = world.rng.choice([0.05, 0.5, 3.0, 12.0])
    world.store.faults[fault] = world.now + length, value


def freeze(world):
    """Freeze an instance."""
    world.freeze(pick(world), world.rng.choice([0.02, 0.3, 2.0, 12.0]))


def cut(world):
    """Cut off a zone, an instance from the platform, or two from each other."""
    pair = frozenset([pick(world), pick(world)])
    what = world.rng.choice(["a", "b", "c", pick(world), pair])
    world.cut(what, world.rng.uniform(0.5, 12.0))


FAULT_PLANS = (restart, pause_late, break_store, break_store, freeze, freeze, cut)
