"""Decisions: which streams are moved or backed up, where, and when.

Times are seconds, sizes tokens. Nothing here knows of requests or connections.
"""

from math import inf
from typing import NamedTuple

# Seconds of a move besides the copying: four calls between two data centres, and the
# steps of the engines that stop a run and continue it.
MOVE_OVERHEAD = 0.05
# Copies between data centres take this many times as long.
REMOTE_FACTOR = 2.0
# Seconds before its engine's end at which a stream still counts as ended in time:
# measured paces change by some per cent over a second.
END_MARGIN = 0.1
# Fraction of an engine's KV memory that may be in use with the copy.
USABLE_MEMORY = 0.9
# Seconds of generation from which on a stream gets a backup. Shorter ones are rarely
# running when an engine crashes.
MIN_BACKED_UP = 1.0
# Part of the pool's KV memory that the backups of all instances may take.
BACKUP_PART = 0.1
# Seconds between two events before the first measurement.
INITIAL_INTERVAL = 0.015
# Weight of one stream in the mean interval.
INTERVAL_WEIGHT = 0.05


class RunningStream(NamedTuple):
    """A running stream at an engine that leaves.

    ``tokens`` is what its copy takes, ``events`` those that were relayed,
    ``expected_events`` the output tokens requested (0 if unknown), ``interval`` the
    mean time between its events.
    ``key`` identifies the stream to the caller of a function, and ``refused`` names the
    targets that had no room for it.
    """

    key: object
    data_centre: str
    version: str
    priority: int
    tokens: int
    events: int
    expected_events: int
    interval: float
    leaves_at: float
    refused: tuple[str, ...] = ()


class Candidate(NamedTuple):
    """An engine that stays: its load, and the expected wait for it in seconds."""

    name: str
    data_centre: str
    version: str
    requests: int
    tokens: int
    wait: float = 0.0


class Pace:
    """The mean interval between the events of a pool's streams, in seconds."""

    def __init__(self):
        self.interval = INITIAL_INTERVAL

    def record(self, seconds, events):
        """Record a stream of which this many events took this time."""
        if events >= 2:
            change = seconds / (events - 1) - self.interval
            self.interval += INTERVAL_WEIGHT * change


class BackupBudget:
    """The tokens of the backups that this instance had engines keep, by request."""

    def __init__(self):
        self._tokens = {}
        self._total = 0

    def __len__(self):
        return len(self._tokens)

    def reserve(self, key, tokens, capacity):
        """Reserve the memory of a backup; return whether that fits.

        ``capacity`` is this instance's share of the pool's KV memory.
        """
        if self._total + tokens > capacity * BACKUP_PART:
            return False
        self._tokens[key] = tokens
        self._total += tokens
        return True

    def release(self, key):
        """Release what was reserved, if anything."""
        self._total -= self._tokens.pop(key, 0)


def compute_time_left(stream):
    """Return the seconds until the stream's expected end, infinity if unknown."""
    if not stream.expected_events:
        return inf
    return max(0, stream.expected_events - stream.events) * stream.interval


def estimate_move(stream, engine, remote):
    """Return the seconds that a move takes; ``engine`` is the EngineSpec."""
    if not engine.link_rate:
        return MOVE_OVERHEAD
    seconds = stream.tokens * engine.token_bytes * 8 / engine.link_rate
    return MOVE_OVERHEAD + seconds * (REMOTE_FACTOR if remote else 1.0)


def list_cut_off(streams, now):
    """Return the streams that don't end before their engine, in the order of moves.

    Urgent streams come first, then those that would lose most.
    """
    found = [
        stream
        for stream in streams
        if now + compute_time_left(stream) > stream.leaves_at - END_MARGIN
    ]
    return sorted(found, key=lambda item: (item.priority, -item.events))


def choose_move(streams, candidates, engine, now):
    """Return the (stream, Candidate) of the next move from one engine, or None.

    ``streams`` is as list_cut_off returns it. A stream isn't moved if its move would
    end later than itself or than the engine.
    """
    for stream in streams:
        target = choose_target(stream, candidates, engine)
        if target is None:
            continue
        remote = target.data_centre != stream.data_centre
        seconds = estimate_move(stream, engine, remote)
        ends_sooner = seconds < compute_time_left(stream)
        if ends_sooner and now + seconds < stream.leaves_at:
            return stream, target
    return None


def has_room(candidate, tokens, engine):
    """Return whether an engine has a slot and memory for this many tokens."""
    capacity = engine.memory_tokens * USABLE_MEMORY
    return candidate.requests < engine.slots and candidate.tokens + tokens <= capacity


def choose_target(stream, candidates, engine):
    """Return the best Candidate with room of the stream's version, or None.

    Those of its data centre come first, then the least loaded.
    """
    fitting = [
        item
        for item in candidates
        if item.version == stream.version
        and item.name not in stream.refused
        and has_room(item, stream.tokens, engine)
    ]
    return min(
        fitting,
        key=lambda item: (item.data_centre != stream.data_centre, item.wait, item.name),
        default=None,
    )


def choose_backup(stream, candidates, engine):
    """Return the Candidate that keeps a new stream's backup, or None.

    Engines of another data centre come first: a data centre's engines may all end at
    once. A short stream gets none. ``candidates`` doesn't have the stream's own engine.
    """
    if stream.expected_events * stream.interval <= MIN_BACKED_UP:
        return None
    fitting = [
        item
        for item in candidates
        if item.version == stream.version and has_room(item, stream.tokens, engine)
    ]
    return min(
        fitting,
        key=lambda item: (item.data_centre == stream.data_centre, item.wait, item.name),
        default=None,
    )
