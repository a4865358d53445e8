"""Pauses that upstreams asked this instance for, with Retry-After in a 503.

A pause concerns this instance and one process of the upstream only: other instances may
go on sending to it, and a restarted upstream has not asked for anything.
"""

from .registrations import get_process

# Seconds of the pause after an upstream announced its end, where a restarted process
# keeps the name. The next request shows whether it has restarted.
REUSED_NAME_PAUSE = 10.0
NO_UPSTREAMS = frozenset()


class UpstreamPauses:
    """Ends of the pauses by ProcessId; times are seconds on one clock."""

    def __init__(self):
        self._ends = {}

    def add(self, process, seconds, now):
        """Pause the requests to a ProcessId; a shorter pause doesn't end a longer one.

        Answers may overtake each other, and an earlier request's answer may state less.
        """
        self._ends[process] = max(now + seconds, self._ends.get(process, now))

    def is_paused(self, process, now):
        """Return whether a ProcessId wants no requests now."""
        return now < self._ends.get(process, now)

    def list_paused(self, upstream_states, now):
        """Return the names of the upstreams that want no requests now."""
        if not self._ends:
            return NO_UPSTREAMS
        self._ends = {key: end for key, end in self._ends.items() if now < end}
        return {
            process.name
            for process in self._ends
            if is_current(process, upstream_states)
        }

    def get_wait(self, upstream_states, now):
        """Return the seconds until the first of the upstreams accepts requests again.

        Return None if one of them accepts requests now, or if there are none.
        """
        processes = [get_process(state.registration) for state in upstream_states]
        if not processes or not all(self.is_paused(item, now) for item in processes):
            return None
        return min(self._ends[process] for process in processes) - now

    def count(self, now):
        """Return how many upstreams want no requests now."""
        return sum(now < end for end in self._ends.values())


def is_current(process, upstream_states):
    """Return whether an upstream's state is that of this process."""
    state = upstream_states.get(process.name)
    return state is not None and get_process(state.registration) == process
