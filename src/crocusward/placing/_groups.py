"""Groups of hosts in a large data centre, each with its share of the servers."""

from collections.abc import Iterable, Mapping

from ..desired import BackendEntry

# Hosts that tell each other of each request. The messages of a group grow with the
# square of its size; a group of this size sees its servers well enough.
GROUP_HOSTS = 8


class HostGroups:
    """Divides the hosts of each data centre, and its backend servers, into groups.

    A small data centre is one group. Every host works the groups out from the hosts
    that it knows; two hosts that disagree for a moment place requests less well, but
    not wrongly.

    Args:
        host: Name of this host.
        data_centre: Data centre of this host.

    Attributes:
        own: Group of this host.
    """

    __slots__ = ("own", "_host", "_data_centre", "_hosts", "_counts")

    def __init__(self, host: str, data_centre: str) -> None:
        self._host = host
        self._data_centre = data_centre
        self._hosts: dict[str, str] = {}
        self._counts: dict[str, int] = {}
        self.own = ""
        self.set_hosts({data_centre: [host]})

    def set_hosts(self, hosts: Mapping[str, Iterable[str]]) -> bool:
        """Take over the hosts by data centre; return whether groups changed."""
        before = self._hosts
        self._hosts = {}
        self._counts = {}
        for data_centre, names in hosts.items():
            ordered = sorted(names)
            count = -(-len(ordered) // GROUP_HOSTS)
            self._counts[data_centre] = count
            for index, name in enumerate(ordered):
                cell = index * count // len(ordered)
                self._hosts[name] = _name(data_centre, cell)
        self.own = self._hosts.get(self._host, _name(self._data_centre, 0))
        return self._hosts != before

    def of_host(self, host: str) -> str:
        """Return the group of a host, "" if it is unknown."""
        return self._hosts.get(host, "")

    def of_servers(self, entries: Iterable[BackendEntry]) -> dict[str, str]:
        """Return the group of each server of one service, by id."""
        found = {}
        seen: dict[str, int] = {}
        for entry in sorted(entries, key=lambda item: item.id):
            data_centre = entry.data_centre
            index = seen.get(data_centre, 0)
            seen[data_centre] = index + 1
            count = self._counts.get(data_centre, 1) or 1
            found[entry.id] = _name(data_centre, index % count)
        return found


def _name(data_centre: str, cell: int) -> str:
    return f"{data_centre}#{cell}"


def data_centre_of(group: str) -> str:
    """Return the data centre of a group."""
    return group.rpartition("#")[0]
