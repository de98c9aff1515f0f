"""Answers of servers whose status is none, and bodies of interim answers."""

import asyncio

from crocusward.errors import ExchangeLostError

from .entry_support import desired, reply, route
from .scripted_server import ScriptedServer, answer
from .test_relay import ORDER, RelayTestCase
from .test_upstream_pool import PoolTestCase

INVALID = ("000", "001", "099", "600", "999", "99", "7", "1000", "+10", "-200", "2 0")
INVALID += ("", "2OO", "0200", "20")
INTERIM = ("100", "102", "103", "104", "150", "199")
OWN = b"Crocusward-Request-Id: q1\r\n"
LENGTH, CHUNKED = b"Content-Length: 7\r\n", b"Transfer-Encoding: chunked\r\n"
FORMS = {
    "without a length": b"\r\n",
    "with a length": LENGTH + b"\r\nforeign",
    "in chunks": CHUNKED + b"\r\n7\r\nforeign\r\n0\r\nX-T: t\r\n\r\n",
    "with a trailer": CHUNKED + b"\r\n0\r\nCrocusward-Not-Executed: 1\r\n\r\n",
}


def make(status, lines, form):
    return b"HTTP/1.1 %s Odd\r\n%s%s" % (status.encode(), lines, FORMS[form])


class EntryDaemonTest(RelayTestCase):
    """Guards against callers that wait for, or get bytes of, an answer that is none."""

    state = desired(route(max_attempts=1, timeout_s=3.0), ORDER)

    async def play(self, path, *steps):
        """Return the answers to two requests, and how the first one ended."""
        script = [[*steps, 5.0], [reply("q2", b"second")]]
        loop = asyncio.get_running_loop()
        async with ScriptedServer(*script) as server:
            async with self.relay(server, state=self.state) as relay:
                client = await relay.client()
                began_s = loop.time()
                first = await client.ask("PUT", path, id="q1", body=b"x")
                took_s = loop.time() - began_s
                second = await client.ask("PUT", path, id="q2", body=b"x")
                ends = relay.relay._log.attempt_ends
                self.invalid_statuses = relay.pool.invalid_statuses
                return first, second, took_s, ends

    async def check_failure(self, path, *steps):
        first, second, took_s, ends = await self.play(path, *steps)
        self.assertEqual(first.status, 502)
        self.assertNotIn(b"foreign", first.body)
        self.assertLess(took_s, 1.0)  # its time limit is 3 s
        self.assertEqual((second.status, second.body), (200, b"second"))
        self.assertEqual(ends[("unknown", "no_answer")], 1)

    async def test_status_that_is_none_is_a_failure_at_once(self):
        for status in INVALID:
            for form in FORMS:
                for follower in (b"", reply("q1", b"own")):
                    with self.subTest(status=status, form=form, follower=follower[:12]):
                        data = make(status, OWN, form) + follower
                        await self.check_failure("/order/x", data)
                        self.assertEqual(self.invalid_statuses, 1)

    async def test_it_is_one_on_a_safe_route_and_in_pieces_too(self):
        for status in ("000", "099", "600"):
            with self.subTest(status=status):
                data = make(status, OWN, "with a length") + reply("q1", b"own")
                pieces = [data[i : i + 1] for i in range(len(data))]
                await self.check_failure("/look/x", *pieces)

    async def test_interim_answer_with_a_body_leaves_nothing_behind(self):
        """Guards against bytes or headers of one answer in the next."""
        for status in INTERIM:
            for form in FORMS:
                with self.subTest(status=status, form=form):
                    data = make(status, OWN, form) + reply("q1", b"own")
                    if form == "without a length":
                        first, _, _, _ = await self.play("/order/x", data)
                        self.assertEqual((first.status, first.body), (200, b"own"))
                    else:
                        await self.check_failure("/order/x", data)

    async def test_probe_of_such_a_server_tells_nothing(self):
        """Guards against health probes that believe such an answer."""
        async with ScriptedServer([make("000", b"", "with a length")]) as server:
            async with self.relay(server, state=self.state) as relay:
                (load,) = relay.book.loads.values()
                client = relay.crash_watch._client
                began_s = relay.timer.now()
                self.assertIsNone(await client.probe(load, "/health", 2.0))
                self.assertLess(relay.timer.now() - began_s, 1.0)


class PoolTest(PoolTestCase):
    """Guards against the same fault in other uses of the pool, such as the store."""

    async def test_status_that_is_none_is_lost_at_once(self):
        for status in INVALID:
            for form in FORMS:
                data = make(status, b"", form) + answer(b"own")
                async with ScriptedServer([data, 5.0]) as server:
                    with self.subTest(status=status, form=form):
                        with self.assertRaises(ExchangeLostError) as caught:
                            await self.send(server)
                        self.assertEqual(caught.exception.code, "invalid_status")


del PoolTestCase, RelayTestCase
