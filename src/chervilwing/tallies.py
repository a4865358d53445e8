"""Sums of what instances have worked and have in flight, computed by each leader.

Each instance reports totals since its start, so that a lost or duplicated report
changes nothing. Leaders add the reports up, so all figures reach every instance in as
many messages as there are instances; direct exchange would take the square of it.
"""

from types import MappingProxyType
from typing import NamedTuple

from .crashes import CrashNews
from .fingerprints import REPEAT_SIZE
from .prompt_caches import TOLD_FOR, Placement
from .stations import NOTHING, InFlight, add_loads

# Seconds between two sums of all loads: a leader receives dozens of queries a second,
# and need not add up the same reports for each of them.
SUM_INTERVAL = 0.1
# Seconds for which a report counts: three reports in a row are hardly ever lost by
# chance.
REPORT_TIMEOUT = 1.5


NO_TOTALS = MappingProxyType({})


class Counts(NamedTuple):
    """Figures of one or more instances.

    ``work`` is engine seconds by pool, and ``answers`` the answers of versions in a
    roll-out by name, both since the start of the reporting process. ``in_flight`` is
    the present load by upstream, for each process that chose the upstreams (the
    placer); an empty name stands for instances that chose themselves.
    """

    instances: int
    in_flight: dict[str, dict[str, InFlight]]
    work: dict[str, float]
    answers: dict[str, float] = NO_TOTALS


class InstanceReport(NamedTuple):
    """One process's report of its own state.

    ``group`` names the instances that query the same leader. ``usage`` has the counts
    of requests that aren't stored yet, by window and organisation. ``placements`` are
    the upstreams to which it recently sent long prompts, ``crashes`` what it recently
    learned of requests that crash upstreams.
    """

    name: str
    incarnation: int
    group: str
    time_of_day: float
    counts: Counts
    usage: dict[int, dict[str, int]]
    placements: list[Placement]
    crashes: list[CrashNews]


class ReportReply(NamedTuple):
    """One process's reply to a report.

    ``sums`` are None where it leads no group. ``stored`` are the windows of usage for
    which it stored the reported counts, ``placements`` the upstreams to which others
    recently sent long prompts, ``crashes`` what it recently learned of requests that
    crash upstreams.
    """

    name: str
    incarnation: int
    time_of_day: float
    sums: Counts | None
    stored: list[int]
    placements: list[Placement]
    crashes: list[CrashNews]


def read_reply(name, incarnation, time_of_day, sums, stored, placements, crashes=()):
    """Return the ReportReply of a datagram; older processes send no crashes."""
    sums = None if sums is None else read_counts(*sums)
    placements = read_placements(placements)
    crashes = read_crash_news(crashes)
    return ReportReply(
        name, incarnation, time_of_day, sums, stored, placements, crashes
    )


def read_report(
    name, incarnation, group, time_of_day, counts, usage, placements, crashes=()
):
    """Return the InstanceReport of a datagram; older processes send no crashes."""
    counts = read_counts(*counts)
    placements = read_placements(placements)
    crashes = read_crash_news(crashes)
    return InstanceReport(
        name, incarnation, group, time_of_day, counts, usage, placements, crashes
    )


def read_crash_news(values):
    """Return the CrashNews decoded from a datagram, or raise ValueError."""
    news = [CrashNews(*value) for value in values]
    sizes = {len(bytes.fromhex(item.fingerprint)) for item in news}
    # An empty fingerprint stands for all requests.
    if not sizes <= {0, REPEAT_SIZE}:
        raise ValueError("a fingerprint has the wrong length")
    return news


def read_placements(values):
    """Return the Placements decoded from a datagram."""
    return [Placement(*value) for value in values]


def read_counts(instances, in_flight, work, answers):
    """Return the Counts decoded from a datagram."""
    read = {
        placer: {name: InFlight(*load) for name, load in loads.items()}
        for placer, loads in in_flight.items()
    }
    return Counts(instances, read, work, answers)


def add_counts(one, other):
    """Return the sum of two Counts."""
    in_flight = dict(one.in_flight)
    for placer, loads in other.in_flight.items():
        in_flight[placer] = sum_loads([in_flight.get(placer, {}), loads])
    return Counts(
        one.instances + other.instances,
        in_flight,
        add_totals(one.work, other.work),
        add_totals(one.answers, other.answers),
    )


def sum_loads(several):
    """Return the summed loads by upstream."""
    total = {}
    for loads in several:
        for name, load in loads.items():
            total[name] = add_loads(total.get(name, NOTHING), load)
    return total


def add_totals(one, other):
    """Return the sums of two mappings of totals by name."""
    total = dict(one)
    for name, value in other.items():
        total[name] = total.get(name, 0.0) + value
    return total


def subtract_counts(counts, own):
    """Return the Counts without the part of the instance whose figures ``own`` are."""
    in_flight = {
        placer: subtract_loads(loads, own.in_flight.get(placer, {}))
        for placer, loads in counts.in_flight.items()
    }
    work = subtract_totals(counts.work, own.work)
    answers = subtract_totals(counts.answers, own.answers)
    return Counts(counts.instances - own.instances, in_flight, work, answers)


def subtract_totals(totals, own):
    """Return totals by name less an instance's own."""
    return {name: value - own.get(name, 0.0) for name, value in totals.items()}


def subtract_loads(loads, own):
    """Return loads by upstream less an instance's own, none below zero."""
    left = {}
    for name, load in loads.items():
        mine = own.get(name, NOTHING)
        rest = InFlight(*(max(0, a - b) for a, b in zip(load, mine, strict=True)))
        if rest != NOTHING:
            left[name] = rest
    return left


NO_COUNTS = Counts(0, {}, {})


class ReportSums:
    """Sums over the reports of several processes; times are seconds on one clock.

    Work grows by the difference between two reports of one process; the first report of
    an unknown process adds nothing. If a report comes more than REPORT_TIMEOUT after
    the last one, only the fraction of the difference counts for which the process still
    counted as alive.

    The rest was reported to another leader, whose sums reached all instances. If a
    leader that leads again after a partition added it, the sums would jump by half a
    minute of all work, and eleven times the needed instances would be ordered. Ignoring
    late reports altogether would be wrong too: in a burst a small instance reports two
    seconds late, and too few instances would be ordered when most are needed.
    """

    def __init__(self):
        self._last_reports = {}
        self._until = {}
        self._work = {}
        self._answers = {}
        self._loads = NO_COUNTS
        self._summed_at = float("-inf")

    def add_report(self, reporter, incarnation, counts, now):
        """Apply a process's report; its load counts for REPORT_TIMEOUT."""
        if reporter in self._last_reports:
            last_incarnation, before = self._last_reports[reporter]
            # A restarted process counts from zero.
            before = before if last_incarnation == incarnation else NO_COUNTS
            gap = now - (self._until[reporter] - REPORT_TIMEOUT)
            fraction = REPORT_TIMEOUT / max(REPORT_TIMEOUT, gap)
            grow(self._work, before.work, counts.work, fraction)
            # Each answer counts once, however late its report comes.
            grow(self._answers, before.answers, counts.answers, 1.0)
        self._last_reports[reporter] = (incarnation, counts)
        self._until[reporter] = now + REPORT_TIMEOUT

    def compute_sums(self, now):
        """Return the sums over all processes that reported recently.

        The loads are at most SUM_INTERVAL seconds old, the other figures current.
        """
        if now - self._summed_at >= SUM_INTERVAL:
            self._summed_at = now
            self._loads = NO_COUNTS
            for reporter, (_, counts) in self._last_reports.items():
                if now < self._until[reporter]:
                    loads = counts._replace(work={}, answers={})
                    self._loads = add_counts(self._loads, loads)
        return self._loads._replace(work=dict(self._work), answers=dict(self._answers))


def grow(total, before, now, fraction):
    """Add to ``total`` a fraction of the difference between two reports.

    A reordered older report subtracts what the next report adds again.
    """
    for name, value in now.items():
        gained = value - before.get(name, 0.0)
        total[name] = total.get(name, 0.0) + gained * fraction


class Placements:
    """Upstreams to which others recently sent long prompts; times are seconds."""

    def __init__(self):
        self._until = {}

    def hear(self, placements, now):
        """Record reported placements; repeated reports don't extend their lifetime."""
        for placement in placements:
            self._until.setdefault(placement, now + TOLD_FOR)

    def list(self, now):
        """Return the recent placements."""
        self._until = {item: at for item, at in self._until.items() if now < at}
        return list(self._until)
