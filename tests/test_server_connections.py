"""Connections of the HTTP server: order, faults, disconnects, drain."""

import asyncio
import contextlib
import random
import socket

from crocusward.errors import NotSentError
from crocusward.invariants import InvariantName
from crocusward.model import Backend, Reply
from crocusward.upstream import HttpPool, HttpUpstream, UpstreamRequest

from .scripted_server import ScriptedServer
from .server_case import ServerTestCase


class ConnectionTest(ServerTestCase):
    async def test_pipelined_requests_are_answered_in_order(self):
        """Guards against answers that reach another request of a connection."""
        client = await self.connect()
        self.handler.delay_s = 0.01
        for n in range(20):
            client.request("POST", f"/svc/{n}", body=b"b%d" % n)
        for n in range(20):
            self.assertEqual((await client.read()).body, b"POST /%d b%d" % (n, n))

    async def test_garbage_ends_only_its_own_connection(self):
        """Guards against malformed bytes that disturb other callers."""
        self.handler.delay_s = 0.1
        other = await self.connect()
        other.request()
        rng = random.Random(7)
        streams = [rng.randbytes(5000) for _ in range(20)]
        streams += [
            b"\x16\x03\x01" + rng.randbytes(200),
            b"GET /svc/x HTTP/9.9\r\n\r\n",
        ]
        streams += [b"GET /svc/x HTTP/1.1\r\nx: " + b"y" * 200_000]
        streams += [b"GET /" + b"y" * 200_000]
        for data in streams:
            client = await self.connect()
            client.send(data)
            with contextlib.suppress(ConnectionError):
                got = await client.read()
                self.assertEqual(
                    (got.status, got.headers["connection"]), (400, "close")
                )
                self.assertTrue(await client.at_eof())
        self.assertEqual((await other.read()).status, 200)
        self.assertEqual(len(self.handler.calls), 1)

    async def test_garbage_after_a_request_is_not_its_answer(self):
        """Guards against a refusal that a caller takes for an earlier request."""
        self.handler.delay_s = 0.05
        client = await self.connect()
        client.request()
        client.request("GET", "/svc/y")
        await asyncio.sleep(0.01)
        client.send(b"\x00garbage\r\n\r\n")
        self.assertEqual((await client.read()).body, b"GET /x ")
        self.assertEqual((await client.read()).body, b"GET /y ")
        self.assertTrue(await client.at_eof())

    async def test_garbage_in_a_body_is_never_handled(self):
        """Guards against a request that runs with a cut body."""
        for pending in (False, True):
            with self.subTest(pending=pending):
                self.handler.calls.clear()
                self.handler.delay_s = 0.05
                client = await self.connect()
                if pending:
                    client.request()
                client.request("POST", "/svc/z", b"Transfer-Encoding: chunked")
                client.send(b"3\r\nabc\r\nzz\r\n")
                got = await client.read()
                self.assertEqual(got.status, 200 if pending else 400)
                self.assertTrue(await client.at_eof())
                self.assertEqual(len(self.handler.calls), int(pending))

    async def test_cut_body_is_never_handled(self):
        """Guards against a request that runs after its caller vanished."""
        client = await self.connect()
        client.request("POST", "/svc/x", b"content-length: 5")
        client.send(b"abc")
        await asyncio.sleep(0.02)
        client.close()
        await asyncio.sleep(0.02)
        self.assertEqual(self.handler.calls, [])
        self.assertEqual(self.server.in_flight, 0)

    async def test_disconnect_cancels_every_pending_request(self):
        """Guards against work for callers that have gone away."""
        self.handler.delay_s = 5.0
        single = await self.connect()
        single.request()
        pipelined = await self.connect()
        pipelined.request()
        pipelined.request()
        with_body = await self.connect()
        with_body.request("POST", body=b"x" * 90_000)
        await asyncio.sleep(0.1)
        self.assertEqual(self.server.in_flight, 3)
        for client in (single, pipelined, with_body):
            client.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.handler.cancelled, 3)
        self.assertEqual(self.server.in_flight, 0)

    async def test_disconnect_closes_the_backend_connection(self):
        """Guards against a backend that works on for a caller that left."""
        pool = HttpPool(self.timer)
        self.addCleanup(pool.close)
        upstream = HttpUpstream(pool, self.invariants)
        async with ScriptedServer([5.0]) as server:
            backend = Backend("b1", "svc", "r", "d", "127.0.0.1", server.port)
            req = UpstreamRequest(
                "r1", "GET", "/", [], b"", timeout_s=5.0, depth=1, answer_bytes=99
            )

            async def forward(call):
                return await upstream.exchange(backend, req)

            self.handler.handle = forward
            client = await self.connect()
            client.request()
            await asyncio.sleep(0.1)
            self.assertEqual(server.open_connections, 1)
            client.close()
            await asyncio.sleep(0.1)
            self.assertEqual(server.open_connections, 0)
            self.assertEqual(len(server.requests), 1)


class IdleTest(ServerTestCase):
    server_options = {"idle_s": 0.2}

    async def test_idle_connection_is_closed(self):
        """Guards against connections that are held without use."""
        client = await self.connect()
        client.request()
        await client.read()
        self.assertTrue(await client.at_eof())

    async def test_long_request_is_not_taken_for_idle(self):
        """Guards against cutting a request that takes longer than the idle time."""
        self.handler.delay_s = 1.5
        client = await self.connect()
        client.request()
        self.assertEqual((await client.read()).status, 200)


class DrainTest(ServerTestCase):
    async def load(self, answered, stop):
        """Send requests without pause, as a caller that obeys ``close``."""
        pool = HttpPool(self.timer)
        n = 0
        while not stop.is_set():
            n += 1
            try:
                got = await pool.request(
                    "127.0.0.1",
                    self.port,
                    "POST" if n % 2 else "GET",
                    "/svc/x",
                    [(b"crocusward-contract", b"c1")],
                    timeout_s=5.0,
                    limit_bytes=1000,
                )
            except NotSentError:
                break
            answered.append(got.status)
        pool.close()

    async def test_drain_cuts_nothing_under_load(self):
        """Guards against requests that a planned stop interrupts."""
        self.handler.delay_s = 0.003
        answered, stop = [], asyncio.Event()
        async with asyncio.timeout(10.0), asyncio.TaskGroup() as group:
            for _ in range(40):
                group.create_task(self.load(answered, stop))
            idle = await self.connect()
            await asyncio.sleep(0.2)
            before = len(answered)
            self.assertEqual(await self.server.drain(5.0), 0)
            self.assertTrue(await idle.at_eof())
        self.assertGreater(before, 100)
        self.assertEqual(set(answered), {200})
        self.assertEqual(len(self.handler.calls), len(answered))
        await self.server.close()
        self.assertEqual(self.invariants.violations[InvariantName.GRACEFUL_STOP], 0)

    async def test_drain_waits_for_long_and_queued_requests(self):
        """Guards against cutting slow requests and those queued behind them."""
        self.handler.delay_s = 0.2
        client = await self.connect()
        client.request("GET", "/svc/1")
        await asyncio.sleep(0.02)
        drain = asyncio.create_task(self.server.drain(5.0))
        await asyncio.sleep(0.05)
        client.request("GET", "/svc/2")
        first, second = await client.read(), await client.read()
        self.assertNotIn("connection", first.headers)
        self.assertEqual(second.headers["connection"], "close")
        self.assertEqual(await drain, 0)
        self.assertTrue(await client.at_eof())

    async def test_queued_connections_are_accepted_before_the_stop(self):
        """Guards against resetting callers that the kernel already accepted."""
        sockets = [asyncio.open_connection("127.0.0.1", self.port) for _ in range(20)]
        tasks = [asyncio.create_task(sock) for sock in sockets]
        await asyncio.sleep(0)
        self.server.stop_accepting()
        for reader, writer in await asyncio.gather(*tasks):
            writer.write(b"GET /svc/x HTTP/1.1\r\ncrocusward-contract: c1\r\n\r\n")
            self.assertTrue((await reader.readline()).startswith(b"HTTP/1.1 200"))
            writer.close()
        with self.assertRaises(ConnectionError):
            await self.connect()

    async def test_connection_that_the_loop_has_just_accepted_is_answered(self):
        """Guards against a drain that ends before a connection is known."""
        for iterations in range(4):
            with self.subTest(iterations=iterations):
                await self.asyncSetUp()
                client = socket.create_connection(("127.0.0.1", self.port))
                client.sendall(
                    b"GET /svc/x HTTP/1.1\r\ncrocusward-contract: c1\r\n\r\n"
                )
                for _ in range(iterations):
                    await asyncio.sleep(0)
                await self.server.drain(5.0)
                await self.server.close()
                with client:
                    client.settimeout(2.0)
                    self.assertEqual(client.recv(12), b"HTTP/1.1 200")

    async def test_drain_waits_until_answers_are_taken(self):
        """Guards against cutting an answer that a slow caller still reads."""
        body = b"x" * 8_000_000
        self.handler.answer = lambda call: Reply(call.request_id, 200, [], body, "b1")
        client = await self.connect()
        client.request()
        await asyncio.sleep(0.1)
        self.assertEqual(self.server.in_flight, 0)
        self.assertEqual(await self.server.drain(0.5), 1)
        drain = asyncio.create_task(self.server.drain(5.0))
        self.assertEqual((await client.read(timeout_s=5.0)).body, body)
        self.assertEqual(await drain, 0)

    async def test_stop_that_cuts_a_request_is_a_violation(self):
        """Guards against a check that never fails."""
        self.handler.delay_s = 5.0
        client = await self.connect()
        client.request()
        await asyncio.sleep(0.02)
        self.assertEqual(await self.server.drain(0.05), 1)
        await self.server.close()
        self.assertEqual(self.invariants.violations[InvariantName.GRACEFUL_STOP], 1)
