"""Answers that name no request, several, or that deny the not-run mark."""

import unittest

from crocusward.neighbours import ObservationKind
from crocusward.relay._evidence import Evidence
from crocusward.relay._messages import CallerRequest

from .entry_support import reply
from .scripted_server import ScriptedServer
from .test_faulty_answers import UNNAMED_REFUSAL
from .test_relay import SHED, RelayTestCase
from .test_repeated_ids import CopyingServer

PROBE_ANSWER = b"HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n"
UNNAMED_MISDIRECTED = UNNAMED_REFUSAL.replace(b"503 Service Unavailable", b"421 Other")


class UnnamedAnswerTest(RelayTestCase):
    async def send(self, relay):
        """Send a request to the only server; return what was observed."""
        req = CallerRequest(
            "POST",
            "/order/a",
            "api.example",
            [(b"crocusward-request-id", b"q1")],
            id=b"q1",
            received_s=relay.timer.now(),
            time_left_s=None,
        )
        load = relay.book.loads["b0"]
        return await relay.relay._client.send(load, req, 1.0, before_write=bool)

    async def test_unnamed_misdirected_keeps_the_rate_limit(self):
        """Guards against a limit that ends on the word of another server."""
        limited = PROBE_ANSWER % b"Server-Limit: 5\r\nConnection: close\r\n"
        script = [limited, "close"], [UNNAMED_MISDIRECTED]
        async with ScriptedServer(*script) as server:
            async with self.relay(server) as relay:
                load = relay.book.loads["b0"]
                report = await relay.relay._client.probe(load, "/health", 1.0)
                relay.rate_limits.observe(load, report)
                self.assertEqual(load.rate_limit.per_s, 5.0)
                result = await self.send(relay)
                relay.rate_limits.observe(load, result.observation)
        self.assertEqual(load.rate_limit.per_s, 5.0)

    async def test_unnamed_misdirected_says_nothing_of_the_server(self):
        """Guards against a server that a copied 421 puts out of use."""
        async with ScriptedServer([UNNAMED_MISDIRECTED]) as server:
            async with self.relay(server) as relay:
                result = await self.send(relay)
        self.assertIsNot(result.observation.kind, ObservationKind.MISDIRECTED)

    async def test_unnamed_refusal_closes_its_connection(self):
        """Guards against the late answer to a refused request on the next exchange."""
        async with ScriptedServer([UNNAMED_REFUSAL], [reply("q1")]) as server:
            async with self.relay(server) as relay:
                await self.send(relay)
                await self.send(relay)
            self.assertEqual(server.connections, 2)

    async def test_copy_of_the_refusal_of_a_probe_is_skipped(self):
        """Guards against 502 for a request whose own answer follows."""
        own = reply("q1", b"one")
        async with CopyingServer(UNNAMED_REFUSAL, own) as server:
            async with self.relay(server) as relay:
                load = relay.book.loads["b0"]
                await relay.relay._client.probe(load, "/health", 1.0)
                result = await self.send(relay)
        self.assertEqual(result.evidence, Evidence.OWN_ANSWER)
        self.assertEqual(result.answer.body, b"one")

    async def test_empty_id_in_the_answer_to_a_probe_names_no_request(self):
        """Guards against missed probes of a server that echoes an absent id."""
        report = PROBE_ANSWER % b"Crocusward-Request-Id: \r\n"
        async with ScriptedServer([report]) as server:
            async with self.relay(server) as relay:
                load = relay.book.loads["b0"]
                found = await relay.relay._client.probe(load, "/health", 0.3)
        self.assertIsNotNone(found)


class TwoIdsTest(RelayTestCase):
    async def test_request_with_two_ids_is_answered_in_time(self):
        """Guards against waiting for one id when the server echoes both."""
        line = b"Crocusward-Request-Id: q2"
        async with ScriptedServer([reply("q1", b"one", b"200 OK", line)]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", line, body=b"x")
        self.assertIn(found.status, (200, 400))


class NotRunMarkTest(RelayTestCase):
    async def test_mark_with_the_value_zero_proves_nothing(self):
        """Guards against a second run after an answer that denies the mark."""
        denied = SHED.replace(b"Not-Executed: 1", b"Not-Executed: 0")
        async with (
            ScriptedServer([denied]) as server,
            ScriptedServer([reply("q1", b"other")]) as other,
        ):
            async with self.relay(server, other) as relay:
                relay.book.loads["b1"].own_in_flight = 1
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
            self.assertEqual((found.status, len(other.requests)), (502, 0))


if __name__ == "__main__":
    unittest.main()
