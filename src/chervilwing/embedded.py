"""Run a store, an engine and a service inside the daemon, for ``make serve``.

With them one process serves requests on a fresh clone. They implement the protocols of
docs/PROTOCOLS.md without the fault injection that tests need, which is in tests/fakes.
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
from .exceptions import DECODE_ERRORS, BadRequest, NotFound
from .exchanges import EVENTS_TYPE, answer_failures
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
from .web import Web, WebHandlers

# Seconds between two tokens; callers are promised at most 63 ms.
TOKEN_INTERVAL = 0.03
LOOPBACK = Address("127.0.0.1", 0)
SAMPLE_WORDS = "the quick brown fox jumps over the lazy dog and rests".split()


def read_body(exchange):
    """Return the JSON value in a request's body, or raise BadRequest."""
    try:
        return json.loads(exchange.req.body or b"{}")
    except DECODE_ERRORS as exc:
        raise BadRequest("The body is not valid JSON.") from exc


class _Watcher(NamedTuple):
    exchange: object
    key: str
    after: int
    until: float


class StoreServer(BaseComponent):
    """Serve a key-value store in memory, with versions, leases and watches."""

    channel = "embedded-store"

    def __init__(self, cfg, poller):
        super().__init__()
        handlers = WebHandlers(
            answer_failures(self._handle_request), self._handle_disconnect
        )
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
            ("DELETE", "leases"): self._end_lease,
        }

    def listen(self):
        """Start to serve and return the address."""
        return self._web.listen(LOOPBACK)

    def seed(self, document):
        """Store the first configuration."""
        self._put(CONFIG_KEY, document)

    def _handle_request(self, exchange):
        req = exchange.req
        kind, _, rest = req.path.lstrip("/").partition("/")
        serve = self._routes.get((req.method, kind))
        if serve is None:
            raise NotFound()
        serve(exchange, rest)

    def _handle_disconnect(self, exchange):
        self._watchers = [
            item for item in self._watchers if item.exchange is not exchange
        ]

    def _make_reply(self, key):
        return {"value": self._values.get(key, ""), "version": self._version(key)}

    def _version(self, key):
        return self._versions.get(key, 0) if key in self._values else 0

    def _read(self, exchange, key):
        status = 200 if key in self._values else 404
        exchange.answer_json(status, self._make_reply(key))

    def _write(self, exchange, key):
        body = read_body(exchange)
        if body.get("expect") != self._version(key):
            exchange.answer_json(409, self._make_reply(key))
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
        self._notify_watchers(key)

    def _delete(self, exchange, key):
        if read_body(exchange).get("expect") != self._version(key):
            exchange.answer_json(409, self._make_reply(key))
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
            exchange.answer_json(200, self._make_reply(key))
            return
        until = time.monotonic() + float(query.get("wait", "30"))
        self._watchers.append(_Watcher(exchange, key, after, until))

    def _notify_watchers(self, key):
        waiting, self._watchers = self._watchers, []
        for item in waiting:
            if item.key == key and self._version(key) > item.after:
                item.exchange.answer_json(200, self._make_reply(key))
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
        entry = self._leases[lease]
        entry[0] = now + entry[1]
        exchange.answer_json(200, {"lease": lease, "ttl": entry[1]})

    def _end_lease(self, exchange, lease):
        entry = self._leases.pop(lease, None)
        for key in entry[2] if entry else ():
            self._values.pop(key, None)
        exchange.answer_json(200, {})

    @handler("tick", channel="*")
    def _on_tick(self):
        now = time.monotonic()
        expired_leases = [
            name for name, entry in self._leases.items() if entry[0] < now
        ]
        for name in expired_leases:
            for key in self._leases.pop(name)[2]:
                self._values.pop(key, None)
        timed_out = [item for item in self._watchers if item.until < now]
        self._watchers = [item for item in self._watchers if item.until >= now]
        for item in timed_out:
            item.exchange.answer(204)


class _Generation:
    """State of one answer that the engine is generating."""

    def __init__(self, exchange, body):
        self.exchange = exchange
        self.attempt = body["attempt"]
        self.prompt_tokens = len(body["prompt"].split())
        self.limit = int(body["max_tokens"])
        self.offset = self.index = int(body.get("offset", 0))


class token_due(Event):
    """Trigger the next token of each answer."""


class EngineServer(BaseComponent):
    """Serve a model whose answers repeat a fixed text, one word per token."""

    channel = "embedded-engine"

    def __init__(self, cfg, poller):
        super().__init__()
        handlers = WebHandlers(
            answer_failures(self._handle_request), self._handle_disconnect
        )
        self._web = Web(cfg, poller, handlers, "embedded-engine-web").register(self)
        self._generations: deque[_Generation] = deque()
        Timer(TOKEN_INTERVAL, token_due(), self.channel, persist=True).register(self)

    def listen(self):
        """Start to serve and return the address."""
        return self._web.listen(LOOPBACK)

    def _handle_request(self, exchange):
        req = exchange.req
        if (req.method, req.path) == ("POST", "/v1/completions"):
            generation = _Generation(exchange, read_body(exchange))
            exchange.start(200, EVENTS_TYPE, {"X-Attempt-Id": generation.attempt})
            self._generations.append(generation)
        elif (req.method, req.path) == ("GET", "/v1/load"):
            load = {"running": len(self._generations), "waiting": 0, "slots": 8}
            exchange.answer_json(200, load | {"cached_tokens": 0, "as_of": time.time()})
        elif (req.method, req.path) == ("POST", "/v1/cancel"):
            attempt = read_body(exchange).get("attempt")
            self._generations = deque(
                generation
                for generation in self._generations
                if generation.attempt != attempt
            )
            exchange.answer_json(200, {})
        else:
            raise NotFound()

    def _handle_disconnect(self, exchange):
        self._generations = deque(
            generation
            for generation in self._generations
            if generation.exchange is not exchange
        )

    @handler("token_due")
    def _on_token_due(self):
        for generation in list(self._generations):
            if generation.index >= generation.limit:
                self._finish(generation)
                continue
            token = SAMPLE_WORDS[generation.index % len(SAMPLE_WORDS)] + " "
            event = {
                "attempt": generation.attempt,
                "index": generation.index,
                "token": token,
            }
            generation.index += 1
            generation.exchange.write(f"data: {json.dumps(event)}\n\n".encode())

    def _finish(self, generation):
        self._generations.remove(generation)
        usage = {
            "prompt_tokens": generation.prompt_tokens,
            "cached_tokens": 0,
            "completion_tokens": generation.index - generation.offset,
            "recomputed_tokens": 0,
        }
        event = {
            "attempt": generation.attempt,
            "usage": usage,
            "finish_reason": "length",
        }
        data = f"data: {json.dumps(event)}\n\ndata: [DONE]\n\n"
        generation.exchange.finish(data.encode())


class ServiceServer(BaseComponent):
    """Serve a plain service that returns the method and path of each request."""

    channel = "embedded-service"

    def __init__(self, cfg, poller):
        super().__init__()
        handlers = WebHandlers(
            answer_failures(self._handle_request), lambda exchange: None
        )
        self._web = Web(cfg, poller, handlers, "embedded-service-web").register(self)

    def listen(self):
        """Start to serve and return the address."""
        return self._web.listen(LOOPBACK)

    def _handle_request(self, exchange):
        req = exchange.req
        if req.path == "/-/load":
            load = {"running": 0, "waiting": 0, "slots": 8, "as_of": time.time()}
            exchange.answer_json(200, load)
            return
        exchange.answer_json(200, {"method": req.method, "path": req.path})


def make_document(cfg, engine, service):
    """Return a configuration for one engine, one service and callers without a key."""
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
