"""Instances whose requests take processor time, and callers that choose among them."""

import random
import socket
import threading
import time
from contextlib import suppress
from typing import NamedTuple

from chervilwing.platform.headers import DIALECT
from chervilwing.web import WebHandlers
from tests.crashing_upstreams import COMPLETE
from tests.gateways import GatewayThread, make_document
from tests.procs import CHUNK, HOST

# Seconds of an instance's processor time that each request takes.
REQUEST_TIME = 0.04
# Seconds until a caller gives up one try, and the whole request.
TRY_TIMEOUT = 1.0
DEADLINE = 3.0
MAX_TRIES = 6


class Try(NamedTuple):
    """One connection of a caller for a request, and whether it was answered."""

    instance: "BusyInstance"
    request_id: str
    served: bool


class Result(NamedTuple):
    """The tries of a request; times are in seconds."""

    sent_at: float
    tries: list[Try]
    seconds: float

    @property
    def served(self):
        """Return whether the first try that any instance read was answered."""
        read = [item for item in self.tries if item.request_id in item.instance.read]
        return bool(read) and read[0].served


class BusyInstance:
    """A gateway that takes processor time for each request that it reads.

    ``count`` is the number of instances that it knows of, itself included.
    """

    def __init__(self, request_time=REQUEST_TIME, count=2):
        self.run = GatewayThread(DIALECT, answer, document=make_document())
        self.run.gateway.retries.set_instances(count)
        self.port = self.run.port
        # Ids of the tries that this instance has read.
        self.read = set()
        self.request_time = request_time
        web = self.run.gateway.web
        serve = web._callbacks.requested

        def serve_slowly(exchange):
            self.read.add(exchange.req.headers["x-request-id"])
            # Sleeping keeps the event loop busy, but not the test's own processor.
            time.sleep(self.request_time)
            serve(exchange)

        web._callbacks = WebHandlers(serve_slowly, web._callbacks.disconnected)

    def close(self):
        """Stop the gateway and its upstream."""
        self.run.close()


def answer(conn, method, path, body):
    """Answer a request at once."""
    conn.sendall(COMPLETE)


class Callers:
    """Callers that open a new connection for each try."""

    def __init__(self, instances, seed):
        self._instances = instances
        self._rng = random.Random(seed)
        self._threads = []
        self.results = []

    def send(self, seconds, rate, favourite=None, share=0.0):
        """Send requests at a rate per second, a share of them to one instance first."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            first = self._rng.choice(self._instances)
            if favourite is not None and self._rng.random() < share:
                first = favourite
            name = f"q{len(self._threads)}"
            thread = threading.Thread(target=self._call, args=(name, first))
            thread.start()
            self._threads.append(thread)
            time.sleep(1.0 / rate)

    def wait(self):
        """Wait until all requests have ended, and return their Results."""
        for thread in self._threads:
            thread.join()
        return self.results

    def _call(self, name, instance):
        sent_at = time.monotonic()
        tries = []
        while len(tries) < MAX_TRIES and not (tries and tries[-1].served):
            left = sent_at + DEADLINE - time.monotonic()
            if left <= 0:
                break
            request_id = f"{name}.{len(tries)}"
            served = send_try(instance.port, request_id, min(TRY_TIMEOUT, left))
            tries.append(Try(instance, request_id, served))
            others = [item for item in self._instances if item is not instance]
            instance = self._rng.choice(others) if others else instance
        self.results.append(Result(sent_at, tries, time.monotonic() - sent_at))


def send_try(port, request_id, timeout):
    """Send a request on a new connection; return whether it was answered with 200."""
    head = f"POST /page/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {request_id}\r\n"
    head += "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n"
    data = b""
    with suppress(OSError), socket.create_connection((HOST, port), timeout) as sock:
        sock.settimeout(timeout)
        sock.sendall(head.encode())
        data = sock.recv(CHUNK)
    return data.startswith(b"HTTP/1.1 200")


def summarise(results):
    """Return the fraction that was served, and the median time in seconds."""
    times = sorted(item.seconds for item in results)
    return sum(item.served for item in results) / len(results), times[len(times) // 2]
