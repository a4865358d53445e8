"""Detection of requests that crash the upstreams that run them.

Every request that was in flight at an upstream when it crashed is suspected, by its
fingerprint, and so is every part that its prompt shares with other requests. What is
suspected of several crashes that nothing else explains is barred; what receives a
complete answer is cleared. docs/design/CRASHING-REQUESTS.md and CRASHING-PARTS.md
compare the alternatives and their costs.

Below, a request stands for either: a request's content or a part of prompts.
"""

from collections import OrderedDict
from math import inf
from typing import NamedTuple

from .bounds import keep_latest
from .crash_causes import (
    PartStatistics,
    SuspectedRequest,
    SuspicionState,
    list_notes,
    select_causes,
)
from .exceptions import RequestBarred
from .stored_crashes import DueNotes, StoredCrashes, find_note

# Number of crashes from which a suspected request is barred.
CRASH_LIMIT = 3
# Seconds after its last crash for which a request is suspected. Callers may repeat a
# crashing request forever: with a shorter time it would crash three upstreams again and
# again; a longer time bars requests whose fault has been fixed in the meantime.
SUSPECTED_FOR = 600.0
# Seconds after a request's last crash for which another instance's report that the
# request was answered may still be in transit. A caller that is refused in this time is
# asked to retry after as many seconds.
REPORT_DELAY = 2.0
# Number of latest requests that are kept; each takes about a hundred bytes.
MAX_REQUESTS = 4096
# Seconds for which a suspicion is reported to other instances, which takes several
# exchanges with each of them.
REPORT_FOR = 3.0
# Suspicions reported at once, so that a datagram stays small.
MAX_REPORTS = 64
# Seconds for which a request with a complete answer is not suspected, and how many such
# requests are kept. A request that hundreds of callers send for one document is in
# flight at every upstream that crashes; without this it would be barred for crashes
# that it didn't cause.
EXEMPT_FOR = 10.0
MAX_ANSWERED = 4096
# Seconds since an answer whose time isn't known, so that it exempts nothing.
OLD_ANSWER_AGE = 2 * EXEMPT_FOR
# Number of upstreams whose crash is kept, and of those whose last answer is kept.
MAX_UPSTREAMS = 1024
# Seconds by which a report that an upstream has answered may be late, as datagrams wait
# during a burst. Without this margin it could withdraw a crash that followed the
# answer.
ALIVE_MARGIN = 0.5
# In place of the upstream, this value makes a report withdraw all suspicions of the
# request; in place of the fingerprint, all suspicions of the upstream's crash.
ANY = ""


class Suspicion(NamedTuple):
    """A request that was in flight at an upstream that crashed."""

    fingerprint: str
    upstream: str


class CrashReport(NamedTuple):
    """Report to another instance: a Suspicion and the seconds since the crash."""

    fingerprint: str
    upstream: str
    age: float


class CrashRecords:
    """Suspicions known to one instance; times are seconds on one clock.

    Reports may arrive repeatedly, late and in any order; all instances reach the same
    result.
    """

    def __init__(self, name):
        self._suspects = OrderedDict()
        # The times of crashes by upstream and suspected request, as one crash may be
        # reported wrongly before the upstream does crash, and the time of each
        # upstream's last known answer.
        self._crashes = OrderedDict()
        self._alive = OrderedDict()
        # The times at which the latest requests were answered completely.
        self._answered = OrderedDict()
        # Requests that are suspected of at least CRASH_LIMIT crashes, and possibly some
        # that no longer are.
        self._often_suspected = set()
        self.part_statistics = PartStatistics()
        # The time of the crash of each suspicion to report, and the end of its reports.
        self._reports = {}
        self.stored = StoredCrashes(name, self._count_if_proved)
        self.due_notes = DueNotes(name, self._list_notes)

    def count(self, fingerprint, now):
        """Return the number of crashes that a request is suspected of."""
        suspect = self._suspects.get(fingerprint)
        return suspect.count() if suspect and now < suspect.until else 0

    def is_barred(self, fingerprint, now):
        """Return whether a request must not be sent to any upstream."""
        if self.count(fingerprint, now) < CRASH_LIMIT:
            return False
        return fingerprint in self._list_causes(now)

    def find_barred(self, suspects, now):
        """Return the first barred one of a request's Suspects, or None."""
        for suspect in suspects:
            if self.is_barred(suspect.fingerprint, now):
                return suspect
        return None

    def raise_if_barred(self, suspects, now):
        """Raise RequestBarred if one of a request's Suspects is barred."""
        suspect = self.find_barred(suspects, now)
        if suspect is None:
            return
        # A request that is still being repeated must not be evicted first.
        self._suspects.move_to_end(suspect.fingerprint)
        wait = self._suspects[suspect.fingerprint].until - now
        if wait > SUSPECTED_FOR - REPORT_DELAY:
            wait = REPORT_DELAY
        raise RequestBarred(scope=suspect.scope, retry_after=wait)

    def count_suspected(self, now):
        """Return the number of suspected requests, and how many of them are barred."""
        suspected = sum(self.count(item, now) > 0 for item in self._suspects)
        return suspected, len(self._list_causes(now))

    def assume(self, suspicion, now):
        """Suspect a request until it is known whether the upstream has crashed."""
        if self._was_answered(suspicion.fingerprint, now):
            return
        suspect = self._find_or_add(suspicion.fingerprint, now)
        suspect.crashes.setdefault(suspicion.upstream, SuspicionState.ASSUMED)
        self._note_count(suspicion.fingerprint, suspect)

    def dismiss(self, suspicion):
        """Remove an assumed suspicion, because the upstream is still running."""
        suspect = self._suspects.get(suspicion.fingerprint)
        if (
            suspect
            and suspect.crashes.get(suspicion.upstream) is SuspicionState.ASSUMED
        ):
            del suspect.crashes[suspicion.upstream]
            if not suspect.crashes:
                del self._suspects[suspicion.fingerprint]

    def prove(self, suspicion, now):
        """Suspect a request of a crash that this instance detected."""
        self.apply_reports(CrashReport(*suspicion, 0.0), now, from_group=True)

    def apply_reports(self, report, now, from_group=False):
        """Apply a report.

        ``from_group`` is True if this instance or another of its group sent it.
        """
        suspicion, at = Suspicion(report.fingerprint, report.upstream), now - report.age
        if suspicion.upstream == ANY:
            self._apply_answer(suspicion.fingerprint, at, now)
            return
        if suspicion.fingerprint == ANY:
            self._withdraw_crash(suspicion.upstream, at - ALIVE_MARGIN, now)
            return
        if not self._add_proved(suspicion, at, now):
            return
        answered_at = self._answered.get(suspicion.fingerprint)
        if answered_at is not None:
            self._queue_report(Suspicion(suspicion.fingerprint, ANY), answered_at, now)
        self._queue_report(suspicion, at, now)
        if from_group:
            self.stored.collect(*suspicion, now)
        suspect = self._suspects[suspicion.fingerprint]
        if suspect.count() > 1:
            self.stored.expedite(suspect.crashes.keys(), now)

    def apply_stored(self, key, crash, revision, now):
        """Apply the crash stored under a key, or None if the key was deleted.

        A key is deleted when its lease expires, or by an operator, to let the requests
        pass that are suspected of the crash.
        """
        before = self.stored.update(key, crash, revision)
        note = find_note(crash) if crash else None
        if note is not None:
            self._apply_note(note, now)
            return
        found = crash.fingerprints if crash else ()
        for fingerprint in found:
            self._add_proved(Suspicion(fingerprint, crash.upstream), now, now)
        if before is not None:
            self._withdraw_deleted(
                before.upstream, set(before.fingerprints) - set(found)
            )

    def clear(self, fingerprint, now):
        """Withdraw all suspicions of a request that was answered completely."""
        self._answered[fingerprint] = now
        self._answered.move_to_end(fingerprint)
        keep_latest(self._answered, MAX_ANSWERED)
        self._withdraw_request(fingerprint, now)

    def record_survived(self, fingerprint, now):
        """Record that a part was answered at some time, or crashed no upstream."""
        if fingerprint not in self._answered:
            self._answered[fingerprint] = now - OLD_ANSWER_AGE
            keep_latest(self._answered, MAX_ANSWERED)

    def list_crashed(self, before):
        """Return the upstreams that are recorded as crashed at or before a time."""
        crashes = self._crashes.items()
        return [name for name, crash in crashes if max(crash.values()) <= before]

    def record_alive(self, upstream, sent_at, now):
        """Record that an upstream answered a call that was sent at a time.

        When two data centres are cut off from each other, connections are reset and
        refused as if the upstreams had crashed. An answer to a reachable instance shows
        that they are running, so the suspicions of their crashes are withdrawn.
        """
        crash = self._crashes.get(upstream)
        if crash is not None:
            self._withdraw_crash(upstream, sent_at, now)

    def list_reports(self, now):
        """Return the recent CrashReports to send to other instances.

        Suspicions of the most suspected requests come first and withdrawals last: when
        a rack of upstreams crashes at once, not all of them fit.
        """
        self._reports = {
            k: report for k, report in self._reports.items() if now < report[1]
        }
        rank = lambda item: (
            ANY not in item,
            self.count(item.fingerprint, now),
            self._reports[item],
        )
        first = sorted(self._reports, key=rank, reverse=True)[:MAX_REPORTS]
        return [CrashReport(*item, now - self._reports[item][0]) for item in first]

    def _apply_answer(self, fingerprint, at, now):
        """Apply a report that a request was answered at a time."""
        if at > self._answered.get(fingerprint, -inf):
            self._answered[fingerprint] = at
            keep_latest(self._answered, MAX_ANSWERED)
            if now - at >= EXEMPT_FOR:
                self._queue_report(Suspicion(fingerprint, ANY), at, now)
        if now - at < EXEMPT_FOR:
            self._withdraw_request(fingerprint, now)

    def _list_notes(self, now):
        """Return the CrashNotes by which instances that start later select causes."""
        return list_notes(
            self._list_candidates(now),
            self._answered.__contains__,
            self.part_statistics,
        )

    def _apply_note(self, note, now):
        if note.companion:
            self.part_statistics.add_note(note)
        else:
            self.record_survived(note.part, now)

    def _queue_report(self, suspicion, at, now):
        self._reports[suspicion] = (at, now + REPORT_FOR)

    def _withdraw_deleted(self, upstream, fingerprints):
        """Withdraw the suspicions of a crash that were deleted from the store."""
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint)
            if suspect and upstream in suspect.crashes:
                suspect.crashes[upstream] = SuspicionState.WITHDRAWN

    def _withdraw_crash(self, upstream, at, now):
        """Withdraw a crash of an upstream that was running at a later time ``at``."""
        if at > self._alive.get(upstream, -inf):
            self._alive[upstream] = at
            self._alive.move_to_end(upstream)
            keep_latest(self._alive, MAX_UPSTREAMS)
        crash = self._crashes.get(upstream, {})
        withdrawn = [item for item, crashed_at in crash.items() if crashed_at < at]
        if not withdrawn:
            return
        for fingerprint in withdrawn:
            del crash[fingerprint]
            self._reports.pop(Suspicion(fingerprint, upstream), None)
            self.stored.schedule_rewrite(fingerprint, now)
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                suspect.crashes.pop(upstream, None)
        if not crash:
            del self._crashes[upstream]
        self._queue_report(Suspicion(ANY, upstream), at, now)

    def _count_if_proved(self, fingerprint, upstream):
        suspect = self._suspects.get(fingerprint)
        proved = suspect and suspect.crashes.get(upstream) is SuspicionState.PROVED
        return suspect.count() if proved else 0

    def _update_time(self, suspicion, at):
        """Apply another report of a suspicion: of the same crash or of a later one."""
        crash = self._crashes.get(suspicion.upstream, {})
        if suspicion.fingerprint in crash:
            crash[suspicion.fingerprint] = max(crash[suspicion.fingerprint], at)

    def _note_count(self, fingerprint, suspect):
        if suspect.count() >= CRASH_LIMIT:
            self._often_suspected.add(fingerprint)

    def _list_candidates(self, now):
        """Return the crashes by request, of those suspected of CRASH_LIMIT crashes."""
        crashes = {
            item: self._suspects[item].list_crashes()
            for item in self._often_suspected
            if self.count(item, now) >= CRASH_LIMIT
        }
        self._often_suspected = set(crashes)
        return crashes

    def _list_causes(self, now):
        """Return the requests that probably caused the crashes."""
        return select_causes(
            self._list_candidates(now),
            self._answered.__contains__,
            self.part_statistics.is_unlikely,
        )

    def _was_answered(self, fingerprint, now):
        return now - self._answered.get(fingerprint, -inf) < EXEMPT_FOR

    def _find_or_add(self, fingerprint, now):
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now >= suspect.until:
            suspect = self._suspects[fingerprint] = SuspectedRequest()
        suspect.until = now + SUSPECTED_FOR
        self._suspects.move_to_end(fingerprint)
        keep_latest(self._suspects, MAX_REQUESTS)
        return suspect

    def _add_proved(self, suspicion, at, now):
        """Record a proved suspicion; return whether it is new and counts."""
        if at < self._alive.get(suspicion.upstream, -inf):
            return False
        existing = self._suspects.get(suspicion.fingerprint)
        state = (
            existing
            and now < existing.until
            and existing.crashes.get(suspicion.upstream)
        )
        if state is SuspicionState.PROVED:
            self._update_time(suspicion, at)
        if state in (SuspicionState.PROVED, SuspicionState.WITHDRAWN):
            return False
        suspect = self._find_or_add(suspicion.fingerprint, now)
        suspect.crashes[suspicion.upstream] = SuspicionState.PROVED
        self._note_count(suspicion.fingerprint, suspect)
        self._crashes.setdefault(suspicion.upstream, {})[suspicion.fingerprint] = at
        keep_latest(self._crashes, MAX_UPSTREAMS)
        if self._was_answered(suspicion.fingerprint, now):
            self._withdraw_request(suspicion.fingerprint, now)
            return False
        return True

    def _withdraw_request(self, fingerprint, now):
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.count() == 0:
            return
        self.stored.schedule_rewrite(fingerprint, now)
        # Kept, so that further reports of these crashes have no effect.
        suspect.crashes = dict.fromkeys(suspect.crashes, SuspicionState.WITHDRAWN)
        # With the time of the answer: as a new one, it would be exempt once more.
        answered_at = self._answered.get(fingerprint, now)
        self._queue_report(Suspicion(fingerprint, ANY), answered_at, now)
