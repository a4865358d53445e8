"""Send the blocking HTTP requests of the operators' tool.

They go to the key-value service, the instance list and the entry instances. An entry
instance is an instance that accepts customers' requests; its role on the instance list
is ``entry``.
"""

import http.client
import json
import time
from typing import NamedTuple
from urllib.parse import quote, urlencode

from returns.result import Failure, Result, Success

from .addresses import format_address
from .changes import EMPTY_CONFIGURATION
from .documents import CONFIG_KEY, HISTORY_PREFIX
from .edits import Done, make_history_key
from .exceptions import (
    DECODE_ERRORS,
    NOT_RUN,
    ChervilwingError,
    PlatformDown,
    Scope,
    Unreachable,
)
from .messages import ABSENT, Missing, Read, StoreReply, Unanswered
from .models import Address
from .stores import ENCODERS, decode

ENTRY_ROLE = "entry"
STATUS_KEYS = ("name", "data_centre", "revision", "ready", "in_flight", "version")
UPSTREAM_KEYS = ("name", "pool", "data_centre", "state")
# Limits the memory used if the address is wrong and another server sends an endless
# response. Valid responses are smaller: the largest stored value is a megabyte, and its
# JSON form may be twice as long.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class Response(NamedTuple):
    """Status and body of an HTTP response."""

    status: int
    body: bytes


class Options(NamedTuple):
    """Options of all commands: addresses, times in seconds, and the operators' key."""

    store: Address | None = None
    instances: tuple[Address, ...] = ()
    instance_list: Address | None = None
    timeout: float = 5.0
    pause: float = 1.0
    operator_key: str = ""


def send_request(
    address, method, path, body, timeout, operator_key=""
) -> Result[Response, ChervilwingError]:
    """Send one request on a new connection and return its Response.

    Returns a Failure if no complete response arrives; never retries.
    """
    headers = {"Content-Type": "application/json"}
    if operator_key:
        headers["Authorization"] = f"Bearer {operator_key}"
    conn = http.client.HTTPConnection(address.host, address.port, timeout=timeout)
    data = None if body is None else json.dumps(body)
    try:
        conn.request(method, path, data, headers)
        response = conn.getresponse()
        content = response.read(MAX_RESPONSE_BYTES + 1)
    except (OSError, http.client.HTTPException) as exc:
        return Failure(_make_unreachable(address, type(exc).__name__))
    finally:
        conn.close()
    if len(content) > MAX_RESPONSE_BYTES:
        return Failure(_make_unreachable(address, "answer too large"))
    return Success(Response(response.status, content))


def _make_unreachable(address, reason):
    scope = Scope("address", format_address(address))
    return Unreachable(f"{scope.name}: {reason}", scope=scope)


def request_json(address, method, path, body, timeout, operator_key="") -> Result:
    """Return the JSON object of a response; Failure unless its status is 2xx."""
    return send_request(address, method, path, body, timeout, operator_key).bind(
        lambda response: _decode_object(address, response)
    )


def _decode_object(address, response):
    try:
        payload = json.loads(response.body or b"{}")
    except DECODE_ERRORS:
        payload = None
    if not 200 <= response.status < 300:
        detail = payload.get("detail", "") if isinstance(payload, dict) else ""
        return Failure(
            _make_unreachable(address, f"{response.status} {detail}".strip())
        )
    if not isinstance(payload, dict):
        return Failure(_make_unreachable(address, "the answer isn't a JSON object"))
    return Success(payload)


def send_store_request(options, request) -> StoreReply:
    """Return the reply of the key-value service; Unanswered after any failure."""
    method, path, body = ENCODERS[type(request)](request)
    result = send_request(options.store, method, path, body, options.timeout)
    return result.map(
        lambda response: decode(request, response.status, response.body)
    ).value_or(Unanswered())


def run_commit(options, commit) -> Result:
    """Execute the requests of a Commit and return its result.

    Pauses after each request without a reply.
    """
    step = commit.start()
    while not isinstance(step, Done):
        reply = send_store_request(options, step)
        if isinstance(reply, Unanswered):
            time.sleep(options.pause)
        step = commit.receive(reply)
    return step.result


def read_value(options, key) -> Result[str | None, ChervilwingError]:
    """Return the value of a key, or None if the key doesn't exist."""
    reply = send_store_request(options, Read(key))
    if isinstance(reply, Unanswered):
        return Failure(_make_store_failure(options))
    return Success(None if isinstance(reply, Missing) else reply.value)


def _make_store_failure(options):
    address = format_address(options.store)
    return PlatformDown(f"key-value service at {address}: no answer", outcome=NOT_RUN)


def _make_checked_parser(parse, address):
    """Return ``parse`` wrapped to return Unreachable if the payload is malformed."""

    def parse_checked(payload):
        try:
            return Success(parse(payload))
        except (KeyError, TypeError, ValueError, AttributeError):
            return Failure(_make_unreachable(address, "unexpected answer"))

    return parse_checked


def list_revisions(options) -> Result[tuple[int, ...], ChervilwingError]:
    """Return the numbers of the replaced revisions in the history, oldest first."""
    path = "/keys?" + urlencode({"prefix": HISTORY_PREFIX})
    result = request_json(options.store, "GET", path, None, options.timeout)
    return result.bind(_make_checked_parser(_parse_revisions, options.store))


def _parse_revisions(payload):
    names = (row["key"].removeprefix(HISTORY_PREFIX) for row in payload["keys"])
    return tuple(sorted(int(name) for name in names))


def delete_revision(options, revision) -> Result:
    """Delete one replaced revision from the history."""
    key = quote(make_history_key(revision), safe="/")
    found = request_json(options.store, "GET", f"/kv/{key}", None, options.timeout)
    return found.bind(
        lambda payload: request_json(
            options.store,
            "DELETE",
            f"/kv/{key}",
            {"expect": payload.get("version", ABSENT)},
            options.timeout,
        )
    )


def make_empty_configuration(options) -> Result:
    """Return an empty configuration to edit when none is stored.

    If a configuration was deleted, the history ends with the revision before it, and
    the empty configuration gets the deleted revision's number. Instances keep using the
    deleted revision and ignore lower ones, so the next edit must get a higher number.
    """
    return list_revisions(options).map(
        lambda revisions: (
            EMPTY_CONFIGURATION._replace(revision=revisions[-1] + 1)
            if revisions
            else EMPTY_CONFIGURATION
        )
    )


def read_configuration_text(options) -> Result[str | None, ChervilwingError]:
    """Return the stored configuration's text, or None if there is none."""
    return read_value(options, CONFIG_KEY)


def list_instances(options) -> Result[tuple[Address, ...], ChervilwingError]:
    """Return the entry instances' addresses, from the options or else the list."""
    if options.instances or options.instance_list is None:
        return Success(options.instances)
    result = request_json(options.instance_list, "GET", "/list", None, options.timeout)
    return result.bind(
        _make_checked_parser(_parse_instance_addresses, options.instance_list)
    )


def _parse_instance_addresses(payload):
    rows = (row for row in payload["instances"] if row["role"] == ENTRY_ROLE)
    return tuple(Address(row["host"], int(row["port"])) for row in rows)


def _request_instance(options, address, method, path, body=None):
    # Only requests to instances carry the operators' key. The key-value service and the
    # instance list don't check it.
    operator_key = options.operator_key
    return request_json(address, method, path, body, options.timeout, operator_key)


def fetch_histograms(options, address) -> Result:
    """Return an entry instance's report of its latency histograms and counters."""
    return _request_instance(options, address, "GET", "/-/histograms")


def fetch_status(options, address) -> Result:
    """Return the status of an entry instance: STATUS_KEYS and its upstreams."""
    result = _request_instance(options, address, "GET", "/-/status")
    return result.bind(_make_checked_parser(_parse_status, address))


def _parse_status(payload):
    upstreams = [
        {key: str(row[key]) for key in UPSTREAM_KEYS} for row in payload["upstreams"]
    ]
    return {**{key: payload[key] for key in STATUS_KEYS}, "upstreams": upstreams}


def request_drain(options, address, name) -> Result:
    """Ask an instance to stop gracefully; it refuses if its name isn't ``name``."""
    return _request_instance(options, address, "POST", "/-/drain", {"name": name})
