"""Serve the paths under ``/-/``: health checks, metrics, status and planned stop."""

from . import __version__, operators, reports
from .completions import read_json
from .exceptions import NotReady


class Admin:
    """Serve an instance's own paths, which ``routes`` lists."""

    def __init__(
        self, cfg, dispatcher, explain_not_ready, describe_peers, drain, describe_orders
    ):
        self._cfg = cfg
        self._dispatch = dispatcher
        self._explain_not_ready = explain_not_ready
        self._describe_peers = describe_peers
        self._drain = drain
        self._describe_orders = describe_orders
        self.routes = {
            ("GET", "/-/live"): self._live,
            ("GET", "/-/ready"): self._ready,
            ("GET", "/-/metrics"): self._require_key(self._metrics),
            ("GET", "/-/histograms"): self._require_key(self._histograms),
            ("GET", "/-/status"): self._require_key(self._status),
            ("POST", "/-/drain"): self._start_drain,
        }

    def _require_key(self, serve):
        def check_and_serve(exchange):
            operators.check_key(self._cfg.operator_key_hash, exchange.req.headers)
            serve(exchange)

        return check_and_serve

    def check_ready(self):
        """Return the NotReady error if the instance accepts no new work, else None."""
        if self._dispatch.draining:
            return NotReady("The instance is stopping.", retry_after=1.0)
        if self._dispatch.directory is None:
            reason = self._explain_not_ready()
            return reason or NotReady("No configuration is known yet.")
        return None

    def _live(self, exchange):
        exchange.answer_json(200, {"live": True})

    def _ready(self, exchange):
        reason = self.check_ready()
        if reason is not None:
            raise reason
        exchange.answer_json(200, {"ready": True})

    def _metrics(self, exchange):
        text = "".join(reports.render_metrics(self._dispatch.stats))
        exchange.answer(200, text.encode(), reports.CONTENT_TYPE)

    def _histograms(self, exchange):
        exchange.answer_json(200, reports.make_report(self._dispatch.stats))

    def _status(self, exchange):
        dispatcher = self._dispatch
        orders, purchases = self._describe_orders()
        reason = self.check_ready()
        directory = dispatcher.directory
        upstreams = sorted(directory.upstreams.values()) if directory else ()
        value = {
            "name": self._cfg.name,
            "data_centre": self._cfg.data_centre,
            "revision": directory.revision if directory else 0,
            "ready": reason is None,
            "reason": reason.detail if reason else "",
            "in_flight": len(dispatcher.sessions),
            "upstreams": [self._describe_upstream(item) for item in upstreams],
            "peers": self._describe_peers()._asdict(),
            "orders": orders,
            "purchases": purchases,
            "version": __version__,
        }
        exchange.answer_json(200, value)

    def _describe_upstream(self, upstream):
        return {
            "name": upstream.name,
            "pool": upstream.pool,
            "data_centre": upstream.data_centre,
            "state": self._dispatch.get_upstream_state(upstream.name),
        }

    def _start_drain(self, exchange):
        key_hash = self._cfg.operator_key_hash
        operators.check_stop(key_hash, exchange.req.headers, exchange.host)
        name = read_json(exchange.req.body or b"{}").get("name")
        if name not in (None, self._cfg.name):
            raise NotReady(
                f"The request names another instance; this one is {self._cfg.name}."
            )
        self._drain()
        exchange.answer_json(202, {"draining": True})
