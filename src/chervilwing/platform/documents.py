"""Decoding of the platform's stored documents into the gateway's own types."""

import re
from typing import Annotated, Literal

import msgspec

from ..addresses import parse_address
from ..coordination import StoreLayout
from ..exceptions import DECODE_ERRORS, BadConfiguration
from ..registrations import Registration
from ..rollouts import RolloutOrder
from ..routing import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAM,
    CallerLimits,
    EngineSpec,
    FleetSpec,
    Organisation,
    PoolSpec,
    Route,
    RoutingDocument,
    Target,
)

DOCUMENT_KEY = "op/config"
REGISTRATION_PREFIX = "servers/"
ROLLOUT_ORDER_PREFIX = "op/rollout/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"
KINDS = {"safe": IDEMPOTENT, "unsafe": NON_IDEMPOTENT, "streaming": STREAM}
MS_PER_S = 1000.0
BITS_PER_MEGABIT = 1e6
# Seconds, for routes without a time limit: the longest deadline of the platform's
# callers.
DEFAULT_TIME_LIMIT = 30.0
# Integers that a double holds exactly (RFC 8259, section 6). A larger one would raise
# an OverflowError wherever it is converted.
MAX_INTEGER = 2**53 - 1
# Names of upstreams: they are sent in a header field.
NAME = re.compile(r"[!-~]+\Z")
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


def read_route(value):
    """Return the Route of an entry of ``routes``."""
    # A route with several pools has ``split`` instead of ``service``.
    targets = value.get("split") or [{"service": value["service"], "weight": 1}]
    return Route(
        name=value["name"],
        host=value["host"].lower(),
        prefix=value["prefix"],
        kind=KINDS[value["kind"]],
        targets=tuple(Target(item["service"], item["weight"]) for item in targets),
        attempts=value.get("attempts", 1),
        time_limit=value.get("timeoutMs", DEFAULT_TIME_LIMIT * MS_PER_S) / MS_PER_S,
        latency_target=value.get("sloMs", MS_PER_S) / MS_PER_S,
        priority=value.get("priority", 0),
        # ``noAuth`` means that callers need no API key.
        open=value.get("noAuth", False),
        resumable=value.get("canResume", False),
        pause_limit=value.get("gapTargetMs", MS_PER_S) / MS_PER_S,
    )


def read_pool(value):
    """Return the PoolSpec of an entry of ``services``."""
    engine, scale = value.get("engine"), value.get("scale")
    return PoolSpec(
        value["name"],
        value.get("maxConns", 64),
        read_engine(engine) if engine else None,
        read_fleet(scale) if scale else None,
    )


def read_engine(value):
    """Return the EngineSpec of ``engine``."""
    return EngineSpec(
        value["slots"],
        value["kvCapacity"],
        value.get("kvTokenBytes", 0.0),
        value.get("linkMbps", 0.0) * BITS_PER_MEGABIT,
        value.get("moves", False),
        value.get("backups", False),
        value.get("handleTtlS", 0.0),
        value.get("stride", 1),
    )


def read_fleet(value):
    """Return the FleetSpec of ``scale``; ``min`` and ``max`` are per data centre."""
    return FleetSpec(
        value["min"],
        value["max"],
        value.get("bootTimeS", 0.0),
        value.get("spotPrice", 1.0),
        value.get("zonePrices", {}),
    )


def read_organisation(value):
    """Return the Organisation of an entry of ``tenants``."""
    counts_tokens = value.get("unit") == "tokens"
    return Organisation(
        value["name"],
        tuple(value.get("apiKeys", ())),
        value.get("priority"),
        # ``ratePerS`` and ``burst`` count requests, or tokens if ``unit`` says so.
        value.get("ratePerS") or 0.0,
        value.get("burst") or 0.0,
        value.get("plainTokens", 1.0) if counts_tokens else 0.0,
    )


def read_limits(value):
    """Return the CallerLimits of ``limits``."""
    return CallerLimits(
        value["headerBytes"],
        value["bodyBytes"],
        value["headerTimeoutMs"] / MS_PER_S,
        value["idleTimeoutMs"] / MS_PER_S,
    )


def read_document(key, data):
    """Return the RoutingDocument, or None if the key is not DOCUMENT_KEY.

    Raise BadConfiguration if it is invalid.
    """
    if key != DOCUMENT_KEY:
        return None
    try:
        value = msgspec.json.decode(data)
        return RoutingDocument(
            value["version"],
            tuple(map(read_route, value["routes"])),
            tuple(map(read_pool, value["services"])),
            tuple(map(read_organisation, value.get("tenants") or ())),
            read_limits(value["limits"]),
        )
    except DECODE_ERRORS as exc:
        raise BadConfiguration(f"{key}: {type(exc).__name__} {exc}") from exc


class RegistrationEntry(msgspec.Struct):
    """Registration entry written by an upstream.

    A field of another type makes the entry invalid.

    ``coldLeftMs`` is how much longer the upstream is slow after its start, ``seq``
    counts the orders that it has accepted, ``leaves_ms`` is the time until a reclaimed
    upstream ends, and ``born`` is its start time in Unix milliseconds.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
    state: Literal["ready", "draining"]
    coldLeftMs: float
    seq: Integer
    spot: bool = False
    leaves_ms: float | None = None
    born: Integer = 0


REGISTRATION_DECODER = msgspec.json.Decoder(RegistrationEntry)


def read_registration(key, data):
    """Return the Registration, or raise BadConfiguration.

    Any client of the store may write an entry. Missing fields, fields of another type,
    an unknown state or undecodable bytes make it invalid. If it were accepted, requests
    would be sent to an address where nobody answers; if it raised another error, all
    later entries would not be read.
    """
    try:
        entry = REGISTRATION_DECODER.decode(data)
        name = key.removeprefix(REGISTRATION_PREFIX)
        if not NAME.match(name):
            raise ValueError("the name is not visible ASCII")
        return Registration(
            name=name,
            pool=entry.service,
            address=parse_address(entry.address),
            data_centre=entry.zone,
            slots=entry.slots or 1,
            leaving=entry.state == "draining",
            reclaimable=entry.spot,
            leaves_in=None if entry.leaves_ms is None else entry.leaves_ms / MS_PER_S,
            started_at=entry.born / MS_PER_S,
            version=entry.version,
        )
    except DECODE_ERRORS as exc:
        raise BadConfiguration(f"{key}: {type(exc).__name__} {exc}") from exc


class RolloutEntry(msgspec.Struct):
    """Roll-out order of an operator; the service's name is the last part of the key.

    ``target`` is the version to which all traffic of the service is to move.
    """

    target: str
    durationS: Annotated[float, msgspec.Meta(gt=0)]


ROLLOUT_DECODER = msgspec.json.Decoder(RolloutEntry)


def read_order(key, data):
    """Return the RolloutOrder, or None if the key is not that of a roll-out order.

    Raise BadConfiguration if it is invalid.
    """
    if not key.startswith(ROLLOUT_ORDER_PREFIX):
        return None
    try:
        order = ROLLOUT_DECODER.decode(data)
    except DECODE_ERRORS as exc:
        raise BadConfiguration(f"{key}: {type(exc).__name__} {exc}") from exc
    pool = key.removeprefix(ROLLOUT_ORDER_PREFIX)
    return RolloutOrder(pool, order.target, order.durationS)


def write_status(pool, target, state):
    """Return the store write that reports a roll-out's state to the operator."""
    value = msgspec.json.encode({"state": state, "target": target})
    return (ROLLOUT_STATUS_PREFIX + pool, value, 0)


SOURCES = StoreLayout(
    "op/",
    REGISTRATION_PREFIX,
    read_document,
    read_registration,
    read_order,
    write_status,
)
