"""The way of a request from its parsed head to an upstream, a queue or a refusal.

A request is read, charged to its organisation, admitted and sent. It waits for credit
at this instance, and for room in the queue of the placer or of this instance.
"""

import random
from functools import partial
from itertools import count

from ..exceptions import (
    RETRY_AFTER,
    ChervilwingError,
    NoConfiguration,
    PoolOverloaded,
    Scope,
    StaleKeys,
)
from ..planned_stops import make_stopping_error
from ..relays import Relay
from ..routing import pick_target
from .bands import find_band
from .credit_queue import CreditQueue
from .decisions import ADMIT, WAIT, AdmissionRequest, Refuse

# A request waits for its customer's credit at most this many seconds, and at most this
# part of its latency target. The instances that grant credit answer in milliseconds,
# also when a second instance has to be asked.
MAX_CREDIT_WAIT = 0.15
MAX_CREDIT_WAIT_PART = 0.125


class RequestPath:
    """Take requests from their parsed heads to an upstream, a queue or a refusal.

    ``refuse(relay, exc)`` answers a request that was not sent to any upstream, and
    ``attempts`` sends requests to upstreams.
    """

    def __init__(self, gateway, dialect, keys_are_fresh, attempts, refuse):
        self._gateway = gateway
        self._dialect = dialect
        self._keys_are_fresh = keys_are_fresh
        self._attempts = attempts
        self._refuse = refuse
        self._rng = random.Random()
        # Requests that wait for credit: those to pools where admission by urgency is
        # active by key, in the order of ``_credit_queue``, and all others.
        self._credit_queue = CreditQueue()
        self._waiting_by_key = {}
        self._waiting = []
        self._numbers = count(1)

    def read(self, exchange, now):
        """Return the Relay of a request, or raise the reason for refusing it."""
        req = exchange.req
        gateway = self._gateway
        route, organisation = self.check_head(req)
        demand = self._dialect.read_demand(req, now, route.time_limit)
        pool = gateway.get_or_create_pool(pick_target(route, self._rng.random()))
        relay = Relay(exchange, route, organisation, pool, demand, now)
        relay.cost = self._dialect.measure_cost(demand, organisation)
        relay.rollout_draw = self._rng.random()
        gateway.crash_detection.count_request(relay)
        gateway.crashes.raise_if_barred(relay.suspects, now)
        gateway.detours.raise_if_unreachable(pool, now)
        return relay

    def check_head(self, req):
        """Return a request's Route and Organisation, or raise the reason for refusing.

        Needs no body, so that none is received for a request that can't be served.
        """
        gateway = self._gateway
        if gateway.draining:
            raise make_stopping_error()
        if gateway.table is None:
            raise NoConfiguration(retry_after=RETRY_AFTER)
        route = gateway.table.find_route(req.headers.get("host", ""), req.path)
        return route, self._find_organisation(route, req)

    def start(self, relay, now):
        """Charge and place a request, or let it wait for its credit."""
        if self._is_active(relay):
            relay.demand = relay.demand._replace(band=find_band(relay.priority))
        if self._must_queue(relay) or not self._charge(relay, now):
            self._wait_for_credit(relay)
            return
        self._place(relay, now)

    def place_locally(self, relay, now, refused=False):
        """Send a request to the best upstream by this instance's own data.

        ``refused`` means that the placer found none, so that brittle ones are full.
        """
        brittle = self._gateway.brittle_upstreams
        excluded = brittle.list_brittle(relay.pool) if refused else ()
        choice = self._gateway.choose_upstream(relay, now, excluded)
        try:
            self._admit_and_send(relay, choice, now)
        except ChervilwingError as exc:
            self._refuse(relay, exc)

    def send_to_choice(self, relay, choice, now):
        """Send a waiting request to the upstream chosen for it, or refuse it."""
        try:
            self._send(relay, choice, now)
        except ChervilwingError as exc:
            self._refuse(relay, exc)

    def refuse_overload(self, relay, refusal, now):
        """Refuse a waiting request as a placer or this instance decided."""
        self._refuse(relay, self._make_overload_error(relay, refusal, now))

    def forget(self, relay):
        """Remove a request that has ended from the queue for room."""
        if relay.admission_key is not None:
            self._gateway.admissions.remove(relay.admission_key)
            relay.admission_key = None

    def needs_admission(self, relay):
        """Return whether a request has yet to be admitted.

        Requests that were sent before and streams that have begun were admitted once.
        """
        first = relay.upstream_state is None and relay.origin is None
        return first and not relay.admitted and self._is_active(relay)

    def refund(self, relay, now):
        """Refund the charge of a request that has not run."""
        if relay.charged_at is not None:
            self._gateway.allowances.refund(
                relay.organisation, relay.cost, now - relay.charged_at
            )

    def retry_waiting_requests(self, now):
        """Send waiting requests that have credit; refuse those that waited too long."""
        self._retry_by_priority(now)
        waiting, self._waiting = self._waiting, []
        for relay in waiting:
            if not relay.ended and not self._charge(relay, now):
                if not self._has_waited_long(relay, now):
                    self._waiting.append(relay)
                    continue
                self._refuse(relay, self._make_limit_error(relay))
            elif not relay.ended:
                self._place_waiting(relay, now)
            self._gateway.allowances.remove_waiting(relay.organisation, relay.cost)

    def _retry_by_priority(self, now):
        for key, relay in list(self._waiting_by_key.items()):
            if relay.ended:
                self._stop_waiting(key)
        charge = lambda key: self._charge(self._waiting_by_key[key], now)
        for key in self._credit_queue.take(charge, now):
            relay = self._waiting_by_key.pop(key)
            self._place_waiting(relay, now)
            self._gateway.allowances.remove_waiting(relay.organisation, relay.cost)
        for key, relay in list(self._waiting_by_key.items()):
            if self._has_waited_long(relay, now):
                self._refuse(relay, self._make_limit_error(relay))
                self._stop_waiting(key)

    def _stop_waiting(self, key):
        """Remove a request from the queue for credit without sending it."""
        relay = self._waiting_by_key.pop(key)
        self._credit_queue.remove(key, relay.organisation_name)
        self._gateway.allowances.remove_waiting(relay.organisation, relay.cost)

    def _must_queue(self, relay):
        """Return whether as urgent requests of the organisation wait for credit."""
        band = relay.demand.band
        name = relay.organisation_name
        return band is not None and self._credit_queue.must_wait(name, band)

    def _wait_for_credit(self, relay):
        if relay.demand.band is None:
            self._waiting.append(relay)
        else:
            key = next(self._numbers)
            self._waiting_by_key[key] = relay
            target_at = relay.received_at + relay.route.latency_target
            self._credit_queue.add(
                key, relay.organisation_name, relay.demand.band, relay.cost, target_at
            )
        self._gateway.allowances.add_waiting(relay.organisation, relay.cost)
        self._gateway.on_credit_needed()

    def _has_waited_long(self, relay, now):
        wait = min(MAX_CREDIT_WAIT, relay.route.latency_target * MAX_CREDIT_WAIT_PART)
        return now - relay.received_at >= wait

    def _make_limit_error(self, relay):
        allowances = self._gateway.allowances
        return allowances.make_limit_error(relay.organisation, relay.cost)

    def _charge(self, relay, now):
        """Charge a request to its organisation; return whether it had the credit."""
        if not self._gateway.allowances.charge(relay.organisation, relay.cost, now):
            return False
        relay.charged_at = now
        return True

    def _place(self, relay, now):
        """Ask the placer for a request's upstream, or choose it here."""
        if not self._gateway.placing.request_placement(relay, now):
            choice = self._gateway.choose_upstream(relay, now)
            self._admit_and_send(relay, choice, now)

    def _place_waiting(self, relay, now):
        try:
            self._place(relay, now)
        except ChervilwingError as exc:
            self._refuse(relay, exc)

    def _admit_and_send(self, relay, choice, now):
        """Send a request if it is admitted here; it may wait or be refused instead."""
        if choice is None or not self.needs_admission(relay):
            self._send(relay, choice, now)
            return
        key = ("", next(self._numbers))
        request = make_request(relay, key, choice[1])
        on_decision = partial(self._handle, relay, choice[1])
        decision = self._gateway.admissions.decide(
            relay.pool, request, now, on_decision
        )
        if decision is WAIT:
            relay.admission_key = key
        elif decision is ADMIT:
            relay.admitted = True
            self._send(relay, choice, now)
        else:
            relay.pool.record_work(relay.demand, choice[1])
            raise self._make_overload_error(relay, decision, now)

    def _handle(self, relay, estimate, decision, now):
        """Handle the decision on a request that has waited here."""
        relay.admission_key = None
        if relay.ended:
            return
        if isinstance(decision, Refuse):
            relay.pool.record_work(relay.demand, estimate)
            self.refuse_overload(relay, decision, now)
            return
        relay.admitted = True
        self.place_locally(relay, now)

    def _send(self, relay, choice, now):
        """Send a request to the chosen upstream, the first time or again.

        Raise if a first send is refused; a refused retry is answered with an error.
        """
        gateway = self._gateway
        if relay.upstream_state is not None:
            self._attempts.resend(relay, choice)
            return
        try:
            gateway.check_send(relay, choice, now)
        except ChervilwingError:
            gateway.placing.report_ended(relay, None)
            self.refund(relay, now)
            raise
        relay.pool.record_work(relay.demand, choice[1])
        gateway.retries.record_first_attempt(relay.pool.spec.name)
        self._attempts.send(relay, choice)

    def _make_overload_error(self, relay, refusal, now):
        """Return the error for a request that was refused, and refund its charge."""
        self.refund(relay, now)
        scope = Scope("pool", relay.pool.spec.name)
        return PoolOverloaded(scope=scope, retry_after=refusal.retry_after)

    def _is_active(self, relay):
        return self._gateway.admissions.is_active(relay.pool)

    def _find_organisation(self, route, req):
        """Return the Organisation of the request's key; refuse if keys may be stale.

        An instance that is cut off from the store does not learn that a key was
        revoked and would go on accepting it. It does not know newly created keys
        either, so it refuses for now instead of reporting an unknown key.
        """
        if not route.open and not self._keys_are_fresh():
            raise StaleKeys(retry_after=RETRY_AFTER)
        table = self._gateway.table
        return table.find_organisation(route, req.headers.get("authorization", ""))


def make_request(relay, key, estimate):
    """Return the AdmissionRequest of a relay, given its Estimate at an upstream."""
    target = relay.route.latency_target
    return AdmissionRequest(
        key,
        relay.demand.band,
        relay.organisation_name,
        estimate.prefill,
        estimate.unqueued_seconds,
        target,
        relay.received_at + target,
        relay.deadline,
        relay.received_at,
        relay.fingerprint,
    )
