"""Partition of large data centres into groups of hosts and backend servers."""

from collections.abc import Iterable, Mapping

from ..desired import BackendEntry

# Hosts of a group report each request to each other, so that messages grow with the
# square of its size; a group of this size knows the load of its servers well enough.
MAX_HOSTS_PER_GROUP = 8


class HostGroups:
    """Divides the hosts of each data centre, and its backend servers, into groups.

    A small data centre is one group. Every host computes the groups from the hosts
    that it knows; while two hosts disagree, the load is balanced less evenly, but all
    selections stay valid.

    Args:
        host: Name of this host.
        data_centre: Data centre of this host.

    Attributes:
        host: Name of this host.
        own: Name of the group of this host.
    """

    __slots__ = ("own", "host", "_data_centre", "_group_by_host", "_group_counts")

    def __init__(self, host: str, data_centre: str) -> None:
        self.host = host
        self._data_centre = data_centre
        self._group_by_host: dict[str, str] = {}
        self._group_counts: dict[str, int] = {}
        self.own = ""
        self.set_hosts({data_centre: [host]})

    def set_hosts(self, hosts: Mapping[str, Iterable[str]]) -> bool:
        """Replace the hosts, by data centre; return whether the groups changed."""
        before = self._group_by_host
        self._group_by_host = {}
        self._group_counts = {}
        for data_centre, names in hosts.items():
            ordered = sorted(names)
            count = -(-len(ordered) // MAX_HOSTS_PER_GROUP)
            self._group_counts[data_centre] = count
            for index, name in enumerate(ordered):
                group_index = index * count // len(ordered)
                self._group_by_host[name] = _group_name(data_centre, group_index)
        self.own = self._group_by_host.get(self.host, _group_name(self._data_centre, 0))
        return self._group_by_host != before

    def of_host(self, host: str) -> str:
        """Return the group of a host, "" if it is unknown."""
        return self._group_by_host.get(host, "")

    def of_servers(self, entries: Iterable[BackendEntry]) -> dict[str, str]:
        """Return the group of each backend server of one service, by id."""
        group_by_id = {}
        counts: dict[str, int] = {}
        for entry in sorted(entries, key=lambda item: item.id):
            data_centre = entry.data_centre
            index = counts.get(data_centre, 0)
            counts[data_centre] = index + 1
            count = self._group_counts.get(data_centre, 1) or 1
            group_by_id[entry.id] = _group_name(data_centre, index % count)
        return group_by_id


def _group_name(data_centre: str, group_index: int) -> str:
    return f"{data_centre}#{group_index}"


def data_centre_of(group: str) -> str:
    """Return the data centre of a group."""
    return group.rpartition("#")[0]
