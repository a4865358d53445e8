"""Detection of upstreams that crashed, and of the requests they were running.

A broken connection alone doesn't prove a crash, as a link may have reset it. A crashed
upstream also refuses the next connection, within a round trip, and that of another
instance, whose path is another one.
"""

from collections import OrderedDict, deque
from functools import partial
from typing import NamedTuple

from circuits.core import BaseComponent, handler

from .bounds import keep_latest
from .clocks import read_boottime
from .crash_causes import Suspect, describe_parts, list_long_run
from .crash_records import Suspicion
from .logs import log_event
from .sockets import StreamHandlers, Streams

# Seconds that a probe's connection may take to open; a longer time proves nothing.
CONNECT_TIMEOUT = 0.6
# Probes of an upstream that refuses while other connections to it are open, and
# seconds between two of them.
MAX_TRIES = 2
RETRY_AFTER = 0.1
# Seconds for which an attempt whose caller left is kept. It may still crash its
# upstream, which is noticed when the registration lapses: three heartbeats later, plus
# the time until that is known.
ABANDONED_FOR = 8.0
# Number of latest attempts whose callers left that are kept.
MAX_ABANDONED = 512
# Number of latest answers of an upstream that are kept if they ended with their
# connections.
MAX_UNFRAMED = 64
# Heartbeats after which the registration of a crashed upstream lapses, and seconds
# until all instances know that it has lapsed.
LAPSE_HEARTBEATS = 3
LAPSE_KNOWN_AFTER = 4.0
# Seconds between two checks for crashed upstreams that are still registered.
CHECK_INTERVAL = 0.5
# Number of concurrent probes; each takes a socket, and a whole rack may crash at once.
MAX_PROBES = 64
# Number of latest crashed upstreams that are kept.
MAX_CRASHED = 256
HTTP_OK = 200
MIN_REDIRECT = 300
MIN_SERVER_ERROR = 500
REFUSED = (ConnectionRefusedError, ConnectionResetError)


class AbandonedAttempt(NamedTuple):
    """An attempt that was abandoned while the upstream may still run it."""

    upstream: str
    suspects: tuple[Suspect, ...]
    at: float


class UnframedAnswer(NamedTuple):
    """An answer that ended with its connection, as that of a crashed upstream does."""

    attempt: AbandonedAttempt
    status: int


class Restarts(NamedTuple):
    """How often an upstream restarted under the same name, and when last."""

    count: int = 0
    at: float = float("-inf")


class Probe(NamedTuple):
    """A connection attempt that shows whether an upstream is running.

    ``in_flight`` has the Suspects of each request that it may be running.
    """

    upstream: str
    at: float
    in_flight: list[tuple[Suspect, ...]]
    tries: int = 1


class CrashDetection(BaseComponent):
    """Suspect the requests in flight at crashed upstreams; see CrashRecords."""

    channel = "crash-detection"

    def __init__(self, poller, gateway, client):
        super().__init__()
        self._gateway = gateway
        self._client = client
        self._next_check = 0.0
        self._records = gateway.crashes
        self._abandoned = deque(maxlen=MAX_ABANDONED)
        # UnframedAnswers by upstream, until it is known whether that has crashed.
        self._unframed = OrderedDict()
        # Assumed suspicions by the upstream that is probed.
        self._assumed = {}
        # Times of the latest crashes by upstream.
        self._crashed = OrderedDict()
        # Restarts by upstream, of the upstreams that restarted last.
        self._restarts = OrderedDict()
        self._probes = {}
        # Registrations and Probes to be tried again, by time.
        self._due_probes = deque()
        handlers = StreamHandlers(self._opened, self._received, self._closed)
        self._streams = Streams(poller, handlers, "crash-probes").register(self)

    @property
    def is_probing(self):
        """Return whether any probe is still open."""
        return bool(self._probes or self._due_probes)

    def handle_broken(self, relay, now):
        """Handle an attempt whose connection broke off before the answer's end."""
        registration = relay.upstream_state.registration
        if relay.sent_at < self._get_restarts(registration.name).at:
            # It ran in the upstream's previous process; that crash is already recorded.
            return
        crashed_at = self._crashed.get(registration.name)
        if crashed_at is not None:
            # Requests that were sent after the crash can't be its cause.
            if relay.sent_at < crashed_at:
                crash = self._make_crash_id(registration.name)
                for suspect in relay.suspects:
                    self._records.prove(Suspicion(suspect.fingerprint, crash), now)
        elif not registration.leaving:
            # A leaving upstream ends when its time is over, so no request is suspected.
            self._start_probe(registration, now)

    def handle_answered(self, relay):
        """Record that an upstream answers: it is running, or has restarted.

        Upstreams from a routes file keep their names over restarts. Other upstreams get
        a new name at each start, so one that answers after a reported crash has not
        crashed.
        """
        name = relay.upstream_state.registration.name
        if self._gateway.cfg.routes:
            self._record_restart(name)
            return
        if relay.sent_at > self._crashed.get(name, float("inf")):
            del self._crashed[name]
        self._records.record_alive(name, relay.sent_at, read_boottime())
        self._clear_unframed(name, relay.sent_at)

    def handle_caller_left(self, relay, now):
        """Record that an attempt is abandoned while the upstream may run it."""
        if relay.call is not None and relay.call.conn.sent:
            name = relay.upstream_state.registration.name
            self._abandoned.append(AbandonedAttempt(name, relay.suspects, now))

    def count_request(self, relay):
        """Count a request by the shared parts of its prompt."""
        parts = [suspect.fingerprint for suspect in relay.suspects[1:]]
        self._records.part_statistics.add(parts)

    def handle_ended(self, relay, status, until_close, now):
        """Clear what an answer shows to crash no upstream.

        An answer that ended with its connection shows that only once its upstream has
        answered a later request.
        """
        if not until_close:
            self._clear(relay.suspects, status, now)
            return
        name = relay.upstream_state.registration.name
        attempt = AbandonedAttempt(name, relay.suspects, now)
        found = self._unframed.setdefault(name, deque(maxlen=MAX_UNFRAMED))
        found.append(UnframedAnswer(attempt, status))
        self._unframed.move_to_end(name)
        keep_latest(self._unframed, MAX_CRASHED)

    def handle_removed(self, registration, now):
        """Handle a vanished registration: probe the upstream if it wasn't leaving."""
        if not registration.leaving and registration.name not in self._crashed:
            self._start_probe(registration, now)

    def handle_restarted(self, registration, now):
        """Handle an upstream's restart under the same name, which proves a crash."""
        name = registration.name
        in_flight = self._list_in_flight(name, now)
        if in_flight and not registration.leaving and name not in self._crashed:
            suspicions = self._list_suspicions(name, in_flight)
            self._prove(name, suspicions, in_flight)
        self._record_restart(name)

    def clear_registered(self, now):
        """Withdraw the crashes of upstreams that are still registered.

        An upstream may refuse connections because it is full. If all requests of its
        pool are barred, no answer would show that it is running.
        """
        cfg = self._gateway.cfg
        lapsed_at = now - cfg.heartbeat * LAPSE_HEARTBEATS - LAPSE_KNOWN_AFTER
        if cfg.routes or self._gateway.registrations_fresh_since() > lapsed_at:
            return
        for name in self._records.list_crashed(lapsed_at):
            if name in self._gateway.registry.upstreams:
                self._crashed.pop(name, None)
                self._records.record_alive(name, now, now)
                log_event("upstream not crashed", upstream=name)

    def _clear_unframed(self, name, sent_at):
        """Clear what ended before a request was sent that the upstream answers."""
        waiting = self._unframed.get(name)
        while waiting and waiting[0].attempt.at < sent_at:
            attempt, status = waiting.popleft()
            self._clear(attempt.suspects, status, read_boottime())

    def _clear(self, suspects, status, now):
        """Clear a request that was answered; its prompt's parts only by a success.

        An error may be answered without reading the prompt.
        """
        content, *parts = suspects
        if status < MIN_SERVER_ERROR:
            self._records.clear(content.fingerprint, now)
        if HTTP_OK <= status < MIN_REDIRECT:
            for part in parts:
                self._records.clear(part.fingerprint, now)

    def _record_restart(self, name):
        if name not in self._crashed:
            return
        del self._crashed[name]
        count = self._get_restarts(name).count + 1
        self._restarts[name] = Restarts(count, read_boottime())
        keep_latest(self._restarts, MAX_CRASHED)

    def _get_restarts(self, name):
        return self._restarts.get(name, Restarts())

    def _make_crash_id(self, name):
        """Return an id for an upstream's crash, different after each restart.

        If the name alone were used, all crashes of an upstream that keeps its name over
        restarts would count as one.
        """
        count = self._get_restarts(name).count
        return f"{name}#{count}" if count else name

    def _start_probe(self, registration, now):
        """Probe an upstream, and until then suspect the requests it may be running."""
        name = registration.name
        if name in self._assumed:
            return
        in_flight = self._list_in_flight(name, now)
        if not in_flight:
            return
        if len(self._probes) >= MAX_PROBES:
            log_event("upstream not asked", upstream=name, in_flight=len(in_flight))
            return
        for part in list_long_run(self._list_relays(name), now):
            self._records.record_survived(part, now)
        suspicions = self._assumed[name] = self._list_suspicions(name, in_flight)
        for suspicion in suspicions:
            self._records.assume(suspicion, now)
        self._dial(registration, Probe(name, now, in_flight))

    def _dial(self, registration, probe):
        conn = self._streams.dial(registration.address)
        conn.state = registration
        self._probes[conn] = probe

    def _list_relays(self, name):
        """Return the relays whose requests were sent to an upstream and run there."""
        since = self._get_restarts(name).at
        return [
            relay
            for relay in self._gateway.relays
            if relay.call is not None
            and relay.call.conn.sent
            and relay.upstream_state.registration.name == name
            and relay.sent_at >= since
        ]

    def _list_in_flight(self, name, now):
        """Return the Suspects of each request that an upstream may be running."""
        since = max(self._get_restarts(name).at, now - ABANDONED_FOR)
        unframed = [item.attempt for item in self._unframed.get(name, ())]
        return [relay.suspects for relay in self._list_relays(name)] + [
            item.suspects
            for item in (*self._abandoned, *unframed)
            if item.upstream == name and item.at >= since
        ]

    def _list_suspicions(self, name, in_flight):
        """Return the Suspicions of an upstream's crash."""
        crash = self._make_crash_id(name)
        found = {suspect.fingerprint for suspects in in_flight for suspect in suspects}
        return [Suspicion(fingerprint, crash) for fingerprint in sorted(found)]

    def _opened(self, conn):
        probe, suspicions = self._pop_probe(conn)
        if probe is not None:
            self._gateway.detours.record_direct(probe.upstream)
            self._dismiss(suspicions)
        self._streams.drop(conn)

    def _received(self, conn, data):
        self._streams.drop(conn)

    def _closed(self, conn, exc):
        probe = self._probes.get(conn)
        if probe is None:
            return
        refused = isinstance(exc, REFUSED)
        self._gateway.paths.record_failed(probe.upstream, read_boottime(), not refused)
        unconnected = not self._client.is_connected(conn.address)
        if refused and not unconnected and probe.tries < MAX_TRIES:
            # The ends of a crashed upstream's connections are seen one by one.
            again = probe._replace(at=read_boottime() + RETRY_AFTER, tries=MAX_TRIES)
            self._due_probes.append((conn.state, again))
            del self._probes[conn]
            return
        probe, suspicions = self._pop_probe(conn)
        if refused and unconnected:
            result = partial(self._end_check, probe, suspicions)
            self._gateway.detours.check_path(conn.state, result)
            return
        # A timeout proves nothing. Neither does a refusal while other connections are
        # open: the upstream is full. If it did crash, its registration lapses.
        self._abandon(probe, suspicions)

    def _end_check(self, probe, suspicions, reached):
        """Handle whether another instance reaches an upstream that refused this one.

        ``reached`` is None if no other instance could be asked.
        """
        doubtful = self._gateway.paths.is_doubtful(read_boottime())
        if reached or (reached is None and doubtful):
            self._abandon(probe, suspicions)
        else:
            self._prove(probe.upstream, suspicions, probe.in_flight)

    def _abandon(self, probe, suspicions):
        """Dismiss suspicions, and keep the attempts in case the upstream did crash."""
        self._dismiss(suspicions)
        now = read_boottime()
        for suspects in probe.in_flight:
            self._abandoned.append(AbandonedAttempt(probe.upstream, suspects, now))

    def _pop_probe(self, conn):
        """Remove a probe; return it and its suspicions, or None if it is unknown."""
        probe = self._probes.pop(conn, None)
        if probe is None:
            return None, ()
        return probe, self._assumed.pop(probe.upstream)

    def _dismiss(self, suspicions):
        for suspicion in suspicions:
            self._records.dismiss(suspicion)

    def _prove(self, name, suspicions, in_flight):
        """Suspect the requests that an upstream was running when it crashed."""
        now = read_boottime()
        self._crashed[name] = now
        keep_latest(self._crashed, MAX_CRASHED)
        counts = []
        for suspicion in suspicions:
            self._records.prove(suspicion, now)
            counts.append(self._records.count(suspicion.fingerprint, now))
        most = max(zip(counts, suspicions, strict=True))
        log_event(
            "upstream crashed",
            upstream=name,
            in_flight=len(in_flight),
            most_suspected=most[1].fingerprint,
            crashes=most[0],
            parts=describe_parts(in_flight),
        )

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        while self._due_probes and now >= self._due_probes[0][1].at:
            self._dial(*self._due_probes[0])
            self._due_probes.popleft()
        for conn, probe in list(self._probes.items()):
            if now - probe.at >= CONNECT_TIMEOUT:
                self._streams.drop(conn)
        if now >= self._next_check:
            self._next_check = now + CHECK_INTERVAL
            self.clear_registered(now)
