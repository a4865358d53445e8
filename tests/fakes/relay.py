"""A TCP relay that stands for the network between two ends."""

import asyncio
import socket
import struct

from tests.fakes.control import HOST, Switches, build_app

CHUNK = 65536
QUEUE_LIMIT = 64
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def add_options(parser):
    """Add the flags of this role."""
    parser.add_argument("--to", default="", help="HOST:PORT; or by the switch to")


class Network:
    """The state of the network and the connections through it."""

    def __init__(self, options):
        self.switches = Switches(
            cut=False, silent=False, hold=False, delay=0, to=options.to
        )
        self.links = []
        self.server = None
        self.flowing = asyncio.Event()
        # Bound and never listening: keeps the port ours while the listener is closed.
        self.claim = bind(options.port)
        self.port = self.claim.getsockname()[1]

    @property
    def target(self):
        """Return where connections go."""
        host, _, port = self.switches["to"].rpartition(":")
        return host, int(port)


class Link:
    """One connection through the network, from caller to target."""

    def __init__(self, writer):
        self.writers = [writer]
        self.silent = False
        self.sent = [0, 0]
        self.open = True


def bind(port):
    """Return a socket bound to the port, which several of ours may share."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((HOST, port))
    return sock


def reset(link):
    """End a connection with a reset to both ends."""
    for writer in link.writers:
        sock = writer.get_extra_info("socket")
        if sock is not None and not writer.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()


async def receive(link, reader):
    """Return the next bytes; a silent link doesn't tell the other end of a reset."""
    try:
        return await reader.read(CHUNK)
    except ConnectionError:
        if link.silent:
            return b""
        raise


async def carry(network, link, reader, writer, way):
    """Carry bytes one way; each leaves ``delay`` seconds after it came."""
    queue = asyncio.Queue(QUEUE_LIMIT)
    loop = asyncio.get_running_loop()

    async def take_in():
        data = True
        while data:
            data = await receive(link, reader)
            await queue.put((loop.time() + network.switches["delay"], data))

    async def send_on():
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0, due - loop.time()))
            await network.flowing.wait()
            if link.silent:
                continue
            if not data:
                return writer.write_eof()
            writer.write(data)
            link.sent[way] += len(data)
            await writer.drain()

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(take_in())
        tasks.create_task(send_on())


async def connect(network, reader, writer):
    """Join a caller to the target."""
    link = Link(writer)
    network.links.append(link)
    try:
        await network.flowing.wait()
        there_reader, there_writer = await asyncio.open_connection(*network.target)
        link.writers.append(there_writer)
        # Accepted just before the cut, it is joined only now: it would survive the cut.
        if network.switches["cut"]:
            raise ConnectionResetError
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(carry(network, link, reader, there_writer, 0))
            tasks.create_task(carry(network, link, there_reader, writer, 1))
    except* OSError:
        await network.flowing.wait()
        reset(link)
    finally:
        link.open = False
        for each in link.writers:
            each.close()


async def start(network):
    """Listen for callers."""
    sock = bind(network.port)
    joined = lambda reader, writer: connect(network, reader, writer)
    network.server = await asyncio.start_server(joined, sock=sock)


async def cut(network):
    """Refuse new connections and reset the open ones."""
    network.server.close()
    for link in network.links:
        if link.open:
            reset(link)


def silence(network):
    """Make the connections of now silent for good; later ones work."""
    network.switches.values["silent"] = False
    for link in network.links:
        link.silent = True


def make_react(network):
    """Return what puts a change of the switches into force."""

    async def react():
        if network.switches["silent"]:
            silence(network)
        (network.flowing.clear if network.switches["hold"] else network.flowing.set)()
        if network.switches["cut"] == network.server.is_serving():
            await (cut if network.switches["cut"] else start)(network)

    return react


def make_record(network):
    """Return the connections and the bytes that each carried."""
    links = [
        {"open": link.open, "silent": link.silent, "sent": link.sent}
        for link in network.links
    ]
    return {"serving": network.server.is_serving(), "links": links}


async def build(options):
    """Start the relay and make the application of its control endpoint."""
    network = Network(options)
    await start(network)
    network.switches.react = make_react(network)
    await network.switches.react()
    return build_app(network, make_record, ()), network.port
