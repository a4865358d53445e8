"""Who may read an instance's figures and stop it: operators, by a key of their own."""

import hmac
from ipaddress import ip_address

from .directory import read_bearer
from .documents import hash_key
from .exceptions import NotAllowed, WrongOperatorKey


def check_key(key_hash, headers):
    """Raise WrongOperatorKey unless the request gives the operators' key."""
    if not key_hash:
        return
    given = hash_key(read_bearer(headers))
    # In constant time, though only digests are compared: it costs nothing.
    if not hmac.compare_digest(given, key_hash):
        raise WrongOperatorKey("The operators' key is needed.")


def check_stop(key_hash, headers, host):
    """Raise unless a stop is asked for with the key, or without one from here.

    Guard: the paths stand on the callers' port. Whoever could reach it would stop one
    instance after the other, which shows as planned stops that nobody planned.
    """
    check_key(key_hash, headers)
    if not key_hash and not ip_address(host).is_loopback:
        raise NotAllowed("Without --operator-key-hash only this machine may stop it.")
