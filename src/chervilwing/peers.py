"""Streams between entry instances: one connection per pair, used in both directions."""

import time

import msgpack
from circuits.core import BaseComponent, handler

from .caller_budget import CallerBudget
from .caller_memory import INPUT, CallerHolding
from .exceptions import BadFrame
from .frames import MAX_FRAME, Decoder, Frame, encode
from .gossip import Record, from_wire
from .logs import log_event
from .membership import Heard, Send
from .sockets import RECEIVE_BUFFER_SIZE, Acceptance, StreamHandlers, Streams
from .wire import decode_value

HELLO = "hello"
MESSAGE = "message"
PART = "part"
# A message over the limit of a frame is sent in parts. The largest message carries a
# recorded outcome and stays under a megabyte, the key-value service's limit. A larger
# one is refused, so that a peer can't fill the memory of this process.
PART_BYTES = MAX_FRAME - 1024
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
# Seconds after which an unused stream is closed. An instance sends occasional messages
# to each of hundreds of others, which would keep sockets open at both ends. The gossip
# probes each of its 6 links about every 6 s, a tenth of this time, so they stay open.
IDLE_TIMEOUT = 60.0
# Streams at the same time: two for each of the 320 instances planned, as both ends may
# have dialled.
MAX_STREAMS = 640
# Unsent bytes after which the connection to a peer that doesn't read is closed.
MAX_PENDING_BYTES = 4 * 1024 * 1024


class _Stream:
    """Hold the state of one stream, dialled by this instance or by the peer."""

    __slots__ = (
        "conn",
        "decoder",
        "parts",
        "address",
        "name",
        "used_at",
        "dialled",
        "holding",
    )

    def __init__(self, conn, address, now, dialled, memory):
        self.conn = conn
        self.holding = CallerHolding(memory)
        self.decoder = Decoder()
        self.parts = bytearray()
        self.address = address
        self.name = ""
        self.used_at = now
        self.dialled = dialled


class Peers(BaseComponent):
    """Manage the streams to other entry instances and run the membership.

    ``on_item`` is called with each item that the membership reports as new. Use
    ``subscribe`` to receive messages of some types and ``forward`` to send one to an
    instance by name.
    """

    channel = "peers"

    def __init__(self, poller, on_item, budget=None):
        super().__init__()
        self._memory = (budget or CallerBudget()).memory
        self._membership = None
        self._on_item = on_item
        self._by_conn = {}
        self._by_address = {}
        self._addresses = {}
        self._subscriptions = {}
        handlers = StreamHandlers(self._on_opened, self._on_received, self._on_closed)
        self._streams = Streams(poller, handlers, "peer-streams").register(self)

    def listen(self, address):
        """Start to accept peers; return the bound address."""
        acceptance = Acceptance(
            make_place=self._make_place, receive_buffer=RECEIVE_BUFFER_SIZE
        )
        return self._streams.listen(address, acceptance)

    def _make_place(self):
        """Return whether one more stream may be accepted.

        If there are too many, the oldest without a hello is closed.
        """
        if len(self._by_conn) < MAX_STREAMS:
            return True
        stream = next((i for i in self._by_conn.values() if i.address is None), None)
        if stream is not None:
            self._streams.drop(stream.conn)
        return stream is not None

    def set_membership(self, membership):
        """Set the membership to run, once the bound address is known."""
        self._membership = membership

    def stop_listening(self):
        """Stop accepting peers."""
        self._streams.stop_listening()

    def subscribe(self, kinds, on_message):
        """Call ``on_message`` with sender name and message for each of these types."""
        self._subscriptions |= {kind.__name__: (kind, on_message) for kind in kinds}

    def record_address(self, name, address):
        """Record the address at which an instance accepts peers."""
        self._addresses[name] = address

    def send_message(self, name, message):
        """Send a message to an instance, without confirmation of delivery."""
        address = self._addresses.get(name)
        if address is None:
            return
        body = msgpack.packb([type(message).__name__, list(message)])
        if len(body) > MAX_MESSAGE_BYTES:
            log_event("peer message not sent", peer=name, bytes=len(body))
            return
        for frame in split_message(body):
            self._send(address, encode(frame))

    def apply(self, actions):
        """Perform the actions that the membership returned."""
        for action in actions:
            if isinstance(action, Send):
                self._send(action.peer, action.data)
            elif isinstance(action, Heard):
                self._record_address_of(action.item)
                self._on_item(action)

    @handler("tick", channel="*")
    def _on_tick(self):
        self.apply(self._membership.tick(time.time()))
        now = time.monotonic()
        for stream in list(self._by_conn.values()):
            if now - stream.used_at > IDLE_TIMEOUT:
                self._streams.drop(stream.conn)

    def _record_address_of(self, item):
        if isinstance(item, Record):
            self.record_address(item.name, item.address)

    def _send(self, address, data):
        stream = self._by_address.get(address)
        if stream is None:
            stream = self._dial(address)
        stream.used_at = time.monotonic()
        # A frozen peer stops reading; without this limit its frames would fill the
        # memory.
        if stream.conn.pending_size > MAX_PENDING_BYTES:
            self._streams.drop(stream.conn)
            return
        self._streams.send(stream.conn, data)

    def _dial(self, address):
        conn = self._streams.dial(address)
        stream = _Stream(conn, address, time.monotonic(), True, self._memory)
        self._by_conn[conn] = stream
        self._by_address[address] = stream
        self._streams.send(conn, self._membership.encode_hello())
        return stream

    def _on_opened(self, conn):
        if conn in self._by_conn:
            return
        self._by_conn[conn] = _Stream(conn, None, time.monotonic(), False, self._memory)
        self._streams.send(conn, self._membership.encode_hello())

    def _on_received(self, conn, data):
        stream = self._by_conn[conn]
        stream.used_at = time.monotonic()
        try:
            for frame in stream.decoder.feed(data):
                self._handle_frame(stream, frame)
        except BadFrame as exc:
            # Close only this connection; the peer may connect again.
            log_event("bad frame", peer=stream.name, detail=exc.detail)
            self._streams.drop(conn)

    def _handle_frame(self, stream, frame):
        if frame.type == HELLO:
            self._on_hello(stream, frame)
        if stream.address is None:
            raise BadFrame("A stream starts with a hello.")
        handle = FRAME_HANDLERS.get(frame.type)
        if handle is not None:
            handle(self, stream, frame.body)
            return
        self.apply(self._membership.receive(stream.address, frame, time.time()))

    def _on_hello(self, stream, frame):
        record = from_wire(frame.body)
        if not isinstance(record, Record):
            raise BadFrame("A hello carries a record.")
        stream.name = record.name
        self.record_address(record.name, record.address)
        if stream.address is None:
            stream.address = record.address
            self._by_address.setdefault(record.address, stream)

    def _on_part(self, stream, body):
        if not isinstance(body, bytes):
            raise BadFrame("A part carries bytes.")
        stream.parts += body
        if len(stream.parts) > MAX_MESSAGE_BYTES:
            raise BadFrame(f"A message in parts is over {MAX_MESSAGE_BYTES} bytes.")
        if not stream.holding.hold(INPUT, len(stream.parts)):
            raise BadFrame("There is no memory for a message in parts.")

    def _on_message(self, stream, body):
        if not isinstance(body, bytes):
            raise BadFrame("A message carries bytes.")
        message = bytes(stream.parts) + body
        stream.parts.clear()
        stream.holding.release()
        body = decode_message(message)
        if (
            not isinstance(body, list)
            or len(body) != 2
            or not self._is_subscribed(body[0])
        ):
            raise BadFrame("An unknown message.")
        kind, on_message = self._subscriptions[body[0]]
        on_message(stream.name, decode_value(kind, body[1]))

    def _is_subscribed(self, name):
        return isinstance(name, str) and name in self._subscriptions

    def _on_closed(self, conn, exc):
        stream = self._by_conn.pop(conn, None)
        if stream is None:
            return
        stream.holding.close()
        if self._by_address.get(stream.address) is stream:
            del self._by_address[stream.address]
        if stream.dialled and exc is not None:
            self.apply(
                self._membership.handle_lost_stream(stream.address, time.time()) or ()
            )


FRAME_HANDLERS = {MESSAGE: Peers._on_message, PART: Peers._on_part}


def split_message(body):
    """Return the frames that carry an encoded message; the last has type MESSAGE."""
    cuts = range(0, len(body), PART_BYTES)
    chunks = [body[cut : cut + PART_BYTES] for cut in cuts]
    return [*(Frame(PART, chunk) for chunk in chunks[:-1]), Frame(MESSAGE, chunks[-1])]


def decode_message(body):
    """Return the msgpack value of a message, or raise BadFrame."""
    try:
        return msgpack.unpackb(body)
    except Exception as exc:  # msgpack raises many types, as in frames.decode.
        raise BadFrame(f"not msgpack: {type(exc).__name__}") from exc
