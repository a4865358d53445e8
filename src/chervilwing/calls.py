"""Calls of a plain service: which row of the inventory speaks about a request."""

import posixpath
from urllib.parse import unquote

# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


def normalise(path):
    """Return a path as a service may read it: unquoted, no doubles, no dots, small.

    Without this, ``//notes``, ``/%6eotes`` or ``/x/../notes`` would pass as idempotent
    while the service books a note; a retry would then book it twice.
    """
    path = unquote(path.partition("?")[0]).lower()
    return "/" + posixpath.normpath("/" + path).lstrip("/")


def matches(call, method, path):
    """Tell whether ``POST /notes`` covers a request: that path and all below it."""
    wanted_method, _, wanted_path = call.partition(" ")
    if method.upper() != wanted_method:
        return False
    prefix = normalise(wanted_path).rstrip("/")
    path = normalise(path)
    return path == prefix or path.startswith(prefix + "/")


def is_idempotent(service, method, path):
    """Tell whether a request to a service may be repeated."""
    if any(matches(call, method, path) for call in service.non_idempotent):
        return False
    if method.upper() in IDEMPOTENT_METHODS:
        return True
    return any(matches(call, method, path) for call in service.idempotent)


def find_class(service, customer, method, path):
    """Return the class of the longest matching call, of the service or the customer."""
    rows = [row for row in service.calls if matches(row.call, method, path)]
    if rows:
        return max(rows, key=lambda row: len(row.call)).work_class
    return service.work_class or customer.work_class
