"""What callers of one process may take: memory, connections and bulk processing time.

docs/design/CALLER-LIMITS.md tells where each byte that a caller sends is accounted for.
"""

from typing import NamedTuple

from .bulk_time import BulkTime
from .caller_memory import CallerMemory

KIB, MIB = 1024, 1024 * 1024
# Part of the memory limit that the process uses, and its part without callers. The rest
# covers what the allocator doesn't give back.
MEMORY_PART = 0.75
OWN_MEMORY = 80 * MIB
MIN_ROOM_PART = 0.125
# Part of the room for open connections, and the bytes of each: its objects and what the
# kernel holds of it unread, twice RECEIVE_BUFFER.
CONNECTIONS_PART = 0.35
CONNECTION_BYTES = 24 * KIB
RECEIVE_BUFFER = 8 * KIB
# File descriptors that aren't for sockets, and the part of all others for callers. Each
# request in flight takes one more for its upstream.
OTHER_DESCRIPTORS = 200
CALLERS_PART = 0.45
MIN_CALLERS = 16
# Limits of a machine whose settings state none, also if it has more.
DEFAULT_MEMORY = 300 * MIB
DEFAULT_DESCRIPTORS = 4096


class MachineLimits(NamedTuple):
    """Bytes of memory and file descriptors that a process may use."""

    memory: int = DEFAULT_MEMORY
    descriptors: int = DEFAULT_DESCRIPTORS


class CallerBudget:
    """State of everything that callers of one process share."""

    def __init__(self, machine=None):
        machine = machine or MachineLimits()
        room = compute_room(machine.memory)
        self.max_callers = count_callers(room, machine.descriptors)
        self.memory = CallerMemory(int(room * (1 - CONNECTIONS_PART)))
        self.bulk_time = BulkTime()


def compute_room(memory):
    """Return the bytes that callers may take of a process's memory limit."""
    return max(int(memory * MEMORY_PART) - OWN_MEMORY, int(memory * MIN_ROOM_PART))


def count_callers(room, descriptors):
    """Return how many connections callers may have open."""
    by_memory = int(room * CONNECTIONS_PART) // CONNECTION_BYTES
    by_descriptors = int((descriptors - OTHER_DESCRIPTORS) * CALLERS_PART)
    return max(MIN_CALLERS, min(by_memory, by_descriptors))
