"""Connections that only show whether an upstream can be reached, and from where."""

from functools import partial

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .connections import Call, CallHandlers
from .exceptions import UpstreamSilent, UpstreamUnreachable

# Seconds that a connection may take to open. Links between data centres take 1.5 ms.
PROBE_TIMEOUT = 0.25
# The same through another instance, which itself waits up to 0.3 s.
CHECK_TIMEOUT = 0.4
# Seconds without any byte from an upstream after which an answer that is later than
# twice its estimate makes this instance try a new connection.
SILENCE = 0.3
ESTIMATE_FACTOR = 2.0
# Upstreams tried for silent connections at a time, and seconds between two tries.
MAX_SILENCE_PROBES = 2
SILENCE_PROBE_INTERVAL = 0.5


def ignore(*args):
    """Ignore what a call reports."""


class PathChecks(BaseComponent):
    """Try direct connections, and ask other instances to reach an upstream."""

    channel = "path-checks"

    def __init__(self, gateway, client):
        super().__init__()
        self._gateway = gateway
        self._client = client
        self._paths = gateway.paths
        self._next_silence_probe = float("-inf")
        # Whether the hanging connections of the present cut were given up.
        self._left = False
        gateway.detours.check_path = self.check

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        registered = self._gateway.registry.upstreams
        for name in self._paths.list_probes(registered.keys(), now):
            self._probe(registered[name], ignore)
        if self._paths.is_cut():
            self._leave_silent_paths(now)
            return
        self._left = False
        if now >= self._next_silence_probe:
            self._probe_silent(now)

    def _leave_silent_paths(self, now):
        """Give up hanging connections once, as soon as another instance helps."""
        helper = self._gateway.tunnel_peers.choose(now)
        if self._paths.silent and helper is not None and not self._left:
            self._left = True
            self._gateway.detours.leave_silent_paths()

    def check(self, registration, on_result):
        """Ask another instance to reach an upstream that this one doesn't reach.

        ``on_result`` is called with True if it did, False if it didn't either, and None
        if that is unknown.
        """
        now = read_boottime()
        peer = self._gateway.tunnel_peers.choose(now)
        if peer is None:
            count = len(self._gateway.registry.upstreams)
            self._paths.record_alone(count, self._client.received_at, now)
            on_result(None)
            return
        failed = partial(self._end_check, registration, peer, on_result)
        handlers = CallHandlers(ignore, ignore, partial(failed, None), failed)
        self._submit(registration, handlers, CHECK_TIMEOUT, peer)

    def _end_check(self, registration, peer, on_result, exc):
        now = read_boottime()
        if exc is None:
            self._gateway.detours.record_reached(registration.name)
            on_result(True)
        elif isinstance(exc, UpstreamUnreachable):
            self._paths.record_unreached(registration.name, now)
            on_result(False)
        else:
            self._gateway.tunnel_peers.avoid(peer.name, now)
            on_result(None)

    def _probe(self, registration, on_failed):
        """Try a direct connection."""
        done = partial(self._gateway.detours.record_direct, registration.name)
        failed = partial(self._fail_probe, registration, on_failed)
        handlers = CallHandlers(ignore, ignore, done, failed)
        self._submit(registration, handlers, PROBE_TIMEOUT)

    def _fail_probe(self, registration, on_failed, exc):
        silent = isinstance(exc, UpstreamSilent)
        self._paths.record_failed(registration.name, read_boottime(), silent)
        on_failed(registration)

    def _submit(self, registration, handlers, timeout, via=None):
        call = Call(
            registration.address,
            "",
            "",
            {},
            connect_timeout=timeout,
            silence_timeout=float("inf"),
            new_connection=True,
            probe_if_silent=False,
            via=via,
            connect_only=True,
        )
        self._client.submit(call, handlers)

    def _probe_silent(self, now):
        """Try new connections where answers are late and nothing is heard at all."""
        silent = [relay for relay in self._gateway.relays if self._is_late(relay, now)]
        if not silent or now - self._client.received_at < SILENCE:
            return
        self._next_silence_probe = now + SILENCE_PROBE_INTERVAL
        late = {relay.upstream_state.registration for relay in silent}
        others = self._gateway.registry.upstreams.values()
        registrations = list(dict.fromkeys([*late, *others]))
        for registration in registrations[:MAX_SILENCE_PROBES]:
            self._probe(registration, self._check_failed)

    def _check_failed(self, registration):
        self.check(registration, ignore)

    def _is_late(self, relay, now):
        call = relay.call
        if call is None or call.conn.connecting or call.conn.tunnel is not None:
            return False
        if relay.answer is not None:
            return now - self._client.received_at >= 2 * SILENCE
        expected = ESTIMATE_FACTOR * relay.estimate.seconds
        return now - relay.sent_at >= SILENCE + expected
