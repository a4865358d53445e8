"""Requests that their callers may ask for again, within bounds of time and bytes."""


class Detached:
    """Take the place of an exchange whose caller has gone: it writes to nobody."""

    started = gone = finished = congested = False
    on_drain = tag = None

    def start(self, status, content_type, headers=None):
        """Do nothing."""

    def write(self, data):
        """Do nothing."""

    def finish(self, data=b""):
        """Do nothing."""

    def answer_json(self, status, value, headers=None):
        """Do nothing."""

    def refuse(self, exc, headers=None):
        """Do nothing."""

    def abort(self):
        """Do nothing."""


class Held:
    """State of one request that its caller may ask for again.

    Without a caller it is kept ``until`` then. ``read`` tells whether a caller got the
    answer, as far as can be known. ``transfer`` names how it came from a peer.
    """

    __slots__ = ("session", "until", "size", "read", "transfer")

    def __init__(self, session, until, size, transfer):
        self.session = session
        self.until = until
        self.size = size
        self.read = until is None
        self.transfer = transfer


def measure(session):
    """Return about how many bytes an answer takes while it is held."""
    return len(session.run.completion.prompt) + len(session.run.answer.text)


class HeldAnswers:
    """What is held, by key, the oldest first."""

    def __init__(self, limit):
        self._limit = limit
        self._held = {}
        self.size = 0

    def get(self, key):
        """Return what is held for a key, or None."""
        return self._held.get(key)

    def find(self, session):
        """Return what is held of this very request, or None."""
        held = self._held.get(session.key)
        return held if held is not None and held.session is session else None

    def list(self):
        """Return all that is held."""
        return list(self._held.values())

    def put(self, session, until=None, size=0, transfer=""):
        """Hold a request; ``size`` is counted against the limit."""
        self.drop(session.key)
        self._held[session.key] = Held(session, until, size, transfer)
        self.size += size

    def drop(self, key):
        """Hold it no longer."""
        held = self._held.pop(key, None)
        if held is not None:
            self.size -= held.size

    def finish(self, held, until):
        """Keep a whole answer for a while."""
        size = measure(held.session)
        self.size += size - held.size
        held.until, held.size = until, size
        self.make_room(0)

    def make_room(self, size):
        """Forget the oldest whole answers; tell whether so many bytes fit now.

        Load: long answers to callers that name all of them. Harm: memory for control
        is 128 MB a node (letter 1). What still runs has no other copy and stays.
        """
        for held in self.list():
            if self.size + size <= self._limit:
                break
            if held.session.closed:
                self.drop(held.session.key)
        return self.size + size <= self._limit

    def list_late(self, now):
        """Return what no caller has come back for in time."""
        return [
            held
            for held in self._held.values()
            if held.until is not None
            and now > held.until
            and not held.session.handing_over
        ]
