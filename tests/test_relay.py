"""The path of a request, with real sockets on loopback."""

import asyncio
import unittest
from unittest import mock

from crocusward.relay import Relay

from .entry_support import RelayOnLoopback, backend, desired, reply, route
from .scripted_server import ScriptedServer

ORDER = route("order", "/order/", idempotent=False)
SHED = (
    b"HTTP/1.1 503 Service Unavailable\r\nCrocusward-Request-Id: q1\r\n"
    b"Crocusward-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


class RelayTestCase(unittest.IsolatedAsyncioTestCase):
    """Has a shorthand for a relay before scripted servers."""

    def relay(self, *servers, state=None, **options):
        state = state or desired(route(), ORDER)
        entries = [
            backend(f"b{index}", port=server.port)
            for index, server in enumerate(servers)
        ]
        return RelayOnLoopback(*entries, state=state, **options)


class OwnAnswerTest(RelayTestCase):
    async def test_passes_request_and_answer_unchanged(self):
        """Guards against changed paths, bodies or ids."""
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
        """Guards against handing one caller the answer of another."""
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
        """Guards against refusing an answer that ends with an orderly close."""
        head = reply("q1", b"").replace(b"Content-Length: 0\r\n", b"")
        async with ScriptedServer([head + b"to the end", "close"]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
        self.assertEqual((found.status, found.body), (200, b"to the end"))

    async def test_cut_answer_is_never_passed_as_whole(self):
        """Guards against a success with half a body."""
        cut = reply("q1", b"0123456789")[:-4]
        async with ScriptedServer([cut, "close"]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
        self.assertEqual(found.status, 502)

    async def test_success_without_digest_is_no_success(self):
        """Guards against passing on bytes that a broken server made up."""
        bare = reply("q1", b"x").replace(b"crocusward-response-signature: d1\r\n", b"")
        async with ScriptedServer([bare]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
        self.assertEqual(found.status, 502)

    async def test_pipelined_answers_keep_their_order(self):
        """Guards against answers in the order in which servers finish."""
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
    async def test_non_idempotent_request_is_not_repeated_after_a_break(self):
        """Guards against running an order twice."""
        async with (
            ScriptedServer(["close"]) as one,
            ScriptedServer(["close"]) as two,
        ):
            async with self.relay(one, two) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
            self.assertEqual(found.status, 502)
            self.assertEqual(len(one.requests) + len(two.requests), 1)

    async def test_non_idempotent_request_is_repeated_when_it_did_not_run(self):
        """Guards against failing an order that another server could run."""
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

    async def test_refusal_without_mark_promises_nothing(self):
        """Guards against calling an order not run that may have run."""
        plain = reply("q1", b"", b"503 Service Unavailable")
        async with ScriptedServer([plain]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
        self.assertEqual(found.status, 502)

    async def test_idempotent_request_is_repeated_after_a_break(self):
        """Guards against failing a look-up although another server lives."""
        async with (
            ScriptedServer(["close"]) as broken,
            ScriptedServer([reply("q1")]) as sound,
        ):
            async with self.relay(broken, sound) as relay:
                relay.book.loads[
                    "b1"
                ].own_in_flight = 1  # the broken one is chosen first
                client = await relay.client()
                found = await client.ask()
        self.assertEqual(found.status, 200)
        self.assertEqual(len(broken.requests), 1)

    async def test_late_request_is_repeated_once_a_server_is_idle(self):
        """Guards against a lookup that stays with a silent server to its end."""
        slow = route(objective_s=0.4, timeout_s=3.0)
        async with (
            ScriptedServer([5.0]) as silent,
            ScriptedServer([reply("q1")]) as sound,
        ):
            async with self.relay(silent, sound, state=desired(slow)) as relay:
                other = relay.book.loads["b1"]
                other.own_in_flight = (
                    1  # busy when the request is sent, and when it is late
                )
                client = await relay.client()
                client.send()
                await asyncio.sleep(0.6)
                self.assertEqual(len(silent.requests), 1)
                other.own_in_flight = 0
                async with asyncio.timeout(1.0):
                    found = await client.raw.read()
        self.assertEqual(found.status, 200)

    async def test_repeats_stay_within_the_budget(self):
        """Guards against a flood of repeats while all servers fail."""
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
    async def test_work_ends_when_the_caller_leaves(self):
        """Guards against servers that work for callers who have left."""
        async with ScriptedServer([5.0]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                client.send()
                await asyncio.sleep(0.1)
                self.assertEqual(server.open, 1)
                client.raw.close()
                await asyncio.sleep(0.2)
                self.assertEqual(server.open, 0)
                self.assertEqual(relay.book.loads["b0"].own_in_flight, 0)

    async def test_answer_comes_at_the_timeout_of_the_route(self):
        """Guards against requests that are held beyond the operators' limit."""
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
        """Guards against servers that work longer than the caller waits."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                client = await relay.client()
                await client.ask("GET", "/look/x", b"Crocusward-Deadline-Ms: 400")
        line = server.requests[0].lower().split(b"crocusward-deadline-ms: ")[1]
        self.assertLessEqual(int(line.split(b"\r\n")[0]), 400)

    async def test_unknown_path_is_404_and_unknown_state_is_503(self):
        """Guards against denying what a newer desired state may allow."""
        async with self.relay() as relay:
            client = await relay.client()
            self.assertEqual((await client.ask("GET", "/none/")).status, 404)
            relay.directory.state = None
            self.assertEqual((await client.ask("GET", "/none/")).status, 503)

    async def test_request_waits_for_the_rows_of_a_starting_daemon(self):
        """Guards against refusals in the moment between the start and the rows."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                relay.directory.listed = False
                client = await relay.client()
                client.send()
                await asyncio.sleep(0.05)
                relay.directory.listed = True
                relay.relay.start_gate.rows_arrived()
                self.assertEqual((await client.raw.read()).status, 200)

    async def test_request_without_rows_is_refused_after_the_start(self):
        """Guards against holding requests while the store is away for long."""
        async with self.relay() as relay:
            relay.directory.listed = False
            client = await relay.client()
            first = await client.ask()
            began_s = relay.timer.now()
            second = await client.ask()
            self.assertLess(relay.timer.now() - began_s, 0.2)
        self.assertEqual([first.status, second.status], [503, 503])

    async def test_refuses_at_once_when_no_server_is_left(self):
        """Guards against holding requests that cannot be served."""
        async with self.relay() as relay:
            client = await relay.client()
            started_s = relay.timer.now()
            found = await client.ask()
            self.assertLess(relay.timer.now() - started_s, 0.2)
        self.assertEqual(found.status, 503)
        self.assertGreater(float(found.headers["retry-after"]), 0.0)

    async def test_large_head_and_body_are_refused(self):
        """Guards against callers that exhaust memory."""
        async with self.relay() as relay:
            client = await relay.client()
            long = b"X-Long: " + b"a" * 5000
            self.assertEqual((await client.ask("GET", "/look/", long)).status, 431)
            client = await relay.client()
            big = b"x" * 30_000
            found = await client.ask("POST", "/order/", body=big)
            self.assertEqual(found.status, 413)

    async def test_malformed_request_ends_only_its_connection(self):
        """Guards against bytes that bring the daemon down."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                bad = await relay.client()
                bad.raw.send(b"\x00\x01 nonsense\r\n\r\n")
                self.assertEqual((await bad.raw.read()).status, 400)
                self.assertTrue(await bad.raw.at_eof())
                client = await relay.client()
                self.assertEqual((await client.ask()).status, 200)

    async def test_two_lengths_are_refused(self):
        """Guards against a request smuggled inside another."""
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


class LeavingTest(RelayTestCase):
    async def test_leaving_server_gets_nothing(self):
        """Guards against new work for a server that is about to end."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                entry = backend("b0", port=server.port, leaving=True)
                relay.directory.set_backend("b0", entry)
                client = await relay.client()
                self.assertEqual((await client.ask()).status, 503)
            self.assertEqual(server.requests, [])

    async def test_home_regions_are_kept(self):
        """Guards against serving a request outside its home regions."""
        home = route("home", "/home/", regions=frozenset({"west"}))
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server, state=desired(home)) as relay:
                client = await relay.client()
                self.assertEqual((await client.ask("GET", "/home/")).status, 503)
            self.assertEqual(server.requests, [])


class StoppingTest(RelayTestCase):
    async def test_request_that_outlasts_the_stop_is_refused(self):
        """Guards against a planned stop that cuts a request taken too late."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                relay.relay.stops_at_s = relay.timer.now() + 0.5
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
                self.assertTrue(await client.raw.at_eof())
            self.assertEqual(server.requests, [])
        self.assertEqual(found.status, 503)
        self.assertIn("retry-after", found.headers)

    async def test_request_that_ends_before_the_stop_is_served(self):
        """Guards against refusing what a stopping daemon can still answer."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                relay.relay.stops_at_s = relay.timer.now() + 5.0
                client = await relay.client()
                found = await client.ask("POST", "/order/a", body=b"x")
        self.assertEqual(found.status, 200)


class InvariantTest(RelayTestCase):
    async def test_planted_repeat_is_recorded(self):
        """Guards against a check inside the program that cannot fail."""
        async with (
            ScriptedServer(["close"]) as one,
            ScriptedServer(["close"]) as two,
        ):
            async with self.relay(one, two) as relay:
                judge = Relay._judge

                def forget_first(self, call, result, others_run):
                    answer = judge(self, call, result, others_run)
                    return None if call.runs == 1 else answer

                with mock.patch.object(Relay, "_judge", forget_first):
                    client = await relay.client()
                    await client.ask("POST", "/order/a", body=b"x")
                self.assertEqual(sum(relay.invariants.violations.values()), 1)
                relay.invariants.violations.clear()

    async def test_unexpected_error_is_logged_and_promises_nothing(self):
        """Guards against an error that ends a request without a log line."""
        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                finished = []
                with (
                    mock.patch.object(Relay, "_judge", side_effect=KeyError("x")),
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
