"""Calls to the platform's key-value service: typed requests and replies over HTTP."""

import json
from functools import partial
from urllib.parse import quote, urlencode

from .connections import Call, CallHandlers
from .exceptions import DECODE_ERRORS, PathSilent
from .messages import (
    ABSENT,
    Found,
    Grant,
    Granted,
    Missing,
    Read,
    Rejected,
    Renew,
    Unanswered,
    Watch,
    Write,
    Written,
)
from .store_epochs import StoreEpochs, get_number, make_revision, read_epoch

JSON_HEADERS = {"Content-Type": "application/json"}
# In all replies: a number that rises each time the service returns from a copy. The
# versions in this package contain it, as revisions do.
EPOCH_HEADER = "store-epoch"


def encode_read(req):
    """Return method, path and body of a read."""
    return "GET", f"/kv/{quote(req.key, safe='/')}", None


def encode_write(req):
    """Return method, path and body of a compare-and-swap."""
    body = {"value": req.value, "expect": get_number(req.expect)}
    if req.lease is not None:
        body["lease"] = req.lease
    return "PUT", f"/kv/{quote(req.key, safe='/')}", body


def encode_watch(req):
    """Return method, path and body of a watch."""
    after = get_number(req.after)
    query = urlencode({"key": req.key, "after": after, "wait": req.wait})
    return "GET", f"/watch?{query}", None


def encode_grant(req):
    """Return method, path and body of a request for a lease."""
    return "POST", "/leases", {"ttl": req.ttl}


def encode_renew(req):
    """Return method, path and body of a renewal."""
    return "POST", f"/leases/{quote(req.lease)}/renew", {}


ENCODERS = {
    Read: encode_read,
    Write: encode_write,
    Watch: encode_watch,
    Grant: encode_grant,
    Renew: encode_renew,
}
DECODERS = {
    (Read, 200): lambda req, value, date: Found(value["value"], date(value["version"])),
    (Read, 404): lambda req, value, date: Missing(),
    (Write, 200): lambda req, value, date: Written(date(value["version"])),
    (Write, 409): lambda req, value, date: Rejected(
        value["value"], date(value["version"])
    ),
    (Write, 404): lambda req, value, date: Missing(),
    (Watch, 200): lambda req, value, date: Found(
        value["value"], date(value["version"])
    ),
    (Watch, 204): lambda req, value, date: Missing(),
    (Grant, 200): lambda req, value, date: Granted(value["lease"], value["ttl"]),
    (Renew, 200): lambda req, value, date: Granted(req.lease, value["ttl"]),
    (Renew, 404): lambda req, value, date: Missing(),
}


def date_version(epoch, version):
    """Return a version as one of an epoch; ABSENT stays as it is."""
    return make_revision(epoch, version) if version != ABSENT else ABSENT


def decode(req, status, body, epoch=0):
    """Return the reply in a response of an epoch; Unanswered if it can't be decoded."""
    reply = DECODERS.get((type(req), status))
    if reply is None:
        return Unanswered()
    try:
        value = json.loads(body) if body else {}
        return reply(req, value, partial(date_version, epoch))
    except DECODE_ERRORS:
        return Unanswered()


class Store:
    """Send requests to the key-value service and pass replies to callbacks.

    Each network failure is reported as ``Unanswered``. A write may have taken effect
    although its reply was lost, so the sender has to read the key to find out. So is a
    reply of an earlier epoch than the latest: what it says may be lost.
    """

    def __init__(self, cfg, client):
        self._cfg = cfg
        self._client = client
        self.address = cfg.store
        self.epochs = StoreEpochs()

    def submit(self, req, reply):
        """Send one request; call ``reply`` exactly once, with a StoreReply."""
        method, path, body = ENCODERS[type(req)](req)
        wait = req.wait if isinstance(req, Watch) else 0.0
        call = Call(
            self.address,
            method,
            path,
            JSON_HEADERS,
            b"" if body is None else json.dumps(body).encode(),
            connect_timeout=self._cfg.connect_timeout,
            silence_timeout=self._cfg.store_timeout + wait,
        )
        headers = {}
        handlers = collect(
            lambda status, answer: reply(self._decode(req, status, answer, headers)),
            read_headers=headers.update,
        )
        self._client.submit(call, handlers)

    def _decode(self, req, status, body, headers):
        if not status:
            return Unanswered()
        epoch = read_epoch(headers, EPOCH_HEADER)
        if not self.epochs.note(epoch):
            return Unanswered()
        return decode(req, status, body, epoch)

    def send_call(self, action, received):
        """Send a StoreCall's request; call ``received`` with the token and reply."""
        self.submit(action.request, lambda reply: received(action.token, reply))


def collect(reply, path_lost=None, read_headers=None):
    """Return handlers that call ``reply`` with the status and body of a response.

    The status is 0 if there was no response. ``path_lost`` is called instead of
    ``reply`` if the call's connection went silent while the same address answers on a
    new connection (PathSilent); the caller may then repeat the call. ``read_headers``
    is called before ``reply`` with the header fields of a response.
    """
    parts = []
    status = []

    def on_head(code, headers):
        status.append(code)
        if read_headers is not None:
            read_headers(headers)

    def on_done():
        reply(status[0], b"".join(parts))

    def on_failed(exc):
        if path_lost is not None and isinstance(exc, PathSilent):
            path_lost()
            return
        reply(0, b"")

    return CallHandlers(on_head, parts.append, on_done, on_failed)


def collect_json_response(reply, path_lost=None):
    """Return handlers that call ``reply`` with the status and the decoded JSON.

    The JSON value is None for an empty body; invalid JSON gives status 0.
    """

    def on_body(status, body):
        try:
            value = json.loads(body) if body else None
        except DECODE_ERRORS:
            status, value = 0, None
        reply(status, value)

    return collect(on_body, path_lost)
