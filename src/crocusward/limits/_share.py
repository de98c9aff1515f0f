"""The divisor of budgets that all entry hosts share."""

from collections.abc import Iterable

HEARD_LIFETIME_S = 3.0  # three missed heartbeats
UNLISTED_LIFETIME_S = 60.0  # longer than the platform's list lags behind


class HostCounter:
    """Counts the entry hosts that a fleet-wide budget is divided by.

    The count is the union of the platform's list and the peers heard from. It falls
    only when a list without the host arrives and the host is not heard any more, or
    when the host says that it is leaving; silence alone never lowers it, so hosts
    that disagree about the membership use smaller shares, not larger ones. Hosts
    that the list marks as leaving count until one of both happens, because they
    still serve. The hosts of one region are counted by an instance that is fed with
    these hosts only.

    Args:
        max_hosts: Count to use while there is no list.
    """

    __slots__ = (
        "_max_hosts",
        "_listed",
        "_heard_s",
        "_was_listed",
        "_left",
        "_size",
        "_stale",
        "leaving",
    )

    def __init__(self, max_hosts: int) -> None:
        self._max_hosts = max(1, max_hosts)
        self._listed: frozenset[str] = frozenset()
        self._heard_s: dict[str, float] = {}
        self._was_listed: set[str] = set()
        self._left: set[str] = set()
        self._size = self._max_hosts
        self._stale = False
        self.leaving: frozenset[str] = frozenset()

    def update_listed(self, names: Iterable[str], leaving: Iterable[str] = ()) -> None:
        """Take over the platform's list; an empty list counts as no list.

        Args:
            names: All listed entry hosts, leaving ones included.
            leaving: Those that the platform is about to stop.
        """
        listed = frozenset(names)
        if not listed:
            return
        self._was_listed |= self._listed
        self._left &= listed  # a name that is listed again later is a new host
        self._listed = listed
        self.leaving = frozenset(leaving)
        self._stale = True

    def record_contact(self, name: str, now_s: float) -> None:
        """Record a sign of life of a peer that is not leaving."""
        if name not in self._heard_s or name in self._left:
            self._left.discard(name)
            self._stale = True
        self._heard_s[name] = now_s

    def record_departure(self, name: str) -> None:
        """Record that a host said it is leaving."""
        self._left.add(name)
        self._heard_s.pop(name, None)
        self._stale = True

    def divisor(self, now_s: float) -> int:
        """Return the number of hosts to divide by, at least 1."""
        if self._stale:
            self._recount(now_s)
        return self._size

    def _recount(self, now_s: float) -> None:
        self._stale = False
        unlisted = [name for name in self._heard_s if name not in self._listed]
        if self._listed:
            unlisted = [name for name in unlisted if self._keeps(name, now_s)]
        count = len(self._listed - self._left) + len(unlisted)
        if not self._listed:
            count = max(count + 1, self._max_hosts)  # one for this host
        self._size = max(1, count)

    def _keeps(self, name: str, now_s: float) -> bool:
        dropped = name in self._was_listed
        lifetime_s = HEARD_LIFETIME_S if dropped else UNLISTED_LIFETIME_S
        if now_s - self._heard_s[name] <= lifetime_s:
            return True
        del self._heard_s[name]
        self._was_listed.discard(name)
        return False
