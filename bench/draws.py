"""Deployments drawn at random from ranges, and the requests that come to them."""

import tomllib
from pathlib import Path
from typing import NamedTuple

from chervilwing.demands import PromptPart
from chervilwing.routing import FleetSpec

RANGES = Path(__file__).with_name("drawn.toml")
CENTRES = ("a", "b", "c")
# Engine seconds of a generated token in a batch, to turn work into rates.
TOKEN_SECONDS = 0.00015
# Most of a prompt, against the mean of its kind.
LONGEST = 8.0
# Swing and seconds of the usual wave of traffic.
SWING, PERIOD = 0.3, 40.0


class Kind(NamedTuple):
    """A kind of request; ``worth`` is what one of mean size is worth."""

    name: str
    per_second: float
    latency_target: float
    deadline: float
    worth: float
    shared: tuple[int, int]
    subject: tuple[int, int]
    own: float
    spread: float
    output: float


class EngineFigures(NamedTuple):
    """What an engine does in a second; times in seconds."""

    prefill_rate: float
    step: float
    step_per_request: float
    memory_tokens: int


class Burst(NamedTuple):
    """A time in which one kind comes so many times as often."""

    start: float
    end: float
    kind: int
    factor: float


class Wave(NamedTuple):
    """All reclaimable instances of a data centre leave, and no others are had."""

    at: float
    centre: str
    notice: float
    dry: float


class Deployment(NamedTuple):
    """One drawn deployment with its troubles."""

    seconds: float
    lead: float
    gateways: int
    work: float
    instance_cost: float
    fleet: FleetSpec
    engine: EngineFigures
    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...]
    waves: tuple[Wave, ...]
    crashes: tuple[float, ...]


class Arrival(NamedTuple):
    """One request of a caller."""

    at: float
    kind: Kind
    centre: str
    worth: float
    parts: tuple[PromptPart, ...]
    output: int


def read_ranges(path=RANGES):
    """Return the ranges of a settings file."""
    return tomllib.loads(Path(path).read_text())


def draw(ranges, rng):
    """Return a Deployment; ``rng`` is a numpy Generator."""
    work = between(rng, ranges["work"])
    engine = draw_engine(ranges["engine"], rng)
    kinds = draw_kinds(ranges["kinds"], work, engine, rng)
    trouble, seconds = ranges["trouble"], ranges["seconds"]
    prices = {centre: between(rng, ranges["centre_price"]) for centre in CENTRES}
    fleet = FleetSpec(
        1,
        max(whole(rng, ranges["maximum"]), int(work) + 3),
        between(rng, ranges["boot"]),
        between(rng, ranges["reclaimable_price"]),
        prices,
    )
    return Deployment(
        seconds,
        ranges["lead"],
        whole(rng, ranges["gateways"]),
        work,
        between(rng, ranges["instance_cost"]),
        fleet,
        engine,
        kinds,
        draw_bursts(trouble, seconds, len(kinds), rng),
        draw_waves(trouble, rng),
        tuple(rng.uniform(5.0, seconds, whole(rng, trouble["crashes"]))),
    )


def between(rng, bounds):
    """Return a number between two bounds."""
    return float(rng.uniform(*bounds))


def whole(rng, bounds):
    """Return a whole number between two bounds, both included."""
    return int(rng.integers(bounds[0], bounds[1] + 1))


def draw_engine(ranges, rng):
    """Return the figures of the engines."""
    return EngineFigures(
        between(rng, ranges["prefill_rate"]),
        between(rng, ranges["step"]),
        between(rng, ranges["step_per_request"]),
        whole(rng, ranges["memory_tokens"]),
    )


def draw_kinds(ranges, work, engine, rng):
    """Return kinds of requests that make so much work together."""
    shares = rng.dirichlet([2.0] * whole(rng, ranges["count"]))
    return tuple(
        draw_kind(f"k{number}", ranges, work * float(share), engine, rng)
        for number, share in enumerate(shares)
    )


def draw_kind(name, ranges, work, engine, rng):
    """Return one kind; it makes ``work`` engine seconds a second."""
    shared = whole(rng, ranges["shared_tokens"])
    subject = whole(rng, ranges["subject_tokens"])
    own = between(rng, ranges["own_tokens"])
    output = between(rng, ranges["output_tokens"])
    target = between(rng, ranges["latency_target"])
    # Half of what is shared is read anew, roughly.
    read = own + (shared + subject) / 2
    each = read / engine.prefill_rate + output * TOKEN_SECONDS
    return Kind(
        name,
        work / each,
        target,
        target * between(rng, ranges["patience"]),
        each * between(rng, ranges["worth"]),
        (shared, whole(rng, ranges["shared_count"])),
        (subject, whole(rng, ranges["subject_count"])),
        own,
        between(rng, ranges["own_spread"]),
        output,
    )


def draw_bursts(ranges, seconds, kinds, rng):
    """Return the bursts of a deployment."""
    found = []
    for _ in range(whole(rng, ranges["bursts"])):
        start = float(rng.uniform(3.0, seconds - 5.0))
        end = start + between(rng, ranges["burst_seconds"])
        kind, factor = int(rng.integers(kinds)), between(rng, ranges["burst_factor"])
        found.append(Burst(start, end, kind, factor))
    return tuple(found)


def draw_waves(ranges, rng):
    """Return the waves of a deployment, one after the other."""
    at, found = between(rng, ranges["first_wave"]), []
    for _ in range(whole(rng, ranges["waves"])):
        centre = CENTRES[int(rng.integers(len(CENTRES)))]
        notice, dry = between(rng, ranges["notice"]), between(rng, ranges["dry"])
        found.append(Wave(at, centre, notice, dry))
        at += between(rng, ranges["wave_gap"])
    return tuple(found)


def draw_arrivals(deployment, rng):
    """Return all requests in order of arrival."""
    found = []
    for index, kind in enumerate(deployment.kinds):
        bursts = [burst for burst in deployment.bursts if burst.kind == index]
        found += draw_stream(kind, bursts, deployment.seconds, rng)
    return sorted(found, key=lambda arrival: arrival.at)


def draw_stream(kind, bursts, seconds, rng):
    """Return the requests of one kind: a wave with bursts, thinned from its peak."""
    peak = (1 + SWING) * max([1.0, *(burst.factor for burst in bursts)])
    phase, at, found = float(rng.uniform(0, 1)), 0.0, []
    while True:
        at += float(rng.exponential(1.0 / (kind.per_second * peak)))
        if at >= seconds:
            return found
        rate = 1 + SWING * float(wave(at / PERIOD + phase))
        for burst in bursts:
            rate *= burst.factor if burst.start <= at < burst.end else 1.0
        if rng.uniform(0, peak) < rate:
            found.append(draw_arrival(kind, at, rng))


def wave(turns):
    """Return a triangle between -1 and 1."""
    return abs(turns % 1.0 * 4 - 2) - 1


def draw_arrival(kind, at, rng):
    """Return one request of a kind."""
    sigma = kind.spread
    factor = min(LONGEST, float(rng.lognormal(-sigma * sigma / 2, sigma)))
    shared, subjects = int(rng.integers(kind.shared[1])), kind.subject[1]
    # Some subjects are asked for more often than others.
    subject = int(subjects * rng.uniform() ** 1.3)
    parts = (
        PromptPart(f"{kind.name}s{shared}", kind.shared[0]),
        PromptPart(f"{kind.name}j{subject}", kind.subject[0]),
        PromptPart(f"{kind.name}o{at}", max(50, int(kind.own * factor))),
    )
    size = sum(part.tokens for part in parts)
    mean = kind.own + kind.shared[0] + kind.subject[0]
    worth = kind.worth * min(4.0, 0.3 + 0.7 * size / mean)
    output = max(4, int(kind.output * min(3.0, float(rng.lognormal(-0.1, 0.44)))))
    centre = CENTRES[int(rng.integers(len(CENTRES)))]
    return Arrival(at, kind, centre, worth, parts, output)
