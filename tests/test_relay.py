"""The stand-in of a network: what a cut must end."""

import asyncio
import unittest
from argparse import Namespace

from tests.fakes import relay
from tests.fakes.control import HOST


class TestCut(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_that_was_just_accepted_ends_with_the_cut(self):
        # The listener takes a connection and the cut comes before it is joined to its
        # target: joined afterwards, two sides that are cut off would talk through it.
        async def serve(reader, writer):
            writer.write(b"through")

        server = await asyncio.start_server(serve, HOST, 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        network = relay.Network(Namespace(to=f"{HOST}:{port}", port=0))
        self.addCleanup(network.claim.close)
        network.flowing.set()
        network.switches.values["cut"] = True
        # The accepting side of a connection whose task starts after the cut.
        accepted = asyncio.get_running_loop().create_future()
        near = await asyncio.start_server(
            lambda *streams: accepted.set_result(streams), HOST, 0
        )
        self.addCleanup(near.close)
        reader, writer = await asyncio.open_connection(*near.sockets[0].getsockname())
        self.addCleanup(writer.close)
        joined = asyncio.create_task(relay.connect(network, *await accepted))
        with self.assertRaises(ConnectionError):
            await asyncio.wait_for(reader.readexactly(7), 5)
        await joined
