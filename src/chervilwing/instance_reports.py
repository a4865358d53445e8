"""Sums of the instances' work and requests in flight, computed by each leader.

Each instance reports totals since its start, so that a lost or duplicated report
changes nothing. Leaders add the reports up, so the number of messages grows with the
number of instances; if each reported to all others, it would grow with its square.
"""

from types import MappingProxyType
from typing import NamedTuple

from .crash_records import CrashReport
from .fingerprints import RETRY_DIGEST_SIZE
from .prompt_caches import PROMPT_REPORT_SECONDS, CachedPrompt
from .upstream_states import NO_LOAD, UpstreamLoad, add_loads

# Seconds between two sums of all loads: a leader receives dozens of queries a second,
# and need not add up the same reports for each of them.
SUM_INTERVAL = 0.1
# Seconds after its last report for which an instance counts as alive: three reports in
# a row are hardly ever lost by chance.
REPORT_TIMEOUT = 1.5


NO_TOTALS = MappingProxyType({})


class Counts(NamedTuple):
    """Figures of one or more instances.

    ``work`` is engine seconds by pool, and ``answers`` the answers of versions in a
    roll-out by name, both since the start of the reporting process. ``in_flight`` is
    the present load by upstream, for each process that chose the upstreams (the
    placer); the empty name stands for requests whose upstream the reporting instance
    chose itself.
    """

    instances: int
    in_flight: dict[str, dict[str, UpstreamLoad]]
    work: dict[str, float]
    answers: dict[str, float] = NO_TOTALS


class InstanceReport(NamedTuple):
    """One process's report of its own state.

    ``group`` names the instances that query the same leader. ``usage`` has the counts
    of requests that aren't stored yet, by window and organisation. ``cached_prompts``
    are the upstreams to which it recently sent long prompts, ``crashes`` what it
    recently learned of requests that crash upstreams.
    """

    name: str
    incarnation: int
    group: str
    time_of_day: float
    counts: Counts
    usage: dict[int, dict[str, int]]
    cached_prompts: list[CachedPrompt]
    crashes: list[CrashReport]


class ReportReply(NamedTuple):
    """One process's reply to a report.

    ``sums`` are None where the process leads no group. ``stored`` are the windows of
    usage for which it stored the reported counts, ``cached_prompts`` the upstreams to
    which other instances recently sent long prompts, ``crashes`` what it recently
    learned of requests that crash upstreams.
    """

    name: str
    incarnation: int
    time_of_day: float
    sums: Counts | None
    stored: list[int]
    cached_prompts: list[CachedPrompt]
    crashes: list[CrashReport]


def read_reply(
    name, incarnation, time_of_day, sums, stored, cached_prompts, crashes=()
):
    """Return the ReportReply of a datagram; older processes send no crashes."""
    sums = None if sums is None else read_counts(*sums)
    cached_prompts = read_cached_prompts(cached_prompts)
    crashes = read_crash_reports(crashes)
    return ReportReply(
        name, incarnation, time_of_day, sums, stored, cached_prompts, crashes
    )


def read_report(
    name, incarnation, group, time_of_day, counts, usage, cached_prompts, crashes=()
):
    """Return the InstanceReport of a datagram; older processes send no crashes."""
    counts = read_counts(*counts)
    cached_prompts = read_cached_prompts(cached_prompts)
    crashes = read_crash_reports(crashes)
    return InstanceReport(
        name, incarnation, group, time_of_day, counts, usage, cached_prompts, crashes
    )


def read_crash_reports(values):
    """Return the CrashReports decoded from a datagram, or raise ValueError."""
    reports = [CrashReport(*value) for value in values]
    sizes = {len(bytes.fromhex(item.fingerprint)) for item in reports}
    # An empty fingerprint stands for all requests.
    if not sizes <= {0, RETRY_DIGEST_SIZE}:
        raise ValueError("a fingerprint has the wrong length")
    return reports


def read_cached_prompts(values):
    """Return the CachedPrompts decoded from a datagram."""
    return [CachedPrompt(*value) for value in values]


def read_counts(instances, in_flight, work, answers):
    """Return the Counts decoded from a datagram."""
    read = {
        placer: {name: UpstreamLoad(*load) for name, load in loads.items()}
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
    """Return the sums of several mappings of load by upstream."""
    total = {}
    for loads in several:
        for name, load in loads.items():
            total[name] = add_loads(total.get(name, NO_LOAD), load)
    return total


def add_totals(one, other):
    """Return the sums of two mappings of totals by name."""
    total = dict(one)
    for name, value in other.items():
        total[name] = total.get(name, 0.0) + value
    return total


def subtract_counts(counts, own):
    """Return the Counts less ``own``, the Counts of one instance."""
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
        mine = own.get(name, NO_LOAD)
        rest = UpstreamLoad(*(max(0, a - b) for a, b in zip(load, mine, strict=True)))
        if rest != NO_LOAD:
            left[name] = rest
    return left


NO_COUNTS = Counts(0, {}, {})


class ReportSums:
    """Sums over the reports of several processes; times are seconds on one clock.

    Work grows by the difference between two reports of one process; the first report of
    an unknown process adds nothing. If a report comes more than REPORT_TIMEOUT after
    the last one, only part of the difference counts: the fraction of the gap in which
    the process still counted as alive.

    The rest of the work was reported to another leader and is already in the sums. If a
    leader that returned after a partition added it again, the sums would jump by half a
    minute of all work, and eleven times the needed machines would be ordered. Ignoring
    late reports altogether would be wrong too: in a burst a small instance reports two
    seconds late, and too few machines would be ordered when most are needed.
    """

    def __init__(self):
        self._last_reports = {}
        self._until = {}
        self._work = {}
        self._answers = {}
        self._loads = NO_COUNTS
        self._summed_at = float("-inf")

    def add_report(self, reporter, incarnation, counts, now):
        """Apply a process's report; its load counts for REPORT_TIMEOUT seconds."""
        if reporter in self._last_reports:
            last_incarnation, before = self._last_reports[reporter]
            # A restarted process counts from zero.
            before = before if last_incarnation == incarnation else NO_COUNTS
            gap = now - (self._until[reporter] - REPORT_TIMEOUT)
            fraction = REPORT_TIMEOUT / max(REPORT_TIMEOUT, gap)
            add_growth(self._work, before.work, counts.work, fraction)
            # Each answer counts once, however late its report comes.
            add_growth(self._answers, before.answers, counts.answers, 1.0)
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


def add_growth(total, before, after, fraction):
    """Add to ``total`` a fraction of the growth between two reports' totals.

    A reordered older report subtracts what the next report adds again.
    """
    for name, value in after.items():
        gained = value - before.get(name, 0.0)
        total[name] = total.get(name, 0.0) + gained * fraction


class CachedPrompts:
    """Upstreams to which long prompts were recently sent; times are seconds."""

    def __init__(self):
        self._until = {}

    def record(self, cached_prompts, now):
        """Record reported prompts; repeated reports don't extend their lifetime."""
        for cached_prompt in cached_prompts:
            self._until.setdefault(cached_prompt, now + PROMPT_REPORT_SECONDS)

    def list_recent(self, now):
        """Return the recent cached prompts."""
        self._until = {item: at for item, at in self._until.items() if now < at}
        return list(self._until)
