"""The record of a fleet's purchases, written before each purchase is made.

The answer to a purchase may be lost, or the lease holder that sent it may freeze and be
replaced. Either could buy twice. The record therefore holds the request id, for which
the cloud sells only one instance: any holder of the fleet repeats the request with the
same id.
"""

import json
from typing import NamedTuple

from .planner import Offer, Owned

REQUESTED = "asked"
BOUGHT = "bought"
LEAVING = "leaving"
# Seconds within which a purchased instance must be on the instance list.
LISTING_TIMEOUT = 600.0


class Purchase(NamedTuple):
    """One purchased or requested instance.

    ``at`` is in Unix seconds: when ``state`` began, or when the instance will end.
    """

    request: str
    zone: str
    machine_class: str
    market: str
    state: str = REQUESTED
    instance: str = ""
    at: float = 0.0


def make_purchase(request, offer, now):
    """Return the record of a purchase that is about to be requested."""
    return Purchase(request, *offer[:3], REQUESTED, "", now)


def encode_purchases(purchases):
    """Return the purchases as JSON text for the store."""
    return json.dumps([list(purchase) for purchase in purchases])


def decode_purchases(text):
    """Return the stored purchases; raise one of DECODE_ERRORS if invalid."""
    return tuple(Purchase(*purchase) for purchase in json.loads(text))


def get_offer(purchase):
    """Return the offer of a purchase, without its price at the time."""
    return Offer(purchase.zone, purchase.machine_class, purchase.market, 0.0)


def list_owned_instances(purchases, upstreams, available, machines, default):
    """Return the owned instances: live upstreams, and purchases not listed yet.

    ``available`` are the names of listed instances that aren't leaving. ``machines``
    maps machine classes to their Machine; ``default`` is the Machine of other classes.
    """
    markets = {
        purchase.instance: purchase.market
        for purchase in purchases
        if purchase.instance
    }
    owned = [
        Owned(
            item.name,
            item.zone or item.data_centre,
            0.0,
            item.slots,
            item.machine_class,
            markets.get(item.name, ""),
            from_inventory=item.name not in markets,
        )
        for item in upstreams
    ]
    owned += [
        Owned(
            purchase.instance or purchase.request,
            purchase.zone,
            0.0,
            machines.get(purchase.machine_class, default).slots,
            purchase.machine_class,
            purchase.market,
        )
        for purchase in purchases
        if purchase.state != LEAVING and purchase.instance not in available
    ]
    return tuple(owned)


def find_lost_purchase(purchases, available, listed_before, now):
    """Return a purchase whose instance is gone or was never listed, or None.

    ``available`` are the names of listed instances that aren't leaving, and
    ``listed_before`` the names of all instances that were ever listed.
    """
    for purchase in purchases:
        if purchase.state != BOUGHT or purchase.instance in available:
            continue
        if purchase.instance in listed_before or now - purchase.at > LISTING_TIMEOUT:
            return purchase
    return None
