"""Splitting of a server-sent event stream into events."""

import re

from .exceptions import UpstreamFailed

EVENT_STREAM = "text/event-stream"
# A line ends with CRLF, LF or CR, and an empty line ends an event (WHATWG HTML, section
# 9.2.5).
LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
EVENT_END = re.compile(LINE_END + LINE_END)
# Empty lines and comments, which belong to no event.
BETWEEN_EVENTS = re.compile(rb"(?:(?::[^\r\n]*)?" + LINE_END + rb")*\Z")
EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
# Bytes of an incomplete event that are kept if nothing is held back; without a limit an
# upstream that never ends an event would fill the memory.
MAX_KEPT_BYTES = 65536
# Bytes of an incomplete event that is held back until its end.
MAX_EVENT_BYTES = 1024 * 1024


def is_event_stream(status, headers):
    """Return whether an answer's status and header fields announce events."""
    success = 200 <= status < 300
    return success and headers.get("content-type", "").lower().startswith(EVENT_STREAM)


def find_last_end(data):
    """Return the index after the last complete event, 0 if there is none."""
    if data.endswith(b"\n\n"):
        return len(data)
    return max((match.end() for match in EVENT_END.finditer(data)), default=0)


class EventReader:
    """Splits a stream into complete events, so that another upstream can resume it.

    An upstream may fail in the middle of an event. If the incomplete event were
    relayed, the caller would read it and the next upstream's first event as one, so
    only complete events are relayed. ``last_id`` is the id of the last of them, after
    which the next upstream resumes, and ``count`` the number of events with an id. With
    ``resumable`` false, nothing is held back and neither is known.
    """

    def __init__(self, resumable=True):
        self.last_id = ""
        self.count = 0
        self._resumable = resumable
        self._buffer = b""

    @property
    def has_partial(self):
        """Return whether the stream ended in the middle of an event or of a line."""
        return not BETWEEN_EVENTS.match(self._buffer)

    def feed(self, data):
        """Return the bytes to be relayed: the events that these bytes complete.

        Raise UpstreamFailed if an event that is held back is too long.
        """
        read = self._buffer + data
        end = find_last_end(read)
        complete, self._buffer = read[:end], read[end:]
        if not self._resumable:
            if len(self._buffer) > MAX_KEPT_BYTES:
                # Enough to find the end of the event: some content and a line end.
                self._buffer = b"x" + self._buffer[-len(b"\r\n\r") :]
            return data
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise UpstreamFailed("An event is too long.")
        ids = EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
            self.count += len(ids)
        return complete

    def take_rest(self):
        """Return what was held back: comments, at the end of a whole stream."""
        rest, self._buffer = self._buffer, b""
        return rest if self._resumable else b""

    def restart(self):
        """Drop the incomplete event of an attempt that failed."""
        self._buffer = b""
