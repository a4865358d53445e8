"""The data that the core passes about: immutable, with no behaviour of its own."""

from typing import NamedTuple

MODEL = "model"
SERVICE = "service"


class Address(NamedTuple):
    """An IP number and a TCP port."""

    host: str
    port: int


class Upstream(NamedTuple):
    """One back end instance: a model engine or a plain service."""

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
    """Upstreams that can stand in for one another."""

    name: str
    kind: str
    models: tuple[str, ...] = ()


class CallClass(NamedTuple):
    """The work class of one call, ``POST /notes``, and of all paths below it."""

    call: str
    work_class: str


class Service(NamedTuple):
    """A plain service and which of its calls may be repeated.

    A call is a method and a path, ``POST /notes``; it stands for all paths below it. A
    call that no list names is judged by its method (RFC 9110, section 9.2.2), so that a
    forgotten line costs a retry and never a second effect.
    """

    name: str
    pool: str
    non_idempotent: tuple[str, ...] = ()
    work_class: str = ""
    calls: tuple[CallClass, ...] = ()
    idempotent: tuple[str, ...] = ()


class Share(NamedTuple):
    """The part of a model name's traffic, 0 to 1, that one version gets."""

    version: str
    part: float


class ModelRoute(NamedTuple):
    """The public name of a model, its pool and the versions behind it.

    An empty ``work_class``, here or in a Service, leaves the customer's own in force.
    """

    name: str
    pool: str
    shares: tuple[Share, ...] = ()
    work_class: str = ""


class WorkClass(NamedTuple):
    """How one class of work is treated: 0 is the most urgent priority."""

    name: str
    priority: int = 1
    deadline: float = 30.0
    first_token: float = 1.3


class Customer(NamedTuple):
    """A caller's organisation as the rules know it; keys are SHA-256 digests."""

    name: str
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    queue_limit: int = 64
    work_class: str = "standard"
    allowed: tuple[str, ...] = ("*",)


class Fleet(NamedTuple):
    """What may be bought for a pool; a ceiling of 0 is none.

    ``spare`` is the part of the load that must still fit once the largest zone or data
    centre is lost. At most ``max_instances`` are bought, beside the inventory's.
    """

    name: str
    pool: str
    machine_classes: tuple[str, ...] = ("standard",)
    min_instances: int = 0
    max_instances: int = 0
    spare: float = 1.0
    price_ceiling: float = 0.0


class Inventory(NamedTuple):
    """What the operators own and where."""

    pools: tuple[Pool, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    services: tuple[Service, ...] = ()


class Rules(NamedTuple):
    """Who may try what, at what share of traffic, with what priority."""

    customers: tuple[Customer, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    routes: tuple[ModelRoute, ...] = ()
    fleets: tuple[Fleet, ...] = ()


class Configuration(NamedTuple):
    """One revision of inventory and rules; ``operation`` settles lost answers.

    ``at`` is the time of the edit in ISO 8601, for reading only: no decision uses it.
    """

    revision: int
    operation: str
    inventory: Inventory
    rules: Rules
    author: str = ""
    at: str = ""
