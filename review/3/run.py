"""An unreadable entry of another writer, and a restart of all gateways."""

import asyncio
import json
import os
import signal
import sys
import time
from itertools import count
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
# Whether the disruption is made.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    CONTACT_S,
    HOST,
    Gateway,
    Platform,
    Worker,
    encode_answer,
    read_body,
    read_head,
    run_case,
)

HOSTNAME = "docs.example"
KEY = "k-clerk"
# ``recoveryS`` of the site, and the share of requests that must be served after it.
RECOVERY_S = 15
SHARE = 0.25
DOWN_S = 1.0
DOCUMENT = {
    "version": 3,
    "routes": [
        {
            "name": "download",
            "host": HOSTNAME,
            "prefix": "/pdf/",
            "kind": "safe",
            "timeoutMs": 2500,
            "sloMs": 200,
            "priority": 2,
            "service": "portal",
            "attempts": 2,
            "noAuth": False,
        }
    ],
    "services": [{"name": "portal", "healthPath": "/health", "maxConns": 100}],
    "limits": {
        "headerBytes": 16384,
        "bodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "broker", "apiKeys": [KEY]}],
}
# Bytes that can't be read: JSON that never ends.
FOREIGN_KEY = "servers/another-writer"
FOREIGN = '{"note":' + "[" * 1200


async def answer(worker, first, headers, body, writer):
    """Answer with a small body."""
    request_id = headers["x-request-id"]
    fields = {"X-Request-Id": request_id, "X-Server-Stamp": f"s.{request_id}"}
    writer.write(encode_answer(200, b"x" * 800, fields))
    await writer.drain()
    return True


async def ask(gateway, request_id):
    """Send one request on a new connection; return its status, 0 without an answer."""
    lines = [
        "GET /pdf/1 HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 2500",
        f"Authorization: Bearer {KEY}",
    ]
    try:
        reader, writer = await asyncio.open_connection(HOST, gateway.port)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first, headers = await asyncio.wait_for(read_head(reader), 4.0)
        await read_body(reader, headers)
        writer.close()
    except (OSError, TimeoutError, TypeError):
        return 0
    return int(first.split(" ")[1])


async def measure(record, gateways, worker_runs, seconds, numbers):
    """Send requests for some seconds; return the share that is served."""
    until, statuses = time.monotonic() + seconds, {}
    before = worker_runs()
    while time.monotonic() < until:
        for gateway in gateways:
            status = await ask(gateway, f"q-{next(numbers)}")
            statuses[status] = statuses.get(status, 0) + 1
        await asyncio.sleep(0.1)
    sent = sum(statuses.values())
    ran = worker_runs() - before
    record.add(
        f"{sent} requests sent; answers by status: {statuses}; workers ran {ran}"
    )
    return statuses.get(200, 0) / sent


async def case(record, scratch):
    """Return whether requests are served after the restart."""
    platform = Platform(record)
    await platform.start()
    platform.write({"op/config": json.dumps(DOCUMENT)})
    workers = [
        Worker(platform, record, f"i-{n}", "portal", answer, zone=zone)
        for n, zone in enumerate(("z1", "z2", "z3"))
    ]
    for worker in workers:
        await worker.start()
    gateways = [
        Gateway(f"front-{zone}-1", zone, platform, scratch) for zone in ("z1", "z2")
    ]
    numbers = count()
    runs = lambda: sum(len(worker.ran) for worker in workers)
    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        await asyncio.sleep(CONTACT_S)
        if TROUBLE:
            record.add(f"another writer writes {FOREIGN_KEY}: {FOREIGN[:20]}...")
            platform.write({FOREIGN_KEY: FOREIGN})
        share = await measure(record, gateways, runs, 3.0, numbers)
        if share < SHARE:
            raise OSError("too little was served before the final fault")
        record.add("all gateways are killed")
        for gateway in gateways:
            gateway.signal(signal.SIGKILL)
            await gateway.process.wait()
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        record.add("all gateways are back and say that they are ready")
        await measure(record, gateways, runs, RECOVERY_S, numbers)
        record.add(f"{RECOVERY_S} s later:")
        share = await measure(record, gateways, runs, 10.0, numbers)
        ready = [await gateway.ask_ready() for gateway in gateways]
        record.add(f"{share:.2f} of the requests served; /-/ready answers {ready}")
        return share >= SHARE
    finally:
        for gateway in gateways:
            await gateway.stop()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
