"""Claims as they are stored: one segment a shard and time slot, with no I/O."""

import json
from typing import NamedTuple

from .claim_keys import ClaimKey, Place

CLAIM = "claim"
SETTLE = "settle"
RELEASE = "release"

GRANTED = "granted"
IN_PROGRESS = "in_progress"
RECORDED = "recorded"
LOST = "lost"
REUSED = "reused"
EXPIRED = "expired"
FULL = "full"
DECLINED = "declined"
QUEUED = "queued"
DONE = "done"

# No slot of a readable segment gets here, so every key counts as older.
UNREADABLE = 1 << 62
# JSON punctuation, numbers and the status of an outcome without its body.
CLAIM_OVERHEAD = 96


class Outcome(NamedTuple):
    """The answer that a repeated key gets; ``whole`` is false once cut to size."""

    status: int
    body: str
    whole: bool = True


class Claim(NamedTuple):
    """Who may run a key: operation id, holder and Unix time when its run ends."""

    operation: str
    fingerprint: str
    holder: str
    run_until: float
    outcome: Outcome | None = None


class Segment(NamedTuple):
    """The claims of one slot by key; the slot number of a cell never falls."""

    slot: int
    claims: dict[str, Claim]


class Ask(NamedTuple):
    """What the holder of a claim wants written."""

    kind: str
    key: ClaimKey
    place: Place
    operation: str
    fingerprint: str
    holder: str
    run_until: float
    outcome: Outcome | None = None


class Verdict(NamedTuple):
    """What became of an ask; ``until`` is when a running claim ends, Unix seconds."""

    kind: str
    operation: str
    state: str
    until: float = 0.0
    outcome: Outcome | None = None


EMPTY = Segment(0, {})


def encode(segment):
    """Return the segment as the store keeps it."""
    claims = {key: _pack(claim) for key, claim in segment.claims.items()}
    return json.dumps({"slot": segment.slot, "claims": claims}, separators=(",", ":"))


def decode(value):
    """Return the segment in a stored value.

    A value that can't be read shows as a segment newer than any key. Taking it for
    empty would run its keys again; this way they are refused, and it is kept.
    """
    try:
        found = json.loads(value)
        claims = {key: _unpack(*fields) for key, fields in found["claims"].items()}
        return Segment(int(found["slot"]), claims)
    except (ValueError, KeyError, TypeError, AttributeError):
        return Segment(UNREADABLE, {})


def _pack(claim):
    return [*claim[:4], *(claim.outcome or ())]


def _unpack(operation, fingerprint, holder, run_until, *outcome):
    kept = Outcome(*outcome) if outcome else None
    return Claim(operation, fingerprint, holder, float(run_until), kept)


def judge(segment, ask, now, skew):
    """Return the verdict that the stored segment gives, or None if a write must."""
    if segment.slot > ask.place.slot:
        # The cell went on to a newer slot, so what this key did is forgotten: it
        # shows as a key refused, and holds whatever the clocks say.
        state = EXPIRED if ask.kind == CLAIM else DONE
        return Verdict(ask.kind, ask.operation, state)
    claims = segment.claims if segment.slot == ask.place.slot else {}
    return JUDGES[ask.kind](claims.get(str(ask.key)), ask, now, skew)


def judge_claim(claim, ask, now, skew):
    """Return the verdict on a claim to a key, or None while nobody has it."""
    if claim is None:
        return None
    state = _state_of(claim, ask, now, skew)
    return Verdict(CLAIM, ask.operation, state, claim.run_until, claim.outcome)


def _state_of(claim, ask, now, skew):
    if claim.fingerprint != ask.fingerprint:
        return REUSED
    if claim.outcome is not None:
        return RECORDED
    if claim.operation == ask.operation:
        return GRANTED
    if now > claim.run_until + skew:
        return LOST
    return IN_PROGRESS


def _judge_end(claim, ask, now, skew):
    # After run_until a reader may have said that the outcome is unknown; to record
    # one later, or to free the key for another run, would take that back.
    if _is_open(claim, ask) and now <= claim.run_until:
        return None
    return Verdict(ask.kind, ask.operation, DONE)


def _is_open(claim, ask):
    return (
        claim is not None and claim.operation == ask.operation and claim.outcome is None
    )


JUDGES = {CLAIM: judge_claim, SETTLE: _judge_end, RELEASE: _judge_end}


def amend(segment, asks, room):
    """Return the segment with the asks applied, and the asks that had no room.

    ``room`` is in bytes of JSON. A claim without room is turned away, an outcome
    without room is kept without its body: the claim must still say that it ran.
    """
    slot = max([segment.slot, *(ask.place.slot for ask in asks)])
    claims = dict(segment.claims) if segment.slot == slot else {}
    left_out = []
    for ask in asks:
        key = str(ask.key)
        cost = _weigh(ask)
        if ask.kind == CLAIM and cost > room:
            left_out.append(ask)
            continue
        if ask.kind == SETTLE and cost > room:
            ask = ask._replace(outcome=ask.outcome._replace(body="", whole=False))
            cost = 0
        room -= cost
        AMENDS[ask.kind](claims, key, ask)
    return Segment(slot, claims), left_out


def _put_claim(claims, key, ask):
    # Of two claims to one key in a batch the first stands.
    claim = Claim(ask.operation, ask.fingerprint, ask.holder, ask.run_until)
    claims.setdefault(key, claim)


def _put_outcome(claims, key, ask):
    if _is_open(claims.get(key), ask):
        claims[key] = claims[key]._replace(outcome=ask.outcome)


def _drop_claim(claims, key, ask):
    if _is_open(claims.get(key), ask):
        del claims[key]


AMENDS = {CLAIM: _put_claim, SETTLE: _put_outcome, RELEASE: _drop_claim}


def _weigh(ask):
    if ask.kind == CLAIM:
        fields = (str(ask.key), ask.operation, ask.fingerprint, ask.holder)
        return CLAIM_OVERHEAD + sum(len(json.dumps(field)) for field in fields)
    if ask.kind == SETTLE:
        return len(json.dumps(ask.outcome.body))
    return 0
