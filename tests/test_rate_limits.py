"""Rate limits that backend servers name, kept by all hosts together."""

import unittest

from .limited_fleet import LimitedFleet, make_servers


class FleetTestCase(unittest.TestCase):
    """Provides a fleet that is closed after the test."""

    def fleet(self, seed, servers, **options):
        fleet = LimitedFleet(seed, servers, **options)
        self.addCleanup(fleet.close)
        return fleet


class FleetRateLimitTest(FleetTestCase):
    def test_hosts_together_keep_the_limit_of_a_server(self):
        """Guards against a server that gets its limit, or more, from each host."""
        fleet = self.fleet(1, make_servers(18, 0.7, 1.0))
        fleet.play(per_s=30.0, until_s=16.0)
        self.assertEqual(fleet.breaches(), [])
        self.assertGreater(len(fleet.outcomes), 300)
