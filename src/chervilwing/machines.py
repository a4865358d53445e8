"""Limits of the machine that a process runs on."""

import resource

from .caller_budget import DEFAULT_MEMORY, MIB, MachineLimits

MEMORY_FILE = "/proc/meminfo"
KIB = 1024


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
