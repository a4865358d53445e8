"""Rank instances for a task, with the same result on every instance."""

import hashlib


def rank(task, members):
    """Return the members by descending rendezvous weight for the task.

    When a member leaves, only its own tasks move (Thaler and Ravishankar, "Using
    name-based mappings to increase hit rates", 1998).
    """
    return sorted(members, key=lambda name: _weight(task, name), reverse=True)


def _weight(task, name):
    return hashlib.blake2b(f"{task}\0{name}".encode(), digest_size=8).digest()
