"""Connections that wait for their callers, in the order in which they may be closed."""

# States of a connection without a request in flight: it never carried one, it is idle
# after an answer, it ends after an answer, or a part of a request was received.
UNUSED, USED, ENDING, READING = STATES = ("unused", "used", "ending", "reading")
# Seconds after which a caller that sends nothing, or not all of its request, may have
# to give way to another one.
STALLED_AFTER = 0.5
# The same while there are too many connections.
REPLACED_AFTER = 0.1
# States and the least age, in seconds, of the connections that are closed first when
# there are too many. A new one's request may have arrived already.
CLOSED_FIRST = (
    (UNUSED, STALLED_AFTER),
    (USED, 0.0),
    (ENDING, 0.0),
    (UNUSED, REPLACED_AFTER),
    (READING, REPLACED_AFTER),
    (UNUSED, 0.0),
)


class WaitingCallers:
    """Connections by state, each state in the order in which it was entered."""

    def __init__(self):
        self._by_state = {state: {} for state in STATES}
        self._states = {}

    def add(self, conn, state, now):
        """Record that a connection entered a state; ``now`` is in seconds."""
        self.remove(conn)
        self._states[conn] = state
        self._by_state[state][conn] = now

    def add_reading(self, conn, since):
        """Record that a part of a request was received, the first at a time."""
        if self._states.get(conn) != READING:
            self.add(conn, READING, since)

    def remove(self, conn):
        """Record that a connection carries a request, or was closed."""
        state = self._states.pop(conn, None)
        if state is not None:
            del self._by_state[state][conn]

    def find_replaceable(self, now):
        """Return the connection to close if there are too many, or None."""
        for state, age in CLOSED_FIRST:
            for conn, since in self._by_state[state].items():
                if now - since >= age:
                    return conn
                break
        return None

    def list_stalled(self, now):
        """Return the connections that don't receive their request in time."""
        reading = self._by_state[READING].items()
        return [conn for conn, since in reading if now - since >= STALLED_AFTER]
