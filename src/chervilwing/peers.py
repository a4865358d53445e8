"""Streams between entry instances: one connection a pair, frames both ways."""

import time

import msgpack
from circuits.core import BaseComponent, handler

from .exceptions import BadFrame
from .frames import MAX_FRAME, Decoder, Frame, encode
from .gossip import Record, from_wire
from .logs import log_event
from .membership import Heard, Send
from .sockets import StreamHandlers, Streams
from .wire import rebuild

HELLO = "hello"
MESSAGE = "message"
PART = "part"
# A message over the limit of a frame goes in parts. The largest carries a recorded
# outcome and is under a megabyte (brief: the key-value service's limit); more is
# refused, so that no peer can make this process hold what it likes.
PART_SIZE = MAX_FRAME - 1024
WHOLE_LIMIT = 2 * 1024 * 1024
# Seconds after which a stream that nobody uses is closed. Load: an instance talks now
# and then to each of hundreds of others. Harm: sockets at both ends. Ten times the
# interval of the gossip keeps the links of the partial view open.
IDLE = 60.0
# Bytes that may wait for a peer that doesn't read; then it counts as lost.
PENDING_LIMIT = 4 * 1024 * 1024


class _Stream:
    """What is known of one peer's stream."""

    __slots__ = ("conn", "decoder", "parts", "address", "name", "used", "dialled")

    def __init__(self, conn, address, now, dialled):
        self.conn = conn
        self.decoder = Decoder()
        self.parts = bytearray()
        self.address = address
        self.name = ""
        self.used = now
        self.dialled = dialled


class Peers(BaseComponent):
    """Own the streams to other entry instances and drive the membership.

    ``subscribe`` names the messages of a core and the function that hears them;
    ``forward`` sends one to an instance by name.
    """

    channel = "peers"

    def __init__(self, poller, heard):
        super().__init__()
        self._membership = None
        self._heard = heard
        self._by_conn = {}
        self._by_address = {}
        self._addresses = {}
        self._kinds = {}
        handlers = StreamHandlers(self._opened, self._received, self._closed)
        self._streams = Streams(poller, handlers, "peer-streams").register(self)

    def listen(self, address):
        """Accept peers and return the address that was bound."""
        return self._streams.listen(address)

    def adopt(self, membership):
        """Take the membership to drive, once the bound address is known."""
        self._membership = membership

    def stop_listening(self):
        """Accept no more peers."""
        self._streams.stop_listening()

    def subscribe(self, kinds, hear):
        """Hand messages of these types, with their sender's name, to ``hear``."""
        self._kinds |= {kind.__name__: (kind, hear) for kind in kinds}

    def learn(self, name, address):
        """Note where an instance listens for its peers."""
        self._addresses[name] = address

    def forward(self, name, message):
        """Send a message; nothing tells whether it arrives."""
        address = self._addresses.get(name)
        if address is None:
            return
        body = msgpack.packb([type(message).__name__, list(message)])
        if len(body) > WHOLE_LIMIT:
            log_event("peer message not sent", peer=name, bytes=len(body))
            return
        for frame in split(body):
            self._send(address, encode(frame))

    def apply(self, actions):
        """Carry out what the membership asks for."""
        for action in actions:
            if isinstance(action, Send):
                self._send(action.peer, action.data)
            elif isinstance(action, Heard):
                self._note(action.item)
                self._heard(action)

    @handler("tick", channel="*")
    def _on_tick(self):
        self.apply(self._membership.tick(time.time()))
        now = time.monotonic()
        for stream in list(self._by_conn.values()):
            if now - stream.used > IDLE:
                self._streams.drop(stream.conn)

    def _note(self, item):
        if isinstance(item, Record):
            self.learn(item.name, item.address)

    def _send(self, address, data):
        stream = self._by_address.get(address)
        if stream is None:
            stream = self._dial(address)
        stream.used = time.monotonic()
        # Guard: a frozen peer stops reading and its frames pile up here without end.
        if stream.conn.pending_size > PENDING_LIMIT:
            self._streams.drop(stream.conn)
            return
        self._streams.send(stream.conn, data)

    def _dial(self, address):
        conn = self._streams.dial(address)
        stream = _Stream(conn, address, time.monotonic(), dialled=True)
        self._by_conn[conn] = stream
        self._by_address[address] = stream
        self._streams.send(conn, self._membership.encode_hello())
        return stream

    def _opened(self, conn):
        if conn in self._by_conn:
            return
        self._by_conn[conn] = _Stream(conn, None, time.monotonic(), dialled=False)
        self._streams.send(conn, self._membership.encode_hello())

    def _received(self, conn, data):
        stream = self._by_conn[conn]
        stream.used = time.monotonic()
        try:
            for frame in stream.decoder.feed(data):
                self._take(stream, frame)
        except BadFrame as exc:
            # Only this connection ends; the peer may dial again.
            log_event("bad frame", peer=stream.name, detail=exc.detail)
            self._streams.drop(conn)

    def _take(self, stream, frame):
        if frame.type == HELLO:
            self._greeted(stream, frame)
        if stream.address is None:
            raise BadFrame("A stream starts with a hello.")
        take = TAKERS.get(frame.type)
        if take is not None:
            take(self, stream, frame.body)
            return
        self.apply(self._membership.receive(stream.address, frame, time.time()))

    def _greeted(self, stream, frame):
        record = from_wire(frame.body)
        if not isinstance(record, Record):
            raise BadFrame("A hello carries a record.")
        stream.name = record.name
        self.learn(record.name, record.address)
        if stream.address is None:
            stream.address = record.address
            self._by_address.setdefault(record.address, stream)

    def _gather(self, stream, body):
        if not isinstance(body, bytes):
            raise BadFrame("A part carries bytes.")
        stream.parts += body
        if len(stream.parts) > WHOLE_LIMIT:
            raise BadFrame(f"A message in parts is over {WHOLE_LIMIT} bytes.")

    def _deliver(self, stream, body):
        if not isinstance(body, bytes):
            raise BadFrame("A message carries bytes.")
        whole = bytes(stream.parts) + body
        stream.parts.clear()
        body = unpack(whole)
        if not isinstance(body, list) or len(body) != 2 or not self._knows(body[0]):
            raise BadFrame("An unknown message.")
        kind, hear = self._kinds[body[0]]
        hear(stream.name, rebuild(kind, body[1]))

    def _knows(self, name):
        return isinstance(name, str) and name in self._kinds

    def _closed(self, conn, exc):
        stream = self._by_conn.pop(conn, None)
        if stream is None:
            return
        if self._by_address.get(stream.address) is stream:
            del self._by_address[stream.address]
        if stream.dialled and exc is not None:
            self.apply(
                self._membership.handle_lost_stream(stream.address, time.time()) or ()
            )


TAKERS = {MESSAGE: Peers._deliver, PART: Peers._gather}


def split(body):
    """Return the frames that carry a message: parts, then its end."""
    cuts = range(0, len(body), PART_SIZE)
    chunks = [body[cut : cut + PART_SIZE] for cut in cuts]
    return [*(Frame(PART, chunk) for chunk in chunks[:-1]), Frame(MESSAGE, chunks[-1])]


def unpack(body):
    """Return what msgpack reads in a message, or raise BadFrame."""
    try:
        return msgpack.unpackb(body)
    except Exception as exc:  # As in frames.decode: it raises what its parts raise.
        raise BadFrame(f"not msgpack: {type(exc).__name__}") from exc
