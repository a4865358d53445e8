"""Ask upstreams for their load, at a rate that doesn't grow with their number."""

import time
from functools import partial

from circuits.core import BaseComponent, handler

from .connections import Call
from .models import MODEL
from .stores import collect_json

# Load: every entry instance wants every upstream's load. Harm: 320 nodes that ask 660
# workers once a second are 211,000 calls a second. Each instance asks at most this many
# upstreams a second in turn; what it has in flight itself is known without asking.
CALLS_PER_SECOND = 4
LOAD_PATHS = {MODEL: "/v1/load"}
SERVICE_LOAD_PATH = "/-/load"


def read_models(value):
    """Return the models that a load report names, or None when it names none."""
    models = value.get("models")
    if not isinstance(models, list):
        return None
    return frozenset(model for model in models if isinstance(model, str))


class LoadPoller(BaseComponent):
    """Poll upstreams in turn and tell the scheduler."""

    channel = "loads"

    def __init__(self, cfg, client, dispatcher):
        super().__init__()
        self._cfg = cfg
        self._client = client
        self._dispatch = dispatcher
        self._due = 0.0
        self._turn = 0

    @handler("tick", channel="*")
    def _on_tick(self):
        now = time.monotonic()
        directory = self._dispatch.directory
        if now < self._due or directory is None or not directory.upstreams:
            return
        self._due = now + 1.0 / CALLS_PER_SECOND
        names = sorted(directory.upstreams)
        self._turn = (self._turn + 1) % len(names)
        self._ask(directory.upstreams[names[self._turn]])

    def _ask(self, upstream):
        path = LOAD_PATHS.get(upstream.kind, SERVICE_LOAD_PATH)
        wait = self._cfg.connect_timeout
        call = Call(upstream.address, "GET", path, {}, b"", wait, wait)
        hear = partial(self._hear, upstream.name)
        # Guard: an upstream that has just answered on a new connection isn't down; a
        # pool of one would refuse the very requests that wait to go on there.
        self._client.submit(call, collect_json(hear, path_lost=lambda: None))

    def _hear(self, name, status, value):
        scheduler = self._dispatch.scheduler
        now = time.monotonic()
        if status != 200:
            scheduler.mark_down(name, now)
            return
        try:
            # ``as_of`` is on the upstream's clock; only its age is of use here.
            age = max(0.0, time.time() - float(value["as_of"]))
            load = [int(value[key]) for key in ("running", "waiting", "slots")]
        except (KeyError, TypeError, ValueError):
            return
        scheduler.mark_up(name)
        scheduler.report_load(name, *load, now - age, now)
        scheduler.report_models(name, read_models(value))
        self._dispatch.run_scheduler()
