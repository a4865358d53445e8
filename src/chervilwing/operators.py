"""Check the operators' key, which protects metrics, status and planned stops."""

import hmac
from ipaddress import ip_address

from .directory import read_bearer
from .documents import hash_key
from .exceptions import NotAllowed, WrongOperatorKey


def check_key(key_hash, headers):
    """Raise WrongOperatorKey if a key is set and the request doesn't have it."""
    if not key_hash:
        return
    given = hash_key(read_bearer(headers))
    # Compare in constant time, though these are only digests: it costs nothing.
    if not hmac.compare_digest(given, key_hash):
        raise WrongOperatorKey("The operators' key is needed.")


def check_stop(key_hash, headers, host):
    """Raise WrongOperatorKey or NotAllowed unless the sender may stop the instance.

    The sender needs the operators' key, or, if none is set, a loopback address.

    Callers use the same port. Without this check any of them could stop one instance
    after the other.
    """
    check_key(key_hash, headers)
    if not key_hash and not ip_address(host).is_loopback:
        raise NotAllowed(
            "Without --operator-key-hash, only a request from the same machine may "
            "stop the instance."
        )
