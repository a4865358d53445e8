"""Store this instance's counts of usage, and report all of them as the holder."""

import time

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .duties import Accepted, Outdated, ReportUsage
from .items import Commit, Committed, Conflict, ListItems, Page
from .logs import log_event
from .usage import (
    WINDOWS_KEPT,
    HeardCounts,
    Report,
    UsageCounter,
    add_up,
    decode_counts,
    decode_report,
    encode_counts,
    encode_report,
    merge,
    name_process,
)

PARTS = "chervilwing/usage-parts/"
REPORT = "chervilwing/usage-report"
# Seconds after a window's end at which the counts of a group are written: the last ones
# that it was told are of this moment at least, and clocks are less than this apart.
WRITE_LAG = 0.9
# Seconds after a window's end from which the counts are added up, and after which those
# that are still missing are given up: a report is due ten seconds after the end.
COLLECT_LAG = 1.5
PATIENCE = 6.5
HEARD_PATIENCE = 3.5
# Seconds between two tries of a call that failed.
RETRY_WAIT = 0.5
# Seconds after a window's end for which counts that changed are written once more.
REWRITE_FOR = 10.0
# Windows that are reported late at most, once nobody reported for long.
LATE_WINDOWS = 4
# Entries that one commit may have, less those that aren't deletions.
DELETES = 29


def read_names(processes):
    """Return the instances whose processes these are."""
    return {process.rpartition(".")[0] for process in processes}


class UsageParts(BaseComponent):
    """Count what runs here, and store it with what other instances told.

    ``stores`` tells whether this instance stores; another one does for those that only
    tell their counts.
    """

    channel = "usage-parts"

    def __init__(self, cfg, store, agreed):
        super().__init__()
        self.counter = UsageCounter(cfg.usage_window)
        self.stores = lambda: True
        self._store = store
        self._agreed = agreed
        # One process's counts never replace those of the one before it.
        self._name = name_process(cfg.name, cfg.incarnation)
        # Of those for whom this one stores, itself among them, and of others.
        self._near = HeardCounts()
        self._far = HeardCounts()
        self._stored = {}
        self._writing = 0
        self._due = 0.0

    def read_time(self):
        """Return the time of day that the instances agree on."""
        return self._agreed.read(time.time(), read_boottime())

    def count(self, organisation, seconds_ago):
        """Count a request that began to run so many seconds ago."""
        self.counter.count(organisation, self.read_time() - seconds_ago)

    def list_open(self):
        """Return this instance's counts that aren't stored yet."""
        return self.counter.list_open(self.read_time())

    def hear(self, word, near):
        """Take an instance's counts, this one's too; ``near`` tells to store them."""
        heard = self._near if near else self._far
        heard.hear(name_process(word.name, word.incarnation), word.usage)

    def list_stored(self, word):
        """Return the windows of which these very counts are stored."""
        process = name_process(word.name, word.incarnation)
        return [
            window
            for window, counts in word.usage.items()
            if self._stored.get(window, {}).get(process) == counts
        ]

    def note_stored(self, word, windows):
        """Take note that what was told in a word is stored, for these windows."""
        for window in windows:
            self.counter.note_stored(window, word.usage[window])

    def find(self, window):
        """Return all counts of a window that were heard, by process."""
        return merge((self._near.find(window), self._far.find(window)))

    def count_heard(self):
        """Return how many requests were counted here or told of."""
        return self._near.count()

    def is_idle(self):
        """Tell whether no count is being stored."""
        return not self._writing

    def write_open_windows(self):
        """Write all that isn't stored, the open window too, before the process ends."""
        windows = self.list_open()
        self._near.hear(self._name, windows)
        for window in windows:
            self._write(window)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        if self._writing or now < self._due or not self.stores():
            return
        window = self._find_due(self.read_time())
        if window is not None:
            self._write(window)

    def _find_due(self, now):
        for window in self._near.list_windows():
            ended = (window + 1) * self.counter.length
            if not WRITE_LAG <= now - ended < REWRITE_FOR:
                continue
            if self._near.find(window) != self._stored.get(window):
                return window
        return None

    def _write(self, window):
        self._writing += 1
        counts = dict(self._near.find(window))
        put = (f"{PARTS}{window}/{self._name}", encode_counts(counts), 0)
        self._store.submit(
            Commit(puts=(put,)), lambda reply: self._written(window, counts, reply)
        )

    def _written(self, window, counts, reply):
        self._writing -= 1
        if not isinstance(reply, Committed):
            self._due = read_boottime() + RETRY_WAIT
            return
        self._stored[window] = counts
        for old in sorted(self._stored)[:-WINDOWS_KEPT]:
            del self._stored[old]
        self.counter.note_stored(window, counts.get(self._name, {}))


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
        stored = merge(decode_counts(item.value) for item in reply.items)
        told = self._parts.find(window)
        heard = {name: told[name] for name in told if name not in stored}
        missing = self._coordinator.list_recent() - read_names(stored)
        # Who is heard of lives and may store its last counts yet; who isn't may return.
        patience = PATIENCE if missing - read_names(heard) else HEARD_PATIENCE
        if missing and waited < patience:
            self._wait()
            return
        counts = add_up(merge((stored, told)).values())
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
