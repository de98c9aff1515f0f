"""Rate limits of backend servers at the own interface, kept by all hosts together."""

import asyncio
import random
import unittest

from crocusward.errors import Refusal
from crocusward.invariants import InvariantName
from crocusward.peer import (
    RateLimitEntry,
    RateLimitPermit,
    RateLimitPermitRequest,
    RateLimitReport,
    decode,
    encode,
)

from .routing_fixture import Fleet, request

WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


class LimitedFleetTestCase(unittest.TestCase):
    """Provides warm fleets whose servers name limits."""

    def make_fleet(self, per_s, hosts=14, backends=4, share=1.0):
        fleet = Fleet(hosts=hosts, backends=backends)
        fleet.report_all_warm()
        limited = fleet.backends[: int(share * backends)]
        fleet.rate_limits = {backend.id: per_s for backend in limited}
        return fleet

    def most_in_window(self, fleet, after_s=1.0):
        """Return the most requests that a limited server got in one window."""
        most = 0
        for id in fleet.rate_limits:
            times = sorted(fleet.arrivals[id])
            times = [at_s for at_s in times if at_s > times[0] + after_s]
            for end_s in times:
                most = max(most, sum(end_s - WINDOW_S < at <= end_s for at in times))
        return most

    def assert_kept(self, fleet, per_s):
        allowed = ALLOWED_FACTOR * WINDOW_S * per_s + ALLOWED_EXTRA
        self.assertLessEqual(self.most_in_window(fleet), allowed)
        self.assertEqual(fleet.violations(), [])


class RateLimitTest(LimitedFleetTestCase):
    def test_hosts_together_keep_the_limit_of_a_server(self):
        """Guards against a server that gets its limit, or more, from each host."""
        for per_s in (1.0, 8.0):
            with self.subTest(per_s=per_s):
                fleet = self.make_fleet(per_s)
                fleet.run_load(100.0, 12.0, should_await_pending=False)
                self.assert_kept(fleet, per_s)
                count = sum(len(times) for times in fleet.arrivals.values())
                self.assertGreater(count, 0.6 * 4 * per_s * 12.0)

    def test_other_servers_get_what_a_limited_one_cannot_take(self):
        """Guards against requests that wait for a limit while servers are free."""
        fleet = self.make_fleet(1.0, backends=8, share=0.5)
        errors = fleet.run_load(60.0, 8.0)
        self.assertEqual(errors, [])
        self.assert_kept(fleet, 1.0)

    def test_limits_hold_while_hosts_go_and_links_break(self):
        """Guards against two hosts that both issue the permits of a server."""
        for seed, per_s in ((1, 1.0), (2, 6.0)):
            with self.subTest(seed=seed):
                fleet = self.make_fleet(per_s)
                rng = random.Random(seed)

                def change(fleet=fleet, rng=rng):
                    for name in fleet.routers:
                        without = rng.sample(fleet.names, rng.randrange(7))
                        hosts = fleet.hosts_by_region(
                            [item for item in without if item != name]
                        )
                        fleet.routers[name].set_region_hosts(hosts)
                    fleet.disconnected = set(rng.sample(fleet.names, 2))

                sub = fleet.timer.every(0.9, change)
                fleet.run_load(100.0, 14.0, should_await_pending=False)
                sub.cancel()
                self.assert_kept(fleet, per_s)

    def test_limit_that_ends_opens_the_server(self):
        """Guards against servers that stay limited at hosts which get no permits."""
        fleet = self.make_fleet(1.0, hosts=4, backends=2)
        fleet.run_load(40.0, 4.0, should_await_pending=False)
        fleet.rate_limits = {}
        fleet.run_load(40.0, 3.0, should_await_pending=False)
        errors = fleet.run_load(40.0, 2.0)
        self.assertEqual(errors, [])
        for router in fleet.routers.values():
            self.assertFalse(router.rate_limits.is_limited("b0"))

    def test_all_hosts_get_their_turn(self):
        """Guards against a coordinator that serves only its own callers."""
        fleet = self.make_fleet(8.0, hosts=6, backends=2)
        served = {name: 0 for name in fleet.names}

        async def ask(name):
            try:
                await fleet.send_request(name)
            except Refusal:
                return
            served[name] += 1

        async def main():
            tasks = []
            for index in range(600):
                tasks.append(fleet.loop.create_task(ask(fleet.names[index % 6])))
                await fleet.timer.sleep(0.02)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        fleet.run(main())
        self.assert_kept(fleet, 8.0)
        self.assertGreater(min(served.values()), 0.4 * max(served.values()))

    def test_hopeless_request_is_refused_at_once(self):
        """Guards against holding a request that the limits leave no time."""
        fleet = self.make_fleet(0.5, hosts=1, backends=1)
        fleet.run_load(10.0, 2.0, should_await_pending=False)
        router = fleet.routers["h0"]
        began_s = fleet.timer.now()

        async def main():
            pending = []
            for _ in range(3):
                coro = router.acquire(request(fleet.timer.now(), idempotent=True))
                pending.append(fleet.loop.create_task(coro))
                await fleet.timer.sleep(0.001)
            refused = [task for task in pending if task.done()]
            for task in pending:
                task.cancel()
            return [task.exception() for task in refused]

        found = fleet.run(main())
        self.assertGreater(len(found), 0)
        self.assertGreater(found[0].retry_after_s, 0.0)
        self.assertLess(fleet.timer.now() - began_s, 0.1)

    def test_another_run_of_a_server_has_no_limit(self):
        """Guards against a limit that outlives the run which named it."""
        fleet = self.make_fleet(1.0, hosts=1, backends=1)
        fleet.run_load(5.0, 1.0, should_await_pending=False)
        limits = fleet.routers["h0"].rate_limits
        self.assertTrue(limits.is_limited("b0"))
        backend = fleet.backends[0]
        entry = RateLimitEntry("b0", "boot-2", 3.0, 0)
        self.assertTrue(limits.merge("h1", backend, entry))
        self.assertEqual(limits.states["b0"].limit.per_s, 3.0)
        for boot, age_ms, is_limited in (("boot-1", 500, True), ("boot-3", 0, False)):
            fleet.run(fleet.timer.sleep(0.1))
            limits.merge("h1", backend, RateLimitEntry("b0", boot, 0.0, age_ms))
            self.assertEqual(limits.is_limited("b0"), is_limited)
        fleet.run(fleet.timer.sleep(0.1))
        limits.merge("h1", backend, RateLimitEntry("b0", "boot-3", 3.0, 0))
        self.assertTrue(limits.is_limited("b0"))
        fleet.routers["h0"].set_backends([], set())
        self.assertFalse(limits.is_limited("b0"))

    def test_late_permit_is_not_used(self):
        """Guards against a suspended host that uses permits which it reads late."""
        fleet = self.make_fleet(1.0, hosts=1, backends=1)
        limits = fleet.routers["h0"].rate_limits
        limits.merge("h1", fleet.backends[0], RateLimitEntry("b0", "", 1.0, 0))
        asked_ms = int(fleet.timer.now() * 1000.0)
        self.assertTrue(limits.on_permit(RateLimitPermit("b0", 1, asked_ms)))
        late = RateLimitPermit("b0", 1, asked_ms - 1500)
        self.assertFalse(limits.on_permit(late))


class PlantedFaultTest(LimitedFleetTestCase):
    def test_hosts_that_ignore_the_limit_are_caught(self):
        """Guards against checks that cannot fail."""
        fleet = Fleet(hosts=0, backends=2)
        fleet.names = ["h0"]
        fleet.add("h0", "pohja", faults=frozenset({"ignore-rate-limit"}))
        fleet.publish_hosts()
        fleet.report_all_warm()
        fleet.rate_limits = {"b0": 1.0, "b1": 1.0}
        fleet.run_load(20.0, 6.0, should_await_pending=False)
        names = {item.name for item in fleet.violations()}
        self.assertIn(InvariantName.RATE_LIMIT, names)
        self.assertGreater(self.most_in_window(fleet), 11)


class MessageTest(unittest.TestCase):
    def test_round_trip(self):
        """Guards against limits and permits that change on the way."""
        for message in (
            RateLimitReport((RateLimitEntry("b1", "boot-1", 1.5, 20),)),
            RateLimitPermitRequest(("b1", "b2"), 3, 12_000),
            RateLimitPermit("b1", 2, 12_000),
        ):
            self.assertEqual(decode(encode(message)).message, message)


if __name__ == "__main__":
    unittest.main()
