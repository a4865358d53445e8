"""Callers of a gateway that is stopped, and what became of each of their requests."""

import threading
import time
from typing import NamedTuple

from tests.procs import Caller, NotHttp

# Seconds between a refusal and a caller's next request. Without it, a few callers keep
# the gateway so busy that it rejects connections.
PAUSE_AFTER_FAILURE = 0.02
CUT, UNREACHED = "cut", "unreached"
METHODS = {"page": "GET", "note": "POST", "chat": "GET"}
# Parts of the time for a stop: requests sent before the first and still at work after
# the second may be cut.
SENT_EARLY, AT_WORK_LATE = 3 / 8, 5 / 6


class Sent(NamedTuple):
    """A request, when it was sent and answered, and its status, CUT or UNREACHED."""

    name: str
    sent_at: float
    ended_at: float
    result: object


class RecordingUpstream:
    """The script of an upstream that works for as long as each path says."""

    def __init__(self):
        self.began, self.ended = {}, {}

    def __call__(self, conn, method, path, body):
        """Work and answer; the path is /KIND/NAME/SECONDS."""
        _, _, name, seconds = path.split("/")
        self.began.setdefault(name, time.monotonic())
        time.sleep(float(seconds))
        self.ended[name] = time.monotonic()
        head = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n"
        conn.sendall(head + b"ok")


class Callers:
    """Threads that send requests until they are closed."""

    def __init__(self):
        self.sent = []
        self._threads = []
        self._closed = False

    def start(self, port, work, kept=True, pause=0.0):
        """Send the (kind, seconds) of ``work`` in turn, on a kept connection or not."""
        args = (port, work, kept, pause, len(self._threads))
        thread = threading.Thread(target=self._run, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def close(self):
        """Send nothing more, and wait for the answers."""
        self._closed = True
        for thread in self._threads:
            thread.join()

    def _run(self, port, work, kept, pause, number):
        caller, count = None, 0
        while not self._closed:
            kind, seconds = work[count % len(work)]
            name, count = f"{number}-{count}", count + 1
            caller, sent = send_one(caller, port, kind, name, seconds)
            self.sent.append(sent)
            if caller is not None and not kept:
                caller.close()
                caller = None
            time.sleep(pause if sent.result == 200 else max(pause, PAUSE_AFTER_FAILURE))
        if caller is not None:
            caller.close()


def send_one(caller, port, kind, name, seconds):
    """Send a request; return the connection, None if it has ended, and a Sent."""
    began = time.monotonic()
    try:
        caller = caller or Caller(port)
    except OSError:
        return None, Sent(name, began, time.monotonic(), UNREACHED)
    headers = {"Host": "a.example", "Authorization": "Bearer k1"}
    lines = [f"{METHODS[kind]} /{kind}/{name}/{seconds} HTTP/1.1"]
    lines += [f"{key}: {value}" for key, value in headers.items()]
    lines += ["Content-Length: 0", "", ""]
    result, ends = CUT, True
    try:
        caller.send("\r\n".join(lines).encode())
        answer = caller.read_answer()
        if answer.whole:
            result = answer.status
            ends = answer.headers.get("connection") == "close"
    except (EOFError, OSError, NotHttp):
        pass
    if ends:
        caller.close()
        caller = None
    return caller, Sent(name, began, time.monotonic(), result)


def list_faults(upstream, sent, signal_at, drain_timeout):
    """Return what went wrong with requests sent after a signal, by kind of fault."""
    faults = {"lost": [], "false refusal": [], "unanswered": []}
    for item in sent:
        if item.ended_at < signal_at:
            continue
        at = round(item.sent_at - signal_at, 3), round(item.ended_at - signal_at, 3)
        ran = item.name in upstream.began
        if item.result in (429, 503) and ran:
            faults["false refusal"].append((item.name, *at))
        if item.result == CUT and not ran:
            faults["unanswered"].append((item.name, *at))
        if item.result == CUT and ran:
            ended = upstream.ended.get(item.name, float("inf")) - signal_at
            early = at[0] < SENT_EARLY * drain_timeout
            if not (early and ended > AT_WORK_LATE * drain_timeout):
                faults["lost"].append((item.name, *at))
    return {kind: found for kind, found in faults.items() if found}
