"""Parsing of requests and form of answers of the HTTP server."""

import asyncio
import json

from crocusward.errors import Attempt, Outcome, Refusal, RefusalCode
from crocusward.invariants import InvariantName
from crocusward.model import Reply

from .server_case import ServerTestCase


class RequestTest(ServerTestCase):
    async def test_call_carries_what_the_caller_sent(self):
        """Guards against lost headers and secrets passed on to backends."""
        got = await self.ask(
            "POST",
            "/svc/a%2Fb/%7Ec?q=1",
            b"Idempotency-Key: k1",
            b"X-Request-Id: r1",
            b"Crocusward-Deadline-Ms: 500",
            b"Crocusward-Depth: 2",
            b"Crocusward-Key: secret",
            b"Connection: x-hop",
            b"X-Hop: 1",
            b"X-End: 2",
            body=b"abc",
        )
        self.assertEqual((got.status, got.body), (200, b"POST /a%2Fb/~c?q=1 abc"))
        self.assertEqual(got.headers["x-request-id"], "r1")
        self.assertEqual(got.headers["crocusward-next-key"], "next1")
        call = self.handler.calls[0]
        self.assertEqual((call.service, call.key, call.depth), ("svc", "k1", 2))
        self.assertAlmostEqual(call.deadline_s - call.received_s, 0.5)
        self.assertEqual(call.headers, [(b"idempotency-key", b"k1"), (b"x-end", b"2")])

    async def test_deadline_is_capped_and_ids_are_made(self):
        """Guards against unlimited deadlines and requests without an id."""
        first = await self.ask("GET", "/svc", b"Crocusward-Deadline-Ms: 99999")
        second = await self.ask("GET", "/svc")
        call = self.handler.calls[0]
        self.assertAlmostEqual(call.deadline_s - call.received_s, 2.0)
        self.assertEqual(call.path, "/")
        ids = {first.headers["x-request-id"], second.headers["x-request-id"]}
        self.assertEqual(len(ids), 2)

    async def test_malformed_heads_are_refused(self):
        """Guards against requests that two servers would read differently."""
        cases = [
            ("GET", "/svc/x", b"Crocusward-Depth: 30"),
            ("GET", "/svc/x", b"Crocusward-Depth: -1"),
            ("GET", "/svc/x", b"Crocusward-Deadline-Ms: 0"),
            ("GET", "/svc/x", b"Crocusward-Deadline-Ms: 1e3"),
            ("GET", "/svc/x", b"X-Request-Id: a b"),
            ("GET", "/svc/x", b"X-Request-Id: " + b"a" * 129),
            ("GET", "/svc/x", b"Idempotency-Key: k1", b"Idempotency-Key: k1"),
            ("GET", "/svc/x", b"Crocusward-Contract: c2"),
            ("GET", "/svc/x", b"Transfer-Encoding: gzip, chunked"),
            ("POST", "/svc/x", b"Transfer-Encoding: chunked", b"Content-Length: 3"),
            ("POST", "/svc/x", b"Content-Length: 3", b"Content-Length: 4"),
            ("POST", "/svc/x", b"Content-Length: 3", b"Content-Length: 3"),
            ("POST", "/svc/x", b"Content-Length: +3"),
            ("GET", "/svc/../x"),
            ("GET", "/svc/%2e%2E/x"),
            ("GET", "/svc//x"),
            ("TRACE", "/svc/x"),
            ("CONNECT", "h:1"),
            ("GET", "/svc/\x01"),
        ]
        for case in cases:
            with self.subTest(case):
                got = await self.ask(*case)
                self.assertEqual(got.status, 400)
                self.assertEqual(json.loads(got.body)["code"], "bad_request")
                # An earlier attempt under a key may have run.
                has_key = any(b"Idempotency-Key" in line for line in case[2:])
                expected = "unknown" if has_key else "not-run"
                self.assertEqual(got.headers["crocusward-outcome"], expected)
        self.assertEqual(self.handler.calls, [])

    async def test_head_and_bodiless_answers(self):
        """Guards against bodies where HTTP allows none."""
        client = await self.connect()
        client.request("HEAD")
        got = await client.read(is_head=True)
        self.assertNotIn("transfer-encoding", got.headers)
        self.handler.answer = lambda call: Reply(
            call.request_id, 200, [(b"content-length", b"7")], b"", "b1"
        )
        client.request("HEAD")
        self.assertEqual(
            (await client.read(is_head=True)).headers["content-length"], "7"
        )
        self.handler.answer = lambda call: Reply(call.request_id, 204, [], b"", "b1")
        client.request("GET")
        self.assertNotIn("content-length", (await client.read()).headers)
        self.handler.answer = None
        client.request("GET")
        self.assertEqual((await client.read()).body, b"GET /x ")

    async def test_chunked_body_and_expectation(self):
        """Guards against a caller that waits for 100 Continue without end."""
        client = await self.connect()
        client.request("POST", "/svc/x", b"Expect: 100-continue", b"content-length: 3")
        self.assertEqual((await client.read()).status, 100)
        client.send(b"abc")
        self.assertEqual((await client.read()).body, b"POST /x abc")
        client.request("POST", "/svc/x", b"Transfer-Encoding: chunked")
        client.send(b"2\r\nab\r\n")
        await asyncio.sleep(0.01)
        client.send(b"1\r\nc\r\n0\r\n\r\n")
        self.assertEqual((await client.read()).body, b"POST /x abc")

    async def test_offered_upgrade_is_ignored_with_and_without_a_body(self):
        """Guards against a body that is parsed as the next request."""
        upgrade = (b"Connection: Upgrade", b"Upgrade: h2c")
        client = await self.connect()
        for body in (b"", b"GET /svc/y HTTP/1.1\r\n\r\n"):
            client.request("POST", "/svc/x", *upgrade, body=body)
            got = await client.read()
            self.assertEqual((got.status, got.body), (200, b"POST /x " + body))
            self.assertNotIn("connection", got.headers)
        self.assertEqual(len(self.handler.calls), 2)


class RefusalTest(ServerTestCase):
    async def test_refusal_has_body_headers_and_retry_time(self):
        """Guards against a refusal that leaves the outcome open."""

        def refuse(call):
            raise Refusal(
                RefusalCode.CLAIM_UNAVAILABLE,
                "the table service is down",
                outcome=Outcome.UNKNOWN,
                attempt=Attempt.NOT_SENT,
                retry_after_s=0.2,
            )

        self.handler.answer = refuse
        got = await self.ask("POST", "/svc/x", b"X-Request-Id: r1", body=b"1")
        self.assertEqual((got.status, got.headers["retry-after"]), (503, "1"))
        self.assertEqual(got.headers["crocusward-code"], "claim_unavailable")
        self.assertEqual(got.headers["crocusward-outcome"], "unknown")
        self.assertEqual(
            json.loads(got.body),
            {
                "code": "claim_unavailable",
                "reason": "the table service is down",
                "outcome": "unknown",
                "attempt": "not-sent",
                "request_id": "r1",
            },
        )

    async def test_wrong_region_is_refused_before_the_body(self):
        """Guards against a body that is read outside its home regions."""
        self.handler.region_refusal = Refusal(RefusalCode.WRONG_REGION, "go to bkk")
        client = await self.connect()
        client.request("POST", "/svc/x", b"content-length: 50000")
        self.assertEqual((await client.read()).status, 421)
        self.assertEqual(self.handler.calls, [])

    async def test_refusal_instead_of_100_continue_ends_the_connection(self):
        """Guards against a next request that is taken for the missing body."""
        self.handler.region_refusal = Refusal(RefusalCode.WRONG_REGION, "go to bkk")
        client = await self.connect()
        client.request("POST", "/svc/x", b"Expect: 100-continue", b"content-length: 3")
        got = await client.read()
        self.assertEqual((got.status, got.headers["connection"]), (421, "close"))
        client.request("GET")
        self.assertTrue(await client.at_eof())

    async def test_refusal_after_a_chunked_body_keeps_the_connection(self):
        """Guards against a new connection for each refusal under overload."""

        def refuse(call):
            raise Refusal(RefusalCode.QUEUE_FULL, "the queue is full")

        self.handler.answer = refuse
        client = await self.connect()
        for _ in range(2):
            client.request("POST", "/svc/x", b"Transfer-Encoding: chunked")
            client.send(b"1\r\nc\r\n0\r\n\r\n")
            got = await client.read()
            self.assertEqual(got.status, 503)
            self.assertNotIn("connection", got.headers)

    async def test_too_large_bodies_are_refused(self):
        """Guards against unbounded memory for request bodies."""
        announced = await self.ask("POST", "/svc/x", b"content-length: 100001")
        self.assertEqual(announced.status, 413)
        client = await self.connect()
        client.request("POST", "/svc/x", b"Transfer-Encoding: chunked")
        for _ in range(4):
            client.send(b"8000\r\n" + b"x" * 0x8000 + b"\r\n")
        got = await client.read()
        self.assertEqual((got.status, got.headers["connection"]), (413, "close"))
        self.handler.body_limit = lambda contract: 10
        self.assertEqual((await self.ask("POST", body=b"x" * 11)).status, 413)
        client = await self.connect()
        client.request("POST", "/svc/x", b"Transfer-Encoding: chunked")
        client.send(b"b\r\n" + b"x" * 11 + b"\r\n0\r\n\r\n")
        self.assertEqual((await client.read()).status, 413)
        self.assertEqual((await self.ask("POST", body=b"x" * 10)).status, 200)
        self.handler.calls.clear()
        self.assertEqual(self.handler.calls, [])

    async def test_refusal_arrives_while_the_caller_still_sends(self):
        """Guards against a reset that makes the caller lose the refusal."""
        client = await self.connect()
        client.request("POST", "/svc/x", b"content-length: 9000000")
        await asyncio.sleep(0.05)
        for _ in range(20):
            client.send(b"x" * 100_000)
            await client.writer.drain()
        self.assertEqual((await client.read()).status, 413)
        self.assertTrue(await client.at_eof())
        client.close()
        await asyncio.sleep(0.05)
        self.assertEqual(self.server.connections, 0)

    async def test_body_that_does_not_arrive_is_refused(self):
        """Guards against a request that holds memory without end."""
        client = await self.connect()
        client.request(
            "POST", "/svc/x", b"Crocusward-Deadline-Ms: 50", b"content-length: 5"
        )
        got = await client.read()
        self.assertEqual(got.headers["crocusward-code"], "deadline_exceeded")
        self.assertEqual(got.headers["crocusward-outcome"], "not-run")

    async def test_answer_of_another_request_is_not_sent(self):
        """Guards against crossed answers from the request pipeline."""
        self.handler.answer = lambda call: Reply("other", 200, [], b"secret", "b1")
        got = await self.ask("GET")
        self.assertEqual(got.status, 502)
        self.assertNotIn(b"secret", got.body)
        self.assertEqual(self.invariants.violations[InvariantName.OWN_ANSWER], 1)

    async def test_fault_in_the_handler_has_unknown_outcome(self):
        """Guards against a fault that is reported as not run."""
        self.handler.answer = lambda call: 1 // 0
        got = await self.ask("GET")
        self.assertEqual(got.status, 500)
        self.assertEqual(got.headers["crocusward-outcome"], "unknown")
        self.assertEqual(len(self.errors), 1)


class OwnPathTest(ServerTestCase):
    async def test_keys_outcomes_health_and_metrics(self):
        """Guards against paths of crocusward that are passed to backends."""
        keys = await self.ask("POST", "/-/keys?count=2")
        self.assertEqual(json.loads(keys.body), {"keys": ["k0", "k1"]})
        for path in ("/-/keys?count=0", "/-/keys?count=99999", "/-/keys?n=1"):
            self.assertEqual((await self.ask("POST", path)).status, 400)
        got = json.loads((await self.ask("GET", "/-/outcomes/k1")).body)
        self.assertEqual(got, {"key": "k1", "state": "answered", "status": 200})
        unknown = await self.ask("GET", "/-/outcomes/k1", b"crocusward-contract: c2")
        self.assertEqual(unknown.status, 400)
        self.assertEqual((await self.ask("GET", "/-/live")).status, 200)
        self.assertEqual((await self.ask("GET", "/-/ready")).status, 200)
        self.handler.is_ready = False
        self.assertEqual((await self.ask("GET", "/-/ready")).status, 503)
        self.assertEqual((await self.ask("GET", "/-/metrics")).body, b"requests 1\n")
        self.assertEqual((await self.ask("GET", "/-/other")).status, 404)
        self.assertEqual(self.handler.calls, [])
