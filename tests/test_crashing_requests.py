"""Requests that crash servers, met by many whole daemons in virtual time."""

import unittest

from crocusward.devtools.entry_soak import WholeFleet

DEADLY = "/look/deadly"


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


if __name__ == "__main__":
    unittest.main()
