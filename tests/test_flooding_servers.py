"""Whole daemons beside servers and callers that send bytes without end."""

import asyncio
import contextlib
import unittest

from crocusward.devtools.standins._flood import FLOODS

from .flooded_daemon import CALLER_PORT, FloodedDaemon

MEMORY_BYTES = 300 << 20  # of the daemon's settings
OBJECTIVE_S = 0.4  # of the requests for the healthy service
PLAY_S = 4.0  # longer than the time limit of the requests
REQUEST_HEAD = (
    b"POST /calm/x HTTP/1.1\r\nHost: api.example\r\n"
    b"Crocusward-Request-Id: z1\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class FloodTestCase(unittest.IsolatedAsyncioTestCase):
    def check(self, daemon):
        """Check memory and the answers to requests for the healthy service."""
        self.assertTrue(daemon.daemon.is_running)
        self.assertLess(daemon.peak_rss_bytes, MEMORY_BYTES)
        self.assertGreater(len(daemon.calm), 20)
        failed = [
            line
            for line in daemon.find_log_lines("request_failed")
            if " route=calm " in line
        ]
        statuses = {found.status for found in daemon.calm}
        self.assertEqual(statuses, {200}, "\n".join(failed))
        times_s = sorted(found.took_s for found in daemon.calm)
        self.assertLess(times_s[len(times_s) * 9 // 10], OBJECTIVE_S)


class FloodingServersTest(FloodTestCase):
    """Guards against servers that exhaust the memory or the loop of a host."""

    async def play(self, floods, **options):
        async with FloodedDaemon(floods, **options) as daemon:
            await daemon.play(PLAY_S)
            self.check(daemon)
        self.assertTrue(daemon.flooded)
        self.assertFalse([x for x in daemon.flooded if x.status == 200])

    async def test_small_chunks(self):
        for name in ("chunks_of_1", "chunks_of_7", "chunks_of_64"):
            with self.subTest(name):
                await self.play([(FLOODS[name],)])

    async def test_bodies_with_and_without_length(self):
        floods = [(FLOODS[name],) for name in ("length", "no_length", "chunks_of_1000")]
        await self.play(floods, servers=1)

    async def test_heads_and_framing(self):
        names = ("status_line", "headers", "long_header", "interim_answers")
        names += ("extensions", "trailers", "other_answers", "garbage")
        await self.play([(FLOODS[name],) for name in names], servers=1)

    async def test_health_probes(self):
        names = ("chunks_of_1", "headers", "length")
        floods = [(FLOODS[name], FLOODS[name]) for name in names]
        await self.play(floods, servers=1)


class FloodingCallersTest(FloodTestCase):
    """Guards against callers that exhaust the memory or the loop of a host."""

    async def send(self, daemon, block):
        """Send a request body without end until the daemon closes."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + PLAY_S
        data = block * (65_536 // len(block))
        while loop.time() < end_s:
            with contextlib.suppress(OSError, TimeoutError):
                place = (daemon.address, CALLER_PORT)
                _, writer = await asyncio.open_connection(*place)
                with contextlib.closing(writer):
                    writer.write(REQUEST_HEAD)
                    while loop.time() < end_s:
                        writer.write(data)
                        async with asyncio.timeout(end_s - loop.time()):
                            await writer.drain()

    async def test_bodies(self):
        blocks = (
            b"1\r\nx\r\n",
            b"7\r\n1234567\r\n",
            b"1;x=" + b"y" * 500 + b"\r\nz\r\n",
        )
        for block in blocks:
            with self.subTest(block[:12]):
                async with FloodedDaemon([], servers=0) as daemon:
                    callers = [
                        asyncio.create_task(self.send(daemon, block)) for _ in range(8)
                    ]
                    await daemon.play(PLAY_S, flooding=0)
                    await asyncio.gather(*callers)
                    self.check(daemon)


if __name__ == "__main__":
    unittest.main()
