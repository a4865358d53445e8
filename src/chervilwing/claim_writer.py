"""Group commit of claims into segments by compare-and-swap."""

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
    EMPTY,
    FULL,
    IN_PROGRESS,
    LOST,
    RELEASE,
    SETTLE,
    Ask,
    Segment,
    Verdict,
    amend,
    decode,
    encode,
    judge,
)

# Verdicts that a later write may have overtaken.
OPEN = {IN_PROGRESS, LOST}


class Answer(NamedTuple):
    """The verdict on an ask, for the instance that asked."""

    asker: str
    verdict: Verdict


class Queued(NamedTuple):
    """An ask that waits for a write: when to write it, and when it is too late."""

    ask: Ask
    asker: str
    due: float
    expires: float


class Cell:
    """What the writer knows of one stored segment; ``base`` None: must be read."""

    def __init__(self, name, shard, now):
        self.name = name
        self.shard = shard
        self.base = None
        self.version = ABSENT
        self.size = 0
        self.draft = None
        self.doubt = None
        self.call = None
        self.queue = {}
        self.touched = now
        self.seen = now

    def has_claims(self):
        """Tell whether a caller waits for a write of this cell."""
        return any(kind == CLAIM for _, kind in self.queue)

    def adopt(self, segment, version, size):
        """Take what the store holds now."""
        self.base = segment
        self.version = version
        self.size = size
        if version != self.doubt:
            self.doubt = None


class Writer:
    """Write asks in batches, one call at a time for each cell.

    Compare-and-swap alone keeps two writers of one cell apart: a writer that was
    paused, or that a stale list calls the owner, shows as a rejected write, and it
    judges its asks again by what stands. Ownership only saves writes.
    """

    def __init__(self, cfg, instance):
        self.cfg = cfg
        self.down = False
        self._interval = cfg.shards / cfg.writes_per_second
        self._tokens = (f"claims-{instance}-{n}" for n in itertools.count())
        self._cells = {}
        self._active = {}
        self._calls = {}
        self._next_write = {}
        self._lines = {}
        self._claims_next = {}
        self._silent = 0
        self._probe_at = math.inf
        self._sweep_at = 0.0

    def back_in(self, now):
        """Return the seconds until the store is tried again."""
        wait = self._probe_at - now if self.down else self.cfg.probe_every
        return min(max(wait, 0.1), self.cfg.probe_every)

    def submit(self, asker, ask, now):
        """Queue an ask; return calls and answers."""
        if self.down and ask.kind == CLAIM:
            return (_decline(asker, ask),)
        cell = self._open(ask.place, now)
        if ask.kind == RELEASE:
            cell.queue.pop((ask.operation, CLAIM), None)
        due = now + (self.cfg.settle_wait if ask.kind == SETTLE else 0.0)
        queued = Queued(ask, asker, due, now + self.cfg.claim_wait)
        cell.queue[ask.operation, ask.kind] = queued
        self._active[cell.name] = cell
        return self._advance(cell, now)

    def receive(self, token, reply, now):
        """Take the reply to a call; return calls and answers."""
        cell = self._calls.pop(token, None)
        if cell is None:
            return ()
        call, cell.call = cell.call, None
        if isinstance(reply, Unanswered):
            return self._take_silence(cell, call, now)
        ADOPTS[type(reply)](cell, reply)
        cell.seen = now
        self._silent = 0
        was_down, self.down = self.down, False
        cells = list(self._active.values()) if was_down else [cell]
        return _flatten(self._advance(cell, now) for cell in cells)

    def tick(self, now):
        """Write what has come due, probe a silent store, forget idle cells."""
        if now >= self._sweep_at:
            self._sweep(now)
        if self.down:
            return self._probe(now)
        cells = list(self._active.values())
        actions = _flatten(self._advance(cell, now) for cell in cells)
        return actions + _flatten(self._serve(shard, now) for shard in self._lines)

    def _open(self, place, now):
        name = name_cell(self.cfg, place)
        cell = self._cells.get(name)
        if cell is None:
            cell = self._cells[name] = Cell(name, place.shard, now)
        cell.touched = now
        return cell

    def _advance(self, cell, now):
        if cell.call is not None or self.down:
            return ()
        if cell.queue and self._must_read(cell, now):
            return (self._send(cell, Read(cell.name)),)
        answers = self._answer(cell, now)
        if not cell.queue:
            self._leave_line(cell)
            self._active.pop(cell.name, None)
            return answers
        if not any(queued.due <= now for queued in cell.queue.values()):
            return answers
        if self._lines.get(cell.shard) or not self._take_turn(cell.shard, now):
            self._lines.setdefault(cell.shard, {})[cell.name] = cell
            return answers
        return (*answers, *self._write(cell))

    def _serve(self, shard, now):
        """Write the cells in a shard's line while its pace allows.

        Load: at the peak every second's cell of the last half minute has outcomes to
        write. First come first served, a claim waited behind them for longer than its
        caller does; claims first, outcomes would never be written. So they alternate,
        and each has half of the writes while both wait.
        """
        actions = []
        while cell := self._pick(shard):
            if not self._take_turn(shard, now):
                break
            self._claims_next[shard] = not cell.has_claims()
            self._leave_line(cell)
            actions += self._write(cell)
        return actions

    def _pick(self, shard):
        free = [cell for cell in self._lines[shard].values() if cell.call is None]
        claims_next = self._claims_next.get(shard, True)
        wanted = [cell for cell in free if cell.has_claims() == claims_next]
        return next(iter(wanted or free), None)

    def _leave_line(self, cell):
        self._lines.get(cell.shard, {}).pop(cell.name, None)

    def _must_read(self, cell, now):
        # Another writer may have recorded the outcome or freed the key: a stale copy
        # would go on saying "in progress", then "unknown" of a key that is known.
        if cell.base is None or now - cell.seen <= self.cfg.fresh_for:
            return cell.base is None
        asks = [queued.ask for queued in cell.queue.values()]
        verdicts = (self._judge(cell, ask, now) for ask in asks)
        return any(verdict and verdict.state in OPEN for verdict in verdicts)

    def _answer(self, cell, now):
        answers = []
        for name, queued in list(cell.queue.items()):
            verdict = self._judge(cell, queued.ask, now)
            if verdict is not None:
                answers.append(Answer(queued.asker, verdict))
            if verdict is not None or self._is_late(queued, now):
                del cell.queue[name]
        return answers

    def _judge(self, cell, ask, now):
        # A write whose answer was lost may still take effect until the version moves
        # on. It would bring back a claim that was released; so a release waits for
        # a write of ours, which makes the lost one fail its compare-and-swap.
        may_return = cell.doubt is not None and cell.base.slot <= ask.place.slot
        if ask.kind == RELEASE and may_return:
            return None
        return judge(cell.base, ask, now, self.cfg.skew)

    @staticmethod
    def _is_late(queued, now):
        return queued.ask.kind == CLAIM and now > queued.expires

    def _write(self, cell):
        asks = [queued.ask for queued in cell.queue.values()]
        slot = max([cell.base.slot, *(ask.place.slot for ask in asks)])
        asks = [ask for ask in asks if ask.place.slot == slot]
        used = cell.size if slot == cell.base.slot else 0
        base = cell.base if slot == cell.base.slot else Segment(slot, {})
        draft, left_out = amend(base, asks, self.cfg.segment_limit - used)
        answers = [self._turn_away(cell, ask) for ask in left_out]
        if not cell.queue:
            return answers
        value = encode(draft)
        cell.draft = draft, len(value)
        return (*answers, self._send(cell, Write(cell.name, value, cell.version)))

    def _take_turn(self, shard, now):
        """Spend one of the shard's writes, or return False until the next is due.

        Load: the whole fleet's keyed requests at the peak. Without the pace each
        request would be a write and the store would refuse them all; claims wait
        for the next write of their batch instead, at most ``interval`` a dirty cell.
        """
        slack = self._interval * (self.cfg.write_burst - 1)
        next_write = max(self._next_write.get(shard, 0.0), now)
        if next_write - now > slack + 1e-9:
            return False
        self._next_write[shard] = next_write + self._interval
        return True

    @staticmethod
    def _turn_away(cell, ask):
        queued = cell.queue.pop((ask.operation, ask.kind))
        return Answer(queued.asker, Verdict(CLAIM, ask.operation, FULL))

    def _send(self, cell, request):
        token = next(self._tokens)
        cell.call = request
        self._calls[token] = cell
        return StoreCall(token, request)

    def _take_silence(self, cell, call, now):
        # Unanswered is neither yes nor no: the cell is read again, and an ask counts
        # as written only if its own operation id stands there.
        if isinstance(call, Write):
            cell.base = None
            cell.doubt = call.expect
        self._silent += 1
        if self._silent < self.cfg.down_after:
            return self._advance(cell, now)
        self.down = True
        self._probe_at = now + self.cfg.probe_every
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
        self._probe_at = now + self.cfg.probe_every
        idle = [cell for cell in self._active.values() if cell.call is None]
        slot = int(now // self.cfg.slot)
        cell = idle[0] if idle else self._open(Place(0, slot), now)
        if cell.call is not None:
            return ()
        return (self._send(cell, Read(cell.name)),)

    def _sweep(self, now):
        self._sweep_at = now + self.cfg.idle_for
        for name, cell in list(self._cells.items()):
            self._drop_late(cell, now)
            idle = now - cell.touched > self.cfg.idle_for
            if idle and cell.call is None and not cell.queue:
                del self._cells[name]
                self._active.pop(name, None)

    def _drop_late(self, cell, now):
        # Through an outage, outcomes that nobody may record any more add up.
        too_late = now - self.cfg.skew
        for name, queued in list(cell.queue.items()):
            if queued.ask.run_until < too_late:
                del cell.queue[name]


def _decline(asker, ask):
    return Answer(asker, Verdict(ask.kind, ask.operation, DECLINED))


def _adopt_value(cell, reply):
    if reply.version == ABSENT:
        return _adopt_missing(cell, reply)
    return cell.adopt(decode(reply.value), reply.version, len(reply.value))


def _adopt_missing(cell, reply):
    cell.adopt(EMPTY, ABSENT, 0)


def _adopt_draft(cell, reply):
    draft, size = cell.draft
    cell.adopt(draft, reply.version, size)


ADOPTS = {
    Found: _adopt_value,
    Rejected: _adopt_value,
    Missing: _adopt_missing,
    Written: _adopt_draft,
}


def _flatten(groups):
    return tuple(itertools.chain.from_iterable(groups))
