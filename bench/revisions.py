"""Measure how a revision spreads: ``python -m bench.revisions``.

Simulated time; messages take 1 to 4 ms, and a part of the instances is frozen.
"""

import math
import random
import sys

from chervilwing import messages as m
from chervilwing.revisions import Adopted, Offer
from tests.world import Node, World

PLACES = {7: "abc", 80: "abcde", 320: "abcde"}
SECONDS = 60.0
PUBLISH_AT = 10.0
HEAD = "instances | frozen | calls/s | messages/s an instance | offers | last s"


def measure(instances, frozen, seed=1):
    """Return the row of one fleet: ``frozen`` names who stands still."""
    world = World(seed)
    places = PLACES[instances]
    for number in range(instances):
        name = f"i{number}"
        world.nodes[name] = Quiet(world, name, places[number % len(places)])
    world.start()
    world.publish(1)
    world.run(PUBLISH_AT)
    stopped = FROZEN[frozen](world)
    for name in stopped:
        world.nodes[name].frozen = True
    world.publish(2)
    world.run(SECONDS - PUBLISH_AT)
    live = [node for node in world.nodes.values() if node.name not in stopped]
    last = max(node.adopted.get(2, math.inf) for node in live)
    calls = sum(world.store.counts.values()) / SECONDS
    sent = sum(node.sent for node in live) / len(live) / SECONDS
    offers = sum(node.offers for node in live)
    start = world.now - SECONDS + PUBLISH_AT
    return (
        instances,
        frozen,
        round(calls, 1),
        round(sent, 2),
        offers,
        round(last - start, 2),
    )


class Quiet(Node):
    """An instance of which only the revisions run, ten times a second."""

    sent = 0
    offers = 0

    def boot(self):
        """Start as any instance."""
        self.adopted = {}
        super().boot()

    def tick(self, boot):
        """Tick the revisions only."""
        self.act(self.revisions.tick(self.world.now))
        self.world.later(0.1, self.on, boot, self.tick, boot)

    def act(self, actions):
        """Count what is sent and when a revision was adopted."""
        for action in actions:
            if isinstance(action, Adopted):
                self.adopted[action.stamp.revision] = self.world.now
            if isinstance(action, m.Forward):
                self.sent += 1
                self.offers += _is_offer(action.message)
        super().act(actions)


def _is_offer(message):
    return isinstance(message, Offer) and message.value.startswith("2 ")


def freeze_watchers(world):
    """Return all instances that watch."""
    nodes = world.nodes.values()
    return [node.name for node in nodes if node.revisions._elected]


def freeze_some(world):
    """Return half of the instances, drawn from a fixed seed."""
    return random.Random(7).sample(sorted(world.nodes), len(world.nodes) // 2)


FROZEN = {"none": lambda world: [], "watchers": freeze_watchers, "half": freeze_some}


def main():
    """Print a row for each fleet and fault."""
    print(HEAD)
    for instances in PLACES:
        for frozen in FROZEN:
            row = measure(instances, frozen)
            print(" | ".join(str(field) for field in row), flush=True)


if __name__ == "__main__":
    sys.exit(main())
