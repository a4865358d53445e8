"""Draw random deployments from ranges, and the requests sent to them."""

import tomllib
from pathlib import Path
from typing import NamedTuple

from chervilwing.demands import PromptPart
from chervilwing.routing import FleetSpec

RANGES = Path(__file__).with_name("drawn.toml")
CENTRES = ("a", "b", "c")
# Engine seconds per generated token in a full batch; converts work into request rates.
TOKEN_SECONDS = 0.00015
# Maximum length of a prompt's own part, as a multiple of the mean of its kind.
MAX_LENGTH_FACTOR = 8.0
# Relative amplitude and period in seconds of the regular variation of traffic.
AMPLITUDE, PERIOD = 0.3, 40.0


class Kind(NamedTuple):
    """A kind of request; ``worth`` is the value of a request of mean size.

    ``shared`` and ``subject`` are each (tokens, number of distinct prompt parts);
    ``own`` and ``output`` are mean tokens; times are in seconds.
    """

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
    """Speed of an engine in tokens per second and seconds per step, and its memory."""

    prefill_rate: float
    step: float
    step_per_request: float
    memory_tokens: int


class Burst(NamedTuple):
    """An interval in which requests of one kind arrive ``factor`` times as often."""

    start: float
    end: float
    kind: int
    factor: float


class Reclaim(NamedTuple):
    """A reclaim of all reclaimable instances of a data centre.

    No reclaimable instance is available anywhere for ``dry`` seconds from ``at``.
    """

    at: float
    centre: str
    notice: float
    dry: float


class Deployment(NamedTuple):
    """A drawn deployment with its bursts, reclaims and crashes; times in seconds."""

    seconds: float
    lead: float
    gateways: int
    work: float
    instance_cost: float
    fleet: FleetSpec
    engine: EngineFigures
    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...]
    waves: tuple[Reclaim, ...]
    crashes: tuple[float, ...]


class Arrival(NamedTuple):
    """A request and the time in seconds at which it arrives."""

    at: float
    kind: Kind
    centre: str
    worth: float
    parts: tuple[PromptPart, ...]
    output: int


def read_ranges(path=RANGES):
    """Return the ranges read from a TOML file."""
    return tomllib.loads(Path(path).read_text())


def draw(ranges, rng):
    """Return a random Deployment; ``rng`` is a numpy Generator."""
    work = draw_float(rng, ranges["work"])
    engine = draw_engine(ranges["engine"], rng)
    kinds = draw_kinds(ranges["kinds"], work, engine, rng)
    trouble, seconds = ranges["trouble"], ranges["seconds"]
    prices = {centre: draw_float(rng, ranges["centre_price"]) for centre in CENTRES}
    fleet = FleetSpec(
        1,
        max(draw_integer(rng, ranges["maximum"]), int(work) + 3),
        draw_float(rng, ranges["boot"]),
        draw_float(rng, ranges["reclaimable_price"]),
        prices,
    )
    return Deployment(
        seconds,
        ranges["lead"],
        draw_integer(rng, ranges["gateways"]),
        work,
        draw_float(rng, ranges["instance_cost"]),
        fleet,
        engine,
        kinds,
        draw_bursts(trouble, seconds, len(kinds), rng),
        draw_reclaims(trouble, rng),
        tuple(rng.uniform(5.0, seconds, draw_integer(rng, trouble["crashes"]))),
    )


def draw_float(rng, bounds):
    """Return a uniformly drawn float between two bounds."""
    return float(rng.uniform(*bounds))


def draw_integer(rng, bounds):
    """Return a uniformly drawn integer between two bounds, both included."""
    return int(rng.integers(bounds[0], bounds[1] + 1))


def draw_engine(ranges, rng):
    """Return the performance of the engines, drawn from the ranges."""
    return EngineFigures(
        draw_float(rng, ranges["prefill_rate"]),
        draw_float(rng, ranges["step"]),
        draw_float(rng, ranges["step_per_request"]),
        draw_integer(rng, ranges["memory_tokens"]),
    )


def draw_kinds(ranges, work, engine, rng):
    """Return kinds of requests that together need ``work`` engine seconds a second."""
    shares = rng.dirichlet([2.0] * draw_integer(rng, ranges["count"]))
    return tuple(
        draw_kind(f"k{number}", ranges, work * float(share), engine, rng)
        for number, share in enumerate(shares)
    )


def draw_kind(name, ranges, work, engine, rng):
    """Return one kind whose requests need ``work`` engine seconds a second."""
    shared = draw_integer(rng, ranges["shared_tokens"])
    subject = draw_integer(rng, ranges["subject_tokens"])
    own = draw_float(rng, ranges["own_tokens"])
    output = draw_float(rng, ranges["output_tokens"])
    target = draw_float(rng, ranges["latency_target"])
    # Assume that about half of the shared tokens miss the prefix cache.
    prefilled = own + (shared + subject) / 2
    per_request = prefilled / engine.prefill_rate + output * TOKEN_SECONDS
    return Kind(
        name,
        work / per_request,
        target,
        target * draw_float(rng, ranges["patience"]),
        per_request * draw_float(rng, ranges["worth"]),
        (shared, draw_integer(rng, ranges["shared_count"])),
        (subject, draw_integer(rng, ranges["subject_count"])),
        own,
        draw_float(rng, ranges["own_spread"]),
        output,
    )


def draw_bursts(ranges, seconds, kinds, rng):
    """Return the bursts of a deployment."""
    found = []
    for _ in range(draw_integer(rng, ranges["bursts"])):
        start = float(rng.uniform(3.0, seconds - 5.0))
        end = start + draw_float(rng, ranges["burst_seconds"])
        kind, factor = int(rng.integers(kinds)), draw_float(rng, ranges["burst_factor"])
        found.append(Burst(start, end, kind, factor))
    return tuple(found)


def draw_reclaims(ranges, rng):
    """Return the reclaims of a deployment in order of time."""
    at, found = draw_float(rng, ranges["first_wave"]), []
    for _ in range(draw_integer(rng, ranges["waves"])):
        centre = CENTRES[int(rng.integers(len(CENTRES)))]
        notice, dry = draw_float(rng, ranges["notice"]), draw_float(rng, ranges["dry"])
        found.append(Reclaim(at, centre, notice, dry))
        at += draw_float(rng, ranges["wave_gap"])
    return tuple(found)


def draw_arrivals(deployment, rng):
    """Return all requests in order of arrival."""
    found = []
    for index, kind in enumerate(deployment.kinds):
        bursts = [burst for burst in deployment.bursts if burst.kind == index]
        found += draw_stream(kind, bursts, deployment.seconds, rng)
    return sorted(found, key=lambda arrival: arrival.at)


def draw_stream(kind, bursts, seconds, rng):
    """Return the requests of one kind.

    Arrivals are a Poisson process with a triangular variation and bursts, thinned from
    its peak rate.
    """
    peak = (1 + AMPLITUDE) * max([1.0, *(burst.factor for burst in bursts)])
    phase, at, found = float(rng.uniform(0, 1)), 0.0, []
    while True:
        at += float(rng.exponential(1.0 / (kind.per_second * peak)))
        if at >= seconds:
            return found
        rate = 1 + AMPLITUDE * float(triangle_wave(at / PERIOD + phase))
        for burst in bursts:
            rate *= burst.factor if burst.start <= at < burst.end else 1.0
        if rng.uniform(0, peak) < rate:
            found.append(draw_arrival(kind, at, rng))


def triangle_wave(turns):
    """Return the value of a triangle wave between -1 and 1; its period is 1."""
    return abs(turns % 1.0 * 4 - 2) - 1


def draw_arrival(kind, at, rng):
    """Return one request of a kind."""
    sigma = kind.spread
    factor = min(MAX_LENGTH_FACTOR, float(rng.lognormal(-sigma * sigma / 2, sigma)))
    shared, subjects = int(rng.integers(kind.shared[1])), kind.subject[1]
    # The exponent makes low-numbered subjects more frequent than others.
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
