"""Checks across a configuration: names, references and sums."""

from collections import Counter

from .models import MODEL, SERVICE, Inventory, Rules
from .shapes import ANY, fail

STANDARD = "standard"
SUM_TOLERANCE = 1e-6


def check(inventory, rules):
    """Return inventory and rules, kinds filled in; raise BadConfiguration if wrong."""
    _check_unique(inventory, rules)
    kinds = {pool.name: pool.kind for pool in inventory.pools}
    inventory = inventory._replace(
        upstreams=tuple(_fill_kind(item, kinds) for item in inventory.upstreams)
    )
    _check_addresses(inventory)
    _check_pools(inventory, rules, kinds)
    _check_classes(inventory, rules)
    _check_shares(inventory, rules)
    _check_customers(inventory, rules)
    _check_fleets(rules, kinds)
    return inventory, rules


def _check_unique(inventory, rules):
    for section in Inventory._fields:
        _refuse_doubles(section, [item.name for item in getattr(inventory, section)])
    for section in Rules._fields:
        _refuse_doubles(section, [item.name for item in getattr(rules, section)])


def _refuse_doubles(path, names):
    for name, count in Counter(names).items():
        if count > 1:
            fail(f"{path}.{name}", f"occurs {count} times")


def _fill_kind(upstream, kinds):
    path = f"upstreams.{upstream.name}"
    if upstream.pool not in kinds:
        fail(f"{path}.pool", f"no pool {upstream.pool!r}")
    kind = kinds[upstream.pool]
    if upstream.kind not in ("", kind):
        fail(f"{path}.kind", f"pool {upstream.pool!r} is of kind {kind!r}")
    return upstream._replace(kind=kind)


def _check_addresses(inventory):
    holders = {}
    for item in inventory.upstreams:
        holder = holders.setdefault(item.address, item.name)
        if holder != item.name:
            fail(f"upstreams.{item.name}.address", f"upstream {holder!r} has it too")


def _check_pools(inventory, rules, kinds):
    wanted = [("services", item, SERVICE) for item in inventory.services]
    wanted += [("routes", item, MODEL) for item in rules.routes]
    for section, item, kind in wanted:
        path = f"{section}.{item.name}.pool"
        if item.pool not in kinds:
            fail(path, f"no pool {item.pool!r}")
        if kinds[item.pool] != kind:
            fail(path, f"pool {item.pool!r} is not of kind {kind!r}")


def _check_classes(inventory, rules):
    known = {STANDARD} | {item.name for item in rules.classes}
    used = [(f"customers.{item.name}", item.work_class) for item in rules.customers]
    used += [(f"routes.{item.name}", item.work_class) for item in rules.routes]
    used += [(f"services.{item.name}", item.work_class) for item in inventory.services]
    for item in inventory.services:
        _refuse_doubles(f"services.{item.name}.calls", [row.call for row in item.calls])
        used += [
            (f"services.{item.name}.calls[{i}]", row.work_class)
            for i, row in enumerate(item.calls)
        ]
    for path, name in used:
        if name and name not in known:
            fail(f"{path}.work_class", f"no class {name!r}")


def _check_shares(inventory, rules):
    served = {pool.name: pool.models for pool in inventory.pools}
    for route in rules.routes:
        path = f"routes.{route.name}"
        versions = [share.version for share in route.shares]
        _refuse_doubles(f"{path}.shares", versions)
        total = sum(share.part for share in route.shares)
        if versions and abs(total - 1) > SUM_TOLERANCE:
            fail(f"{path}.shares", f"the parts sum to {total:g}, not to 1")
        for version in versions or [route.name]:
            if served[route.pool] and version not in served[route.pool]:
                fail(path, f"pool {route.pool!r} doesn't list model {version!r}")


def _check_fleets(rules, kinds):
    holders = {}
    for item in rules.fleets:
        if item.pool not in kinds:
            fail(f"fleets.{item.name}.pool", f"no pool {item.pool!r}")
        holder = holders.setdefault(item.pool, item.name)
        if holder != item.name:
            fail(f"fleets.{item.name}.pool", f"fleet {holder!r} has it too")


def _check_customers(inventory, rules):
    targets = {ANY} | {item.name for item in inventory.services + rules.routes}
    holders = {}
    for item in rules.customers:
        path = f"customers.{item.name}"
        for name in item.allowed:
            if name not in targets:
                fail(f"{path}.allowed", f"no model or service {name!r}")
        for digest in item.key_hashes:
            holder = holders.setdefault(digest, item.name)
            if holder != item.name:
                fail(f"{path}.key_hashes", f"customer {holder!r} has the same key")
