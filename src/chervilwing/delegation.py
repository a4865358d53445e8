"""Claims and grants of credit between instances, as single datagrams."""

from circuits.core import BaseComponent, handler

from .allowances import CLAIM_EVERY
from .clocks import read_boottime
from .credit import Grant, read_claim
from .fanout import rank
from .logs import log_event
from .parents import CLAIM_AGAIN, ParentChoice

# Kinds of datagrams.
CLAIM = 3
GRANT = 4
PROBE = 5
PROBED = 6
# Seconds between two claims at least, when requests wait for credit. Load: a customer
# far over its limit. Harm: each of its requests would be two datagrams.
ASK_GAP = 0.02
# Seconds between two claims while requests wait: a datagram may be lost.
ASK_AGAIN = 0.05


class Delegation(BaseComponent):
    """Claim credit from the instance's parent, and grant it to its children."""

    channel = "delegation"

    def __init__(self, cfg, datagrams, coordinator, neighbours, gateway):
        super().__init__()
        self._name = cfg.name
        self._datagrams = datagrams
        self._coordinator = coordinator
        self._neighbours = neighbours
        self._gateway = gateway
        self._allowances = gateway.allowances
        self._limits = gateway.upstream_limits
        self._choice = ParentChoice()
        self._near, self._far = [], []
        self._ranked = None
        self._claimed_at = float("-inf")
        self._lacking = False
        gateway.on_lacking = self._ask
        datagrams.subscribe(CLAIM, self._hear_claim)
        datagrams.subscribe(GRANT, self._hear_grant)
        datagrams.subscribe(PROBE, self._hear_probe)
        datagrams.subscribe(PROBED, self._hear_probed)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        self._allowances.advance(now)
        self._limits.expire(self._gateway.registry.members, now)
        self._rank()
        before = self._choice.parent
        parent = self._choice.choose(self._near, self._far, now)
        if parent != before:
            log_event("credit parent", parent=parent or "", was=before or "")
        for name in self._choice.list_probes(self._near, self._far, now):
            self._send(name, PROBE, (self._name,))
        self._grant_waiting()
        if now - self._claimed_at >= self._find_gap():
            self._claim(now)

    def _rank(self):
        """Rank the instances that come before this one, when some came or went."""
        if self._ranked == self._coordinator.peers_version:
            return
        self._ranked = self._coordinator.peers_version
        group = set(self._neighbours.list_group())
        names = [self._name, *self._coordinator.peers]
        names = rank(names, self._coordinator.list_links())
        self._far = names[: names.index(self._name)]
        self._near = [name for name in self._far if name in group]

    def _find_gap(self):
        """Return the seconds to leave between two claims."""
        if self._lacking:
            return ASK_GAP
        if self._allowances.waiting:
            return ASK_AGAIN
        return CLAIM_AGAIN if self._choice.waits else CLAIM_EVERY

    def _ask(self):
        """Claim at once, unless that was just done."""
        self._lacking = True
        now = read_boottime()
        if now - self._claimed_at >= ASK_GAP:
            self._claim(now)

    def _claim(self, now):
        parent = self._choice.parent
        if parent is None:
            return
        self._claimed_at = now
        self._lacking = False
        self._choice.note_claim(now)
        claim = self._allowances.claim(parent, now)
        self._send(parent, CLAIM, (self._limits.list_told(now), *claim))

    def _send(self, name, kind, fields):
        peer = self._coordinator.peers.get(name)
        if peer is not None:
            self._datagrams.send(kind, fields, peer.address)

    def _hear_probe(self, address, name):
        self._datagrams.send(PROBED, (self._name,), address)

    def _hear_probed(self, address, name):
        self._choice.note_answer(name, read_boottime())

    def _hear_claim(self, address, limits, *fields):
        now = read_boottime()
        self._limits.hear(limits, now)
        grant = self._allowances.receive_claim(read_claim(*fields), now)
        self._datagrams.send(GRANT, self._describe(grant, now), address)
        if self._allowances.short:
            self._ask()

    def _describe(self, grant, now):
        """Return the fields of a grant's datagram."""
        return (self._name, self._limits.list_told(now), *grant)

    def _hear_grant(self, address, name, limits, *fields):
        now = read_boottime()
        self._limits.hear(limits, now)
        self._choice.note_answer(name, now)
        if not self._allowances.receive_grant(Grant(*fields), now):
            return
        self._grant_waiting()
        self._gateway.resume_waiting(now)

    def _grant_waiting(self):
        """Grant what children still lack from credit that has come meanwhile."""
        now = read_boottime()
        for name, grant in self._allowances.grant_waiting().items():
            self._send(name, GRANT, self._describe(grant, now))
