"""The schema of the configuration: the keys of each entry and their readers.

A reader takes a raw value and its key path; it returns the checked value or raises
BadConfiguration.
"""

import re
from collections.abc import Callable
from math import isfinite
from typing import Any, NamedTuple

from .addresses import format_address, parse_address
from .exceptions import BadConfiguration
from .models import (
    MODEL,
    SERVICE,
    Address,
    CallClass,
    Customer,
    Fleet,
    Inventory,
    ModelRoute,
    Pool,
    Rules,
    Service,
    Share,
    Upstream,
    WorkClass,
)

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}", re.ASCII)
CALL = re.compile(r"(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) /[!-~]{0,255}", re.ASCII)
KEY_HASH = re.compile(r"[0-9a-f]{64}", re.ASCII)
ANY = "*"


def fail(path, reason):
    """Raise BadConfiguration with the key path and the reason."""
    raise BadConfiguration(f"{path}: {reason}")


def text_matching(pattern, description):
    """Return a reader of strings that fully match a pattern."""

    def read(raw, path):
        if not isinstance(raw, str) or not pattern.fullmatch(raw):
            fail(path, f"{raw!r} is not {description}")
        return raw

    return read


def one_of(values):
    """Return a reader that accepts only these values."""

    def read(raw, path):
        if raw not in values:
            fail(path, f"{raw!r} is not one of {', '.join(values)}")
        return raw

    return read


def whole_number(minimum, maximum):
    """Return a reader of whole numbers within bounds."""

    def read(raw, path):
        if type(raw) is not int or not minimum <= raw <= maximum:
            fail(path, f"{raw!r} is not a whole number from {minimum} to {maximum}")
        return raw

    return read


def positive_number(maximum):
    """Return a reader of numbers above 0, up to ``maximum``."""

    def read(raw, path):
        if type(raw) not in (int, float) or not isfinite(raw) or not 0 < raw <= maximum:
            fail(path, f"{raw!r} is not a number above 0, up to {maximum}")
        return float(raw)

    return read


def non_negative_number(maximum):
    """Return a reader of numbers from 0 to ``maximum``."""
    read_positive = positive_number(maximum)
    return lambda raw, path: (
        0.0 if type(raw) in (int, float) and raw == 0 else read_positive(raw, path)
    )


def list_of(read_item):
    """Return a reader of lists whose items ``read_item`` reads."""

    def read(raw, path):
        if not isinstance(raw, list):
            fail(path, "not a list")
        return tuple(read_item(item, f"{path}[{i}]") for i, item in enumerate(raw))

    return read


def tables_of(shape):
    """Return a reader of lists of tables; errors name a table by its ``name`` key."""

    def read(raw, path):
        if not isinstance(raw, list):
            fail(path, "not a list")
        return tuple(
            read_entry(shape, item, _entry_path(item, path, i))
            for i, item in enumerate(raw)
        )

    return read


def _entry_path(item, path, i):
    name = item.get("name") if isinstance(item, dict) else None
    named = isinstance(name, str) and NAME.fullmatch(name)
    return f"{path}.{name}" if named else f"{path}[{i}]"


def read_flag(raw, path):
    """Return a raw value that must be a boolean."""
    if type(raw) is not bool:
        fail(path, f"{raw!r} is neither true nor false")
    return raw


def read_address(raw, path):
    """Return the Address of a HOST:PORT string; port 0 is an error."""
    if not isinstance(raw, str):
        fail(path, f"{raw!r} is not HOST:PORT")
    try:
        address = parse_address(raw)
    except ValueError as exc:
        fail(path, str(exc))
    if address.port == 0:
        fail(path, "port 0 can't be reached")
    return address


def read_allowed(raw, path):
    """Return a model or service name, or ``*`` for all."""
    return raw if raw == ANY else read_name(raw, path)


def read_optional_name(raw, path):
    """Return a name or an empty string."""
    return raw if raw == "" else read_name(raw, path)


read_name = text_matching(NAME, "a name (letters, digits and . _ : / @ + -)")
read_call = text_matching(CALL, "a method and a path such as 'POST /notes'")
read_key_hash = text_matching(KEY_HASH, "a SHA-256 digest in lower-case hex")
read_kind = one_of((MODEL, SERVICE))


class Shape(NamedTuple):
    """Hold an entry's type, a reader for each key, and defaults of optional keys."""

    type: type
    readers: dict[str, Callable[[Any, str], Any]]
    defaults: dict[str, Any]


def _make_shape(type_, readers, **extra_defaults):
    return Shape(type_, readers, {**type_._field_defaults, **extra_defaults})


SHARE = _make_shape(Share, {"version": read_name, "part": positive_number(1)})
CALL_CLASS = _make_shape(CallClass, {"call": read_call, "work_class": read_name})
SHAPES = {
    "pools": _make_shape(
        Pool, {"name": read_name, "kind": read_kind, "models": list_of(read_name)}
    ),
    # An upstream gets the kind of its pool when the configuration is checked.
    "upstreams": _make_shape(
        Upstream,
        {
            "name": read_name,
            "kind": read_kind,
            "pool": read_name,
            "address": read_address,
            "data_centre": read_name,
            "machine_class": read_name,
            "slots": whole_number(1, 65536),
            "fenced": read_flag,
            "zone": read_optional_name,
        },
        kind="",
    ),
    "services": _make_shape(
        Service,
        {
            "name": read_name,
            "pool": read_name,
            "non_idempotent": list_of(read_call),
            "idempotent": list_of(read_call),
            "work_class": read_optional_name,
            "calls": tables_of(CALL_CLASS),
        },
    ),
    "customers": _make_shape(
        Customer,
        {
            "name": read_name,
            "key_hashes": list_of(read_key_hash),
            "weight": positive_number(1000),
            "queue_limit": whole_number(1, 1_000_000),
            "work_class": read_name,
            "allowed": list_of(read_allowed),
        },
    ),
    "classes": _make_shape(
        WorkClass,
        {
            "name": read_name,
            "priority": whole_number(0, 9),
            "deadline": positive_number(86400),
            "first_token": positive_number(86400),
        },
    ),
    "routes": _make_shape(
        ModelRoute,
        {
            "name": read_name,
            "pool": read_name,
            "shares": tables_of(SHARE),
            "work_class": read_optional_name,
        },
    ),
    "fleets": _make_shape(
        Fleet,
        {
            "name": read_name,
            "pool": read_name,
            "machine_classes": list_of(read_name),
            "min_instances": whole_number(0, 100_000),
            "max_instances": whole_number(0, 100_000),
            "spare": non_negative_number(1),
            "price_ceiling": non_negative_number(1_000_000),
        },
    ),
}
INVENTORY = Shape(
    Inventory,
    {name: tables_of(SHAPES[name]) for name in Inventory._fields},
    Inventory._field_defaults,
)
RULES = Shape(
    Rules,
    {name: tables_of(SHAPES[name]) for name in Rules._fields},
    Rules._field_defaults,
)


def read_entry(shape, raw, path):
    """Return an entry from plain data; raise BadConfiguration with the key path."""
    if not isinstance(raw, dict):
        fail(path, "not a table")
    prefix = f"{path}." if path else ""
    for key in raw:
        if key not in shape.readers:
            fail(f"{prefix}{key}", "unknown key")
    values = {}
    for key, read in shape.readers.items():
        if key in raw:
            values[key] = read(raw[key], f"{prefix}{key}")
        elif key in shape.defaults:
            values[key] = shape.defaults[key]
        else:
            fail(f"{prefix}{key}", "missing")
    return shape.type(**values)


def to_plain(value):
    """Return an entry as plain data, without keys that have their default value.

    An older daemon refuses unknown keys. Without the defaults it can still read a
    document that doesn't use the newer keys.
    """
    if isinstance(value, Address):
        return format_address(value)
    if hasattr(value, "_fields"):
        return {
            key: to_plain(item)
            for key, item in value._asdict().items()
            if not _is_left_out(value, key, item)
        }
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    return value


def _is_left_out(entry, key, item):
    if isinstance(entry, Upstream) and key == "kind":
        return True
    missing = object()
    return entry._field_defaults.get(key, missing) == item
