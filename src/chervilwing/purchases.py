"""The record of a fleet's purchases, written before each is made.

Guard: an answer to a buy is lost, or its sender is frozen and another takes over.
Either would buy twice; the record holds the request's id, under which the cloud sells
once, so whoever holds the fleet asks again under the same id.
"""

import json
from typing import NamedTuple

from .planner import Offer, Owned

ASKED = "asked"
BOUGHT = "bought"
LEAVING = "leaving"
# Seconds within which a bought instance must be on the instance list.
LISTED_WITHIN = 600.0


class Purchase(NamedTuple):
    """One instance; ``at`` in Unix seconds is when its state began, or will end."""

    request: str
    zone: str
    machine_class: str
    market: str
    state: str = ASKED
    instance: str = ""
    at: float = 0.0


def make_purchase(request, offer, now):
    """Return the row of a buy that is about to be made."""
    return Purchase(request, *offer[:3], ASKED, "", now)


def encode_purchases(rows):
    """Return the rows as the stored text."""
    return json.dumps([list(row) for row in rows])


def decode_purchases(text):
    """Return the rows of a stored text; ValueError or TypeError if it's no such."""
    return tuple(Purchase(*row) for row in json.loads(text))


def get_offer(row):
    """Return the offer that a purchase took, without its price of then."""
    return Offer(row.zone, row.machine_class, row.market, 0.0)


def list_owned(rows, upstreams, known, machines, usual):
    """Return what counts as owned: live upstreams, and buys that aren't known yet."""
    markets = {row.instance: row.market for row in rows if row.instance}
    owned = [
        Owned(
            item.name,
            item.zone or item.data_centre,
            0.0,
            item.slots,
            item.machine_class,
            markets.get(item.name, ""),
            kept=item.name not in markets,
        )
        for item in upstreams
    ]
    owned += [
        Owned(
            row.instance or row.request,
            row.zone,
            0.0,
            machines.get(row.machine_class, usual).slots,
            row.machine_class,
            row.market,
        )
        for row in rows
        if row.state != LEAVING and row.instance not in known
    ]
    return tuple(owned)


def find_lost(rows, known, seen, now):
    """Return a bought row whose instance has gone or never came, or None."""
    for row in rows:
        if row.state != BOUGHT or row.instance in known:
            continue
        if row.instance in seen or now - row.at > LISTED_WITHIN:
            return row
    return None
