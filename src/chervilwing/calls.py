"""Match requests to plain services with the calls that the inventory lists."""

import posixpath
from urllib.parse import unquote

# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


def normalise_path(path):
    """Return a path unquoted, in lower case, without repeated slashes and dot segments.

    Without this, ``//notes``, ``/%6eotes`` or ``/x/../notes`` would pass as idempotent
    though the service handles them as ``/notes``; a retry would then run them twice.
    """
    path = unquote(path.partition("?")[0]).lower()
    return "/" + posixpath.normpath("/" + path).lstrip("/")


def matches(call, method, path):
    """Return whether a listed call such as ``POST /notes`` covers a request.

    It does if it has the request's method and the request's path or a parent of it.
    """
    wanted_method, _, wanted_path = call.partition(" ")
    if method.upper() != wanted_method:
        return False
    prefix = normalise_path(wanted_path).rstrip("/")
    path = normalise_path(path)
    return path == prefix or path.startswith(prefix + "/")


def is_idempotent(service, method, path):
    """Return whether a request to a service may be repeated."""
    if any(matches(call, method, path) for call in service.non_idempotent):
        return False
    if method.upper() in IDEMPOTENT_METHODS:
        return True
    return any(matches(call, method, path) for call in service.idempotent)


def find_class(service, customer, method, path):
    """Return the work class of the longest matching call, else the default.

    The default is the service's class, else the customer's.
    """
    rows = [row for row in service.calls if matches(row.call, method, path)]
    if rows:
        return max(rows, key=lambda row: len(row.call)).work_class
    return service.work_class or customer.work_class
