"""A gateway in the test's process, with scripted upstreams and without a platform."""

import threading

from chervilwing.clocks import read_boottime
from chervilwing.connections import Client
from chervilwing.gateway import Gateway
from chervilwing.gateway_settings import GatewaySettings
from chervilwing.models import Address
from chervilwing.registrations import Registration
from chervilwing.routing import (
    NON_IDEMPOTENT,
    STREAM,
    CallerLimits,
    Organisation,
    PoolSpec,
    Route,
    RoutingDocument,
    Target,
)
from tests.procs import HOST, Caller
from tests.upstreams import Loop, RawUpstream

ANY = Address(HOST, 0)
KEY = {"Authorization": "Bearer k1"}
ROUTES = (
    Route("page", "a.example", "/page/", "idempotent", (Target("web"),), attempts=2),
    Route("note", "a.example", "/note/", NON_IDEMPOTENT, (Target("web"),), attempts=2),
    Route("chat", "a.example", "/chat/", STREAM, (Target("web"),), attempts=2),
    Route(
        "quote",
        "a.example",
        "/quote/",
        STREAM,
        (Target("web"),),
        attempts=3,
        resumable=True,
    ),
    Route(
        "short", "a.example", "/short/", "idempotent", (Target("web"),), time_limit=0.4
    ),
)
ORGANISATIONS = (Organisation("insurer", ("k1",)),)


def make_settings(**changes):
    """Return the settings of a gateway that listens on loopback."""
    cfg = GatewaySettings(
        listen=ANY,
        ready_listen=ANY,
        beacon_listen=ANY,
        metrics_listen=None,
        name="one",
        data_centre="a",
        store=ANY,
        cloud=None,
        lease=3.0,
        store_timeout=1.0,
        drain_timeout=8.0,
        drain_lag=0.1,
        revoke_bound=5.0,
        retry_ratio=0.2,
        retry_burst=50.0,
        usage_window=5.0,
        buys=False,
        log_format="json",
        log_level="error",
        stats_pairs=8,
    )
    return cfg._replace(**changes)


def make_document(version=1, **changes):
    """Return a routing document with ROUTES and one pool, ``web``."""
    pools = (PoolSpec("web"),)
    document = RoutingDocument(version, ROUTES, pools, ORGANISATIONS, CallerLimits())
    return document._replace(**changes)


class GatewayThread:
    """A gateway whose event loop runs in a thread; ``close`` stops it all."""

    def __init__(self, dialect, *scripts, document=None, keys_are_fresh=lambda: True):
        self.loop = Loop()
        self.client = Client(self.loop.poller, "upstreams").register(self.loop.root)
        self.usage = []
        self.gateway = Gateway(
            make_settings(), self.loop.poller, self.client, dialect, keys_are_fresh
        ).register(self.loop.root)
        self.gateway.on_usage = lambda name, seconds_ago: self.usage.append(name)
        self.port = self.gateway.listen(ANY).port
        self.gateway.allowances.set_instance_count(1, read_boottime())
        if document is not None:
            self.gateway.configure(document)
        self.upstreams = [RawUpstream(script) for script in scripts]
        for number, upstream in enumerate(self.upstreams):
            self.gateway.put_upstream(
                self.make_registration(f"u{number}", upstream.port)
            )
        self._open = True
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def make_registration(self, name, port, **fields):
        """Return the Registration of an upstream on loopback."""
        return Registration(name, "web", Address(HOST, port), "a", 8, **fields)

    def _run(self):
        while self._open:
            self.loop.run_once()

    def close(self):
        """Stop the event loop and the upstreams."""
        self._open = False
        self._thread.join()
        for upstream in self.upstreams:
            upstream.close()

    def call(self, method, path, body=b"", **headers):
        """Send one request with the organisation's key and return the answer."""
        extra_fields = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        with Caller(self.port) as caller:
            return self.send(caller, method, path, body, extra_fields)

    def send(self, caller, method, path, body=b"", headers=()):
        """Send one request on an open connection and return the answer."""
        fields = {"Host": "a.example", **KEY, **dict(headers)}
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        caller.send("\r\n".join(lines).encode() + body)
        return caller.read_answer()
