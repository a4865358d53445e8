"""Rank instances for a task so that all who know the same members agree."""

import hashlib


def rank(task, members):
    """Return the members by descending rendezvous weight for the task.

    Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
    1998: a member that leaves moves only the tasks it had.
    """
    return sorted(members, key=lambda name: _weight(task, name), reverse=True)


def _weight(task, name):
    return hashlib.blake2b(f"{task}\0{name}".encode(), digest_size=8).digest()
