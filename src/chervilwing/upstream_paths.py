"""Whether this instance reaches the upstreams itself, by what its connections tell.

A connection that fails says that the upstream or the path to it is down. It is the path
if another instance connects to the same upstream.
"""

# Upstreams that only another instance reaches from which on this one counts as cut off
# from all, as one of them may be behind a single broken link.
MIN_DETOURS = 2
# Upstreams whose connections fail in a row, with none opened in between, from which on
# this instance counts as cut off where no other instance can be asked.
MIN_FAILED = 3
# Seconds for which a failed connection counts. Requests arrive at an instance within
# this time, so that a lasting cut shows again and again.
FAILURE_LIFETIME = 2.0
# Seconds since the last byte of any upstream within which open connections work.
HEARD_LATELY = 0.3
# Seconds for which an upstream that another instance couldn't reach either isn't
# checked again.
DOWN_TIME = 1.0
# Upstreams whose connections must fail within DOUBT_TIME seconds for a broken
# connection to say nothing about its upstream.
MIN_DOUBTED = 2
DOUBT_TIME = 0.5
# Seconds between two attempts to connect directly while this instance is cut off.
PROBE_INTERVAL = 0.25
# Upstreams tried at a time once one of them was reached directly again.
RETURN_PROBES = 32
# Upstreams tried at a time while it is doubtful whose failure several are.
DOUBT_PROBES = 2
NEVER = float("-inf")


class UpstreamPaths:
    """State of the direct paths to all upstreams; times are seconds on one clock."""

    def __init__(self):
        self._failed = {}
        self._down_until = {}
        # Upstreams that only another instance reached, with the time of that.
        self._detours = {}
        self._opened_at = NEVER
        self._alone_since = None
        self._next_probe = NEVER
        # Whether the connection that failed last had no answer at all.
        self.silent = False

    def is_cut(self):
        """Return whether this instance counts as cut off from all upstreams."""
        if self._alone_since is not None:
            return True
        recent = sum(at > self._opened_at for at in self._detours.values())
        return recent >= MIN_DETOURS

    def needs_detour(self, name):
        """Return whether new connections to an upstream must not be direct."""
        return name in self._detours or self.is_cut()

    def is_doubtful(self, now):
        """Return whether a broken connection may be due to this instance's own paths.

        Where several upstreams' connections fail at the same moment, a common cause is
        likelier than as many crashes.
        """
        if self.is_cut():
            return True
        return len(self._list_failed(now - DOUBT_TIME)) >= MIN_DOUBTED

    def is_down(self, name, now):
        """Return whether another instance has just failed to reach an upstream."""
        return now < self._down_until.get(name, NEVER)

    def list_detours(self):
        """Return the upstreams that only another instance reached."""
        return self._detours.keys()

    def record_opened(self, name, now):
        """Record a new direct connection to an upstream."""
        self._opened_at = now
        self._alone_since = None
        self._failed.clear()
        self._detours.pop(name, None)

    def record_failed(self, name, now, silent=False):
        """Record a direct connection that failed or broke off, or was ``silent``."""
        self._failed[name] = now
        self.silent = silent

    def record_reached(self, name, now):
        """Record that another instance reached an upstream.

        Return whether this shows that this instance's own path to it is down.
        """
        self._down_until.pop(name, None)
        if name in self._detours or name not in self.list_suspected(now):
            return False
        self._detours[name] = now
        return True

    def record_unreached(self, name, now):
        """Record that another instance didn't reach an upstream either."""
        self._down_until[name] = now + DOWN_TIME
        self._failed.pop(name, None)

    def record_alone(self, count, heard_at, now):
        """Record a failure that no instance could check.

        ``count`` upstreams exist; one of them was last heard at ``heard_at``. While any
        is heard, open connections serve callers, whatever becomes of new ones.
        """
        if now - heard_at < HEARD_LATELY:
            return
        enough = min(MIN_FAILED, count)
        if len(self.list_suspected(now)) >= enough:
            self._alone_since = now

    def list_suspected(self, now):
        """Return the upstreams whose direct connections failed recently."""
        return self._list_failed(now - FAILURE_LIFETIME)

    def list_probes(self, names, now):
        """Return the upstreams to which a direct connection is to be tried now.

        ``names`` are all registered upstreams. One is tried at a time, each in its
        turn; once one was reached, the others that need a detour follow at once.
        """
        for name in self._detours.keys() - names:
            del self._detours[name]
        if now < self._next_probe:
            return []
        wanted, count = self._choose_probes(names, now)
        if not wanted:
            return []
        self._next_probe = now + PROBE_INTERVAL
        first = int(now / PROBE_INTERVAL) % len(wanted)
        return (wanted[first:] + wanted[:first])[:count]

    def _choose_probes(self, names, now):
        """Return the upstreams that may be tried, and how many of them at a time.

        Several failures are doubtful until a new connection to another upstream opens,
        which may not be needed for long where open ones are idle.
        """
        if self.is_cut():
            return list(names), 1 if self._alone_since is None else RETURN_PROBES
        if self.is_doubtful(now):
            return [n for n in names if n not in self._failed], DOUBT_PROBES
        return list(self._detours), RETURN_PROBES

    def _list_failed(self, since):
        return [name for name, at in self._failed.items() if at >= since]
