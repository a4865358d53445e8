"""Who leads a group of instances, and how the others learn from it.

A group are instances of one data centre. The first of them that is alive leads: it
watches the store, and the others ask it a few times a second by single datagrams and
tell it in the question what they spend and have in flight. An answer says how old it
is, counted from the call on the store that proved it, so that a neighbour's knowledge
is as good a proof as one's own call.
"""

from math import ceil
from types import MappingProxyType
from typing import NamedTuple

from .hashing import hash_text

# Seconds between two questions, in a large group and in a small one. Load: hundreds of
# instances that each watch the store. Harm: every change wakes all of them, and each
# pays for a call. Rarer, what others have in flight would be too old to choose by.
ASK_EVERY = 0.4
SOONEST = 0.2
# Questions a second that a leader answers to its group: 0.5 % of a core.
QUESTIONS_PER_SECOND = 60.0
# Instances of one group at most, so that each may ask so often.
GROUP_SIZE = 24
# Seconds for an answer: a round trip takes 3 ms, a small instance's turn 50 ms.
ANSWER_WAIT = 0.25
# Questions without an answer after which another instance is asked: one datagram in
# thirty is lost on a bad link.
MISSES = 2
# Seconds for which an instance that failed isn't asked again.
AVOIDED_FOR = 3.0
# Seconds by which the oldest knowledge that an answer may bring is younger than the
# bound within which a change must be heeded. With the next question one that is cut off
# from the store is left, and 0.3 s remain to ask the store and to take what it says.
HEED_TIME = ASK_EVERY + 0.3
# The same for the shortest bound, 2 s. A watch of 0.4 s proves what is up to 0.8 s old;
# whoever asks a follower adds ASK_EVERY.
OLDEST = 2.0 - HEED_TIME
# Leaders that watch the store, where the bounds leave time for the others to ask them.
# Load: hundreds of instances in ten groups. Harm: ten that watch are 65 calls a second,
# all paid for; two are 13, however many groups there are, and one of them may be lost.
WATCHERS = 2
# Oldest knowledge up to which every leader watches for itself: what a watch proves is
# up to 0.8 s old, and a leader's and its follower's questions add ASK_EVERY each.
ALL_WATCH = 0.8 + 2 * ASK_EVERY
# Mbit/s of a machine's link beyond which more is no reason to lead: a leader's words to
# its group are some 5 Mbit/s in bursts.
AMPLE_LINK = 100.0
NO_LINKS = MappingProxyType({})


class Asked(NamedTuple):
    """A question that waits for its answer."""

    number: int
    name: str
    at: float


def rank(names, links=NO_LINKS):
    """Return the names in the order in which they are asked, the same everywhere.

    ``links`` are the Mbit/s of their machines' links. Load: bursts in which callers
    fill the link of a small machine. Harm: with a leader there, the words of its group
    are lost with its callers' bytes, all of them look for another one, and for half a
    second decide alone; of 67 instances 20 to 60 did so each second.
    """
    room = {name: min(AMPLE_LINK, links.get(name, 0.0)) for name in names}
    return sorted(names, key=lambda name: (-room[name], hash_text(name), name))


def arrange(centres, links=NO_LINKS):
    """Return group to ranked names, for names by data centre.

    Who is in which group follows from the names alone, so that all find the same.
    """
    groups = {}
    for centre, names in centres.items():
        count = ceil(len(names) / GROUP_SIZE)
        for name in rank(names, links):
            group = f"{centre}/{hash_text(name) % count}"
            groups.setdefault(group, []).append(name)
    return groups


def find_interval(size):
    """Return the seconds between two questions in a group of so many instances."""
    return min(ASK_EVERY, max(SOONEST, size / QUESTIONS_PER_SECOND))


class Fanout:
    """State of the questions to one group; times are seconds on one clock.

    ``oldest`` is how old what an answer brings may be to count as of late.
    """

    def __init__(self, oldest=OLDEST):
        self._oldest = oldest
        # Whom to ask, None where none answers.
        self.target = None
        # Whether the last answer brought knowledge that is of late.
        self.fresh = False
        self._preferred = None
        self._asked = None
        self._misses = 0
        self._number = 0
        self._due = 0.0
        self._avoided = {}

    def choose(self, names, now):
        """Return which of the ranked names to ask, or None where none answers."""
        able = [name for name in names if now >= self._avoided.get(name, 0.0)]
        target = next(iter(able), None)
        if self._preferred in able:
            target = self._preferred
        if target != self.target:
            self.target, self._asked, self._misses = target, None, 0
            self.fresh = False
            self._due = now
        return target

    def next_question(self, now, interval=ASK_EVERY):
        """Return the number of the question to ask the target now, or None."""
        if self._asked is not None and now - self._asked.at >= ANSWER_WAIT:
            self._miss(now)
        if self.target is None or self._asked is not None or now < self._due:
            return None
        self._number += 1
        self._asked = Asked(self._number, self.target, now)
        self._due = now + interval
        return self._number

    def receive(self, number, age, more, now):
        """Take an answer; return the Asked it answers, or None if it is of no use.

        ``age`` is how old what it tells is, ``more`` that there is more to ask for.
        Guard: one that is cut off from the store answers on and on with what it knew;
        those that ask it would keep a key or an upstream that is long gone. So they ask
        the store themselves as long as answers aren't ``fresh``; what else they learn
        here doesn't depend on the store.
        """
        if self._asked is None or self._asked.number != number:
            return None
        asked, self._asked, self._misses = self._asked, None, 0
        self.fresh = age <= self._oldest
        if more:
            self._due = now
        return asked

    def pass_over(self, now):
        """Ask another one for a while, as this one knows nothing of late."""
        self._avoid(self.target, now)

    def prefer(self, name, now):
        """Ask this one from now on, as somebody said that it watches."""
        self._preferred = name
        self._due = now

    def _miss(self, now):
        asked, self._asked = self._asked, None
        self._misses += 1
        self._due = now
        if self._misses >= MISSES:
            self._avoid(asked.name, now)

    def _avoid(self, name, now):
        self._avoided[name] = now + AVOIDED_FOR
        self._misses = 0
        if name == self._preferred:
            self._preferred = None
