"""Whole daemons over connections that fall silent without a reset, in virtual time."""

import unittest

from crocusward.devtools.entry_soak import WholeFleet
from crocusward.devtools.entry_soak._host import BOUND_S


class SilentConnectionsTest(unittest.TestCase):
    def make_fleet(self, seed, hosts_per_data_centre):
        fleet = WholeFleet(seed, hosts_per_data_centre, loss=0.01)
        self.addCleanup(fleet.close)
        for _ in range(3):
            fleet.write_state()
            fleet.network.advance(0.7)
        return fleet

    def test_change_is_in_force_everywhere_after_connections_fell_silent(self):
        """Guards against a time limit for each dead connection of the fan-out."""
        for seed, share in ((1, 0.7), (2, 0.4), (3, 1.0)):
            with self.subTest(seed=seed, share=share):
                fleet = self.make_fleet(seed, 24)
                fleet.silence(share)
                fleet.network.advance(4.5)
                version = fleet.write_state()
                opened = fleet.network.opened_count
                fleet.network.advance(BOUND_S)
                self.assertEqual(fleet.late_hosts(version), [])
                self.assertGreater(fleet.network.opened_count, opened + 40)

    def test_change_is_in_force_everywhere_while_connections_fall_silent(self):
        """Guards against a pull that waits for one connection only."""
        fleet = self.make_fleet(4, 24)
        version = fleet.write_state()
        silenced = 0
        for _ in range(20):  # each new connection lasts about 1 ms
            fleet.network.advance(0.0006)
            silenced += fleet.silence(0.5)
        self.assertGreater(silenced, 5)
        fleet.network.advance(BOUND_S - 20 * 0.0006)
        self.assertEqual(fleet.late_hosts(version), [])


if __name__ == "__main__":
    unittest.main()
