"""Storing of this instance's usage counts, and reporting of all instances' counts."""

import time

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .duty_calls import Accepted, Outdated, ReportUsage
from .logs import log_event
from .store_calls import Commit, Committed, Conflict, ListItems, Page
from .usage import (
    MAX_WINDOWS,
    SHARED_REPORT,
    ReceivedCounts,
    Report,
    UsageCounter,
    decode_counts,
    decode_report,
    encode_counts,
    encode_report,
    merge_counts,
    name_process,
    sum_counts,
)

PARTS = "chervilwing/usage-parts/"
REPORT = "chervilwing/usage-report"
# Seconds after a window's end at which the counts of a group are written: by then the
# last counts have been reported, and clocks differ by less than this.
WRITE_DELAY = 0.9
# Seconds after a window's end from which the counts are added up, and after which
# missing counts are no longer waited for. The shorter timeout applies where all missing
# counts were at least reported to this instance. A report is due ten seconds after the
# window's end.
COLLECT_DELAY = 1.5
MISSING_TIMEOUT = 6.5
REPORTED_TIMEOUT = 3.5
# Seconds between two tries of a failed call.
RETRY_INTERVAL = 0.5
# Seconds after a window's end for which changed counts are written again.
REWRITE_WINDOW = 10.0
# Maximum number of windows that are reported late, after a time without any report.
MAX_LATE_WINDOWS = 4
# Maximum number of deletions in one commit: the store's limit of entries less the
# commit's other entries.
MAX_DELETES = 29


def list_instance_names(processes):
    """Return the names of the instances to which these processes belong."""
    return {process.rpartition(".")[0] for process in processes}


class UsageParts(BaseComponent):
    """Count requests that run here, and store the counts with those of other instances.

    ``is_storing`` returns whether this instance stores; otherwise it only reports its
    counts to another one that does. ``read_shared`` returns the item of SHARED_REPORT
    that is in force, or None, and ``read_item(read, item)`` what ``read`` makes of an
    item, None if that is invalid.
    """

    channel = "usage-parts"

    def __init__(self, cfg, store, agreed_time):
        super().__init__()
        self.counter = UsageCounter(cfg.usage_window)
        self.is_storing = lambda: True
        self.read_shared = lambda: None
        self.read_item = lambda read, item: read(item.key, item.value)
        self._shared_item = self._shared_report = None
        self._store = store
        self._agreed_time = agreed_time
        # The name includes the incarnation, so that a restarted instance doesn't
        # overwrite the counts of its previous process.
        self._process = name_process(cfg.name, cfg.incarnation)
        # Counts of this instance's group, which this instance may store, and counts of
        # other groups.
        self._group_counts = ReceivedCounts()
        self._other_counts = ReceivedCounts()
        self._stored = {}
        self._pending_writes = 0
        self._retry_at = 0.0
        store.epochs.subscribe(self._enter_epoch)

    def _enter_epoch(self, epoch):
        """Store the counts again that a restored store may have lost.

        Those of reported windows aren't needed any more.
        """
        report = self.find_last_report()
        reported = report.window if report else -1
        self._stored = {w: c for w, c in self._stored.items() if w <= reported}
        self.counter.forget_stored(reported)

    def find_last_report(self):
        """Return the last Report of any instance that is known here, or None."""
        item = self.read_shared()
        if item != self._shared_item:
            self._shared_item = item
            self._shared_report = item and self.read_item(decode_report, item)
        return self._shared_report

    def read_time(self):
        """Return the Unix time in seconds that the instances agree on."""
        return self._agreed_time.read(time.time(), read_boottime())

    def count_request(self, organisation, seconds_ago):
        """Count a request that began to run ``seconds_ago``."""
        self.counter.count(organisation, self.read_time() - seconds_ago)

    def list_unstored(self):
        """Return this instance's counts that aren't stored yet."""
        return self.counter.list_unstored(self.read_time())

    def add_report(self, report, same_group):
        """Add the counts of a report; ``same_group`` if this instance stores them."""
        target = self._group_counts if same_group else self._other_counts
        target.add(name_process(report.name, report.incarnation), report.usage)

    def list_stored(self, report):
        """Return the windows for which exactly the reported counts are stored."""
        process = name_process(report.name, report.incarnation)
        return [
            window
            for window, counts in report.usage.items()
            if self._stored.get(window, {}).get(process) == counts
        ]

    def mark_stored(self, report, windows):
        """Record that a sent report's counts are stored for these windows."""
        for window in windows:
            self.counter.mark_stored(window, report.usage[window])

    def find(self, window):
        """Return all known counts of a window, by process."""
        return merge_counts(
            (self._group_counts.find(window), self._other_counts.find(window))
        )

    def count_reported(self):
        """Return the number of requests counted in the windows kept for the group."""
        return self._group_counts.count()

    def is_idle(self):
        """Return whether no write of counts is pending."""
        return not self._pending_writes

    def write_unstored(self):
        """Write all unstored counts, the present window's too, before exit."""
        windows = self.list_unstored()
        self._group_counts.add(self._process, windows)
        for window in windows:
            self._write(window)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        if self._pending_writes or now < self._retry_at or not self.is_storing():
            return
        window = self._find_due(self.read_time())
        if window is not None:
            self._write(window)

    def _find_due(self, now):
        for window in self._group_counts.list_windows():
            ended = (window + 1) * self.counter.length
            if not WRITE_DELAY <= now - ended < REWRITE_WINDOW:
                continue
            if self._group_counts.find(window) != self._stored.get(window):
                return window
        return None

    def _write(self, window):
        self._pending_writes += 1
        counts = dict(self._group_counts.find(window))
        put = (f"{PARTS}{window}/{self._process}", encode_counts(counts), 0)
        self._store.submit(
            Commit(puts=(put,)),
            lambda reply: self._receive_write_reply(window, counts, reply),
        )

    def _receive_write_reply(self, window, counts, reply):
        self._pending_writes -= 1
        if not isinstance(reply, Committed):
            self._retry_at = read_boottime() + RETRY_INTERVAL
            return
        self._stored[window] = counts
        for old in sorted(self._stored)[:-MAX_WINDOWS]:
            del self._stored[old]
        self.counter.mark_stored(window, counts.get(self._process, {}))


class UsageReporter(BaseComponent):
    """Report each window once, with the same counts whichever instance reports it.

    The counts are fixed by a conditional write before they are sent. If a holder dies
    in between, the next one finds and sends the same counts.
    """

    channel = "usage-reports"

    def __init__(self, cfg, store, cloud, coordinator, parts):
        super().__init__()
        self._cfg = cfg
        self._store = store
        self._cloud = cloud
        self._coordinator = coordinator
        self._parts = parts
        parts.read_item = coordinator.read_item
        self._fence = None
        self._report_read = False
        self._revision = 0
        self._report = None
        self._report_stored = True
        self._report_sent = False
        self._call_pending = False
        self._retry_at = 0.0
        self._obsolete_keys = []

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        fence = self._coordinator.duty_lease.fence(now)
        if fence != self._fence:
            self._fence, self._report_read = fence, False
        if fence is None or self._call_pending or now < self._retry_at:
            return
        self._advance(now)

    def _advance(self, now):
        self._adopt(self._parts.find_last_report())
        if not self._report_read:
            self._submit(ListItems(REPORT), self._receive_report)
        elif not self._report_stored:
            self._store_report(self._report, ())
        elif self._report is not None and not self._report_sent:
            self._send(now)
        elif self._obsolete_keys:
            keys, self._obsolete_keys = (
                self._obsolete_keys[:MAX_DELETES],
                self._obsolete_keys[MAX_DELETES:],
            )
            self._submit(Commit(deletes=tuple(keys)), lambda reply: None)
        else:
            self._collect()

    def _submit(self, req, receive):
        self._call_pending = True
        fence = self._fence

        def receive_reply(reply):
            self._call_pending = False
            # A reply to a call under an earlier fencing number may be outdated.
            if fence == self._fence:
                receive(reply)

        self._store.submit(req, receive_reply)

    def _retry_later(self):
        self._retry_at = read_boottime() + RETRY_INTERVAL

    def _receive_report(self, reply):
        if not isinstance(reply, Page):
            self._retry_later()
            return
        found = [item for item in reply.items if item.key == REPORT]
        self._revision = found[0].revision if found else 0
        known, self._report = self._report, None
        if found:
            self._report = self._coordinator.read_item(decode_report, found[0])
        self._report_stored, self._report_sent = True, False
        self._report_read = True
        self._adopt(known)
        self._submit(ListItems(PARTS), self._receive_obsolete_keys)

    def _adopt(self, known):
        """Go on from a known Report that the store has lost; None if none is known.

        Its window may have been reported already. Counted again, it could be reported
        with other counts.
        """
        window = self._report.window if self._report else -1
        if self._report_read and known is not None and known.window > window:
            self._report = known._replace(epoch=self._store.epochs.current)
            self._report_stored = self._report_sent = False

    def _receive_obsolete_keys(self, reply):
        """Collect the keys of counts that were stored too late for their window."""
        if not isinstance(reply, Page) or self._report is None:
            return
        for item in reply.items:
            window = item.key.removeprefix(PARTS).partition("/")[0]
            if window.isdecimal() and int(window) <= self._report.window:
                self._obsolete_keys.append(item.key)

    def _next_window(self):
        length = self._parts.counter.length
        newest = int((self._parts.read_time() - COLLECT_DELAY) // length) - 1
        if self._report is None:
            return newest
        first = max(self._report.window + 1, newest - MAX_LATE_WINDOWS)
        if self._report.epoch < self._store.epochs.current:
            # Later windows may have been reported before the store returned, and this
            # process knows only of those since its start that they weren't.
            first = max(first, self._parts.counter.first)
        return first

    def _collect(self):
        window = self._next_window()
        ended = (window + 1) * self._parts.counter.length
        waited = self._parts.read_time() - ended
        if waited < COLLECT_DELAY:
            return
        self._submit(
            ListItems(f"{PARTS}{window}/"),
            lambda reply: self._receive_parts(window, waited, reply),
        )

    def _receive_parts(self, window, waited, reply):
        if not isinstance(reply, Page):
            self._retry_later()
            return
        parts = [
            self._coordinator.read_item(decode_counts, item) for item in reply.items
        ]
        stored = merge_counts(part for part in parts if part is not None)
        reported = self._parts.find(window)
        unstored = {name: reported[name] for name in reported if name not in stored}
        missing = self._coordinator.list_recent_instances() - list_instance_names(
            stored
        )
        # Counts that were reported here can be used although they aren't stored, so
        # their instances are waited for only briefly. Instances whose counts are
        # unknown may return and get more time.
        timeout = (
            MISSING_TIMEOUT
            if missing - list_instance_names(unstored)
            else REPORTED_TIMEOUT
        )
        if missing and waited < timeout:
            self._retry_later()
            return
        counts = sum_counts(merge_counts((stored, reported)).values())
        keys = [item.key for item in reply.items]
        report = Report(window, counts, self._store.epochs.current)
        log_event(
            "usage decided",
            window=window,
            parts=len(stored),
            heard=len(unstored),
            missing=len(missing),
        )
        self._store_report(report, keys)

    def _store_report(self, report, obsolete_keys):
        """Store a report under both keys and delete the counts of its window."""
        value = encode_report(report)
        commit = Commit(
            expect=((REPORT, self._revision),),
            puts=((REPORT, value, 0), (SHARED_REPORT, value, 0)),
            deletes=tuple(obsolete_keys[:MAX_DELETES]),
        )
        self._submit(
            commit,
            lambda answer: self._receive_commit_reply(
                report, obsolete_keys[MAX_DELETES:], answer
            ),
        )

    def _receive_commit_reply(self, report, obsolete_keys, reply):
        if isinstance(reply, Committed):
            self._revision, self._report = reply.revision, report
            self._report_stored, self._report_sent = True, False
            self._obsolete_keys += obsolete_keys
            return
        # A write whose reply was lost may have taken effect: read the report again
        # first.
        self._report_read = False
        if not isinstance(reply, Conflict):
            self._retry_later()

    def _send(self, now):
        self._call_pending = True
        self._coordinator.duty_lease.record_act(now)
        call = ReportUsage(
            self._report.window,
            self._report.counts,
            self._cfg.name,
            self._fence,
            time.monotonic() + self._cfg.lease,
        )
        self._cloud.submit(call, self._receive_platform_reply)

    def _receive_platform_reply(self, reply):
        self._call_pending = False
        if isinstance(reply, Accepted):
            self._report_sent = True
        elif isinstance(reply, Outdated):
            log_event(
                "fencing number outdated", fence=self._fence or 0, detail=reply.text
            )
            self._coordinator.duty_lease.give_up()
        else:
            log_event("usage not reported", reply=type(reply).__name__)
            self._retry_later()
