"""The pieces of an event stream: whole events, each with its id."""

import re

EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventReader:
    """Cuts a stream into whole events, so that it can go on at another upstream.

    Guard: an upstream may end in the middle of an event. Passed on as it came, that
    half and the next run's first event would be read as one; only whole events are
    handed on, and a repeated run's events that the caller has are left out.
    """

    def __init__(self):
        self.last_id = ""
        self._buffer = b""

    @property
    def inside(self):
        """Tell whether a part of an event waits for its end."""
        return bool(self._buffer)

    def feed(self, data):
        """Return the whole events that these bytes complete, as bytes."""
        data = self._buffer + data
        ends = [data.rfind(mark) + len(mark) for mark in EVENT_ENDS if mark in data]
        end = max(ends, default=0)
        whole, self._buffer = data[:end], data[end:]
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    def restart(self):
        """Drop the half event of a run that broke off."""
        self._buffer = b""
