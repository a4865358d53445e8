"""Selection of the placer, the instance that chooses upstreams for all instances.

An engine reads a prompt in less time than the instances need to exchange their loads,
so that instances choosing on their own would use outdated loads. A single placer knows
at once what it has placed. docs/design/SHIFTED-WORK.md compares the alternatives.
"""

from collections.abc import Callable
from typing import NamedTuple

from .demands import Demand, PromptPart
from .pool_admission import AdmissionRequest, find_band

# Seconds to wait for an answer. A placer that is cut off or slow delays a request
# only a little: a round trip takes 3 ms, and the shortest latency target is 150 ms.
ANSWER_TIMEOUT = 0.03
# Consecutive asks without an answer after which another instance is asked: a bad link
# loses one datagram in thirty.
MAX_TIMEOUTS = 2
# Seconds for which an instance that didn't answer isn't asked again.
AVOID_FOR = 3.0
# Asks per second that one instance answers, which takes half a core. Under thousands of
# requests per second, an unlimited placer would answer all of them too late. An
# instance that receives no answer asks the first placer of its own data centre.
ASKS_PER_SECOND = 1000
# Seconds after which a queued ask is renewed.
RENEWAL_INTERVAL = 0.2
# Placers that are asked for one request, before its instance decides alone.
MAX_ASKED_PLACERS = 2
# Fields that every release reads.
BASE_ASK_FIELDS = 8
BASE_ANSWER_FIELDS = 10


class Ask(NamedTuple):
    """Message that asks a placer for an upstream of a pool for one request.

    ``number`` is unique among the asks of the sender and of earlier processes at its
    address. ``centre`` is the sender's data centre, ``parts`` are the names and token
    counts of the prompt's parts, and ``seconds_left`` is the time to the deadline. The
    upstreams in ``excluded`` must not be chosen, nor those of another version than
    ``version``, if it isn't None.

    The other fields are sent where admission by urgency is active. ``target_left`` is
    the time until the latency target, None if the request needs no admission, and
    ``waited`` the time since the caller's request, in seconds. An Ask with the number
    of a queued one renews it.
    """

    number: int
    pool: str
    centre: str
    prompt_tokens: int
    output_tokens: int
    parts: list[tuple[str, int]]
    seconds_left: float
    excluded: list[str]
    version: str | None = None
    priority: int | None = None
    organisation: str = ""
    target_left: float | None = None
    fingerprint: str = ""
    waited: float = 0.0


class Answer(NamedTuple):
    """Message with the upstream that a placer chose, an empty name if it chose none.

    ``number`` is that of the Ask, ``name`` the name of the placing instance, and
    ``source`` the name of an upstream; the other fields are those of Estimate.

    Where admission by urgency is active, ``queued`` means that the Ask is kept and has
    to be renewed, and ``retry_after`` that the request is refused and may be retried
    after these seconds. A further Answer to the same number follows a queued one.
    """

    number: int
    name: str
    placer: str
    upstream: str = ""
    seconds: float = 0.0
    prefill: int = 0
    source: str = ""
    queued_tokens: int = 0
    lightly_loaded: bool = False
    charged: bool = False
    queued: bool = False
    retry_after: float | None = None


class PlacementId(NamedTuple):
    """Id of a placed request: its Ask's number and the placing instance's name."""

    number: int
    name: str


class PlacementHooks(NamedTuple):
    """Callbacks from the gateway to the placing component; the defaults do nothing.

    ``request_placement`` asks a placer and returns whether it was asked, ``get_origin``
    returns the PlacementOrigin of choices made here for a pool, ``report_started`` and
    ``report_ended`` report a placed request's first byte and end, ``report_stated`` the
    StatedLoad of its upstream, and ``count_placers`` returns how many instances choose
    for others.
    """

    request_placement: Callable = lambda relay, now: False
    get_origin: Callable = lambda pool: None
    report_started: Callable = lambda relay: None
    report_ended: Callable = lambda relay, failed: None
    report_stated: Callable = lambda relay, load: None
    count_placers: Callable = lambda: 1


def make_ask(number, cfg, relay, excluded, now):
    """Return the Ask for a request, with the excluded upstreams sorted by name."""
    demand = relay.demand
    ask = Ask(
        number,
        relay.pool.spec.name,
        cfg.data_centre,
        demand.prompt_tokens,
        demand.output_tokens,
        [tuple(part) for part in demand.parts],
        demand.deadline - now,
        sorted(excluded),
        relay.origin.version if relay.origin else None,
    )
    if demand.band is None:
        return ask
    return ask._replace(priority=relay.priority)


def add_admission(ask, relay, now):
    """Return the Ask of a request that has yet to be admitted."""
    waited = now - relay.received_at
    return ask._replace(
        organisation=relay.organisation_name,
        target_left=relay.route.latency_target - waited,
        fingerprint=relay.fingerprint,
        waited=waited,
    )


def trim_ask(ask):
    """Return the fields of an Ask to send; earlier releases don't know the last ones.

    The version is sent only for streams that have begun, and what follows it only where
    admission by urgency is active.
    """
    if ask.priority is not None:
        return ask
    return ask[:BASE_ASK_FIELDS] if ask.version is None else ask[: BASE_ASK_FIELDS + 1]


def trim_answer(answer):
    """Return the fields of an Answer to send, the last ones only if they are set."""
    if answer.queued or answer.retry_after is not None:
        return answer
    return answer[:BASE_ANSWER_FIELDS]


def read_demand(ask, now):
    """Return the Demand that an Ask describes."""
    parts = tuple(PromptPart(*part) for part in ask.parts)
    return Demand(
        "",
        now + ask.seconds_left,
        ask.prompt_tokens,
        ask.output_tokens,
        ask.output_tokens,
        parts,
        band=None if ask.priority is None else find_band(ask.priority),
    )


def read_admission_request(ask, key, estimate, now):
    """Return the AdmissionRequest of an Ask, given its Estimate at an upstream."""
    return AdmissionRequest(
        key,
        find_band(ask.priority),
        ask.organisation,
        estimate.prefill,
        estimate.unqueued_seconds,
        ask.target_left + ask.waited,
        now + ask.target_left,
        now + ask.seconds_left,
        now - ask.waited,
        ask.fingerprint,
    )


def order_placers(ranked, same_centre):
    """Return the placers' names in the order in which an instance asks them.

    ``ranked`` is the common order of all instances, ``same_centre`` the names in the
    asking instance's data centre. The first of ``ranked`` is asked first; the instances
    in ``same_centre`` follow, since a data centre is usually cut off from the others as
    a whole.
    """
    first = ranked[:1]
    return list(
        dict.fromkeys([*first, *(n for n in ranked if n in same_centre), *ranked])
    )


class PlacerSelector:
    """State of one instance's choice of a placer; times are seconds on one clock.

    Several instances may act as placer at the same time: each then knows the loads that
    it placed better than those placed by the other, and nothing else depends on there
    being only one.
    """

    def __init__(self):
        self._timeouts = {}
        self._avoided_until = {}

    def choose(self, names, now):
        """Return the first of the names that isn't avoided now, or None."""
        return next((n for n in names if now >= self._avoided_until.get(n, 0.0)), None)

    def record_answer(self, name):
        """Record that an instance answered in time."""
        self._timeouts.pop(name, None)

    def record_timeout(self, name, now):
        """Record that an instance didn't answer an ask in time."""
        self._timeouts[name] = self._timeouts.get(name, 0) + 1
        if self._timeouts[name] >= MAX_TIMEOUTS:
            self._avoided_until[name] = now + AVOID_FOR
            del self._timeouts[name]


class AskRateLimit:
    """Token bucket that limits answered asks to ASKS_PER_SECOND."""

    def __init__(self):
        self._tokens = 0.0
        self._refilled_at = float("-inf")

    def allow(self, now):
        """Return whether one more ask may be answered, and count it if so."""
        gained = min(1.0, now - self._refilled_at) * ASKS_PER_SECOND
        self._refilled_at = now
        self._tokens = min(ASKS_PER_SECOND / 10, self._tokens + gained)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
