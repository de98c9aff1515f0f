"""Requests that must run once, on the side of their callers."""

import asyncio
import contextlib
import itertools
import random
import unittest
from collections import Counter, deque
from unittest import mock

from crocusward.devtools.fault_soak._callers import PROMISES
from crocusward.devtools.fault_soak._daemons import CALLER_PORT
from crocusward.devtools.fault_soak._notices import Notices
from crocusward.devtools.fault_soak._targets import Target
from crocusward.errors import NotSentError
from crocusward.relay._caller import MAX_PIPELINED_REQUESTS
from crocusward.upstream import AnswerMemoryBudget
from crocusward.upstream._connection import MAX_FAILED_IDS

from .daemon_support import WholeDaemon
from .entry_support import EntryClient, desired, reply, route
from .raw_client import RawClient
from .scripted_server import ScriptedServer
from .test_relay import ORDER, SHED, RelayTestCase

GET = ("GET", "/look/x")
POST = ("POST", "/order/x")
WORK_S = 0.15
CALLERS = 12  # of a whole daemon
AHEAD = 2  # requests of a caller behind the one that is answered next
FAR_S = 100.0  # past each time limit of a connection


def find_id(head):
    """Return the request id of a head."""
    return head.lower().partition(b"crocusward-request-id: ")[2].split(b"\r\n")[0]


class CountingServer(ScriptedServer):
    """Answers each request after a time, and counts the runs by id.

    Attributes:
        runs: Number of runs by request id.
        refusals: Answers to the next requests, which do not run. Each comes once more
            before the next answer on its connection.
        repeats_answers: Whether the other answers do so too.
    """

    def __init__(self, work_s=WORK_S):
        super().__init__()
        self.work_s = work_s
        self.runs = Counter()
        self.refusals = []
        self.repeats_answers = False
        self._copies = {}

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        id = find_id(head).decode()
        self.requests.append(head)
        writer.write(self._copies.pop(writer, b""))
        if self.refusals:
            self._copies[writer] = self.refusals.pop(0)
            writer.write(self._copies[writer])
            return True
        self.runs[id] += 1
        await asyncio.sleep(self.work_s)
        answer = reply(id, b"run %d" % self.runs[id])
        writer.write(answer)
        if self.repeats_answers:
            self._copies[writer] = answer
        return True


async def read_all(client, timeout_s=0.5):
    """Return all answers on a connection up to its end."""
    answers = []
    with contextlib.suppress(asyncio.IncompleteReadError, TimeoutError):
        while True:
            answers.append(await client.raw.read(timeout_s=timeout_s))
    return answers


class PlayTestCase(RelayTestCase):
    """Sends pipelined requests, then does something to their connection."""

    async def play(self, *requests, then=None, work_s=WORK_S, state=None):
        """Return the statuses of the answers, the last one, and the runs by id."""
        async with CountingServer(work_s) as server:
            async with self.relay(server, state=state) as relay:
                client = await relay.client()
                for request in requests:
                    client.send(*request)
                if then is not None:
                    await asyncio.sleep(WORK_S / 3)
                    then(relay, client)
                answers = await read_all(client)
                await asyncio.sleep(WORK_S)
        return [found.status for found in answers], answers[-1:], server.runs


def first_conn(relay):
    """Return the connection of the only caller."""
    return next(iter(relay.listener.connections))


class ConnectionEndTest(PlayTestCase):
    """Guards against running requests that their callers count as not read."""

    def assert_closes(self, last):
        self.assertEqual(last[0].headers.get("connection"), "close")

    async def test_drain_lets_an_unsafe_request_behind_others_be_answered(self):
        statuses, last, runs = await self.play(
            GET, POST, then=lambda relay, client: relay.listener.drain()
        )
        self.assertEqual((statuses, runs), ([200, 200], {"q1": 1, "q2": 1}))
        self.assert_closes(last)

    async def test_closing_idle_connections_spares_running_requests(self):
        statuses, _, runs = await self.play(
            POST, then=lambda relay, client: relay.listener.close_idle()
        )
        self.assertEqual((statuses, runs), ([200], {"q1": 1}))

    async def test_end_of_the_daemon_starts_no_request_behind_a_running_one(self):
        statuses, last, runs = await self.play(
            POST, POST, then=lambda relay, client: relay.relay.end_calls()
        )
        self.assertEqual((statuses, runs), ([504], {"q1": 1}))
        self.assert_closes(last)

    async def test_idle_timeout_spares_running_requests(self):
        statuses, _, runs = await self.play(
            POST,
            POST,
            then=lambda relay, client: first_conn(relay).check_timeouts(
                relay.timer.now() + FAR_S
            ),
        )
        self.assertEqual((statuses, runs), ([200, 200], {"q1": 1, "q2": 1}))

    async def test_request_behind_one_that_ran_out_of_time_is_answered(self):
        soon = b"Crocusward-Deadline-Ms: 60"
        statuses, _, runs = await self.play((*POST, soon), POST)
        self.assertEqual((statuses, runs), ([504, 200], {"q1": 1, "q2": 1}))

    async def test_request_behind_a_refusal_that_keeps_the_connection_is_answered(
        self,
    ):
        statuses, _, runs = await self.play(("GET", "/nowhere"), POST)
        self.assertEqual((statuses, runs), ([404, 200], {"q2": 1}))

    async def test_request_behind_a_refusal_that_closes_is_not_started(self):
        too_long = b"Content-Length: 99999999"
        statuses, last, runs = await self.play((*POST, too_long), POST)
        self.assertEqual((statuses, runs), ([413], {}))
        self.assert_closes(last)

    async def test_request_behind_one_that_wants_the_close_is_not_started(self):
        statuses, last, runs = await self.play((*POST, b"Connection: close"), POST)
        self.assertNotIn("q2", runs)
        self.assertEqual((statuses[0], runs["q1"]), (200, 1))
        self.assert_closes(last)

    async def test_partly_read_request_that_times_out_never_runs(self):
        def time_out(relay, client):
            first_conn(relay).check_timeouts(relay.timer.now() + FAR_S)
            client.raw.send(b"x" * 10)

        partial = (*POST, b"Content-Length: 10")
        statuses, last, runs = await self.play(POST, partial, then=time_out)
        self.assertEqual((statuses, runs), ([200, 408], {"q1": 1}))
        self.assert_closes(last)

    async def test_malformed_bytes_behind_a_running_request_leave_its_answer(self):
        statuses, last, runs = await self.play(
            POST, then=lambda relay, client: client.raw.send(b"\0 nonsense\r\n\r\n")
        )
        self.assertEqual((statuses, runs), ([200, 400], {"q1": 1}))
        self.assert_closes(last)

    async def test_expected_body_behind_an_answer_that_closes_never_runs(self):
        def send_body(relay, client):
            relay.relay.end_calls()
            client.raw.send(b"x" * 10)

        partial = (*POST, b"Content-Length: 10", b"Expect: 100-continue")
        statuses, _, runs = await self.play(POST, partial, then=send_body)
        self.assertEqual((statuses[-1], runs), (504, {"q1": 1}))

    async def test_request_without_memory_for_its_body_never_runs(self):
        def run_out(relay, client):
            with mock.patch.object(type(relay.relay), "reserve_body_memory") as found:
                found.return_value = False
                body = b"x" * 10
                conn = first_conn(relay)
                conn.get_buffer(-1)[:10] = body
                conn.buffer_updated(10)

        partial = (*POST, b"Content-Length: 10")
        statuses, last, runs = await self.play(partial, then=run_out)
        self.assertEqual((statuses, runs), ([503], {}))
        self.assert_closes(last)

    async def test_half_closed_caller_gets_an_answer_to_a_running_request(self):
        statuses, last, runs = await self.play(
            ("GET", "/nowhere"),
            POST,
            POST,
            then=lambda relay, client: client.raw.writer.write_eof(),
        )
        self.assertEqual((statuses, runs), ([404, 504], {"q2": 1}))
        self.assert_closes(last)

    async def test_lack_of_memory_for_its_answer_is_told_to_the_caller(self):
        def limit(relay, client):
            relay.relay.answer_memory = AnswerMemoryBudget(1)

        statuses, last, runs = await self.play(
            ("GET", "/nowhere"), *[POST] * (2 * MAX_PIPELINED_REQUESTS), then=limit
        )
        self.assertEqual((statuses, runs), ([404, 504], {"q2": 1}))
        self.assert_closes(last)


class ChangedRouteTest(PlayTestCase):
    """Guards against a second run on the word of a route that has changed."""

    def make_unsafe(self, relay, client=None):
        relay.directory.set_state(
            desired(route(idempotent=False, timeout_s=5.0), ORDER, version=2)
        )

    async def fail_first(self, servers, after_s):
        state = desired(route(timeout_s=5.0, objective_s=0.2), ORDER)
        async with servers[0], servers[1]:
            async with self.relay(*servers, state=state) as relay:
                client = await relay.client()
                client.send(*GET)
                await asyncio.sleep(0.05)
                self.make_unsafe(relay)
                found = await client.raw.read()
                await asyncio.sleep(after_s)
        return found.status, sum(len(server.requests) for server in servers)

    async def test_request_that_became_unsafe_is_not_repeated(self):
        script = [0.1, "close"]
        servers = ScriptedServer(script), ScriptedServer(script)
        self.assertEqual(await self.fail_first(servers, 0.0), (502, 1))

    async def test_request_that_became_unsafe_is_not_hedged(self):
        script = [0.8, reply("q1")]
        servers = ScriptedServer(script), ScriptedServer(script)
        self.assertEqual(await self.fail_first(servers, 0.0), (200, 1))

    async def test_repeat_that_waits_for_a_server_is_withdrawn(self):
        state = desired(route(timeout_s=5.0), ORDER)
        script = [0.05, "close"]
        async with ScriptedServer(script) as server, ScriptedServer(script) as other:
            async with self.relay(server, other, state=state) as relay:
                find, relays = relay.places.find, [relay]

                async def find_late(req):
                    selection = await find(req)
                    if req.excluded:
                        self.make_unsafe(relays[0])
                    return selection

                with mock.patch.object(
                    type(relay.places), "find", side_effect=find_late
                ):
                    client = await relay.client()
                    found = await client.ask(*GET)
                count = len(server.requests) + len(other.requests)
        self.assertEqual((found.status, count), (502, 1))

    async def test_request_that_became_unsafe_is_not_started_behind_others(self):
        state = desired(route(timeout_s=5.0), ORDER)
        async with CountingServer() as server:
            async with self.relay(server, state=state) as relay:
                conn_start = type(relay.relay).answer

                async def answer_late(handler, req):
                    if req.id == b"q2":
                        self.make_unsafe(relay)
                    return await conn_start(handler, req)

                with mock.patch.object(type(relay.relay), "answer", answer_late):
                    client = await relay.client()
                    client.send(*GET)
                    client.send(*GET)
                    answers = [await client.raw.read() for _ in range(2)]
        self.assertEqual([found.status for found in answers], [200, 503])
        self.assertEqual(server.runs, {"q1": 1})


class RepeatedIdTest(RelayTestCase):
    """Guards against taking an answer to one request for that to its namesake."""

    async def test_copy_of_a_refusal_does_not_refuse_the_same_id_again(self):
        async with CountingServer() as server:
            async with self.relay(server, reserve=0.0) as relay:
                server.refusals.append(SHED)
                client = await relay.client()
                statuses = [(await client.ask(*POST, id="q1")).status for _ in "12"]
        self.assertEqual((statuses, server.runs), ([503, 200], {"q1": 1}))

    async def test_copy_of_an_answer_is_not_that_to_the_same_id_again(self):
        async with CountingServer() as server:
            async with self.relay(server) as relay:
                server.repeats_answers = True
                client = await relay.client()
                bodies = [(await client.ask(*POST, id="q1")).body for _ in "12"]
        self.assertEqual(bodies, [b"run 1", b"run 2"])

    async def ask_pool(self, relay, server, *ids):
        for id in ids:
            await relay.pool.request(
                "127.0.0.1",
                server.port,
                *POST,
                timeout_s=1.0,
                limit_bytes=1000,
                request_id=id,
            )

    async def test_connection_that_refused_an_id_serves_others(self):
        async with ScriptedServer([SHED]) as server:
            async with self.relay(server) as relay:
                await self.ask_pool(relay, server, b"a", b"b", b"a", b"c")
                self.assertEqual(server.connections, 2)

    async def test_connections_that_refused_an_id_do_not_use_up_the_limit(self):
        async with ScriptedServer([SHED]) as server:
            async with self.relay(server) as relay:
                relay.pool.limit_connections("127.0.0.1", server.port, 2)
                await self.ask_pool(relay, server, *[b"a"] * 5)
                self.assertEqual(server.connections, 5)
                self.assertEqual(relay.pool.count_open("127.0.0.1", server.port), 2)

    async def test_connection_forgets_no_id_that_it_refused(self):
        ids = [b"%d" % number for number in range(MAX_FAILED_IDS + 1)]
        async with ScriptedServer([SHED]) as server:
            async with self.relay(server) as relay:
                await self.ask_pool(relay, server, *ids[:-1])
                self.assertEqual(server.connections, 1)
                self.assertEqual(relay.pool.count_idle("127.0.0.1", server.port), 0)
                await self.ask_pool(relay, server, ids[0], ids[-1])
                self.assertEqual(server.connections, 2)

    async def test_same_id_on_two_connections_is_two_requests(self):
        async with CountingServer() as server:
            async with self.relay(server) as relay:
                clients = [await relay.client() for _ in range(2)]
                for client in clients:
                    client.send(*POST, id="q1")
                answers = [await client.raw.read() for client in clients]
        self.assertEqual([found.status for found in answers], [200, 200])
        self.assertEqual((server.runs, server.connections), ({"q1": 2}, 2))


class FirstByteTest(RelayTestCase):
    """Guards against 'not sent' for a request of which a byte was written."""

    async def ask_pool(self, server, relay, **options):
        return await relay.pool.request(
            "127.0.0.1",
            server.port,
            *POST,
            timeout_s=1.0,
            limit_bytes=1000,
            **options,
        )

    async def test_withdrawn_request_leaves_no_byte(self):
        def withdraw():
            raise NotSentError("withdrawn", code="withdrawn")

        async with ScriptedServer([reply("q1")]) as server:
            async with self.relay(server) as relay:
                with self.assertRaises(NotSentError):
                    await self.ask_pool(server, relay, before_write=withdraw)
                await asyncio.sleep(0.05)
                self.assertEqual((server.requests, server.open_connections), ([], 0))

    async def test_request_cancelled_as_it_is_written_is_not_reported_as_unsent(self):
        async with ScriptedServer([0.1, reply("q1")]) as server:
            async with self.relay(server) as relay:
                task = None

                def cancel():
                    task.cancel()

                task = asyncio.create_task(
                    self.ask_pool(server, relay, before_write=cancel)
                )
                with self.assertRaises(asyncio.CancelledError):
                    await task
                await asyncio.sleep(0.05)
                self.assertEqual(relay.pool.count_open("127.0.0.1", server.port), 0)


class SlowDaemon(WholeDaemon):
    """A daemon in front of servers that take their time.

    Attributes:
        runs: What the servers ran.
    """

    def __init__(self):
        row = ["order", "api.example", "/order/", "unsafe", "1500ms", "400ms", "svc"]
        super().__init__([row])
        self.runs = []
        self.targets = []
        for index in range(4):
            rng = random.Random(index)
            parts = (f"i-{index}", "svc", "east-a", self.runs, [], Notices(), rng)
            target = Target(*parts, slots=8)
            target.work_s = 0.4
            self.targets.append(target)

    async def start_servers(self):
        for target in self.targets:
            await target.listener.open()
            self.register(target.id, "svc", target.listener.port)

    def stop_servers(self):
        for target in self.targets:
            target.listener.shut()

    async def open_callers(self):
        """Return connections of callers."""
        clients = []
        for _ in range(CALLERS):
            reader, writer = await asyncio.open_connection(self.address, CALLER_PORT)
            clients.append(EntryClient(RawClient(reader, writer)))
        return clients

    def count_runs(self):
        return Counter(run.id for run in self.runs)


class WholeDaemonTest(unittest.IsolatedAsyncioTestCase):
    async def test_paused_daemon_refuses_nothing_that_it_has_sent(self):
        """Guards against 503, or a second send, after a pause between the two."""
        async with SlowDaemon() as daemon:
            for pause_s in (0.6, 1.8):
                with self.subTest(pause_s=pause_s):
                    clients = await daemon.open_callers()
                    for number, client in enumerate(clients):
                        client.send(*POST, id=f"{pause_s}-{number}")
                    await asyncio.sleep(0.15)
                    daemon.daemon.pause()
                    await asyncio.sleep(pause_s)
                    daemon.daemon.resume()
                    answers = [await client.raw.read() for client in clients]
                    runs = daemon.count_runs()
                    refused = {
                        f"{pause_s}-{number}"
                        for number, found in enumerate(answers)
                        if found.status in PROMISES
                    }
                    self.assertIn(f"{pause_s}-0", runs)
                    self.assertEqual(refused & set(runs), set())
                    self.assertEqual(set(runs.values()), {1})
                    for client in clients:
                        client.raw.close()

    async def keep_pipelining(self, client, tag):
        """Send unsafe requests ahead of their answers up to the end of the connection.

        Return the ids of the refused requests, and of those that count as not read.
        """
        refused = set()
        waiting = deque()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            for number in itertools.count():
                waiting.append(f"{tag}-{number}")
                client.send(*POST, id=waiting[-1])
                if len(waiting) > AHEAD:
                    found = await client.raw.read(timeout_s=8.0)
                    id = waiting.popleft()
                    if found.status in PROMISES:
                        refused.add(id)
                    if found.headers.get("connection") == "close":
                        break
        client.raw.close()
        return refused, set(waiting)

    async def test_stopping_daemon_runs_nothing_behind_the_close(self):
        """Guards against a run of a request that its caller sends again elsewhere."""
        async with SlowDaemon() as daemon:
            clients = await daemon.open_callers()
            tasks = [
                asyncio.create_task(self.keep_pipelining(client, number))
                for number, client in enumerate(clients)
            ]
            await asyncio.sleep(0.5)
            daemon.daemon.stop()
            results = await asyncio.gather(*tasks)
            runs = daemon.count_runs()
        refused = set().union(*[refused for refused, _ in results])
        not_read = set().union(*[waiting for _, waiting in results])
        self.assertGreater(len(not_read), 0)
        self.assertEqual((refused | not_read) & set(runs), set())
        self.assertEqual(set(runs.values()), {1})


if __name__ == "__main__":
    unittest.main()
