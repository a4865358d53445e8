"""What taking up streams costs where all instances know one version.

Print the figures: python -m tests.stream_costs
"""

from tests.stream_fleet import Fleet

SIZES = (3, 8, 67, 320)
CALLERS_PER_SECOND = 100
# Seconds before a fault, and of the fault.
CALM, FAULT = 5.0, 3.0


def leave_calm(fleet):
    pass


def isolate_some(fleet):
    """Cut one instance in ten from the store and from all other instances."""
    apart = fleet.rng.sample(fleet.names, max(1, len(fleet.names) // 10))
    fleet.cut.update(apart)
    fleet.blind.update(apart)


def lose_store(fleet):
    fleet.blind.update(fleet.names)


def count(fleet):
    """Return the totals of a fleet until now."""
    return (
        sum(stream.gone_on for stream in fleet.streams),
        sum(len(stream.refusals) for stream in fleet.streams),
        fleet.datagrams,
        fleet.reads,
    )


def measure(size, fault, seed=1):
    """Return what a fault's seconds cost, and the streams of two versions."""
    fleet = Fleet(size, seed, versions=("v1", "v1"))
    for number in range(int((CALM + FAULT) * CALLERS_PER_SECOND)):
        fleet.call_later(number / CALLERS_PER_SECOND, fleet.ask)
    fleet.run(CALM)
    before = count(fleet)
    fault(fleet)
    fleet.run(FAULT)
    after = count(fleet)
    gone_on, refused, *costs = (b - a for a, b in zip(before, after, strict=True))
    taken_up = gone_on + refused
    mixed = sum(len(stream.versions) > 1 for stream in fleet.streams)
    return taken_up, refused / taken_up, *(cost / taken_up for cost in costs), mixed


def main():
    """Print a row for each fault and size."""
    print("fault size taken-up refused datagrams store-calls mixed")
    for fault in (leave_calm, isolate_some, lose_store):
        for size in SIZES:
            taken_up, *costs, mixed = measure(size, fault)
            figures = " ".join(f"{cost:.3f}" for cost in costs)
            print(fault.__name__, size, taken_up, figures, mixed)


if __name__ == "__main__":
    main()
