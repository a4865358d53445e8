"""A TCP relay that simulates the network between two processes, with faults."""

import asyncio
import socket
import struct
from contextlib import suppress

from tests.fakes.control import HOST, Switches, build_app
from tests.fakes.endless import KINDS, send

CHUNK = 65536
QUEUE_LIMIT = 64
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def add_options(parser):
    """Add the command-line flags of this fake."""
    parser.add_argument(
        "--to", default="", help="HOST:PORT to relay to; the switch 'to' changes it"
    )


class Network:
    """The state of the network and the connections through it."""

    def __init__(self, options):
        # ``endless``: a kind of reply without end that each connection gets.
        self.switches = Switches(
            cut=False, silent=False, hold=False, delay=0, to=options.to, endless=""
        )
        self.endless_writers = []
        self.links = []
        self.server = None
        self.released = asyncio.Event()
        # Bound but not listening: reserves the port while the listener is closed.
        self.reserved_sock = bind(options.port)
        self.port = self.reserved_sock.getsockname()[1]

    @property
    def target(self):
        """Return the (host, port) to which connections are relayed."""
        host, _, port = self.switches["to"].rpartition(":")
        return host, int(port)


class Link:
    """State of one relayed connection, from caller to target."""

    def __init__(self, writer):
        self.writers = [writer]
        self.silent = False
        self.sent = [0, 0]
        self.open = True


def bind(port):
    """Return a socket bound to the port; the relay may bind several sockets to it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((HOST, port))
    return sock


def reset(link):
    """Close a relayed connection with a TCP reset to both ends."""
    for writer in link.writers:
        sock = writer.get_extra_info("socket")
        if sock is not None and not writer.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()


async def receive(link, reader):
    """Return the next bytes; on a silent link, a reset is not propagated."""
    try:
        return await reader.read(CHUNK)
    except ConnectionError:
        if link.silent:
            return b""
        raise


async def relay_bytes(network, link, reader, writer, direction):
    """Relay bytes in one direction, ``delay`` seconds after they were received."""
    queue = asyncio.Queue(QUEUE_LIMIT)
    loop = asyncio.get_running_loop()

    async def read_all():
        data = True
        while data:
            data = await receive(link, reader)
            await queue.put((loop.time() + network.switches["delay"], data))

    async def write_all():
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0, due - loop.time()))
            await network.released.wait()
            if link.silent:
                continue
            if not data:
                return writer.write_eof()
            writer.write(data)
            link.sent[direction] += len(data)
            await writer.drain()

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(read_all())
        tasks.create_task(write_all())


async def connect(network, reader, writer):
    """Connect an accepted caller to the target and relay until either end closes."""
    if kind := network.switches["endless"]:
        network.endless_writers.append(writer)
        with suppress(OSError):
            await send(KINDS[kind], writer)
        return
    link = Link(writer)
    network.links.append(link)
    try:
        await network.released.wait()
        target_reader, target_writer = await asyncio.open_connection(*network.target)
        link.writers.append(target_writer)
        # The network was cut after the caller was accepted; the connection must not
        # survive.
        if network.switches["cut"]:
            raise ConnectionResetError
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(relay_bytes(network, link, reader, target_writer, 0))
            tasks.create_task(relay_bytes(network, link, target_reader, writer, 1))
    except* OSError:
        await network.released.wait()
        reset(link)
    finally:
        link.open = False
        for end in link.writers:
            end.close()


async def start(network):
    """Start listening for callers."""
    sock = bind(network.port)
    on_connection = lambda reader, writer: connect(network, reader, writer)
    network.server = await asyncio.start_server(on_connection, sock=sock)


async def cut(network):
    """Refuse new connections and reset the open ones."""
    network.server.close()
    reset_all(network)


def reset_all(network):
    """Reset the open connections."""
    for link in network.links:
        if link.open:
            reset(link)


def silence(network):
    """Make all present connections silent forever; later ones work."""
    network.switches.values["silent"] = False
    for link in network.links:
        link.silent = True


def make_react(network):
    """Return the coroutine function that applies a change of the switches."""

    async def react():
        if network.switches["silent"]:
            silence(network)
        for writer in network.endless_writers:
            writer.transport.abort()
        if network.switches["endless"]:
            reset_all(network)
        (network.released.clear if network.switches["hold"] else network.released.set)()
        if network.switches["cut"] == network.server.is_serving():
            await (cut if network.switches["cut"] else start)(network)

    return react


def make_record(network):
    """Return each connection's state and bytes relayed per direction."""
    links = [
        {"open": link.open, "silent": link.silent, "sent": link.sent}
        for link in network.links
    ]
    return {
        "serving": network.server.is_serving(),
        "links": links,
        "endless_replies": len(network.endless_writers),
    }


async def build(options):
    """Start the relay and build the web application that controls it."""
    network = Network(options)
    await start(network)
    network.switches.react = make_react(network)
    await network.switches.react()
    return build_app(network, make_record, ()), network.port
