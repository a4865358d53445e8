"""Stand-ins and helpers of the second review: store, gateway, workers and clients.

Only the standard library is used. The store keeps to PROTOCOL.md, "The platform's
metadata store"; a worker is a function that gets each request with its connection.
"""

import base64
import http.client
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TEMPLATE = ROOT / "src/chervilwing/platform/settings.template"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def find_port():
    """Return a free port for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            with suppress(OSError):
                udp.bind((HOST, port))
                return port


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._file.flush()


class Store:
    """The platform's store and API; all state is under one condition."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease = 1, 100
        self.calls = []
        handler = type("Handler", (StoreHandler,), {"store": self})
        self.server = ThreadingHTTPServer((HOST, 0), handler)
        # Connections that are reset when a gateway is killed are no error.
        self.server.handle_error = lambda request, address: None
        self.server.daemon_threads = True
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def write(self, puts, deletes=()):
        """Write and delete at one new revision; the caller holds ``changed``."""
        self.revision += 1
        for key, value, lease in puts:
            created = self.items.get(key, {}).get("createRev", self.revision)
            item = {"key": key, "value": value, "revision": self.revision}
            self.items[key] = item | {"createRev": created, "lease": lease}
            self.history.append(self.items[key])
        for key in deletes:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.history.append(event)
        self.changed.notify_all()

    def operate(self, key, value):
        """Write as the operator or a worker does; None deletes."""
        with self.changed:
            if value is None:
                self.write((), (key,))
                return
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.write(((key, text, 0),))

    def expire(self):
        """End the leases that have run out; the caller holds ``changed``."""
        now = time.monotonic()
        for lease in [n for n, (end, _) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and delete its items; the caller holds ``changed``."""
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.write((), keys)


class StoreHandler(BaseHTTPRequestHandler):
    """HTTP interface of a Store."""

    protocol_version = "HTTP/1.1"
    store = None

    def log_message(self, *args):
        """Write no log."""

    def reply(self, status, value):
        """Send a JSON body."""
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def read_body(self):
        """Return the JSON body."""
        size = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(size) or b"{}")

    def do_GET(self):
        """Handle a list or a watch."""
        url, store = urlsplit(self.path), self.store
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        prefix, after = query.get("prefix", ""), query.get("after", "")
        with store.changed:
            store.expire()
            if url.path == "/-/kv-range":
                keys = sorted(k for k in store.items if k.startswith(prefix))
                items = [store.items[k] for k in keys if k > after]
                value = {"items": items, "truncated": False}
                value["storeRevision"] = store.revision
            else:
                value = self.watch(prefix, int(after), int(query["waitMs"]) / 1000)
        self.reply(200, value)

    def watch(self, prefix, after, wait):
        """Return the events after a revision, once there are any."""
        until = time.monotonic() + wait
        while True:
            self.store.expire()
            events = [
                e
                for e in self.store.history
                if e["key"].startswith(prefix) and e["revision"] > after
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "storeRevision": self.store.revision}
            self.store.changed.wait(min(left, 0.05))

    def do_POST(self):
        """Handle a conditional write, a lease or a call to the API."""
        body, store, path = self.read_body(), self.store, self.path
        with store.changed:
            store.expire()
            now = time.monotonic()
            if path == "/-/kv-txn":
                answer = self.commit(body)
            elif path == "/-/kv-lease":
                store.next_lease += 1
                ttl = body["ttlMs"]
                store.leases[store.next_lease] = (now + ttl / 1000, ttl)
                answer = 200, {"lease": store.next_lease, "ttlMs": ttl}
            elif path.startswith("/-/kv-keep/"):
                lease = int(path.rpartition("/")[2])
                ttl = store.leases.get(lease, (0, 0))[1]
                answer = (200, {"ttlMs": ttl}) if ttl else (404, {})
                if ttl:
                    store.leases[lease] = (now + ttl / 1000, ttl)
            else:
                holder = self.headers.get("X-Duty-Holder")
                fence = self.headers.get("X-Fence-Token")
                store.calls.append((path, holder, fence, body))
                answer = 200, {}
        self.reply(*answer)

    def commit(self, body):
        """Return the status and body of the reply to a conditional write."""
        store = self.store
        for row in body.get("ifRev", ()):
            if store.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                return 412, {"items": []}
        puts = [(p["key"], p["value"], p.get("lease", 0)) for p in body.get("puts", ())]
        if any(lease and lease not in store.leases for _, _, lease in puts):
            return 404, {}
        store.write(puts, body.get("delete", ()))
        return 200, {"revision": store.revision}

    def do_DELETE(self):
        """End a lease."""
        with self.store.changed:
            self.store.end_lease(int(self.path.rpartition("/")[2]))
        self.reply(200, {})


def reset(conn):
    """Reset a connection, also where a file made of it is still open."""
    with suppress(OSError):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        os.close(conn.detach())


def read_head(file):
    """Return the start line and the fields of one message, or None at the end."""
    line = file.readline().decode("latin-1").rstrip("\r\n")
    if not line:
        return None
    fields = {}
    while text := file.readline().decode("latin-1").rstrip("\r\n"):
        name, _, value = text.partition(":")
        fields[name.lower()] = value.strip()
    return line, fields


class Worker:
    """A worker that calls ``serve(conn, fields, count)`` for each request.

    ``count`` is the number of requests on this connection, this one included.
    """

    def __init__(self, name, serve):
        self.name, self.serve = name, serve
        self.listener = socket.create_server((HOST, 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        self.conns = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with suppress(OSError):
            while True:
                conn = self.listener.accept()[0]
                self.conns.add(conn)
                args = (conn,)
                threading.Thread(target=self._handle, args=args, daemon=True).start()

    def crash(self):
        """Refuse new connections and reset the open ones."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for conn in list(self.conns):
            reset(conn)

    def _handle(self, conn):
        count = 0
        with suppress(OSError), conn, conn.makefile("rb") as file:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while (head := read_head(file)) is not None:
                line, fields = head
                file.read(int(fields.get("content-length", 0)))
                count += 1
                if fields.get("x-expect-instance", self.name) != self.name:
                    conn.sendall(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.serve(conn, fields | {":line": line}, count)

    def register(self, store, service, zone="a", **changes):
        """Write this worker's entry into the store."""
        entry = {"service": service, "address": f"{HOST}:{self.port}", "zone": zone}
        entry |= {"version": "v1", "slots": 6, "state": "ready"}
        entry |= {"coldLeftMs": 0, "seq": 1} | changes
        store.operate(f"servers/{self.name}", entry)


def make_answer(status, fields, body=b"", **headers):
    """Return the bytes of a worker's own answer to a request."""
    lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {fields['x-request-id']}"]
    lines += [f"X-Server-Stamp: stamp.{fields['x-request-id']}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Run:
    """Work of one engine on one request; times are seconds, ``ended`` None before."""

    def __init__(self, name, engine, source):
        self.name, self.engine, self.source = name, engine, source
        self.began, self.ended = time.monotonic(), None
        self.loses_answer = False


class Engines:
    """Engines, one in each of ``zones``, that keep backups of each other's runs.

    A stream has ``events`` events, one each ``interval`` seconds. ``lose(run)`` returns
    after how many events a run's connection is reset while the engine works on it to
    its end, None if it isn't.
    """

    def __init__(self, store, record, zones, events, interval, lose=lambda run: None):
        self.runs, self.workers = [], {}
        self.events, self._interval = events, interval
        self._record, self._lose = record, lose
        # The engine that keeps the backup of each request, and engines by address.
        self._copies, self._addresses = {}, {}
        for number, zone in enumerate(zones, 1):
            name = f"i-{number}"
            worker = self.workers[name] = Worker(name, self._make_serve(name))
            self._addresses[f"{HOST}:{worker.port}"] = name
            worker.register(store, "llm", zone, slots=64)

    def list_copied_to(self, engine):
        """Return the requests of which an engine keeps a backup."""
        return [name for name, kept in self._copies.items() if kept == engine]

    def _make_serve(self, engine):
        return lambda conn, fields, count: self._serve(engine, conn, fields)

    def _serve(self, engine, conn, fields):
        name, source = fields["x-request-id"], fields.get("kv-from")
        head = f"X-Request-Id: {name}\r\nX-Server-Load: 1,0,64,100\r\n"
        if source and self._copies.get(name) != engine:
            self._record(f"{engine} has no copy of {name}")
            refusal = f"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n{head}Content-Length: 0"
            conn.sendall(f"{refusal}\r\n\r\n".encode())
            return
        if fields.get("x-kv-backup"):
            self._copies[name] = self._addresses[fields["x-kv-backup"]]
        first = int(fields.get("last-event-id") or 0) + 1
        run = Run(name, engine, source)
        self.runs.append(run)
        kept = f"Kv-From {source}, backup at {self._copies.get(name)}"
        self._record(f"{engine} runs {name} from event {first}, {kept}")
        lost_after = None if source else self._lose(run)
        with suppress(OSError):
            conn.sendall(
                f"HTTP/1.1 200 OK\r\n{head}X-Server-Stamp: {engine}.{name}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
            self._generate(run, conn, first, lost_after)
        run.ended = time.monotonic()
        self._record(f"{engine} has ended its work on {name}")

    def _generate(self, run, conn, first, lost_after):
        """Send the events; go on without a connection once the answer is lost.

        Without a loss, a request whose connection has closed is dropped.
        """
        for number in range(first, self.events + 1):
            time.sleep(self._interval)
            event = f"id: {number}\ndata: {run.name} {number}\n\n".encode()
            if number == lost_after:
                self._record(f"{run.engine} resets {run.name} and works on")
                run.loses_answer = True
                reset(conn)
            if not run.loses_answer:
                conn.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        if not run.loses_answer:
            conn.sendall(b"0\r\n\r\n")


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, name, store, folder, zone="a"):
        self.name = name
        ports = [find_port() for _ in range(4)]
        self.port, self.ready_port = ports[0], ports[1]
        values = {
            "listen.front": f"{HOST}:{ports[0]}",
            "listen.ready": f"{HOST}:{ports[1]}",
            "ip": HOST,
            "portRange.0": str(ports[2]),
            "portRange.1": str(ports[3]),
            "nodeName": name,
            "zone": zone,
            "platform.address": f"{HOST}:{store.port}",
            "cloudApi.address": f"{HOST}:{store.port}",
            "bounds.graceS": "8",
            "bounds.revokeMs": "5000",
            "bounds.configApplyMs": "2000",
            "bounds.drainMs": "2000",
            "heartbeatMs": "1200",
            "limits.linkMbps": "1000.0",
            "bounds.budgetRatio": "0.2",
            "bounds.budgetExtra": "54",
            "bounds.usageWindowS": "5",
            "bounds.leaseMs": "3000",
        }
        text = TEMPLATE.read_text(encoding="utf-8")
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", value)
        self.path = Path(folder) / f"{name}.settings"
        self.path.write_text(text, encoding="utf-8")
        self.log = Path(folder) / f"{name}.log"
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["CHERVILWING_SETTINGS"] = str(self.path)
        self.process = subprocess.Popen(
            ["python3", "-S", "deploy/entry.py"],
            cwd=ROOT,
            env=env,
            stdout=open(self.log, "wb"),
            stderr=subprocess.STDOUT,
        )

    def is_ready(self):
        """Return whether the gateway reports that it is ready."""
        with suppress(OSError, http.client.HTTPException):
            conn = http.client.HTTPConnection(HOST, self.ready_port, timeout=1)
            conn.request("GET", "/-/ready")
            return conn.getresponse().status == 200
        return False

    def wait_ready(self, seconds=20):
        """Wait until the gateway is ready, or raise."""
        until = time.monotonic() + seconds
        while not self.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f"{self.name} is not ready")
            time.sleep(0.05)

    def stop(self):
        """Kill the process."""
        self.process.kill()
        self.process.wait()


def make_document(routes, services, tenants, version=1):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants,
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 4194304,
            "headerTimeoutMs": 10000,
            "idleTimeoutMs": 60000,
        },
    }


def send(port, request_id, path, method="POST", body=b"", timeout=10, **headers):
    """Send one request on a new connection; return (status, fields, body)."""
    conn = http.client.HTTPConnection(HOST, port, timeout=timeout)
    fields = {"Host": "a.example", "X-Request-Id": request_id}
    fields |= {"Authorization": "Bearer key1", "X-Deadline-Ms": "2500"}
    fields |= {k.replace("_", "-"): v for k, v in headers.items()}
    try:
        conn.request(method, path, body, fields)
        answer = conn.getresponse()
        names = {name.lower(): value for name, value in answer.getheaders()}
        return answer.status, names, answer.read()
    except (OSError, http.client.HTTPException) as exc:
        return 0, {}, type(exc).__name__.encode()
    finally:
        conn.close()


# A service of engines that keep backups, and a route to it for streams that can't be
# resumed, like those of andesur-flota.
ENGINE_SERVICE = {
    "name": "llm",
    "healthPath": "/health",
    "maxConns": 360,
    "engine": {
        "slots": 64,
        "kvCapacity": 373010,
        "kvTokenBytes": 327680,
        "linkMbps": 370000,
        "moves": True,
        "backups": True,
        "handleTtlS": 4,
        "stride": 3,
    },
}
STREAM_ROUTE = {
    "name": "chat",
    "host": "a.example",
    "prefix": "/chat/",
    "kind": "streaming",
    "timeoutMs": 15000,
    "sloMs": 400,
    "gapTargetMs": 250,
    "priority": 2,
    "service": "llm",
    "attempts": 1,
    "sticky": True,
}
TENANTS = [{"name": "insurer", "apiKeys": ["key1"]}]


def call_stream(number, events, port, record):
    """Send one request for a stream and record how many events are answered."""
    name = f"chat-{number}"
    fields = {
        "X_Model": "m",
        "X_Token_Count": f"543,{events * 3}",
        "X_Deadline_Ms": "15000",
        "X_Prompt_Prefix": f"5c1e07a2:103,{number:08x}:440",
    }
    answer = send(port, name, "/chat/x", body=b"hello", timeout=20, **fields)
    status, _, body = answer
    record(f"client gets {status} for {name} with {body.count(b'id:')} events")
    return answer


def start_streams(count, spacing, events, port, record):
    """Send requests for streams, so many seconds apart; return their threads."""
    threads = []
    for number in range(count):
        args = (number, events, port, record)
        threads.append(threading.Thread(target=call_stream, args=args))
        threads[-1].start()
        time.sleep(spacing)
    return threads


def main(folder, run, trouble):
    """Run a case in a temporary folder and exit with its result.

    ``run(record, temporary, gateways, trouble)`` returns whether the rule was broken;
    it adds each Gateway that it starts to ``gateways``. Without ``trouble`` it leaves
    the disruption out.
    """
    signal.signal(signal.SIGTERM, lambda *args: sys.exit(2))
    record, gateways = Record(folder), []
    temporary = tempfile.mkdtemp()
    try:
        broken = run(record, temporary, gateways, trouble)
        record(f"trouble {trouble}: the rule was {'broken' if broken else 'kept'}")
        code = 1 if broken else 0
    except Exception as exc:
        record(f"the case couldn't run: {type(exc).__name__} {exc}")
        code = 2
    finally:
        for gateway in gateways:
            gateway.stop()
        shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
