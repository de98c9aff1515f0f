"""Tests of routing: servers out of service, the queue, residency, budgets, policies."""

import unittest

from crocusward.errors import Refusal
from crocusward.invariants import InvariantName
from crocusward.limits import HostCounter
from crocusward.model import BackendAnswer
from crocusward.routing import ExchangeKind, ExchangeResult, LinkBudget
from tests.routing_fixture import REGIONS, Fleet, ok, request


class RouterCase(unittest.TestCase):
    def make_fleet(self, hosts=1, backends=8, **fields):
        self.fleet = Fleet(hosts=hosts, backends=backends, **fields)
        self.addCleanup(self.fleet.loop.close)
        self.fleet.report_all_warm()
        self.router = self.fleet.routers["h0"]
        self.timer = self.fleet.timer

    def acquire(self, router=None, **fields):
        req = request(self.timer.now(), **fields)
        return self.fleet.run((router or self.router).acquire(req))

    def select_many(self, count=200, **fields):
        """Run requests one after another and return the servers that got them."""
        selected = []
        for _ in range(count):
            res = self.acquire(**fields)
            self.assertTrue(self.router.start(res))
            selected.append(res.backend)
            self.router.finish(res, ok())
        return selected

    def get_refusal_code(self, **fields):
        with self.assertRaises(Refusal) as caught:
            self.acquire(**fields)
        return caught.exception.code


class OutOfServiceTest(RouterCase):
    def setUp(self):
        self.make_fleet()

    def test_what_is_taken_out_gets_no_new_work_at_once(self):
        """Guards against new requests to a server taken out of service or leaving."""
        self.router.set_out_of_service({"tallinn-a"}, {"b2"})
        self.router.set_backends(self.fleet.backends, {"b6"})
        self.router.set_cross_region_allowed(True)
        selected = self.select_many()
        self.assertTrue(all(b.data_centre != "tallinn-a" for b in selected))
        self.assertFalse({"b2", "b6"} & {b.id for b in selected})
        self.assertEqual(self.fleet.violations(), [])

    def test_a_reservation_does_not_outlive_the_decision(self):
        """Guards against sending to a server that closed after the reservation."""
        actions = [
            lambda b: self.router.set_out_of_service({b.data_centre}, set()),
            lambda b: self.router.set_out_of_service(set(), {b.id}),
            lambda b: self.router.set_backends(self.fleet.backends, {b.id}),
            lambda b: self.router.set_backends([], set()),
        ]
        for action in actions:
            res = self.acquire()
            action(res.backend)
            self.assertFalse(self.router.start(res))
            self.assertEqual(res.view.in_flight, 0)
            self.router.set_out_of_service(set(), set())
            self.router.set_backends(self.fleet.backends, set())

    def test_no_start_across_regions_once_that_is_forbidden(self):
        """Guards against a host with unconfirmed configuration that crosses regions."""
        self.fleet.loop.advance(1.0)
        res = self.acquire(regions=frozenset({"louna"}))
        self.router.set_cross_region_allowed(False)
        self.assertFalse(self.router.start(res))
        self.assertEqual(
            self.get_refusal_code(regions=frozenset({"louna"}), deadline_s=2.0),
            "no_backend",
        )

    def test_drain_mark_closes_a_server_until_it_warms_up_again(self):
        """Guards against new requests to a server whose answer had the drain mark."""
        res = self.acquire()
        self.router.start(res)
        marked = res.backend.id
        self.router.finish(res, ok(draining=True))
        self.assertNotIn(marked, {b.id for b in self.select_many()})
        self.fleet.loop.advance(11.0)
        self.select_many(1)
        view = self.router.table.views[marked]
        self.assertTrue(view.is_open)
        self.assertFalse(view.is_warm)

    def test_probe_never_opens_a_server(self):
        """Guards against a probe answer without drain mark that reopens a server."""
        backend = self.fleet.backends[0]
        answer = BackendAnswer(200, [], b"", load=0, boot="boot-1", draining=True)
        self.router.record_probe(backend, answer)
        answer = BackendAnswer(200, [], b"", load=0, boot="boot-1")
        self.router.record_probe(backend, answer)
        self.assertNotIn(backend.id, {b.id for b in self.select_many()})

    def test_refused_connections_pause_a_server_and_make_it_cold(self):
        """Guards against full load on a server that accepts connections again."""
        failed = ExchangeResult(ExchangeKind.NOT_SENT)
        view = self.router.table.views["b0"]
        others = {b.id for b in self.fleet.backends if b.id != "b0"}
        res = self.acquire(excluded=others)
        self.router.start(res)
        self.router.finish(res, failed)
        self.assertFalse(view.is_open)
        self.assertNotIn("b0", {b.id for b in self.select_many()})
        self.fleet.loop.advance(0.2)
        self.select_many(1)
        self.assertTrue(view.is_open)
        self.assertEqual(view.limit, 1)

    def test_each_fault_is_caught_by_its_assertion(self):
        """Guards against invariant checks that share the fault they should detect."""
        out = {"tallinn-a", "rakvere-b", "tartu-a", "voru-b"}
        cases = {
            "ignore-drain": (
                InvariantName.DATA_CENTRE_OUT,
                lambda router: router.set_out_of_service(out, set()),
            ),
            "ignore-leaving": (
                InvariantName.BACKEND_LEAVING,
                lambda router: router.set_backends(
                    self.fleet.backends, {b.id for b in self.fleet.backends}
                ),
            ),
            "leak-region": (InvariantName.RESIDENCY, lambda router: None),
        }
        for fault, (name, action) in cases.items():
            router = self.fleet.add(fault, "pohja", faults=frozenset({fault}))
            self.fleet.report_all_warm([fault])
            action(router)
            self.fleet.loop.advance(3.5)
            res = self.acquire(router, regions=frozenset({"louna"}))
            self.assertTrue(router.start(res))
            self.assertEqual(self.fleet.invariants[fault].violations[name], 1)


class QueueTest(RouterCase):
    def setUp(self):
        self.make_fleet(backends=2)
        self.router.set_cross_region_allowed(False)
        self.held = []
        while self.router.table.views["b0"].in_flight < 4:
            self.held.append(self.acquire())

    def submit(self, **fields):
        req = request(self.timer.now(), **fields)
        return self.fleet.loop.create_task(self.router.acquire(req))

    def release(self):
        self.router.finish(self.held.pop(), ExchangeResult(ExchangeKind.CANCELLED))

    def test_cancelled_waits_leak_nothing(self):
        """Guards against reservations leaked by requests cancelled while queued.

        One of them is cancelled just after it was admitted.
        """
        tasks = [self.submit() for _ in range(20)]
        self.fleet.loop.advance(0.01)
        for task in tasks[::2]:
            task.cancel()
        self.release()
        tasks[1].cancel()  # already admitted, but the task has not run yet
        self.fleet.loop.advance(0.01)
        while self.held:
            self.release()
        self.fleet.loop.advance(0.01)
        granted = [t for t in tasks if t.done() and not t.cancelled()]
        self.assertEqual(len(granted), 4)
        for task in granted:
            self.router.finish(task.result(), ok())
        self.fleet.loop.advance(6.0)
        for task in tasks:
            if not task.cancelled() and task.exception() is None:
                self.router.finish(task.result(), ok())
        self.assertEqual(self.router.table.views["b0"].in_flight, 0)

    def test_queued_request_is_refused_with_the_actual_reason(self):
        """Guards against an unbounded wait and against a wrong refusal code."""
        now_s = self.timer.now()
        self.assertEqual(
            self.get_refusal_code(deadline_s=now_s + 0.5), "deadline_exceeded"
        )
        self.assertEqual(self.get_refusal_code(deadline_s=now_s), "deadline_exceeded")
        self.assertEqual(self.get_refusal_code(idempotent=True), "queue_timeout")
        self.assertEqual(self.get_refusal_code(excluded={"b0"}), "no_backend")

    def test_full_queue_sheds_idempotent_work_first(self):
        """Guards against shedding non-idempotent requests while others could go."""
        kept = [self.submit(idempotent=False) for _ in range(200)]
        shed = [self.submit(idempotent=True) for _ in range(56)]
        self.fleet.loop.advance(0.001)
        kept += [self.submit(idempotent=False) for _ in range(56)]
        self.fleet.loop.advance(0.001)
        self.assertTrue(all(t.exception().code == "queue_full" for t in shed))
        self.assertFalse(any(task.done() for task in kept))
        for task in kept:
            task.cancel()
        self.fleet.loop.advance(0.001)

    def test_noisy_customer_does_not_delay_another(self):
        """Guards against one customer's queued requests starving another customer."""
        noisy = [self.submit(customer="noisy") for _ in range(100)]
        self.fleet.loop.advance(0.001)
        quiet = [self.submit(customer="quiet") for _ in range(2)]
        self.fleet.loop.advance(0.001)
        for _ in range(4):
            self.release()
        self.fleet.loop.advance(0.001)
        self.assertTrue(all(task.done() for task in quiet))
        for task in noisy:
            task.cancel()
        self.fleet.loop.advance(0.001)

    def test_request_is_not_blocked_by_one_that_waits_for_another_region(self):
        """Guards against a wait while a local server is below its limit."""
        self.fleet.loop.advance(1.0)
        self.router.set_cross_region_allowed(True)
        remote_regions = frozenset({"louna"})
        for _ in range(4):
            self.acquire(regions=remote_regions)
        blocked = self.submit(regions=remote_regions, customer="other")
        self.fleet.loop.advance(0.001)
        self.release()
        before_s = self.timer.now()
        self.acquire()
        self.assertEqual(self.timer.now(), before_s)
        self.assertFalse(blocked.done())
        blocked.cancel()
        self.fleet.loop.advance(0.001)

    def test_queued_request_is_admitted_when_a_server_returns(self):
        """Guards against queues that are served only when a request finishes."""
        self.make_fleet(backends=4)
        self.router.set_cross_region_allowed(False)
        self.router.set_out_of_service(set(), {"b2"})
        for _ in range(4):
            self.acquire()
        task = self.submit()
        self.fleet.loop.advance(0.01)
        self.assertFalse(task.done())
        self.router.set_out_of_service(set(), set())
        self.fleet.loop.advance(0.001)
        self.assertEqual(task.result().backend.id, "b2")


class ResidencyTest(RouterCase):
    def test_selection_stays_in_the_home_regions(self):
        """Guards against requests served outside their home regions in overload."""
        for policy in ("random", "two_choices", "least_wait", "hot_cold"):
            self.make_fleet(policy=policy)
            self.fleet.loop.advance(1.0)
            for region in REGIONS:
                selected = self.select_many(50, regions=frozenset({region}))
                self.assertEqual({b.region for b in selected}, {region})
            self.router.set_out_of_service({"tallinn-a", "rakvere-b"}, set())
            self.assertEqual(
                self.get_refusal_code(regions=frozenset({"pohja"})), "no_backend"
            )
            self.assertEqual(self.fleet.violations(), [])


class BudgetTest(RouterCase):
    def test_link_budget_bounds_the_bytes_that_cross(self):
        """Guards against a saturated link when one region has no servers in service."""
        self.make_fleet(hosts=14)
        self.router.set_out_of_service({"tallinn-a", "rakvere-b"}, set())
        crossed = 0
        for _ in range(400):
            self.fleet.loop.advance(0.025)
            try:
                res = self.acquire(bytes=40_000, deadline_s=self.timer.now() + 0.001)
            except Refusal:
                continue
            crossed += 40_000
            self.router.finish(res, ok())
        budget = 30e6 * 0.5 / 8 / 14 * 10.0
        self.assertLess(crossed, budget + 2 * 40_000)
        self.assertGreater(crossed, 0.8 * budget)

    def test_link_budget_shrinks_with_new_hosts(self):
        """Guards against host shares that add up to more than the link budget."""
        self.make_fleet()
        share = HostCounter(14)
        link = LinkBudget(self.timer, share)
        self.fleet.loop.advance(10.0)
        link.take(60_000)
        self.assertTrue(link.has_room(70_000))
        share.update_listed([f"h{index}" for index in range(28)])
        link.take(0)  # caps the level at the smaller share, 67 kB
        self.assertFalse(
            link.has_room(67_000) and not link.take(1_000) and link.has_room(67_000)
        )

    def count_probes(self, routers, duration_s):
        count = 0
        for _ in range(int(duration_s / 0.005)):
            self.fleet.loop.advance(0.005)
            count += sum(router.next_probe() is not None for router in routers)
        return count

    def test_probes_stay_in_budget_while_hosts_join_and_disagree(self):
        """Guards against an exceeded budget while hosts disagree on the membership."""
        self.make_fleet(hosts=14, backends=24)
        routers = list(self.fleet.routers.values())
        rate = 24 * 2 * 0.01 / 0.006
        count = self.count_probes(routers, 5.0)
        self.assertLessEqual(count, rate * 5.0 + 14)
        for index in range(14, 17):  # each host knows itself before the others do
            routers.append(self.fleet.add(f"h{index}", REGIONS[index % 2]))
            self.fleet.publish_hosts(to=[f"h{index}"])
        count = self.count_probes(routers, 5.0)
        self.assertLessEqual(count, rate * 5.0 * (1 + 3 / 14) + 17)
        self.fleet.publish_hosts()
        count = self.count_probes(routers, 5.0)
        self.assertLessEqual(count, rate * 5.0 + 17)
        self.assertEqual(self.fleet.violations(), [])

    def test_probe_flood_is_asserted(self):
        """Guards against a check that relies on the count of the scheduler itself."""
        self.make_fleet(hosts=14)
        router = self.fleet.add("flood", "pohja", faults=frozenset({"probe-flood"}))
        self.count_probes([router], 1.0)
        violations = self.fleet.invariants["flood"].violations
        self.assertGreater(violations[InvariantName.PROBE_BUDGET], 100)

    def test_fresh_answers_replace_probes(self):
        """Guards against probes, 6 ms of slot time each, that tell nothing new."""
        self.make_fleet(backends=2)
        self.select_many(1)
        self.fleet.loop.advance(0.9)
        self.assertIsNone(self.router.next_probe())
        self.fleet.loop.advance(60.0)
        self.assertIsNotNone(self.router.next_probe())


class PolicyTest(RouterCase):
    def test_baseline_policies_never_queue(self):
        """Guards against baseline policies that benefit from in-flight limits."""
        for policy in ("random", "two_choices"):
            self.make_fleet(policy=policy)
            held = [self.acquire(deadline_s=self.timer.now() + 1) for _ in range(500)]
            self.assertEqual(len(held), 500)

    def test_default_avoids_a_slow_server(self):
        """Guards against a policy that ignores the service times of servers."""
        self.make_fleet(backends=16)
        self.fleet.slowdown_factors["b0"] = 5.0
        self.fleet.run_load(rate=300, duration_s=4.0)
        share = self.fleet.served.count("b0") / len(self.fleet.served)
        self.assertLess(share, 0.5 / 8)


if __name__ == "__main__":
    unittest.main()
