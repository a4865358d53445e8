"""The configuration document: JSON in the key-value store, TOML in operators' files."""

import json
import tomllib
from hashlib import sha256
from typing import NamedTuple

from returns.result import Result, safe

from .checks import check_consistency
from .exceptions import BadConfiguration
from .models import Configuration, Inventory, Rules
from .shapes import (
    INVENTORY,
    RULES,
    Shape,
    fail,
    read_entry,
    read_name,
    to_plain,
    whole_number,
)

CONFIG_KEY = "chervilwing/config"
HISTORY_PREFIX = "chervilwing/config/history/"
# The key-value service accepts values up to a megabyte.
MAX_BYTES = 1_000_000
MAX_TEXT_LENGTH = 256
PARTS = {"inventory": INVENTORY, "rules": RULES}

read_revision = whole_number(1, 99_999_999)


def _read_text(raw, path):
    if not isinstance(raw, str) or len(raw) > MAX_TEXT_LENGTH or not raw.isprintable():
        fail(path, f"not a printable text of at most {MAX_TEXT_LENGTH} characters")
    return raw


CONFIGURATION = Shape(
    Configuration,
    {
        "revision": read_revision,
        "operation": read_name,
        "author": _read_text,
        "at": _read_text,
        "inventory": lambda raw, path: read_entry(INVENTORY, raw, path),
        "rules": lambda raw, path: read_entry(RULES, raw, path),
    },
    Configuration._field_defaults,
)


@safe(exceptions=(BadConfiguration,))
def parse_document(text) -> Result[Configuration, BadConfiguration]:
    """Return the validated configuration of a stored value, or the failure."""
    cfg = read_entry(CONFIGURATION, _load_json(text), "")
    return check_configuration(cfg)


def check_configuration(cfg):
    """Check a configuration; return it with each upstream's kind set from its pool.

    Raise BadConfiguration if it is inconsistent.
    """
    inventory, rules = check_consistency(cfg.inventory, cfg.rules)
    return cfg._replace(inventory=inventory, rules=rules)


def serialise(cfg):
    """Return the configuration as JSON; raise BadConfiguration over ``MAX_BYTES``."""
    text = json.dumps(to_plain(cfg), separators=(",", ":"))
    if len(text.encode()) > MAX_BYTES:
        fail("configuration", f"larger than {MAX_BYTES} bytes")
    return text


def _load_json(text):
    try:
        return json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, TypeError, RecursionError) as exc:
        fail("configuration", f"not JSON: {exc}")


def _reject_duplicate_keys(pairs):
    table = dict(pairs)
    if len(table) != len(pairs):
        fail("configuration", "a key occurs twice in one table")
    return table


class PartFile(NamedTuple):
    """Hold the inventory or rules of an operators' file and its revision, if any."""

    revision: int | None
    part: Inventory | Rules


@safe(exceptions=(BadConfiguration,))
def parse_file(name, text) -> Result[PartFile, BadConfiguration]:
    """Return the ``inventory`` or ``rules`` of a TOML file, or the failure.

    References to other entries aren't checked. A top-level ``revision`` names the
    revision that the file was made from, so that applying it doesn't undo later edits.
    """
    table = _load_toml(text)
    revision = table.pop("revision", None)
    if revision is not None:
        revision = read_revision(revision, "revision")
    return PartFile(revision, read_entry(PARTS[name], table, ""))


def _load_toml(text):
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        fail("file", f"not TOML: {exc}")


def render_file(file):
    """Return a PartFile as the TOML text of an operators' file."""
    tables = [f"revision = {file.revision}\n"] if file.revision else []
    for section, rows in to_plain(file.part).items():
        tables += [_render_table(section, row) for row in rows]
    return "\n".join(tables)


def _render_table(section, row):
    lines = [f"{key} = {_render_value(value)}" for key, value in row.items()]
    return "\n".join([f"[[{section}]]", *lines]) + "\n"


def _render_value(value):
    """Return a value as TOML, with its strings escaped as in JSON.

    TOML decodes them to the same text, for all strings that the shapes accept.
    """
    if isinstance(value, dict):
        pairs = (f"{key} = {_render_value(item)}" for key, item in value.items())
        return "{ " + ", ".join(pairs) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_render_value(item) for item in value) + "]"
    return json.dumps(value)


def hash_key(api_key):
    """Return the SHA-256 hex digest that the rules store for an API key.

    There is no salt, because the entry looks up a customer by the digest. That is safe
    only for random keys of 128 bits or more.
    """
    return sha256(api_key.encode()).hexdigest()
