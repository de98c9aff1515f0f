"""Host count, rate limits, retry budget and fair queueing."""

import random
import unittest

from crocusward.devtools.virtual_loop import VirtualLoop
from crocusward.errors import Refusal
from crocusward.limits import (
    FairQueue,
    HostCounter,
    QueuedItem,
    RateLimiter,
    RetryBudget,
)
from crocusward.model import Contract, ContractLimits
from crocusward.peer import OfferedRate
from crocusward.timing import LoopTimer

HOSTS = [f"h{index}" for index in range(14)]


class HostCounterTest(unittest.TestCase):
    def setUp(self):
        self.counter = HostCounter(16)

    def test_no_list_uses_the_largest_fleet(self):
        """Guards against a host that takes a whole budget before it has a list."""
        self.assertEqual(self.counter.divisor(0.0), 16)
        self.counter.record_contact("h1", 0.0)
        self.counter.update_listed([])
        self.assertEqual(self.counter.divisor(1.0), 16)

    def test_silence_alone_never_lowers_the_divisor(self):
        """Guards against shares that grow on both sides of a partition."""
        self.counter.update_listed(HOSTS)
        for name in [*HOSTS, "new"]:
            self.counter.record_contact(name, 0.0)
        self.assertEqual(self.counter.divisor(0.0), 15)
        self.assertEqual(self.counter.divisor(3600.0), 15)

    def test_a_list_without_the_host_lowers_it_only_when_it_is_silent(self):
        """Guards against a lagging list that drops a host which still serves."""
        self.counter.update_listed(HOSTS)
        self.counter.record_contact("h3", 9.0)
        self.counter.update_listed([name for name in HOSTS if name != "h3"])
        self.assertEqual(self.counter.divisor(10.0), 14)
        self.counter.update_listed([name for name in HOSTS if name != "h3"])
        self.assertEqual(self.counter.divisor(13.0), 13)

    def test_an_unlisted_host_counts_until_lists_had_time_to_show_it(self):
        """Guards against a new host that is removed before it is listed."""
        self.counter.update_listed(HOSTS)
        self.counter.record_contact("new", 0.0)
        self.counter.update_listed(HOSTS)
        self.assertEqual(self.counter.divisor(30.0), 15)
        self.counter.update_listed(HOSTS)
        self.assertEqual(self.counter.divisor(61.0), 14)

    def test_a_leaving_host_counts_again_after_its_return(self):
        """Guards against a restarted host that others never count again."""
        self.counter.update_listed(HOSTS)
        self.counter.record_departure("h2")
        self.assertEqual(self.counter.divisor(0.0), 13)
        self.counter.update_listed(HOSTS, leaving=["h2"])
        self.assertEqual(self.counter.divisor(0.0), 13)
        self.counter.record_contact("h2", 1.0)
        self.assertEqual(self.counter.divisor(1.0), 14)


def make_contract(**limits):
    return Contract("c", "kalev", frozenset(), limits=ContractLimits(**limits))


class RateLimiterTest(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.timer = LoopTimer(self.loop, random.Random(1))

    def make(self, names=HOSTS):
        share = HostCounter(16)
        share.update_listed(names)
        return RateLimiter(self.timer, share), share

    def admit_all(self, limiter, contract):
        count = 0
        try:
            while True:
                limiter.admit(contract).release()
                count += 1
        except Refusal as exc:
            self.assertEqual(exc.code, "rate_limited")
            self.assertGreater(exc.retry_after_s, 0.0)
        return count

    def test_bound_holds_during_replacement_and_partition(self):
        """Guards against a fleet that exceeds a contract while hosts disagree.

        One host dies silently, its replacement starts before the others' lists show
        it, and then a partition splits the fleet in halves.
        """
        rate, burst, step_s = 140.0, 28.0, 0.02
        contract = make_contract(rate=rate, burst=burst)
        hosts = {name: self.make() for name in HOSTS}
        admitted = []
        for step in range(int(40.0 / step_s)):
            now_s = step * step_s
            if step == 500:
                del hosts["h3"]
            if step == 550:
                hosts["h14"] = self.make([*HOSTS, "h14"])
            if step == 800:
                for _, share in hosts.values():
                    share.update_listed([*HOSTS[:3], *HOSTS[4:], "h14"])
            for index, (name, (_, share)) in enumerate(hosts.items()):
                for other, peer in enumerate(hosts):
                    if peer != name and (now_s < 25.0 or index % 2 == other % 2):
                        share.record_contact(peer, now_s)
            total = sum(self.admit_all(lim, contract) for lim, _ in hosts.values())
            admitted.append(total)
            self.loop.advance(step_s)
        for start in range(0, len(admitted), 25):
            total = 0
            for end in range(start, len(admitted)):
                total += admitted[end]
                bound = rate * (end - start + 1) * step_s + burst
                disputed = min(end + 1, 800) - max(start, 550)
                if disputed > 0:
                    bound += (rate * disputed * step_s + burst) / len(HOSTS)
                self.assertLessEqual(total, bound + 1e-6)
        self.assertGreater(sum(admitted[1600:]), 0.95 * rate * 8.0)

    def test_new_host_starts_without_burst(self):
        """Guards against a burst for each host that restarts."""
        limiter, _ = self.make()
        contract = make_contract(rate=140.0, burst=140.0)
        self.assertEqual(self.admit_all(limiter, contract), 0)
        self.loop.advance(0.5)
        self.assertEqual(self.admit_all(limiter, contract), 5)

    def test_requests_in_flight_are_divided_but_at_least_one(self):
        """Guards against a host whose share of a small limit is zero."""
        limiter, _ = self.make()
        self.loop.advance(10.0)
        contract = make_contract(in_flight=3)
        ticket = limiter.admit(contract)
        with self.assertRaises(Refusal) as caught:
            limiter.admit(contract)
        self.assertEqual(caught.exception.code, "too_many_in_flight")
        ticket.release()
        ticket.release()
        limiter.admit(contract)
        with self.assertRaises(Refusal):
            limiter.admit(contract)

    def test_offered_rate_is_measured_and_peer_rates_expire(self):
        """Guards against peers' reported rates that never expire."""
        limiter, _ = self.make()
        contract = make_contract(rate=1e6, burst=1e6)
        for _ in range(1000):
            self.loop.advance(0.01)
            limiter.admit(contract).release()
        entry = limiter.offered_rates()[0]
        self.assertAlmostEqual(entry.rate, 100.0, delta=10.0)
        limiter.record_peer_rates("h1", [OfferedRate("c", 50.0)], self.timer.now())
        self.assertAlmostEqual(limiter.fleet_offered_rate("c"), 150.0, delta=10.0)
        self.loop.advance(60.0)
        self.assertLess(limiter.fleet_offered_rate("c"), 10.0)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_within_the_share(self):
        """Guards against retries that multiply an overload."""
        for depth, share in ((0, 0.1), (1, 0.05)):
            budget = RetryBudget()
            taken = 0
            for _ in range(1000):
                budget.record_first_attempt()
                taken += budget.try_spend(depth)
            self.assertAlmostEqual(taken, 1000 * share, delta=2)

    def test_saved_budget_is_bounded(self):
        """Guards against a burst of retries after a long idle period."""
        budget = RetryBudget()
        for _ in range(10_000):
            budget.record_first_attempt()
        self.assertEqual(sum(budget.try_spend(0) for _ in range(100)), 10)


def make_item(customer, idempotent=True, weight=1.0, deadline_s=10.0):
    return QueuedItem(object(), customer, weight, idempotent, deadline_s)


class FairQueueTest(unittest.TestCase):
    def drain(self, queue, count):
        popped = [queue.pop(0.0, lambda item: True) for _ in range(count)]
        return [item.customer for item in popped if item is not None]

    def test_noisy_customer_takes_no_share_of_another(self):
        """Guards against first-come, first-served order between customers."""
        queue = FairQueue(1000)
        for _ in range(500):
            queue.push(make_item("noisy"))
        for _ in range(10):
            queue.push(make_item("quiet"))
        self.assertEqual(self.drain(queue, 20).count("quiet"), 10)

    def test_weights_divide_the_service(self):
        """Guards against a weight below one that is never served."""
        queue = FairQueue(1000)
        for _ in range(100):
            queue.push(make_item("light", weight=0.25))
            queue.push(make_item("heavy", weight=2.0))
        served = self.drain(queue, 90)
        self.assertAlmostEqual(served.count("light"), 10, delta=1)

    def test_light_customer_is_found_behind_blocked_ones(self):
        """Guards against stopping before every customer in rotation was checked."""
        queue = FairQueue(100)
        for index in range(8):
            queue.push(make_item(f"blocked{index}"))
        light = make_item("light", weight=0.05)
        queue.push(light)
        found = queue.pop(0.0, lambda item: item.customer == "light")
        self.assertIs(found, light)

    def test_idempotent_requests_make_room_for_others(self):
        """Guards against a full queue that refuses work which must not be lost."""
        queue = FairQueue(3)
        queue.push(make_item("a"))
        newest = make_item("a")
        queue.push(newest)
        queue.push(make_item("b", idempotent=False))
        self.assertIs(queue.push(make_item("c", idempotent=False)), newest)
        queue.push(make_item("c", idempotent=False))
        with self.assertRaises(Refusal) as caught:
            queue.push(make_item("b", idempotent=True))
        self.assertEqual(caught.exception.code, "queue_full")
        self.assertEqual(len(queue), 3)

    def test_full_queue_sheds_the_noisy_customer_first(self):
        """Guards against a customer that fills the queue and shuts out others."""
        for idempotent in (True, False):
            queue = FairQueue(10)
            for _ in range(10):
                queue.push(make_item("noisy", idempotent))
            shed = queue.push(make_item("quiet", idempotent))
            self.assertEqual(shed.customer, "noisy")
            with self.assertRaises(Refusal):
                queue.push(make_item("noisy", idempotent))

    def test_expired_and_removed_requests_are_not_served(self):
        """Guards against serving requests that no caller waits for."""
        queue = FairQueue(10)
        expired = make_item("a", deadline_s=1.0)
        removed = make_item("b")
        queue.push(expired)
        queue.push(removed)
        self.assertTrue(queue.remove(removed))
        self.assertFalse(queue.remove(removed))
        self.assertIsNone(queue.pop(2.0, lambda item: True))
        self.assertTrue(queue.remove(expired))
        self.assertEqual(len(queue), 0)


if __name__ == "__main__":
    unittest.main()
