"""Keep requests for callers that may reconnect, limited in time and bytes."""


class NullExchange:
    """Stand in for the exchange of a caller that has disconnected."""

    started = disconnected = finished = congested = False
    on_drain = tag = None

    def start(self, status, content_type, headers=None):
        """Do nothing."""

    def write(self, data):
        """Do nothing."""

    def finish(self, data=b""):
        """Do nothing."""

    def answer_json(self, status, value, headers=None):
        """Do nothing."""

    def answer_problem(self, exc, headers=None):
        """Do nothing."""

    def abort(self):
        """Do nothing."""

    def may_buffer(self, size):
        """Return True: what is kept without a caller has limits of its own."""
        return True


class HeldRequest:
    """State of one request whose caller may reconnect.

    ``expires_at`` is in seconds of the monotonic clock, None while a caller is
    connected. ``delivered`` is false while the caller may lack part of the answer.
    ``transfer`` is the id of the transfer that brought the request, if any.
    """

    __slots__ = ("session", "expires_at", "size", "delivered", "transfer")

    def __init__(self, session, expires_at, size, transfer):
        self.session = session
        self.expires_at = expires_at
        self.size = size
        self.delivered = expires_at is None
        self.transfer = transfer


def estimate_size(session):
    """Return the approximate bytes that a request takes while it is held."""
    return len(session.run.completion.prompt) + len(session.run.answer.text)


class HeldRequests:
    """Hold requests by key, in the order in which they came."""

    def __init__(self, limit):
        self._limit = limit
        self._held = {}
        self.size = 0

    def get(self, key):
        """Return the held request with a key, or None."""
        return self._held.get(key)

    def find(self, session):
        """Return the held request of a session, or None."""
        held = self._held.get(session.key)
        return held if held is not None and held.session is session else None

    def list(self):
        """Return all held requests, the oldest first."""
        return list(self._held.values())

    def put(self, session, expires_at=None, size=0, transfer=""):
        """Hold a request; ``size`` bytes count towards the limit."""
        self.drop(session.key)
        self._held[session.key] = HeldRequest(session, expires_at, size, transfer)
        self.size += size

    def drop(self, key):
        """Remove the request with a key, if it is held."""
        held = self._held.pop(key, None)
        if held is not None:
            self.size -= held.size

    def detach(self, held, expires_at):
        """Keep a running request without its caller; return False without room."""
        size = estimate_size(held.session)
        if not self.make_room(size - held.size):
            return False
        self.size += size - held.size
        held.expires_at, held.size, held.delivered = expires_at, size, False
        return True

    def finish(self, held, expires_at):
        """Keep a complete answer until ``expires_at``."""
        size = estimate_size(held.session)
        self.size += size - held.size
        held.expires_at, held.size = expires_at, size
        self.make_room(0)

    def make_room(self, size):
        """Drop the oldest complete answers; return whether ``size`` bytes fit now.

        Callers may send an id with every request and get long answers, while the
        control plane may use 128 MB of memory per node. Running requests have no other
        copy and are kept.
        """
        for held in self.list():
            if self.size + size <= self._limit:
                break
            if held.session.closed:
                self.drop(held.session.key)
        return self.size + size <= self._limit

    def list_expired(self, now):
        """Return the requests whose callers have not reconnected in time."""
        return [
            held
            for held in self._held.values()
            if held.expires_at is not None
            and now > held.expires_at
            and not held.session.handing_over
        ]
