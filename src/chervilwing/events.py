"""Splitting of a server-sent event stream into complete events."""

import re

EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n", b"\r\r")
EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventReader:
    """Splits a stream into complete events, so that another upstream can resume it.

    An upstream may fail in the middle of an event. If the incomplete event were
    relayed, the caller would read it and the next upstream's first event as one, so
    only complete events are relayed. ``last_id`` is the id of the last of them, after
    which the next upstream resumes.
    """

    def __init__(self):
        self.last_id = ""
        self._buffer = b""

    @property
    def has_partial(self):
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data):
        """Return the events that these bytes complete, as bytes."""
        data = self._buffer + data
        ends = [
            data.rfind(delimiter) + len(delimiter)
            for delimiter in EVENT_DELIMITERS
            if delimiter in data
        ]
        end = max(ends, default=0)
        complete, self._buffer = data[:end], data[end:]
        ids = EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    def restart(self):
        """Drop the incomplete event of an attempt that failed."""
        self._buffer = b""
