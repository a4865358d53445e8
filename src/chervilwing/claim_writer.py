"""Group commit of claims into stored segments by compare-and-swap."""

import itertools
import math
from typing import NamedTuple

from .claim_keys import Place, name_cell
from .messages import (
    ABSENT,
    Found,
    Missing,
    Read,
    Rejected,
    StoreCall,
    Unanswered,
    Write,
    Written,
)
from .segments import (
    CLAIM,
    DECLINED,
    EMPTY_SEGMENT,
    FULL,
    IN_PROGRESS,
    LOST,
    RELEASE,
    SETTLE,
    Ask,
    Segment,
    Verdict,
    apply_asks,
    decode,
    encode,
    evaluate,
    merge,
)

# States that a write by another instance may have changed since the last read.
PROVISIONAL = {IN_PROGRESS, LOST}


class Answer(NamedTuple):
    """Carry the verdict on an ``Ask`` to the instance that sent it."""

    asker: str
    verdict: Verdict


class Queued(NamedTuple):
    """Hold an ``Ask`` that waits for a write; times in Unix seconds.

    It is written from ``due`` on; a claim is dropped at ``expires_at``.
    """

    ask: Ask
    asker: str
    due: float
    expires_at: float


class Cell:
    """Cache one stored segment.

    While ``segment`` is None it isn't known and has to be read from the store.
    ``draft`` is the segment being written and its size in bytes. ``uncertain_version``
    is the expected version of a write that got no reply and may still take effect.
    ``known`` is the segment as it was before the store returned from a copy, None once
    the store has all of its claims again.
    """

    def __init__(self, name, shard, now):
        self.name = name
        self.shard = shard
        self.segment = None
        self.version = ABSENT
        self.size = 0
        self.draft = None
        self.uncertain_version = None
        self.known = None
        self.call = None
        self.queue = {}
        self.used_at = now
        self.read_at = now

    def has_claims(self):
        """Return whether claims are queued, whose callers wait for the write."""
        return any(kind == CLAIM for _, kind in self.queue)

    def enter_epoch(self):
        """Read the segment again, as the store may have lost claims."""
        self.known = self.segment or self.known
        self.segment = None
        self.uncertain_version = None

    def update(self, segment, version, size):
        """Set the segment, version and size in bytes that the store now holds.

        Claims that it lost are added: their requests may have run.
        """
        if self.known is not None:
            merged = merge(segment, self.known)
            self.known = merged if merged != segment else None
            segment = merged
        self.segment = segment
        self.version = version
        self.size = size
        if version != self.uncertain_version:
            self.uncertain_version = None


class Writer:
    """Write asks to the store in batches, one call at a time for each cell.

    Safety relies on compare-and-swap alone: the write of a paused writer, or of one
    that a stale member list names as owner, is rejected, and its asks are evaluated
    again with the stored segment. Ownership only reduces the number of writes.
    """

    def __init__(self, cfg, instance):
        self.cfg = cfg
        self.down = False
        self._interval = cfg.shards / cfg.writes_per_second
        self._tokens = (f"claims-{instance}-{n}" for n in itertools.count())
        self._cells = {}
        self._active = {}
        self._calls = {}
        self._next_write_at = {}
        self._waiting = {}
        self._claims_next = {}
        self._unanswered = 0
        self._probe_at = math.inf
        self._sweep_at = 0.0

    def retry_delay(self, now):
        """Return the seconds until the store is tried again, 0.1 or more."""
        wait = self._probe_at - now if self.down else self.cfg.probe_interval
        return min(max(wait, 0.1), self.cfg.probe_interval)

    def enter_epoch(self, now):
        """Write the known claims again that a restored store lacks; return actions."""
        known = [cell for cell in self._cells.values() if cell.segment is not None]
        for cell in self._cells.values():
            cell.enter_epoch()
        for cell in known:
            if cell.known.claims:
                self._active[cell.name] = cell
        return _flatten(self._process_cell(cell, now) for cell in known)

    def submit(self, asker, ask, now):
        """Queue an ``Ask``; return store calls and answers."""
        if self.down and ask.kind == CLAIM:
            return (_decline(asker, ask),)
        cell = self._get_cell(ask.place, now)
        if ask.kind == RELEASE:
            cell.queue.pop((ask.operation, CLAIM), None)
        due = now + (self.cfg.settle_delay if ask.kind == SETTLE else 0.0)
        queued = Queued(ask, asker, due, now + self.cfg.claim_timeout)
        cell.queue[ask.operation, ask.kind] = queued
        self._active[cell.name] = cell
        return self._process_cell(cell, now)

    def receive(self, token, reply, now):
        """Handle the reply to a store call; return more calls and answers."""
        cell = self._calls.pop(token, None)
        if cell is None:
            return ()
        call, cell.call = cell.call, None
        if isinstance(reply, Unanswered):
            return self._handle_unanswered(cell, call, now)
        REPLY_HANDLERS[type(reply)](cell, reply)
        cell.read_at = now
        self._unanswered = 0
        was_down, self.down = self.down, False
        cells = list(self._active.values()) if was_down else [cell]
        return _flatten(self._process_cell(cell, now) for cell in cells)

    def tick(self, now):
        """Write due asks, probe a store that is down, drop idle cells."""
        if now >= self._sweep_at:
            self._sweep(now)
        if self.down:
            return self._probe(now)
        cells = list(self._active.values())
        actions = _flatten(self._process_cell(cell, now) for cell in cells)
        return actions + _flatten(
            self._write_waiting(shard, now) for shard in self._waiting
        )

    def _get_cell(self, place, now):
        name = name_cell(self.cfg, place)
        cell = self._cells.get(name)
        if cell is None:
            cell = self._cells[name] = Cell(name, place.shard, now)
        cell.used_at = now
        return cell

    def _process_cell(self, cell, now):
        if cell.call is not None or self.down:
            return ()
        if cell.name not in self._active:
            return ()
        if self._must_read(cell, now):
            return (self._send(cell, Read(cell.name)),)
        answers = self._answer_queued(cell, now)
        if not cell.queue and cell.known is None:
            self._remove_waiting(cell)
            self._active.pop(cell.name, None)
            return answers
        due = [queued.due for queued in cell.queue.values()]
        if cell.known is None and min(due) > now:
            return answers
        if self._waiting.get(cell.shard) or not self._take_write_permit(
            cell.shard, now
        ):
            self._waiting.setdefault(cell.shard, {})[cell.name] = cell
            return answers
        return (*answers, *self._write(cell))

    def _write_waiting(self, shard, now):
        """Write the waiting cells of a shard while its write rate allows.

        At peak load a shard has outcomes to write into some 30 cells, one for each time
        slot of the last half minute. If cells were written in order of arrival, a new
        claim would time out behind them; if claims always came first, outcomes would
        never be written. So cells with claims and cells without are written in turn,
        and each kind gets half of the writes while both kinds wait.
        """
        actions = []
        while cell := self._pick_waiting(shard):
            if not self._take_write_permit(shard, now):
                break
            self._claims_next[shard] = not cell.has_claims()
            self._remove_waiting(cell)
            actions += self._write(cell)
        return actions

    def _pick_waiting(self, shard):
        free = [cell for cell in self._waiting[shard].values() if cell.call is None]
        claims_next = self._claims_next.get(shard, True)
        wanted = [cell for cell in free if cell.has_claims() == claims_next]
        return next(iter(wanted or free), None)

    def _remove_waiting(self, cell):
        self._waiting.get(cell.shard, {}).pop(cell.name, None)

    def _must_read(self, cell, now):
        # Another writer may have recorded the outcome or released the key: with a stale
        # copy the verdict would stay "in progress", and then become "lost".
        if cell.segment is None or now - cell.read_at <= self.cfg.max_copy_age:
            return cell.segment is None
        asks = [queued.ask for queued in cell.queue.values()]
        verdicts = (self._evaluate(cell, ask, now) for ask in asks)
        return any(verdict and verdict.state in PROVISIONAL for verdict in verdicts)

    def _answer_queued(self, cell, now):
        answers = []
        for name, queued in list(cell.queue.items()):
            verdict = self._evaluate(cell, queued.ask, now)
            if verdict is not None:
                answers.append(Answer(queued.asker, verdict))
            if verdict is not None or self._has_expired(queued, now):
                del cell.queue[name]
        return answers

    def _evaluate(self, cell, ask, now):
        # A write whose reply was lost may still take effect until the version changes,
        # and would bring a released claim back. So a release waits for a later write by
        # this instance, after which the lost write fails its compare-and-swap.
        may_reappear = (
            cell.uncertain_version is not None and cell.segment.slot <= ask.place.slot
        )
        if ask.kind == RELEASE and may_reappear:
            return None
        return evaluate(cell.segment, ask, now, self.cfg.skew)

    @staticmethod
    def _has_expired(queued, now):
        return queued.ask.kind == CLAIM and now > queued.expires_at

    def _write(self, cell):
        asks = [queued.ask for queued in cell.queue.values()]
        slot = max([cell.segment.slot, *(ask.place.slot for ask in asks)])
        asks = [ask for ask in asks if ask.place.slot == slot]
        used = cell.size if slot == cell.segment.slot else 0
        segment = cell.segment if slot == cell.segment.slot else Segment(slot, {})
        draft, rejected = apply_asks(segment, asks, self.cfg.segment_limit - used)
        answers = [self._refuse_as_full(cell, ask) for ask in rejected]
        if not cell.queue and cell.known is None:
            return answers
        value = encode(draft)
        cell.draft = draft, len(value)
        return (*answers, self._send(cell, Write(cell.name, value, cell.version)))

    def _take_write_permit(self, shard, now):
        """Count a write against the shard's rate limit; return False if over the limit.

        Without the limit each keyed request of the fleet would be a write, and at peak
        load the store would refuse them all. Instead claims wait for the next batch of
        their cell, at most ``_interval`` seconds for each cell with queued asks.
        """
        slack = self._interval * (self.cfg.write_burst - 1)
        next_write = max(self._next_write_at.get(shard, 0.0), now)
        if next_write - now > slack + 1e-9:
            return False
        self._next_write_at[shard] = next_write + self._interval
        return True

    @staticmethod
    def _refuse_as_full(cell, ask):
        queued = cell.queue.pop((ask.operation, ask.kind))
        return Answer(queued.asker, Verdict(CLAIM, ask.operation, FULL))

    def _send(self, cell, request):
        token = next(self._tokens)
        cell.call = request
        self._calls[token] = cell
        return StoreCall(token, request)

    def _handle_unanswered(self, cell, call, now):
        # The write may or may not have taken effect: the cell is read again, and an ask
        # counts as written only if its operation id is in the stored segment.
        if isinstance(call, Write):
            cell.segment = None
            cell.uncertain_version = call.expect
        self._unanswered += 1
        if self._unanswered < self.cfg.max_unanswered:
            return self._process_cell(cell, now)
        self.down = True
        self._probe_at = now + self.cfg.probe_interval
        return self._decline_all()

    def _decline_all(self):
        answers = []
        for cell in self._active.values():
            for name, queued in list(cell.queue.items()):
                if queued.ask.kind == CLAIM:
                    del cell.queue[name]
                    answers.append(_decline(queued.asker, queued.ask))
        return answers

    def _probe(self, now):
        if now < self._probe_at:
            return ()
        self._probe_at = now + self.cfg.probe_interval
        idle = [cell for cell in self._active.values() if cell.call is None]
        slot = int(now // self.cfg.slot)
        cell = idle[0] if idle else self._get_cell(Place(0, slot), now)
        if cell.call is not None:
            return ()
        return (self._send(cell, Read(cell.name)),)

    def _sweep(self, now):
        self._sweep_at = now + self.cfg.cell_idle_time
        for name, cell in list(self._cells.items()):
            self._drop_expired(cell, now)
            idle = now - cell.used_at > self.cfg.cell_idle_time
            busy = cell.call is not None or cell.queue or cell.known is not None
            if idle and not busy:
                del self._cells[name]
                self._active.pop(name, None)

    def _drop_expired(self, cell, now):
        # During an outage, outcomes pile up that may no longer be recorded.
        cutoff = now - self.cfg.skew
        for name, queued in list(cell.queue.items()):
            if queued.ask.run_until < cutoff:
                del cell.queue[name]


def _decline(asker, ask):
    return Answer(asker, Verdict(ask.kind, ask.operation, DECLINED))


def _update_from_value(cell, reply):
    if reply.version == ABSENT:
        return _update_to_missing(cell, reply)
    return cell.update(decode(reply.value), reply.version, len(reply.value))


def _update_to_missing(cell, reply):
    cell.update(EMPTY_SEGMENT, ABSENT, 0)


def _update_from_draft(cell, reply):
    draft, size = cell.draft
    cell.known = None
    cell.update(draft, reply.version, size)


REPLY_HANDLERS = {
    Found: _update_from_value,
    Rejected: _update_from_value,
    Missing: _update_to_missing,
    Written: _update_from_draft,
}


def _flatten(groups):
    return tuple(itertools.chain.from_iterable(groups))
