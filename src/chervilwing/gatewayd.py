"""The gateway daemon: creates and connects the components of one gateway."""

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
from .credit_exchange import CreditExchange
from .datagrams import Datagrams
from .exceptions import NotFound
from .gateway import CurrentLimits, Gateway
from .gateway_settings import GATEWAY
from .instance_orders import InstanceOrders
from .leaving_exchange import LeavingExchange
from .logs import NonBlockingSink, count_dropped_lines, log_event, set_up_logs
from .lost_writes import LostWrites
from .machines import return_large_blocks
from .path_checks import PathChecks
from .placement_exchange import Placing
from .planned_stops import PlannedStop
from .pollers import DirectPoller
from .report_exchange import ReportExchange
from .reports import CONTENT_TYPE, render_metrics
from .request_reader import ReaderOptions
from .rollout_duty import RolloutDuty
from .routing import CallerLimits
from .settings import HELP_FLAGS, render_help
from .store_calls import EndLease
from .store_epochs import get_number
from .stream_exchange import StreamExchange
from .ticks import tick
from .tunnel_exchange import TunnelExchange
from .tunnel_server import TunnelServer
from .usage import SHARED_REPORT
from .usage_reports import UsageParts, UsageReporter
from .version_keeper import VersionKeeper
from .version_reads import VersionReads
from .web import Web, WebHandlers, WebOptions

# Seconds between ticks. Time limits, scheduled calls and the detection of silent
# connections are late by at most this.
TICK = 0.05
# Connections to the port for readiness checks, and to that for metrics.
MAX_CHECKERS = 256
# Seconds between two reads of the settings file, which may change without a signal.
RELOAD_INTERVAL = 2.0


class GatewayDaemon(BaseComponent):
    """Create, connect and stop the components of one gateway.

    ``adapter`` provides the platform's store, API, sources and dialect;
    ``read_settings`` returns the current settings as a Result.
    """

    channel = "gatewayd"

    def __init__(self, cfg, adapter, read_settings):
        super().__init__()
        cfg = self.cfg = cfg._replace(incarnation=time.time_ns())
        self._read_settings = read_settings
        self._reload_at = 0.0
        self._planned_stop = None
        poller = DirectPoller().register(self)
        self._clients = upstreams, platform = [
            Client(poller, channel).register(self)
            for channel in ("upstreams", "platform")
        ]
        self.gateway = Gateway(
            cfg, poller, upstreams, adapter.dialect, self._keys_are_fresh
        ).register(self)
        agreed_time = AgreedTime()
        datagrams = Datagrams(cfg.beacon_listen, poller).register(self)
        cfg = self.cfg = cfg._replace(beacon_listen=datagrams.address)
        self._store = adapter.make_store(cfg, platform)
        if isinstance(self._store, BaseComponent):
            self._store.register(self)
        self._coordinator = Coordinator(
            cfg, self._store, adapter.sources, self.gateway
        ).register(self)
        self.gateway.registrations_fresh_since = (
            self._coordinator.registrations_fresh_since
        )
        self.gateway.resumptions.streams.are_fresh = (
            self._coordinator.versions_are_fresh
        )
        self._usage_parts = UsageParts(cfg, self._store, agreed_time).register(self)
        self.gateway.on_usage = self._usage_parts.count_request
        report_exchange = ReportExchange(
            cfg,
            datagrams,
            self._coordinator,
            self.gateway,
            self._usage_parts,
            agreed_time,
        ).register(self)
        self._usage_parts.is_storing = lambda: report_exchange.is_leader
        CreditExchange(
            cfg, datagrams, self._coordinator, report_exchange, self.gateway
        ).register(self)
        Placing(cfg, datagrams, self._coordinator, self.gateway).register(self)
        LeavingExchange(cfg, datagrams, self._coordinator, self.gateway).register(self)
        self._stream_exchange = StreamExchange(
            cfg, datagrams, self._coordinator, self.gateway, self._make_reads()
        ).register(self)
        PathChecks(self.gateway, upstreams).register(self)
        tunnels = self._tunnels = TunnelServer(poller, self.gateway).register(self)
        if cfg.tunnel_listen is not None:
            tunnels.listen(cfg.tunnel_listen)
        TunnelExchange(
            cfg, datagrams, self._coordinator, self.gateway, tunnels
        ).register(self)
        instance_items = self._coordinator.instance_items
        self._usage_parts.read_shared = lambda: instance_items.in_force.get(
            SHARED_REPORT
        )
        is_leader = lambda: report_exchange.is_leader
        documents = self._coordinator.documents
        LostWrites(
            self._store, instance_items, documents, adapter.sources, is_leader
        ).register(self)
        if not cfg.routes:
            CrashSaver(self._store, self.gateway, is_leader).register(self)
            VersionKeeper(self._store, self.gateway, is_leader).register(self)
        if cfg.cloud is not None:
            cloud = adapter.make_cloud(cfg, platform)
            UsageReporter(
                cfg, self._store, cloud, self._coordinator, self._usage_parts
            ).register(self)
        RolloutDuty(
            self._store,
            self._coordinator,
            self.gateway,
            adapter.sources.write_status,
            self._usage_parts.read_time,
        ).register(self)
        if cfg.cloud is not None and cfg.buys:
            InstanceOrders(cfg, cloud, self._coordinator, self.gateway).register(self)
        self._configured = [self, self.gateway, self._store, self._coordinator]
        if cfg.cloud is not None:
            self._configured.append(cloud)
        self._listen(poller)
        Timer(TICK, tick(), "*", persist=True).register(self)

    def _make_reads(self):
        """Return VersionReads; a gateway with a file of routes is the only one."""
        if self.cfg.routes:
            return None
        coordinator = self._coordinator
        return VersionReads(
            self._store, coordinator.documents, coordinator.instance_items
        )

    def _keys_are_fresh(self):
        return self._coordinator.keys_are_fresh()

    def _listen(self, poller):
        cfg = self.cfg
        self._listen_ports = {"port": self.gateway.listen(cfg.listen).port}
        handlers = WebHandlers(self._serve, lambda exchange: None)
        ready, metrics = cfg.ready_listen, cfg.metrics_listen
        for name, address in (("ready", ready), ("metrics", metrics)):
            if address is None:
                continue
            limits = CurrentLimits(CallerLimits())
            options = WebOptions(
                max_callers=MAX_CHECKERS,
                reader=ReaderOptions(skips_bodies=True),
                urgent=name == "ready",
            )
            web = Web(
                limits,
                poller,
                handlers,
                f"{name}-callers",
                options,
                self.gateway.budget,
            ).register(self)
            self._listen_ports[f"{name}_port"] = web.listen(address).port

    def _serve(self, exchange):
        handle = PATH_HANDLERS.get(exchange.req.path)
        if handle is None:
            exchange.answer_problem(NotFound())
            return
        handle(self, exchange)

    def _serve_ready(self, exchange):
        ready = self._planned_stop is None and self._coordinator.ready
        exchange.answer_json(200 if ready else 503, {"ready": ready})

    def _serve_metrics(self, exchange):
        text = "".join([*render_metrics(self.gateway.stats), self._render_gauges()])
        exchange.answer(200, text.encode(), CONTENT_TYPE)

    def _render_gauges(self):
        gateway, now = self.gateway, read_boottime()
        version = gateway.table.document.version if gateway.table else 0
        revisions = self._coordinator.list_revisions()
        suspected, barred = gateway.crashes.count_suspected(now)
        datagrams, size = self._stream_exchange.count_sent()
        gauges = {
            "gateway_in_flight": len(gateway.relays),
            "gateway_callers": gateway.web.count(),
            "gateway_upstreams": len(gateway.registry.upstreams),
            "gateway_configuration_version": version,
            "gateway_keys_age_seconds": round(self._coordinator.compute_keys_age(), 3),
            "gateway_store_epoch": self._store.epochs.current,
            "gateway_store_revision": min(get_number(item or 0) for item in revisions),
            "gateway_store_items_ignored": self._coordinator.ignored_items,
            "gateway_store_items_failed": self._coordinator.failed_items,
            "gateway_replies_refused": sum(
                client.refused_replies.count for client in self._clients
            ),
            "gateway_lease_seconds": round(self._coordinator.duty_lease.terms.ttl, 3),
            "gateway_fence": self._coordinator.duty_lease.fence(now) or 0,
            "gateway_usage_heard": self._usage_parts.count_reported(),
            "gateway_requests_suspected": suspected,
            "gateway_requests_barred": barred,
            "gateway_upstreams_limited": gateway.upstream_limits.count(),
            "gateway_upstreams_leaving": gateway.registry.count_leaving(),
            "gateway_upstreams_paused": gateway.pauses.count(now),
            "gateway_upstreams_detoured": len(gateway.paths.list_detours()),
            "gateway_partitioned": int(gateway.paths.is_cut()),
            "gateway_tunnels_used": sum(gateway.tunnel_peers.in_use.values()),
            "gateway_tunnels_served": self._tunnels.count(),
            "gateway_streams_known": len(gateway.resumptions.streams),
            "gateway_streams_out_of_order": gateway.resumptions.out_of_order,
            "gateway_stream_datagrams_sent": datagrams,
            "gateway_stream_bytes_sent": size,
            "gateway_placers": gateway.placing.count_placers(),
            "gateway_stream_ends_checked": gateway.end_checks.checked,
            "gateway_stream_ends_broken": gateway.end_checks.broken,
            "gateway_connections_rejected": gateway.intake.rejected,
            "gateway_caller_bytes": gateway.budget.memory.used,
            "gateway_caller_refusals": gateway.budget.memory.refused,
            "gateway_log_lines_dropped": count_dropped_lines(),
            **gateway.admissions.list_figures(),
        }
        for name, pool in gateway.pools.items():
            slowest, mean = pool.paces.summarise(now)
            gauges[f'gateway_pool_slowest_pace{{pool="{name}"}}'] = round(slowest, 3)
            gauges[f'gateway_pool_mean_pace{{pool="{name}"}}'] = round(mean, 3)
            size, scored = pool.summarise_index()
            gauges[f'gateway_pool_index_size{{pool="{name}"}}'] = size
            gauges[f'gateway_pool_scored_per_choice{{pool="{name}"}}'] = scored
        for name, value in gateway.mover.count().items():
            gauges[f"gateway_stream_{name}"] = value
        return "".join(f"chervilwing_{k} {v}\n" for k, v in gauges.items())

    @handler("started", channel="*")
    def _on_started(self, *args):
        self._usage_parts.counter.start(time.time())
        # By default SIGHUP would end the process; circuits handles only SIGINT and
        # SIGTERM.
        signal.signal(signal.SIGHUP, self._request_reload)
        log_event(
            "started",
            name=self.cfg.name,
            data_centre=self.cfg.data_centre,
            **self._listen_ports,
        )
        self._coordinator.make_due_calls()

    @handler("signal", channel="*", priority=1)
    def _on_signal(self, event, number, stack):
        event.stop()
        self._stop()

    def _request_reload(self, number, frame):
        self._reload_at = 0.0

    def _reload(self):
        """Read the settings again and apply those in RELOADABLE.

        The addresses of the platform's store and API may change at run time, and so may
        the revocation bound and the retry limits; a listening address or a name needs a
        restart.
        """
        result = self._read_settings()
        if isinstance(result, Failure):
            log_event("settings ignored", detail=str(result.failure()))
            return
        new_cfg = result.unwrap()
        changes = {name: getattr(new_cfg, name) for name in RELOADABLE}
        cfg = self.cfg._replace(**changes)
        if cfg == self.cfg:
            return
        log_event("reload", **{name: str(changes[name]) for name in RELOADABLE})
        for component in self._configured:
            component.cfg = cfg

    def _stop(self):
        """Begin a planned stop: report not ready, but finish all requests."""
        if self._planned_stop is not None:
            return
        self._planned_stop = PlannedStop(
            self.cfg,
            self.gateway,
            self._tunnels,
            self._usage_parts.is_idle,
            self._usage_parts.write_unstored,
            read_boottime(),
        )
        log_event("draining", in_flight=len(self.gateway.relays))

    def _end(self, cut):
        """End the lease and the process."""
        if self._coordinator.lease is not None:
            call = EndLease(self._coordinator.lease)
            self._store.submit(call, lambda reply: None)
        log_event("stopped", cut=cut)
        self.root.stop()

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        if now >= self._reload_at:
            self._reload_at = now + RELOAD_INTERVAL
            self._reload()
        if self._planned_stop is None:
            return
        cut = self._planned_stop.advance(now)
        if cut is not None:
            self._end(cut)


PATH_HANDLERS = {
    "/-/ready": GatewayDaemon._serve_ready,
    "/-/metrics": GatewayDaemon._serve_metrics,
}
# Settings that are reloaded while a gateway runs.
RELOADABLE = ("store", "cloud", "revoke_bound", "retry_ratio", "retry_burst")


def read_file(path):
    """Return the text of the settings file, or an empty text without a path."""
    if not path:
        return ""
    with open(path, encoding="utf-8") as file:
        return file.read()


def main(adapter, read_settings):
    """Run a gateway until it is stopped; return its exit code, 2 on a bad setting."""
    if HELP_FLAGS & set(sys.argv[1:]):
        print(render_help(GATEWAY))
        return 0
    result = read_settings()
    if isinstance(result, Failure):
        print(f"settings: {result.failure()}", file=sys.stderr)
        return 2
    cfg = result.unwrap()
    set_up_logs(cfg, NonBlockingSink(sys.stdout.fileno()))
    return_large_blocks()
    GatewayDaemon(cfg, adapter, read_settings).run()
    return 0
