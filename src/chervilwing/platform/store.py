"""Client of the platform's store: encodes calls as HTTP and decodes the replies."""

import base64
from urllib.parse import urlencode

import msgspec

from ..connections import Call
from ..exceptions import DECODE_ERRORS
from ..store_calls import (
    Changes,
    Commit,
    Committed,
    Conflict,
    EndLease,
    HistoryGone,
    Item,
    KeepLease,
    Leased,
    LeaseGone,
    ListItems,
    Page,
    TakeLease,
    Unavailable,
    WatchItems,
)
from ..store_epochs import StoreEpochs, get_number, make_revision, read_epoch
from ..stores import collect

JSON_HEADERS = {"content-type": "application/json"}
CONNECT_TIMEOUT = 0.5
MS_PER_S = 1000
# In all replies: a number that rises by one each time the store returns from a copy.
EPOCH_HEADER = "store-era"


def encode_list(req):
    """Return the method, path and body that list the items under a prefix."""
    query = {"prefix": req.prefix}
    if req.after:
        query["after"] = req.after
    if req.stale:
        query["serializable"] = 1
    return "GET", f"/-/kv-range?{urlencode(query)}", None


def encode_watch(req):
    """Return the method, path and body that watch the items under a prefix."""
    query = {
        "prefix": req.prefix,
        "after": get_number(req.after),
        "waitMs": int(req.wait * MS_PER_S),
    }
    return "GET", f"/-/kv-watch?{urlencode(query)}", None


def encode_commit(req):
    """Return the method, path and body of a conditional write."""
    body = {
        "ifRev": [
            {"key": key, "revision": get_number(revision)}
            for key, revision in req.expect
        ],
        "puts": [encode_put(*put) for put in req.puts],
        "delete": list(req.deletes),
    }
    return "POST", "/-/kv-txn", body


def encode_put(key, value, lease):
    """Return one write as a dict; a lease of 0 means none and is omitted."""
    put = {"key": key, "value": base64.b64encode(value).decode()}
    return put | ({"lease": lease} if lease else {})


ENCODERS = {
    ListItems: encode_list,
    WatchItems: encode_watch,
    Commit: encode_commit,
    TakeLease: lambda req: (
        "POST",
        "/-/kv-lease",
        {"ttlMs": int(req.ttl * MS_PER_S)},
    ),
    KeepLease: lambda req: ("POST", f"/-/kv-keep/{req.lease}", {}),
    EndLease: lambda req: ("DELETE", f"/-/kv-lease-end/{req.lease}", None),
}


def read_item(value, epoch):
    """Return the Item of an entry of ``items`` or ``events``."""
    data = None if value.get("deleted") else read_value(value.get("value"))
    return Item(value["key"], data, make_revision(epoch, value["revision"]))


def read_value(text):
    """Return the bytes of an item's base64 text, none if it can't be decoded.

    Readers of documents and registrations reject an empty value, so that only this
    item is left out.
    """
    try:
        return base64.b64decode(text or "")
    except DECODE_ERRORS:
        return b""


def decode_page(req, value, epoch):
    """Return the Page in the reply to a ListItems call."""
    items = tuple(read_item(item, epoch) for item in value["items"])
    revision = make_revision(epoch, value["storeRevision"])
    return Page(items, revision, value.get("truncated", False))


def decode_changes(req, value, epoch):
    """Return the Changes in the reply to a WatchItems call."""
    items = tuple(read_item(item, epoch) for item in value["events"])
    return Changes(items, make_revision(epoch, value["storeRevision"]))


def decode_committed(req, value, epoch):
    """Return the Committed in the reply to a Commit call."""
    return Committed(make_revision(epoch, value["revision"]))


def decode_leased(req, value, epoch):
    """Return the Leased in a reply; that to a renewal does not contain the lease id."""
    lease = value.get("lease", getattr(req, "lease", None))
    return Leased(lease, value["ttlMs"] / MS_PER_S)


DECODERS = {
    (ListItems, 200): decode_page,
    (WatchItems, 200): decode_changes,
    (WatchItems, 410): lambda req, value, epoch: HistoryGone(epoch),
    (Commit, 200): decode_committed,
    (Commit, 412): lambda req, value, epoch: Conflict(),
    (Commit, 404): lambda req, value, epoch: LeaseGone(),
    (TakeLease, 200): decode_leased,
    (KeepLease, 200): decode_leased,
    (KeepLease, 404): lambda req, value, epoch: LeaseGone(),
}


def decode(req, status, body, epoch=0):
    """Return the reply of an HTTP response of an epoch, Unavailable on any error."""
    read = DECODERS.get((type(req), status))
    if read is None:
        return Unavailable(f"status {status}")
    try:
        return read(req, msgspec.json.decode(body) if body else {}, epoch)
    except DECODE_ERRORS as exc:
        return Unavailable(f"unreadable: {type(exc).__name__}")


class PlatformStore:
    """Send calls to the platform's store; each callback gets exactly one reply.

    A reply of an earlier epoch than the latest is Unavailable: what it says was lost
    when the store returned.
    """

    def __init__(self, cfg, client):
        self.cfg = cfg
        self.epochs = StoreEpochs()
        self._client = client

    def submit(self, req, reply):
        """Send one call.

        ``reply`` is called with the reply to it, or Unavailable if that was lost.
        """
        method, path, body = ENCODERS[type(req)](req)
        wait = req.wait if isinstance(req, WatchItems) else 0.0
        call = Call(
            self.cfg.store,
            method,
            path,
            JSON_HEADERS,
            b"" if body is None else msgspec.json.encode(body),
            connect_timeout=CONNECT_TIMEOUT,
            silence_timeout=self.cfg.store_timeout + wait,
            probe_if_silent=False,
        )
        headers = {}
        handlers = collect(
            lambda status, data: reply(self._decode(req, status, data, headers)),
            read_headers=headers.update,
        )
        self._client.submit(call, handlers)

    def _decode(self, req, status, data, headers):
        if not status:
            return decode(req, status, data)
        epoch = read_epoch(headers, EPOCH_HEADER)
        if not self.epochs.note(epoch):
            return Unavailable(f"epoch {epoch} is over")
        return decode(req, status, data, epoch)
