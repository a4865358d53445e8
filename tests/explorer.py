"""Random faults on the simulated deployment, generated from a seed."""

from chervilwing.claim_keys import ClaimSettings
from tests import scenarios
from tests.world import Node, World

# Short times, so that claims expire and the store cells of a shard are reused.
SETTINGS = ClaimSettings(
    shards=2, run_limit=8.0, skew=1.0, slot=2.0, ring=24, window=40.0
)
ZONES = {"one": "a", "two": "a", "three": "b", "four": "b", "five": "c"}
# Simulated seconds with random faults, then without.
FAULT_SECONDS = 80.0
RECOVERY_SECONDS = 20.0
NOTE_COUNT = 15
FAULT_COUNT = 8
INVARIANTS = ("whole", "not_run", "never_reverts")


def explore(seed):
    """Return the violated invariants of the run with this seed, as text."""
    world = World(seed, SETTINGS)
    for name, zone in ZONES.items():
        world.nodes[name] = Node(world, name, zone)
    world.start()
    for _ in range(5):
        world.later(world.rng.uniform(0, FAULT_SECONDS), world.publish_next)
    for number in range(NOTE_COUNT):
        plan_note(world, f"note-{number}")
    for _ in range(FAULT_COUNT):
        at = world.rng.uniform(0, FAULT_SECONDS)
        world.later(at, world.rng.choice(FAULT_EVENTS), world)
    world.run(FAULT_SECONDS)
    for node in world.nodes.values():
        node.pause = 0.0
    world.run(RECOVERY_SECONDS)
    world.send("last-note", "one")
    world.run(5.0)
    return list_violations(world)


def list_violations(world):
    """Return the violated invariants as text, from the notes that the service ran."""
    violations = []
    for note in {effect.note for effect in world.effects}:
        effects = [effect for effect in world.effects if effect.note == note]
        if len(effects) > 1:
            violations.append(f"{note} ran {len(effects)} times")
    answers = [call.kind for call in world.calls if call.note == "last-note"]
    if answers != ["ran"]:
        violations.append(f"after all faults: {answers}")
    results = ((name, scenarios.EXPECTS[name](world)) for name in INVARIANTS)
    return violations + [f"{name}: {text}" for name, text in results if text]


def plan_note(world, note):
    """Schedule a note to be sent one to five times, mostly within seconds."""
    at = world.rng.uniform(1, FAULT_SECONDS)
    for _ in range(world.rng.randint(1, 5)):
        if at < FAULT_SECONDS:
            world.later(at, world.send, note, world.rng.choice(list(ZONES)))
        at += world.rng.choice([0.0, 0.002, 0.05, 1.0, 4.0, 12.0, 45.0])


def pick_instance(world):
    """Return the name of a random instance."""
    return world.rng.choice(list(ZONES))


def restart(world):
    """Kill a random instance and start it again within 10 s."""
    name = pick_instance(world)
    world.kill(name)
    world.later(world.rng.uniform(0.1, 10.0), world.nodes[name].boot)


def pause_before_send(world):
    """Pause an instance once, between checking its claim and sending the request."""
    world.nodes[pick_instance(world)].pause = world.rng.uniform(0.5, 15.0)


def break_store(world):
    """Start a random fault of the store, for a random time."""
    fault, value = world.rng.choice(
        [("down", True), ("loses", True), ("slow", 0.3), ("slow", 0.7), ("delays", 1.2)]
    )
    seconds = world.rng.choice([0.05, 0.5, 3.0, 12.0])
    world.store.faults[fault] = world.now + seconds, value


def freeze(world):
    """Freeze a random instance for a random time."""
    world.freeze(pick_instance(world), world.rng.choice([0.02, 0.3, 2.0, 12.0]))


def cut(world):
    """Cut off a zone, an instance from the store, or two instances from each other."""
    pair = frozenset([pick_instance(world), pick_instance(world)])
    target = world.rng.choice(["a", "b", "c", pick_instance(world), pair])
    world.cut(target, world.rng.uniform(0.5, 12.0))


FAULT_EVENTS = (
    restart,
    pause_before_send,
    break_store,
    break_store,
    freeze,
    freeze,
    cut,
)
