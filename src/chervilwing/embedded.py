"""Stand-ins inside the daemon for `make serve`: a store, an engine and a service.

They let one process show the whole path on a fresh clone. They keep the protocols of
docs/PROTOCOLS.md but have none of the faults that tests need; those live in
tests/fakes.
"""

import json
import time
from collections import deque
from itertools import count
from typing import NamedTuple
from urllib.parse import parse_qsl

from circuits import Event, Timer
from circuits.core import BaseComponent, handler

from .documents import CONFIG_KEY, hash_key, serialise
from .exceptions import BadRequest, NotFound
from .models import (
    MODEL,
    SERVICE,
    Address,
    Configuration,
    Customer,
    Inventory,
    ModelRoute,
    Pool,
    Rules,
    Service,
    Upstream,
    WorkClass,
)
from .web import EVENTS_TYPE, Web, WebHandlers, guard

# Seconds between two tokens: letter 1 promises 63 ms to callers.
TOKEN_TIME = 0.03
LOOPBACK = Address("127.0.0.1", 0)
WORDS = "the quick brown fox jumps over the lazy dog and rests".split()


def read_body(exchange):
    """Return the JSON object that a request carries."""
    try:
        return json.loads(exchange.req.body or b"{}")
    except ValueError as exc:
        raise BadRequest("The body is no JSON.") from exc


class _Watcher(NamedTuple):
    exchange: object
    key: str
    after: int
    until: float


class StoreServer(BaseComponent):
    """Keep values with versions, leases and watches in memory."""

    channel = "embedded-store"

    def __init__(self, cfg, poller):
        super().__init__()
        handlers = WebHandlers(guard(self._requested), self._left)
        self._web = Web(cfg, poller, handlers, "embedded-store-web").register(self)
        self._values = {}
        self._versions = {}
        self._leases = {}
        self._watchers: list[_Watcher] = []
        self._numbers = count(1)
        self._routes = {
            ("GET", "kv"): self._read,
            ("PUT", "kv"): self._write,
            ("DELETE", "kv"): self._delete,
            ("GET", "keys"): self._list,
            ("GET", "watch"): self._watch,
            ("POST", "leases"): self._lease,
            ("DELETE", "leases"): self._drop_lease,
        }

    def listen(self):
        """Start to serve and return the address."""
        return self._web.listen(LOOPBACK)

    def seed(self, document):
        """Put a first configuration in."""
        self._put(CONFIG_KEY, document)

    def _requested(self, exchange):
        req = exchange.req
        kind, _, rest = req.path.lstrip("/").partition("/")
        serve = self._routes.get((req.method, kind))
        if serve is None:
            raise NotFound()
        serve(exchange, rest)

    def _left(self, exchange):
        self._watchers = [
            item for item in self._watchers if item.exchange is not exchange
        ]

    def _current(self, key):
        return {"value": self._values.get(key, ""), "version": self._version(key)}

    def _version(self, key):
        return self._versions.get(key, 0) if key in self._values else 0

    def _read(self, exchange, key):
        status = 200 if key in self._values else 404
        exchange.answer_json(status, self._current(key))

    def _write(self, exchange, key):
        body = read_body(exchange)
        if body.get("expect") != self._version(key):
            exchange.answer_json(409, self._current(key))
            return
        lease = body.get("lease")
        if lease is not None and lease not in self._leases:
            exchange.answer_json(404, {})
            return
        self._put(key, body["value"])
        if lease is not None:
            self._leases[lease][2].add(key)
        exchange.answer_json(200, {"version": self._versions[key]})

    def _put(self, key, value):
        self._values[key] = value
        self._versions[key] = self._versions.get(key, 0) + 1
        self._wake(key)

    def _delete(self, exchange, key):
        if read_body(exchange).get("expect") != self._version(key):
            exchange.answer_json(409, self._current(key))
            return
        self._values.pop(key, None)
        exchange.answer_json(200, {})

    def _list(self, exchange, rest):
        prefix = dict(parse_qsl(exchange.req.query)).get("prefix", "")
        keys = sorted(key for key in self._values if key.startswith(prefix))
        rows = [{"key": key, "version": self._versions[key]} for key in keys]
        exchange.answer_json(200, {"keys": rows})

    def _watch(self, exchange, rest):
        query = dict(parse_qsl(exchange.req.query))
        key, after = query.get("key", ""), int(query.get("after", "0"))
        if self._version(key) > after:
            exchange.answer_json(200, self._current(key))
            return
        until = time.monotonic() + float(query.get("wait", "30"))
        self._watchers.append(_Watcher(exchange, key, after, until))

    def _wake(self, key):
        waiting, self._watchers = self._watchers, []
        for item in waiting:
            if item.key == key and self._version(key) > item.after:
                item.exchange.answer_json(200, self._current(key))
            else:
                self._watchers.append(item)

    def _lease(self, exchange, rest):
        lease, _, renew = rest.partition("/")
        now = time.monotonic()
        if not renew:
            ttl = float(read_body(exchange)["ttl"])
            lease = f"lease-{next(self._numbers)}"
            self._leases[lease] = [now + ttl, ttl, set()]
        elif lease not in self._leases:
            exchange.answer_json(404, {})
            return
        held = self._leases[lease]
        held[0] = now + held[1]
        exchange.answer_json(200, {"lease": lease, "ttl": held[1]})

    def _drop_lease(self, exchange, lease):
        held = self._leases.pop(lease, None)
        for key in held[2] if held else ():
            self._values.pop(key, None)
        exchange.answer_json(200, {})

    @handler("tick", channel="*")
    def _on_tick(self):
        now = time.monotonic()
        lapsed = [name for name, held in self._leases.items() if held[0] < now]
        for name in lapsed:
            for key in self._leases.pop(name)[2]:
                self._values.pop(key, None)
        over = [item for item in self._watchers if item.until < now]
        self._watchers = [item for item in self._watchers if item.until >= now]
        for item in over:
            item.exchange.answer(204)


class _Job:
    """One answer that the engine is writing."""

    def __init__(self, exchange, body):
        self.exchange = exchange
        self.attempt = body["attempt"]
        self.prompt = len(body["prompt"].split())
        self.limit = int(body["max_tokens"])
        self.offset = self.index = int(body.get("offset", 0))


class token_due(Event):
    """It is time for the next token of each answer."""


class EngineServer(BaseComponent):
    """Write a fixed text, one token an answer at a time."""

    channel = "embedded-engine"

    def __init__(self, cfg, poller):
        super().__init__()
        handlers = WebHandlers(guard(self._requested), self._left)
        self._web = Web(cfg, poller, handlers, "embedded-engine-web").register(self)
        self._jobs: deque[_Job] = deque()
        Timer(TOKEN_TIME, token_due(), self.channel, persist=True).register(self)

    def listen(self):
        """Start to serve and return the address."""
        return self._web.listen(LOOPBACK)

    def _requested(self, exchange):
        req = exchange.req
        if (req.method, req.path) == ("POST", "/v1/completions"):
            job = _Job(exchange, read_body(exchange))
            exchange.start(200, EVENTS_TYPE, {"X-Attempt-Id": job.attempt})
            self._jobs.append(job)
        elif (req.method, req.path) == ("GET", "/v1/load"):
            load = {"running": len(self._jobs), "waiting": 0, "slots": 8}
            exchange.answer_json(200, load | {"cached_tokens": 0, "as_of": time.time()})
        elif (req.method, req.path) == ("POST", "/v1/cancel"):
            attempt = read_body(exchange).get("attempt")
            self._jobs = deque(job for job in self._jobs if job.attempt != attempt)
            exchange.answer_json(200, {})
        else:
            raise NotFound()

    def _left(self, exchange):
        self._jobs = deque(job for job in self._jobs if job.exchange is not exchange)

    @handler("token_due")
    def _on_token_due(self):
        for job in list(self._jobs):
            if job.index >= job.limit:
                self._finish(job)
                continue
            token = WORDS[job.index % len(WORDS)] + " "
            event = {"attempt": job.attempt, "index": job.index, "token": token}
            job.index += 1
            job.exchange.write(f"data: {json.dumps(event)}\n\n".encode())

    def _finish(self, job):
        self._jobs.remove(job)
        usage = {
            "prompt_tokens": job.prompt,
            "cached_tokens": 0,
            "completion_tokens": job.index - job.offset,
            "recomputed_tokens": 0,
        }
        event = {"attempt": job.attempt, "usage": usage, "finish_reason": "length"}
        data = f"data: {json.dumps(event)}\n\ndata: [DONE]\n\n"
        job.exchange.finish(data.encode())


class ServiceServer(BaseComponent):
    """Echo what a plain service is asked."""

    channel = "embedded-service"

    def __init__(self, cfg, poller):
        super().__init__()
        handlers = WebHandlers(guard(self._requested), lambda exchange: None)
        self._web = Web(cfg, poller, handlers, "embedded-service-web").register(self)

    def listen(self):
        """Start to serve and return the address."""
        return self._web.listen(LOOPBACK)

    def _requested(self, exchange):
        req = exchange.req
        if req.path == "/-/load":
            load = {"running": 0, "waiting": 0, "slots": 8, "as_of": time.time()}
            exchange.answer_json(200, load)
            return
        exchange.answer_json(200, {"method": req.method, "path": req.path})


def make_document(cfg, engine, service):
    """Return the document for one engine and one service, for callers without a key."""
    centre = cfg.data_centre
    inventory = Inventory(
        pools=(Pool("demo-models", MODEL, ("demo",)), Pool("demo-services", SERVICE)),
        upstreams=(
            Upstream("engine-1", MODEL, "demo-models", engine, centre),
            Upstream("echo-1", SERVICE, "demo-services", service, centre),
        ),
        services=(Service("echo", "demo-services"),),
    )
    rules = Rules(
        customers=(Customer("demo", (hash_key(""),)),),
        classes=(WorkClass("standard"),),
        routes=(ModelRoute("demo", "demo-models"),),
    )
    return serialise(Configuration(1, "embedded", inventory, rules, "embedded"))
