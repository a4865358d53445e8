"""Tests of the fake network: connections that a cut must close."""

import asyncio
import unittest
from argparse import Namespace

from tests.fakes import relay
from tests.fakes.control import HOST


class TestCut(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_accepted_just_before_a_cut_is_closed(self):
        # The relay accepts a connection, and the network is cut before it connects to
        # the target. If it connected afterwards, the two sides could still communicate.
        async def serve(reader, writer):
            writer.write(b"through")

        server = await asyncio.start_server(serve, HOST, 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        network = relay.Network(Namespace(to=f"{HOST}:{port}", port=0))
        self.addCleanup(network.reserved_sock.close)
        network.released.set()
        network.switches.values["cut"] = True
        # Accept a connection here and start the relay's task for it after the cut.
        accepted = asyncio.get_running_loop().create_future()
        accepting_server = await asyncio.start_server(
            lambda *streams: accepted.set_result(streams), HOST, 0
        )
        self.addCleanup(accepting_server.close)
        reader, writer = await asyncio.open_connection(
            *accepting_server.sockets[0].getsockname()
        )
        self.addCleanup(writer.close)
        connecting = asyncio.create_task(relay.connect(network, *await accepted))
        with self.assertRaises(ConnectionError):
            await asyncio.wait_for(reader.readexactly(7), 5)
        await connecting
