"""Tests of request processing over sockets on loopback."""

import asyncio
import unittest
from unittest import mock

from crocusward.placing import Refused
from crocusward.relay import Relay

from .entry_support import RelayOnLoopback, backend, desired, reply, route
from .scripted_server import ScriptedServer

ORDER = route("order", "/order/", idempotent=False)
SHED = (
    b"HTTP/1.1 503 Service Unavailable\r\nCrocusward-Request-Id: q1\r\n"
    b"Crocusward-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


class RelayTestCase(unittest.IsolatedAsyncioTestCase):
    """Provides a relay in front of scripted servers."""

    def relay(self, *servers, state=None, **options):
        state = state or desired(route(), ORDER)
        entries = [
            backend(f"b{index}", port=server.port)
            for index, server in enumerate(servers)
        ]
        return RelayOnLoopback(*entries, state=state, **options)


class OwnAnswerTest(RelayTestCase):
    async def test_passes_request_and_answer_unchanged(self):
        """Guards against changed targets, headers, bodies or ids."""
        async with ScriptedServer([reply("q1", b"whole")]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                found = await client.ask("PUT", "/order/a?b=c", b"X-Own: 1", body=b"hi")
        self.assertEqual((found.status, found.body), (200, b"whole"))
        self.assertEqual(found.headers["crocusward-response-signature"], "d1")
        sent = server.requests[0].lower()
        self.assertTrue(sent.startswith(b"put /order/a?b=c http/1.1\r\n"))
        self.assertIn(b"host: api.example\r\n", sent)
        self.assertIn(b"x-own: 1\r\n", sent)
        self.assertIn(b"crocusward-expected-instance: b0\r\n", sent)
        self.assertTrue(sent.endswith(b"\r\n\r\nhi"))

    async def test_skips_late_second_answer_to_earlier_request(self):
        """Guards against returning the answer to an earlier request on a connection."""
        script = [
            [reply("q1", b"one")],
            [reply("q1", b"again"), reply("q2", b"two")],
        ]
        async with ScriptedServer(*script) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                first = await client.ask()
                second = await client.ask()
        self.assertEqual((first.body, second.body), (b"one", b"two"))

    async def test_answer_without_length_ends_with_connection(self):
        """Guards against rejecting an answer that is delimited by an orderly close."""
        head = reply("q1", b"").replace(b"Content-Length: 0\r\n", b"")
        async with ScriptedServer([head + b"to the end", "close"]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
        self.assertEqual((found.status, found.body), (200, b"to the end"))

    async def test_truncated_answer_is_not_passed_on(self):
        """Guards against a success status with a truncated body."""
        cut = reply("q1", b"0123456789")[:-4]
        async with ScriptedServer([cut, "close"]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
        self.assertEqual(found.status, 502)

    async def test_success_without_digest_is_a_failure(self):
        """Guards against passing on corrupt bytes of a faulty server."""
        bare = reply("q1", b"x").replace(b"crocusward-response-signature: d1\r\n", b"")
        async with ScriptedServer([bare]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
        self.assertEqual(found.status, 502)

    async def test_pipelined_answers_keep_their_order(self):
        """Guards against writing answers in the order in which servers finish."""
        async with (
            ScriptedServer([0.2, reply("q1", b"one")]) as slow,
            ScriptedServer([reply("q2", b"two")]) as quick,
        ):
            async with self.relay(slow) as relay:
                client = await relay.client()
                client.send()
                await asyncio.sleep(0.05)
                entry = backend("quick", port=quick.port)
                relay.directory.set_backend("quick", entry)
                client.send()
                first = await client.raw.read()
                second = await client.raw.read()
        self.assertEqual((first.body, second.body), (b"one", b"two"))


class AtMostOnceTest(RelayTestCase):
    async def test_non_idempotent_request_is_not_retried_after_a_lost_connection(self):
        """Guards against running a non-idempotent request twice."""
        async with (
            ScriptedServer(["close"]) as one,
            ScriptedServer(["close"]) as two,
        ):
            async with self.relay(one, two) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
            self.assertEqual(found.status, 502)
            self.assertEqual(len(one.requests) + len(two.requests), 1)

    async def test_non_idempotent_request_is_retried_when_it_did_not_run(self):
        """Guards against failing a request that another server could run."""
        async with (
            ScriptedServer([SHED]) as one,
            ScriptedServer([SHED]) as two,
        ):
            async with self.relay(one, two) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
            self.assertEqual(len(one.requests) + len(two.requests), 2)
        self.assertEqual(found.status, 503)
        self.assertIn("retry-after", found.headers)

    async def test_refusal_without_not_run_header_may_have_run(self):
        """Guards against reporting a request that may have run as not run."""
        plain = reply("q1", b"", b"503 Service Unavailable")
        async with ScriptedServer([plain]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
        self.assertEqual(found.status, 502)

    async def test_idempotent_request_is_retried_after_a_lost_connection(self):
        """Guards against failing an idempotent request while another server works."""
        async with (
            ScriptedServer(["close"]) as broken,
            ScriptedServer([reply("q1")]) as sound,
        ):
            async with self.relay(broken, sound) as relay:
                relay.book.loads[
                    "b1"
                ].own_in_flight = 1  # so that the broken server is selected first
                client = await relay.client()
                found = await client.ask()
        self.assertEqual(found.status, 200)
        self.assertEqual(len(broken.requests), 1)

    async def test_late_request_is_hedged_once_a_server_is_idle(self):
        """Guards against an idempotent request that waits only for a silent server."""
        slow = route(objective_s=0.4, timeout_s=3.0)
        async with (
            ScriptedServer([5.0]) as silent,
            ScriptedServer([reply("q1")]) as sound,
        ):
            async with self.relay(silent, sound, state=desired(slow)) as relay:
                other = relay.book.loads["b1"]
                other.own_in_flight = (
                    1  # busy when the request is sent and when the hedge is due
                )
                client = await relay.client()
                client.send()
                await asyncio.sleep(0.6)
                self.assertEqual(len(silent.requests), 1)
                other.own_in_flight = 0
                async with asyncio.timeout(1.0):
                    found = await client.raw.read()
        self.assertEqual(found.status, 200)

    async def test_retries_stay_within_the_budget(self):
        """Guards against a retry storm while all servers fail."""
        async with (
            ScriptedServer(["close"]) as one,
            ScriptedServer(["close"]) as two,
        ):
            async with self.relay(one, two, reserve=0.0) as relay:
                client = await relay.client()
                found = await client.ask()
            self.assertEqual(len(one.requests) + len(two.requests), 1)
        self.assertEqual(found.status, 502)


class CallerTest(RelayTestCase):
    async def test_exchange_is_cancelled_when_the_caller_disconnects(self):
        """Guards against work of servers for disconnected callers."""
        async with ScriptedServer([5.0]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                client.send()
                await asyncio.sleep(0.1)
                self.assertEqual(server.open_connections, 1)
                client.raw.close()
                await asyncio.sleep(0.2)
                self.assertEqual(server.open_connections, 0)
                self.assertEqual(relay.book.loads["b0"].own_in_flight, 0)

    async def test_answer_comes_at_the_timeout_of_the_route(self):
        """Guards against requests that exceed the timeout of their route."""
        quick = route("quick", "/quick/", timeout_s=0.2, idempotent=False)
        async with ScriptedServer([5.0]) as server:
            async with self.relay(server, state=desired(quick)) as relay:
                client = await relay.client()
                started_s = relay.timer.now()
                found = await client.ask("POST", "/quick/a", body=b"x")
                took_s = relay.timer.now() - started_s
        self.assertEqual(found.status, 504)
        self.assertLess(took_s, 0.5)

    async def test_time_left_is_passed_on(self):
        """Guards against servers that work past the deadline of the caller."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                await client.ask("GET", "/look/x", b"Crocusward-Deadline-Ms: 400")
        line = server.requests[0].lower().split(b"crocusward-deadline-ms: ")[1]
        self.assertLessEqual(int(line.split(b"\r\n")[0]), 400)

    async def test_unknown_path_is_404_and_unknown_state_is_503(self):
        """Guards against a 404 for a route that a newer desired state may have."""
        async with self.relay() as relay:
            client = await relay.client()
            self.assertEqual((await client.ask("GET", "/none/")).status, 404)
            relay.directory.state = None
            self.assertEqual((await client.ask("GET", "/none/")).status, 503)

    async def test_request_waits_for_the_rows_of_a_starting_daemon(self):
        """Guards against refusals between the start and the loading of the rows."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                relay.directory.has_backend_list = False
                client = await relay.client()
                client.send()
                await asyncio.sleep(0.05)
                relay.directory.has_backend_list = True
                relay.relay.start_gate.open_if_usable()
                self.assertEqual((await client.raw.read()).status, 200)

    async def test_request_without_rows_is_refused_after_the_start(self):
        """Guards against holding each request during a long outage of the store."""
        async with self.relay() as relay:
            relay.directory.has_backend_list = False
            client = await relay.client()
            first = await client.ask()
            began_s = relay.timer.now()
            second = await client.ask()
            self.assertLess(relay.timer.now() - began_s, 0.2)
        self.assertEqual([first.status, second.status], [503, 503])

    async def test_refuses_at_once_when_no_server_is_left(self):
        """Guards against queueing requests that cannot be served."""
        async with self.relay() as relay:
            client = await relay.client()
            started_s = relay.timer.now()
            found = await client.ask()
            self.assertLess(relay.timer.now() - started_s, 0.2)
        self.assertEqual(found.status, 503)
        self.assertGreater(float(found.headers["retry-after"]), 0.0)

    async def test_large_head_and_body_are_refused(self):
        """Guards against callers that exhaust the memory of the host."""
        async with self.relay() as relay:
            client = await relay.client()
            long = b"X-Long: " + b"a" * 5000
            self.assertEqual((await client.ask("GET", "/look/", long)).status, 431)
            client = await relay.client()
            big = b"x" * 30_000
            found = await client.ask("POST", "/order/", body=big)
            self.assertEqual(found.status, 413)

    async def test_malformed_request_ends_only_its_connection(self):
        """Guards against malformed input that affects other connections."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                bad = await relay.client()
                bad.raw.send(b"\x00\x01 nonsense\r\n\r\n")
                self.assertEqual((await bad.raw.read()).status, 400)
                self.assertTrue(await bad.raw.at_eof())
                client = await relay.client()
                self.assertEqual((await client.ask()).status, 200)

    async def test_two_lengths_are_refused(self):
        """Guards against request smuggling."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                client.raw.send(
                    b"POST /order/a HTTP/1.1\r\nHost: api.example\r\n"
                    b"Crocusward-Request-Id: q1\r\nContent-Length: 4\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                    b"GET /look/ HTTP/1.1\r\n"
                )
                self.assertEqual((await client.raw.read()).status, 400)
            self.assertEqual(server.requests, [])


class EligibilityTest(RelayTestCase):
    async def test_leaving_server_gets_nothing(self):
        """Guards against new requests for a server that is leaving."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                entry = backend("b0", port=server.port, leaving=True)
                relay.directory.set_backend("b0", entry)
                client = await relay.client()
                self.assertEqual((await client.ask()).status, 503)
            self.assertEqual(server.requests, [])

    async def test_request_stays_in_its_home_regions(self):
        """Guards against serving a request outside its home regions."""
        home = route("home", "/home/", regions=frozenset({"west"}))
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server, state=desired(home)) as relay:
                client = await relay.client()
                self.assertEqual((await client.ask("GET", "/home/")).status, 503)
            self.assertEqual(server.requests, [])


class StoppingTest(RelayTestCase):
    async def test_request_that_outlasts_the_stop_is_refused(self):
        """Guards against a planned stop that cuts off a request accepted too late."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                relay.relay.stops_at_s = relay.timer.now() + 0.5
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
                self.assertTrue(await client.raw.at_eof())
            self.assertEqual(server.requests, [])
        self.assertEqual(found.status, 503)
        self.assertIn("retry-after", found.headers)

    async def test_requests_that_outlast_the_stop_are_answered(self):
        """Guards against connections that end without an answer at the stop."""
        async with ScriptedServer([5.0]) as server:
            async with self.relay(server) as relay:
                running, waiting = await relay.client(), await relay.client()
                running.send("POST", "/order/a", body=b"x")
                await asyncio.sleep(0.1)
                relay.book.loads["b0"].own_in_flight = 2  # all slots
                waiting.send("POST", "/order/a", body=b"x")
                await asyncio.sleep(0.1)
                relay.relay.end_calls()
                async with asyncio.timeout(0.5):
                    statuses = [
                        (await client.raw.read()).status
                        for client in (running, waiting)
                    ]
            self.assertEqual(len(server.requests), 1)
        self.assertEqual(statuses, [504, 503])

    async def test_request_that_ends_before_the_stop_is_served(self):
        """Guards against refusing a request that can end before the stop."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                relay.relay.stops_at_s = relay.timer.now() + 5.0
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
        self.assertEqual(found.status, 200)


class InvariantTest(RelayTestCase):
    async def test_injected_retry_is_recorded_and_not_sent(self):
        """Guards against a check that cannot fail, or that only counts."""
        async with (
            ScriptedServer(["close"]) as one,
            ScriptedServer(["close"]) as two,
        ):
            async with self.relay(one, two) as relay:
                process_result = Relay._process_result

                def drop_first_result(self, call, result, others_run):
                    answer = process_result(self, call, result, others_run)
                    return None if call.attempts == 1 else answer

                with mock.patch.object(Relay, "_process_result", drop_first_result):
                    client = await relay.client()
                    found = await client.ask("POST", "/order/a", body=b"x")
                self.assertEqual(sum(relay.invariants.violations.values()), 1)
                relay.invariants.violations.clear()
        self.assertEqual(found.status, 502)
        self.assertEqual(len(one.requests) + len(two.requests), 1)

    async def test_refusal_of_a_request_under_way_is_recorded_and_not_sent(self):
        """Guards against 503 for a request that may have run."""
        async with ScriptedServer(["close"]) as server:
            async with self.relay(server) as relay:

                def refuse(*_):
                    raise Refused("no room", 0.1, code="no_room")

                with mock.patch.object(Relay, "_process_result", refuse):
                    client = await relay.client()
                    found = await client.ask("POST", "/order/a", body=b"x")
                self.assertEqual(sum(relay.invariants.violations.values()), 1)
                relay.invariants.violations.clear()
        self.assertEqual(found.status, 502)

    async def test_unexpected_error_is_logged_and_answered_with_502(self):
        """Guards against an unexpected error that leaves no log event."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                finished = []
                with (
                    mock.patch.object(
                        Relay, "_process_result", side_effect=KeyError("x")
                    ),
                    mock.patch.object(
                        type(relay.relay._log),
                        "finish",
                        lambda _, call, outcome, *args, **kwargs: finished.append(
                            outcome
                        ),
                    ),
                ):
                    client = await relay.client()
                    found = await client.ask("POST", "/order/a", body=b"x")
        self.assertEqual(found.status, 502)
        self.assertEqual(finished, ["internal_error"])
