"""Splitting of a server-sent event stream into events."""

import re

from .exceptions import EventOutOfOrder, UpstreamFailed

EVENT_STREAM = "text/event-stream"
# A line ends with CRLF, LF or CR, and an empty line ends an event (WHATWG HTML, section
# 9.2.5).
LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
EVENT_END = re.compile(LINE_END + LINE_END)
# Empty lines and comments, which belong to no event.
BETWEEN_EVENTS = re.compile(rb"(?:(?::[^\r\n]*)?" + LINE_END + rb")*\Z")
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


def read_ids(events):
    """Return the id of each whole event that has one or has data, empty without one."""
    ids, id_, has_data = [], b"", False
    for line in events.splitlines():
        if line[:3] == b"id:":
            id_ = line[3:].removeprefix(b" ")
        elif line[:4] == b"data":
            has_data = True
        elif not line:
            if id_ or has_data:
                ids.append(id_)
            id_, has_data = b"", False
    return ids


def is_after(id_, last_id):
    """Return whether one event id may follow another.

    Only numbers have an order; of other ids only an equal one is a repeat.
    """
    if not (id_.isdigit() and last_id.isdigit()):
        return id_ != last_id
    size = len(id_)
    if size != len(last_id):
        size = max(size, len(last_id))
        id_, last_id = id_.rjust(size, b"0"), last_id.rjust(size, b"0")
    return id_ > last_id


class EventReader:
    """Splits a stream into complete events, so that another upstream can resume it.

    An upstream may fail in the middle of an event. If the incomplete event were
    relayed, the caller would read it and the next upstream's first event as one, so
    only complete events are relayed. ``last_id`` is the id of the last of them, after
    which the next upstream resumes, and ``count`` the number of events with an id.
    ``first_id`` is the id of the first of them, and ``out_of_order`` counts events that
    don't follow the one before; ``after`` is the id after which the caller resumes the
    stream. ``can_resume`` is false while the last event has no id: the next upstream
    would repeat it. With ``resumable`` false, nothing is held back and none of these is
    known.
    """

    def __init__(self, resumable=True, after=""):
        self.first_id = ""
        self.count = self.out_of_order = 0
        self._newest = after.encode("latin-1", "replace")
        self.can_resume = resumable
        self._resumable = resumable
        self._buffer = b""

    @property
    def last_id(self):
        """Return the id of the last event, empty before that."""
        return self._newest.decode("latin-1") if self.count else ""

    @property
    def has_partial(self):
        """Return whether the stream ended in the middle of an event or of a line."""
        return not BETWEEN_EVENTS.match(self._buffer)

    def feed(self, data):
        """Return the bytes to be relayed: the events that these bytes complete.

        Raise UpstreamFailed if an event that is held back is too long, EventOutOfOrder
        if one doesn't follow the last one. No byte of this call counts as relayed then.
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
        if complete:
            self._record(read_ids(complete))
        return complete

    def _record(self, ids):
        """Record the ids of events that are about to be relayed."""
        count, newest = self.count, self._newest
        for id_ in ids:
            if not id_:
                continue
            if newest and not is_after(id_, newest):
                self.out_of_order += 1
                raise EventOutOfOrder()
            newest = id_
            count += 1
        if count and not self.count:
            self.first_id = next(filter(None, ids)).decode("latin-1")
        self.count, self._newest = count, newest
        self.can_resume = bool(ids[-1]) if ids else self.can_resume

    def take_rest(self):
        """Return what was held back: comments, at the end of a whole stream."""
        rest, self._buffer = self._buffer, b""
        return rest if self._resumable else b""

    def restart(self):
        """Drop the incomplete event of an attempt that failed."""
        self._buffer = b""
