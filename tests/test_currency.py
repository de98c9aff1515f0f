"""Tests of the freshness rules of one host, on a manual clock."""

import itertools
import random
import unittest

from crocusward.config import FreshnessTracker, ServingMode
from crocusward.config._freshness import CONFIRMATION_LIFETIME_S
from crocusward.peer import Heartbeat

MAX_HOSTS = 8


class Clock:
    def __init__(self):
        self.time_s = 100.0

    def now(self):
        return self.time_s


def make_heartbeat(seq, echo, version=0, age_ms=-1):
    return Heartbeat(seq, echo, version, b"", age_ms)


def make_host(count, contacts, *, unverified=False, region="a"):
    """Return host 0 of ``count``, unconfirmed, in contact with some others."""
    clock = Clock()
    host = FreshnessTracker(clock, "a", "h0")
    host.set_listed({region: [f"h{i}" for i in range(count)]})
    if not unverified:
        host.confirmed_by_store(clock.time_s)
        for _ in range(5):
            clock.time_s += 1.0
            host.tick()
    exchange_heartbeat(host, clock, contacts)
    return host, clock


def exchange_heartbeat(host, clock, contacts, seq=1, version=0):
    for number in contacts:
        host.heartbeat_sent(f"h{number}", seq)
    clock.time_s += 0.1
    for number in contacts:
        host.heartbeat_received(f"h{number}", "a", make_heartbeat(seq, seq, version))


class GroupTest(unittest.TestCase):
    def groups(self, count, *, unverified=False):
        """Return the groups around host 0 that may commit and that may serve."""
        commits, serves = [], []
        others = range(1, count)
        for size in range(count):
            for contacts in itertools.combinations(others, size):
                host, _ = make_host(count, contacts, unverified=unverified)
                if not host.find_missing_contacts(["a"]):
                    commits.append({0, *contacts})
                if host.may_serve() is not ServingMode.REFUSE:
                    self.assertIs(host.may_serve(), ServingMode.OWN_REGION)
                    serves.append({0, *contacts})
        return commits, serves

    def rotate(self, group, step, count):
        return {(member + step) % count for member in group}

    def test_no_split_commits_and_serves_unconfirmed(self):
        """Guards against a group that serves without knowing of a commit.

        For each region of 1 to 8 hosts, every group that may commit shares a
        host with every group that may serve, for every choice of the central host.
        """
        for count in range(1, MAX_HOSTS + 1):
            commits, serves = self.groups(count)
            self.assertTrue(commits and serves)
            for commit, serve in itertools.product(commits, serves):
                for step in range(count):
                    self.assertTrue(commit & self.rotate(serve, step, count))

    def test_resumed_host_needs_a_group_that_can_know(self):
        """Guards against a host that counted for a commit while it was paused."""
        for count in range(1, MAX_HOSTS + 1):
            commits, _ = self.groups(count)
            _, serves = self.groups(count, unverified=True)
            for commit, serve in itertools.product(commits, serves):
                for step in range(count):
                    heard = self.rotate(serve, step, count) - {step}
                    self.assertTrue((commit - {step}) & heard)

    def test_contact_from_before_a_pause_does_not_verify(self):
        """Guards against buffered heartbeats that hide a commit during a pause."""
        host, clock = make_host(3, (1, 2))
        for number in (1, 2):
            host.heartbeat_sent(f"h{number}", 2)
        clock.time_s += 2.5
        for number in (1, 2):
            host.heartbeat_received(f"h{number}", "a", make_heartbeat(2, 2))
        self.assertIs(host.may_serve(), ServingMode.REFUSE)
        exchange_heartbeat(host, clock, (1, 2), seq=3)
        self.assertIs(host.may_serve(), ServingMode.OWN_REGION)

    def test_newer_version_in_the_group_stops_serving(self):
        """Guards against serving an old copy when a contact has a newer one."""
        for count in range(2, MAX_HOSTS + 1):
            host, clock = make_host(count, range(1, count))
            self.assertIs(host.may_serve(), ServingMode.OWN_REGION)
            exchange_heartbeat(host, clock, [1], seq=2, version=1)
            self.assertIs(host.may_serve(), ServingMode.REFUSE)
            host.version_applied(1)
            self.assertIs(host.may_serve(), ServingMode.OWN_REGION)

    def test_majority_is_needed_in_each_region_in_scope(self):
        """Guards against a commit that does not reach a whole region."""
        host, clock = make_host(3, (1, 2))
        listed = {"a": ["h0", "h1", "h2"], "b": ["h3", "h4"]}
        host.set_listed(listed)
        self.assertEqual(host.find_missing_contacts(["a"]), [])
        self.assertEqual(host.find_missing_contacts(["a", "b"]), ["h3", "h4"])
        exchange_heartbeat(host, clock, [3])
        self.assertEqual(host.find_missing_contacts(["b"]), ["h4"])
        exchange_heartbeat(host, clock, [4])
        self.assertEqual(host.find_missing_contacts(["a", "b"]), [])

    def test_nothing_is_committed_or_served_before_the_list_is_known(self):
        """Guards against counting an empty host list as a majority."""
        host = FreshnessTracker(Clock(), "a", "h0")
        self.assertEqual(host.find_missing_contacts(["a"]), ["h0"])
        self.assertIs(host.may_serve(), ServingMode.REFUSE)

    def test_contact_ends(self):
        """Guards against contacts that last after a link went silent."""
        host, clock = make_host(3, (1, 2))
        for _ in range(19):
            clock.time_s += 0.1
            self.assertIs(host.may_serve(), ServingMode.OWN_REGION)
        clock.time_s += 0.11
        self.assertIs(host.may_serve(), ServingMode.REFUSE)
        self.assertEqual(host.find_missing_contacts(["a"]), ["h1", "h2"])

    def test_delayed_heartbeat_is_no_contact(self):
        """Guards against counting a delayed heartbeat as contact."""
        host, clock = make_host(3, ())
        host.heartbeat_sent("h1", 1)
        for _ in range(4):
            clock.time_s += 1.0
            host.tick()
        host.heartbeat_received("h1", "a", make_heartbeat(1, 1))
        self.assertIs(host.may_serve(), ServingMode.REFUSE)


class ConfirmationTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.host = FreshnessTracker(self.clock, "a", "h0")
        self.host.set_listed({"a": ["h0", "h1", "h2"]})

    def test_store_read_counts_from_its_start(self):
        """Guards against a slow read whose confirmation lasts too long."""
        started_s = self.clock.time_s
        self.clock.time_s += 2.0
        self.host.confirmed_by_store(started_s)
        self.assertIs(self.host.may_serve(), ServingMode.NORMAL)
        self.assertEqual(self.host.confirmed_age_ms(), 2000)
        self.clock.time_s += 1.0
        self.assertIs(self.host.may_serve(), ServingMode.REFUSE)
        self.assertEqual(self.host.confirmed_age_ms(), -1)

    def test_delayed_confirmation_is_dated_by_the_echo(self):
        """Guards against dating a buffered confirmation by its arrival."""
        self.host.heartbeat_sent("h1", 1)
        self.clock.time_s += 2.0
        self.host.heartbeat_received("h1", "a", make_heartbeat(1, 1, age_ms=500))
        self.assertEqual(self.host.confirmed_age_ms(), 2500)
        self.host.heartbeat_sent("h1", 2)
        self.clock.time_s += 10.0
        self.host.heartbeat_received("h1", "a", make_heartbeat(2, 2, age_ms=0))
        self.assertIs(self.host.may_serve(), ServingMode.REFUSE)

    def test_unknown_echo_and_repeated_heartbeat_confirm_nothing(self):
        """Guards against a confirmation not dated by the local clock."""
        self.host.heartbeat_sent("h1", 1)
        for message in (make_heartbeat(1, 0, age_ms=0), make_heartbeat(2, 9, age_ms=0)):
            self.host.heartbeat_received("h1", "a", message)
            self.assertEqual(self.host.confirmed_age_ms(), -1)
        self.assertTrue(self.host.heartbeat_received("h1", "a", make_heartbeat(3, 1)))
        repeated = self.host.heartbeat_received(
            "h1", "a", make_heartbeat(3, 1, age_ms=0)
        )
        self.assertFalse(repeated)
        self.assertEqual(self.host.confirmed_age_ms(), -1)

    def test_echo_of_an_old_link_means_nothing_on_a_new_one(self):
        """Guards against echoes matched to restarted sequence numbers."""
        for seq in (1, 2, 3):
            self.host.heartbeat_sent("h1", seq)
        self.clock.time_s += 8.0
        self.host.link_opened("h1")
        self.host.heartbeat_sent("h1", 1)
        self.host.heartbeat_received("h1", "a", make_heartbeat(1, 3, age_ms=0))
        self.assertEqual(self.host.confirmed_age_ms(), -1)

    def test_confirmation_of_a_newer_version_counts_once_it_is_applied(self):
        """Guards against a host that is confirmed with an old copy."""
        self.host.heartbeat_sent("h1", 1)
        self.host.heartbeat_received(
            "h1", "a", make_heartbeat(1, 1, version=5, age_ms=100)
        )
        self.assertEqual(self.host.known_version, 5)
        self.assertIs(self.host.may_serve(), ServingMode.REFUSE)
        self.host.version_applied(4)
        self.assertIs(self.host.may_serve(), ServingMode.REFUSE)
        self.host.version_applied(5)
        self.assertIs(self.host.may_serve(), ServingMode.NORMAL)

    def test_confirmations_never_outrun_the_store(self):
        """Guards against confirmations that renew each other in a circle.

        Host 0 alone reads the store, and stops at some time. Heartbeats travel
        between all hosts with any delay.
        """
        for seed in range(200):
            with self.subTest(seed=seed):
                self.exchange_heartbeats(random.Random(seed))

    def exchange_heartbeats(self, rng):
        clock = Clock()
        hosts = [FreshnessTracker(clock, "a", f"h{i}") for i in range(3)]
        pairs = list(itertools.permutations(range(3), 2))
        seqs, seen = {}, {}
        in_flight = []
        read_s = -1.0
        reads = rng.randrange(40)
        for step in range(120):
            clock.time_s += rng.choice([0.05, 0.4, 1.0])
            if step < reads:
                read_s = clock.time_s
                hosts[0].confirmed_by_store(read_s)
            here, there = rng.choice(pairs)
            seq = seqs[here, there] = seqs.get((here, there), 0) + 1
            hosts[here].heartbeat_sent(f"h{there}", seq)
            echo = seen.get((there, here), 0)
            message = make_heartbeat(seq, echo, 0, hosts[here].confirmed_age_ms())
            in_flight.append((here, there, message))
            while in_flight and rng.random() < 0.5:
                source, target, late = in_flight.pop(0)
                seen[source, target] = late.seq
                hosts[target].heartbeat_received(f"h{source}", "a", late)
            for host in hosts:
                if host.may_serve() is ServingMode.NORMAL:
                    self.assertLess(clock.time_s - read_s, CONFIRMATION_LIFETIME_S)
