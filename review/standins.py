"""Stand-ins for the platform, its workers and clients, after the users' pages.

They use the standard library only and listen on loopback addresses. One asyncio loop
runs them all; gateways are separate processes, started with the deploy file's command.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import shlex
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
REASON = "Status"
HEAD_END = b"\r\n\r\n"
START_TIMEOUT = 20.0
# ``contactMs`` of a small deployment in seconds: a machine is in touch after that time.
CONTACT_S = 3.0
# A script runs for 120 seconds at most.
MAX_SECONDS = 110.0


class Record:
    """The record of a case: what was sent, answered and run, one line each."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()

    def add(self, text):
        """Write one line with the seconds since the start, and print it."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


async def read_head(reader):
    """Return the first line and the lower-case header fields, or None at the end."""
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    except asyncio.LimitOverrunError:
        raise NotAnAnswer(repr(await reader.read(60))) from None
    first, *lines = head.decode("latin-1").removesuffix("\r\n\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    """Return the body of a message, framed by a length or chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


class NotAnAnswer(Exception):
    """The bytes that were received are no answer in the protocol."""


def encode_answer(status, body, headers=None):
    """Return an answer with a length as bytes."""
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    lines = [f"HTTP/1.1 {status} {REASON}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + body


class Platform:
    """The platform's metadata store and the API of singleton duties."""

    def __init__(self, record):
        self.record = record
        self.items, self.history, self.revision = {}, [], 1
        self.leases, self.ttls = {}, {}
        self.numbers = itertools.count(100)
        self.changed = asyncio.Event()
        self.calls = []
        self.fences = {}
        self.port = self.cloud_port = 0
        # Awaited before each call of the store, with the method and the path.
        self.before = None

    async def start(self):
        """Listen on free ports."""
        store = await asyncio.start_server(self._serve, HOST, 0)
        cloud = await asyncio.start_server(self._serve, HOST, 0)
        self.port = store.sockets[0].getsockname()[1]
        self.cloud_port = cloud.sockets[0].getsockname()[1]
        asyncio.create_task(self._expire())

    def write(self, puts, deletes=(), lease=0):
        """Write texts or bytes by key, and delete keys, at one new revision."""
        self.revision += 1
        for key, value in puts.items():
            data = value if isinstance(value, bytes) else value.encode()
            text = base64.b64encode(data).decode()
            self._put(key, text, lease)
        for key in deletes:
            self._delete(key)
        self._notify()
        return self.revision

    def _put(self, key, text, lease):
        created = self.items.get(key, {}).get("createRev", self.revision)
        item = {"key": key, "value": text, "revision": self.revision}
        self.items[key] = item | {"createRev": created, "lease": lease}
        self.history.append(self.items[key])

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.history.append(event)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, at in self.leases.items() if at <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.write({}, keys)

    async def _serve(self, reader, writer):
        try:
            while (found := await read_head(reader)) is not None:
                first, headers = found
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                value = json.loads(body) if body else {}
                if self.before is not None:
                    await self.before(method, url.path)
                status, answer = await self._answer(
                    method, url.path, query, value, headers
                )
                writer.write(encode_answer(status, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, value, headers):
        name = path.rpartition("/")[0] if path.startswith("/-/kv-keep/") else path
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, item | {"storeRevision": self.revision}
        if path == "/-/kv-range":
            return 200, self._list(query["prefix"], query.get("after", ""))
        if path == "/-/kv-watch":
            return 200, await self._watch(query)
        if path == "/-/kv-txn":
            return self._commit(value)
        if path == "/-/kv-lease":
            lease = next(self.numbers)
            self.ttls[lease] = value["ttlMs"]
            self.leases[lease] = time.monotonic() + value["ttlMs"] / 1000
            return 200, {"lease": lease, "ttlMs": value["ttlMs"]}
        if name == "/-/kv-keep":
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = time.monotonic() + self.ttls[lease] / 1000
            return 200, {"ttlMs": self.ttls[lease]}
        if path.startswith("/-/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return self._handle_duty(path, value, headers)

    def _list(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:500]]
        return {
            "items": items,
            "truncated": len(keys) > 500,
            "storeRevision": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                item
                for item in self.history
                if item["key"].startswith(prefix) and item["revision"] > after
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def _commit(self, value):
        for row in value.get("ifRev", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        puts = value.get("puts", ())
        if any(p.get("lease", 0) not in {0, *self.leases} for p in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in value.get("delete", ()):
            self._delete(key)
        self._notify()
        return 200, {"revision": self.revision}

    def _handle_duty(self, path, value, headers):
        fence = int(headers["x-fence-token"])
        subject = (path, value.get("service"), value.get("zone"))
        self.calls.append((path, headers["x-duty-holder"], fence, value))
        if fence < self.fences.get(subject, 0):
            return 409, {"error": "a higher fence was seen"}
        self.fences[subject] = fence
        return 200, {}


class Worker:
    """A worker of a service: registers itself and answers each request.

    ``handle(worker, first, headers, body, writer)`` writes the answer and returns
    whether the connection is kept.
    """

    def __init__(self, platform, record, name, service, handle, **entry):
        self.platform, self.record, self.name = platform, record, name
        self.handle = handle
        self.entry = {
            "service": service,
            "zone": "z1",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
        } | entry
        self.seq = itertools.count(1)
        self.ran = []

    @property
    def key(self):
        """Return the key of its entry in the store."""
        return f"servers/{self.name}"

    async def start(self):
        """Listen on a free port and register."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        self.entry["address"] = f"{HOST}:{port}"
        self.register()

    def register(self, **changes):
        """Write its entry, with changes.

        A heartbeat changes nothing but ``seq``, and so the entry doesn't change.
        """
        self.entry |= changes
        self.entry["seq"] = next(self.seq)
        return self.platform.write({self.key: json.dumps(self.entry)})

    async def _serve(self, reader, writer):
        try:
            while (found := await read_head(reader)) is not None:
                first, headers = found
                body = await read_body(reader, headers)
                if headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(encode_answer(421, b"", {"X-Not-Run": "1"}))
                    await writer.drain()
                    continue
                self.ran.append(headers.get("x-request-id"))
                if not await self.handle(self, first, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def render(template, values):
    """Return the settings template with its placeholders filled in."""

    def fill(match):
        value = values
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", fill, template)


def find_ports(count):
    """Return free ports in a row, for TCP and UDP."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            first = probe.getsockname()[1]
        if first + count < 65536 and all(map(is_free, range(first, first + count))):
            return list(range(first, first + count))
    raise OSError("no free ports")


def is_free(port):
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


class Gateway:
    """One gateway process, run with the command and template of the deploy file."""

    def __init__(self, name, zone, platform, folder, grace_s=8):
        self.name = name
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        self.argv = shlex.split(role["run"])
        ports = find_ports(4)
        self.port, self.ready_port = ports[2], ports[3]
        values = {
            "nodeName": name,
            "ip": HOST,
            "zone": zone,
            "heartbeatMs": 1200,
            "portRange": ports[:2],
            "listen": {
                "front": f"{HOST}:{self.port}",
                "ready": f"{HOST}:{self.ready_port}",
            },
            "limits": {"linkMbps": 1000.0},
            "platform": {"address": f"{HOST}:{platform.port}"},
            "cloudApi": {"address": f"{HOST}:{platform.cloud_port}"},
            "bounds": {
                "drainMs": 2000,
                "graceS": grace_s,
                "configApplyMs": 2000,
                "revokeMs": 5000,
                "budgetRatio": 0.2,
                "budgetExtra": 54,
                "usageWindowS": 5,
                "leaseMs": 3000,
            },
        }
        self.settings = Path(folder) / f"{name}.env"
        template = (ROOT / role["template"]).read_text()
        self.settings.write_text(render(template, values))
        self.log = open(Path(folder) / f"{name}.log", "w")
        self.process = None

    async def start(self, wait=True):
        """Start the process, and wait until it is ready."""
        keep = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env = keep | {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CHERVILWING_SETTINGS": str(self.settings),
        }
        self.process = await asyncio.create_subprocess_exec(
            *self.argv, cwd=ROOT, env=env, stdout=self.log, stderr=self.log
        )
        until = time.monotonic() + START_TIMEOUT
        while wait and await self.ask_ready() != 200:
            if time.monotonic() > until or self.process.returncode is not None:
                raise OSError(f"{self.name} didn't get ready")
            await asyncio.sleep(0.05)

    async def ask_ready(self):
        """Return the status of the balancer's check, 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            found = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return 0
        return int(found[0].split(" ")[1]) if found else 0

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def stop(self):
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self.log.close()


def run_case(folder, case):
    """Run ``case(record, folder)`` and return the exit code of its script.

    The case returns whether the rule held.
    """
    record = Record(folder)

    async def run():
        with tempfile.TemporaryDirectory() as scratch:
            return await asyncio.wait_for(case(record, scratch), MAX_SECONDS)

    async def cancel_rest():
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda loop, context: None)
    try:
        held = loop.run_until_complete(run())
    except Exception as exc:
        record.add(f"the case couldn't run: {type(exc).__name__}: {exc}")
        return 2
    finally:
        loop.run_until_complete(cancel_rest())
    record.add("the rule held" if held else "the rule was broken")
    return 0 if held else 1
