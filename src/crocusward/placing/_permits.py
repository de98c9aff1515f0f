"""Permits for requests to limited or cold backend servers, issued by one host.

A limit that each host kept for itself would be exceeded by as many hosts as there are,
and a fixed share of a low limit is less than one request in ten seconds. So one host of
the group that owns a server, the coordinator of its service, issues permits for it. The
rate of a cold server is such a limit, which ends by itself.
"""

import hashlib
from collections.abc import Callable, Sequence

from ..model import Record
from ._load import BackendLoad


class GroupMembers(Record):
    """Hosts of this group that can coordinate.

    Attributes:
        live: Names of the hosts that report and are not leaving, in order.
        known_count: Number of hosts including silent ones, without leaving ones.
    """

    __slots__ = ("live", "known_count")

    def __init__(self, live: Sequence[str], known_count: int) -> None:
        self.live = tuple(live)
        self.known_count = known_count


class PermitIssuer:
    """Chooses the coordinator of each service and keeps the token buckets.

    Every host of the group chooses by rendezvous hashing among the hosts that it sees.
    While views differ, two hosts may issue permits for one server. A coordinator
    therefore issues the share of the limit that corresponds to the part of the group
    which it sees, and starts with empty buckets.

    Args:
        host: Name of this host.

    Attributes:
        members: Returns the members of this group.
    """

    __slots__ = ("members", "_host", "_at_s", "_members", "_chosen", "_coordinated")

    def __init__(self, host: str) -> None:
        self.members: Callable[[], GroupMembers] = lambda: GroupMembers([host], 1)
        self._host = host
        self._at_s = -1.0
        self._members = self.members()
        self._chosen: dict[str, tuple[tuple[str, ...], str]] = {}
        self._coordinated: set[str] = set()

    def _refresh(self, now_s: float) -> GroupMembers:
        if now_s != self._at_s:
            self._at_s = now_s
            self._members = self.members()
        return self._members

    def coordinator(self, service: str, now_s: float) -> str:
        """Return the host that issues the permits of a service, "" if there is none."""
        live = self._refresh(now_s).live
        chosen = self._chosen.get(service)
        if chosen is None or chosen[0] != live:
            name = max(live, key=lambda host: _weight(service, host), default="")
            chosen = self._chosen[service] = (live, name)
        return chosen[1]

    def is_coordinator(self, service: str, now_s: float) -> bool:
        """Return whether this host issues the permits of a service."""
        return self.coordinator(service, now_s) == self._host

    def take_over(
        self, service: str, loads: Sequence[BackendLoad], now_s: float
    ) -> bool:
        """Return whether this host issues the permits of a service from now on.

        Args:
            service: Name of the service.
            loads: Its servers in this group; their buckets are emptied if another host
                issued the permits before.
            now_s: Monotonic time.
        """
        if not self.is_coordinator(service, now_s):
            self._coordinated.discard(service)
            return False
        if service not in self._coordinated:
            self._coordinated.add(service)
            for load in loads:
                load.permits.empty()
        return True

    def rate_per_s(self, load: BackendLoad, now_s: float) -> float:
        """Return the part of a server's limit that this part of the group may use."""
        return load.limit_per_s(now_s) * self._share(now_s)

    def _share(self, now_s: float) -> float:
        members = self._refresh(now_s)
        return min(1.0, len(members.live) / max(1, members.known_count))

    def has_token(self, load: BackendLoad, now_s: float) -> bool:
        """Return whether a server of this group may get one more request now.

        Exact at the coordinator of its service; other hosts deduct the requests that
        are reported to them.
        """
        if not load.is_limited(now_s):
            return True
        return load.tokens(self._share(now_s), now_s) >= 1.0


def _weight(service: str, host: str) -> bytes:
    return hashlib.blake2b(f"{service}/{host}".encode(), digest_size=8).digest()
