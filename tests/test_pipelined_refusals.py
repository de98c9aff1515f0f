"""Answers that end a connection on which later requests already run."""

import asyncio
import contextlib

from .entry_support import desired, route
from .scripted_server import ScriptedServer
from .test_relay import ORDER, RelayTestCase

LATE_MS = b"Crocusward-Deadline-Ms: 3000"
SOON_MS = b"Crocusward-Deadline-Ms: 800"


class EchoingServer(ScriptedServer):
    """Answers each request after a time, with its id."""

    def __init__(self):
        super().__init__()
        self.ids = []

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        id = head.lower().partition(b"crocusward-request-id: ")[2].split(b"\r\n")[0]
        self.ids.append(id)
        await asyncio.sleep(0.2)
        writer.write(
            b"HTTP/1.1 200 OK\r\nCrocusward-Request-Id: %s\r\n"
            b"crocusward-response-signature: d\r\nContent-Length: %d\r\n\r\n%s"
            % (id, len(id), id)
        )
        return True


class PipelinedRefusalTest(RelayTestCase):
    """Guards against refusals that cut the requests running behind them."""

    state = desired(route(timeout_s=5.0), ORDER)

    async def play(self, *requests, after_send=None):
        """Pipeline requests before a stop; return the answers and the ids that ran."""
        async with EchoingServer() as server, EchoingServer() as second:
            async with self.relay(server, second, state=self.state) as relay:
                relay.relay.stops_at_s = relay.timer.now() + 1.5
                client = await relay.client()
                for request in requests:
                    client.send(*request)
                if after_send is not None:
                    await asyncio.sleep(0.1)
                    after_send(relay)
                answers = []
                with contextlib.suppress(asyncio.IncompleteReadError):
                    while True:
                        answers.append(await client.raw.read())
        return answers, set(server.ids + second.ids)

    async def test_refusal_at_a_stop_leaves_running_requests_their_answers(self):
        get = ("GET", "/look/x")
        orders = (
            ((*get, SOON_MS), (*get, LATE_MS), (*get, SOON_MS)),
            ((*get, LATE_MS), (*get, SOON_MS), (*get, SOON_MS)),
            ((*get, SOON_MS), (*get, LATE_MS), (*get, LATE_MS), (*get, SOON_MS)),
        )
        for requests in orders:
            with self.subTest(requests=requests):
                answers, ran = await self.play(*requests)
                expected = [200 if r[2] == SOON_MS else 503 for r in requests]
                self.assertEqual([a.status for a in answers], expected)
                closes = [a.headers.get("connection") for a in answers]
                self.assertEqual(closes, [None] * (len(requests) - 1) + ["close"])
                self.assertEqual(len(ran), expected.count(200))

    async def test_unsafe_request_behind_a_refusal_is_not_started(self):
        answers, ran = await self.play(
            ("GET", "/look/x", LATE_MS),
            ("GET", "/look/x", SOON_MS),
            ("POST", "/order/x", SOON_MS),
            ("GET", "/look/x", SOON_MS),
        )
        self.assertEqual([a.status for a in answers], [503, 200])
        self.assertEqual(answers[-1].headers["connection"], "close")
        self.assertEqual(len(ran), 1)

    async def test_requests_that_end_with_the_daemon_are_all_answered(self):
        answers, _ = await self.play(
            *[("GET", "/look/x", SOON_MS)] * 3,
            after_send=lambda relay: relay.relay.end_calls(),
        )
        self.assertEqual([a.status for a in answers], [504, 504, 504])

    async def test_malformed_request_behind_running_ones_is_answered_last(self):
        def send_garbage(relay):
            garbage = b"\x00 nonsense\r\n\r\n"
            conn = next(iter(relay.listener.connections))
            conn.get_buffer(-1)[: len(garbage)] = garbage
            conn.buffer_updated(len(garbage))

        answers, _ = await self.play(
            *[("GET", "/look/x", SOON_MS)] * 2, after_send=send_garbage
        )
        self.assertEqual([a.status for a in answers], [200, 200, 400])
