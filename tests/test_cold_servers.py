"""Rate of cold backend servers, kept by all hosts together."""

from crocusward.devtools.entry_soak import (
    ColdServer,
    LimitedServer,
    play_faults,
)

from .test_rate_limits import LARGE_DATA_CENTRE, FleetTestCase

PLACES = ("east-a", "east-b", "west-a")


def cold_group(count, data_centre, at_s, **options):
    """Return servers of one data centre that come up within 0.2 s."""
    return [
        ColdServer(f"c-{index:02}", data_centre, at_s + 0.2 * index / count, **options)
        for index in range(count)
    ]


def warm_servers(count):
    """Return warm servers spread over the data centres."""
    return [LimitedServer(f"w-{n:03}", PLACES[n % len(PLACES)]) for n in range(count)]


class ColdRateTest(FleetTestCase):
    def assert_rate_kept(self, fleet):
        self.assertEqual(fleet.cold_breaches(), [])
        self.assertEqual(fleet.violations(), {})

    def test_servers_that_start_at_once_under_a_queue_are_not_flooded(self):
        """Guards against one decision of each host before any report arrives."""
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                servers = warm_servers(9) + cold_group(6, "east-a", 4.0)
                fleet = self.fleet(seed, servers, hosts_per_data_centre=6)
                fleet.list_cold_servers()
                fleet.play(per_s=160.0, until_s=8.0)
                self.assert_rate_kept(fleet)

    def test_servers_that_start_while_a_data_centre_is_out_are_not_flooded(self):
        """Guards against requests of hosts whose own servers are all out."""
        servers = warm_servers(9) + cold_group(6, "east-a", 4.0)
        fleet = self.fleet(4, servers, hosts_per_data_centre=6)
        fleet.list_cold_servers()
        fleet.at(2.0, fleet.take_out, "east-b", True)
        fleet.play(per_s=160.0, until_s=8.0)
        self.assert_rate_kept(fleet)

    def test_rate_holds_over_141_hosts(self):
        """Guards against a sum that grows with the number of hosts."""
        servers = warm_servers(60) + cold_group(12, "east-a", 4.0)
        fleet = self.fleet(5, servers, hosts_per_data_centre=LARGE_DATA_CENTRE)
        fleet.list_cold_servers()
        fleet.play(per_s=800.0, until_s=7.0)
        self.assert_rate_kept(fleet)

    def test_rate_holds_through_restarts_freezes_cuts_and_loss(self):
        """Guards against hosts that exceed the rate together after a fault."""
        for seed in (6, 7, 8):
            with self.subTest(seed=seed):
                servers = warm_servers(9) + cold_group(6, PLACES[seed % 3], 5.0)
                fleet = self.fleet(seed, servers, loss=0.02)
                fleet.list_cold_servers()
                play_faults(fleet, seed, 10.0)
                fleet.play(per_s=120.0, until_s=10.0)
                self.assert_rate_kept(fleet)

    def test_servers_that_turn_cold_again_get_no_more_than_their_rate(self):
        """Guards against warm servers that turn cold and keep their share."""
        servers = warm_servers(9) + cold_group(6, "east-a", 4.0, is_new=False)
        fleet = self.fleet(9, servers)
        fleet.list_cold_servers(lag_s=0.0)
        fleet.play(per_s=120.0, until_s=8.0)
        self.assert_rate_kept(fleet)

    def test_cold_servers_are_used(self):
        """Guards against cold servers that get much less than they take."""
        servers = warm_servers(6) + cold_group(9, "east-a", 4.0)
        fleet = self.fleet(10, servers)
        fleet.list_cold_servers()
        fleet.play(per_s=160.0, until_s=8.0)
        used = sum(
            server.cold_from_s <= item.at_s <= server.cold_from_s + 3.0
            for server in servers[6:]
            for item in server.arrivals
        )
        self.assertGreater(used, 0.5 * 9 * 3.0 * 3.0)
