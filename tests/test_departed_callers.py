"""Callers that leave while their connection is not read, since it has many requests."""

import asyncio
import socket
import struct
import unittest

from .entry_support import RelayOnLoopback, backend
from .scripted_server import ScriptedServer
from .server_case import ServerTestCase

DEPTH = 48  # requests sent at once, more than one connection may have unanswered
NOTICED_S = 0.4  # from the close until its requests are given up
WORK_S = 5.0
NO_LINGER = struct.pack("ii", 1, 0)


async def leave(writer, *, is_reset):
    """Close a connection, in order or with a reset."""
    sock = writer.get_extra_info("socket")
    if is_reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        writer.transport.abort()
    else:
        writer.close()
    await asyncio.sleep(NOTICED_S)


class EntryTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_of_a_caller_that_left_are_given_up(self):
        """Guards against work for a caller whose close is not noticed."""
        for is_reset in (True, False):
            with self.subTest(is_reset=is_reset):
                async with ScriptedServer([WORK_S] * DEPTH) as server:
                    entry = backend("b0", port=server.port)
                    async with RelayOnLoopback(entry) as relay:
                        client = await relay.client()
                        for _ in range(DEPTH):
                            client.send()
                        await asyncio.sleep(0.1)
                        self.assertGreater(relay.listener.pending, 32)
                        await leave(client.raw.writer, is_reset=is_reset)
                        self.assertFalse(relay.listener.connections)
                        self.assertEqual(relay.book.loads["b0"].own_in_flight, 0)

    async def test_caller_that_stays_is_read_on(self):
        """Guards against taking a caller that waits for one that has left."""
        async with ScriptedServer([WORK_S] * DEPTH) as server:
            entry = backend("b0", port=server.port)
            async with RelayOnLoopback(entry) as relay:
                client = await relay.client()
                for _ in range(DEPTH):
                    client.send()
                await asyncio.sleep(NOTICED_S)
                self.assertEqual(len(relay.listener.connections), 1)


class OwnInterfaceTest(ServerTestCase):
    async def test_requests_of_a_caller_that_left_are_given_up(self):
        """Guards against the same on the own interface, where two requests suffice."""
        for is_reset in (True, False):
            with self.subTest(is_reset=is_reset):
                self.handler.delay_s = WORK_S
                self.handler.cancelled = 0
                client = await self.connect()
                for number in range(3):
                    client.request("GET", f"/svc/{number}")
                await asyncio.sleep(0.1)
                await leave(client.writer, is_reset=is_reset)
                self.assertEqual(self.handler.cancelled, 1)
                self.assertEqual(self.server.connections, 0)


if __name__ == "__main__":
    unittest.main()
