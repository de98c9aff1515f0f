"""Kept connections that fall silent, over real sockets."""

import asyncio
import random
import unittest
from unittest import mock

from crocusward.devtools.fault_soak._proxy import FaultProxy
from crocusward.devtools.standins import RowsStandin
from crocusward.errors import ExchangeLostError
from crocusward.relay import BackendClient
from crocusward.timing import LoopTimer
from crocusward.upstream import CUT, LATE, SILENT, HttpPool
from crocusward.upstream._connection import HttpConnection

PATH = "/rows-get?table=t"
TIMEOUT_S = 0.3


class DistrustedConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        store = RowsStandin()
        await store.start()
        self.addCleanup(store.stop)
        self.proxy = FaultProxy(("127.0.0.1", store.port))
        await self.proxy.start()
        self.pool = HttpPool(LoopTimer(asyncio.get_running_loop(), random.Random(1)))

    async def asyncTearDown(self):
        self.pool.close()
        self.proxy.close()
        await asyncio.sleep(0.02)  # until the proxy has closed its connections

    async def ask(self):
        return await self.pool.request(
            "127.0.0.1",
            self.proxy.port,
            "GET",
            PATH,
            timeout_s=TIMEOUT_S,
            limit_bytes=10_000,
        )

    async def test_one_silent_connection_closes_the_others_to_the_address(self):
        """Guards against one time limit for each connection that fell silent."""
        await asyncio.gather(*[self.ask() for _ in range(4)])
        self.assertEqual(self.pool.count_idle("127.0.0.1", self.proxy.port), 4)
        self.proxy.mute_open()
        with self.assertRaises(ExchangeLostError):
            await self.ask()
        self.assertEqual((await self.ask()).status, 200)
        self.assertEqual(self.pool.silent_connections, 1)
        self.assertEqual(self.pool.distrusted_connections, 3)

    async def test_connections_that_answered_since_are_kept(self):
        """Guards against new connections after each slow answer."""
        await asyncio.gather(*[self.ask() for _ in range(2)])
        conn, other = self.pool._endpoints[("127.0.0.1", self.proxy.port)].idle
        self.proxy.mute_open()
        slow = asyncio.ensure_future(self.ask())  # on the connection used last
        await asyncio.sleep(TIMEOUT_S / 3)
        other.abort()
        conn.abort()
        await self.ask()  # opens a new one, which answers while the other waits
        with self.assertRaises(ExchangeLostError):
            await slow
        self.assertEqual(self.pool.distrusted_connections, 0)
        self.assertEqual(self.pool.count_idle("127.0.0.1", self.proxy.port), 1)


class LostExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against decisions that depend on the words of a message."""

    def connect(self):
        timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
        buffer = memoryview(bytearray(1024))
        conn = HttpConnection(timer, mock.Mock(), buffer)
        conn.connection_made(mock.Mock())
        return conn, buffer

    async def lose(self, conn, end):
        exchange = asyncio.ensure_future(
            conn.exchange(b"x", is_head_request=False, timeout_s=0.05, limit_bytes=10)
        )
        await asyncio.sleep(0)
        end()
        with self.assertRaises(ExchangeLostError) as caught:
            await exchange
        return caught.exception

    async def test_each_end_of_an_exchange_has_its_code(self):
        part = b"HTTP/1.1 200 OK\r\n"
        for code, was_reset, is_begun, end in (
            (SILENT, False, False, lambda conn: None),
            (LATE, False, True, lambda conn: None),
            (CUT, False, False, lambda conn: conn.eof_received()),
            (CUT, True, False, lambda conn: conn.connection_lost(OSError("x"))),
            (CUT, False, True, lambda conn: conn.eof_received()),
            (CUT, True, True, lambda conn: conn.connection_lost(OSError())),
            ("exchange_lost", False, True, lambda conn: conn.abort()),
        ):
            conn, buffer = self.connect()

            def play(conn=conn, buffer=buffer, is_begun=is_begun, end=end):
                if is_begun:
                    buffer[: len(part)] = part
                    conn.buffer_updated(len(part))
                end(conn)

            lost = await self.lose(conn, play)
            self.assertEqual((lost.code, lost.was_reset), (code, was_reset))

    async def test_only_a_reset_of_a_kept_connection_shortens_the_idle_limit(self):
        for was_reset, reused, expected in (
            (True, True, {"svc": 2.0}),
            (True, False, {}),
            (False, True, {}),
        ):
            client = BackendClient(mock.Mock())
            lost = ExchangeLostError("any words")
            lost.was_reset, lost.reused, lost.idle_s = was_reset, reused, 4.0
            client._reduce_idle_limit("svc", lost)
            self.assertEqual(client.idle_limit_s, expected)
