"""Poll the load of upstreams at a rate that is independent of their number."""

import time
from functools import partial

from circuits.core import BaseComponent, handler

from .connections import Call
from .exceptions import DECODE_ERRORS
from .models import MODEL
from .stores import collect_json_response

# Upstreams that an instance polls per second, in turn. If 320 nodes polled 660 workers
# once a second each, that would be 211,000 calls a second. An instance counts its own
# requests in flight without polling.
CALLS_PER_SECOND = 4
LOAD_PATHS = {MODEL: "/v1/load"}
SERVICE_LOAD_PATH = "/-/load"


def read_models(value):
    """Return the models in a load report, or None if it has no such list."""
    models = value.get("models")
    if not isinstance(models, list):
        return None
    return frozenset(model for model in models if isinstance(model, str))


class LoadPoller(BaseComponent):
    """Poll upstreams in turn and report their load to the scheduler."""

    channel = "loads"

    def __init__(self, cfg, client, dispatcher):
        super().__init__()
        self._cfg = cfg
        self._client = client
        self._dispatch = dispatcher
        self._next_poll = 0.0
        self._position = 0

    @handler("tick", channel="*")
    def _on_tick(self):
        now = time.monotonic()
        directory = self._dispatch.directory
        if now < self._next_poll or directory is None or not directory.upstreams:
            return
        self._next_poll = now + 1.0 / CALLS_PER_SECOND
        names = sorted(directory.upstreams)
        self._position = (self._position + 1) % len(names)
        name = names[self._position]
        if not self._dispatch.scheduler.is_paused(name, now):
            self._poll(directory.upstreams[name])

    def _poll(self, upstream):
        path = LOAD_PATHS.get(upstream.kind, SERVICE_LOAD_PATH)
        timeout = self._cfg.connect_timeout
        call = Call(upstream.address, "GET", path, {}, b"", timeout, timeout)
        handle = partial(self._handle_load, upstream.name)
        # If only old connections failed, the upstream isn't marked as down: it may just
        # have answered on a new one. A pool with a single upstream would otherwise
        # refuse all waiting requests.
        handlers = collect_json_response(handle, path_lost=lambda: None)

        def record_head(status, headers):
            self._dispatch.record_answer_head(upstream.name, status, headers)
            handlers.head(status, headers)

        self._client.submit(call, handlers._replace(head=record_head))

    def _handle_load(self, name, status, value):
        scheduler = self._dispatch.scheduler
        now = time.monotonic()
        if status != 200:
            scheduler.mark_down(name, now)
            return
        try:
            # ``as_of`` is in Unix seconds of the upstream's clock.
            age = max(0.0, time.time() - float(value["as_of"]))
            load = [int(value[key]) for key in ("running", "waiting", "slots")]
        except DECODE_ERRORS:
            return
        scheduler.mark_up(name)
        scheduler.report_load(name, *load, now - age, now)
        scheduler.report_models(name, read_models(value))
        self._dispatch.run_scheduler()
