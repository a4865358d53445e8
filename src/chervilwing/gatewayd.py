"""The gateway daemon: the wiring of callers, upstreams, store and other instances."""

import signal
import sys
import time

from circuits import Timer
from circuits.core import BaseComponent, handler
from returns.result import Failure

from .clocks import AgreedTime, read_boottime
from .connections import Client
from .coordination import Coordinator
from .crash_saver import CrashSaver
from .datagrams import Datagrams
from .delegation import Delegation
from .exceptions import NotFound
from .gateway import Gateway, Limits
from .gateway_settings import GATEWAY
from .instance_orders import InstanceOrders
from .items import EndLease
from .logs import NonBlockingSink, count_dropped, log_event, set_up_logs
from .neighbours import Neighbours
from .placing import Placing
from .pollers import DirectPoller
from .reports import CONTENT_TYPE, render_metrics
from .rollout_duty import RolloutDuty
from .routing import CallerLimits
from .settings import HELP_FLAGS, render_help
from .ticks import tick
from .usage_reports import UsageParts, UsageReporter
from .web import Web, WebHandlers

# Seconds between ticks: time limits, silent connections and calls that are due are this
# late at most.
TICK = 0.05
# Seconds between two looks at the settings file, which may change without a signal.
RELOAD_EVERY = 2.0


class GatewayDaemon(BaseComponent):
    """Register the tasks of one gateway.

    ``adapter`` has the platform's store, API, sources and dialect; ``read_settings``
    returns the settings as they stand now.
    """

    channel = "gatewayd"

    def __init__(self, cfg, adapter, read_settings):
        super().__init__()
        cfg = self.cfg = cfg._replace(incarnation=time.time_ns())
        self._read_settings = read_settings
        self._reload_at = 0.0
        self._stopping_at = None
        poller = DirectPoller().register(self)
        upstreams = Client(poller, "upstreams").register(self)
        platform = Client(poller, "platform").register(self)
        self.gateway = Gateway(
            cfg, poller, upstreams, adapter.dialect, self._knows_keys
        ).register(self)
        agreed = AgreedTime()
        datagrams = Datagrams(cfg.beacon_listen, poller).register(self)
        cfg = self.cfg = cfg._replace(beacon_listen=datagrams.address)
        self._store = adapter.make_store(cfg, platform)
        if isinstance(self._store, BaseComponent):
            self._store.register(self)
        self._coordinator = Coordinator(
            cfg, self._store, adapter.sources, self.gateway
        ).register(self)
        self.gateway.registrations_since = self._coordinator.registrations_since
        self._parts = UsageParts(cfg, self._store, agreed).register(self)
        self.gateway.on_run = self._parts.count
        neighbours = Neighbours(
            cfg, datagrams, self._coordinator, self.gateway, self._parts, agreed
        ).register(self)
        self._parts.stores = lambda: neighbours.leads
        Delegation(
            cfg, datagrams, self._coordinator, neighbours, self.gateway
        ).register(self)
        Placing(cfg, datagrams, self._coordinator, self.gateway).register(self)
        if not cfg.routes:
            leads = lambda: neighbours.leads
            CrashSaver(self._store, self.gateway, leads).register(self)
        if cfg.cloud is not None:
            cloud = adapter.make_cloud(cfg, platform)
            UsageReporter(
                cfg, self._store, cloud, self._coordinator, self._parts
            ).register(self)
        RolloutDuty(
            self._store,
            self._coordinator,
            self.gateway,
            adapter.sources.write_status,
            self._parts.read_time,
        ).register(self)
        if cfg.cloud is not None and cfg.buys:
            InstanceOrders(cfg, cloud, self._coordinator, self.gateway).register(self)
        self._owners = [self, self.gateway, self._store, self._coordinator]
        if cfg.cloud is not None:
            self._owners.append(cloud)
        self._listen(poller)
        Timer(TICK, tick(), "*", persist=True).register(self)

    def _knows_keys(self):
        return self._coordinator.knows_keys()

    def _listen(self, poller):
        cfg = self.cfg
        self._ports = {"port": self.gateway.web.listen(cfg.listen).port}
        handlers = WebHandlers(self._answer, lambda exchange: None)
        ready, metrics = cfg.ready_listen, cfg.metrics_listen
        for name, address in (("ready", ready), ("metrics", metrics)):
            if address is None:
                continue
            limits = Limits(CallerLimits())
            web = Web(limits, poller, handlers, f"{name}-callers").register(self)
            self._ports[f"{name}_port"] = web.listen(address).port

    def _answer(self, exchange):
        serve = OWN_PATHS.get(exchange.req.path)
        if serve is None:
            exchange.refuse(NotFound())
            return
        serve(self, exchange)

    def _answer_ready(self, exchange):
        ready = self._stopping_at is None and self._coordinator.ready
        exchange.answer_json(200 if ready else 503, {"ready": ready})

    def _answer_metrics(self, exchange):
        text = "".join([*render_metrics(self.gateway.stats), self._render_own()])
        exchange.answer(200, text.encode(), CONTENT_TYPE)

    def _render_own(self):
        gateway, now = self.gateway, read_boottime()
        version = gateway.table.document.version if gateway.table else 0
        suspected, barred = gateway.crashes.measure(now)
        figures = {
            "gateway_in_flight": len(gateway.relays),
            "gateway_callers": gateway.web.count(),
            "gateway_upstreams": len(gateway.registry.members),
            "gateway_configuration_version": version,
            "gateway_keys_age_seconds": round(self._coordinator.keys_age(), 3),
            "gateway_fence": self._coordinator.tenure.fence(now) or 0,
            "gateway_usage_heard": self._parts.count_heard(),
            "gateway_requests_suspected": suspected,
            "gateway_requests_barred": barred,
            "gateway_upstreams_limited": gateway.upstream_limits.count(),
            "gateway_log_lines_dropped": count_dropped(),
        }
        return "".join(f"chervilwing_{k} {v}\n" for k, v in figures.items())

    @handler("started", channel="*")
    def _on_started(self, *args):
        self._parts.counter.begin(time.time())
        # Left alone, this signal ends the process; circuits handles only two others.
        signal.signal(signal.SIGHUP, self._ask_reload)
        log_event(
            "started",
            name=self.cfg.name,
            data_centre=self.cfg.data_centre,
            **self._ports,
        )
        self._coordinator.advance()

    @handler("signal", channel="*", priority=1)
    def _on_signal(self, event, number, stack):
        event.stop()
        self._stop()

    def _ask_reload(self, number, frame):
        self._reload_at = 0.0

    def _reload(self):
        """Read the settings again; what can't change in a running process stays.

        The addresses of the platform's store and API may move, and the bounds may; an
        address that is listened on, or a name, can't without a restart.
        """
        result = self._read_settings()
        if isinstance(result, Failure):
            log_event("settings ignored", detail=str(result.failure()))
            return
        found = result.unwrap()
        changes = {name: getattr(found, name) for name in RELOADED}
        cfg = self.cfg._replace(**changes)
        if cfg == self.cfg:
            return
        log_event("reload", **{name: str(changes[name]) for name in RELOADED})
        for owner in self._owners:
            owner.cfg = cfg

    def _stop(self):
        """Begin a planned stop: not ready at once, and no request is cut."""
        if self._stopping_at is None:
            self._stopping_at = read_boottime()
            self.gateway.web.stopping = True
            log_event("draining", in_flight=len(self.gateway.relays))

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        if now >= self._reload_at:
            self._reload_at = now + RELOAD_EVERY
            self._reload()
        if self._stopping_at is not None:
            self._advance_stop(now)

    def _advance_stop(self, now):
        waited = now - self._stopping_at
        if waited < self.cfg.drain_lag:
            return
        if not self.gateway.draining:
            self.gateway.draining = True
            self._parts.write_open_windows()
            if self._coordinator.lease is not None:
                call = EndLease(self._coordinator.lease)
                self._store.submit(call, lambda reply: None)
        if not self.gateway.relays and self._parts.is_idle():
            log_event("stopped", cut=0)
            self.root.stop()


OWN_PATHS = {
    "/-/ready": GatewayDaemon._answer_ready,
    "/-/metrics": GatewayDaemon._answer_metrics,
}
# What may change while a gateway runs.
RELOADED = ("store", "cloud", "revoke_bound", "retry_ratio", "retry_burst")


def read_file(path):
    """Return the text of the settings file, or an empty one without a path."""
    if not path:
        return ""
    with open(path, encoding="utf-8") as file:
        return file.read()


def main(adapter, read_settings):
    """Run a gateway until it is stopped: exit 2 on a bad setting."""
    if HELP_FLAGS & set(sys.argv[1:]):
        print(render_help(GATEWAY))
        return 0
    result = read_settings()
    if isinstance(result, Failure):
        print(f"settings: {result.failure()}", file=sys.stderr)
        return 2
    cfg = result.unwrap()
    set_up_logs(cfg, NonBlockingSink(sys.stdout.fileno()))
    GatewayDaemon(cfg, adapter, read_settings).run()
    return 0
