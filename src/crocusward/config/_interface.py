"""Interface of the configuration service for the administration API."""

from typing import Protocol

from ..model import FleetConfig, Record
from ..peer import Hold
from ._change import Change, ChangeDraft


class ChangeReceipt(Record):
    """Result of a commit.

    Attributes:
        version: Version that the change created.
        repeated: True if the change id was committed earlier.
        accepted: False if the change is in the log but fewer than a majority of the
            entry hosts of some region in scope have it yet. The commit is final,
            but hosts that are cut off may still serve with the previous version.
        missing: Hosts that could not be reached at the time of the commit.
    """

    __slots__ = ("version", "repeated", "accepted", "missing")

    def __init__(
        self,
        version: int,
        *,
        repeated: bool = False,
        accepted: bool = True,
        missing: tuple[str, ...] = (),
    ) -> None:
        self.version = version
        self.repeated = repeated
        self.accepted = accepted
        self.missing = missing


class InForceReport(Record):
    """The hosts on which a version is in force.

    Attributes:
        version: The requested version.
        hosts: Hosts that have reported this version or a later one.
        missing: Listed entry hosts that have not.
    """

    __slots__ = ("version", "hosts", "missing")

    def __init__(
        self, version: int, hosts: tuple[str, ...], missing: tuple[str, ...]
    ) -> None:
        self.version = version
        self.hosts = hosts
        self.missing = missing

    @property
    def in_force(self) -> bool:
        """True if no listed entry host is missing."""
        return not self.missing


class ConfigService(Protocol):
    """Reads and changes the configuration."""

    def current(self) -> FleetConfig:
        """Return the version in force on this host."""

    async def commit(self, draft: ChangeDraft) -> ChangeReceipt:
        """Commit a change.

        Raises:
            ConflictError: The base is not the current version.
            FindingsError: The change is invalid.
            CrocusError: Code ``region_unreachable``: no majority of a region in
                scope can be reached and ``force`` is not set.
            StoreUnavailableError: Nothing was committed.
            StoreUncertainError: The outcome could not be determined in time.
        """

    async def history(self, above: int, limit: int) -> list[Change]:
        """Return committed changes above a version, in order."""

    def in_force(self, version: int) -> InForceReport:
        """Return where a version is in force."""

    def place_hold(self, hold: Hold) -> None:
        """Take something out of service without the store."""

    def holds(self) -> list[Hold]:
        """Return the holds in effect."""
