"""Blocking calls of the operators' tool to the platform and to entry instances."""

import http.client
import json
import time
from typing import NamedTuple
from urllib.parse import quote, urlencode

from returns.result import Failure, Result, Success

from .addresses import format_address
from .changes import EMPTY
from .documents import CONFIG_KEY, HISTORY_PREFIX
from .edits import Done, history_key
from .exceptions import (
    NOT_RUN,
    ChervilwingError,
    PlatformDown,
    Scope,
    Unreachable,
)
from .messages import ABSENT, Missing, Read, StoreReply, Unanswered
from .models import Address
from .stores import ENCODERS, decode

ENTRY = "entry"
STATUS_KEYS = ("name", "data_centre", "revision", "ready", "in_flight", "version")
UPSTREAM_KEYS = ("name", "pool", "data_centre", "state")
# The largest value is a megabyte and JSON may double it; a wrong server may send more.
BODY_LIMIT = 8 * 1024 * 1024


class Answer(NamedTuple):
    """Status and body of an HTTP answer."""

    status: int
    body: bytes


class Links(NamedTuple):
    """Where the tool's calls go; times in seconds."""

    store: Address | None = None
    instances: tuple[Address, ...] = ()
    instance_list: Address | None = None
    timeout: float = 5.0
    pause: float = 1.0
    operator_key: str = ""


def call(
    address, method, path, body, timeout, key=""
) -> Result[Answer, ChervilwingError]:
    """Make one call on a connection of its own; never repeated here."""
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    conn = http.client.HTTPConnection(address.host, address.port, timeout=timeout)
    data = None if body is None else json.dumps(body)
    try:
        conn.request(method, path, data, headers)
        response = conn.getresponse()
        content = response.read(BODY_LIMIT + 1)
    except (OSError, http.client.HTTPException) as exc:
        return Failure(_make_unreachable(address, type(exc).__name__))
    finally:
        conn.close()
    if len(content) > BODY_LIMIT:
        return Failure(_make_unreachable(address, "answer too large"))
    return Success(Answer(response.status, content))


def _make_unreachable(address, reason):
    scope = Scope("address", format_address(address))
    return Unreachable(f"{scope.name}: {reason}", scope=scope)


def call_json(address, method, path, body, timeout, key="") -> Result:
    """Return the JSON table of an answer; Failure unless its status is 2xx."""
    return call(address, method, path, body, timeout, key).bind(
        lambda answer: _read_table(address, answer)
    )


def _read_table(address, answer):
    try:
        table = json.loads(answer.body or b"{}")
    except ValueError:
        table = None
    if not 200 <= answer.status < 300:
        detail = table.get("detail", "") if isinstance(table, dict) else ""
        return Failure(_make_unreachable(address, f"{answer.status} {detail}".strip()))
    if not isinstance(table, dict):
        return Failure(_make_unreachable(address, "the answer isn't a JSON table"))
    return Success(table)


def ask_store(links, request) -> StoreReply:
    """Send one request to the key-value service; every failure is Unanswered."""
    method, path, body = ENCODERS[type(request)](request)
    result = call(links.store, method, path, body, links.timeout)
    return result.map(
        lambda answer: decode(request, answer.status, answer.body)
    ).value_or(Unanswered())


def drive(links, commit) -> Result:
    """Run a Commit to its end, with a pause before each repeated request."""
    step = commit.start()
    while not isinstance(step, Done):
        reply = ask_store(links, step)
        if isinstance(reply, Unanswered):
            time.sleep(links.pause)
        step = commit.receive(reply)
    return step.result


def read_value(links, key) -> Result[str | None, ChervilwingError]:
    """Return the value of a key, or None if there is none."""
    reply = ask_store(links, Read(key))
    if isinstance(reply, Unanswered):
        return Failure(_make_store_down(links))
    return Success(None if isinstance(reply, Missing) else reply.value)


def _make_store_down(links):
    where = format_address(links.store)
    return PlatformDown(f"key-value service at {where}: no answer", outcome=NOT_RUN)


def _parse_with(parse, address):
    """Return a function that parses a table; what it can't read is Unreachable."""

    def read(table):
        try:
            return Success(parse(table))
        except (KeyError, TypeError, ValueError, AttributeError):
            return Failure(_make_unreachable(address, "unexpected answer"))

    return read


def list_revisions(links) -> Result[tuple[int, ...], ChervilwingError]:
    """Return the replaced revisions that the history keeps, oldest first."""
    path = "/keys?" + urlencode({"prefix": HISTORY_PREFIX})
    result = call_json(links.store, "GET", path, None, links.timeout)
    return result.bind(_parse_with(_parse_revisions, links.store))


def _parse_revisions(table):
    names = (row["key"].removeprefix(HISTORY_PREFIX) for row in table["keys"])
    return tuple(sorted(int(name) for name in names))


def delete_revision(links, revision) -> Result:
    """Delete one replaced revision from the history."""
    key = quote(history_key(revision), safe="/")
    read = call_json(links.store, "GET", f"/kv/{key}", None, links.timeout)
    return read.bind(
        lambda table: call_json(
            links.store,
            "DELETE",
            f"/kv/{key}",
            {"expect": table.get("version", ABSENT)},
            links.timeout,
        )
    )


def make_empty(links) -> Result:
    """Return what stands for a missing configuration.

    Its revision follows the history: instances hold the revision that was deleted and
    would ignore a lower one.
    """
    return list_revisions(links).map(
        lambda revisions: (
            EMPTY._replace(revision=revisions[-1] + 1) if revisions else EMPTY
        )
    )


def read_current(links) -> Result[str | None, ChervilwingError]:
    """Return the stored configuration's text, or None if there is none."""
    return read_value(links, CONFIG_KEY)


def list_instances(links) -> Result[tuple[Address, ...], ChervilwingError]:
    """Return the entry instances that are named, or else those on the list."""
    if links.instances or links.instance_list is None:
        return Success(links.instances)
    result = call_json(links.instance_list, "GET", "/list", None, links.timeout)
    return result.bind(_parse_with(_parse_entries, links.instance_list))


def _parse_entries(table):
    rows = (row for row in table["instances"] if row["role"] == ENTRY)
    return tuple(Address(row["host"], int(row["port"])) for row in rows)


def _call_instance(links, address, method, path, body=None):
    # Only instances get the operators' key; the platform has no use for it.
    key = links.operator_key
    return call_json(address, method, path, body, links.timeout, key)


def ask_histograms(links, address) -> Result:
    """Return an entry instance's report of histograms."""
    return _call_instance(links, address, "GET", "/-/histograms")


def ask_status(links, address) -> Result:
    """Return what an entry instance says of itself, with the keys that we read."""
    result = _call_instance(links, address, "GET", "/-/status")
    return result.bind(_parse_with(_parse_status, address))


def _parse_status(table):
    upstreams = [
        {key: str(row[key]) for key in UPSTREAM_KEYS} for row in table["upstreams"]
    ]
    return {**{key: table[key] for key in STATUS_KEYS}, "upstreams": upstreams}


def drain_instance(links, address, name) -> Result:
    """Ask an instance to stop gracefully; it refuses if the name isn't its own."""
    return _call_instance(links, address, "POST", "/-/drain", {"name": name})
