"""Store this instance's counts of usage, and report all of them as the holder."""

import time

from circuits.core import BaseComponent, handler

from .beacons import name_process
from .clocks import read_boottime
from .duties import Accepted, Outdated, ReportUsage
from .items import Commit, Committed, Conflict, ListItems, Page
from .logs import log_event
from .usage import (
    HeardCounts,
    Report,
    UsageCounter,
    add_up,
    decode_counts,
    decode_report,
    encode_counts,
    encode_report,
)

PARTS = "chervilwing/usage-parts/"
REPORT = "chervilwing/usage-report"
# Seconds after a window's end at which an instance writes its counts: the clocks of
# instances are less than this apart, and work that just began is counted by then.
WRITE_LAG = 0.4
# Seconds after a window's end from which the counts are added up, and after which those
# that are still missing are given up: a report is due ten seconds after the end.
COLLECT_LAG = 1.5
PATIENCE = 6.5
HEARD_PATIENCE = 3.5
# Seconds between two tries of a call that failed.
RETRY_WAIT = 0.5
# Windows that are reported late at most, once nobody reported for long.
LATE_WINDOWS = 4
# Entries that one commit may have, less those that aren't deletions.
DELETES = 29


def read_names(processes):
    """Return the instances whose processes these are."""
    return {process.rpartition(".")[0] for process in processes}


class UsageParts(BaseComponent):
    """Write this instance's own counts, one item a window."""

    channel = "usage-parts"

    def __init__(self, cfg, store, agreed):
        super().__init__()
        self.counter = UsageCounter(cfg.usage_window)
        self._store = store
        self._agreed = agreed
        # One process's counts never replace those of the one before it.
        self._name = name_process(cfg.name, cfg.incarnation)
        self.heard = HeardCounts()
        self._busy = False
        self._due = 0.0

    def read_time(self):
        """Return the time of day that the instances agree on."""
        return self._agreed.read(time.time(), read_boottime())

    def count(self, organisation, seconds_ago):
        """Count a request that began to run so many seconds ago."""
        self.counter.count(organisation, self.read_time() - seconds_ago)

    def is_idle(self):
        """Tell whether every count of the past is stored."""
        return not self._busy

    def write_open_window(self):
        """Write the open window too, before the process ends."""
        window = int(self.read_time() // self.counter.length)
        self._write(window)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        if self._busy or now < self._due:
            return
        due = self.counter.list_due(self.read_time(), WRITE_LAG)
        if due:
            self._write(due[0])

    def _write(self, window):
        self._busy = True
        value = encode_counts(self.counter.read(window))
        put = (f"{PARTS}{window}/{self._name}", value, 0)
        self._store.submit(
            Commit(puts=(put,)), lambda reply: self._written(window, reply)
        )

    def _written(self, window, reply):
        self._busy = False
        if isinstance(reply, Committed):
            self.counter.note_written(window)
            return
        self._due = read_boottime() + RETRY_WAIT


class UsageReporter(BaseComponent):
    """Report each window once, with the same counts whoever reports it.

    The counts are decided by a conditional write before they are sent: a holder that
    dies in between leaves them for the next, who sends the very same.
    """

    channel = "usage-reports"

    def __init__(self, cfg, store, cloud, coordinator, parts):
        super().__init__()
        self._cfg = cfg
        self._store = store
        self._cloud = cloud
        self._coordinator = coordinator
        self._parts = parts
        self._fence = None
        self._known = False
        self._revision = 0
        self._report = None
        self._sent = False
        self._busy = False
        self._due = 0.0
        self._litter = []

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        fence = self._coordinator.tenure.fence(now)
        if fence != self._fence:
            self._fence, self._known = fence, False
        if fence is None or self._busy or now < self._due:
            return
        self._advance(now)

    def _advance(self, now):
        if not self._known:
            self._submit(ListItems(REPORT), self._hear_report)
        elif self._report is not None and not self._sent:
            self._send(now)
        elif self._litter:
            keys, self._litter = self._litter[:DELETES], self._litter[DELETES:]
            self._submit(Commit(deletes=tuple(keys)), lambda reply: None)
        else:
            self._collect()

    def _submit(self, req, hear):
        self._busy = True
        fence = self._fence

        def heard(reply):
            self._busy = False
            # What was asked under another tenure may be old.
            if fence == self._fence:
                hear(reply)

        self._store.submit(req, heard)

    def _wait(self):
        self._due = read_boottime() + RETRY_WAIT

    def _hear_report(self, reply):
        if not isinstance(reply, Page):
            self._wait()
            return
        found = [item for item in reply.items if item.key == REPORT]
        self._revision = found[0].revision if found else 0
        self._report = decode_report(found[0].value) if found else None
        self._sent = False
        self._known = True
        self._submit(ListItems(PARTS), self._hear_litter)

    def _hear_litter(self, reply):
        """Take note of counts that came too late for their window."""
        if not isinstance(reply, Page) or self._report is None:
            return
        for item in reply.items:
            window = item.key.removeprefix(PARTS).partition("/")[0]
            if int(window) <= self._report.window:
                self._litter.append(item.key)

    def _next_window(self):
        length = self._parts.counter.length
        newest = int((self._parts.read_time() - COLLECT_LAG) // length) - 1
        if self._report is None:
            return newest
        return max(self._report.window + 1, newest - LATE_WINDOWS)

    def _collect(self):
        window = self._next_window()
        ended = (window + 1) * self._parts.counter.length
        waited = self._parts.read_time() - ended
        if waited < COLLECT_LAG:
            return
        self._submit(
            ListItems(f"{PARTS}{window}/"),
            lambda reply: self._hear_parts(window, waited, reply),
        )

    def _hear_parts(self, window, waited, reply):
        if not isinstance(reply, Page):
            self._wait()
            return
        stored = {item.key.rpartition("/")[2]: item.value for item in reply.items}
        heard = self._parts.heard.find(window, stored)
        missing = self._coordinator.list_recent() - read_names(stored)
        # Who is heard of lives and may store its last counts yet; who isn't may return.
        patience = PATIENCE if missing - read_names(heard) else HEARD_PATIENCE
        if missing and waited < patience:
            self._wait()
            return
        counts = add_up([*map(decode_counts, stored.values()), *heard.values()])
        keys = [item.key for item in reply.items]
        report = Report(window, counts)
        commit = Commit(
            expect=((REPORT, self._revision),),
            puts=((REPORT, encode_report(report), 0),),
            deletes=tuple(keys[:DELETES]),
        )
        log_event(
            "usage decided",
            window=window,
            parts=len(stored),
            heard=len(heard),
            missing=len(missing),
        )
        self._submit(
            commit, lambda answer: self._decided(report, keys[DELETES:], answer)
        )

    def _decided(self, report, litter, reply):
        if isinstance(reply, Committed):
            self._revision, self._report = reply.revision, report
            self._sent = False
            self._litter += litter
            return
        # A lost answer may hide a write that took effect: read before going on.
        self._known = False
        if not isinstance(reply, Conflict):
            self._wait()

    def _send(self, now):
        self._busy = True
        self._coordinator.tenure.note_act(now)
        call = ReportUsage(
            self._report.window,
            self._report.counts,
            self._cfg.name,
            self._fence,
            time.monotonic() + self._cfg.lease,
        )
        self._cloud.submit(call, self._answered)

    def _answered(self, reply):
        self._busy = False
        if isinstance(reply, Accepted):
            self._sent = True
        elif isinstance(reply, Outdated):
            log_event("duty outdated", fence=self._fence or 0, detail=reply.text)
            self._coordinator.tenure.drop()
        else:
            log_event("usage not reported", reply=type(reply).__name__)
            self._wait()
