"""Parse and format addresses such as ``10.0.0.1:80`` or ``[::1]:80``."""

from ipaddress import ip_address

from .models import Address

PORT_MAX = 65535


def parse_address(text):
    """Return the Address for HOST:PORT; raise ValueError with the reason.

    Host names are rejected: processes reach each other by IP address, so that an outage
    of the name service can't stop them.
    """
    host, colon, port = text.rpartition(":")
    if not colon:
        raise ValueError(f"{text!r} is not HOST:PORT")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP number") from None
    if not (port.isascii() and port.isdigit() and int(port) <= PORT_MAX):
        raise ValueError(f"{port!r} is not a port from 0 to {PORT_MAX}")
    return Address(host, int(port))


def format_address(address):
    """Return HOST:PORT, with brackets around an IPv6 address."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
