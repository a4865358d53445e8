"""Selection of what crashes upstreams among all that was in flight there.

The cause is in flight at each of its crashes, but so are other requests and the parts
that their prompts share with it.
"""

from collections import Counter, OrderedDict
from enum import Enum
from math import inf
from typing import NamedTuple

from .bounds import keep_latest
from .exceptions import Scope
from .fingerprints import make_part_fingerprint

# ``Scope.kind`` of a refusal that concerns all requests with a part.
PART_SCOPE = "part"
# Parts of one prompt that are considered, so that a caller can't add any number of
# entries to the records.
MAX_PARTS = 32
# Parts of prompts in a log line, those of most requests first.
MAX_LOGGED_PARTS = 24
# Number of latest parts whose requests are counted.
MAX_COUNTED_PARTS = 4096
# Requests with a part from which its statistics count.
MIN_COUNT = 3
# Factor by which one part comes more often than another one.
OFTEN = 5
# Seconds after the expected begin of an answer, and the factor by which that may be
# late, from which on a request has run longer than one that crashes its upstream.
LONG_RUN = 1.0
ESTIMATE_FACTOR = 2.0
# Crashes that a further cause has to explain. Two causes may be in flight at the same
# crashes, so that the second one has fewer of its own.
MIN_UNEXPLAINED = 2
MIN_UNEXPLAINED_ANSWERED = 3
# Number of latest CrashNotes of other instances that are kept.
MAX_NOTES = 1024


class Suspect(NamedTuple):
    """What may crash upstreams: a request's content or a shared part of its prompt."""

    fingerprint: str
    scope: Scope


class SuspicionState(Enum):
    """State of one request's suspicion of one crash.

    ASSUMED: a connection broke off, and it is not yet known whether the upstream has
    crashed. PROVED: the upstream has crashed. WITHDRAWN: another upstream has answered
    the request since, or the crash was deleted from the store.
    """

    ASSUMED = 1
    PROVED = 2
    WITHDRAWN = 3


COUNTED_STATES = (SuspicionState.ASSUMED, SuspicionState.PROVED)


class SuspectedRequest:
    """Suspicions of one request.

    ``crashes`` maps each crash's upstream to a SuspicionState. All suspicions count
    until the time ``until``.
    """

    __slots__ = ("crashes", "until")

    def __init__(self):
        self.crashes = {}
        self.until = inf

    def list_crashes(self):
        """Return the crashes that the request is suspected of."""
        return {name for name, state in self.crashes.items() if state in COUNTED_STATES}

    def count(self):
        """Return the number of crashes that the request is suspected of."""
        return sum(state in COUNTED_STATES for state in self.crashes.values())


class CrashNote(NamedTuple):
    """What tells a suspected part from the cause, if the crashes don't.

    Every request with the part also has the ``companion``; if that is empty, the part
    was once answered.
    """

    part: str
    companion: str = ""


def describe_parts(in_flight):
    """Return the shared parts of requests in flight, each with its number of them."""
    scopes = (suspect.scope for suspects in in_flight for suspect in suspects)
    counts = Counter(scope.name for scope in scopes if scope.kind == PART_SCOPE)
    found = counts.most_common(MAX_LOGGED_PARTS)
    return ",".join(f"{name}:{count}" for name, count in found)


class PartRequests:
    """The number of requests with a part, and the parts that all of them had."""

    __slots__ = ("companions", "count")

    def __init__(self, parts):
        self.count = 0
        self.companions = parts


class PartStatistics:
    """Statistics of requests by part, of the parts that were requested last."""

    def __init__(self):
        self._requests = OrderedDict()
        # CrashNotes with a companion, of instances that may have ended.
        self._notes = OrderedDict()

    def add_note(self, note):
        """Add a CrashNote with a companion."""
        self._notes[note] = None
        keep_latest(self._notes, MAX_NOTES)

    def list_companions(self, part):
        """Return the parts that all requests with a part had; empty if these are few.

        The part itself is one of them.
        """
        found = self._requests.get(part)
        enough = found is not None and found.count >= MIN_COUNT
        return found.companions if enough else frozenset()

    def add(self, fingerprints):
        """Count a request with these parts."""
        parts = frozenset(fingerprints)
        for part in parts:
            found = self._requests.get(part)
            if found is None:
                found = self._requests[part] = PartRequests(parts)
            found.count += 1
            if not found.companions <= parts:
                found.companions &= parts
            self._requests.move_to_end(part)
        keep_latest(self._requests, MAX_COUNTED_PARTS)

    def is_unlikely(self, part, other):
        """Return whether another part crashes upstreams more likely than this one.

        Both were in flight at the same crashes. If all requests with the other part
        also have this one, the other's bar keeps them from upstreams, and what this
        part does is seen by its remaining requests. The same holds if the other one
        comes far more often, as a crashing part is tried again and again.
        """
        own, others = self._requests.get(part), self._requests.get(other)
        if own is None or other in own.companions:
            return False
        if others is None or others.count < MIN_COUNT:
            return CrashNote(other, part) in self._notes
        if own.count < MIN_COUNT:
            return False
        return part in others.companions or others.count >= OFTEN * own.count


def list_part_suspects(demand):
    """Return the Suspects among the parts of a prompt.

    The last part belongs to one request or session only, which its content identifies.
    """
    names = dict.fromkeys(demand.shared_parts[:MAX_PARTS])
    return tuple(
        Suspect(make_part_fingerprint(name), Scope(PART_SCOPE, name)) for name in names
    )


def list_long_run(relays, now):
    """Return the parts of prompts that an upstream has run without crashing on them.

    A cause crashes its upstream when that begins to answer. What has run for longer
    is in flight at the crash of another one.
    """
    return {
        part.fingerprint
        for relay in relays
        if now - relay.sent_at >= LONG_RUN + ESTIMATE_FACTOR * relay.estimate.seconds
        for part in relay.suspects[1:]
    }


def list_notes(candidates, was_answered, statistics):
    """Return the CrashNotes that tell some candidates from others."""
    notes = [CrashNote(part) for part in candidates if was_answered(part)]
    unanswered = {part for part in candidates if not was_answered(part)}
    for part in unanswered:
        found = unanswered & statistics.list_companions(part) - {part}
        notes.extend(CrashNote(part, companion) for companion in found)
    return notes


def select_causes(crashes, was_answered, is_unlikely):
    """Return the fingerprints that most probably caused the crashes.

    ``crashes`` maps fingerprints to sets of crashes. A crash that a cause explains is
    no evidence against the others; each cause explains at least MIN_UNEXPLAINED crashes
    that no cause before it does, or MIN_UNEXPLAINED_ANSWERED if it was once answered.
    ``was_answered`` tells whether an answer is known from any time, ``is_unlikely`` is
    that of PartStatistics.

    All of those with the strongest evidence are selected, except for the unlikely ones:
    their requests go on, and either they are answered or they crash upstreams, which
    decides it.
    """

    def is_evidence(key, found):
        answered = was_answered(key)
        return len(found) >= (MIN_UNEXPLAINED_ANSWERED if answered else MIN_UNEXPLAINED)

    causes = set()
    left = dict(crashes)
    while left := {key: left[key] for key in left if is_evidence(key, left[key])}:
        ranks = {key: (not was_answered(key), len(left[key])) for key in left}
        highest = max(ranks.values())
        found = [key for key in left if ranks[key] == highest]
        selected = [
            key for key in found if not any(is_unlikely(key, other) for other in found)
        ]
        causes.update(selected or found)
        # Any one of them may be the only cause, so that another part is explained only
        # by all of them; one that was answered once, by any of them.
        sets = [left[key] for key in selected or found]
        common, explained = set.intersection(*sets), set.union(*sets)
        left = {
            key: left[key] - (explained if was_answered(key) else common)
            for key in left
            if key not in found
        }
    return causes
