"""Limits of servers that a host of another group learns: told until confirmed, kept."""

import random
import unittest
from unittest import mock

from crocusward.cli._explain import BACKEND_EVENTS
from crocusward.desired import EntryHost
from crocusward.devtools.entry_soak import ColdServer, LimitedFleet, LimitedServer
from crocusward.devtools.entry_soak._host import LOOK
from crocusward.entryd._unanswering_hosts import FIRST_PAUSE_S, UnansweringHosts
from crocusward.neighbours import (
    MessageError,
    RateLimitReport,
    SlotOffer,
    decode_message,
    encode_message,
)
from crocusward.neighbours._codec import RATE_LIMITS, SLOT_OFFER, cbor2
from crocusward.relay import SlotFinder

LIMIT_PER_S = 2.0
LIMIT_S = 6.0  # when servers begin to name their limits
REMOVED_S = 4.0
PLAYED_S = 18.0
RATE_PER_S = 40.0
OWNERS, LEARNERS = "host-east-b", "host-east-a"


class ForeignLimitCase(unittest.TestCase):
    def fleet(self, seed, *, loss=0.0, limit=LIMIT_PER_S, hosts=2, count=6):
        servers = [
            LimitedServer(f"i-{n}", "east-b", [(LIMIT_S, limit)]) for n in range(count)
        ]
        fleet = LimitedFleet(seed, servers, hosts_per_data_centre=hosts, loss=loss)
        self.addCleanup(fleet.close)
        for server in servers:
            server.schedule = [(fleet.start_s + LIMIT_S, limit)]
        return fleet

    def play(self, fleet, askers=(f"{LEARNERS}-0",), until_s=PLAYED_S):
        """Send requests to hosts of a data centre without servers."""
        rng = random.Random(1)
        number = 0
        while fleet.now_s() < until_s:
            fleet.loop.advance(rng.expovariate(RATE_PER_S))
            number += 1
            host = fleet.hosts[rng.choice(askers)]
            if not host.is_dead:
                fleet._spawn(fleet._ask(host, LOOK, number))

    def check(self, fleet):
        self.assertEqual(fleet.breaches(), [])
        self.assertGreater(len(fleet.outcomes), 300)


class LostReportTest(ForeignLimitCase):
    """Guards against a limit that is told once, to a host that does not hear it."""

    def test_recipient_was_removed(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                fleet = self.fleet(seed)
                fleet.at(REMOVED_S, fleet.kill, f"{OWNERS}-1")
                self.play(fleet)
                self.check(fleet)

    def test_reports_are_lost(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                fleet = self.fleet(seed, loss=0.4)
                self.play(fleet)
                self.check(fleet)

    def test_recipients_restart_or_freeze_as_the_limit_begins(self):
        for seed, fault in enumerate(("restart", "freeze", "restart", "freeze")):
            with self.subTest(seed=seed, fault=fault):
                fleet = self.fleet(seed)
                for number in range(2):
                    at_s = LIMIT_S + 0.3 * number
                    name = f"{OWNERS}-{number}"
                    fleet.at(at_s, getattr(fleet, fault), name, 1.0)
                self.play(fleet)
                self.check(fleet)

    def test_host_that_learned_it_is_removed(self):
        fleet = self.fleet(5, hosts=3)
        fleet.at(LIMIT_S + 1.0, fleet.kill, f"{LEARNERS}-0")
        self.play(fleet, [f"{LEARNERS}-{n}" for n in range(3)])
        self.check(fleet)

    def test_hosts_of_two_groups_learn_it(self):
        for seed, limit in ((6, 1.0), (7, 5.0)):
            with self.subTest(limit=limit):
                fleet = self.fleet(seed, hosts=3, limit=limit, loss=0.1)
                fleet.at(REMOVED_S, fleet.kill, f"{OWNERS}-0")
                self.play(fleet, [f"{LEARNERS}-0", "host-west-a-0"])
                self.check(fleet)

    def test_all_owners_restart_after_they_have_confirmed(self):
        """Guards against a limit that only its former owners knew."""
        fleet = self.fleet(8)
        for number in range(2):
            fleet.at(LIMIT_S + 5.0, fleet.restart, f"{OWNERS}-{number}", 0.5)
        self.play(fleet)
        self.check(fleet)

    def test_limits_that_change_and_end_reach_the_owners(self):
        """Guards against owners that keep a limit which has ended."""
        fleet = self.fleet(9, loss=0.2)
        for server in fleet.servers.values():
            begin_s = fleet.start_s + LIMIT_S
            server.schedule = [(begin_s, 1.0), (begin_s + 5.0, 6.0), (begin_s + 9.0, 0)]
        self.play(fleet, until_s=24.0)
        self.check(fleet)
        known = {
            load.rate_limit.per_s
            for host in fleet.hosts.values()
            for load in host.table.loads.values()
            if host.name.startswith((OWNERS, f"{LEARNERS}-0"))
        }
        self.assertEqual(known, {0.0})


class ConfirmationTest(ForeignLimitCase):
    def test_limit_is_told_until_an_owner_confirms_it(self):
        """Guards against a limit that is told once, or without end."""
        fleet = self.fleet(1)
        fleet.at(REMOVED_S, fleet.kill, f"{OWNERS}-1")
        self.play(fleet)
        learner = fleet.hosts[f"{LEARNERS}-0"]
        self.assertEqual(learner.hub.unconfirmed_limits, 0)
        events = learner.rate_limits.events
        self.assertEqual(events["backend_limit_confirmed"], len(fleet.servers))
        self.assertLess(events["backend_limit_reported"], 40)

    def test_offer_without_permit_is_not_used(self):
        """Guards against the use of an offer that was counted against no limit."""
        fleet = self.fleet(2)
        apply = mock.patch(
            "crocusward.entryd._rate_limit_exchange.RateLimitExchange.apply",
            lambda *_: None,
        )
        with apply:  # no owner ever learns the limit
            self.play(fleet)
            self.check(fleet)

    def test_planted_use_of_such_offers_is_caught(self):
        """Guards against checks that cannot fail."""
        fleet = self.fleet(3)
        fleet.at(REMOVED_S, fleet.kill, f"{OWNERS}-1")
        find = SlotFinder._find_slot_fault

        def find_other_fault(finder, req, load, slot):
            found = find(finder, req, load, slot)
            return "" if found == "without_permit" else found

        exchange = "crocusward.entryd._rate_limit_exchange.RateLimitExchange"
        with (
            mock.patch.object(SlotFinder, "_find_slot_fault", find_other_fault),
            mock.patch(f"{exchange}.apply", lambda *_: None),
        ):
            self.play(fleet)
        self.assertNotEqual(fleet.breaches(), [])

    def test_explain_shows_the_way_of_a_limit(self):
        """Guards against a limit of which nobody can tell who was told."""
        names = {"backend_limit_reported", "backend_limit_confirmed"}
        self.assertLessEqual(names, BACKEND_EVENTS)


class ForeignColdTest(ForeignLimitCase):
    def test_cold_time_that_only_another_group_sees(self):
        """Guards against offers for a cold server that its owners take for warm."""
        for seed in range(4):
            with self.subTest(seed=seed):
                servers = [
                    ColdServer(f"i-{n}", "east-b", 6.0, is_new=False) for n in range(6)
                ]
                fleet = LimitedFleet(seed, servers, hosts_per_data_centre=2)
                self.addCleanup(fleet.close)
                for server in servers:
                    server.cold_from_s += fleet.start_s
                fleet.at(REMOVED_S, fleet.kill, f"{OWNERS}-1")
                self.play(fleet, until_s=11.0)
                self.assertEqual(fleet.cold_breaches(), [])


class UnansweringHostsTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 10.0
        self.silent = UnansweringHosts(lambda: self.now_s)
        self.hosts = [EntryHost(f"h{n}", f"10.0.0.{n}", "east-b") for n in range(2)]

    def names(self):
        return [host.host for host in self.silent.list_responsive(self.hosts)]

    def test_host_that_is_gone_is_asked_less_and_less(self):
        """Guards against a request lost every two seconds to a removed host."""
        for _ in range(3):
            self.silent.note_unanswered("10.0.0.1")
            self.now_s += FIRST_PAUSE_S + 0.1
        self.assertEqual(self.names(), ["h0"])
        self.silent.note_heard("10.0.0.1")
        self.assertEqual(self.names(), ["h0", "h1"])

    def test_group_whose_hosts_are_all_silent_is_asked_again(self):
        """Guards against a group that is not asked for long after an outage."""
        for _ in range(4):
            for host in self.hosts:
                self.silent.note_unanswered(host.address)
        self.assertEqual(self.names(), [])
        self.now_s += FIRST_PAUSE_S + 0.1
        self.assertEqual(self.names(), ["h0", "h1"])


class MessageTest(unittest.TestCase):
    def test_offers_and_reports_round_trip(self):
        """Guards against a limit that changes on its way."""
        offer = SlotOffer(7, "b1", 1.5, 1, 0.0, 0.25, 2.0, 2.0, 0.5)
        found = decode_message(encode_message(offer))
        for name in SlotOffer.__slots__:
            self.assertEqual(getattr(found, name), getattr(offer, name))
        report = RateLimitReport("h1", {"b1": (1.0, 0.1)}, {"b2": 2.5})
        found = decode_message(encode_message(report))
        self.assertEqual(
            (found.limits, found.cold_left_s), ({"b1": (1.0, 0.1)}, {"b2": 2.5})
        )

    def test_messages_of_the_build_before(self):
        """Guards against hosts that do not understand each other while replaced."""
        found = decode_message(cbor2.dumps([SLOT_OFFER, 7, "b1", 1.0, 0]))
        self.assertEqual((found.permit_per_s, found.limit_age_s), (0.0, -1.0))
        found = decode_message(cbor2.dumps([RATE_LIMITS, "h1", {"b1": [1.0, 0.1]}]))
        self.assertEqual(found.cold_left_s, {})
        # The build before reads four or six fields of an offer, two of a report.
        fields = cbor2.loads(encode_message(SlotOffer(7, "b1", permit_per_s=2.0)))
        self.assertEqual(len(fields[5:7]), 2)

    def test_malformed_limits_of_offers_are_rejected(self):
        """Guards against a datagram that sets an impossible limit."""
        for fields in ([-1, 0, 0], [1, 1, -2], ["1", 0, 0], [1, 1e12, 0]):
            data = cbor2.dumps([SLOT_OFFER, 7, "b1", 1.0, 0, 0.0, 0, *fields])
            with self.subTest(fields=fields), self.assertRaises(MessageError):
                decode_message(data)


if __name__ == "__main__":
    unittest.main()
