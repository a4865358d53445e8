"""The fleet of ``placing_fleet`` with admission by urgency active for its pool."""

from types import SimpleNamespace

from chervilwing.demands import Demand, PromptPart
from chervilwing.exceptions import ChervilwingError
from chervilwing.placer_selection import PlacementHooks
from chervilwing.pool_admission import AdmissionControl, RequestPath
from chervilwing.retry_shares import RetryShares
from chervilwing.routing import STREAM, Route, RoutingDocument, Target
from tests.placing_fleet import RUN_TIME, SPEC, Fleet, Instance

TARGETS = (0.8, 1.2, 2.5)
DEADLINE = 4.0
ROUTES = tuple(
    Route(
        f"band{band}",
        "h",
        f"/{band}/",
        STREAM,
        (Target("engines"),),
        latency_target=target,
        priority=band,
    )
    for band, target in enumerate(TARGETS)
)
DOCUMENT = RoutingDocument(1, ROUTES, (SPEC,))
# Prompt tokens per second that an engine reads.
ENGINE_RATE = 34_000.0


class UrgentInstance(Instance):
    """An instance with the real path of a request from its charge to its send."""

    def __init__(self, fleet, name, engines):
        super().__init__(fleet, name, engines)
        get_capacity = self.admissions.get_capacity
        self.admissions = AdmissionControl()
        self.admissions.get_capacity = get_capacity
        self.admissions.configure(DOCUMENT, "auto", fleet.now)
        hooks = PlacementHooks(
            self.placing._send_ask,
            self.placing._get_origin,
            report_ended=self.placing._queue_placed_ended,
        )
        gateway = SimpleNamespace(
            admissions=self.admissions,
            allowances=self.upstream_limits._allowances,
            brittle_upstreams=self.brittle_upstreams,
            choose_upstream=self.choose_upstream,
            check_send=lambda relay, choice, now: None,
            placing=hooks,
            retries=RetryShares(self),
        )
        attempts = SimpleNamespace(send=self.send_first)
        self.path = RequestPath(gateway, None, None, attempts, self.refuse)
        self.needs_admission = self.path.needs_admission
        self.refuse_overload = self.path.refuse_overload
        self.refused = []

    def place_locally(self, relay, now, refused=False):
        self.unanswered += 1
        self.path.place_locally(relay, now, refused)

    def send_to_choice(self, relay, found, now):
        self.path.send_to_choice(relay, found, now)

    def choose_upstream(self, relay, now, refused=()):
        origin = self.placing._get_origin(relay.pool)
        return relay.pool.choose(relay.demand, refused, now, origin)

    def refuse(self, relay, exc):
        relay.ended = True
        self.refused.append((relay.demand.request_id, self.fleet.now, exc.retry_after))

    def send_first(self, relay, found):
        """Send a request to its engine, which reads one prompt after the other."""
        now, (upstream_state, estimate) = self.fleet.now, found
        self.sent.append((relay.demand.request_id, upstream_state))
        relay.pool.record_sent(upstream_state, relay.demand, estimate, now)
        name = upstream_state.registration.name
        free_at = max(now, self.fleet.free_at.get(name, 0.0))
        self.fleet.free_at[name] = free_at + estimate.prefill / ENGINE_RATE
        read = self.fleet.free_at[name] - now
        self.fleet.first_bytes[relay.demand.request_id] = now + read
        self.fleet.call_later(read, self._start, relay, upstream_state)
        self.fleet.call_later(read + RUN_TIME, self._end, relay, upstream_state)


class UrgentFleet(Fleet):
    """Instances whose placer admits by urgency; ``frozen`` ones handle nothing."""

    def __init__(self, *args, **kwargs):
        self.free_at, self.first_bytes = {}, {}
        self.frozen, self.held, self.relays = set(), [], {}
        super().__init__(*args, instance_type=UrgentInstance, **kwargs)

    def ask(self, name, band=0, organisation="one", fingerprint=None):
        """Let a new request of a band arrive at an instance."""
        if name in self.dead or name in self.frozen:
            return None
        number = len(self.requests)
        instance = self.instances[name]
        parts = (PromptPart(f"s{number % 7}", 900), PromptPart(f"o{number}", 2500))
        demand = Demand(f"r{number}", self.now + DEADLINE, 3400, 50, 50, parts)
        relay = SimpleNamespace(
            demand=demand,
            pool=instance.pools["engines"],
            route=ROUTES[band],
            organisation=None,
            organisation_name=organisation,
            priority=band,
            cost=1.0,
            charged_at=None,
            received_at=self.now,
            deadline=demand.deadline,
            fingerprint=fingerprint or demand.request_id,
            tried=set(),
            origin=None,
            upstream_state=None,
            admitted=False,
            admission_key=None,
            ended=False,
            placement_id=None,
        )
        self.requests.append((name, demand.request_id))
        self.relays[demand.request_id] = relay
        try:
            instance.path.start(relay, self.now)
        except ChervilwingError as exc:
            instance.refuse(relay, exc)
        return relay

    def thaw(self, name):
        """Let a frozen instance go on; it receives what was sent to it meanwhile."""
        self.frozen.discard(name)
        held, self.held = self.held, []
        for args in held:
            self._deliver(*args)

    def _deliver(self, sender, name, kind, fields):
        if name in self.frozen:
            self.held.append((sender, name, kind, fields))
            return
        super()._deliver(sender, name, kind, fields)

    def tick(self, name, instance):
        if name not in self.frozen:
            instance.admissions.run(instance.pools, self.now)
            super().tick(name, instance)
