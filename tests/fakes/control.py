"""Shared parts of the fakes: faults, control endpoints, lagging values, serving."""

import asyncio
import json
import time
from collections import deque
from functools import partial

from aiohttp import web

HOST = "127.0.0.1"
MAX_BODY_BYTES = 64 * 1024 * 1024
SHUTDOWN_SECONDS = 0.1


class Switches:
    """The faults of one fake by name; each is off until a test sets it.

    ``react`` is awaited after each change, so that a fault is in force before the
    request that set it is answered.
    """

    def __init__(self, **defaults):
        self.values = defaults
        self.react = None

    def __getitem__(self, name):
        return self.values[name]

    def update(self, changes):
        """Set switches by name; raise KeyError for an unknown name."""
        unknown = set(changes) - set(self.values)
        if unknown:
            raise KeyError(f"unknown fault: {', '.join(sorted(unknown))}")
        self.values.update(changes)

    def take(self, name):
        """Return whether the fault applies now; a number is how often it applies."""
        value = self.values[name]
        if value and value is not True:
            self.values[name] = value - 1
        return bool(value)


class LaggedValue:
    """A value that is read as it was ``lag`` seconds ago."""

    def __init__(self, lag, value):
        self.lag = lag
        self.history = deque([(time.time() - lag, value)])

    def put(self, value):
        """Record the current value."""
        self.history.append((time.time(), value))
        self.get()

    def get(self):
        """Return the Unix time ``lag`` seconds ago and the value at that time."""
        as_of = time.time() - self.lag
        while len(self.history) > 1 and self.history[1][0] <= as_of:
            self.history.popleft()
        return as_of, self.history[0][1]


def reply(body, status=200, **headers):
    """Return a JSON response; underscores in header names become hyphens."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    return web.json_response(body, status=status, headers=fields)


def bad_request(reason):
    """Return the exception that aiohttp answers with status 400."""
    text = json.dumps({"reason": str(reason)})
    return web.HTTPBadRequest(text=text, content_type="application/json")


async def read_json(request):
    """Return the JSON object in the body; raise a 400 if it holds anything else."""
    try:
        body = json.loads(await request.read() or b"{}")
    except ValueError as exc:
        raise bad_request(exc) from exc
    if not isinstance(body, dict):
        raise bad_request("not a JSON object")
    return body


async def drop(request):
    """Abort the connection without an answer, and never return."""
    request.transport.abort()
    await asyncio.Event().wait()


async def wait_until(check, get_event, seconds):
    """Return the first truthy ``check()``, or None after this many seconds.

    ``check()`` is called again whenever the event from ``get_event()`` is set.
    """
    deadline = time.monotonic() + seconds
    while not (result := check()):
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            return None
        try:
            await asyncio.wait_for(get_event().wait(), remaining)
        except TimeoutError:
            continue
    return result


async def set_faults(switches, request):
    """Set the faults that the body names."""
    try:
        switches.update(await read_json(request))
    except KeyError as exc:
        raise bad_request(exc) from exc
    if switches.react is not None:
        await switches.react()
    return reply(switches.values)


async def show_record(get_record, request):
    """Return what the fake received and did."""
    return reply(get_record())


def build_app(state, make_record, routes, middlewares=()):
    """Return the application with the control endpoints and the role's routes."""
    app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=middlewares)
    app.router.add_post("/-/fault", partial(set_faults, state.switches))
    app.router.add_get("/-/record", partial(show_record, partial(make_record, state)))
    for method, path, handler in routes:
        app.router.add_route(method, path, partial(handler, state))
    return app


async def listen(app, port):
    """Serve the application on loopback; return its runner and port."""
    # Without handler_cancellation a handler would go on after its client has
    # disconnected, and the fake could not record the disconnect.
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_SECONDS,
    )
    await runner.setup()
    await web.TCPSite(runner, HOST, port).start()
    return runner, runner.addresses[0][1]
