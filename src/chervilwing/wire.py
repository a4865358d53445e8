"""Typed messages between entry instances as plain lists, checked when they come in."""

from functools import cache
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

from .exceptions import BadFrame

NUMBERS = (int, float)


def is_record(kind):
    """Tell whether a type is a NamedTuple."""
    return (
        isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields")
    )


@cache
def list_kinds(kind):
    """Return the types of a NamedTuple's fields, in order."""
    hints = get_type_hints(kind)
    return tuple(hints[name] for name in kind._fields)


def rebuild(kind, value):
    """Return the value as the type that is expected, or raise BadFrame."""
    if kind is Any:
        return value
    if get_origin(kind) in (Union, UnionType):
        return rebuild_union(kind, value)
    if get_origin(kind) is tuple:
        return rebuild_tuple(kind, value)
    if is_record(kind):
        return rebuild_record(kind, value)
    expected = NUMBERS if kind is float else kind
    if isinstance(value, bool) and kind is not bool or not isinstance(value, expected):
        raise BadFrame(f"A field is not of type {kind.__name__}.")
    return value


def rebuild_union(kind, value):
    """Return an optional value; a union of two messages can't be told apart here."""
    if value is None and NoneType in get_args(kind):
        return None
    inner = [item for item in get_args(kind) if item is not NoneType]
    return rebuild(inner[0], value)


def rebuild_tuple(kind, value):
    """Return a tuple whose items all have one type."""
    if not isinstance(value, (list, tuple)):
        raise BadFrame("A field is not a list.")
    return tuple(rebuild(get_args(kind)[0], item) for item in value)


def rebuild_record(kind, value):
    """Return a NamedTuple from the list of its fields."""
    kinds = list_kinds(kind)
    if not isinstance(value, (list, tuple)) or len(value) != len(kinds):
        raise BadFrame(f"A {kind.__name__} has {len(kinds)} fields.")
    return kind(*(rebuild(*pair) for pair in zip(kinds, value, strict=True)))
