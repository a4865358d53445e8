"""Calls to an engine about the copy of a run's KV cache, and their answers."""

import json
from collections.abc import Callable
from typing import NamedTuple

from ..addresses import format_address
from ..exceptions import DECODE_ERRORS
from ..models import Address
from .move_state import Result

JSON_FIELDS = {"content-type": "application/json"}
# Results by status of a report call, where a server doesn't know its path or method.
REPORT_FAILURES = dict.fromkeys((404, 405, 501), Result.NOT_OFFERED)
# Results by status of a copy call whose answer has no handle.
RESULTS = {404: Result.NO_RUN, 409: Result.BUSY, 503: Result.REFUSED}


class StreamCopy(NamedTuple):
    """A copy of a run's KV cache, from which the run goes on.

    ``address`` is that of the engine whose run was copied, for a backup that of the
    engine which keeps it; ``handle`` names the copy there.
    """

    address: Address
    handle: str


def format_copy(copy):
    """Return a StreamCopy as the value of a header field."""
    return f"{format_address(copy.address)}/{copy.handle}"


class CallNames(NamedTuple):
    """Paths and JSON fields of the calls in one dialect."""

    copy_path: str
    free_path: str
    report_path: str
    request_id: str
    target: str
    last: str
    handle: str
    runs: str


class CopyAnswer(NamedTuple):
    """The Result of a call, and the handle of the copy, empty if it has none."""

    result: Result
    handle: str = ""


class EngineCall(NamedTuple):
    """Method, path, header fields and body of one call to an engine."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""


class MoveCalls(NamedTuple):
    """Functions that write the calls and read their answers.

    ``write_copy`` accepts a request id, the target's Address and whether the call is
    the ``last`` one; ``write_free`` accepts a handle; ``write_report`` accepts nothing.
    Each returns an EngineCall. ``read_copy`` accepts an answer's status and body and
    returns a CopyAnswer. ``read_report`` accepts a request id too, and returns whether
    its run is RUNNING or STOPPED, LOST if the answer doesn't tell, or NOT_OFFERED.
    """

    write_copy: Callable
    write_free: Callable
    write_report: Callable
    read_copy: Callable
    read_report: Callable


def make_move_calls(names):
    """Return the MoveCalls of a dialect with these CallNames."""

    def write_copy(request_id, target, last=False):
        value = {names.request_id: request_id, names.target: format_address(target)}
        if last:
            value[names.last] = True
        body = json.dumps(value).encode()
        return EngineCall("POST", names.copy_path, JSON_FIELDS, body)

    def write_free(handle):
        return EngineCall("DELETE", names.free_path + handle, {})

    def write_report():
        return EngineCall("GET", names.report_path, {})

    def read_copy(status, body):
        handle = _read_object(body).get(names.handle)
        handle = handle if isinstance(handle, str) else ""
        if status == 200 and handle:
            return CopyAnswer(Result.COPIED, handle)
        result = RESULTS.get(status, Result.LOST)
        if result is Result.REFUSED and handle:
            result = Result.KEPT
        return CopyAnswer(result, handle)

    def read_report(status, body, request_id):
        runs = _read_object(body).get(names.runs)
        if status != 200 or not isinstance(runs, list | dict):
            return REPORT_FAILURES.get(status, Result.LOST)
        ids = {_read_run(item, names.request_id) for item in runs}
        return Result.RUNNING if request_id in ids else Result.STOPPED

    return MoveCalls(write_copy, write_free, write_report, read_copy, read_report)


def _read_object(body):
    """Return a JSON object, an empty one if the body holds none."""
    try:
        value = json.loads(body)
    except DECODE_ERRORS:
        return {}
    return value if isinstance(value, dict) else {}


def _read_run(item, field):
    """Return the request id of an entry of the report: a text, a list or an object."""
    if isinstance(item, list):
        return str(item[0]) if item else ""
    return str(item.get(field)) if isinstance(item, dict) else str(item)
