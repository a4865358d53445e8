"""A model of the cloud: instances are ordered, boot, drain and are reclaimed."""

from itertools import count
from typing import NamedTuple

from chervilwing.models import Address
from chervilwing.registrations import Registration
from chervilwing.sizing import InstanceKind

from .stepping import SteppingEngine

# Seconds until a changed registration has reached every gateway.
PROPAGATION_DELAY = 0.35
# Seconds for which a released instance goes on serving its running requests.
DRAIN_TIME = 4.0
# Seconds for which a crashed instance stays registered.
REGISTRATION_TIMEOUT = 3.0


class Member(NamedTuple):
    """An instance that runs or boots; ``engine`` is None while it boots."""

    kind: InstanceKind
    engine: SteppingEngine | None


class Market:
    """State of all instances; a changed registration calls ``notify``.

    The arguments are the registration and whether it was removed.
    """

    def __init__(self, clock, deployment, notify):
        self._clock = clock
        self._deployment = deployment
        self._notify = notify
        self._numbers = count()
        self._dry_until = float("-inf")
        self.members = {}
        self.engines = {}
        self.seconds_paid = 0.0
        self._counted_at = None

    def start(self, counts):
        """Start with the given number of running instances of each InstanceKind."""
        self._counted_at = self._clock.now
        for kind, number in counts.items():
            for _ in range(number):
                self._begin(f"i{next(self._numbers)}", kind)

    def order(self, kind, number):
        """Scale a kind to ``number`` instances; return False if none are available."""
        self.count_paid()
        present = [name for name, member in self.members.items() if member.kind == kind]
        for name in present[number:]:
            self._release(name)
        missing = number - len(present)
        if missing > 0 and kind.reclaimable and self._clock.now < self._dry_until:
            return False
        for _ in range(missing):
            name = f"i{next(self._numbers)}"
            self.members[name] = Member(kind, None)
            self._clock.call(self._deployment.fleet.boot_time, self._boot, name)
        return True

    def reclaim(self, wave):
        """Reclaim a data centre's reclaimable instances after its notice."""
        self.count_paid()
        self._dry_until = self._clock.now + wave.dry
        for name, member in list(self.members.items()):
            if member.kind == InstanceKind(wave.centre, True):
                self._leave(name, member, wave.notice)

    def crash(self):
        """Crash the longest running instance, without deregistering it first."""
        running = [name for name, member in self.members.items() if member.engine]
        if running:
            self.count_paid()
            member = self.members.pop(running[0])
            member.engine.kill()
            gone = (self._register(running[0], member.kind, False), True)
            self._clock.call(REGISTRATION_TIMEOUT, self._notify, *gone)

    def count_paid(self):
        """Add the cost since the last count, in seconds of a full-price instance."""
        fleet = self._deployment.fleet
        passed = self._clock.now - self._counted_at
        self._counted_at = self._clock.now
        for member in self.members.values():
            price = fleet.prices[member.kind.data_centre]
            part = fleet.reclaimable_price if member.kind.reclaimable else 1.0
            self.seconds_paid += passed * price * part

    def _boot(self, name):
        member = self.members.get(name)
        if member is not None:
            self._begin(name, member.kind)

    def _begin(self, name, kind):
        engine = SteppingEngine(self._clock, self._deployment.engine)
        self.members[name] = Member(kind, engine)
        self.engines[name] = engine
        self._notify_later(self._register(name, kind, False), False)

    def _release(self, name):
        member = self.members[name]
        if member.engine is None:
            del self.members[name]
            return
        self._leave(name, member, DRAIN_TIME)

    def _leave(self, name, member, seconds):
        self.members.pop(name)
        if member.engine is None:
            return
        self._notify_later(self._register(name, member.kind, True), False)
        self._clock.call(seconds, self._end, name, member)

    def _end(self, name, member):
        member.engine.kill()
        self._notify_later(self._register(name, member.kind, True), True)

    def _notify_later(self, registration, gone):
        self._clock.call(PROPAGATION_DELAY, self._notify, registration, gone)

    def _register(self, name, kind, leaving):
        address = Address("10.0.0.1", 80)
        centre, reclaimable = kind
        return Registration(name, "engines", address, centre, 64, leaving, reclaimable)
