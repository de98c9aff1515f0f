"""Holds: out-of-service marks that hosts replicate without the store."""

from collections.abc import Callable, Collection

from ..errors import nearest_name
from ..peer import Hold

MAX_HOLDS = 1_000  # bounds memory; a hold takes about 300 bytes
HOLD_KINDS = frozenset({"data_centre", "host", "backend"})


class Holds:
    """A set of holds, merged by union.

    A hold only removes capacity, so order does not matter. The configuration
    records released ids, which are never placed again.

    Args:
        on_change: Called after the set has changed.
    """

    __slots__ = ("_by_id", "_released", "_held", "_on_change")

    def __init__(self, on_change: Callable[[], object] | None = None) -> None:
        self._by_id: dict[str, Hold] = {}
        self._released: frozenset[str] = frozenset()
        self._held: dict[str, frozenset[str]] = {}
        self._on_change = on_change

    def __len__(self) -> int:
        return len(self._by_id)

    def place(self, hold: Hold) -> bool:
        """Add a hold; return True if it is new."""
        if hold.id in self._by_id or self.fault(hold):
            return False
        self._by_id[hold.id] = hold
        self._changed()
        return True

    def fault(self, hold: Hold) -> str:
        """Return why a hold cannot be placed, or ""."""
        if hold.kind not in HOLD_KINDS:
            return f"{hold.kind!r} is not one of {', '.join(sorted(HOLD_KINDS))}"
        if hold.id in self._released:
            return f"the hold {hold.id!r} was released; choose another id"
        other = self._by_id.get(hold.id)
        if other is not None:
            return "" if other == hold else f"the id {hold.id!r} names another hold"
        if len(self._by_id) >= MAX_HOLDS:
            return f"there are {MAX_HOLDS} holds already"
        return ""

    def set_released(self, ids: Collection[str]) -> None:
        """Remove the holds that the configuration records as released."""
        self._released = frozenset(ids)
        gone = [hold_id for hold_id in self._by_id if hold_id in self._released]
        for hold_id in gone:
            del self._by_id[hold_id]
        if gone:
            self._changed()

    def active(self) -> list[Hold]:
        """Return the holds in effect, by id."""
        return [self._by_id[hold_id] for hold_id in sorted(self._by_id)]

    def names(self, kind: str) -> frozenset[str]:
        """Return the names of one kind that are held out of service."""
        return self._held.get(kind, frozenset())

    def _changed(self) -> None:
        self._held = {
            kind: frozenset(h.name for h in self._by_id.values() if h.kind == kind)
            for kind in HOLD_KINDS
        }
        if self._on_change is not None:
            self._on_change()


def find_name_fault(hold: Hold, data_centres: Collection[str]) -> str:
    """Return why the name of a hold is wrong, or "".

    Names of hosts and backend servers are not checked, as the host list lags.
    """
    if hold.kind != "data_centre" or hold.name in data_centres:
        return ""
    near = nearest_name(hold.name, data_centres)
    hint = f"; did you mean {near!r}?" if near else ""
    return f"{hold.name!r} is not a known data centre{hint}"
