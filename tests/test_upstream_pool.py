"""Tests of HttpPool and HttpConnection over loopback sockets."""

import asyncio
import random
import socket
import unittest

from crocusward.errors import ExchangeLostError, NotSentError
from crocusward.timing import LoopTimer
from crocusward.upstream import AnswerMatch, AnswerMemoryBudget, HttpPool

from .scripted_server import ScriptedServer, answer


class PoolTestCase(unittest.IsolatedAsyncioTestCase):
    """Provides a pool and a shorthand for requests."""

    def setUp(self):
        self.pool = None

    async def asyncTearDown(self):
        self.pool.close()

    async def send(self, server, method="GET", **options):
        if self.pool is None:
            self.make_pool()
        options.setdefault("timeout_s", 2.0)
        options.setdefault("limit_bytes", 1000)
        path = options.pop("path", "/x")
        return await self.pool.request(
            "127.0.0.1", server.port, method, path, **options
        )

    def make_pool(self, **options):
        timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
        self.pool = HttpPool(timer, **options)


class AtMostOnceTest(PoolTestCase):
    async def test_lost_request_is_not_sent_again(self):
        """Guards against retrying after the server closed without an answer."""
        for method in ("GET", "POST"):
            for reused in (False, True):
                with self.subTest(method=method, reused=reused):
                    first = [[answer()]] if reused else []
                    async with ScriptedServer(*first, ["close"]) as server:
                        if reused:
                            await self.send(server)
                        with self.assertRaises(ExchangeLostError):
                            await self.send(server, method, body=b"12")
                        await asyncio.sleep(0.02)
                        self.assertEqual(len(server.requests), 1 + reused)

    async def test_idle_connection_closed_by_server_is_not_written_to(self):
        """Guards against writing a request to a connection known to be closed."""
        async with ScriptedServer([answer(), "close"]) as server:
            for _ in range(50):
                self.assertEqual((await self.send(server, "POST")).status, 200)
                await asyncio.sleep(0)
                await asyncio.sleep(0.001)
            self.assertEqual(server.connections, 50)

    async def test_end_of_file_in_the_kernel_is_seen_before_writing(self):
        """Guards against writing a request before the loop has read the end of file."""
        with socket.create_server(("127.0.0.1", 0)) as listening:
            listening.setblocking(False)
            loop = asyncio.get_running_loop()
            server = ScriptedServer()
            server.port = listening.getsockname()[1]
            for _ in range(2):
                task = asyncio.create_task(self.send(server, "POST"))
                conn, _ = await loop.sock_accept(listening)
                await loop.sock_recv(conn, 1000)
                conn.send(answer())
                self.assertEqual((await task).status, 200)
                await asyncio.sleep(0.25)
                conn.close()
                # The next request starts before the loop reads the end of file.

    async def test_refused_connection_is_not_sent(self):
        """Guards against reporting an unknown outcome when nothing was written."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            server = ScriptedServer()
            server.port = unused.getsockname()[1]
            with self.assertRaises(NotSentError) as caught:
                await self.send(server)
        self.assertEqual(caught.exception.code, "refused")
        self.assertEqual(self.pool.count_open("127.0.0.1", server.port), 0)

    async def test_connect_timeout_is_not_sent(self):
        """Guards against reporting an unknown outcome when connecting times out."""
        with socket.socket() as busy:
            busy.bind(("127.0.0.1", 0))
            busy.listen(0)
            address = busy.getsockname()
            queued = [socket.socket() for _ in range(3)]
            for sock in queued:
                self.addCleanup(sock.close)
                sock.setblocking(False)
                sock.connect_ex(address)
            await asyncio.sleep(0.01)
            self.make_pool(connect_timeout_s=0.1)
            server = ScriptedServer()
            server.port = address[1]
            with self.assertRaises(NotSentError) as caught:
                await self.send(server)
        self.assertEqual(caught.exception.code, "connect_timeout")
        self.assertEqual(self.pool.count_open(*address), 0)


class AnswerMatchingTest(PoolTestCase):
    async def test_late_answer_does_not_reach_the_next_request(self):
        """Guards against reusing a connection after its exchange timed out."""
        async with ScriptedServer([0.15, answer(b"late")], [answer(b"own")]) as server:
            with self.assertRaises(ExchangeLostError):
                await self.send(server, timeout_s=0.05)
            for _ in range(5):
                self.assertEqual((await self.send(server)).body, b"own")
                await asyncio.sleep(0.05)

    async def test_cancelled_request_closes_its_connection(self):
        """Guards against leaving a cancelled request running at the backend server."""
        async with ScriptedServer([5.0], [answer(b"own")]) as server:
            task = asyncio.create_task(self.send(server))
            await asyncio.sleep(0.05)
            self.assertEqual(server.open_connections, 1)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(0.02)
            self.assertTrue(task.cancelled())
            self.assertEqual(server.open_connections, 0)
            self.assertEqual((await self.send(server)).body, b"own")

    async def test_cancellation_concurrent_with_the_answer_closes(self):
        """Guards against use by two requests if both arrive in one loop iteration."""
        async with ScriptedServer([answer()]) as server:
            await self.send(server)
            for _ in range(100):
                task = asyncio.create_task(self.send(server))
                await asyncio.sleep(0)
                asyncio.get_running_loop().call_later(0.0002, task.cancel)
                await asyncio.gather(task, return_exceptions=True)
                self.assertLessEqual(self.pool.count_open("127.0.0.1", server.port), 1)
            self.assertEqual((await self.send(server)).body, b"ok")

    async def test_unsolicited_bytes_close_an_idle_connection(self):
        """Guards against taking unsolicited bytes for the next answer."""
        async with ScriptedServer([answer(), 0.02, answer(b"stray")]) as server:
            await self.send(server)
            await asyncio.sleep(0.1)
            self.assertEqual(self.pool.count_open("127.0.0.1", server.port), 0)
            self.assertEqual((await self.send(server)).body, b"ok")


class MalformedAnswerTest(PoolTestCase):
    async def test_malformed_answers_are_lost(self):
        """Guards against returning a truncated, ambiguous or malformed answer."""
        ok = b"HTTP/1.1 200 OK\r\n"
        chunked = ok + b"transfer-encoding: chunked\r\n\r\n"
        cases = {
            "short body": ok + b"content-length: 9\r\n\r\nabc",
            "cut head": ok + b"content-le",
            "cut chunk": chunked + b"5\r\nhel",
            "missing last chunk": chunked + b"5\r\nhello\r\n",
            "bad chunk size": chunked + b"zz\r\nhello\r\n0\r\n\r\n",
            "garbage": bytes(range(256)) * 4,
            "no length": ok + b"\r\nhello",
            "two lengths": ok + b"content-length: 1\r\ncontent-length: 2\r\n\r\nab",
            "length and chunked": ok + b"content-length: 1\r\n" + chunked[17:] + b"0",
            "bytes left over": answer() + b"x",
            "two answers": answer() + answer(b"other"),
            "second answer without a body": answer() + b"HTTP/1.1 204 None\r\n\r\n",
            "over the limit": answer(b"x" * 1001),
            "chunked over the limit": chunked + b"3e9\r\n" + b"x" * 1001,
            "endless head": ok + b"x-a: b\r\n" * 9000,
            "endless trailer": chunked + b"0\r\n" + b"x-a: b\r\n" * 9000,
            "protocol switch": b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n"
            b"connection: upgrade\r\n\r\n",
        }
        for name, data in cases.items():
            with self.subTest(name):
                async with ScriptedServer([data, 0.01, "close"]) as server:
                    with self.assertRaises(ExchangeLostError):
                        await self.send(server)
                    self.assertEqual(self.pool.count_open("127.0.0.1", server.port), 0)

    async def test_bodiless_and_chunked_answers_keep_the_connection(self):
        """Guards against waiting for an absent body, or losing one."""
        chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        script = (
            [b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n"],
            [b"HTTP/1.1 204 No Content\r\n\r\n"],
            [b"HTTP/1.1 304 Not Modified\r\ncontent-length: 7\r\n\r\n"],
            [chunked + b"2\r\nab\r\n", 0.01, b"1\r\nc\r\n0\r\nx-t: 1\r\n\r\n"],
            [b"HTTP/1.1 100 Continue\r\n\r\n" + answer(b"", b"x-empty:", b"x-b: 2")],
        )
        async with ScriptedServer(*script) as server:
            head = await self.send(server, "HEAD")
            self.assertEqual((head.status, head.body), (200, b""))
            self.assertEqual((await self.send(server)).status, 204)
            self.assertEqual((await self.send(server)).status, 304)
            self.assertEqual((await self.send(server)).body, b"abc")
            last = await self.send(server)
            self.assertEqual(last.headers[:2], [(b"x-empty", b""), (b"x-b", b"2")])
            self.assertEqual(server.connections, 1)


class EndlessServer:
    """Sends a head, then one block repeatedly until the client closes."""

    def __init__(self, head, block, pause_s=0.0):
        self.head = head
        self.block = block
        self.pause_s = pause_s
        self.closed_count = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info):
        self.server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.head)
        try:
            while True:
                writer.write(self.block)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        except OSError:
            self.closed_count += 1
        writer.close()


class EndlessAnswerTest(PoolTestCase):
    """Guards against endless answers that exhaust memory or time."""

    OK = b"HTTP/1.1 200 OK\r\n"
    CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"

    async def test_endless_framing_ends_the_exchange(self):
        cases = {
            "status line": (b"HTTP/1.1 200 ", b"x" * 4000),
            "head": (self.OK, b"x-a: b\r\n" * 500),
            "one long header": (self.OK + b"x-a: ", b"x" * 4000),
            "interim answers": (b"", b"HTTP/1.1 102 Wait\r\n\r\n" * 100),
            "chunk extension": (self.CHUNKED + b"1;", b"x" * 4000),
            "chunks of extensions": (
                self.CHUNKED,
                b"1;" + b"x" * 4000 + b"\r\nx\r\n",
            ),
            "trailers": (self.CHUNKED + b"0\r\n", b"x-a: b\r\n" * 500),
        }
        for name, (head, block) in cases.items():
            with self.subTest(name):
                async with EndlessServer(head, block) as server:
                    began_s = asyncio.get_running_loop().time()
                    with self.assertRaises(ExchangeLostError) as caught:
                        await self.send(server, timeout_s=20.0, limit_bytes=1 << 30)
                    took_s = asyncio.get_running_loop().time() - began_s
                    self.assertLess(took_s, 10.0)
                    self.assertNotIn("in time", str(caught.exception))
                    self.assertEqual(self.pool.count_open("127.0.0.1", server.port), 0)

    async def test_answers_to_other_requests_end_the_exchange(self):
        async with EndlessServer(b"", answer(b"x" * 500)) as server:
            with self.assertRaises(ExchangeLostError) as caught:
                await self.send(
                    server, timeout_s=20.0, matches_request=lambda *_: AnswerMatch.OTHER
                )
        self.assertIn("other requests", str(caught.exception))

    async def test_slow_bytes_do_not_extend_the_time_limit(self):
        cases = {"head": (self.OK + b"x-a: ", b"x"), "body": (self.OK + b"\r\n", b"x")}
        for name, (head, block) in cases.items():
            with self.subTest(name):
                async with EndlessServer(head, block, 0.01) as server:
                    with self.assertRaises(ExchangeLostError) as caught:
                        await self.send(
                            server, timeout_s=0.2, allow_close_delimited=True
                        )
                    self.assertIn("in time", str(caught.exception))
                    self.assertEqual(self.pool.count_open("127.0.0.1", server.port), 0)

    async def test_endless_bodies_do_not_displace_other_answers(self):
        memory_budget = AnswerMemoryBudget(4 << 20)
        self.make_pool(memory_budget=memory_budget)
        endless = (self.OK + b"content-length: 1000000000\r\n\r\n", b"x" * 65_536)
        async with EndlessServer(*endless) as server:
            endless_tasks = [
                asyncio.create_task(
                    self.send(server, timeout_s=20.0, limit_bytes=16 << 20)
                )
                for _ in range(6)
            ]
            async with ScriptedServer([answer()]) as healthy:
                for _ in range(20):
                    self.assertEqual((await self.send(healthy)).body, b"ok")
                    self.assertLessEqual(memory_budget.used_bytes, 4 << 20)
            results = await asyncio.gather(*endless_tasks, return_exceptions=True)
        for result in results:
            self.assertIsInstance(result, ExchangeLostError)
        self.assertEqual(memory_budget.used_bytes, 0)
        self.assertGreater(memory_budget.aborted_count, 0)


class PoolLimitTest(PoolTestCase):
    async def test_connection_cap_holds_and_can_change(self):
        """Guards against exceeding this host's share of connections."""
        self.make_pool(connections=2)
        async with ScriptedServer([0.1, answer()]) as server:
            tasks = [self.send(server) for _ in range(5)]
            results = await asyncio.gather(*tasks, return_exceptions=True)
            refused = [r for r in results if isinstance(r, NotSentError)]
            self.assertEqual({r.code for r in refused}, {"no_connection"})
            self.assertEqual((len(refused), server.connections), (3, 2))
            self.pool.limit_connections("127.0.0.1", server.port, 1)
            await asyncio.gather(self.send(server), self.send(server))
            self.assertEqual(self.pool.count_open("127.0.0.1", server.port), 1)

    async def test_idle_connections_are_closed(self):
        """Guards against keeping idle connections open indefinitely."""
        self.make_pool(idle_s=0.05)
        async with ScriptedServer([answer()]) as server:
            await self.send(server)
            await asyncio.sleep(0.15)
            self.assertEqual(self.pool.count_open("127.0.0.1", server.port), 0)


class InjectionTest(PoolTestCase):
    async def test_framing_cannot_be_changed_by_a_caller(self):
        """Guards against request splitting through names, values, paths and methods."""
        cases = [
            {"headers": [(b"x-a", b"1\r\nx-b: 2")]},
            {"headers": [(b"x-a", b"1\nx-b: 2")]},
            {"headers": [(b"x-a", b"1\x00")]},
            {"headers": [(b"x-a: 1\r\nx-b", b"2")]},
            {"headers": [(b"x a", b"2")]},
            {"headers": [(b"", b"2")]},
            {"headers": [(b"Content-Length", b"0")]},
            {"headers": [(b"transfer-encoding", b"chunked")]},
            {"path": "/x HTTP/1.1\r\nx-b: 2"},
            {"path": "/x y"},
            {"path": "x"},
            {"path": "/\u0100"},
            {"method": "GET /y"},
        ]
        async with ScriptedServer([answer()]) as server:
            for options in cases:
                with self.subTest(options), self.assertRaises(NotSentError) as caught:
                    await self.send(server, **options)
                self.assertEqual(caught.exception.code, "invalid_request")
            self.assertEqual(server.requests, [])
