"""Tests of HttpUpstream over loopback sockets."""

import asyncio
import random
import unittest

from crocusward.errors import ExchangeLostError, NotSentError
from crocusward.invariants import Invariants
from crocusward.model import Backend
from crocusward.timing import LoopTimer
from crocusward.upstream import HttpPool, HttpUpstream, UpstreamRequest

from .scripted_server import ScriptedServer, answer


def make_request(request_id="r1", method="GET", headers=()):
    return UpstreamRequest(
        request_id,
        method,
        "/x",
        list(headers),
        b"",
        timeout_s=1.0,
        depth=3,
        answer_bytes=1000,
    )


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
        self.pool = HttpPool(timer)
        self.addCleanup(self.pool.close)
        self.invariants = Invariants()
        self.upstream = HttpUpstream(self.pool, self.invariants)

    def backend(self, server):
        return Backend("b1", "billing", "bkk", "bkk-a", "127.0.0.1", server.port)

    async def test_answer_with_another_request_id_is_dropped(self):
        """Guards against returning an answer that names another request."""
        mismatched = answer(b"foreign", b"X-Request-Id: r2")
        conflicting = answer(b"both", b"X-Request-Id: r1", b"x-request-id: r2")
        matching = answer(b"own", b"X-Request-Id: r1")
        async with ScriptedServer([mismatched], [conflicting], [matching]) as server:
            for _ in range(2):
                with self.assertRaises(ExchangeLostError):
                    await self.upstream.exchange(self.backend(server), make_request())
            result = await self.upstream.exchange(self.backend(server), make_request())
            self.assertEqual((result.body, result.request_id), (b"own", "r1"))
            self.assertEqual(server.connections, 3)
        self.assertEqual(self.upstream.mismatched_answers, 2)
        self.assertEqual(sum(self.invariants.violations.values()), 0)

    async def test_backend_headers_are_read_and_hop_by_hop_stripped(self):
        """Guards against forwarded hop-by-hop headers and misread load headers."""
        data = answer(
            b"busy",
            b"X-Backend-Load: 2",
            b"X-Backend-Boot: b7",
            b"X-Backend-Shed: 1",
            b"X-Backend-Draining: 1",
            b"Connection: keep-alive, X-Hop",
            b"X-Hop: 1",
            b"Keep-Alive: timeout=5",
            b"X-End: 2",
            status=b"503 Busy",
        )
        headers = [(b"connection", b"x-mine"), (b"x-mine", b"1"), (b"te", b"trailers")]
        headers += [
            (b"x-request-id", b"forged"),
            (b"host", b"other"),
            (b"accept", b"*"),
        ]
        async with ScriptedServer([data]) as server:
            req = make_request(headers=headers)
            result = await self.upstream.exchange(self.backend(server), req)
        self.assertEqual((result.load, result.boot), (2, "b7"))
        self.assertTrue(result.shed and result.draining)
        self.assertEqual(result.headers, [(b"x-end", b"2")])
        lines = server.requests[0].lower().split(b"\r\n")[2:-2]
        self.assertEqual(lines[0], b"accept: *")
        self.assertIn(b"x-request-id: r1", lines)
        self.assertIn(b"crocusward-depth: 3", lines)
        self.assertIn(b"crocusward-deadline-ms: 1000", lines)
        self.assertEqual(len(lines), 4)

    async def test_shed_header_needs_status_503(self):
        """Guards against retrying a request that ran, on a stray shed header."""
        data = answer(b"done", b"X-Backend-Shed: 1", b"X-Backend-Load: -5")
        async with ScriptedServer([data]) as server:
            result = await self.upstream.exchange(self.backend(server), make_request())
        self.assertFalse(result.shed)
        self.assertEqual(result.load, -1)

    async def test_request_id_cannot_inject_a_header(self):
        """Guards against header injection through the request id."""
        async with ScriptedServer([answer()]) as server:
            for request_id in ("a\r\nx: 1", "\u0100"):
                with self.assertRaises(NotSentError):
                    req = make_request(request_id)
                    await self.upstream.exchange(self.backend(server), req)
            self.assertEqual(server.requests, [])

    async def test_probe_reads_the_load_report(self):
        """Guards against recording the load of a malformed report."""
        valid = answer(b'{"in_flight": 1, "boot": "b7", "draining": true}')
        malformed = [answer(b"{}"), answer(b"[" * 900), answer(b'{"in_flight": 1e999}')]
        async with ScriptedServer([valid], *([data] for data in malformed)) as server:
            result = await self.upstream.probe(self.backend(server), 1.0)
            self.assertEqual(
                (result.load, result.boot, result.draining), (1, "b7", True)
            )
            for _ in malformed:
                with self.assertRaises(ExchangeLostError):
                    await self.upstream.probe(self.backend(server), 1.0)
