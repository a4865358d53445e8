"""Find, apply and compare changes of a configuration, entry by entry.

A configuration has two parts, inventory and rules. A part has sections, such as pools
or customers, and a section has named entries.
"""

import json
from typing import Any, NamedTuple

from .documents import check_configuration
from .models import Configuration, Inventory, Rules
from .shapes import SHAPES, fail, read_entry, to_plain

EMPTY_CONFIGURATION = Configuration(0, "", Inventory(), Rules())
PART_BY_SECTION = {
    **dict.fromkeys(Inventory._fields, "inventory"),
    **dict.fromkeys(Rules._fields, "rules"),
}


class Change(NamedTuple):
    """A new value for one named entry; None removes the entry."""

    section: str
    name: str
    value: Any = None


class Overlap(NamedTuple):
    """An entry that two operators changed differently.

    ``base`` is the common old value, ``ours`` that of this edit, ``theirs`` the stored
    one, all as plain data; None if the entry doesn't exist.
    """

    section: str
    name: str
    base: Any
    ours: Any
    theirs: Any


def index_entries(cfg, section):
    """Return the entries of one section in a dict by name."""
    entries = getattr(getattr(cfg, PART_BY_SECTION[section]), section)
    return {item.name: item for item in entries}


def find_changes(old, new):
    """Return the changes that turn ``old`` into ``new``; order is ignored."""
    changes = []
    for section in PART_BY_SECTION:
        before, after = index_entries(old, section), index_entries(new, section)
        changes += [Change(section, name) for name in before if name not in after]
        changes += [
            Change(section, name, item)
            for name, item in after.items()
            if before.get(name) != item
        ]
    return tuple(changes)


def apply_changes(cfg, changes):
    """Return the configuration with the changes applied, without checking it."""
    sections = {section: index_entries(cfg, section) for section in PART_BY_SECTION}
    for section, name, value in changes:
        if value is None:
            sections[section].pop(name, None)
        else:
            sections[section][name] = value
    for section, entries in sections.items():
        cfg = _replace_section(cfg, section, tuple(entries.values()))
    return cfg


def _replace_section(cfg, section, entries):
    part = getattr(cfg, PART_BY_SECTION[section])._replace(**{section: entries})
    return cfg._replace(**{PART_BY_SECTION[section]: part})


def find_overlaps(base, changes, current):
    """Return an Overlap for each entry that was changed differently in ``current``.

    Its value in ``current`` is neither that in ``base`` nor the one in ``changes``.
    """
    overlaps = []
    for section, name, ours in changes:
        before = index_entries(base, section).get(name)
        theirs = index_entries(current, section).get(name)
        if theirs not in (before, ours):
            values = [_to_plain_or_none(item) for item in (before, ours, theirs)]
            overlaps.append(Overlap(section, name, *values))
    return tuple(overlaps)


def _to_plain_or_none(item):
    return None if item is None else to_plain(item)


def edit_entries(base, settings, removals):
    """Return ``base`` with settings and removals applied, after checking it.

    A setting is ``section.name.key=value``, a removal ``section.name``. A value that
    isn't JSON is used as a string. A name may contain dots: the section ends at the
    first dot and the key begins after the last one. Raises BadConfiguration.
    """
    tables = {}
    for line in settings:
        section, name, key, value = _parse_setting(line)
        found = index_entries(base, section).get(name)
        table = tables.setdefault(
            (section, name), to_plain(found) if found else {"name": name}
        )
        table[key] = value
    changes = [_parse_removal(base, path) for path in removals]
    changes += [
        Change(section, name, read_entry(SHAPES[section], table, f"{section}.{name}"))
        for (section, name), table in tables.items()
    ]
    return check_configuration(apply_changes(base, changes))


def _parse_setting(line):
    path, separator, text = line.partition("=")
    section, _, rest = path.partition(".")
    name, _, key = rest.rpartition(".")
    if not (separator and name and key):
        fail(line, "not section.name.key=value")
    _check_section(section)
    if key == "name":
        fail(path, "a name can't be changed; remove the entry and add another")
    return section, name, key, _parse_value(text)


def _parse_value(text):
    try:
        return json.loads(text)
    except ValueError:
        return text


def _parse_removal(base, path):
    section, _, name = path.partition(".")
    _check_section(section)
    if name not in index_entries(base, section):
        fail(path, "no such entry")
    return Change(section, name)


def _check_section(section):
    if section not in PART_BY_SECTION:
        fail(section, f"not one of {', '.join(PART_BY_SECTION)}")


def describe_change(base, change):
    """Return one line of text that shows what a change removes, adds or replaces."""
    before = index_entries(base, change.section).get(change.name)
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
