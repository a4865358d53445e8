"""Check a configuration across its entries: names, references and sums."""

from collections import Counter

from .models import MODEL, SERVICE, Inventory, Rules
from .shapes import ANY, fail

STANDARD = "standard"
SUM_TOLERANCE = 1e-6


def check_consistency(inventory, rules):
    """Check inventory and rules against each other.

    Return both, with each upstream's kind set from its pool. Raise BadConfiguration if
    they are inconsistent.
    """
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
        _check_no_duplicates(
            section, [item.name for item in getattr(inventory, section)]
        )
    for section in Rules._fields:
        _check_no_duplicates(section, [item.name for item in getattr(rules, section)])


def _check_no_duplicates(path, names):
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
    owners = {}
    for item in inventory.upstreams:
        owner = owners.setdefault(item.address, item.name)
        if owner != item.name:
            fail(f"upstreams.{item.name}.address", f"also used by upstream {owner!r}")


def _check_pools(inventory, rules, kinds):
    expected = [("services", item, SERVICE) for item in inventory.services]
    expected += [("routes", item, MODEL) for item in rules.routes]
    for section, item, kind in expected:
        path = f"{section}.{item.name}.pool"
        if item.pool not in kinds:
            fail(path, f"no pool {item.pool!r}")
        if kinds[item.pool] != kind:
            fail(path, f"pool {item.pool!r} is not of kind {kind!r}")


def _check_classes(inventory, rules):
    classes = {STANDARD} | {item.name for item in rules.classes}
    used = [(f"customers.{item.name}", item.work_class) for item in rules.customers]
    used += [(f"routes.{item.name}", item.work_class) for item in rules.routes]
    used += [(f"services.{item.name}", item.work_class) for item in inventory.services]
    for item in inventory.services:
        _check_no_duplicates(
            f"services.{item.name}.calls", [row.call for row in item.calls]
        )
        used += [
            (f"services.{item.name}.calls[{i}]", row.work_class)
            for i, row in enumerate(item.calls)
        ]
    for path, name in used:
        if name and name not in classes:
            fail(f"{path}.work_class", f"no class {name!r}")


def _check_shares(inventory, rules):
    models_by_pool = {pool.name: pool.models for pool in inventory.pools}
    for route in rules.routes:
        path = f"routes.{route.name}"
        versions = [share.version for share in route.shares]
        _check_no_duplicates(f"{path}.shares", versions)
        total = sum(share.part for share in route.shares)
        if versions and abs(total - 1) > SUM_TOLERANCE:
            fail(f"{path}.shares", f"the parts sum to {total:g}, not to 1")
        for version in versions or [route.name]:
            if models_by_pool[route.pool] and version not in models_by_pool[route.pool]:
                fail(path, f"pool {route.pool!r} doesn't list model {version!r}")


def _check_fleets(rules, kinds):
    owners = {}
    for item in rules.fleets:
        if item.pool not in kinds:
            fail(f"fleets.{item.name}.pool", f"no pool {item.pool!r}")
        owner = owners.setdefault(item.pool, item.name)
        if owner != item.name:
            fail(f"fleets.{item.name}.pool", f"also used by fleet {owner!r}")


def _check_customers(inventory, rules):
    targets = {ANY} | {item.name for item in inventory.services + rules.routes}
    owners = {}
    for item in rules.customers:
        path = f"customers.{item.name}"
        for name in item.allowed:
            if name not in targets:
                fail(f"{path}.allowed", f"no model or service {name!r}")
        for digest in item.key_hashes:
            owner = owners.setdefault(digest, item.name)
            if owner != item.name:
                fail(f"{path}.key_hashes", f"customer {owner!r} has the same key")
