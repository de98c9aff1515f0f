"""What the log says of the end of each attempt and of each refusal."""

import asyncio
import io
import shlex
import unittest
from unittest import mock

from crocusward.logs import EventSampler, start_logs
from crocusward.neighbours import BackendObservation, ObservationKind
from crocusward.relay import CallerAnswer, Evidence, Exchange, ExchangeEnd
from crocusward.upstream import HttpPool

from .entry_support import desired, reply, route
from .scripted_server import ScriptedServer
from .test_relay import ORDER, SHED, RelayTestCase

PAUSE_S = 0.1  # for a request to reach a server, or a disconnect to be noticed
UNNAMED = SHED.replace(b"Crocusward-Request-Id: q1\r\n", b"")
SLOW = route(objective_s=0.4, timeout_s=3.0)


class RequestLogTestCase(RelayTestCase):
    """Collects the log of a relay."""

    def setUp(self):
        self.stream = io.StringIO()
        self.pipe = start_logs(self.stream)
        self.addCleanup(self.pipe.close)

    def relay(self, *servers, per_second=100, **options):
        relay = super().relay(*servers, **options)
        relay.relay._log._sampler = EventSampler(relay.timer.now, per_second)
        self.ends = relay.relay._log.attempt_ends
        return relay

    def find(self, *events):
        """Return the fields of the lines of some events."""
        self.pipe.buffer.flush()
        lines = [
            dict(part.split("=", 1) for part in shlex.split(line))
            for line in self.stream.getvalue().splitlines()
        ]
        return [fields for fields in lines if fields["event"] in events]

    def assert_fields(self, fields, **expected):
        self.assertEqual({name: fields.get(name) for name in expected}, expected)


class AttemptEndTest(RequestLogTestCase):
    async def test_answer_names_its_evidence_and_what_was_skipped(self):
        """Guards against an answer whose origin cannot be found."""
        script = [reply("q1")], [reply("q1"), reply("q2")]
        async with ScriptedServer(*script) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                await client.ask()
                await client.ask()
        first, second = self.find("request_answered")
        own = {"send": "1", "sends": "1", "evidence": "own_answer"}
        self.assert_fields(first, **own, conn_exchange="1", skipped_answers="0")
        self.assert_fields(second, **own, conn_exchange="2", skipped_answers="1")
        self.assertEqual(self.ends, {("answered", "own_answer"): 2})

    async def test_count_of_skipped_lines_is_not_that_of_skipped_answers(self):
        """Guards against two counts under one name."""
        async with ScriptedServer([SHED]) as server:
            async with self.relay(server, per_second=1, reserve=0.0) as relay:
                client = await relay.client()
                for pause_s in (0.0, 1.0, 0.0):
                    await client.ask("POST", "/order/a", body=b"x", id="q1")
                    await asyncio.sleep(pause_s)
        last = self.find("attempt_failed")[-1]
        self.assert_fields(last, skipped="1", skipped_answers="0")

    async def test_caller_that_leaves_after_the_write(self):
        """Guards against a send whose end no line names."""
        async with ScriptedServer([5.0]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                client.send("POST", "/order/a", body=b"x")
                await asyncio.sleep(PAUSE_S)
                client.raw.close()
                await asyncio.sleep(PAUSE_S)
        (ended,) = self.find("attempt_abandoned")
        self.assert_fields(ended, id="q1", backend="b0", send="1", end="cancelled")
        self.assertEqual(ended["evidence"], "no_answer")
        (failed,) = self.find("request_failed")
        self.assert_fields(failed, outcome="caller_left", sends="1", basis=None)
        self.assertEqual(self.ends, {("cancelled", "no_answer"): 1})

    async def test_caller_that_leaves_before_the_write(self):
        """Guards against "may have run" for a request that was not written."""
        async with ScriptedServer([5.0]) as server:
            async with self.relay(server) as relay:
                connect = mock.patch.object(
                    HttpPool, "_connect", lambda *_: asyncio.sleep(5.0)
                )
                with connect:
                    client = await relay.client()
                    client.send("POST", "/order/a", body=b"x")
                    await asyncio.sleep(PAUSE_S)
                    client.raw.close()
                    await asyncio.sleep(PAUSE_S)
        (ended,) = self.find("attempt_abandoned")
        self.assert_fields(ended, end="cancelled", evidence="not_written")
        self.assertEqual(self.ends, {("cancelled", "not_written"): 1})

    async def test_attempt_that_outlives_its_request(self):
        """Guards against a send after a time limit or stop whose end no line names."""
        quick = route("order", "/order/", idempotent=False, timeout_s=0.3)
        async with ScriptedServer([0.4, reply("q1")]) as server:
            async with self.relay(server, state=desired(quick)) as relay:
                client = await relay.client()
                client.send("POST", "/order/a", body=b"x")
                await asyncio.sleep(PAUSE_S)
                relay.relay.end_calls()
                self.assertEqual((await client.raw.read()).status, 504)
                await asyncio.sleep(PAUSE_S)
        (ended,) = self.find("attempt_abandoned", "attempt_failed")
        self.assert_fields(ended, send="1", evidence="no_answer")
        self.assertEqual(sum(self.ends.values()), 1)

    async def test_lost_hedge(self):
        """Guards against a second send whose end no line names."""
        async with (
            ScriptedServer([5.0]) as silent,
            ScriptedServer([reply("q1")]) as sound,
        ):
            state = desired(SLOW)
            async with self.relay(silent, sound, state=state) as relay:
                relay.book.loads["b1"].own_in_flight = 1
                client = await relay.client()
                client.send()
                await asyncio.sleep(PAUSE_S)
                relay.book.loads["b1"].own_in_flight = 0
                self.assertEqual((await client.raw.read()).status, 200)
                await asyncio.sleep(0.4)
        (answered,) = self.find("request_answered")
        self.assert_fields(answered, backend="b1", send="2", sends="2")
        (ended,) = self.find("attempt_abandoned")
        self.assert_fields(ended, backend="b0", send="1", end="cancelled")
        self.assertEqual(
            self.ends, {("answered", "own_answer"): 1, ("cancelled", "no_answer"): 1}
        )

    async def test_attempts_that_end_at_once(self):
        """Guards against a send without a line since another one ended with it."""
        both = asyncio.Event()
        count = 0

        async def send(load, req, time_left_s, *, before_write):
            nonlocal count
            before_write()
            count += 1
            if count == 2:
                both.set()
            await both.wait()
            observation = BackendObservation(load.entry.id, ObservationKind.ANSWERED)
            return Exchange(
                ExchangeEnd.ANSWERED,
                observation,
                CallerAnswer(200),
                evidence=Evidence.OWN_ANSWER,
            )

        async with ScriptedServer([5.0]) as one, ScriptedServer([5.0]) as two:
            async with self.relay(one, two, state=desired(SLOW)) as relay:
                relay.relay._client = mock.Mock(
                    send=send, idle_connections=lambda load: 0
                )
                client = await relay.client()
                self.assertEqual((await client.ask()).status, 200)
                await asyncio.sleep(PAUSE_S)
        self.assertEqual(count, 2)
        ended = self.find("request_answered", "attempt_abandoned")
        self.assertEqual({item["send"] for item in ended}, {"1", "2"})
        self.assertEqual(len(ended), 2)
        self.assertEqual(self.ends, {("answered", "own_answer"): 2})


class RefusalBasisTest(RequestLogTestCase):
    """Guards against a refusal that does not say why the request has not run."""

    async def ask_order(self, *script):
        async with ScriptedServer(*script) as server:
            async with self.relay(server, state=desired(route(), ORDER)) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
        (ended,) = self.find("request_failed")
        self.assertEqual(ended["status"], str(found.status))
        return ended

    async def test_refusal_of_the_server(self):
        ended = await self.ask_order([SHED])
        self.assert_fields(ended, status="503", basis="own_refusal")
        (attempt, *_) = self.find("attempt_failed")
        self.assert_fields(attempt, end="not_run", evidence="own_refusal", send="1")

    async def test_refusal_that_names_no_request_is_no_basis(self):
        ended = await self.ask_order([UNNAMED])
        self.assert_fields(ended, status="502", basis=None)
        (attempt,) = self.find("attempt_failed")
        self.assert_fields(attempt, end="unknown", evidence="unnamed_refusal")

    async def test_server_that_cannot_be_reached(self):
        async with ScriptedServer([SHED]) as server:
            pass  # nobody listens at its port any more
        async with self.relay(server, reserve=0.0) as relay:
            client = await relay.client()
            self.assertEqual((await client.ask()).status, 503)
        (ended,) = self.find("request_failed")
        self.assert_fields(ended, status="503", basis="not_written")

    async def test_request_that_was_not_sent(self):
        async with self.relay() as relay:
            client = await relay.client()
            await client.ask()
            await client.ask("GET", "/none/")
        (ended,) = self.find("request_failed")
        self.assert_fields(ended, status="503", basis="not_started", sends="0")
        (refused,) = self.find("request_refused")
        self.assert_fields(refused, id="q2", status="404", basis="not_started")


class NotStartedTest(RequestLogTestCase):
    """Guards against requests that end before their start without a line."""

    async def check(self, status, *args, **options):
        async with self.relay() as relay:
            if status == 503:
                relay.relay._max_reserved_body_bytes = 1
            client = await relay.client()
            self.assertEqual((await client.ask(*args, **options)).status, status)
        (found,) = self.find("request_not_started")
        self.assert_fields(found, id="q1", status=str(status), basis="not_started")
        self.assertTrue(found["reason"])

    async def test_head_that_is_too_large(self):
        await self.check(431, "GET", "/look/", b"X-Long: " + b"a" * 5000)

    async def test_body_that_is_too_large(self):
        await self.check(413, "POST", "/order/", body=b"x" * 30_000)

    async def test_body_without_memory(self):
        await self.check(503, "POST", "/order/", body=b"x" * 100)

    async def test_malformed_request(self):
        line = b"Content-Length: 1"
        await self.check(400, "POST", "/order/", line, b"Transfer-Encoding: chunked")

    async def test_malformed_target(self):
        await self.check(400, "GET", "http://api.example/")

    async def test_malformed_data_is_not_blamed_on_the_request_before(self):
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                await client.ask()
                client.raw.send(b"\x00\x01 nonsense\r\n\r\n")
                self.assertEqual((await client.raw.read()).status, 400)
        (found,) = self.find("request_not_started")
        self.assert_fields(found, id="", status="400")

    async def test_head_and_body_that_take_too_long(self):
        head = b"POST /order/a HTTP/1.1\r\nCrocusward-Request-Id: q7\r\nHost:"
        whole = head + b" api.example\r\nContent-Length: 9\r\n\r\nx"
        async with self.relay() as relay:
            for data in (head, whole):
                client = await relay.client()
                client.raw.send(data)
                await asyncio.sleep(PAUSE_S)
                (conn,) = relay.listener.connections
                conn.check_timeouts(relay.timer.now() + 60.0)
                self.assertEqual((await client.raw.read()).status, 408)
                client.raw.close()
                await asyncio.sleep(PAUSE_S)
        found = self.find("request_not_started")
        self.assertEqual([item["status"] for item in found], ["408", "408"])
        self.assertEqual([item["id"] for item in found], ["q7", "q7"])

    async def test_request_behind_the_last_answer_of_a_connection(self):
        """Guards against a request that its caller sends again without a line."""
        async with self.relay() as relay:
            relay.relay.stops_at_s = relay.timer.now()
            client = await relay.client()
            client.send("POST", "/order/a", body=b"x")
            client.send("POST", "/order/a", body=b"x")
            self.assertEqual((await client.raw.read()).status, 503)
            self.assertTrue(await client.raw.at_eof())
        self.assertEqual(
            [item["id"] for item in self.find("request_not_started")], ["q2"]
        )


if __name__ == "__main__":
    unittest.main()
