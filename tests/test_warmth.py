"""Cold starts over a fleet of routers."""

import unittest

from crocusward.invariants import InvariantName
from crocusward.peer import BackendCold, WarmthEntry, WarmthReport
from crocusward.routing import ExchangeKind, ExchangeResult
from tests.routing_fixture import Fleet, ok, request

SERVICE_S = 0.02


class WarmthCase(unittest.TestCase):
    def make(self, hosts=14, backends=24):
        self.fleet = Fleet(hosts=hosts, backends=backends)
        self.addCleanup(self.fleet.loop.close)

    def is_warm(self, host, backend):
        return self.fleet.routers[host].table.views[backend].is_warm

    def warm_count(self, backend):
        return sum(self.is_warm(name, backend) for name in self.fleet.routers)

    def limits(self, backend):
        """Return each host's limit for a server, as its router sees it now."""
        limits = {}
        for name, router in self.fleet.routers.items():
            router.table.refresh()
            limits[name] = router.table.views[backend].slow_start_limit
        return limits


class RampTest(WarmthCase):
    def test_fleet_restart_ramps_up_in_a_few_hundred_ms(self):
        """Guards against a restart that overloads cold servers, and a slow ramp."""
        self.make()
        errors = self.fleet.offer(rate=1600, duration_s=0.5)
        self.assertLess(self.fleet.timer.now(), 0.7)
        warm = sum(self.warm_count(b.id) for b in self.fleet.backends)
        self.assertGreater(warm, 0.9 * 14 * 24)
        errors += self.fleet.offer(rate=1600, duration_s=0.5)
        self.assertEqual(errors, [])
        self.assertEqual(sum(self.warm_count(b.id) for b in self.fleet.backends), 336)
        self.assertEqual(self.fleet.violations(), [])

    def test_first_requests_come_one_at_a_time_from_one_host(self):
        """Guards against full load on a server that was just started."""
        self.make()
        for backend in self.fleet.backends:
            limits = self.limits(backend.id)
            self.assertEqual(sum(limits.values()), 1)
        self.fleet.offer(rate=1600, duration_s=3 * SERVICE_S, settle=False)
        self.assertEqual(max(self.fleet.most_busy.values()), 1)

    def test_new_server_of_a_warm_fleet_starts_cold(self):
        """Guards against full load for a server that is new on the list."""
        self.make()
        self.fleet.warm()
        new = self.fleet.backends.pop()
        for router in self.fleet.routers.values():
            router.set_backends(self.fleet.backends, set())
        self.fleet.offer(rate=1000, duration_s=0.2)
        self.fleet.backends.append(new)
        for index, router in enumerate(self.fleet.routers.values()):
            self.fleet.timer.call_later(
                0.02 * index,
                lambda r=router: r.set_backends(self.fleet.backends, set()),
            )
        self.fleet.offer(rate=1600, duration_s=4 * SERVICE_S)
        self.assertLessEqual(self.fleet.most_busy[new.id], 1)
        self.fleet.offer(rate=1600, duration_s=2.0)
        self.assertEqual(self.warm_count(new.id), 14)
        self.assertEqual(self.fleet.violations(), [])

    def test_hosts_that_disagree_about_membership_yield_to_one(self):
        """Guards against two warming hosts that both ramp up."""
        self.make()
        warmup_views = [n for n, limit in self.limits("b0").items() if limit > 0]
        others = [name for name in self.fleet.routers if name not in warmup_views]
        self.fleet.spread_hosts(without=warmup_views, to=others)
        limits = self.limits("b0")
        self.assertEqual(sorted(limits.values())[-3:], [0, 1, 1])
        self.fleet.offer(rate=1600, duration_s=8 * SERVICE_S)
        self.assertLessEqual(self.fleet.most_busy["b0"], 4)
        below = [
            n for n, limit in limits.items() if limit > 0 and n not in warmup_views
        ]
        report = WarmthReport((WarmthEntry("b0", "", 2),))
        self.fleet.routers[below[0]].on_peer_message(warmup_views[0], report)
        if not self.is_warm(below[0], "b0"):
            limit = self.limits("b0")[below[0]]
            self.assertIn(limit, (0, 1))
        self.assertEqual(self.fleet.violations(), [])

    def test_next_host_takes_over_from_a_dead_warming_host(self):
        """Guards against a server that stays cold until the list drops a host."""
        self.make()
        warmup_views = [n for n, limit in self.limits("b0").items() if limit > 0]
        self.fleet.routers.pop(warmup_views[0])
        self.fleet.loop.advance(2.1)
        self.assertEqual(sum(self.limits("b0").values()), 1)
        self.fleet.offer(rate=1600, duration_s=1.0)
        self.assertEqual(self.warm_count("b0"), 13)


class ColdTurnTest(WarmthCase):
    def setUp(self):
        self.make()
        self.fleet.warm()
        self.fleet.offer(rate=1600, duration_s=0.3)

    def test_silent_cold_turn_is_found_and_told(self):
        """Guards against full load for a server that became cold unannounced."""
        self.fleet.slow["b0"] = 30.0
        self.fleet.offer(rate=1600, duration_s=5.0)
        told = [m for _, m in self.fleet.messages if isinstance(m, BackendCold)]
        self.assertEqual({message.backend for message in told}, {"b0"})
        self.assertEqual(self.warm_count("b0"), 0)
        self.fleet.most_busy.clear()
        self.fleet.offer(rate=1600, duration_s=1.0)
        self.assertLessEqual(self.fleet.most_busy["b0"], 1)
        del self.fleet.slow["b0"]
        self.fleet.offer(rate=1600, duration_s=3.0)
        self.assertEqual(self.warm_count("b0"), 14)
        self.assertEqual(self.fleet.violations(), [])

    def test_moderate_slowness_is_not_a_cold_turn(self):
        """Guards against servers closed because other load slows them 5 times."""
        for backend in ("b0", "b1", "b2", "b3"):
            self.fleet.slow[backend] = 5.0
        self.fleet.offer(rate=1600, duration_s=3.0)
        self.assertFalse([m for _, m in self.fleet.messages if type(m) is BackendCold])

    def test_new_boot_id_closes_the_server_for_all_but_one(self):
        """Guards against full load for a server that restarted between requests."""
        self.fleet.boots["b0"] = "boot-2"
        busy = self.fleet.offer(rate=1600, duration_s=0.05)
        self.assertEqual(busy, [])
        holders = [n for n, limit in self.limits("b0").items() if limit > 0]
        self.assertEqual(len(holders), 1)
        self.fleet.offer(rate=1600, duration_s=2.0)
        self.assertEqual(self.warm_count("b0"), 14)
        self.assertEqual(self.fleet.violations(), [])

    def test_cold_server_is_not_opened_while_it_is_slow(self):
        """Guards against successes that open a server which is still cold.

        The server needs 4 s and takes three times as long; more than 4 requests in
        flight would make it fall over.
        """
        self.fleet.boots["b0"] = "boot-2"
        self.fleet.slow["b0"] = 3.0
        self.fleet.offer(rate=1600, duration_s=0.2, settle=False)
        self.fleet.most_busy.clear()
        self.fleet.offer(rate=1600, duration_s=3.8, settle=False)
        self.assertLessEqual(self.fleet.most_busy["b0"], 4)
        del self.fleet.slow["b0"]
        self.fleet.offer(rate=1600, duration_s=2.0)
        self.assertEqual(self.warm_count("b0"), 14)

    def test_late_answers_and_reports_of_the_old_boot_open_nothing(self):
        """Guards against a lagging report that opens a restarted server."""
        router = self.fleet.routers["h0"]
        router.on_peer_message("h2", BackendCold("b0", "boot-2"))
        late = WarmthReport((WarmthEntry("b0", "boot-1", 255),))
        router.on_peer_message("h4", late)
        self.assertFalse(self.is_warm("h0", "b0"))
        crossing = WarmthReport((WarmthEntry("b0", "boot-2", 255),))
        router.on_peer_message("h4", crossing)
        self.assertFalse(self.is_warm("h0", "b0"))
        self.fleet.loop.advance(0.3)
        router.on_peer_message("h4", crossing)
        self.assertTrue(self.is_warm("h0", "b0"))

    def test_warm_claim_under_another_boot_id_opens_no_cold_server(self):
        """Guards against a peer that was cut off and still reports the old boot."""
        router = self.fleet.add("new", "pohja")
        self.fleet.spread_hosts()
        router.on_peer_message("h2", BackendCold("b0", "boot-2"))
        self.fleet.loop.advance(1.0)
        claim = WarmthReport((WarmthEntry("b0", "boot-1", 255),))
        router.on_peer_message("h4", claim)
        self.assertFalse(self.is_warm("new", "b0"))

    def test_work_started_before_a_cold_turn_is_no_success(self):
        """Guards against a ramp fed by answers from before the cold turn."""
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
            self.fleet.warm(["h0"])

    def test_one_faulty_peer_cannot_close_the_fleet(self):
        """Guards against a host with a broken network that calls all servers cold."""
        router = self.fleet.routers["h0"]
        for backend in self.fleet.backends:
            router.on_peer_message("h2", BackendCold(backend.id, "boot-1"))
        views = router.table.views.values()
        self.assertGreaterEqual(sum(view.is_warm for view in views), 18)

    def test_restarted_daemon_is_cold_until_a_peer_reports(self):
        """Guards against a restarted daemon that trusts servers it knows nothing of."""
        router = self.fleet.add("new", "pohja")
        self.fleet.spread_hosts()
        self.assertFalse(any(view.is_warm for view in router.table.views.values()))
        report = self.fleet.routers["h1"].make_slow_start_report(is_full=True)
        router.on_peer_message("h1", report)
        self.assertTrue(all(view.is_warm for view in router.table.views.values()))

    def test_a_peer_that_was_cut_off_learns_of_a_cold_turn(self):
        """Guards against full load from a host that missed the message."""
        router = self.fleet.routers["h0"]
        self.fleet.cut.add("h0")
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

    def test_a_reservation_does_not_outlive_a_cold_turn(self):
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
        """Guards against an assertion that uses the router's own limit."""
        router = self.fleet.add("bad", "pohja", faults=frozenset({"overload-cold"}))
        self.fleet.spread_hosts()
        now_s = self.fleet.timer.now()
        for _ in range(10):
            router.start(self.fleet.run(router.acquire(request(now_s))))
        violations = self.fleet.invariants["bad"].violations
        self.assertGreater(violations[InvariantName.COLD_START], 5)

    def test_a_shed_answer_slows_the_ramp(self):
        """Guards against a ramp that goes on while the server sheds."""
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
