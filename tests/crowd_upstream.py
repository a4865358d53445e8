"""An upstream for tests with crowds of callers, run as a process of its own.

It answers by the first part of the path: ``page`` at once, ``slow`` after a time,
``large`` with a large body and ``stream`` with events without end.
"""

import asyncio
import json
import resource
from contextlib import suppress

HOST = "127.0.0.1"
PAGE = b"x" * 800
LARGE = b"x" * (4 * 1024 * 1024)
EVENT = b"data: " + b"x" * 1000 + b"\n\n"
SLOW_SECONDS = 1.5
HEAD = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
ran = []


async def read_request(reader):
    """Return the path and id of the next request after reading it whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *lines = head.split("\r\n")
    pairs = (item.split(":", 1) for item in lines if item)
    fields = {name.lower(): value for name, value in pairs}
    length = int(fields.get("content-length", 0))
    for start in range(0, length, 65536):
        await reader.readexactly(min(length - start, 65536))
    return line.split(" ")[1], fields.get("x-request-id", "").strip()


async def answer_page(writer, head):
    """Send a short answer."""
    writer.write(f"{head}Content-Length: {len(PAGE)}\r\n\r\n".encode() + PAGE)


async def answer_slow(writer, head):
    """Send a short answer after a time."""
    await asyncio.sleep(SLOW_SECONDS)
    await answer_page(writer, head)


async def answer_large(writer, head):
    """Send a large answer."""
    writer.write(f"{head}Content-Length: {len(LARGE)}\r\n\r\n".encode())
    for start in range(0, len(LARGE), 65536):
        writer.write(LARGE[start : start + 65536])
        await writer.drain()


async def answer_stream(writer, head):
    """Send events until the connection closes."""
    writer.write(
        f"{head}Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    while not writer.is_closing():
        writer.write(b"%x\r\n%b\r\n" % (len(EVENT), EVENT))
        await writer.drain()
        await asyncio.sleep(0.01)


async def answer_ids(writer, head):
    """Send the ids of all requests that ran."""
    body = json.dumps(ran).encode()
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)


ANSWERS = {
    "page": answer_page,
    "slow": answer_slow,
    "large": answer_large,
    "stream": answer_stream,
    "ids": answer_ids,
}


async def serve(reader, writer):
    """Answer the requests of one connection."""
    with suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        while True:
            path, request_id = await read_request(reader)
            ran.append(request_id)
            answer = ANSWERS.get(path.split("/")[1], answer_page)
            id_field = f"X-Request-Id: {request_id}\r\n" if request_id else ""
            await answer(writer, HEAD + id_field)
            await writer.drain()
    writer.close()


async def main():
    """Serve until the process ends."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    server = await asyncio.start_server(serve, HOST, 0, backlog=4096, limit=131072)
    print(json.dumps({"port": server.sockets[0].getsockname()[1]}), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
