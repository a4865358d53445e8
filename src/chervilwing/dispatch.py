"""Process requests: find customer and target, queue, place on an upstream, answer."""

import random
import time
import uuid
from urllib.parse import quote, unquote

from circuits.core import BaseComponent, handler

from . import completions, retries
from .caches import CacheBuffer
from .claimant import KEY_HEADER
from .completions import Completion
from .dialects import PLAIN
from .directory import Directory
from .exceptions import (
    NOT_RUN,
    DeadlinePassed,
    NotFound,
    NotReady,
    NoUpstream,
    Scope,
)
from .exchanges import answer_failures
from .fingerprints import make_fingerprint
from .forwards import Forward
from .generations import Generation
from .handoffs import Key
from .logs import RequestLine, log_event, log_request
from .ranking import rank
from .requests import estimate_size, has_caller_id, read_request_id
from .scheduling import Scheduler, SchedulingSettings, Work
from .sessions import Session
from .stats import NO_CUSTOMER
from .upstream_pauses import REUSED_NAME_PAUSE
from .work import CANCELLED, LEAVING

SERVICES_PATH = "/services/"
ADMIN_PATH = "/-/"


class NoReconnects:
    """Stand in for Reconnects: requests end with their callers' connections."""

    def detach(self, session):
        """Return False: the request does not outlive its caller's connection."""
        return False

    def end(self, session):
        """Do nothing."""


class Dispatcher(BaseComponent):
    """Own the requests in flight, from the caller to the upstream."""

    channel = "dispatch"

    def __init__(self, cfg, client, stats, rng=None):
        super().__init__()
        self.cfg = cfg
        self.client = client
        self.stats = stats
        settings = SchedulingSettings(cfg.data_centre, entries=1)
        self.scheduler = Scheduler(settings, rng or random.Random())
        self.configuration = None
        self.listed = {}
        self.directory: Directory | None = None
        self.sessions: dict[str, Session] = {}
        self.caches = CacheBuffer()
        self.draining = False
        self.claimant = None
        self.reconnects = NoReconnects()
        self.leaving: dict[str, float] = {}
        self._serial = 0
        self._scheduler_running = False
        self._routes = {
            ("POST", "/v1/completions"): lambda exchange: self._complete(
                exchange, False
            ),
            ("POST", "/v1/chat/completions"): lambda ex: self._complete(ex, True),
            ("GET", "/v1/models"): self._list_models,
        }

    def configure(self, configuration):
        """Apply a revision of the configuration."""
        self.configuration = configuration
        self.directory = Directory(configuration)
        self.scheduler.configure(configuration)
        listed, self.listed = self.listed, {}
        self.update_listed(listed)

    def update_listed(self, rows):
        """Apply the instance list; ``rows`` maps upstream names to their entries."""
        if self.directory is None or rows == self.listed:
            return
        self.listed = rows
        upstreams = self.directory.add_instances(rows.values())
        self.scheduler.update_upstreams(upstreams)

    def handle_request(self, exchange):
        """Serve one request of a caller."""
        self.serve(self._serve, exchange)

    def serve(self, func, exchange):
        """Call ``func`` on the exchange; answer with the error that it raises."""
        answer_failures(func, self._record_refusal)(exchange)
        self.run_scheduler()

    def handle_disconnect(self, exchange):
        """Stop the work for a caller that has closed its connection."""
        if exchange.tag is not None:
            exchange.tag.leave()
            self.run_scheduler()

    def _record_refusal(self, exchange, exc):
        """Count and log a request that was refused before its target was known."""
        # Requests to the instance's own paths, such as a balancer's health checks, are
        # not counted as refusals of callers.
        if exchange.req.path.startswith(ADMIN_PATH):
            return
        self.stats.select(NO_CUSTOMER, NO_CUSTOMER).record_outcome(
            exc.outcome, exc.type
        )
        log_request(
            RequestLine(
                "",
                NO_CUSTOMER,
                NO_CUSTOMER,
                "",
                0,
                0,
                0,
                exc.outcome,
                exc.type,
                exc.status,
            )
        )

    def add_route(self, method, path, serve):
        """Route a method and path to the function ``serve``."""
        self._routes[(method, path)] = serve

    def run_scheduler(self):
        """Start requests that the scheduler has placed and refuse expired ones."""
        if self._scheduler_running:
            return
        self._scheduler_running = True
        try:
            self._run_scheduler_once()
        finally:
            self._scheduler_running = False

    def retry(self, session, exc, outcome):
        """Queue a request again after a failed attempt, or refuse it."""
        now = time.monotonic()
        name, rule = session.upstream.name, retries.RETRY_RULES[outcome]
        work = session.work._replace(tokens=session.tokens)
        refusal = self.scheduler.retry(work, name, outcome, now)
        if refusal is None:
            session.work = retries.with_counted_attempt(rule, work, name)
            self.run_scheduler()
            return
        # An attempt that may have run is reported with its own error. One that did not
        # run is reported with the scheduler's reason for the refusal.
        if rule.not_run:
            exc = refusal.exc
        exc.retry_after = refusal.exc.retry_after
        session.refuse(exc)

    def remove(self, session):
        """Remove a finished request from the scheduler and the caches."""
        self.sessions.pop(session.serial, None)
        self.caches.drop(session.serial)
        self.scheduler.withdraw(session.serial, time.monotonic())
        self.run_scheduler()

    def mark_leaving(self, name, deadline):
        """Send no new requests to an upstream; move those that can't finish in time.

        ``deadline`` is in Unix seconds, 0 when it is unknown.
        """
        until = time.monotonic() + max(0.0, deadline - time.time())
        current = self.leaving.get(name)
        if current is not None and (not deadline or current <= until):
            return
        self.leaving[name] = until if deadline else float("inf")
        self.scheduler.mark_leaving(name, time.monotonic())

    def record_answer_head(self, name, status, headers):
        """Pause an upstream whose answer asks for a pause or announces its end.

        Upstreams of the inventory keep their names over restarts, so that an
        announcement can't hold for good.
        """
        answer_status = PLAIN.read_answer_head(status, headers)
        leave_pause = REUSED_NAME_PAUSE if answer_status.leaving else 0.0
        seconds = max(leave_pause, answer_status.retry_after or 0.0)
        if not seconds:
            return
        now = time.monotonic()
        if not self.scheduler.is_paused(name, now):
            log_event("upstream paused", upstream=name, seconds=seconds)
        self.scheduler.pause(name, seconds, now)
        for session in list(self.sessions.values()):
            if session.upstream is not None and session.upstream.name == name:
                session.run.withdraw_unsent()

    def get_upstream_state(self, name):
        """Return an upstream's state as the status page shows it."""
        return LEAVING if name in self.leaving else "live"

    @handler("tick", channel="*")
    def _on_tick(self):
        now = time.monotonic()
        self._move_from_leaving(now)
        for session in list(self.sessions.values()):
            if now > session.deadline:
                self._expire_session(session)
        self.run_scheduler()

    def _move_from_leaving(self, now):
        for name, until in self.leaving.items():
            for request_id in self.scheduler.shift(name, until, now):
                session = self.sessions.get(request_id)
                if session is not None:
                    session.move()

    def _expire_session(self, session):
        may_have_run = session.may_have_run or session.run.running
        session.run.cancel()
        outcome = None if may_have_run else NOT_RUN
        session.refuse(DeadlinePassed(retry_after=1.0, outcome=outcome))

    def _run_scheduler_once(self):
        now = time.monotonic()
        for refusal in self.scheduler.expire(now):
            session = self.sessions.get(refusal.request_id)
            if session is not None:
                session.refuse(refusal.exc)
        placements = self.scheduler.dispatch(now)
        while placements:
            for placement in placements:
                self._place(placement)
            placements = self.scheduler.dispatch(now)

    def _place(self, placement):
        session = self.sessions.get(placement.request_id)
        upstream = self.directory.upstreams.get(placement.upstream)
        if session is not None and upstream is not None:
            session.place(upstream)
            return
        # An edit has just removed the upstream. Without this the request would occupy
        # a slot until its deadline.
        now = time.monotonic()
        name = placement.upstream
        self.scheduler.finish(placement.request_id, name, CANCELLED, None, 0.0, 0, now)
        if session is not None:
            scope = Scope("upstream", name)
            session.refuse(
                NoUpstream(f"{name} was removed.", scope=scope, retry_after=1.0)
            )

    def check_head(self, req):
        """Raise the reason for refusing a request whose body isn't received yet."""
        self._find_route(req)
        if not req.path.startswith(ADMIN_PATH):
            self._require_ready().find_customer(req.headers)

    def refuse(self, exchange, exc):
        """Record and answer a request that ``check_head`` or the web server refuses."""
        self._record_refusal(exchange, exc)
        exchange.answer_problem(exc)

    def _serve(self, exchange):
        self._find_route(exchange.req)(exchange)

    def _find_route(self, req):
        """Return the function that serves a request, or raise NotFound."""
        method = "GET" if req.method == "HEAD" else req.method
        serve = self._routes.get((method, req.path))
        if serve is not None:
            return serve
        if req.path.startswith(SERVICES_PATH):
            return self._forward
        raise NotFound(f"No route for {req.method} {req.path}.")

    def _require_ready(self):
        if self.directory is None:
            raise NotReady("No configuration is known yet.", retry_after=1.0)
        return self.directory

    def _list_models(self, exchange):
        directory = self._require_ready()
        customer = directory.find_customer(exchange.req.headers)
        models = [
            {"id": name, "object": "model", "owned_by": customer.name}
            for name in directory.list_models(customer)
        ]
        exchange.answer_json(200, {"object": "list", "data": models})

    def _complete(self, exchange, chat):
        directory = self._require_ready()
        customer = directory.find_customer(exchange.req.headers)
        completion = completions.read_completion(exchange.req.body, chat)
        target = directory.find_model(customer, completion.model)
        request_id = read_request_id(exchange.req.headers)
        key = Key(customer.name, request_id, make_fingerprint(exchange.req))

        def begin():
            self._generate(exchange, completion, target, key)

        if not has_caller_id(exchange) or not self.reconnects.resume(
            exchange, key, begin
        ):
            begin()

    def _generate(self, exchange, completion, target, key):
        customer = target.customer
        session = self._open(exchange, target, key.request_id)
        session.key, session.has_caller_id = key, has_caller_id(exchange)
        version = self.scheduler.choose_version(completion.model, customer.name)
        model = version or completion.model
        session.run = Generation(session, completion, model)
        self._offer(session, model=model, **estimate_size(completion))
        if session.has_caller_id and not session.closed:
            self.reconnects.admit(session)

    def adopt(self, state, exchange):
        """Continue a model request that another entry instance started."""
        directory = self._require_ready()
        customer = directory.get_customer(state.key.customer)
        target = directory.find_model(customer, state.model)
        session = self._open(exchange, target, state.key.request_id)
        session.key, session.has_caller_id = state.key, True
        session.began -= state.elapsed
        # It may already have run on the other instance.
        session.may_have_run = True
        fields = {name: getattr(state, name) for name in Completion._fields}
        completion = Completion(**fields)
        session.run = Generation(session, completion, state.version, state)
        session.tokens = len(state.tokens)
        session.last_token = time.monotonic() if state.tokens else None
        sizes = estimate_size(completion) | {"tokens": session.tokens}
        sizes["model"] = state.version
        session.work = self._make_work(session, **sizes)
        if state.complete:
            session.closed = True
            return session
        self.sessions[session.serial] = session
        session.cache_engine = state.upstream
        refusal = self._queue_accepted(session)
        if refusal is not None:
            del self.sessions[session.serial]
            raise refusal.exc
        return session

    def choose_cache_engine(self, session):
        """Return the engine that is to store a request's KV cache, or None.

        This is the engine that already has the cache, unless it is leaving or wants a
        pause.
        """
        names = rank(str(session.key), self.directory.list_pool(session.target.pool))
        now = time.monotonic()
        staying = [
            name
            for name in names
            if name not in self.leaving and not self.scheduler.is_paused(name, now)
        ]
        current = session.upstream
        if current is not None and current.name in staying:
            return current
        return self.directory.upstreams[staying[0]] if staying else None

    def requeue(self, session):
        """Queue a request again that no other entry instance has accepted."""
        refusal = self._queue_accepted(session)
        if refusal is not None:
            session.refuse(refusal.exc)
        self.run_scheduler()

    def withdraw(self, session):
        """Take a request out of the queue."""
        self.scheduler.withdraw(session.serial, time.monotonic())

    def _queue_accepted(self, session):
        """Queue an accepted request ahead of all new work; return a refusal or None."""
        cache_engine = session.cache_engine
        work = session.work._replace(tokens=session.tokens, cache_engine=cache_engine)
        session.work = retries.with_counted_attempt(
            retries.RETRY_RULES[LEAVING], work, ""
        )
        return self.scheduler.retry(work, "", LEAVING, time.monotonic())

    def _forward(self, exchange):
        directory = self._require_ready()
        req = exchange.req
        customer = directory.find_customer(req.headers)
        name, _, path = req.path[len(SERVICES_PATH) :].partition("/")
        path = "/" + path
        target = directory.find_service(customer, name, req.method, unquote(path))
        session = self._open(exchange, target, read_request_id(req.headers))
        path = quote(path, safe="/%~:@!$&'()*+,;=") + req.query_suffix
        session.run = Forward(session, path)
        if self.claimant is None or target.idempotent or KEY_HEADER not in req.headers:
            self._offer(session)
            return
        session.exchange.tag = session
        self.claimant.claim(session, self._offer)

    def _open(self, exchange, target, request_id):
        self._serial += 1
        serial = f"{self.cfg.name}-{self._serial}-{uuid.uuid4().hex[:8]}"
        return Session(self, exchange, request_id, serial, target)

    def _offer(self, session, **sizes):
        session.work = self._make_work(session, **sizes)
        self.sessions[session.serial] = session
        session.exchange.tag = session
        refusal = self.scheduler.offer(session.work, time.monotonic())
        if refusal is not None:
            refusal.exc.outcome = NOT_RUN
            session.refuse(refusal.exc)

    def _make_work(self, session, **sizes):
        target = session.target
        return Work(
            request_id=session.serial,
            customer=target.customer.name,
            work_class=target.work_class.name,
            kind=target.kind,
            pool=target.pool,
            target=target.name,
            deadline=session.began + target.work_class.deadline,
            idempotent=target.idempotent,
            **sizes,
        )
