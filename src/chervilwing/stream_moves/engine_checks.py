"""Whether an engine that can't be connected to has ended."""

from functools import partial

from ..clocks import read_boottime
from ..exceptions import NOT_RUN, ConnectionRefused, UpstreamSilent, UpstreamUnreachable


class EngineChecks:
    """Checks after calls to engines that were not sent, one at a time for each engine.

    ``on_result`` is called with whether nobody reaches the engine any more.
    """

    def __init__(self, gateway, client):
        self._gateway = gateway
        self._client = client
        # Callbacks of the checks in progress by the engine's name.
        self._waiting = {}

    def check(self, registration, exc, on_result):
        """Find out what the failure of a call says about its engine."""
        if isinstance(exc, UpstreamUnreachable):
            on_result(True)
            return
        refused = isinstance(exc, ConnectionRefused)
        unconnected = refused or isinstance(exc, UpstreamSilent)
        # While other connections are open, the engine is only full.
        is_full = refused and self._client.is_connected(registration.address)
        if not unconnected or exc.outcome != NOT_RUN or is_full:
            on_result(False)
            return
        name, now = registration.name, read_boottime()
        self._gateway.paths.record_failed(name, now, silent=not refused)
        waiting = self._waiting.setdefault(name, [])
        waiting.append(on_result)
        if len(waiting) == 1:
            end = partial(self._end, name, refused)
            self._gateway.detours.check_path(registration, end)

    def _end(self, name, refused, reached):
        """Handle whether another instance reached an engine, None if that is unknown.

        Where none can be asked, a refused connection shows that the engine's process
        has ended, unless this instance's own paths are in doubt.
        """
        is_doubtful = self._gateway.paths.is_doubtful(read_boottime())
        gone = refused and not is_doubtful if reached is None else not reached
        for on_result in self._waiting.pop(name):
            on_result(gone)
