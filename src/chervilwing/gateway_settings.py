"""Settings of the gateway daemon: flags, environment variables and a settings file."""

from typing import NamedTuple

from returns.result import Failure, Result, Success

from .exceptions import BadSetting
from .models import Address
from .pool_admission import AUTO, OFF
from .routing import CallerLimits, PoolSpec
from .settings import (
    LOG_FORMATS,
    LOG_LEVELS,
    MACHINE_FIELDS,
    PREFIX,
    Field,
    Program,
    build_parser,
    one_of,
    parse_count,
    parse_flag,
    parse_name,
    parse_optional_address,
    parse_seconds,
    read_field,
)

MS_PER_SECOND = 1000
MS_SUFFIX = "ms"
PLACEHOLDER = "{{"
# Environment variable with the path of the settings file. Its lines are
# VARIABLE=value; an environment variable overrides them.
FILE_VARIABLE = PREFIX + "SETTINGS"


class GatewaySettings(NamedTuple):
    """All settings of one gateway; times are in seconds.

    ``revoke_bound`` is the time within which a removed key must be refused everywhere,
    ``apply_bound`` that within which a new configuration must be in force, and
    ``leave_bound`` that within which a leaving upstream must stop receiving requests.
    ``link_rate`` is in Mbit/s, and ``heartbeat`` is the interval between renewals of an
    upstream's registration. ``retry_ratio`` and ``retry_burst`` limit the retries of
    all instances together. ``stream_moves`` is AUTO or OFF.
    """

    listen: Address
    ready_listen: Address
    beacon_listen: Address
    metrics_listen: Address | None
    name: str
    data_centre: str
    store: Address | None
    cloud: Address | None
    lease: float
    store_timeout: float
    drain_timeout: float
    drain_lag: float
    revoke_bound: float
    retry_ratio: float
    retry_burst: float
    usage_window: float
    buys: bool
    log_format: str
    log_level: str
    stats_pairs: int
    apply_bound: float = 2.0
    leave_bound: float = 2.0
    link_rate: float = 100.0
    heartbeat: float = 2.0
    # Address for other instances that reach upstreams through this one, None to help
    # nobody.
    tunnel_listen: Address | None = None
    # Whether pools with work that can wait admit requests by urgency: AUTO or OFF.
    admission: str = AUTO
    # Path of a TOML file with routes and upstreams, used instead of a store.
    routes: str = ""
    # Distinguishes the successive processes of one instance.
    incarnation: int = 0
    limits: CallerLimits = CallerLimits()
    plain_pool: PoolSpec = PoolSpec("")
    stream_moves: str = AUTO
    # Renewals per second that all instances together may make of their leases, None for
    # any number.
    lease_renewals: float | None = None
    # MiB of memory and file descriptors that this process may use, None for those of
    # its machine.
    memory_limit: int | None = None
    descriptor_limit: int | None = None


def parse_optional_rate(text):
    """Return a finite number above 0, or None for empty text."""
    return parse_seconds(text) if text else None


def parse_duration(text):
    """Return seconds from ``2.5`` (seconds) or ``2500ms`` (milliseconds)."""
    if text.endswith(MS_SUFFIX):
        return parse_seconds(text.removesuffix(MS_SUFFIX)) / MS_PER_SECOND
    return parse_seconds(text)


FIELDS = (
    Field("listen", parse_optional_address, "", "HOST:PORT", "address for callers"),
    Field(
        "ready_listen",
        parse_optional_address,
        "",
        "HOST:PORT",
        "address for the balancer's checks",
    ),
    Field(
        "beacon_listen",
        parse_optional_address,
        "",
        "HOST:PORT",
        "address for other instances' datagrams",
    ),
    Field(
        "metrics_listen", parse_optional_address, "", "HOST:PORT", "address for metrics"
    ),
    Field(
        "tunnel_listen",
        parse_optional_address,
        "",
        "HOST:PORT",
        "address for other instances' tunnels to upstreams",
    ),
    Field("name", parse_name, "", "name", "name of this instance"),
    Field("data_centre", parse_name, "local", "name", "where this instance runs"),
    Field("store", parse_optional_address, "", "HOST:PORT", "the platform's store"),
    Field("cloud", parse_optional_address, "", "HOST:PORT", "the platform's API"),
    Field("routes", str, "", "path", "TOML file used instead of a store"),
    Field("lease", parse_duration, "3", "s", "until a dead instance's lease expires"),
    Field(
        "lease_renewals",
        parse_optional_rate,
        "",
        "count",
        "lease renewals per second of all instances, empty for any number",
    ),
    Field("store_timeout", parse_duration, "1", "s", "timeout of a call to the store"),
    Field("drain_timeout", parse_duration, "8", "s", "time for a planned stop"),
    Field(
        "drain_lag",
        parse_duration,
        "2.5",
        "s",
        "until the balancer stops sending requests",
    ),
    Field("revoke_bound", parse_duration, "5", "s", "until a removed key is refused"),
    Field("apply_bound", parse_duration, "2", "s", "until a change is in force"),
    Field(
        "leave_bound",
        parse_duration,
        "2",
        "s",
        "until a leaving upstream gets no requests",
    ),
    Field("heartbeat", parse_duration, "2", "s", "interval of registration renewals"),
    Field(
        "link_rate",
        parse_seconds,
        "100",
        "Mbit/s",
        "rate of the machine's network link",
    ),
    Field("retry_ratio", parse_seconds, "0.2", "ratio", "retries per first attempt"),
    Field(
        "retry_burst", parse_seconds, "50", "count", "burst of retries of all instances"
    ),
    Field(
        "admission",
        one_of((AUTO, OFF)),
        AUTO,
        f"{AUTO}|{OFF}",
        "admission by urgency where routes have work that can wait",
    ),
    Field("usage_window", parse_duration, "5", "s", "length of a usage window"),
    Field(
        "buys", parse_flag, "false", "true|false", "order instances according to load"
    ),
    Field(
        "stream_moves",
        one_of((AUTO, OFF)),
        AUTO,
        f"{AUTO}|{OFF}",
        "moves and backups of running streams",
    ),
    *MACHINE_FIELDS,
    Field(
        "log_format", one_of(LOG_FORMATS), "json", "json|text", "format of log lines"
    ),
    Field(
        "log_level",
        one_of(LOG_LEVELS),
        "info",
        "|".join(LOG_LEVELS),
        "lowest level that is logged",
    ),
    Field(
        "stats_pairs",
        parse_count,
        "64",
        "count",
        "customer and route pairs with separate metrics",
    ),
)
GATEWAY = Program(
    "chervilwing-gateway", "Gateway for upstreams that register themselves.", FIELDS
)
REQUIRED = ("listen", "ready_listen", "beacon_listen")


def parse_settings_file(text):
    """Return a dict of the lines ``VARIABLE=value``; other lines are ignored.

    If a platform has no value for a setting, it writes an empty one, possibly with the
    unit ``ms``, or leaves the template's placeholder. Such a line is ignored too, and
    the default applies.
    """
    lines = (line.strip() for line in text.splitlines())
    pairs = (line.partition("=") for line in lines if not line.startswith("#"))
    variables = {name.strip(): value.strip() for name, equals, value in pairs if equals}
    return {
        name: value
        for name, value in variables.items()
        if value not in ("", MS_SUFFIX) and not value.startswith(PLACEHOLDER)
    }


def read_gateway_settings(argv, environ, text="") -> Result:
    """Return a Result of checked GatewaySettings, or of a BadSetting with the fault.

    ``text`` is the content of the settings file; unknown names in it are ignored, so
    that a newer platform may add some.
    """
    try:
        flags = vars(build_parser(GATEWAY).parse_args(list(argv)))
        variables = {**parse_settings_file(text), **environ}
        values = {field.name: read_field(field, flags, variables) for field in FIELDS}
        for name in REQUIRED:
            if values[name] is None:
                raise BadSetting(f"--{name.replace('_', '-')}: required")
        if values["store"] is None and not values["routes"]:
            raise BadSetting("--store: required, unless --routes is given")
        return Success(GatewaySettings(**values))
    except BadSetting as exc:
        return Failure(exc)
