"""The admission decisions of one instance, for all pools where they are active."""

from collections.abc import Callable
from typing import NamedTuple

from ..queues import BANDS
from .activation import find_active_pools
from .decisions import ADMIT, WAIT
from .pool import PoolAdmission
from .room import measure_room

# Values of the setting.
AUTO, OFF = "auto", "off"
# Seconds between two runs through the queues. The engines are sent prompts for fifteen
# times as long, so that more runs would only cost time.
RUN_INTERVAL = 0.01
# Seconds without a renewal after which another instance's ask is dropped: three
# renewals were lost, or the instance is gone.
RENEWAL_TIMEOUT = 0.6
# Counted events by band, in the order of the metrics.
EVENTS = (
    "admitted",
    "displaced",
    "refused_late",
    "refused_deadline",
    "refused_early",
    "reservations_kept",
    "reservations_expired",
)


class Capacity(NamedTuple):
    """What part of a pool an instance decides on.

    ``placing`` is set if it chooses for other instances too, ``share`` is its fraction
    of the pool.
    """

    placing: bool = False
    share: float = 1.0


class WaitingEntry(NamedTuple):
    """A waiting request's pool, and what to call with the decision."""

    pool: str
    on_decision: Callable


class AdmissionControl:
    """Admission of requests to all pools; times are seconds on one clock.

    ``get_capacity(pool)`` returns this instance's Capacity.
    """

    def __init__(self):
        self.get_capacity = lambda pool: Capacity()
        self.pools = {}
        self._entries = {}
        # The Room of each pool and when it was measured.
        self._rooms = {}
        # When other instances' requests are dropped unless renewed, earliest first.
        self._expiries = {}
        self._next_run = 0.0

    def configure(self, document, setting, now):
        """Apply a configuration; return pairs of changed pools and whether active."""
        active = find_active_pools(document) if setting == AUTO else frozenset()
        changes = [(name, False) for name in sorted(self.pools.keys() - active)]
        changes += [(name, True) for name in sorted(active - self.pools.keys())]
        for name, is_active in changes:
            if is_active:
                self.pools[name] = PoolAdmission()
            else:
                del self.pools[name]
                self._admit_all(name, now)
        return changes

    def is_active(self, pool):
        """Return whether admission by urgency is active for a pool."""
        return pool.spec.name in self.pools

    def is_waiting(self, key):
        """Return whether a request waits."""
        return key in self._entries

    def decide(self, pool, request, now, on_decision, renewed=False):
        """Return the decision on a request to a pool.

        After Wait, ``on_decision`` is called once with Admit or Refuse and the time. If
        the request is to be ``renewed``, it is dropped after RENEWAL_TIMEOUT without
        ``renew``.
        """
        name = pool.spec.name
        room = self._get_room(pool, now)
        decision = self.pools[name].decide(request, room, now)
        if decision is ADMIT:
            self._rooms[name] = (room.take(request), self._rooms[name][1])
        if decision is WAIT:
            self._entries[request.key] = WaitingEntry(name, on_decision)
            if renewed:
                self._expiries[request.key] = now + RENEWAL_TIMEOUT
        return decision

    def renew(self, key, now):
        """Keep another instance's waiting request; return whether it waits."""
        if key not in self._entries:
            return False
        # Renewed last, expires last.
        self._expiries.pop(key, None)
        self._expiries[key] = now + RENEWAL_TIMEOUT
        return True

    def remove(self, key):
        """Remove a request whose caller has gone."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            self.pools[entry.pool].remove(key)

    def run(self, pools, now):
        """Decide on waiting requests; ``pools`` maps names to PoolBalancers."""
        if not self.pools or now < self._next_run:
            return
        self._next_run = now + RUN_INTERVAL
        self._drop_unrenewed(now)
        for name, admission in list(self.pools.items()):
            admission.expire(now)
            if not len(admission):
                continue
            room = self._measure(pools[name], now)
            for key, decision in admission.list_admitted(room, now):
                self._entries.pop(key).on_decision(decision, now)
            self._rooms.pop(name, None)

    def _drop_unrenewed(self, now):
        while self._expiries:
            key, expires_at = next(iter(self._expiries.items()))
            if now < expires_at:
                return
            del self._expiries[key]
            self.remove(key)

    def update_overload(self, now):
        """Update all overload states; return the changed ones as (pool, state)."""
        return [
            (name, admission)
            for name, admission in self.pools.items()
            if admission.update_overload(now)
        ]

    def list_figures(self):
        """Return the metrics as a dict, with labels of pool and band in the names."""
        figures = {}
        for name, admission in sorted(self.pools.items()):
            overloaded = f'gateway_admission_overloaded{{pool="{name}"}}'
            figures[overloaded] = int(admission.overload.active)
            for band in BANDS:
                labels = f'{{pool="{name}",band="{band}"}}'
                waiting = admission.count_waiting(band)
                figures[f"gateway_admission_waiting{labels}"] = waiting
                for event in EVENTS:
                    key = f"gateway_admission_{event}{labels}"
                    figures[key] = admission.counts[event, band]
        return figures

    def _get_room(self, pool, now):
        """Return the Room of a pool as measured lately, less what was admitted since.

        Measuring takes several microseconds for each upstream.
        """
        room, measured_at = self._rooms.get(pool.spec.name, (None, 0.0))
        if room is None or now >= measured_at + RUN_INTERVAL:
            return self._measure(pool, now)
        return room

    def _measure(self, pool, now):
        capacity = self.get_capacity(pool)
        scale = self.pools[pool.spec.name].scale
        room = measure_room(pool, now, capacity.placing, capacity.share, scale)
        self._rooms[pool.spec.name] = (room, now)
        return room

    def _admit_all(self, name, now):
        """Let the waiting requests of a pool proceed whose admission has ended."""
        for key, entry in list(self._entries.items()):
            if entry.pool == name:
                del self._entries[key]
                entry.on_decision(ADMIT, now)
