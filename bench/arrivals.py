"""Draw the requests of a deployment under a load, from a seeded generator."""

from .deployments import (
    ENTRY_CENTRES,
    PREFIX_COUNT,
    list_customers,
    measure_rate,
    measure_work,
)

# Output lengths of long and short requests in mixed loads, relative to the usual one.
LONG_FACTOR = 5.0
SHORT_FACTOR = 0.5


class Request:
    """A request of a caller, its attempts and its result."""

    def __init__(self, name, kind, customer, entry, arrival):
        self.name = name
        self.kind = kind
        self.customer = customer
        self.entry = entry
        self.arrival = arrival
        self.priority = kind.priority
        self.output = kind.output
        self.max_tokens = 0
        self.prompt = 0
        self.prefix = ""
        self.prefix_tokens = 0
        self.deadline = arrival + kind.deadline
        self.work = 0.0
        self.tokens = 0.0
        self.exported = False
        self.attempts = 0
        self.offers = 0
        self.first_token = None
        self.finished = None
        self.cause = ""
        self.closed = False
        self.upstream = None
        self.last_upstream = None
        self.runs = 0

    def is_useful(self):
        """Return whether it finished, with the answer begun within its target."""
        if self.finished is None:
            return False
        began = self.first_token if self.kind.prefix else self.finished
        return began - self.arrival <= self.kind.first_token


def draw_requests(deployment, load, rng):
    """Return all requests of a run in order of arrival."""
    requests = []
    for pool in (deployment.model_pool, deployment.service_pool):
        kinds = [kind for kind in deployment.kinds if kind.pool == pool]
        rate = measure_rate(deployment, pool)
        requests.extend(_draw_pool(pool, kinds, rate, load, rng))
    return sorted(requests, key=lambda request: request.arrival)


def _draw_pool(pool, kinds, rate, load, rng):
    mean = load.long_part * LONG_FACTOR + (1 - load.long_part) * SHORT_FACTOR
    rate /= mean if load.long_part else 1.0
    now = 0.0
    number = 0
    while True:
        now += rng.expovariate(rate * load.level(now))
        if now >= load.duration:
            return
        kind = rng.choices(kinds, [kind.part for kind in kinds])[0]
        number += 1
        yield _draw_request(f"{pool}/{number}", kind, load, rng, now)


def _draw_request(name, kind, load, rng, now):
    customer = rng.choices(list_customers(), load.demand)[0]
    request = Request(name, kind, customer, rng.randrange(len(ENTRY_CENTRES)), now)
    factor = rng.uniform(0.6, 1.4) * _draw_length(load, rng)
    request.output = kind.output * factor
    longer = max(0.0, factor - 1.4)
    request.deadline += longer * kind.deadline
    request.work = measure_work(kind._replace(output=request.output))
    if kind.prefix:
        request.max_tokens = int(request.output * rng.uniform(1.1, 1.9))
        request.prefix = f"{customer}/{kind.name}/{_draw_prefix(rng)}"
        request.prefix_tokens = kind.prefix
        request.prompt = kind.prefix + int(kind.suffix * rng.uniform(0.5, 1.5))
    return request


def _draw_length(load, rng):
    if not load.long_part:
        return 1.0
    return LONG_FACTOR if rng.random() < load.long_part else SHORT_FACTOR


def _draw_prefix(rng):
    """Return a prefix number; low numbers are drawn more often than high ones."""
    return int(PREFIX_COUNT * rng.random() ** 1.5)
