"""Number of entry hosts that a fleet-wide budget is divided by."""

from collections.abc import Iterable

CONTACT_LIFETIME_S = 3.0  # three missed heartbeats
UNLISTED_CONTACT_LIFETIME_S = 60.0  # longer than the delay of the platform's list


class HostCounter:
    """Counts the entry hosts that a fleet-wide budget is divided by.

    The count is the union of the platform's list and the peers in contact. A host is
    removed only when a list without it arrives and its contact has expired, or when
    it announces that it is leaving. Silence alone never lowers the count, so hosts
    that disagree about the membership use smaller shares, not larger ones. Hosts
    that the list marks as leaving still serve, and count until either happens. To
    count the hosts of one region, an instance receives these hosts only.

    Args:
        max_hosts: Lowest count while there is no list.

    Attributes:
        leaving: Listed hosts that the platform is about to stop.
    """

    __slots__ = (
        "_max_hosts",
        "_listed",
        "_last_contact_s",
        "_previously_listed",
        "_departed",
        "_count",
        "_needs_recount",
        "leaving",
    )

    def __init__(self, max_hosts: int) -> None:
        self._max_hosts = max(1, max_hosts)
        self._listed: frozenset[str] = frozenset()
        self._last_contact_s: dict[str, float] = {}
        self._previously_listed: set[str] = set()
        self._departed: set[str] = set()
        self._count = self._max_hosts
        self._needs_recount = False
        self.leaving: frozenset[str] = frozenset()

    def update_listed(self, names: Iterable[str], leaving: Iterable[str] = ()) -> None:
        """Replace the platform's list; an empty list is ignored.

        Args:
            names: All listed entry hosts, leaving ones included.
            leaving: Those that the platform is about to stop.
        """
        listed = frozenset(names)
        if not listed:
            return
        self._previously_listed |= self._listed
        self._departed &= listed  # a delisted name that returns is a new host
        self._listed = listed
        self.leaving = frozenset(leaving)
        self._needs_recount = True

    def record_contact(self, name: str, now_s: float) -> None:
        """Record a contact with a peer that is not leaving."""
        if name not in self._last_contact_s or name in self._departed:
            self._departed.discard(name)
            self._needs_recount = True
        self._last_contact_s[name] = now_s

    def record_departure(self, name: str) -> None:
        """Record that a host announced that it is leaving."""
        self._departed.add(name)
        self._last_contact_s.pop(name, None)
        self._needs_recount = True

    def divisor(self, now_s: float) -> int:
        """Return the number of hosts to divide by, at least 1."""
        if self._needs_recount:
            self._recount(now_s)
        return self._count

    def _recount(self, now_s: float) -> None:
        self._needs_recount = False
        unlisted = [name for name in self._last_contact_s if name not in self._listed]
        if self._listed:
            unlisted = [name for name in unlisted if self._is_counted(name, now_s)]
        count = len(self._listed - self._departed) + len(unlisted)
        if not self._listed:
            count = max(count + 1, self._max_hosts)  # plus this host
        self._count = max(1, count)

    def _is_counted(self, name: str, now_s: float) -> bool:
        was_delisted = name in self._previously_listed
        lifetime_s = CONTACT_LIFETIME_S if was_delisted else UNLISTED_CONTACT_LIFETIME_S
        if now_s - self._last_contact_s[name] <= lifetime_s:
            return True
        del self._last_contact_s[name]
        self._previously_listed.discard(name)
        return False
