"""Tests of slow start over a fleet of routers."""

import unittest

from crocusward.invariants import InvariantName
from crocusward.peer import BackendCold, SlowStartAllowance, SlowStartReport
from crocusward.routing import ExchangeKind, ExchangeResult
from tests.routing_fixture import Fleet, ok, request

SERVICE_S = 0.02


class SlowStartCase(unittest.TestCase):
    def make_fleet(self, hosts=14, backends=24):
        self.fleet = Fleet(hosts=hosts, backends=backends)
        self.addCleanup(self.fleet.loop.close)

    def is_warm(self, host, backend):
        return self.fleet.routers[host].table.views[backend].is_warm

    def count_warm(self, backend):
        return sum(self.is_warm(name, backend) for name in self.fleet.routers)

    def get_limits(self, backend):
        """Return the current slow-start limit of each host for a server."""
        limits = {}
        for name, router in self.fleet.routers.items():
            router.table.refresh()
            limits[name] = router.table.views[backend].slow_start_limit
        return limits


class RampTest(SlowStartCase):
    def test_fleet_restart_ramps_up_in_a_few_hundred_ms(self):
        """Guards against overloaded cold servers after a restart and a slow ramp-up."""
        self.make_fleet()
        errors = self.fleet.run_load(rate=1600, duration_s=0.5)
        self.assertLess(self.fleet.timer.now(), 0.7)
        warm = sum(self.count_warm(b.id) for b in self.fleet.backends)
        self.assertGreater(warm, 0.9 * 14 * 24)
        errors += self.fleet.run_load(rate=1600, duration_s=0.5)
        self.assertEqual(errors, [])
        self.assertEqual(sum(self.count_warm(b.id) for b in self.fleet.backends), 336)
        self.assertEqual(self.fleet.violations(), [])

    def test_first_requests_come_one_at_a_time_from_one_host(self):
        """Guards against full load on a server that was just started."""
        self.make_fleet()
        for backend in self.fleet.backends:
            limits = self.get_limits(backend.id)
            self.assertEqual(sum(limits.values()), 1)
        self.fleet.run_load(
            rate=1600, duration_s=3 * SERVICE_S, should_await_pending=False
        )
        self.assertEqual(max(self.fleet.max_in_flight.values()), 1)

    def test_new_server_of_a_warm_fleet_starts_cold(self):
        """Guards against full load on a server that is new on the platform's list."""
        self.make_fleet()
        self.fleet.report_all_warm()
        new_backend = self.fleet.backends.pop()
        for router in self.fleet.routers.values():
            router.set_backends(self.fleet.backends, set())
        self.fleet.run_load(rate=1000, duration_s=0.2)
        self.fleet.backends.append(new_backend)
        for index, router in enumerate(self.fleet.routers.values()):
            self.fleet.timer.call_later(
                0.02 * index,
                lambda r=router: r.set_backends(self.fleet.backends, set()),
            )
        self.fleet.run_load(rate=1600, duration_s=4 * SERVICE_S)
        self.assertLessEqual(self.fleet.max_in_flight[new_backend.id], 1)
        self.fleet.run_load(rate=1600, duration_s=2.0)
        self.assertEqual(self.count_warm(new_backend.id), 14)
        self.assertEqual(self.fleet.violations(), [])

    def test_hosts_that_disagree_about_membership_yield_to_one(self):
        """Guards against two warming hosts that both raise the allowance."""
        self.make_fleet()
        warming_hosts = [n for n, limit in self.get_limits("b0").items() if limit > 0]
        others = [name for name in self.fleet.routers if name not in warming_hosts]
        self.fleet.publish_hosts(without=warming_hosts, to=others)
        limits = self.get_limits("b0")
        self.assertEqual(sorted(limits.values())[-3:], [0, 1, 1])
        self.fleet.run_load(rate=1600, duration_s=8 * SERVICE_S)
        self.assertLessEqual(self.fleet.max_in_flight["b0"], 4)
        deferring_hosts = [
            n for n, limit in limits.items() if limit > 0 and n not in warming_hosts
        ]
        report = SlowStartReport((SlowStartAllowance("b0", "", 2),))
        self.fleet.routers[deferring_hosts[0]].on_peer_message(warming_hosts[0], report)
        if not self.is_warm(deferring_hosts[0], "b0"):
            limit = self.get_limits("b0")[deferring_hosts[0]]
            self.assertIn(limit, (0, 1))
        self.assertEqual(self.fleet.violations(), [])

    def test_next_host_takes_over_from_a_dead_warming_host(self):
        """Guards against a server that stays cold until a dead host is delisted."""
        self.make_fleet()
        warming_hosts = [n for n, limit in self.get_limits("b0").items() if limit > 0]
        self.fleet.routers.pop(warming_hosts[0])
        self.fleet.loop.advance(2.1)
        self.assertEqual(sum(self.get_limits("b0").values()), 1)
        self.fleet.run_load(rate=1600, duration_s=1.0)
        self.assertEqual(self.count_warm("b0"), 13)


class ColdMarkTest(SlowStartCase):
    def setUp(self):
        self.make_fleet()
        self.fleet.report_all_warm()
        self.fleet.run_load(rate=1600, duration_s=0.3)

    def test_unannounced_cold_start_is_detected_and_broadcast(self):
        """Guards against full load on a server that became cold without notice."""
        self.fleet.slowdown_factors["b0"] = 30.0
        self.fleet.run_load(rate=1600, duration_s=5.0)
        announced = [m for _, m in self.fleet.messages if isinstance(m, BackendCold)]
        self.assertEqual({message.backend for message in announced}, {"b0"})
        self.assertEqual(self.count_warm("b0"), 0)
        self.fleet.max_in_flight.clear()
        self.fleet.run_load(rate=1600, duration_s=1.0)
        self.assertLessEqual(self.fleet.max_in_flight["b0"], 1)
        del self.fleet.slowdown_factors["b0"]
        self.fleet.run_load(rate=1600, duration_s=3.0)
        self.assertEqual(self.count_warm("b0"), 14)
        self.assertEqual(self.fleet.violations(), [])

    def test_moderate_slowness_is_not_a_cold_mark(self):
        """Guards against cold marks on servers that other load slows 5 times."""
        for backend in ("b0", "b1", "b2", "b3"):
            self.fleet.slowdown_factors[backend] = 5.0
        self.fleet.run_load(rate=1600, duration_s=3.0)
        self.assertFalse([m for _, m in self.fleet.messages if type(m) is BackendCold])

    def test_new_boot_id_closes_the_server_for_all_but_one(self):
        """Guards against full load on a server that restarted between requests."""
        self.fleet.boots["b0"] = "boot-2"
        errors = self.fleet.run_load(rate=1600, duration_s=0.05)
        self.assertEqual(errors, [])
        sending_hosts = [n for n, limit in self.get_limits("b0").items() if limit > 0]
        self.assertEqual(len(sending_hosts), 1)
        self.fleet.run_load(rate=1600, duration_s=2.0)
        self.assertEqual(self.count_warm("b0"), 14)
        self.assertEqual(self.fleet.violations(), [])

    def test_cold_server_is_not_opened_while_it_is_slow(self):
        """Guards against slow successes that open a server which is still cold.

        The server is cold for 4 s, takes three times as long meanwhile, and fails
        with more than 4 requests in flight.
        """
        self.fleet.boots["b0"] = "boot-2"
        self.fleet.slowdown_factors["b0"] = 3.0
        self.fleet.run_load(rate=1600, duration_s=0.2, should_await_pending=False)
        self.fleet.max_in_flight.clear()
        self.fleet.run_load(rate=1600, duration_s=3.8, should_await_pending=False)
        self.assertLessEqual(self.fleet.max_in_flight["b0"], 4)
        del self.fleet.slowdown_factors["b0"]
        self.fleet.run_load(rate=1600, duration_s=2.0)
        self.assertEqual(self.count_warm("b0"), 14)

    def test_late_answers_and_reports_of_the_old_boot_open_nothing(self):
        """Guards against a late report that opens a restarted server."""
        router = self.fleet.routers["h0"]
        router.on_peer_message("h2", BackendCold("b0", "boot-2"))
        late_report = SlowStartReport((SlowStartAllowance("b0", "boot-1", 255),))
        router.on_peer_message("h4", late_report)
        self.assertFalse(self.is_warm("h0", "b0"))
        current_report = SlowStartReport((SlowStartAllowance("b0", "boot-2", 255),))
        router.on_peer_message("h4", current_report)
        self.assertFalse(self.is_warm("h0", "b0"))
        self.fleet.loop.advance(0.3)
        router.on_peer_message("h4", current_report)
        self.assertTrue(self.is_warm("h0", "b0"))

    def test_warm_claim_under_another_boot_id_opens_no_cold_server(self):
        """Guards against a reconnected peer that still reports the old boot id."""
        router = self.fleet.add("new", "pohja")
        self.fleet.publish_hosts()
        router.on_peer_message("h2", BackendCold("b0", "boot-2"))
        self.fleet.loop.advance(1.0)
        warm_report = SlowStartReport((SlowStartAllowance("b0", "boot-1", 255),))
        router.on_peer_message("h4", warm_report)
        self.assertFalse(self.is_warm("new", "b0"))

    def test_work_started_before_a_cold_mark_is_no_success(self):
        """Guards against successes counted for requests started before a cold mark."""
        router = self.fleet.routers["h0"]
        others = {b.id for b in self.fleet.backends if b.id != "b0"}
        state = router.table.slow_start_states["b0"]
        for _ in range(8):
            req = request(self.fleet.timer.now(), excluded=others)
            router.table.views["b0"].limit = 8
            res = self.fleet.run(router.acquire(req))
            router.start(res)
            self.fleet.loop.advance(0.001)
            router.on_peer_message("h2", BackendCold("b0", "boot-1"))
            router.finish(res, ok())
            self.assertEqual((state.own_allowance, state.run_successes), (1, 0))
            self.fleet.loop.advance(6.0)
            self.fleet.report_all_warm(["h0"])

    def test_one_faulty_peer_cannot_close_the_fleet(self):
        """Guards against a host with a faulty network that marks all servers cold."""
        router = self.fleet.routers["h0"]
        for backend in self.fleet.backends:
            router.on_peer_message("h2", BackendCold(backend.id, "boot-1"))
        views = router.table.views.values()
        self.assertGreaterEqual(sum(view.is_warm for view in views), 18)

    def test_restarted_daemon_is_cold_until_a_peer_reports(self):
        """Guards against full load from a restarted daemon without server state."""
        router = self.fleet.add("new", "pohja")
        self.fleet.publish_hosts()
        self.assertFalse(any(view.is_warm for view in router.table.views.values()))
        report = self.fleet.routers["h1"].make_slow_start_report(is_full=True)
        router.on_peer_message("h1", report)
        self.assertTrue(all(view.is_warm for view in router.table.views.values()))

    def test_a_disconnected_peer_learns_of_a_cold_mark(self):
        """Guards against full load from a host that missed the cold mark."""
        router = self.fleet.routers["h0"]
        self.fleet.disconnected.add("h0")
        self.fleet.boots["b0"] = "boot-2"
        others = [name for name in self.fleet.routers if name != "h0"]
        peer = self.fleet.routers[others[0]]
        peer.slow_start.mark_cold(peer.table.slow_start_states["b0"], "boot-2")
        peer.slow_start.mark_cold(peer.table.slow_start_states["b2"])
        self.fleet.loop.advance(0.1)
        self.assertTrue(self.is_warm("h0", "b0"))
        router.on_peer_message(others[0], peer.make_slow_start_report(is_full=True))
        self.assertFalse(self.is_warm("h0", "b0"))
        self.assertFalse(self.is_warm("h0", "b2"))

    def test_a_reservation_does_not_outlive_a_cold_mark(self):
        """Guards against several reserved requests that start on a cold server."""
        router = self.fleet.routers["h0"]
        router.set_out_of_service(
            set(), {b.id for b in self.fleet.backends if b.id != "b0"}
        )
        router.table.views["b0"].limit = 3
        now_s = self.fleet.timer.now()
        held = [self.fleet.run(router.acquire(request(now_s))) for _ in range(3)]
        router.on_peer_message("h2", BackendCold("b0", "boot-2"))
        started = [router.start(res) for res in held]
        self.assertLessEqual(sum(started), 1)
        self.assertEqual(self.fleet.violations(), [])

    def test_overloading_a_cold_server_is_asserted(self):
        """Guards against a check that relies on the limit of the router itself."""
        router = self.fleet.add("bad", "pohja", faults=frozenset({"overload-cold"}))
        self.fleet.publish_hosts()
        now_s = self.fleet.timer.now()
        for _ in range(10):
            router.start(self.fleet.run(router.acquire(request(now_s))))
        violations = self.fleet.invariants["bad"].violations
        self.assertGreater(violations[InvariantName.COLD_START], 5)

    def test_a_shed_answer_halves_the_allowance(self):
        """Guards against an allowance that keeps growing while the server sheds."""
        router = self.fleet.routers["h0"]
        state = router.table.slow_start_states["b0"]
        state.reset_cold("boot-9", 0.0)
        state.own_allowance = 4
        res = router._reserve(router.table.views["b0"], request(0.0))
        res.started_s = self.fleet.timer.now()
        router.finish(res, ExchangeResult(ExchangeKind.SHED))
        self.assertEqual(state.own_allowance, 2)


if __name__ == "__main__":
    unittest.main()
