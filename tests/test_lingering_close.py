"""Closes of connections whose clients still send, over slow lines."""

import asyncio
import socket
import unittest
from unittest import mock

from crocusward import lingering
from crocusward.lingering import LingerEnd, LingeringClose
from crocusward.model import Reply
from crocusward.relay import _listener

from .entry_support import reply
from .scripted_server import ScriptedServer
from .server_case import ServerTestCase
from .test_relay import RelayTestCase

ANSWER_BYTES = 300_000  # more than the buffers of a slow line hold
WINDOW_BYTES = 4096
REQUEST = (
    b"GET /look/x HTTP/1.1\r\nHost: api.example\r\nCrocusward-Request-Id: %s\r\n\r\n"
)


class SlowLine:
    """A client that takes answers slowly and goes on sending meanwhile."""

    def __init__(self, port):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.sock.connect(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.received = bytearray()

    async def read_all(self, data=b"", pause_s=0.002):
        """Read to the end of the stream; send ``data`` before each read."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(20.0):
            while True:
                if data:
                    try:
                        self.sock.send(data)
                    except BlockingIOError:
                        pass
                part = await loop.sock_recv(self.sock, WINDOW_BYTES)
                if not part:
                    return
                self.received += part
                await asyncio.sleep(pause_s)

    def close(self):
        self.sock.close()

    def count_whole(self, size):
        """Return how many whole answers with bodies of a size were read."""
        return self.received.count(b"x" * size)


class LingeringCloseTest(RelayTestCase):
    """Guards against answers that are cut by a reset, since more input arrives."""

    async def read_slowly(self, relay, after_request, data=REQUEST % b"q9", first=None):
        """Return what a slow client reads of an answer that ends its connection."""
        line = SlowLine(relay.port)
        self.addCleanup(line.close)
        await asyncio.sleep(0.05)
        line.sock.send(first or REQUEST % b"q1")
        await asyncio.sleep(0.1)
        after_request(relay)
        await line.read_all(data)
        return line

    def serve(self, body=b"x" * ANSWER_BYTES):
        return ScriptedServer([0.2, reply("q1", body)], [reply("q9", b"late")])

    async def test_answer_before_a_planned_stop_is_whole(self):
        async with self.serve() as server, self.relay(server) as relay:
            line = await self.read_slowly(relay, lambda r: r.listener.drain())
        self.assertEqual(line.count_whole(ANSWER_BYTES), 1)
        self.assertIn(b"connection: close", line.received)

    async def test_idle_connection_that_is_closed_delivers_its_answer(self):
        async with self.serve() as server, self.relay(server) as relay:
            loop = asyncio.get_running_loop()
            line = await self.read_slowly(
                relay, lambda r: loop.call_later(0.3, r.listener.close_idle), data=b""
            )
            self.assertEqual(line.count_whole(ANSWER_BYTES), 1)
            second = SlowLine(relay.port)
            self.addCleanup(second.close)
            second.sock.send(REQUEST % b"q9")
            await asyncio.sleep(0.2)
            relay.listener.close_idle()
            for _ in range(20):  # requests that arrive during the close
                second.sock.send(REQUEST % b"q9")
                await asyncio.sleep(0.01)
            await second.read_all()
            self.assertIn(b"late", second.received)

    async def test_refusals_are_whole_while_the_rest_of_the_request_arrives(self):
        heads = {
            b"400": b"\x00\x01 nonsense\r\n\r\n",
            b"431": b"GET /look/x HTTP/1.1\r\nX: " + b"a" * 5000 + b"\r\n\r\n",
            b"413": REQUEST[:-4] % b"q1" + b"\r\nContent-Length: 9000000\r\n\r\n",
        }
        async with self.relay() as relay:
            for status, head in heads.items():
                with self.subTest(status):
                    line = await self.read_slowly(
                        relay, lambda r: None, data=b"y" * 8000, first=head
                    )
                    self.assertIn(b"HTTP/1.1 " + status, line.received)

    async def test_silent_client_does_not_linger_for_long(self):
        async with ScriptedServer([reply("q1")]) as server, self.relay(server) as relay:
            client = await relay.client()
            await client.ask()
            relay.listener.close_idle()
            self.assertEqual(len(relay.listener.lingering), 1)
            await asyncio.sleep(lingering.QUIET_S + 0.8)
            self.assertFalse(relay.listener.connections)
            self.assertEqual(relay.listener.linger_ends[LingerEnd.QUIET], 1)

    async def test_number_of_lingering_closes_is_limited(self):
        with mock.patch.object(_listener, "MAX_LINGERING_CONNECTIONS", 2):
            async with self.relay() as relay:
                clients = [await relay.client() for _ in range(4)]
                for client in clients:  # a connection is kept for its first request
                    await client.ask(path="/no-route")
                relay.listener.close_idle()
                self.assertEqual(len(relay.listener.lingering), 2)
                self.assertEqual(relay.listener.linger_ends[LingerEnd.DISPLACED], 2)
                for client in clients:
                    client.raw.close()


class OwnInterfaceTest(ServerTestCase):
    """Guards against answers of the own interface that are cut by a reset."""

    async def test_answer_before_a_planned_stop_is_whole(self):
        self.handler.delay_s = 0.2
        body = b"x" * ANSWER_BYTES
        self.handler.answer = lambda call: Reply(call.request_id, 200, [], body, "b1")
        line = SlowLine(self.port)
        self.addCleanup(line.close)
        request = b"GET /svc/x HTTP/1.1\r\nhost: h\r\ncrocusward-contract: c1\r\n\r\n"
        line.sock.send(request)
        await asyncio.sleep(0.1)
        drained = asyncio.create_task(self.server.drain(10.0))
        await asyncio.sleep(0.2)
        await line.read_all(request)
        line.close()
        self.assertEqual(await drained, 0)
        self.assertEqual(line.count_whole(ANSWER_BYTES), 1)


class LingerBoundsTest(unittest.TestCase):
    """Guards against lingering closes without end."""

    def make_close(self, unsent):
        transport = mock.Mock()
        transport.get_write_buffer_size.side_effect = lambda: unsent[0]
        transport.get_extra_info.return_value = None
        return LingeringClose(transport, 100.0), transport

    def test_reasons(self):
        unsent = [1000]
        close, transport = self.make_close(unsent)
        transport.write_eof.assert_called_once()
        self.assertIsNone(close.find_end(102.9))
        unsent[0] = 500
        self.assertIsNone(close.find_end(103.1))
        self.assertIsNone(close.find_end(106.0))
        self.assertEqual(close.find_end(106.2), LingerEnd.STALLED)
        unsent[0] = 0
        self.assertIsNone(close.find_end(106.3))
        self.assertEqual(close.find_end(107.4), LingerEnd.QUIET)
        close.drop(10, 159.9)
        self.assertEqual(close.find_end(160.0), LingerEnd.TOO_LONG)

    def test_input_above_the_limit_stays_unread(self):
        close, transport = self.make_close([0])
        close.drop(17 << 20, 100.1)
        transport.pause_reading.assert_called_once()
