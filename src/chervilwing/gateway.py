"""The gateway: callers' requests by route to the upstreams of a pool."""

import random
from functools import partial

from circuits.core import BaseComponent, handler

from .allowances import Allowances
from .balancing import PoolBalance
from .clocks import read_boottime
from .connections import Call, CallHandlers
from .dialects import HOP_BY_HOP, Errand
from .exceptions import (
    NOT_RUN,
    ChervilwingError,
    DeadlinePassed,
    NoConfiguration,
    NoUpstream,
    PoolFull,
    Scope,
    StaleKeys,
    UpstreamFailed,
)
from .logs import RequestLine, log_request
from .registrations import Registry
from .relays import Relay
from .retry_shares import RetryShares
from .routing import STREAM, RoutingTable, pick_target
from .stats import Stats
from .web import Web, WebHandlers, WebOptions

EVENT_STREAM = "text/event-stream"
HTTP_OK = 200
SERVER_ERROR = 500
# Seconds until a refused caller may come back: while no configuration or no upstream is
# known, an instance that starts needs about that long to learn them.
START_WAIT = 0.5
# Spread of the times to come back: with one figure for all, everyone returns at once.
RETURN_SPREAD = (0.5, 1.5)
# Seconds that a connection may take to open before another upstream is tried. Links
# between data centres take 1.5 ms; a lost packet is sent again after one second.
CONNECT_TIMEOUT = 0.6
# Seconds that a kept connection to an upstream may have been unused. A call that meets
# the upstream's close can't be told from one that ran, so those that may not be
# repeated take only connections that were used a moment ago.
IDLE_FOR_REPEATABLE = 8.0
IDLE_FOR_OTHERS = 1.0
# Statuses that promise callers that the request has not run and never will.
PROMISES = (429, 503)
# Upstreams that are tried for one request at most, those that can't be reached
# included. Load: a data centre is cut off. Harm: each costs CONNECT_TIMEOUT.
MOST_TRIED = 4
# An estimate errs by about a quarter; beyond this part of what is left it is hopeless.
HOPELESS_PART = 0.9


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
        self.allowances = Allowances()
        self.retries = RetryShares(self)
        self.relays = set()
        self.pools = {}
        self.stats = Stats(cfg.stats_pairs)
        self.limits = Limits(cfg.limits)
        self.on_run = lambda organisation, seconds_ago: None
        self.draining = False
        self._client = client
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
        self.registry.put(registration)
        self._find_pool(registration.pool).put(registration)

    def remove_upstream(self, name, regained_at):
        """Take note that an upstream's registration is gone.

        ``regained_at`` is when the store was last there again.
        """
        if self.registry.remove(name, read_boottime(), regained_at):
            self._forget_upstream(name)

    def expire_upstreams(self):
        """Forget upstreams whose registrations didn't come back."""
        for name in self.registry.expire(read_boottime()):
            self._forget_upstream(name)

    def _forget_upstream(self, name):
        for pool in self.pools.values():
            pool.remove(name)

    def _find_pool(self, name):
        pool = self.pools.get(name)
        if pool is None:
            pool = PoolBalance(self.cfg.plain_pool, self.cfg.data_centre, self._rng)
            self.pools[name] = pool
        return pool

    def _requested(self, exchange):
        try:
            relay = self._admit(exchange, read_boottime())
        except ChervilwingError as exc:
            self._log_refusal(exchange, exc)
            self._refuse(exchange, exc)
            return
        exchange.tag = relay
        self.relays.add(relay)
        self._send(relay)

    def _admit(self, exchange, now):
        """Return the request with all that is known of it, or raise why not."""
        req = exchange.req
        if self.draining:
            raise NoUpstream("This instance is stopping.", retry_after=0.1)
        if self.table is None:
            raise NoConfiguration(retry_after=START_WAIT)
        route = self.table.find_route(req.headers.get("host", ""), req.path)
        organisation = self._find_organisation(route, req)
        demand = self._dialect.read_demand(req, now, route.time_limit)
        pool = self._find_pool(pick_target(route, self._rng.random()))
        relay = Relay(exchange, route, organisation, pool, demand, now)
        self._check_room(relay, now)
        relay.charged = self._dialect.cost(demand, organisation)
        self.allowances.charge(organisation, relay.charged, now)
        self.retries.note_first(pool.traits.name)
        return relay

    def _find_organisation(self, route, req):
        """Return whose key the request has, if what is known of keys is fresh.

        Guard: an instance that is cut off from the store doesn't learn that a key was
        taken away and would go on to honour it. Nor does it know a key that was just
        given: it refuses for now and doesn't say that the key is unknown.
        """
        if not route.open and not self._knows_keys():
            raise StaleKeys(retry_after=START_WAIT)
        return self.table.find_organisation(route, req.headers.get("authorization", ""))

    def _check_room(self, relay, now):
        """Refuse at once what no upstream can do in time."""
        found = relay.pool.choose(relay.demand, relay.tried, now)
        scope = Scope("pool", relay.pool.traits.name)
        if found is None:
            raise NoUpstream(scope=scope, retry_after=START_WAIT)
        seconds = found[1].seconds
        if seconds > (relay.ends_at - now) * HOPELESS_PART:
            raise PoolFull(scope=scope, retry_after=min(seconds, START_WAIT * 4))

    def _send(self, relay):
        now = read_boottime()
        found = relay.pool.choose(relay.demand, relay.tried, now)
        if found is None:
            self._give_up(relay, NoUpstream(retry_after=START_WAIT))
            return
        station, estimate = found
        relay.station = station
        relay.attempts += 1
        relay.tried.add(station.registration.name)
        relay.sent_at = now
        relay.answer = None
        relay.take_held()
        relay.pool.send(station, relay.demand, estimate, now)
        if relay.attempts > 1:
            self.retries.note_retry(relay.pool.traits.name)
        handlers = CallHandlers(
            head=partial(self._head, relay),
            data=partial(self._data, relay),
            done=partial(self._done, relay),
            failed=partial(self._failed, relay),
        )
        relay.call = self._client.submit(self._make_call(relay, now), handlers)

    def _make_call(self, relay, now):
        req = relay.exchange.req
        route = relay.route
        errand = Errand(
            relay.station.registration.name,
            relay.name,
            relay.ends_at - now,
            relay.priority,
            relay.events.last_id if relay.events else "",
        )
        idle_limit = IDLE_FOR_REPEATABLE if route.repeatable else IDLE_FOR_OTHERS
        return Call(
            relay.station.registration.address,
            req.method,
            req.target,
            self._dialect.write_headers(relay.headers, errand),
            req.body,
            connect_timeout=CONNECT_TIMEOUT,
            silence_timeout=float("inf"),
            probed=False,
            host=relay.headers.get("host", ""),
            idle_limit=idle_limit,
            expects=lambda head: self._dialect.is_for(head, relay.demand.request_id),
            until_close=True,
        )

    def _head(self, relay, status, headers):
        relay.answer = (status, headers)
        verdict = self._dialect.judge(status, headers)
        if verdict.not_run:
            self._retry_unrun(relay)
            return
        if not verdict.sound:
            self._break_off(relay, "The answer is not the upstream's own.")
            return
        streams = headers.get("content-type", "").startswith(EVENT_STREAM)
        if status == HTTP_OK and streams and not relay.exchange.started:
            relay.exchange.on_drain = partial(self._drained, relay)
            relay.exchange.relay_head(status, self._pass_headers(headers), None)

    def _retry_unrun(self, relay):
        """Go elsewhere with a request that this upstream has not run."""
        self._end_attempt(relay, failed=True, cancel=True)
        if self._may_retry(relay):
            self._send(relay)
            return
        self._give_up(relay, PoolFull(retry_after=START_WAIT))

    def _may_retry(self, relay):
        now = read_boottime()
        if relay.over or relay.attempts >= relay.route.attempts:
            return False
        if len(relay.tried) >= MOST_TRIED:
            return False
        if relay.ends_at - now < CONNECT_TIMEOUT / 2:
            return False
        if not relay.pool.list_open(relay.tried):
            return False
        # An upstream that nothing reached costs the pool nothing.
        return not relay.attempts or self.retries.may_retry(relay.pool.traits.name)

    def _data(self, relay, data):
        self._note_run(relay)
        status, headers = relay.answer
        if status == HTTP_OK and relay.exchange.started:
            self._pass_on(relay, data)
        elif not relay.hold(data):
            self._begin_long(relay)

    def _pass_on(self, relay, data):
        if relay.events is not None:
            data = relay.events.feed(data)
        relay.exchange.write(data)
        if relay.exchange.congested and relay.call is not None:
            self._client.pause(relay.call)

    def _drained(self, relay):
        if relay.call is not None:
            self._client.resume(relay.call)

    def _begin_long(self, relay):
        """Pass on what is too large to be held."""
        status, headers = relay.answer
        length = headers.get("content-length")
        relay.exchange.on_drain = partial(self._drained, relay)
        relay.exchange.relay_head(
            status, self._pass_headers(headers), None if length is None else int(length)
        )
        relay.exchange.write(relay.take_held())

    def _note_run(self, relay):
        if relay.started_at is None:
            relay.started_at = read_boottime()
        relay.pool.start(relay.station, relay.demand, read_boottime())
        self._count_run(relay)

    def _count_run(self, relay):
        """Count the request once, at the time when it began to run."""
        if relay.counted or not relay.name:
            return
        relay.counted = True
        now = read_boottime()
        began = now if relay.route.kind == STREAM else relay.sent_at
        self.on_run(relay.name, now - began)

    def _done(self, relay):
        status, headers = relay.answer
        self._note_run(relay)
        failed = status >= SERVER_ERROR
        if relay.events is not None and relay.events.inside:
            self._break_off(relay, "The stream ended in the middle of an event.")
            return
        self._end_attempt(relay, failed)
        if failed and relay.route.repeatable and not relay.exchange.started:
            relay.may_have_run = True
            if self._may_retry(relay):
                relay.fallback = (status, headers, relay.take_held())
                self._send(relay)
                return
        self._finish(relay, status, headers)

    def _finish(self, relay, status, headers):
        exchange = relay.exchange
        body = relay.take_held()
        if not exchange.started:
            exchange.relay_head(status, self._pass_headers(headers), len(body))
        exchange.finish(body)
        self._close(relay, "ok" if status < SERVER_ERROR else "upstream_error", status)

    def _pass_headers(self, headers):
        return {k: v for k, v in headers.items() if k not in HOP_BY_HOP}

    def _failed(self, relay, exc):
        """Decide after an attempt that broke off."""
        if exc.outcome == NOT_RUN:
            # No byte left: this was no attempt, and the route's bound isn't touched.
            relay.attempts -= 1
        else:
            relay.may_have_run = True
            self._count_run(relay)
        self._end_attempt(relay, failed=True)
        if relay.over:
            return
        if not relay.route.repeatable and relay.may_have_run:
            self._give_up(relay, exc)
            return
        if relay.exchange.started and relay.events is None:
            self._give_up(relay, exc)
            return
        if relay.events is not None:
            relay.events.restart()
        if self._may_retry(relay):
            self._send(relay)
            return
        self._give_up(relay, exc)

    def _break_off(self, relay, detail):
        self._client.cancel(relay.call)
        self._failed(relay, UpstreamFailed(detail))

    def _end_attempt(self, relay, failed, cancel=False):
        if relay.station is not None:
            now = read_boottime()
            relay.pool.end(relay.station, relay.demand, failed, now)
        if cancel:
            self._client.cancel(relay.call)
        relay.call = None

    def _give_up(self, relay, exc):
        """Answer with a failure that says truly whether the request ran."""
        if relay.fallback is not None and not relay.exchange.started:
            status, headers, body = relay.fallback
            relay.take_held()
            relay.hold(body)
            self._finish(relay, status, headers)
            return
        if relay.may_have_run and exc.outcome == NOT_RUN:
            exc = UpstreamFailed("An attempt broke off and may have run.")
        elif not relay.may_have_run:
            self.allowances.refund(relay.organisation, relay.charged)
            if exc.status not in PROMISES:
                # Guard: after another status callers may not try again what may run
                # only once, although here nothing ran.
                exc = NoUpstream(exc.detail, retry_after=START_WAIT)
        self._refuse(relay.exchange, exc)
        self._close(relay, exc.outcome, exc.status, exc.type)

    def _refuse(self, exchange, exc):
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
            self._end_attempt(relay, failed=None, cancel=True)
        self._close(relay, "caller_left", 0)

    def _close(self, relay, outcome, status, cause=""):
        relay.over = True
        self.relays.discard(relay)
        now = read_boottime()
        series = self.stats.select(relay.name or "(open)", relay.route.name)
        series.record_outcome(outcome, cause)
        series.record_answer(now - relay.received_at)
        if relay.started_at is not None:
            series.record_first_token(relay.started_at - relay.received_at)
        upstream = relay.station.registration.name if relay.station else ""
        log_request(
            RequestLine(
                request=relay.demand.request_id,
                customer=relay.name,
                work_class=relay.route.name,
                upstream=upstream,
                tries=relay.attempts,
                tokens=0,
                recomputed=0,
                outcome=outcome,
                cause=cause,
                status=status,
                seconds=round(now - relay.received_at, 4),
            )
        )

    def _log_refusal(self, exchange, exc):
        headers = exchange.req.headers
        log_request(
            RequestLine(
                request=headers.get("x-request-id", ""),
                customer="",
                work_class=f"{headers.get('host', '')}{exchange.req.path}",
                upstream="",
                tries=0,
                tokens=0,
                recomputed=0,
                outcome=exc.outcome,
                cause=exc.type,
                status=exc.status,
            )
        )

    @handler("tick", channel="*")
    def _on_tick(self):
        """End what has used up its time."""
        now = read_boottime()
        for relay in list(self.relays):
            if now >= relay.ends_at:
                self._expire(relay)

    def _expire(self, relay):
        sent = relay.call is not None and relay.call.conn.sent
        if relay.call is not None:
            self._end_attempt(relay, failed=None, cancel=True)
        relay.may_have_run = relay.may_have_run or bool(sent)
        if sent and relay.answer is None:
            relay.pool.end(relay.station, relay.demand, True, now=read_boottime())
        self._give_up(relay, DeadlinePassed())
