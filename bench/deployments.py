"""Two example deployments and the work that their callers offer."""

from typing import NamedTuple

from chervilwing.models import (
    MODEL,
    SERVICE,
    Address,
    Configuration,
    Customer,
    Inventory,
    Pool,
    Rules,
    Upstream,
    WorkClass,
)

from .engines import BATCH_SLOWDOWN, MODEL_STEP

DATA_CENTRES = ("a", "b", "c")
# The data centre of each entry instance.
ENTRY_CENTRES = ("a", "a", "a", "b", "b", "c", "c")
# One-way network delays in seconds.
CROSS_CENTRE_DELAY = 0.0015
SAME_CENTRE_DELAY = 0.0001
MODEL_SLOTS = 8
SERVICE_SLOTS = 4
# Each customer's share of all requests.
DEMAND_SHARES = (0.40, 0.25, 0.15, 0.12, 0.08)
PREFIX_COUNT = 12
# Dollars per instance hour.
MODEL_PRICE = 1.10
SERVICE_PRICE = 0.12


class Kind(NamedTuple):
    """A class of work; ``part`` is its share of its pool's requests.

    ``deadline`` and ``first_token`` are in seconds, ``prefix`` and ``suffix`` in
    tokens; ``output`` is in tokens for a model pool and in seconds for a service.
    """

    name: str
    pool: str
    part: float
    priority: int
    deadline: float
    first_token: float
    prefix: int = 0
    suffix: int = 0
    output: float = 0.0
    idempotent: bool = True


class Deployment(NamedTuple):
    """The pools and kinds of work of one deployment; ``client_delay`` is in seconds."""

    name: str
    client_delay: float
    model_pool: str
    service_pool: str
    kinds: tuple[Kind, ...]


ANDESUR = Deployment(
    "Andesur",
    0.001,
    "memos",
    "portal",
    (
        Kind("memo", "memos", 1.0, 1, 45.0, 6.0, 3500, 400, 250),
        Kind("quote", "portal", 0.5, 0, 8.0, 1.5, output=0.3),
        Kind("document", "portal", 0.4, 2, 20.0, 4.0, output=0.7),
        Kind("binding", "portal", 0.1, 0, 10.0, 2.0, output=0.4, idempotent=False),
    ),
)
TOURNELLE = Deployment(
    "Tournelle",
    0.003,
    "planning",
    "terminal",
    (
        Kind("plan", "planning", 0.3, 1, 90.0, 8.0, 4500, 600, 500),
        Kind("explanation", "planning", 0.5, 0, 20.0, 1.5, 2500, 150, 60),
        Kind("briefing", "planning", 0.2, 0, 30.0, 1.5, 1500, 100, 150),
        Kind("report", "terminal", 0.6, 1, 15.0, 3.0, output=0.5, idempotent=False),
        Kind("card", "terminal", 0.4, 0, 10.0, 1.5, output=0.3, idempotent=False),
    ),
)


def list_customers():
    """Return the names of the five organisations, the largest first."""
    return [f"org-{index}" for index in range(len(DEMAND_SHARES))]


def build_configuration(deployment):
    """Return the scheduler's configuration for a deployment."""
    upstreams = list_upstreams(deployment)
    pools = (
        Pool(deployment.model_pool, MODEL),
        Pool(deployment.service_pool, SERVICE),
    )
    customers = tuple(Customer(name) for name in list_customers())
    classes = tuple(
        WorkClass(kind.name, kind.priority, kind.deadline, kind.first_token)
        for kind in deployment.kinds
    )
    inventory = Inventory(pools, upstreams)
    return Configuration(1, "bench", inventory, Rules(customers, classes))


def list_upstreams(deployment):
    """Return five model workers and three service instances."""
    sizes = (
        (deployment.model_pool, MODEL, 5, MODEL_SLOTS),
        (deployment.service_pool, SERVICE, 3, SERVICE_SLOTS),
    )
    return tuple(
        Upstream(
            f"{pool}-{index}",
            kind,
            pool,
            Address("127.0.0.1", 1),
            DATA_CENTRES[index % len(DATA_CENTRES)],
            slots=slots,
        )
        for pool, kind, size, slots in sizes
        for index in range(size)
    )


def measure_work(kind):
    """Return the slot-seconds that a request of a kind needs in a full batch."""
    if not kind.prefix:
        return kind.output
    step = MODEL_STEP * (1 + BATCH_SLOWDOWN * (MODEL_SLOTS - 1))
    return kind.output * step + (kind.suffix + 0.2 * kind.prefix) / 4000


def measure_rate(deployment, pool):
    """Return the requests per second that keep all slots of a pool busy."""
    slots = sum(up.slots for up in list_upstreams(deployment) if up.pool == pool)
    kinds = [kind for kind in deployment.kinds if kind.pool == pool]
    parts = sum(kind.part for kind in kinds)
    mean = sum(kind.part * measure_work(kind) for kind in kinds) / parts
    return slots / mean
