"""What the instances write into the platform's store about themselves."""

from math import isfinite
from typing import NamedTuple

from .addresses import format_address, parse_address
from .exceptions import DECODE_ERRORS, BadConfiguration
from .models import Address

# Store keys that the instances write: running instances, and the holder of the duties.
INSTANCES = "chervilwing/instances/"
DUTIES = "chervilwing/instances-duties"
# Documents that are in force although the store has lost them, by their own keys.
SHARED_DOCUMENTS = "chervilwing/instances-documents/"


class Peer(NamedTuple):
    """Another instance: its address for datagrams, data centre and link in Mbit/s."""

    address: Address
    data_centre: str
    link: float


def encode_peer(peer):
    """Return the value under which an instance is registered."""
    return f"{format_address(peer.address)} {peer.data_centre} {peer.link}".encode()


def decode_peer(key, value):
    """Return the Peer of a registered value, or raise BadConfiguration."""
    try:
        address, data_centre, link = value.decode().split(" ")
        peer = Peer(parse_address(address), data_centre, float(link))
        if not isfinite(peer.link):
            raise ValueError("the link rate is not a finite number")
        return peer
    except DECODE_ERRORS as exc:
        raise BadConfiguration(f"{key}: {type(exc).__name__} {exc}") from exc
