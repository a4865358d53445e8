"""Reports of stated loads to the instance that chose the upstream."""

from typing import NamedTuple

from .stated_loads import StatedLoad, is_plausible
from .upstream_paces import USUAL_PACE

# Seconds after which a statement that tells nothing new is reported again: half of the
# time in which its weight halves.
REPEAT_INTERVAL = 0.15
# A pace that changed by this factor is reported at once. Until the placer knows it, it
# goes on sending requests to an upstream that has just become slow.
URGENT_FACTOR = 1.25
# Seconds after which a statement's weight is too small to matter.
MAX_AGE = 10.0
# Reported statements that are remembered; removed upstreams and former placers would
# accumulate.
MAX_REPORTED = 2000


class StatedReport(NamedTuple):
    """What an upstream stated ``age`` seconds ago."""

    upstream: str
    age: float
    load: StatedLoad


class StatedReports:
    """Reports to each placer that are to be sent, the newest of each upstream only."""

    def __init__(self):
        self._pending = {}
        # What was last queued for a placer, by placer and upstream, and when.
        self._reported = {}

    def add(self, placer, upstream, load, now):
        """Queue a statement for a placer; return whether to send it at once."""
        last, at = self._reported.get((placer, upstream), (None, now))
        if last == load and now - at < REPEAT_INTERVAL:
            return False
        self._reported[placer, upstream] = load, now
        self._pending.setdefault(placer, {})[upstream] = load, now
        old, new = last.pace if last else USUAL_PACE, load.pace
        return max(old, new) > URGENT_FACTOR * min(old, new)

    def take(self, now):
        """Return the fields to send by placer, and forget them."""
        pending, self._pending = self._pending, {}
        if len(self._reported) > MAX_REPORTED:
            self._reported.clear()
        fields = {}
        for placer, loads in pending.items():
            fields[placer] = [
                (upstream, now - at, *load) for upstream, (load, at) in loads.items()
            ]
        return fields


def read_reports(fields):
    """Return the StatedReports of received fields, without implausible ones."""
    reports = [
        StatedReport(upstream, age, StatedLoad(*load))
        for upstream, age, *load in fields
    ]
    return [
        report
        for report in reports
        if 0.0 <= report.age <= MAX_AGE and is_plausible(report.load)
    ]
