"""Requests that crash servers, met by many whole daemons in virtual time."""

import io
import random
import re
import unittest

import cbor2

from crocusward.cli._explain import explain
from crocusward.crashes import (
    MAX_CRASHES,
    CrashRegistry,
    CrashSummary,
    crash_id,
    request_digest,
)
from crocusward.crashes._registry import BLOCK_LIFETIME_S, MAX_RECORDS
from crocusward.devtools.entry_soak import WholeFleet
from crocusward.entryd._control import ControlHandler
from crocusward.logs import start_logs
from crocusward.neighbours import (
    CrashReport,
    MessageError,
    decode_message,
    encode_message,
)
from crocusward.relay import CallerRequest

DEADLY = "/look/deadly"
DIGEST = b"0123456789abcdef"


class CrashingRequestsTest(unittest.TestCase):
    def make_fleet(self, seed, hosts_per_data_centre=12, servers=24):
        fleet = WholeFleet(seed, hosts_per_data_centre, loss=0.02)
        self.addCleanup(fleet.close)
        fleet.add_servers(servers)
        fleet.network.advance(1.0)
        fleet.deadly.add(DEADLY)
        return fleet

    def play_deadly(self, fleet, duration_s, per_s):
        """Send the deadly request to any host, again and again, beside others."""
        end_s = fleet.now_s() + duration_s
        while fleet.now_s() < end_s:
            fleet.ask(DEADLY)
            fleet.ask_for(1.0 / per_s, 30.0)

    def test_request_that_crashed_three_servers_reaches_no_more(self):
        """Guards against a request that crashes one server after another."""
        for seed, per_s in ((1, 2.0), (2, 8.0)):
            with self.subTest(seed=seed):
                fleet = self.make_fleet(seed)
                self.play_deadly(fleet, 12.0, per_s)
                fleet.network.advance(2.0)
                self.assertEqual(fleet.promises.broken(), [])
                self.assertGreaterEqual(len(fleet.promises.crashes), 3)

    def test_innocent_requests_beside_a_deadly_one_are_served(self):
        """Guards against innocents that are blocked with the request beside them."""
        fleet = self.make_fleet(3)
        innocents = [f"/look/innocent-{number}" for number in range(6)]
        end_s = fleet.now_s() + 8.0
        while fleet.now_s() < end_s:
            fleet.ask(DEADLY)
            fleet.ask_for(0.2, 120.0, *innocents)
        fleet.network.advance(4.0)
        asked = [fleet.ask(path) for path in innocents for _ in range(4)]
        fleet.network.advance(2.0)
        self.assertEqual([item.status for item in asked], [200] * len(asked))
        self.assertEqual(fleet.promises.broken(), [])

    def test_requests_of_a_data_centre_that_loses_its_servers_are_served(self):
        """Guards against blocks of requests that died for another reason."""
        fleet = self.make_fleet(4)
        paths = [f"/look/{number}" for number in range(8)]
        for _ in range(4):
            fleet.ask_for(0.5, 150.0, *paths)
            for server in list(fleet.servers.values()):
                if server.data_centre == "east-a":
                    fleet.crash(server)
            fleet.ask_for(4.0, 20.0, *paths)
        asked = [fleet.ask(path) for path in paths for _ in range(3)]
        fleet.network.advance(2.0)
        self.assertEqual([item.status for item in asked], [200] * len(asked))
        blocked = [h.crash_watch.registry.count_blocked() for h in fleet.hosts.values()]
        self.assertEqual(sum(blocked), 0)

    def test_all_hosts_know_a_blocked_request_and_so_does_one_that_starts(self):
        """Guards against knowledge that stays with the hosts that saw a crash."""
        fleet = self.make_fleet(5)
        self.play_deadly(fleet, 3.0, 4.0)
        fleet.network.advance(2.0)
        name = "host-west-a-003"
        fleet.network.shut(fleet.places[name][0])
        fleet.network.run_until_complete(fleet.start(name))
        fleet.network.advance(2.0)
        for host in fleet.hosts.values():
            self.assertEqual(host.crash_watch.registry.count_blocked(), 1)
        before = len(fleet.promises.crashes)
        item = fleet.ask(DEADLY, name)
        fleet.network.advance(1.0)
        self.assertEqual(item.status, 503)
        self.assertEqual(len(fleet.promises.crashes), before)

    def test_a_restart_of_all_hosts_at_once_forgets_no_block(self):
        """Guards against hosts that all start at once and know nothing."""
        fleet = self.make_fleet(10, 6, 12)
        self.play_deadly(fleet, 3.0, 4.0)
        fleet.network.advance(2.0)
        before = len(fleet.promises.crashes)
        for name in list(fleet.hosts):
            fleet.stop(name)
        for name in fleet.places:
            fleet.network.create_task(fleet.start(name))
        fleet.network.advance(3.0)
        asked = [fleet.ask(DEADLY, name) for name in fleet.hosts]
        fleet.network.advance(2.0)
        self.assertEqual({item.status for item in asked}, {503})
        self.assertEqual(len(fleet.promises.crashes), before)
        watch = next(iter(fleet.hosts.values())).crash_watch
        # A request that ran beside it may have a record whose crashes were cleared.
        (digest,) = filter(watch.registry.count, watch.registry.records)
        self.assertEqual(self.release(fleet, watch, digest.hex()), 1)
        fleet.network.advance(1.0)
        keys = fleet.store.rows("crocusward-hosts")
        self.assertEqual([key for key in keys if key.startswith("crash/")], [])

    def release(self, fleet, watch, digest):
        async def release():
            return watch.release(digest)

        return fleet.network.run_until_complete(release())

    def test_a_released_request_may_run_again(self):
        """Guards against a block that operators cannot lift on all hosts."""
        fleet = self.make_fleet(6)
        self.play_deadly(fleet, 3.0, 4.0)
        fleet.deadly.clear()
        fleet.network.advance(2.0)
        watch = next(iter(fleet.hosts.values())).crash_watch
        (digest,) = filter(watch.registry.count, watch.registry.records)
        self.assertEqual(self.release(fleet, watch, digest.hex()[:8]), 1)
        fleet.network.advance(3.0)
        asked = [fleet.ask(DEADLY, name) for name in fleet.hosts]
        fleet.network.advance(2.0)
        self.assertEqual({item.status for item in asked}, {200})

    def test_a_server_that_resets_connections_has_not_crashed(self):
        """Guards against a reset that counts as a crash."""
        fleet = self.make_fleet(7, 4, 8)
        for server in fleet.servers.values():
            server.mode = "reset"
        for _ in range(8):
            fleet.ask("/look/x")
            fleet.network.advance(0.5)
        for server in fleet.servers.values():
            server.mode = ""
        fleet.network.advance(8.0)  # until no server is ejected any more
        item = fleet.ask("/look/x")
        fleet.network.advance(1.0)
        self.assertEqual(item.status, 200)
        for host in fleet.hosts.values():
            self.assertEqual(host.crash_watch.registry.records, {})

    def test_logs_and_the_control_address_explain_a_block(self):
        """Guards against refusals whose crashes cannot be found."""
        stream = io.StringIO()
        pipe = start_logs(stream)
        fleet = self.make_fleet(9, 4, 8)
        self.play_deadly(fleet, 4.0, 3.0)
        fleet.network.advance(1.0)
        host = next(iter(fleet.hosts.values()))
        item = fleet.ask(DEADLY, host.facts.name)
        fleet.network.advance(0.5)
        control = ControlHandler(host)
        listed = self.ask_control(fleet, control, "GET", "/crashes")
        metrics = self.ask_control(fleet, control, "GET", "/metrics").body.decode()
        pipe.buffer.flush()
        pipe.close()
        text = stream.getvalue()
        found = explain(item.id, [("hosts", text.splitlines())])
        events = " ".join(line.text for line in found)
        for name in ("request_blocked", "crash_counted", "crash_learned"):
            self.assertIn(f"event={name} ", events)
        digest = re.search(r"digest=(\w+) crashes=3", listed.body.decode())[1]
        self.assertIn(f"digest={digest}", events)
        self.assertIn("crashing_requests_blocked 1", metrics)
        path = f"/crashes/release?{digest}"
        self.assertEqual(self.ask_control(fleet, control, "GET", path).status, 404)
        self.assertEqual(self.ask_control(fleet, control, "POST", path).status, 200)
        fleet.network.advance(0.5)
        for host in fleet.hosts.values():
            self.assertEqual(host.crash_watch.registry.count_blocked(), 0)

    def ask_control(self, fleet, control, method, target):
        req = CallerRequest(
            method, target, "h", [], id=b"", received_s=0.0, time_left_s=None
        )
        return fleet.network.run_until_complete(control.answer(req))


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.registry = self.make()

    def make(self):
        return CrashRegistry(lambda: self.now_s)

    def test_a_crash_that_several_hosts_see_counts_once(self):
        """Guards against blocks after one crash."""
        for _ in range(3):
            self.registry.add_crash(DIGEST, crash_id("i-1", 5))
        self.assertEqual(self.registry.count(DIGEST), 1)
        self.registry.add_crash(DIGEST, crash_id("i-1", 6))
        self.assertEqual(self.registry.count(DIGEST), 2)

    def test_an_answer_clears_earlier_crashes_but_not_later_ones(self):
        """Guards against late reports that bring cleared crashes back."""
        self.registry.add_crash(DIGEST, crash_id("i-1", 5))
        report = self.registry.summarise(DIGEST)
        self.now_s += 1.0
        self.registry.clear(DIGEST)
        report.crash_ages_s = {id: age + 1.0 for id, age in report.crash_ages_s.items()}
        self.assertFalse(self.registry.merge(report))
        self.assertEqual(self.registry.count(DIGEST), 0)
        self.now_s += 1.0
        self.registry.add_crash(DIGEST, crash_id("i-2", 5))
        self.assertEqual(self.registry.count(DIGEST), 1)

    def test_reports_merge_in_any_order(self):
        """Guards against hosts that end with different counts."""
        rng = random.Random(8)
        for _ in range(50):
            parts = [
                CrashSummary(
                    DIGEST,
                    {
                        crash_id("i", n): rng.random() * 9.0
                        for n in rng.sample(range(5), 2)
                    },
                    rng.choice([None, rng.random() * 9.0]),
                )
                for _ in range(4)
            ]
            results = []
            for _ in range(3):
                rng.shuffle(parts)
                registry = self.make()
                for part in parts:
                    registry.merge(part)
                results.append(registry.count(DIGEST) >= MAX_CRASHES)
            self.assertEqual(len(set(results)), 1)

    def test_a_flood_of_crashes_keeps_the_request_that_counts(self):
        """Guards against a flood that fills the host or pushes out what counts."""
        for number in range(MAX_CRASHES):
            self.registry.add_crash(DIGEST, crash_id("i-1", number))
            self.now_s += 1.0  # crashes of one moment may have another cause
        for number in range(5 * MAX_RECORDS):
            self.registry.add_crash(b"%016d" % number, crash_id("i-2", number))
        self.assertTrue(self.registry.is_blocked(DIGEST))
        self.assertLessEqual(len(self.registry.records), MAX_RECORDS)
        self.now_s += BLOCK_LIFETIME_S + 1.0
        self.registry.expire()
        self.assertEqual(self.registry.records, {})
        self.assertFalse(self.registry.knows_target(DIGEST[:4]))

    def test_the_caller_and_the_body_tell_requests_apart(self):
        """Guards against blocks of other callers, and of other uploads."""
        digests = {
            request_digest("POST", "h", "/p", headers, body)
            for headers in ([], [(b"authorization", b"a")], [(b"authorization", b"b")])
            for body in (b"", b"x" * 100_000, b"x" * 99_999 + b"y")
        }
        self.assertEqual(len(digests), 9)
        again = request_digest("POST", "h", "/p", [(b"x-request-id", b"1")], b"")
        self.assertIn(again, digests)

    def test_reports_survive_the_wire_and_malformed_ones_are_refused(self):
        """Guards against reports that end a daemon or enter a false count."""
        summary = CrashSummary(DIGEST, {crash_id("i-1", 1): 2.5}, 1.25)
        data = encode_message(CrashReport("h1", [summary]))
        self.assertEqual(decode_message(data).requests, [summary])
        for bad in (
            [b"short", {}],
            [DIGEST, {b"x": 1}],
            [DIGEST, {crash_id("i", 1): -1}],
            [DIGEST, {crash_id("i", 1): 10**400}],
            [DIGEST, {crash_id("i", 1): 1.5}],
            [DIGEST, {}, 1, 2],
            [DIGEST],
            5,
        ):
            with self.subTest(bad=bad), self.assertRaises(MessageError):
                decode_message(cbor2.dumps([9, "h1", [bad]]))


if __name__ == "__main__":
    unittest.main()
