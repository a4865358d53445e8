"""Limits of the machine that a process runs on."""

import ctypes
import resource
from contextlib import suppress

from .caller_budget import DEFAULT_MEMORY, MIB, MachineLimits

MEMORY_FILE = "/proc/meminfo"
KIB = 1024
# Parameter of glibc's mallopt(), and the bytes from which blocks get their own pages.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD = 128 * KIB


def return_large_blocks():
    """Make the allocator return the pages of each large block when it is freed.

    By default glibc raises its threshold to the largest block that was freed. Bodies
    would then share their pages with small objects, and a process would grow with each
    crowd of callers. Other C libraries have no such function.
    """
    with suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD)


def read_memory():
    """Return the machine's memory in bytes, DEFAULT_MEMORY if it isn't known."""
    try:
        with open(MEMORY_FILE, encoding="ascii") as file:
            fields = dict(line.split(":") for line in file)
        return int(fields["MemTotal"].split()[0]) * KIB
    except (OSError, LookupError, ValueError):
        return DEFAULT_MEMORY


def read_descriptor_limit():
    """Return how many file descriptors this process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def read_machine_limits(cfg):
    """Return the MachineLimits of the settings, or else of the machine.

    A machine with more memory than DEFAULT_MEMORY is likely to be shared with others.
    """
    memory = min(read_memory(), DEFAULT_MEMORY)
    if cfg.memory_limit is not None:
        memory = cfg.memory_limit * MIB
    return MachineLimits(memory, cfg.descriptor_limit or read_descriptor_limit())
