"""Kept connections that fall silent, over real sockets."""

import asyncio
import random
import unittest

from crocusward.devtools.fault_soak._proxy import FaultProxy
from crocusward.devtools.standins import RowsStandin
from crocusward.errors import ExchangeLostError
from crocusward.timing import LoopTimer
from crocusward.upstream import HttpPool

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
