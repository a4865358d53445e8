"""Client of the platform's API: usage reports and orders of upstreams over HTTP."""

import msgspec

from ..connections import Call
from ..duty_calls import (
    Accepted,
    Denied,
    NoAnswer,
    OrderInstances,
    Outdated,
    ReportUsage,
)
from ..stores import collect

CONNECT_TIMEOUT = 0.5
SILENCE_TIMEOUT = 2.0
CONFLICT = 409


def encode_usage(req):
    """Return the path and body of a usage report."""
    return "/usage", {"windowId": req.window, "counts": req.counts}


def encode_order(req):
    """Return the path and body of an order.

    ``desired`` counts either reclaimable or on-demand upstreams, never both together.
    """
    body = {"service": req.pool, "zone": req.data_centre, "desired": req.count}
    return "/scale", body | ({"spot": True} if req.reclaimable else {})


ENCODERS = {ReportUsage: encode_usage, OrderInstances: encode_order}


def decode(req, status, body):
    """Return Accepted, Denied, Outdated or NoAnswer for an HTTP answer."""
    if status == 200:
        return Accepted()
    if status != CONFLICT:
        return NoAnswer(status)
    # The API answers an order with 409 both for an outdated fencing token and if no
    # upstreams are available; only the text differs.
    text = body.decode("latin-1").lower()
    if isinstance(req, OrderInstances) and "fence" not in text:
        return Denied(text)
    return Outdated(text)


class PlatformCloud:
    """Send usage reports and orders of upstreams to the platform's API."""

    def __init__(self, cfg, client):
        self.cfg = cfg
        self._client = client

    def submit(self, req, reply):
        """Send one call with its lease holder's name and fencing token."""
        path, body = ENCODERS[type(req)](req)
        headers = {
            "content-type": "application/json",
            "X-Duty-Holder": req.holder,
            "X-Fence-Token": str(req.fence),
        }
        call = Call(
            self.cfg.cloud,
            "POST",
            path,
            headers,
            msgspec.json.encode(body),
            connect_timeout=CONNECT_TIMEOUT,
            silence_timeout=SILENCE_TIMEOUT,
            probe_if_silent=False,
            send_before=req.send_before,
        )
        handlers = collect(lambda status, data: reply(decode(req, status, data)))
        self._client.submit(call, handlers)
