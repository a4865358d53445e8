"""What the stand-ins share: switches, control endpoints, lagging views, serving."""

import asyncio
import json
import time
from collections import deque
from functools import partial

from aiohttp import web

HOST = "127.0.0.1"
BODY_LIMIT = 64 * 1024 * 1024
SHUTDOWN_TIMEOUT = 0.1


class Switches:
    """The faults of one stand-in; each is off until a test sets it.

    ``react`` is awaited after each change, so that a fault is in force once its POST
    is answered.
    """

    def __init__(self, **defaults):
        self.values = defaults
        self.react = None

    def __getitem__(self, name):
        return self.values[name]

    def update(self, changes):
        """Set switches; KeyError on an unknown name."""
        unknown = set(changes) - set(self.values)
        if unknown:
            raise KeyError(f"unknown fault: {', '.join(sorted(unknown))}")
        self.values.update(changes)

    def take(self, name):
        """Tell whether the fault strikes now; a number strikes that many times."""
        value = self.values[name]
        if value and value is not True:
            self.values[name] = value - 1
        return bool(value)


class Lagged:
    """A value as it was ``lag`` seconds ago."""

    def __init__(self, lag, value):
        self.lag = lag
        self.history = deque([(time.time() - lag, value)])

    def put(self, value):
        """Add the value of now."""
        self.history.append((time.time(), value))
        self.get()

    def get(self):
        """Return when the visible value was true, and that value."""
        as_of = time.time() - self.lag
        while len(self.history) > 1 and self.history[1][0] <= as_of:
            self.history.popleft()
        return as_of, self.history[0][1]


def reply(body, status=200, **headers):
    """Make a JSON answer; underscores in header names stand for hyphens."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return web.json_response(body, status=status, headers=named)


def bad_request(reason):
    """Make the failure that aiohttp answers as a 400."""
    text = json.dumps({"reason": str(reason)})
    return web.HTTPBadRequest(text=text, content_type="application/json")


async def read_json(request):
    """Return the body's JSON object; answer 400 when it isn't one."""
    try:
        body = json.loads(await request.read() or b"{}")
    except ValueError as exc:
        raise bad_request(exc) from exc
    if not isinstance(body, dict):
        raise bad_request("not a JSON object")
    return body


async def drop(request):
    """Drop the connection without an answer, and never return."""
    request.transport.abort()
    await asyncio.Event().wait()


async def wait_until(check, wake, seconds):
    """Wait for a truthy ``check()``, tried again at each ``wake()`` event."""
    deadline = time.monotonic() + seconds
    while not (found := check()):
        left = deadline - time.monotonic()
        if left <= 0:
            return None
        try:
            await asyncio.wait_for(wake().wait(), left)
        except TimeoutError:
            continue
    return found


async def set_faults(switches, request):
    """Set the switches that the body names."""
    try:
        switches.update(await read_json(request))
    except KeyError as exc:
        raise bad_request(exc) from exc
    if switches.react is not None:
        await switches.react()
    return reply(switches.values)


async def show_record(record, request):
    """Show what the stand-in saw and did."""
    return reply(record())


def build_app(state, make_record, routes, middlewares=()):
    """Make the application: the role's routes after the control endpoints."""
    app = web.Application(client_max_size=BODY_LIMIT, middlewares=middlewares)
    app.router.add_post("/-/fault", partial(set_faults, state.switches))
    app.router.add_get("/-/record", partial(show_record, partial(make_record, state)))
    for method, path, handler in routes:
        app.router.add_route(method, path, partial(handler, state))
    return app


async def listen(app, port):
    """Serve the application on loopback; return its runner and port."""
    # Without handler_cancellation a handler would outlive its caller, and a caller
    # that leaves could not be seen.
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT,
    )
    await runner.setup()
    await web.TCPSite(runner, HOST, port).start()
    return runner, runner.addresses[0][1]
