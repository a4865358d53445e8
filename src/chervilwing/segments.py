"""The stored form of claims: one segment for each shard and time slot."""

import json
from typing import NamedTuple

from .claim_keys import ClaimKey, Place
from .exceptions import DECODE_ERRORS

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

# Above the slot of any key, so that every key counts as older than the segment.
UNREADABLE_SLOT = 1 << 62
# Estimated JSON bytes of a claim besides its strings: punctuation, numbers, and the
# status of an outcome whose body was left out.
CLAIM_OVERHEAD = 96


class Outcome(NamedTuple):
    """Hold a key's recorded response; ``whole`` is false if its body was left out."""

    status: int
    body: str
    whole: bool = True


class Claim(NamedTuple):
    """Reserve a key for the request of one operation.

    The request must end before ``run_until`` (Unix seconds).
    """

    operation: str
    fingerprint: str
    holder: str
    run_until: float
    outcome: Outcome | None = None


class Segment(NamedTuple):
    """Hold the claims of one shard and time slot, by key.

    A store cell is reused for later slots, but never overwritten with an earlier one.
    """

    slot: int
    claims: dict[str, Claim]


class Ask(NamedTuple):
    """Request that a claim is written, settled or released, according to ``kind``."""

    kind: str
    key: ClaimKey
    place: Place
    operation: str
    fingerprint: str
    holder: str
    run_until: float
    outcome: Outcome | None = None


class Verdict(NamedTuple):
    """Report the result of an ``Ask``.

    ``until`` is the ``run_until`` of the claim that was found, or 0.
    """

    kind: str
    operation: str
    state: str
    until: float = 0.0
    outcome: Outcome | None = None


EMPTY_SEGMENT = Segment(0, {})


def encode(segment):
    """Return a segment as JSON text."""
    claims = {key: _encode_claim(claim) for key, claim in segment.claims.items()}
    return json.dumps({"slot": segment.slot, "claims": claims}, separators=(",", ":"))


def decode(value):
    """Return the segment in a stored value.

    A value that can't be decoded counts as a segment newer than any key: its keys are
    refused and the value is kept. If it counted as empty, requests with its keys could
    run again.
    """
    try:
        found = json.loads(value)
        claims = {
            key: _decode_claim(*fields) for key, fields in found["claims"].items()
        }
        return Segment(int(found["slot"]), claims)
    except DECODE_ERRORS:
        return Segment(UNREADABLE_SLOT, {})


def _encode_claim(claim):
    return [*claim[:4], *(claim.outcome or ())]


def _decode_claim(operation, fingerprint, holder, run_until, *outcome):
    stored = Outcome(*outcome) if outcome else None
    return Claim(operation, fingerprint, holder, float(run_until), stored)


def evaluate(segment, ask, now, skew):
    """Return the verdict on an ``Ask``, or None if it takes a write to decide.

    ``now`` and ``skew`` are in seconds.
    """
    if segment.slot > ask.place.slot:
        # The cell was reused for a newer slot, so the state of this key is lost. The
        # key counts as expired, independent of the clocks.
        state = EXPIRED if ask.kind == CLAIM else DONE
        return Verdict(ask.kind, ask.operation, state)
    claims = segment.claims if segment.slot == ask.place.slot else {}
    return EVALUATORS[ask.kind](claims.get(str(ask.key)), ask, now, skew)


def evaluate_claim(claim, ask, now, skew):
    """Return the verdict on a claim to a key, or None if the key is unclaimed."""
    if claim is None:
        return None
    state = _claim_state(claim, ask, now, skew)
    return Verdict(CLAIM, ask.operation, state, claim.run_until, claim.outcome)


def _claim_state(claim, ask, now, skew):
    if claim.fingerprint != ask.fingerprint:
        return REUSED
    if claim.outcome is not None:
        return RECORDED
    if claim.operation == ask.operation:
        return GRANTED
    if now > claim.run_until + skew:
        return LOST
    return IN_PROGRESS


def _evaluate_end(claim, ask, now, skew):
    # After run_until a caller may have been told that the outcome is unknown. Recording
    # an outcome or releasing the key would contradict that.
    if _is_unsettled(claim, ask) and now <= claim.run_until:
        return None
    return Verdict(ask.kind, ask.operation, DONE)


def _is_unsettled(claim, ask):
    return (
        claim is not None and claim.operation == ask.operation and claim.outcome is None
    )


EVALUATORS = {CLAIM: evaluate_claim, SETTLE: _evaluate_end, RELEASE: _evaluate_end}


def apply_asks(segment, asks, free_bytes):
    """Return the segment with the asks applied, and the claims that did not fit.

    ``free_bytes`` counts bytes of JSON. An outcome that does not fit is recorded
    without its body, so that the claim still shows that the request has run.
    """
    slot = max([segment.slot, *(ask.place.slot for ask in asks)])
    claims = dict(segment.claims) if segment.slot == slot else {}
    rejected = []
    for ask in asks:
        key = str(ask.key)
        size = _estimate_size(ask)
        if ask.kind == CLAIM and size > free_bytes:
            rejected.append(ask)
            continue
        if ask.kind == SETTLE and size > free_bytes:
            ask = ask._replace(outcome=ask.outcome._replace(body="", whole=False))
            size = 0
        free_bytes -= size
        CHANGES[ask.kind](claims, key, ask)
    return Segment(slot, claims), rejected


def merge(stored, known):
    """Return a stored segment with the claims and outcomes that only ``known`` has."""
    if known.slot != stored.slot:
        return max(stored, known, key=lambda segment: segment.slot)
    lost = {
        key: claim
        for key, claim in known.claims.items()
        if key not in stored.claims or _is_settled_since(stored.claims[key], claim)
    }
    return Segment(stored.slot, stored.claims | lost)


def _is_settled_since(stored, known):
    same = stored.operation == known.operation
    return same and stored.outcome is None and known.outcome is not None


def _add_claim(claims, key, ask):
    # The first of two claims to one key in a batch wins.
    claim = Claim(ask.operation, ask.fingerprint, ask.holder, ask.run_until)
    claims.setdefault(key, claim)


def _add_outcome(claims, key, ask):
    if _is_unsettled(claims.get(key), ask):
        claims[key] = claims[key]._replace(outcome=ask.outcome)


def _remove_claim(claims, key, ask):
    if _is_unsettled(claims.get(key), ask):
        del claims[key]


CHANGES = {CLAIM: _add_claim, SETTLE: _add_outcome, RELEASE: _remove_claim}


def _estimate_size(ask):
    if ask.kind == CLAIM:
        fields = (str(ask.key), ask.operation, ask.fingerprint, ask.holder)
        return CLAIM_OVERHEAD + sum(len(json.dumps(field)) for field in fields)
    if ask.kind == SETTLE:
        return len(json.dumps(ask.outcome.body))
    return 0
