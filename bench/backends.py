"""A paced engine and a bare-socket relay, the baselines for measuring the gateway."""

import json
import select
import socket
import time

from tests.procs import HOST

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
CHUNK_SIZE = 65536


def frame(data):
    """Return data as one chunk of a chunked HTTP response."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def read_body(data):
    """Return the JSON body, or None until the whole request was received."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
    return json.loads(body) if len(body) >= length else None


def listen():
    """Return a listening socket and its port."""
    sock = socket.create_server((HOST, 0), backlog=1024)
    return sock, sock.getsockname()[1]


def serve_engine(ports, gap):
    """Send a token to every stream every ``gap`` seconds, until killed."""
    listener, port = listen()
    ports.put(port)
    poller = select.epoll()
    poller.register(listener, select.EPOLLIN)
    waiting, jobs = {}, {}
    due = time.monotonic()
    while True:
        for fd, _ in poller.poll(max(0.0, due - time.monotonic())):
            if fd == listener.fileno():
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                poller.register(sock, select.EPOLLIN)
                waiting[sock.fileno()] = (sock, b"")
                continue
            read_request(fd, waiting, jobs, poller)
        if time.monotonic() >= due:
            due = max(due + gap, time.monotonic())
            write_tokens(jobs, waiting)


def read_request(fd, waiting, jobs, poller):
    """Read a request; answer load queries at once and queue completions."""
    sock, data = waiting[fd]
    try:
        more = sock.recv(CHUNK_SIZE)
    except ConnectionError:
        more = b""
    if not more:
        poller.unregister(fd)
        sock.close()
        waiting.pop(fd)
        jobs.pop(fd, None)
        return
    data += more
    if data.startswith(b"GET"):
        body = b'{"running":0,"waiting":0,"slots":4096,"as_of":%d}' % time.time()
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        waiting[fd] = (sock, b"")
        return
    body = read_body(data)
    waiting[fd] = (sock, data if body is None else b"")
    if body is not None:
        sock.sendall(HEAD)
        jobs[fd] = [body["attempt"], 0, body["max_tokens"]]


def write_tokens(jobs, waiting):
    """Send the next token of each stream, or its usage and end of stream."""
    for fd, job in list(jobs.items()):
        attempt, index, limit = job
        sock = waiting[fd][0]
        if index < limit:
            event = {"attempt": attempt, "index": index, "token": " token"}
            sock.sendall(frame(b"data: %b\n\n" % json.dumps(event).encode()))
            job[1] += 1
            continue
        usage = {"prompt_tokens": 1, "completion_tokens": limit}
        event = {"attempt": attempt, "usage": usage, "finish_reason": "length"}
        data = b"data: %b\n\n" % json.dumps(event).encode()
        sock.sendall(frame(data) + frame(b"data: [DONE]\n\n") + b"0\r\n\r\n")
        del jobs[fd]


def serve_relay(ports, engine_port):
    """Relay bytes in both directions between callers and the engine."""
    listener, port = listen()
    ports.put(port)
    poller = select.epoll()
    poller.register(listener, select.EPOLLIN)
    peers = {}
    while True:
        for fd, _ in poller.poll():
            if fd == listener.fileno():
                sock, _ = listener.accept()
                peer = socket.create_connection((HOST, engine_port))
                peers[sock.fileno()] = (sock, peer)
                peers[peer.fileno()] = (peer, sock)
                for item in (sock, peer):
                    item.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    poller.register(item, select.EPOLLIN)
                continue
            relay_bytes(fd, peers, poller)


def relay_bytes(fd, peers, poller):
    """Send the bytes received on one connection to its peer."""
    pair = peers.get(fd)
    if pair is None:
        return
    data = pair[0].recv(CHUNK_SIZE)
    if data:
        pair[1].sendall(data)
        return
    for item in pair:
        peers.pop(item.fileno(), None)
        poller.unregister(item)
        item.close()
