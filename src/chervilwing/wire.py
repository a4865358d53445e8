"""Rebuild typed messages from the plain lists that entry instances exchange."""

from functools import cache
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

from .exceptions import BadFrame

NUMBERS = (int, float)


def is_named_tuple(type_):
    """Return whether a type is a NamedTuple."""
    return (
        isinstance(type_, type)
        and issubclass(type_, tuple)
        and hasattr(type_, "_fields")
    )


@cache
def list_field_types(type_):
    """Return the types of a NamedTuple's fields, in order."""
    hints = get_type_hints(type_)
    return tuple(hints[name] for name in type_._fields)


def rebuild(type_, value):
    """Return a received value as an instance of ``type_``, or raise BadFrame."""
    if type_ is Any:
        return value
    if get_origin(type_) in (Union, UnionType):
        return rebuild_union(type_, value)
    if get_origin(type_) is tuple:
        return rebuild_tuple(type_, value)
    if is_named_tuple(type_):
        return rebuild_named_tuple(type_, value)
    expected = NUMBERS if type_ is float else type_
    if isinstance(value, bool) and type_ is not bool or not isinstance(value, expected):
        raise BadFrame(f"A field is not of type {type_.__name__}.")
    return value


def rebuild_union(type_, value):
    """Return a received value as ``X | None``; other unions aren't supported."""
    if value is None and NoneType in get_args(type_):
        return None
    members = [item for item in get_args(type_) if item is not NoneType]
    return rebuild(members[0], value)


def rebuild_tuple(type_, value):
    """Return a tuple from a list whose items all have the same type."""
    if not isinstance(value, (list, tuple)):
        raise BadFrame("A field is not a list.")
    return tuple(rebuild(get_args(type_)[0], item) for item in value)


def rebuild_named_tuple(type_, value):
    """Return a NamedTuple from the list of its fields."""
    types = list_field_types(type_)
    if not isinstance(value, (list, tuple)) or len(value) != len(types):
        raise BadFrame(f"A {type_.__name__} has {len(types)} fields.")
    return type_(*(rebuild(*pair) for pair in zip(types, value, strict=True)))
