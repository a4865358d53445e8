"""Changes of a configuration: finding, applying and comparing them, entry by entry."""

import json
from typing import Any, NamedTuple

from .documents import check_configuration
from .models import Configuration, Inventory, Rules
from .shapes import SHAPES, fail, read_entry, to_plain

EMPTY = Configuration(0, "", Inventory(), Rules())
PART_OF = {
    **dict.fromkeys(Inventory._fields, "inventory"),
    **dict.fromkeys(Rules._fields, "rules"),
}


class Change(NamedTuple):
    """One named entry set to a value, or removed when the value is None."""

    section: str
    name: str
    value: Any = None


class Overlap(NamedTuple):
    """One entry that two operators changed, as plain data; None means removed."""

    section: str
    name: str
    base: Any
    ours: Any
    theirs: Any


def list_entries(cfg, section):
    """Return name to entry of one section."""
    rows = getattr(getattr(cfg, PART_OF[section]), section)
    return {item.name: item for item in rows}


def find_changes(old, new):
    """Return what turns one configuration into another, whatever their order."""
    changes = []
    for section in PART_OF:
        before, after = list_entries(old, section), list_entries(new, section)
        changes += [Change(section, name) for name in before if name not in after]
        changes += [
            Change(section, name, item)
            for name, item in after.items()
            if before.get(name) != item
        ]
    return tuple(changes)


def apply_changes(cfg, changes):
    """Return the configuration with the changes made; it isn't checked yet."""
    sections = {section: list_entries(cfg, section) for section in PART_OF}
    for section, name, value in changes:
        if value is None:
            sections[section].pop(name, None)
        else:
            sections[section][name] = value
    for section, rows in sections.items():
        cfg = _replace_section(cfg, section, tuple(rows.values()))
    return cfg


def _replace_section(cfg, section, rows):
    part = getattr(cfg, PART_OF[section])._replace(**{section: rows})
    return cfg._replace(**{PART_OF[section]: part})


def find_overlaps(base, changes, current):
    """Return the changed entries that someone else changed too, and differently."""
    overlaps = []
    for section, name, ours in changes:
        before = list_entries(base, section).get(name)
        theirs = list_entries(current, section).get(name)
        if theirs not in (before, ours):
            sides = [_to_plain(item) for item in (before, ours, theirs)]
            overlaps.append(Overlap(section, name, *sides))
    return tuple(overlaps)


def _to_plain(item):
    return None if item is None else to_plain(item)


def set_values(base, settings, removals):
    """Return the checked configuration with ``section.name.key=value`` lines applied.

    A value is read as JSON, or taken as a text if it isn't JSON. A name may hold dots:
    the section ends at the first dot and the key begins after the last one.
    """
    tables = {}
    for line in settings:
        section, name, key, value = _split_setting(line)
        found = list_entries(base, section).get(name)
        table = tables.setdefault(
            (section, name), to_plain(found) if found else {"name": name}
        )
        table[key] = value
    changes = [_split_removal(base, path) for path in removals]
    changes += [
        Change(section, name, read_entry(SHAPES[section], table, f"{section}.{name}"))
        for (section, name), table in tables.items()
    ]
    return check_configuration(apply_changes(base, changes))


def _split_setting(line):
    path, equals, text = line.partition("=")
    section, _, rest = path.partition(".")
    name, _, key = rest.rpartition(".")
    if not (equals and name and key):
        fail(line, "not section.name.key=value")
    _check_section(section)
    if key == "name":
        fail(path, "a name can't be changed; remove the entry and add another")
    return section, name, key, _read_value(text)


def _read_value(text):
    try:
        return json.loads(text)
    except ValueError:
        return text


def _split_removal(base, path):
    section, _, name = path.partition(".")
    _check_section(section)
    if name not in list_entries(base, section):
        fail(path, "no such entry")
    return Change(section, name)


def _check_section(section):
    if section not in PART_OF:
        fail(section, f"not one of {', '.join(PART_OF)}")


def describe_change(base, change):
    """Return one line a change for people: what is removed, added or changed."""
    before = list_entries(base, change.section).get(change.name)
    label = f"{change.section}.{change.name}"
    if change.value is None:
        return f"- {label}"
    after = to_plain(change.value)
    if before is None:
        return f"+ {label} {json.dumps(after)}"
    old = to_plain(before)
    parts = [
        f"{key}: {json.dumps(old.get(key))} -> {json.dumps(after.get(key))}"
        for key in sorted(old.keys() | after.keys())
        if old.get(key) != after.get(key)
    ]
    return f"~ {label} {'; '.join(parts)}"
