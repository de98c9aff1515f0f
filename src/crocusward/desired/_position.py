"""Position in the history of a store table: era of the store and version."""

import functools

from ..model import Record

NO_VERSION = -1  # before the first complete page
NO_ERA = 0  # of a store that names none


@functools.total_ordering
class TablePosition(Record):
    """Position of a copy; positions are ordered by era, then by version.

    A store that came back from an older copy gives versions out again, in a new era.
    Versions compare within one era only.

    Attributes:
        era: Number of the store's history, ``NO_ERA`` if it names none.
        version: Version of the table within the era, ``NO_VERSION`` without a copy.
    """

    __slots__ = ("era", "version")

    def __init__(self, era: int = NO_ERA, version: int = NO_VERSION) -> None:
        self.era = era
        self.version = version

    def __lt__(self, other: "TablePosition") -> bool:
        return (self.era, self.version) < (other.era, other.version)

    def __hash__(self) -> int:
        return hash((self.era, self.version))


NO_POSITION = TablePosition()
