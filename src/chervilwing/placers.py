"""Which instance chooses the upstreams for all, and what it is asked.

A prompt is read in less time than instances need to tell each other what they sent.
Each on its own would choose by figures that are over; one that chooses for all knows
at once what it placed. docs/design/SHIFTED-WORK.md has the ways weighed.
"""

from collections.abc import Callable
from typing import NamedTuple

from .demands import Demand, PromptPart

# Seconds for an answer. Load: a placer that is cut off or slow. Harm: whoever asks it
# waits for nothing; a round trip takes 3 ms, and the shortest latency target is 150 ms.
ANSWER_WAIT = 0.03
# Asks in a row without an answer after which another instance is asked: one datagram in
# thirty is lost on a bad link.
MISSES = 2
# Seconds for which an instance that didn't answer isn't asked again.
AVOIDED_FOR = 3.0
# Asks a second that one instance answers, within half a core. Load: thousands of
# requests a second. Harm: answers that come too late for all. Whoever gets none asks
# the first of its own data centre.
ASKS_PER_SECOND = 1000


class Ask(NamedTuple):
    """What an instance asks of a placer: an upstream of a pool for one request.

    ``number`` tells it from the asker's others, also those of a process before it at
    the same address. ``seconds_left`` are until its deadline; ``excluded`` upstreams
    are left out.
    """

    number: int
    pool: str
    centre: str
    prompt_tokens: int
    output_tokens: int
    parts: list[tuple[str, int]]
    seconds_left: float
    excluded: list[str]


class Answer(NamedTuple):
    """The upstream that a placer chose, an empty text for none; see Estimate."""

    number: int
    name: str
    placer: str
    upstream: str = ""
    seconds: float = 0.0
    prefill: int = 0
    source: str = ""
    ahead: int = 0
    alone: bool = False
    charged: bool = False


class Ticket(NamedTuple):
    """By which number which instance knows a request that it placed."""

    number: int
    name: str


class PlacingHooks(NamedTuple):
    """What a gateway asks of whoever places, and tells it; by itself it places alone.

    ``ask`` tells whether an answer will follow, ``read_origin`` returns the Origin of a
    choice made here.
    """

    ask: Callable = lambda relay, now: False
    read_origin: Callable = lambda: None
    note_started: Callable = lambda relay: None
    note_ended: Callable = lambda relay, failed: None


def make_ask(number, cfg, relay, excluded, now):
    """Return the Ask for a request that may not go to some upstreams."""
    demand = relay.demand
    return Ask(
        number,
        relay.pool.traits.name,
        cfg.data_centre,
        demand.prompt_tokens,
        demand.output_tokens,
        [tuple(part) for part in demand.parts],
        demand.deadline - now,
        sorted(excluded),
    )


def read_demand(ask, now):
    """Return what a request asks of an upstream, as its Ask tells it."""
    parts = tuple(PromptPart(*part) for part in ask.parts)
    return Demand(
        "",
        now + ask.seconds_left,
        ask.prompt_tokens,
        ask.output_tokens,
        ask.output_tokens,
        parts,
    )


def order_placers(ranked, near):
    """Return the names in the order in which an instance asks them.

    The first of all comes first; who can't reach it asks those of its own data centre,
    as a data centre is cut off as a whole.
    """
    first = ranked[:1]
    return list(dict.fromkeys([*first, *(n for n in ranked if n in near), *ranked]))


class PlacerChoice:
    """State of one instance's choice; times are seconds on one clock.

    Two instances that both place for others know less of each other's than of their
    own; nothing else hangs on there being one.
    """

    def __init__(self):
        self._misses = {}
        self._avoided = {}

    def choose(self, names, now):
        """Return the first of these names that answers, or None."""
        return next((n for n in names if now >= self._avoided.get(n, 0.0)), None)

    def note_answer(self, name):
        """Take note that an instance answered."""
        self._misses.pop(name, None)

    def note_miss(self, name, now):
        """Take note that an ask had no answer in time."""
        self._misses[name] = self._misses.get(name, 0) + 1
        if self._misses[name] >= MISSES:
            self._avoided[name] = now + AVOIDED_FOR
            del self._misses[name]


class AskBound:
    """How many asks may still be answered; see ASKS_PER_SECOND."""

    def __init__(self):
        self._left = 0.0
        self._at = float("-inf")

    def take(self, now):
        """Tell whether one more ask may be answered."""
        gained = min(1.0, now - self._at) * ASKS_PER_SECOND
        self._at = now
        self._left = min(ASKS_PER_SECOND / 10, self._left + gained)
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
