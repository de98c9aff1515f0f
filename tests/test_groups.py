"""Partition of a data centre into groups of hosts and backend servers."""

import unittest
from collections import Counter

from crocusward.placing import HostGroups, data_centre_of

from .entry_support import backend


def host_names(count, prefix="h"):
    return [f"{prefix}{index:03}" for index in range(count)]


class HostGroupsTest(unittest.TestCase):
    def test_small_data_centre_is_one_group(self):
        """Guards against splitting the few hosts of a small data centre."""
        groups = HostGroups("h000", "east-a")
        groups.set_hosts({"east-a": host_names(8)})
        self.assertEqual({groups.of_host(name) for name in host_names(8)}, {groups.own})

    def test_large_data_centre_has_groups_of_similar_size(self):
        """Guards against messages that grow with the square of the number of hosts."""
        groups = HostGroups("h000", "east-a")
        groups.set_hosts({"east-a": host_names(35)})
        sizes = Counter(groups.of_host(name) for name in host_names(35)).values()
        self.assertLessEqual(max(sizes), 8)
        self.assertGreaterEqual(min(sizes), 6)

    def test_all_hosts_compute_the_same_groups(self):
        """Guards against two groups that send to the same servers."""
        hosts = {"east-a": host_names(20), "west-a": host_names(9, "w")}
        views = [HostGroups("h000", "east-a"), HostGroups("w004", "west-a")]
        servers = [backend(f"i-{index}", "east-a") for index in range(30)]
        for view in views:
            view.set_hosts(hosts)
        self.assertEqual(views[0].of_servers(servers), views[1].of_servers(servers))
        self.assertNotEqual(views[0].own, views[1].own)

    def test_servers_are_divided_evenly(self):
        """Guards against groups without servers while others have many."""
        groups = HostGroups("h000", "east-a")
        groups.set_hosts({"east-a": host_names(24)})
        servers = [backend(f"i-{index}", "east-a") for index in range(30)]
        sizes = Counter(groups.of_servers(servers).values())
        self.assertEqual(sorted(sizes.values()), [10, 10, 10])
        self.assertEqual({data_centre_of(name) for name in sizes}, {"east-a"})

    def test_set_hosts_returns_whether_the_groups_changed(self):
        """Guards against stale neighbours after a change of the groups."""
        groups = HostGroups("h000", "east-a")
        self.assertTrue(groups.set_hosts({"east-a": host_names(9)}))
        self.assertFalse(groups.set_hosts({"east-a": host_names(9)}))
