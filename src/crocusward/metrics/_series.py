"""Label sets with a bound on their number."""

from collections.abc import Callable
from typing import Generic, TypeVar

from ..model import Record

T = TypeVar("T")

OTHER = "other"
MAX_SERIES = 400


class SeriesKey(Record):
    """Labels of the series of one kind of request.

    Attributes:
        contract: Contract name.
        service: Service name.
        region: Region that served it.
        data_centre: Data centre that served it, or "" if none did.
    """

    __slots__ = ("contract", "service", "region", "data_centre")

    def __init__(
        self, contract: str, service: str, region: str, data_centre: str
    ) -> None:
        self.contract = contract
        self.service = service
        self.region = region
        self.data_centre = data_centre

    def __hash__(self) -> int:
        return hash((self.contract, self.service, self.region, self.data_centre))


class SeriesTable(Generic[T]):
    """Values by label values; label sets above the bound share one value.

    Args:
        make: Makes the value of a new label set.
        width: Number of labels.
        limit: Largest number of label sets.
    """

    __slots__ = ("items", "overflowed", "_make", "_other", "_limit")

    def __init__(
        self, make: Callable[[], T], width: int, limit: int = MAX_SERIES
    ) -> None:
        self.items: dict[tuple[str, ...], T] = {}
        self.overflowed = 0
        self._make = make
        self._other = (OTHER,) * width
        self._limit = limit

    def get(self, labels: tuple[str, ...]) -> T:
        """Return the value for label values, or the shared one."""
        found = self.items.get(labels)
        if found is not None:
            return found
        if len(self.items) >= self._limit:
            self.overflowed += 1
            labels = self._other
            if labels in self.items:
                return self.items[labels]
        self.items[labels] = self._make()
        return self.items[labels]
