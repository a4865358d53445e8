"""A model of the market: instances that are ordered, boot, leave and are taken away."""

from itertools import count
from typing import NamedTuple

from chervilwing.models import Address
from chervilwing.registrations import Registration
from chervilwing.sizing import InstanceKind

from .stepping import SteppingEngine

# Seconds from a change of a registration until every gateway knows of it.
LAG = 0.35
# Seconds for which one that was given back goes on with what it has.
LINGER = 4.0
# Seconds for which a crashed one stays registered.
SILENCE = 3.0


class Member(NamedTuple):
    """An instance that runs or boots; ``engine`` is None while it boots."""

    kind: InstanceKind
    engine: SteppingEngine | None


class Market:
    """State of all instances; ``tell(registration, gone)`` hears what registers."""

    def __init__(self, clock, deployment, tell):
        self._clock = clock
        self._deployment = deployment
        self._tell = tell
        self._numbers = count()
        self._dry_until = float("-inf")
        self.members = {}
        self.engines = {}
        self.seconds_paid = 0.0
        self._counted_at = None

    def start(self, counts):
        """Begin with so many instances of each InstanceKind that are there already."""
        self._counted_at = self._clock.now
        for kind, number in counts.items():
            for _ in range(number):
                self._begin(f"i{next(self._numbers)}", kind)

    def order(self, kind, number):
        """Take an order; tell whether such instances were to be had."""
        self.count_paid()
        own = [name for name, member in self.members.items() if member.kind == kind]
        for name in own[number:]:
            self._release(name)
        lacking = number - len(own)
        if lacking > 0 and kind.reclaimable and self._clock.now < self._dry_until:
            return False
        for _ in range(lacking):
            name = f"i{next(self._numbers)}"
            self.members[name] = Member(kind, None)
            self._clock.call(self._deployment.fleet.boot_time, self._boot, name)
        return True

    def reclaim(self, wave):
        """Take away a data centre's reclaimable instances after a notice."""
        self.count_paid()
        self._dry_until = self._clock.now + wave.dry
        for name, member in list(self.members.items()):
            if member.kind == InstanceKind(wave.centre, True):
                self._leave(name, member, wave.notice)

    def crash(self):
        """End the longest running instance without a word."""
        running = [name for name, member in self.members.items() if member.engine]
        if running:
            self.count_paid()
            member = self.members.pop(running[0])
            member.engine.kill()
            gone = (self._register(running[0], member.kind, False), True)
            self._clock.call(SILENCE, self._tell, *gone)

    def count_paid(self):
        """Add up what is paid for, up to now."""
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
        self._later(self._register(name, kind, False), False)

    def _release(self, name):
        member = self.members[name]
        if member.engine is None:
            del self.members[name]
            return
        self._leave(name, member, LINGER)

    def _leave(self, name, member, seconds):
        self.members.pop(name)
        if member.engine is None:
            return
        self._later(self._register(name, member.kind, True), False)
        self._clock.call(seconds, self._end, name, member)

    def _end(self, name, member):
        member.engine.kill()
        self._later(self._register(name, member.kind, True), True)

    def _later(self, registration, gone):
        self._clock.call(LAG, self._tell, registration, gone)

    def _register(self, name, kind, leaving):
        address = Address("10.0.0.1", 80)
        centre, reclaimable = kind
        return Registration(name, "engines", address, centre, 64, leaving, reclaimable)
