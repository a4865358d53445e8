"""Settings of the entry daemon; one table defines parsing, checks, help and docs."""

import argparse
import re
from collections.abc import Callable
from math import isfinite
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from .addresses import format_address, parse_address
from .exceptions import BadSetting
from .models import Address

PREFIX = "CHERVILWING_"
HELP_FLAGS = frozenset({"-h", "--help"})
TRUE_WORDS = frozenset({"1", "true", "yes", "on"})
FALSE_WORDS = frozenset({"0", "false", "no", "off"})
LOG_FORMATS = ("json", "text")
LOG_LEVELS = ("debug", "info", "warning", "error")
MIB = 1024 * 1024
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}", re.ASCII)
# Variables of the operators' tool, which may be set in the same environment.
TOOL_VARIABLES = frozenset({PREFIX + "INSTANCES", PREFIX + "OPERATOR_KEY"})


class Settings(NamedTuple):
    """All settings of one entry instance; times are in seconds, sizes in bytes."""

    listen: Address
    peer_listen: Address
    peer_address: Address | None
    peers: tuple[Address, ...]
    data_centre: str
    region: str
    name: str
    store: Address | None
    cloud: Address | None
    instance_list: Address | None
    embedded: bool
    log_format: str
    log_level: str
    body_limit: int
    head_limit: int
    head_timeout: float
    idle_timeout: float
    connect_timeout: float
    silence_timeout: float
    request_timeout: float
    drain_timeout: float
    drain_lag: float
    reconnect_grace: float
    reconnect_keep: float
    reconnect_bytes: int
    store_timeout: float
    watch_wait: float
    default_class: str
    stats_pairs: int
    loads_at_once: int
    operator_key_hash: str
    memory_limit: int | None = None
    descriptor_limit: int | None = None


class Field(NamedTuple):
    """One setting: its name, parser, default as text, unit or format, and meaning."""

    name: str
    parse: Callable[[str], Any]
    default: str
    form: str
    help: str

    @property
    def flag(self):
        """Return the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self):
        """Return the name of the environment variable."""
        return PREFIX + self.name.upper()


def parse_optional_address(text):
    """Return an Address, or None for empty text."""
    return parse_address(text) if text else None


def parse_addresses(text):
    """Return the Addresses of a comma-separated list."""
    return tuple(
        parse_address(part.strip()) for part in text.split(",") if part.strip()
    )


def parse_name(text):
    """Return a name that is valid in store keys, header fields and log lines."""
    if not text or len(text) > 64 or not text.isascii():
        raise ValueError(f"{text!r} is not a name of 1 to 64 ASCII characters")
    if not all(char.isalnum() or char in "-_." for char in text):
        raise ValueError(f"{text!r} has characters other than letters, digits, - _ .")
    return text


def parse_optional_name(text):
    """Return a valid name, or empty text."""
    return parse_name(text) if text else ""


def parse_digest(text):
    """Return a SHA-256 digest in lower-case hex, or empty text."""
    if text and not DIGEST_PATTERN.fullmatch(text):
        raise ValueError("not a SHA-256 digest in lower-case hex")
    return text


def parse_flag(text):
    """Return True or False for words such as ``yes`` or ``off``."""
    word = text.lower()
    if word in TRUE_WORDS | FALSE_WORDS:
        return word in TRUE_WORDS
    raise ValueError(f"{text!r} is neither true nor false")


def parse_count(text):
    """Return a whole number above 0."""
    if not (text.isascii() and text.isdigit() and int(text) > 0):
        raise ValueError(f"{text!r} is not a whole number above 0")
    return int(text)


def parse_seconds(text):
    """Return a finite number of seconds above 0."""
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number of seconds") from None
    if not (isfinite(value) and value > 0):
        raise ValueError(f"{text!r} is not a number of seconds above 0")
    return value


def parse_optional_limit(text):
    """Return a number above 0, rounded down, or None for empty text."""
    return max(1, int(parse_seconds(text))) if text else None


def one_of(choices):
    """Return a parser that accepts only the given choices."""

    def parse(text):
        if text not in choices:
            raise ValueError(f"{text!r} is not one of {', '.join(choices)}")
        return text

    return parse


# What a process may use of its machine.
MACHINE_FIELDS = (
    Field(
        "memory_limit",
        parse_optional_limit,
        "",
        "MiB",
        "memory of this process; empty: the machine's, at most 300",
    ),
    Field(
        "descriptor_limit",
        parse_optional_limit,
        "",
        "count",
        "file descriptors of this process; empty: the system's limit",
    ),
)
FIELDS = (
    Field(
        "listen",
        parse_address,
        "127.0.0.1:8080",
        "HOST:PORT",
        "address that accepts callers",
    ),
    Field(
        "peer_listen",
        parse_address,
        "127.0.0.1:8081",
        "HOST:PORT",
        "address that accepts entry instances",
    ),
    Field(
        "peer_address",
        parse_optional_address,
        "",
        "HOST:PORT",
        "address that entry instances connect to; --peer-listen if empty",
    ),
    Field(
        "peers",
        parse_addresses,
        "",
        "HOST:PORT,...",
        "addresses of entry instances to join at the start",
    ),
    Field("data_centre", parse_name, "local", "name", "where this instance runs"),
    Field("region", parse_name, "local", "name", "region of the data centre"),
    Field(
        "name",
        parse_optional_name,
        "",
        "name",
        "instance name; derived from --data-centre and --listen if empty",
    ),
    Field("store", parse_optional_address, "", "HOST:PORT", "key-value service"),
    Field(
        "cloud",
        parse_optional_address,
        "",
        "HOST:PORT",
        "cloud API with reclaim notices",
    ),
    Field("instance_list", parse_optional_address, "", "HOST:PORT", "instance list"),
    Field(
        "embedded",
        parse_flag,
        "false",
        "true|false",
        "simulate the other services in this process",
    ),
    Field("log_format", one_of(LOG_FORMATS), "json", "json|text", "form of log lines"),
    Field(
        "log_level",
        one_of(LOG_LEVELS),
        "info",
        "|".join(LOG_LEVELS),
        "lowest level that is logged",
    ),
    Field("body_limit", parse_count, str(4 * MIB), "bytes", "largest request body"),
    Field("head_limit", parse_count, "16384", "bytes", "largest request head"),
    Field(
        "head_timeout",
        parse_seconds,
        "10",
        "s",
        "maximum time for a caller to send its request",
    ),
    Field(
        "idle_timeout",
        parse_seconds,
        "75",
        "s",
        "time until an unused connection is closed",
    ),
    Field(
        "connect_timeout", parse_seconds, "1", "s", "maximum time to open a connection"
    ),
    Field(
        "silence_timeout",
        parse_seconds,
        "10",
        "s",
        "time until a call to a silent upstream fails",
    ),
    Field(
        "request_timeout", parse_seconds, "120", "s", "maximum time for a whole request"
    ),
    Field(
        "drain_timeout", parse_seconds, "150", "s", "maximum time for a planned stop"
    ),
    Field(
        "drain_lag",
        parse_seconds,
        "5",
        "s",
        "time until the load balancer notices a stop",
    ),
    # Callers that give up can't be distinguished from those that will reconnect, and a
    # request that keeps running may occupy an engine's slot for nobody. A client that
    # reconnects does so within a second or two.
    Field(
        "reconnect_grace",
        parse_seconds,
        "5",
        "s",
        "time that a request runs on after its caller's connection broke",
    ),
    # If a caller's entry instance fails, the caller can reconnect only once its load
    # balancer has noticed the failure.
    Field(
        "reconnect_keep",
        parse_seconds,
        "30",
        "s",
        "time that an answer is kept for its caller to reconnect",
    ),
    # An eighth of the 128 MB that a node has for the control plane.
    Field(
        "reconnect_bytes",
        parse_count,
        str(16 * MIB),
        "bytes",
        "largest size of all answers kept",
    ),
    Field(
        "store_timeout",
        parse_seconds,
        "2",
        "s",
        "maximum time for a call to the key-value service",
    ),
    Field("watch_wait", parse_seconds, "30", "s", "maximum time for one watch call"),
    Field(
        "default_class",
        parse_name,
        "standard",
        "name",
        "work class if none is configured",
    ),
    Field(
        "stats_pairs",
        parse_count,
        "64",
        "count",
        "customer and class pairs with own statistics",
    ),
    # When all engines of a data centre load a new version, the loads share the weight
    # store's rate and would all finish late. With two at once, one can read while the
    # other fills its accelerator.
    Field(
        "loads_at_once",
        parse_count,
        "2",
        "count",
        "model loads at the same time in a data centre",
    ),
    Field(
        "operator_key_hash", parse_digest, "", "digest", "SHA-256 of the operators' key"
    ),
    *MACHINE_FIELDS,
)
FIELDS_BY_NAME = {field.name: field for field in FIELDS}


class Program(NamedTuple):
    """A daemon: its name and purpose in the help text, and its settings."""

    name: str
    purpose: str
    fields: tuple[Field, ...]


ENTRY = Program(
    "chervilwingd", "Entry daemon in front of model engines and plain services.", FIELDS
)


class _Parser(argparse.ArgumentParser):
    def error(self, message):
        raise BadSetting(message)


def build_parser(program):
    """Return the parser of a program's flags, which raises BadSetting on errors."""
    parser = _Parser(
        prog=program.name,
        description=program.purpose,
        epilog=f"Each flag can be given as {PREFIX}NAME; the flag wins.",
        add_help=False,
        allow_abbrev=False,
    )
    for field in program.fields:
        value_options = (
            {"nargs": "?", "const": "true"} if field.parse is parse_flag else {}
        )
        parser.add_argument(
            field.flag,
            metavar=field.form,
            help=f"{field.help} [{field.default or 'none'}]",
            **value_options,
        )
    parser.add_argument("-h", "--help", action="store_true", help="print this text")
    return parser


def read_settings(argv, environ) -> Result[Settings, BadSetting]:
    """Return checked settings from flags and ``CHERVILWING_*`` variables.

    ``argv`` excludes the program's name. A flag overrides its variable, and a variable
    overrides the default. Unknown flags and unknown ``CHERVILWING_*`` variables are
    rejected, so that a misspelt limit doesn't silently leave the default in force.
    """
    try:
        flags = vars(build_parser(ENTRY).parse_args(list(argv)))
        _reject_unknown(environ)
        values = {field.name: read_field(field, flags, environ) for field in FIELDS}
        cfg = Settings(**values)
        _check_combinations(cfg)
    except BadSetting as exc:
        return Failure(exc)
    return Success(_fill_in_name(cfg))


def _reject_unknown(environ):
    known = {field.variable for field in FIELDS} | TOOL_VARIABLES
    for variable in sorted(environ):
        if variable.startswith(PREFIX) and variable not in known:
            raise BadSetting(f"{variable}: no such setting")


def read_field(field, flags, environ):
    """Return one setting, or raise a BadSetting that names its flag or variable."""
    text, source = flags[field.name], field.flag
    if text is None and field.variable in environ:
        text, source = environ[field.variable], field.variable
    if text is None:
        text = field.default
    try:
        return field.parse(text.strip())
    except ValueError as exc:
        raise BadSetting(f"{source}: {exc}") from None


# Each row: a condition, the setting to report when it is false, and the reason.
COMBINATION_CHECKS = (
    (
        lambda cfg: cfg.embedded or cfg.store is not None,
        "store",
        "needed unless --embedded is given",
    ),
    (
        lambda cfg: cfg.silence_timeout <= cfg.request_timeout,
        "silence_timeout",
        "longer than --request-timeout, so it would never act",
    ),
    # A planned stop must not interrupt any request in flight, and the last request may
    # arrive at the end of the load balancer's lag.
    (
        lambda cfg: cfg.drain_timeout >= cfg.request_timeout + cfg.drain_lag,
        "drain_timeout",
        "shorter than --request-timeout plus --drain-lag, "
        "so a stop would interrupt requests",
    ),
    (
        lambda cfg: cfg.peer_listen != cfg.listen or cfg.listen.port == 0,
        "peer_listen",
        "the same as --listen",
    ),
)


def _check_combinations(cfg):
    for is_valid, name, reason in COMBINATION_CHECKS:
        if not is_valid(cfg):
            raise BadSetting(f"{FIELDS_BY_NAME[name].flag}: {reason}")


def _fill_in_name(cfg):
    if cfg.name:
        return cfg
    host = cfg.listen.host.replace(":", ".")
    return cfg._replace(name=f"{cfg.data_centre}-{host}-{cfg.listen.port}")


def render_help(program=ENTRY):
    """Return the text printed for ``--help``."""
    return build_parser(program).format_help()


def render_table(program=ENTRY):
    """Return the settings as the Markdown table of docs/OPERATIONS.md."""
    lines = ["| flag | variable | form | default | meaning |", "|---|---|---|---|---|"]
    for field in program.fields:
        form = field.form.replace("|", "\\|")
        default = f"`{field.default}`" if field.default else "none"
        cells = (f"`{field.flag}`", f"`{field.variable}`", form, default, field.help)
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def describe(cfg):
    """Return the settings as plain values, for the log line at startup."""
    # A reader of the logs could find a short key from its digest by exhaustive search.
    cfg = cfg._replace(operator_key_hash="set" if cfg.operator_key_hash else "")
    return {name: _to_plain(value) for name, value in cfg._asdict().items()}


def _to_plain(value):
    if isinstance(value, Address):
        return format_address(value)
    if isinstance(value, tuple):
        return [format_address(item) for item in value]
    return value
