"""Configuration versions reported by hosts."""

from collections.abc import Collection, Iterable, Mapping

from ._interface import InForceReport


class VersionReports:
    """Tracks the latest version reported by each listed host.

    The version of a host never decreases within one incarnation, so one report is
    enough. A host that left the host list does not count as missing.

    Args:
        host: Name of this host.
    """

    __slots__ = ("_host", "_regions", "_listed", "_reported")

    def __init__(self, host: str) -> None:
        self._host = host
        self._regions: dict[str, frozenset[str]] = {}
        self._listed: frozenset[str] = frozenset()
        self._reported: dict[str, int] = {}

    def set_listed(self, hosts: Mapping[str, Collection[str]]) -> None:
        """Set the listed entry hosts by region and forget the reports of others."""
        self._regions = {region: frozenset(names) for region, names in hosts.items()}
        self._listed = frozenset().union(*self._regions.values())
        for name in [n for n in self._reported if n not in self._listed]:
            del self._reported[name]

    def reported(self, host: str, version: int) -> None:
        """Record the version that a host reported."""
        self._reported[host] = max(version, self._reported.get(host, 0))

    def forget(self, host: str) -> None:
        """Discard the report of a host that may have restarted."""
        self._reported.pop(host, None)

    def version_of(self, host: str, own_version: int) -> int:
        """Return the version that a host has reported, or -1."""
        return own_version if host == self._host else self._reported.get(host, -1)

    def has_majority(
        self, version: int, own_version: int, regions: Iterable[str]
    ) -> bool:
        """Return True if most listed hosts of each region have a version."""
        for region in regions:
            hosts = self._regions.get(region, frozenset())
            have = [n for n in hosts if self.version_of(n, own_version) >= version]
            if hosts and 2 * len(have) <= len(hosts):
                return False
        return True

    def report(self, version: int, own_version: int) -> InForceReport:
        """Return the hosts on which a version is in force."""
        names = sorted(self._listed)
        hosts = tuple(n for n in names if self.version_of(n, own_version) >= version)
        missing = tuple(name for name in names if name not in hosts)
        return InForceReport(version, hosts, missing)
