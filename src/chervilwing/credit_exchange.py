"""Claims and grants of credit between instances, by single datagrams."""

from circuits.core import BaseComponent, handler

from .allowances import CLAIM_INTERVAL
from .clocks import read_boottime
from .credit import Grant, read_claim
from .credit_parents import CLAIM_RETRY_INTERVAL, ParentChoice
from .leader_queries import rank_leaders
from .logs import log_event

# Kinds of datagrams.
CLAIM = 3
GRANT = 4
PROBE = 5
PROBE_ANSWER = 6
# Minimum seconds between two claims. Without it, each request of a customer far over
# its limit would cause two datagrams.
MIN_CLAIM_INTERVAL = 0.02
# Seconds between two claims while requests wait, as a datagram may be lost.
WAITING_CLAIM_INTERVAL = 0.05


class CreditExchange(BaseComponent):
    """Claim credit from the instance's parent, and grant it to its children."""

    channel = "credit-exchange"

    def __init__(self, cfg, datagrams, coordinator, report_exchange, gateway):
        super().__init__()
        self._name = cfg.name
        self._datagrams = datagrams
        self._coordinator = coordinator
        self._report_exchange = report_exchange
        self._gateway = gateway
        self._allowances = gateway.allowances
        self._limits = gateway.upstream_limits
        self._choice = ParentChoice()
        self._group_candidates, self._all_candidates = [], []
        self._peers_version = None
        self._claimed_at = float("-inf")
        self._lacks_credit = False
        gateway.on_credit_needed = self._claim_soon
        datagrams.subscribe(CLAIM, self._receive_claim)
        datagrams.subscribe(GRANT, self._receive_grant)
        datagrams.subscribe(PROBE, self._receive_probe)
        datagrams.subscribe(PROBE_ANSWER, self._receive_probe_answer)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        self._allowances.advance(now)
        self._limits.expire(self._gateway.registry.upstreams, now)
        self._rank()
        before = self._choice.parent
        parent = self._choice.choose(self._group_candidates, self._all_candidates, now)
        if parent != before:
            log_event("credit parent", parent=parent or "", was=before or "")
        for name in self._choice.list_probes(
            self._group_candidates, self._all_candidates, now
        ):
            self._send(name, PROBE, (self._name,))
        self._grant_waiting()
        if now - self._claimed_at >= self._choose_interval():
            self._claim(now)

    def _rank(self):
        """Update the parent candidates, the instances that rank before this one."""
        if self._peers_version == self._coordinator.peers_version:
            return
        self._peers_version = self._coordinator.peers_version
        group = set(self._report_exchange.list_group())
        names = [self._name, *self._coordinator.peers]
        names = rank_leaders(names, self._coordinator.list_links())
        self._all_candidates = names[: names.index(self._name)]
        self._group_candidates = [
            name for name in self._all_candidates if name in group
        ]

    def _choose_interval(self):
        """Return the seconds to leave between two claims."""
        if self._lacks_credit:
            return MIN_CLAIM_INTERVAL
        if self._allowances.waiting:
            return WAITING_CLAIM_INTERVAL
        return CLAIM_RETRY_INTERVAL if self._choice.awaits_answer else CLAIM_INTERVAL

    def _claim_soon(self):
        """Claim at once, or once MIN_CLAIM_INTERVAL has passed since the last claim."""
        self._lacks_credit = True
        now = read_boottime()
        if now - self._claimed_at >= MIN_CLAIM_INTERVAL:
            self._claim(now)

    def _claim(self, now):
        parent = self._choice.parent
        if parent is None:
            return
        self._claimed_at = now
        self._lacks_credit = False
        self._choice.record_claim(now)
        claim = self._allowances.claim(parent, now)
        self._send(parent, CLAIM, (self._limits.list_reports(now), *claim))

    def _send(self, name, kind, fields):
        peer = self._coordinator.peers.get(name)
        if peer is not None:
            self._datagrams.send(kind, fields, peer.address)

    def _receive_probe(self, address, name):
        self._datagrams.send(PROBE_ANSWER, (self._name,), address)

    def _receive_probe_answer(self, address, name):
        self._choice.record_answer(name, read_boottime())

    def _receive_claim(self, address, limits, *fields):
        now = read_boottime()
        self._limits.merge_reports(limits, now)
        grant = self._allowances.receive_claim(read_claim(*fields), now)
        self._datagrams.send(GRANT, self._encode_grant(grant, now), address)
        if self._allowances.lacks_credit:
            self._claim_soon()

    def _encode_grant(self, grant, now):
        """Return the fields of a grant's datagram."""
        return (self._name, self._limits.list_reports(now), *grant)

    def _receive_grant(self, address, name, limits, *fields):
        now = read_boottime()
        self._limits.merge_reports(limits, now)
        self._choice.record_answer(name, now)
        if not self._allowances.receive_grant(Grant(*fields), now):
            return
        self._grant_waiting()
        self._gateway.retry_waiting_requests(now)

    def _grant_waiting(self):
        """Grant newly available credit to children that still lack it."""
        now = read_boottime()
        for name, grant in self._allowances.grant_waiting().items():
            self._send(name, GRANT, self._encode_grant(grant, now))
