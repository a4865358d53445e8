"""The gateway: callers' requests by route to the upstreams of a pool."""

import random

from circuits.core import BaseComponent, handler

from .allowances import Allowances
from .attempts import RETURN_WAIT, Attempts
from .balancing import PoolBalance
from .clocks import STARTED_AT, read_boottime
from .crash_watch import CrashWatch
from .crashes import CrashRecords
from .exceptions import (
    ChervilwingError,
    DeadlinePassed,
    NoConfiguration,
    NotReady,
    NoUpstream,
    PoolFull,
    PoolLimited,
    Scope,
    StaleKeys,
)
from .logs import log_event, log_request
from .placers import PlacingHooks
from .registrations import Registry
from .relays import Relay, describe_refusal, describe_relay
from .retry_shares import RetryShares
from .rollouts import Rollouts
from .routing import RoutingTable, pick_target
from .stats import Stats
from .upstream_limits import UpstreamLimits
from .web import Web, WebHandlers, WebOptions

# Spread of the times to come back: with one figure for all, everyone returns at once.
RETURN_SPREAD = (0.5, 1.5)
# Seconds until a caller that met a stopping instance may try another one.
STOP_WAIT = 0.1
# An estimate errs by about a quarter; beyond this part of what is left it is hopeless.
HOPELESS_PART = 0.9
# Seconds that a request waits for its customer's credit at most, and part of its
# latency target: those who grant it answer in some milliseconds, through two of them.
CREDIT_WAIT = 0.15
CREDIT_PART = 0.125
# Times its estimate, and seconds beside, after which an answer's beginning is slow: a
# bad version may answer several times slower.
SLOW_TIMES = 3.0
SLOW_MORE = 0.1
# Name under which requests of open routes are counted; no organisation can have it.
OPEN = "(open)"


class Limits:
    """The limits on callers in force, read by the web side at each use."""

    def __init__(self, limits):
        self.set(limits)

    def set(self, limits):
        """Put other limits in force."""
        self.head_limit = limits.head_bytes
        self.body_limit = limits.body_bytes
        self.head_timeout = limits.head_timeout
        self.idle_timeout = limits.idle_timeout


class Gateway(BaseComponent):
    """Own the requests between callers and registered upstreams.

    ``knows_keys`` tells whether what is known of keys is fresh enough to honour them.
    """

    channel = "gateway"

    def __init__(self, cfg, poller, client, dialect, knows_keys):
        super().__init__()
        self.cfg = cfg
        self.table = None
        self.registry = Registry()
        self.allowances = Allowances(cfg.name, cfg.incarnation, STARTED_AT)
        # Called when a request has to wait for credit.
        self.on_lacking = lambda: None
        self._waiting = []
        self.placing = PlacingHooks()
        self.rollouts = Rollouts()
        self.crashes = CrashRecords(cfg.name)
        self.upstream_limits = UpstreamLimits(self.allowances, self._note_limit)
        self.retries = RetryShares(self)
        self.relays = set()
        self.pools = {}
        self.stats = Stats(cfg.stats_pairs)
        self.limits = Limits(cfg.limits)
        self.on_run = lambda organisation, seconds_ago: None
        # Returns since when registrations are known as of late without a break.
        self.registrations_since = lambda: float("inf")
        self.draining = False
        self.crash_watch = CrashWatch(poller, self, client).register(self)
        self._attempts = Attempts(self, client, dialect)
        self._dialect = dialect
        self._knows_keys = knows_keys
        self._rng = random.Random()
        handlers = WebHandlers(self._requested, self._left)
        options = WebOptions(chunked=True, half_open=False)
        self.web = Web(self.limits, poller, handlers, "callers", options).register(self)

    def configure(self, document):
        """Put a routing document in force, unless a newer one is."""
        if self.table is not None and document.version <= self.table.document.version:
            return False
        self.table = RoutingTable(document)
        self.limits.set(document.limits)
        self.allowances.configure(document.organisations, read_boottime())
        for name, traits in self.table.pools.items():
            self._find_pool(name).traits = traits
        return True

    def put_upstream(self, registration):
        """Take a new or changed upstream."""
        before = self.registry.put(registration)
        if before is not None:
            self.crash_watch.note_restarted(before, read_boottime())
            self.upstream_limits.note_restarted(registration.name, read_boottime())
            self._forget_upstream(registration.name)
        self.rollouts.note_version(
            registration.pool, registration.version, read_boottime()
        )
        self._find_pool(registration.pool).put(registration)

    def remove_upstream(self, name, regained_at):
        """Take note that an upstream's registration is gone.

        ``regained_at`` is when the store was last there again.
        """
        if self.registry.remove(name, read_boottime(), regained_at):
            self._lose_upstream(name)

    def drop_upstream(self, name):
        """Forget an upstream at once."""
        self.registry.drop(name)
        self._lose_upstream(name)

    def expire_upstreams(self):
        """Forget upstreams whose registrations didn't come back."""
        for name in self.registry.expire(read_boottime()):
            self._lose_upstream(name)

    def _lose_upstream(self, name):
        for pool in self.pools.values():
            station = pool.stations.get(name)
            if station is not None:
                self.crash_watch.note_gone(station.registration, read_boottime())
        self._forget_upstream(name)

    def _forget_upstream(self, name):
        for pool in self.pools.values():
            address = pool.remove(name)
            if address is not None:
                # The address may soon be another's; nothing of ours stays open.
                self._attempts.retire(address)

    def _note_limit(self, upstream, rate, was):
        """Tell others that an upstream names another limit, or none any more."""
        log_event("upstream limit", upstream=upstream, rate=rate, was=was)
        self.on_lacking()

    def _find_pool(self, name):
        pool = self.pools.get(name)
        if pool is None:
            pool = PoolBalance(self.cfg.plain_pool, self.cfg.data_centre, self._rng)
            self.pools[name] = pool
        return pool

    def _requested(self, exchange):
        now = read_boottime()
        try:
            relay = self._admit(exchange, now)
            sent = self._start(relay, now)
        except ChervilwingError as exc:
            self._refuse_unsent(exchange, exc)
            return
        exchange.tag = relay
        self.relays.add(relay)
        if not sent:
            self._waiting.append(relay)
            self.allowances.wait(relay.organisation, relay.cost)
            self.on_lacking()

    def _refuse_unsent(self, exchange, exc):
        log_request(describe_refusal(exchange.req, exc, self._read_version()))
        self.refuse(exchange, exc)

    def _admit(self, exchange, now):
        """Return the request, or raise why it may not be served."""
        req = exchange.req
        if self.draining:
            raise NotReady("This instance is stopping.", retry_after=STOP_WAIT)
        if self.table is None:
            raise NoConfiguration(retry_after=RETURN_WAIT)
        route = self.table.find_route(req.headers.get("host", ""), req.path)
        organisation = self._find_organisation(route, req)
        demand = self._dialect.read_demand(req, now, route.time_limit)
        pool = self._find_pool(pick_target(route, self._rng.random()))
        relay = Relay(exchange, route, organisation, pool, demand, now)
        relay.cost = self._dialect.cost(demand, organisation)
        relay.drawn = self._rng.random()
        self.crashes.check(relay.fingerprint, now)
        return relay

    def _start(self, relay, now):
        """Place a request, or tell that the credit for it isn't here yet."""
        if not self.allowances.charge(relay.organisation, relay.cost, now):
            return False
        relay.charged_at = now
        if not self.placing.ask(relay, now):
            self._send(relay, self.choose(relay, now), now)
        return True

    def choose(self, relay, now):
        """Return the best upstream by what is known here, or None without one."""
        origin = self.placing.read_origin()
        exhausted = self.upstream_limits.list_exhausted(relay.pool.stations, now)
        if origin is not None and origin.placer:
            self.upstream_limits.seek(exhausted, now)
        excluded = exhausted | self.list_excluded(relay, now)
        return relay.pool.choose(relay.demand, excluded, now, origin)

    def permit_send(self, relay, found, now):
        """Raise unless a request may be sent to what was found for it.

        Each send of a request comes through here. The upstream's own limit is looked at
        last, as its credit is spent with that.
        """
        self.crashes.check(relay.fingerprint, now)
        if found is None:
            raise self._explain_none(relay.pool)
        station, estimate = found
        if relay.station is None:
            self._check_room(relay, estimate, now)
        if estimate.charged:
            return
        if not self.upstream_limits.charge(station.registration.name, now):
            raise self._explain_none(relay.pool)

    def _explain_none(self, pool):
        """Return the refusal where no upstream takes a request."""
        scope = Scope("pool", pool.traits.name)
        wait = self.upstream_limits.measure_wait(pool.stations)
        if wait is None:
            return NoUpstream(scope=scope, retry_after=RETURN_WAIT)
        return PoolLimited(scope=scope, retry_after=wait)

    def list_excluded(self, relay, now):
        """Return the names of the upstreams to which a request may not go."""
        drawn = None if relay.attempts else relay.drawn
        pool = relay.pool
        name = pool.traits.name
        excluded = self.rollouts.list_excluded(name, pool.stations, drawn, now)
        return excluded | relay.tried if excluded else relay.tried

    def note_answer(self, relay, failed):
        """Count an answer that begins, or fails, as evidence of a version."""
        pool, version = relay.pool.traits.name, relay.station.registration.version
        if not self.rollouts.is_watched(pool):
            return
        took = read_boottime() - relay.sent_at
        slow = took > relay.estimate.seconds * SLOW_TIMES + SLOW_MORE
        self.rollouts.note_answer(pool, version, relay.route.name, failed or slow)

    def place_alone(self, relay, now):
        """Send a request to the upstream that is best by what is known here."""
        self.place(relay, self.choose(relay, now), now)

    def place(self, relay, found, now):
        """Send a request that waited to the upstream found for it, or refuse it."""
        try:
            self._send(relay, found, now)
        except ChervilwingError as exc:
            self._drop(relay, exc)

    def _drop(self, relay, exc):
        """Refuse a request that waited and was sent nowhere."""
        relay.over = True
        self.relays.discard(relay)
        self._refuse_unsent(relay.exchange, exc)

    def _send(self, relay, found, now):
        """Send a request; refuse at once what can't be done, if it was never sent."""
        if relay.station is not None:
            self._attempts.send_again(relay, found)
            return
        try:
            self.permit_send(relay, found, now)
        except ChervilwingError:
            self.placing.note_ended(relay, None)
            self.refund(relay, now)
            raise
        relay.pool.ask(relay.demand, found[1])
        self.retries.note_first(relay.pool.traits.name)
        self._attempts.send(relay, found)

    def refund(self, relay, now):
        """Give back what a request was charged that has not run."""
        if relay.charged_at is not None:
            self.allowances.refund(
                relay.organisation, relay.cost, now - relay.charged_at
            )

    def resume_waiting(self, now):
        """Send the requests whose credit has come; refuse those that waited long."""
        waiting, self._waiting = self._waiting, []
        for relay in waiting:
            try:
                if not relay.over and not self._start(relay, now):
                    self._keep_waiting(relay, now)
                    continue
            except ChervilwingError as exc:
                self._drop(relay, exc)
            self.allowances.stop_waiting(relay.organisation, relay.cost)

    def _keep_waiting(self, relay, now):
        """Leave a request waiting for credit, or raise CustomerLimit."""
        wait = min(CREDIT_WAIT, relay.route.latency_target * CREDIT_PART)
        if now - relay.received_at >= wait:
            raise self.allowances.refuse(relay.organisation, relay.cost)
        self._waiting.append(relay)

    def _read_version(self):
        return self.table.document.version if self.table else 0

    def _find_organisation(self, route, req):
        """Return whose key the request has, if what is known of keys is fresh.

        Guard: an instance that is cut off from the store doesn't learn that a key was
        taken away and would go on to honour it. Nor does it know a key that was just
        given: it refuses for now and doesn't say that the key is unknown.
        """
        if not route.open and not self._knows_keys():
            raise StaleKeys(retry_after=RETURN_WAIT)
        return self.table.find_organisation(route, req.headers.get("authorization", ""))

    def _check_room(self, relay, estimate, now):
        """Refuse at once what no upstream can do in time."""
        scope = Scope("pool", relay.pool.traits.name)
        seconds = estimate.seconds
        hopeless = seconds > (relay.ends_at - now) * HOPELESS_PART
        shortest = self.table.shortest.get(scope.name, float("inf"))
        if hopeless or relay.pool.is_crowded(estimate, shortest):
            relay.pool.ask(relay.demand, estimate)
            raise PoolFull(scope=scope, retry_after=min(seconds, RETURN_WAIT * 4))

    def refuse(self, exchange, exc):
        """Answer with a failure and a time to come back, spread over callers."""
        headers = {}
        if exc.retry_after is not None:
            seconds = exc.retry_after * self._rng.uniform(*RETURN_SPREAD)
            headers["Retry-After"] = self._dialect.write_return(seconds)
        exchange.refuse(exc, headers)

    def _left(self, exchange):
        """End the work of a caller that has left."""
        relay = exchange.tag
        if relay is None or relay.over:
            return
        if relay.call is not None:
            self.crash_watch.note_left(relay, read_boottime())
            self._attempts.end_attempt(relay, failed=None, cancel=True)
        self.close(relay, "caller_left", 0)

    @handler("tick", channel="*")
    def _on_tick(self):
        """End what has used up its time."""
        now = read_boottime()
        self.resume_waiting(now)
        for relay in list(self.relays):
            if now >= relay.ends_at:
                self._expire(relay)

    def _expire(self, relay):
        sent = relay.call is not None and relay.call.conn.sent
        if relay.call is not None:
            failed = True if sent and relay.answer is None else None
            self.crash_watch.note_left(relay, read_boottime())
            self._attempts.end_attempt(relay, failed, cancel=True)
        relay.may_have_run = relay.may_have_run or bool(sent)
        self._attempts.give_up(relay, DeadlinePassed())

    def close(self, relay, outcome, status, cause=""):
        """Take note that a request is over."""
        relay.over = True
        self.relays.discard(relay)
        now = read_boottime()
        series = self.stats.select(relay.name or OPEN, relay.route.name)
        series.record_outcome(outcome, cause)
        series.record_answer(now - relay.received_at)
        if relay.started_at is not None:
            series.record_first_token(relay.started_at - relay.received_at)
        version = self.table.document.version
        log_request(describe_relay(relay, outcome, status, cause, version, now))
