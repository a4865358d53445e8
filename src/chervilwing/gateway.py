"""The gateway: routes callers' requests to the upstreams of a pool."""

import random

from circuits.core import BaseComponent, handler

from .allowances import Allowances
from .answer_times import LongestTimes
from .attempts import Attempts
from .balancing import PoolBalancer
from .brittle_upstreams import BrittleUpstreams
from .caller_budget import CallerBudget
from .clocks import STARTED_AT, read_boottime
from .crash_detection import CrashDetection
from .crash_records import CrashRecords
from .detours import Detours
from .end_checks import EndChecks
from .exceptions import ChervilwingError, DeadlinePassed
from .intake import Intake
from .leaving_upstreams import LeavingUpstreams
from .logs import log_event, log_request
from .machines import read_machine_limits
from .placer_selection import PlacementHooks
from .planned_stops import StopDeadline
from .pool_admission import AdmissionControl, Capacity, RequestPath, UpstreamChecks
from .registrations import Registry, get_process
from .relays import describe_refusal, describe_relay
from .request_reader import ReaderOptions
from .resumptions import Resumptions
from .retry_shares import RetryShares
from .rollouts import Rollouts
from .routing import RoutingTable
from .stats import Stats
from .tunnel_peers import TunnelPeers
from .upstream_limits import UpstreamLimits
from .upstream_paths import UpstreamPaths
from .upstream_pauses import REUSED_NAME_PAUSE, UpstreamPauses
from .web import Web, WebHandlers, WebOptions

# An answer counts as slow if its first byte takes longer than this factor times the
# estimate, plus this many seconds. A faulty version may be several times slower.
SLOW_FACTOR = 3.0
SLOW_MARGIN = 0.1
# Seconds between two log lines about rejected connections, and between two checks
# which upstreams became slow.
LOG_INTERVAL = 1.0
# Metric label of requests to open routes; no organisation can have this name.
OPEN_LABEL = "(open)"


class CurrentLimits:
    """The current limits on callers; the web server reads them at each use."""

    def __init__(self, limits):
        self.update(limits)

    def update(self, limits):
        """Apply new limits."""
        self.head_limit = limits.head_bytes
        self.body_limit = limits.body_bytes
        self.head_timeout = limits.head_timeout
        self.idle_timeout = limits.idle_timeout


class Gateway(BaseComponent):
    """Relay requests between callers and registered upstreams.

    ``keys_are_fresh()`` returns whether this instance's copy of the API keys is recent
    enough to accept them.
    """

    channel = "gateway"

    def __init__(self, cfg, poller, client, dialect, keys_are_fresh):
        super().__init__()
        self.cfg = cfg
        self.table = None
        self.registry = Registry()
        self.allowances = Allowances(cfg.name, cfg.incarnation, STARTED_AT)
        # Called when a request has to wait for its customer's credit.
        self.on_credit_needed = lambda: None
        self.placing = PlacementHooks()
        self.rollouts = Rollouts()
        self.crashes = CrashRecords(cfg.name)
        self.upstream_limits = UpstreamLimits(self.allowances, self._report_limit)
        self.brittle_upstreams = BrittleUpstreams(
            self.upstream_limits, lambda: self.retries.instances
        )
        self.pauses = UpstreamPauses()
        self.leaving_upstreams = LeavingUpstreams()
        # Called with the ProcessId of an upstream that announced its end in an answer.
        self.on_upstream_leaving = lambda process: None
        self.paths = UpstreamPaths()
        self.tunnel_peers = TunnelPeers(cfg.name)
        self.detours = Detours(self, client)
        self.retries = RetryShares(self)
        self.resumptions = Resumptions(self)
        self.relays = set()
        self.pools = {}
        self.stats = Stats(cfg.stats_pairs)
        self.limits = CurrentLimits(cfg.limits)
        self.on_usage = lambda organisation, seconds_ago: None
        # Returns the time since which this instance's copy of the registrations has
        # been up to date without interruption.
        self.registrations_fresh_since = lambda: float("inf")
        self.draining = False
        # How long requests of each route took until their answers were read.
        self._longest = LongestTimes()
        self.stop_deadline = StopDeadline(self._longest)
        self.crash_detection = CrashDetection(poller, self, client).register(self)
        self.end_checks = EndChecks(poller, self, client).register(self)
        self._attempts = Attempts(self, client, dialect)
        self.mover = self._attempts.mover
        self._dialect = dialect
        self._rng = random.Random()
        self.admissions = AdmissionControl()
        self.admissions.get_capacity = lambda pool: Capacity(
            share=1.0 / self.retries.instances
        )
        self._path = RequestPath(
            self, dialect, keys_are_fresh, self._attempts, self._refuse_waiting
        )
        self._publish_path(self._path, UpstreamChecks(self))
        handlers = WebHandlers(
            self._on_request, self._on_caller_left, self._log_and_refuse
        )
        reader = ReaderOptions(chunked=True, check_head=self._check_head)
        options = WebOptions(answer_half_closed=False, reader=reader)
        self.budget = CallerBudget(read_machine_limits(cfg))
        self.web = Web(
            self.limits, poller, handlers, "callers", options, self.budget
        ).register(self)
        self.intake = Intake(lambda: self.retries.instances > 1)
        poller.on_wait = self.intake.record_wait
        # Rejected connections that were logged, and when the next are.
        self._logged_rejected, self._log_rejected_at = 0, 0.0
        # When the upstreams that became slow are logged next.
        self._log_slow_at = 0.0

    def _publish_path(self, path, checks):
        """Provide the steps of a request's path that other modules call."""
        self.needs_admission = path.needs_admission
        self.place_locally = path.place_locally
        self.send_to_choice = path.send_to_choice
        self.refuse_overload = path.refuse_overload
        self.refund = path.refund
        self.retry_waiting_requests = path.retry_waiting_requests
        self.choose_upstream = checks.choose
        self.check_send = checks.check_send
        self.make_paused_error = checks.make_paused_error
        self.make_unavailable_error = checks.make_unavailable_error
        self.list_excluded_upstreams = checks.list_excluded_upstreams
        self.list_unavailable_upstreams = checks.list_unavailable_upstreams

    def listen(self, address):
        """Accept callers and return the address that was bound."""
        return self.web.listen(address, self.intake)

    def configure(self, document):
        """Apply a routing document if it is newer; return whether it was applied."""
        if self.table is not None and document.version <= self.table.document.version:
            return False
        self.table = RoutingTable(document)
        self.limits.update(document.limits)
        self.allowances.configure(document.organisations, read_boottime())
        self.resumptions.streams.configure(self.table.resumable, read_boottime())
        for name, spec in self.table.pools.items():
            self.get_or_create_pool(name).spec = spec
        now = read_boottime()
        for pool, active in self.admissions.configure(
            document, self.cfg.admission, now
        ):
            log_event("admission by urgency", pool=pool, active=active)
        return True

    def put_upstream(self, registration):
        """Add or update a registered upstream."""
        registration = self.leaving_upstreams.apply(registration)
        previous = self.registry.add(registration)
        if previous is not None:
            self.crash_detection.handle_restarted(previous, read_boottime())
            self.upstream_limits.record_restart(registration.name, read_boottime())
            self.brittle_upstreams.record_restart(registration.name, read_boottime())
            self._remove_from_pools(registration.name)
        self.rollouts.record_version(
            registration.pool, registration.version, read_boottime()
        )
        self.get_or_create_pool(registration.pool).put_upstream(registration)
        self.mover.handle_leaving(registration, read_boottime())

    def remove_upstream(self, name, regained_at):
        """Handle the disappearance of an upstream's registration.

        ``regained_at`` is when the store was last reachable again after an outage.
        """
        if self.registry.remove(name, read_boottime(), regained_at):
            self._handle_lost_upstream(name)

    def remove_upstream_now(self, name):
        """Remove an upstream without a grace period."""
        self.registry.drop(name)
        self._handle_lost_upstream(name)

    def expire_upstreams(self):
        """Remove upstreams whose registrations did not return in the grace period."""
        for name in self.registry.expire(read_boottime()):
            self._handle_lost_upstream(name)

    def _handle_lost_upstream(self, name):
        for pool in self.pools.values():
            upstream_state = pool.upstream_states.get(name)
            if upstream_state is not None:
                self.crash_detection.handle_removed(
                    upstream_state.registration, read_boottime()
                )
        self._remove_from_pools(name)

    def _remove_from_pools(self, name):
        for pool_name, pool in self.pools.items():
            address = pool.remove(name)
            if address is not None:
                self.rollouts.keep_versions(pool_name, pool.list_versions())
                # The address may be reassigned to another service, so that no
                # connection to it may be reused.
                self._attempts.close_idle(address)

    def _report_limit(self, upstream, rate, was):
        """Log an upstream's new or removed limit and report it to other instances."""
        log_event("upstream limit", upstream=upstream, rate=rate, was=was)
        self.on_credit_needed()

    def record_announcement(self, registration, now):
        """Handle an upstream's answer that announces the upstream's end."""
        if self.cfg.routes:
            # Upstreams from a routes file keep their names over restarts.
            self.record_pause(registration, REUSED_NAME_PAUSE, now)
            return
        process = get_process(registration)
        is_new = self.record_leaving(process, now)
        # Otherwise the store tells the other instances too.
        if is_new and not registration.leaving:
            self.on_upstream_leaving(process)

    def record_leaving(self, process, now, reported_by=""):
        """Send no new requests to a ProcessId; return whether that is new.

        ``reported_by`` names the instance that passed the announcement on.
        """
        if not self.leaving_upstreams.add(process, now):
            return False
        log_event("upstream leaving", upstream=process.name, reported_by=reported_by)
        registration = self.registry.mark_leaving(process)
        if registration is not None:
            self.get_or_create_pool(registration.pool).put_upstream(registration)
            self.mover.handle_leaving(registration, now)
        self._attempts.withdraw_unsent(process)
        return True

    def record_pause(self, registration, seconds, now):
        """Send nothing to an upstream for the time that it asked for."""
        process = get_process(registration)
        if not self.pauses.is_paused(process, now):
            log_event("upstream paused", upstream=process.name, seconds=seconds)
        self.pauses.add(process, seconds, now)
        self._attempts.withdraw_unsent(process)

    def may_fetch_from(self, registration, now):
        """Return whether engines may fetch prompt parts from this upstream.

        A fetch is work for its source, which may have asked this instance for a pause.
        One that announced its end may be gone, and its address in use by another.
        """
        process = get_process(registration)
        if self.pauses.is_paused(process, now):
            return False
        return not self.leaving_upstreams.is_overdue(process, self.cfg.leave_bound, now)

    def get_or_create_pool(self, name):
        """Return the balancer of a pool."""
        pool = self.pools.get(name)
        if pool is None:
            pool = PoolBalancer(self.cfg.plain_pool, self.cfg.data_centre, self._rng)
            self.pools[name] = pool
        return pool

    def _check_head(self, req):
        """Raise the reason for refusing a request whose body isn't received yet."""
        self._path.check_head(req)

    def _on_request(self, exchange):
        now = read_boottime()
        try:
            relay = self._path.read(exchange, now)
            if self.resumptions.find_origin(relay, now):
                self._path.start(relay, now)
        except ChervilwingError as exc:
            self._log_and_refuse(exchange, exc)
            return
        exchange.tag = relay
        self.relays.add(relay)

    def refuse_unsent(self, exc):
        """Refuse the requests that wait and that no upstream has received."""
        for relay in list(self.relays):
            self._attempts.give_up_unsent(relay, exc)

    def resume_stream(self, relay, origin, now):
        """Go on with a caller's stream, of which ``origin`` is None if unknown."""
        if relay.ended:
            return
        try:
            self.resumptions.bind(relay, origin)
            self._path.start(relay, now)
        except ChervilwingError as exc:
            self._refuse_waiting(relay, exc)

    def _log_and_refuse(self, exchange, exc):
        log_request(describe_refusal(exchange.req, exc, self._get_document_version()))
        self.refuse(exchange, exc)

    def record_answer(self, relay, failed):
        """Record the first byte or failure of an answer for the version's roll-out."""
        pool, version = (
            relay.pool.spec.name,
            relay.upstream_state.registration.version,
        )
        if not self.rollouts.is_in_trial(pool):
            return
        elapsed = read_boottime() - relay.sent_at
        slow = elapsed > relay.estimate.seconds * SLOW_FACTOR + SLOW_MARGIN
        self.rollouts.record_answer(pool, version, relay.route.name, failed or slow)

    def _refuse_waiting(self, relay, exc):
        """Refuse a waiting request that was not sent to any upstream."""
        relay.ended = True
        self._path.forget(relay)
        self.relays.discard(relay)
        self._log_and_refuse(relay.exchange, exc)
        relay.exchange.discard_body()

    def _get_document_version(self):
        return self.table.document.version if self.table else 0

    def refuse(self, exchange, exc):
        """Answer with an error and a Retry-After that is randomised per caller."""
        headers = {}
        if exc.retry_after is not None:
            seconds = exc.retry_after * self._rng.uniform(*exc.retry_jitter)
            headers["Retry-After"] = self._dialect.format_retry_after(seconds)
        exchange.answer_problem(exc, headers)

    def _on_caller_left(self, exchange):
        """Cancel the request of a caller that has disconnected."""
        relay = exchange.tag
        if relay is None or relay.ended:
            return
        if relay.call is not None:
            self.crash_detection.handle_caller_left(relay, read_boottime())
            self._attempts.end_attempt(relay, failed=None, cancel=True)
        self.close(relay, "caller_left", 0)

    @handler("tick", channel="*")
    def _on_tick(self):
        """Retry requests that wait for credit; end those past their deadline."""
        now = read_boottime()
        self._log_rejected(now)
        self._log_slow(now)
        self.detours.end_broken(now)
        self.retry_waiting_requests(now)
        self.admissions.run(self.pools, now)
        self._log_overload(now)
        self.mover.advance(now)
        for relay in list(self.relays):
            if now >= relay.deadline:
                self._expire(relay)
            elif relay.pool.paces.is_active(now):
                self._attempts.leave_slow(relay, now)

    def _log_rejected(self, now):
        count = self.intake.rejected - self._logged_rejected
        if count and now >= self._log_rejected_at:
            self._log_rejected_at = now + LOG_INTERVAL
            self._logged_rejected += count
            log_event("connections rejected", count=count)

    def _log_slow(self, now):
        if now < self._log_slow_at:
            return
        self._log_slow_at = now + LOG_INTERVAL
        for name, pool in self.pools.items():
            for change in pool.paces.list_changes(now):
                log_event("upstream pace", pool=name, **change._asdict())

    def _log_overload(self, now):
        for pool, admission in self.admissions.update_overload(now):
            counts = admission.count_recent()
            active = admission.overload.active
            log_event("pool overload", pool=pool, active=active, **counts)

    def _expire(self, relay):
        sent = relay.call is not None and relay.call.conn.sent
        if relay.call is not None:
            blamed = relay.answer is None or relay.call.has_large_answer()
            blamed = sent and blamed and not self.paths.is_doubtful(read_boottime())
            failed = True if blamed and relay.call.conn.tunnel is None else None
            self.crash_detection.handle_caller_left(relay, read_boottime())
            self._attempts.end_attempt(relay, failed, cancel=True)
        relay.may_have_run = relay.may_have_run or bool(sent)
        self._attempts.give_up(relay, DeadlinePassed())

    def close(self, relay, outcome, status, cause=""):
        """Record the end of a request in metrics and log."""
        relay.ended = True
        self._path.forget(relay)
        self.relays.discard(relay)
        now = read_boottime()
        self.mover.handle_relay_ended(relay, now)
        series = self.stats.select(
            relay.organisation_name or OPEN_LABEL, relay.route.name
        )
        series.record_outcome(outcome, cause)
        series.record_answer(now - relay.received_at)
        if relay.attempts:
            self._longest.record(relay.route.name, now - relay.sent_at, now)
        if relay.first_byte_at is not None:
            series.record_first_token(relay.first_byte_at - relay.received_at)
        version = self.table.document.version
        log_request(describe_relay(relay, outcome, status, cause, version, now))
        # Crash detection keeps ended requests for some time.
        relay.exchange.discard_body()
