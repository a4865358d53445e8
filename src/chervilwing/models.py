"""Immutable data types of the configuration, shared by all modules."""

from typing import NamedTuple

MODEL = "model"
SERVICE = "service"


class Address(NamedTuple):
    """An IP address and a port number."""

    host: str
    port: int


class Upstream(NamedTuple):
    """One back-end process: a model engine or a plain service.

    ``slots`` is the number of requests that it runs at once. ``fenced`` engines reject
    orders with an old fencing number.
    """

    name: str
    kind: str
    pool: str
    address: Address
    data_centre: str
    machine_class: str = "standard"
    slots: int = 8
    fenced: bool = True
    zone: str = ""


class Pool(NamedTuple):
    """A set of interchangeable upstreams."""

    name: str
    kind: str
    models: tuple[str, ...] = ()


class CallClass(NamedTuple):
    """The work class of a call such as ``POST /notes`` and of all paths below it."""

    call: str
    work_class: str


class Service(NamedTuple):
    """A plain service and which of its calls are idempotent.

    A call is a method and a path such as ``POST /notes``, and includes all paths below
    it. A call in neither list is idempotent if its method is (RFC 9110, section 9.2.2),
    so that a missing entry may prevent a retry but never causes a second effect.
    """

    name: str
    pool: str
    non_idempotent: tuple[str, ...] = ()
    work_class: str = ""
    calls: tuple[CallClass, ...] = ()
    idempotent: tuple[str, ...] = ()


class Share(NamedTuple):
    """The fraction of a model's traffic, from 0 to 1, that one version receives."""

    version: str
    part: float


class ModelRoute(NamedTuple):
    """The public name of a model, its pool and the versions that serve it.

    If ``work_class`` is empty, here or in a Service, the customer's work class applies.
    """

    name: str
    pool: str
    shares: tuple[Share, ...] = ()
    work_class: str = ""


class WorkClass(NamedTuple):
    """Scheduling of one class of work; priority 0 is the most urgent.

    ``deadline`` and ``first_token``, the target for the first token, are in seconds.
    """

    name: str
    priority: int = 1
    deadline: float = 30.0
    first_token: float = 1.3


class Customer(NamedTuple):
    """A caller's organisation and its limits; ``key_hashes`` are SHA-256 digests.

    ``weight`` is its relative share of a pool, ``queue_limit`` the number of requests
    that may wait there, and ``allowed`` names its models and services, ``*`` for all.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    queue_limit: int = 64
    work_class: str = "standard"
    allowed: tuple[str, ...] = ("*",)


class Fleet(NamedTuple):
    """The machines that may be bought for a pool.

    ``spare`` is the fraction of the load that must still be served after the loss of
    the largest zone or data centre. At most ``max_instances`` machines are bought in
    addition to the inventory's. A ``price_ceiling`` of 0 means no ceiling.
    """

    name: str
    pool: str
    machine_classes: tuple[str, ...] = ("standard",)
    min_instances: int = 0
    max_instances: int = 0
    spare: float = 1.0
    price_ceiling: float = 0.0


class Inventory(NamedTuple):
    """The pools, upstreams and services that the operators own."""

    pools: tuple[Pool, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    services: tuple[Service, ...] = ()


class Rules(NamedTuple):
    """Customers, work classes, model routes and fleets."""

    customers: tuple[Customer, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    routes: tuple[ModelRoute, ...] = ()
    fleets: tuple[Fleet, ...] = ()


class Configuration(NamedTuple):
    """One revision of the inventory and the rules.

    ``operation`` identifies the edit, so that a writer whose answer was lost can find
    out whether it was applied. ``at`` is the time of the edit in ISO 8601, for display
    only.
    """

    revision: int
    operation: str
    inventory: Inventory
    rules: Rules
    author: str = ""
    at: str = ""
