"""Shapes of the configuration: which keys, of which form, with which bounds."""

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
    """Raise BadConfiguration that names the key path."""
    raise BadConfiguration(f"{path}: {reason}")


def matching(pattern, form):
    """Return a reader of texts that a pattern matches whole."""

    def read(raw, path):
        if not isinstance(raw, str) or not pattern.fullmatch(raw):
            fail(path, f"{raw!r} is not {form}")
        return raw

    return read


def choice(words):
    """Return a reader of one of a few words."""

    def read(raw, path):
        if raw not in words:
            fail(path, f"{raw!r} is not one of {', '.join(words)}")
        return raw

    return read


def whole(least, most):
    """Return a reader of whole numbers within bounds."""

    def read(raw, path):
        if type(raw) is not int or not least <= raw <= most:
            fail(path, f"{raw!r} is not a whole number from {least} to {most}")
        return raw

    return read


def above_zero(most):
    """Return a reader of numbers above 0, up to ``most``."""

    def read(raw, path):
        if type(raw) not in (int, float) or not isfinite(raw) or not 0 < raw <= most:
            fail(path, f"{raw!r} is not a number above 0, up to {most}")
        return float(raw)

    return read


def from_zero(most):
    """Return a reader of numbers from 0 to ``most``."""
    read_above = above_zero(most)
    return lambda raw, path: (
        0.0 if type(raw) in (int, float) and raw == 0 else read_above(raw, path)
    )


def items(read_item):
    """Return a reader of lists."""

    def read(raw, path):
        if not isinstance(raw, list):
            fail(path, "not a list")
        return tuple(read_item(item, f"{path}[{i}]") for i, item in enumerate(raw))

    return read


def entries(shape):
    """Return a reader of lists of tables, named in errors by their own name."""

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
    """Return a boolean."""
    if type(raw) is not bool:
        fail(path, f"{raw!r} is neither true nor false")
    return raw


def read_address(raw, path):
    """Return an Address with a port of its own."""
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
    """Return a name or an empty text."""
    return raw if raw == "" else read_name(raw, path)


read_name = matching(NAME, "a name (letters, digits and . _ : / @ + -)")
read_call = matching(CALL, "a method and a path such as 'POST /notes'")
read_key_hash = matching(KEY_HASH, "a SHA-256 digest in small hex")
read_kind = choice((MODEL, SERVICE))


class Shape(NamedTuple):
    """The type of an entry, a reader for each key, and keys that may be left out."""

    type: type
    readers: dict[str, Callable[[Any, str], Any]]
    defaults: dict[str, Any]


def _shape(type_, readers, **derived):
    return Shape(type_, readers, {**type_._field_defaults, **derived})


SHARE = _shape(Share, {"version": read_name, "part": above_zero(1)})
CALL_CLASS = _shape(CallClass, {"call": read_call, "work_class": read_name})
SHAPES = {
    "pools": _shape(
        Pool, {"name": read_name, "kind": read_kind, "models": items(read_name)}
    ),
    # An upstream's kind is that of its pool; the check fills it in.
    "upstreams": _shape(
        Upstream,
        {
            "name": read_name,
            "kind": read_kind,
            "pool": read_name,
            "address": read_address,
            "data_centre": read_name,
            "machine_class": read_name,
            "slots": whole(1, 65536),
            "fenced": read_flag,
            "zone": read_optional_name,
        },
        kind="",
    ),
    "services": _shape(
        Service,
        {
            "name": read_name,
            "pool": read_name,
            "non_idempotent": items(read_call),
            "idempotent": items(read_call),
            "work_class": read_optional_name,
            "calls": entries(CALL_CLASS),
        },
    ),
    "customers": _shape(
        Customer,
        {
            "name": read_name,
            "key_hashes": items(read_key_hash),
            "weight": above_zero(1000),
            "queue_limit": whole(1, 1_000_000),
            "work_class": read_name,
            "allowed": items(read_allowed),
        },
    ),
    "classes": _shape(
        WorkClass,
        {
            "name": read_name,
            "priority": whole(0, 9),
            "deadline": above_zero(86400),
            "first_token": above_zero(86400),
        },
    ),
    "routes": _shape(
        ModelRoute,
        {
            "name": read_name,
            "pool": read_name,
            "shares": entries(SHARE),
            "work_class": read_optional_name,
        },
    ),
    "fleets": _shape(
        Fleet,
        {
            "name": read_name,
            "pool": read_name,
            "machine_classes": items(read_name),
            "min_instances": whole(0, 100_000),
            "max_instances": whole(0, 100_000),
            "spare": from_zero(1),
            "price_ceiling": from_zero(1_000_000),
        },
    ),
}
INVENTORY = Shape(
    Inventory,
    {name: entries(SHAPES[name]) for name in Inventory._fields},
    Inventory._field_defaults,
)
RULES = Shape(
    Rules,
    {name: entries(SHAPES[name]) for name in Rules._fields},
    Rules._field_defaults,
)


def read_entry(shape, raw, path):
    """Return one entry from plain data; raise BadConfiguration that names the key."""
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
    """Return an entry as plain data, without the keys that hold their default.

    Defaults are left out so that an older daemon, which refuses keys it doesn't know,
    still reads a document that doesn't use the newer keys.
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
