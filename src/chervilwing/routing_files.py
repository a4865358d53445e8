"""Routes, organisations and upstreams from one TOML file, without a platform."""

import tomllib

from .addresses import parse_address
from .exceptions import BadConfiguration
from .registrations import Registration
from .routing import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAM,
    CallerLimits,
    EngineSpec,
    Organisation,
    PoolSpec,
    Route,
    RoutingDocument,
    Target,
)

KINDS = (IDEMPOTENT, NON_IDEMPOTENT, STREAM)
DEFAULT_DATA_CENTRE = "local"


def read_target(value):
    """Return the Target of an entry of ``pools``: a name, or a table with a weight."""
    if isinstance(value, str):
        return Target(value)
    return Target(**value)


def read_route(value):
    """Return the Route of an entry of ``[[routes]]``."""
    targets = tuple(map(read_target, value.pop("pools")))
    route = Route(targets=targets, **value)
    if route.kind not in KINDS:
        raise ValueError(f"route {route.name}: kind must be one of {', '.join(KINDS)}")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise ValueError(f"route {route.name}: prefix needs a slash at both ends")
    return route._replace(host=route.host.lower())


def read_pool(value):
    """Return the PoolSpec of an entry of ``[[pools]]``; ``engine`` is a subtable."""
    engine = value.pop("engine", None)
    return PoolSpec(engine=EngineSpec(**engine) if engine else None, **value)


def read_organisation(value):
    """Return the Organisation of an entry of ``[[organisations]]``."""
    return Organisation(**value | {"keys": tuple(value.get("keys", ()))})


def read_upstream(value):
    """Return the Registration of an entry of ``[[upstreams]]``."""
    address = parse_address(value.pop("address"))
    value.setdefault("data_centre", DEFAULT_DATA_CENTRE)
    return Registration(address=address, **value)


def parse_file(text):
    """Return the RoutingDocument and Registrations, or raise BadConfiguration.

    The keys of a table are named like the fields of the type that it is read into.
    """
    try:
        value = tomllib.loads(text)
        document = RoutingDocument(
            value.pop("version"),
            tuple(map(read_route, value.pop("routes"))),
            tuple(map(read_pool, value.pop("pools"))),
            tuple(map(read_organisation, value.pop("organisations", ()))),
            CallerLimits(**value.pop("limits", {})),
        )
        upstreams = tuple(map(read_upstream, value.pop("upstreams", ())))
        if value:
            raise ValueError(f"no such key: {', '.join(sorted(value))}")
        check_pools(document, upstreams)
    except (tomllib.TOMLDecodeError, KeyError, TypeError, ValueError) as exc:
        raise BadConfiguration(f"{type(exc).__name__}: {exc}") from exc
    return document, upstreams


def check_pools(document, upstreams):
    """Raise ValueError if a route or an upstream refers to an undefined pool."""
    defined = {pool.name for pool in document.pools}
    referenced = {target.pool for route in document.routes for target in route.targets}
    referenced |= {item.pool for item in upstreams}
    if referenced - defined:
        raise ValueError(f"no such pool: {', '.join(sorted(referenced - defined))}")
