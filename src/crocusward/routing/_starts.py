"""Checks made immediately before the first byte of a request is written."""

from ..invariants import InvariantName, Invariants
from ..model import Backend
from ._chooser import Chooser
from ._table import BackendTable
from ._types import Reservation
from ._view import BackendView
from ._warmth import Warmth

STOP_AFTER_S = 3.0  # in which new work to something taken out must have ended
COUNT_BATCH = 16  # starts; counting each check of each start costs some microseconds
START_CHECKS = (
    InvariantName.DATA_CENTRE_OUT,
    InvariantName.BACKEND_LEAVING,
    InvariantName.COLD_START,
    InvariantName.RESIDENCY,
)


class StartGuard:
    """Decides whether a reservation still holds, and asserts the guarantees.

    Args:
        region: Region of this host.
        table: State of the servers.
        warmth: Warmth of the servers.
        chooser: Knows whether work may cross regions.
        invariants: Where the guarantees are asserted.
    """

    __slots__ = ("_region", "_table", "_warmth", "_chooser", "_invariants", "_starts")

    def __init__(
        self,
        region: str,
        table: BackendTable,
        warmth: Warmth,
        chooser: Chooser,
        invariants: Invariants,
    ) -> None:
        self._region = region
        self._table = table
        self._warmth = warmth
        self._chooser = chooser
        self._invariants = invariants
        self._starts = 0

    def may_start(self, view: BackendView, now_s: float) -> bool:
        """Return whether a server may take the work that was reserved there."""
        if not view.is_open:
            return False
        if not self._chooser.cross_allowed and view.backend.region != self._region:
            return False
        if view.is_warm:
            return True
        self._table.refresh_limit(view, now_s)
        return view.in_flight <= view.warm_limit

    def check(self, view: BackendView, reservation: Reservation, now_s: float) -> None:
        """Assert the guarantees from the inputs, not from what was derived of them."""
        backend = view.backend
        table = self._table
        checks = self._invariants.checks
        since_s = table.out_since.get(backend.data_centre)
        if since_s is not None and now_s - since_s > STOP_AFTER_S:
            self._violate(InvariantName.DATA_CENTRE_OUT, backend)
        since_s = table.leaving_since.get(backend.id)
        if since_s is not None and now_s - since_s > STOP_AFTER_S:
            self._violate(InvariantName.BACKEND_LEAVING, backend)
        state = table.slow_start_states[backend.id]
        if not state.is_warm and view.in_flight > self._warmth.limit(state, now_s):
            self._violate(InvariantName.COLD_START, backend)
        regions = reservation.regions
        if regions and backend.region not in regions:
            self._violate(InvariantName.RESIDENCY, backend)
        self._starts += 1
        if self._starts >= COUNT_BATCH:
            for name in START_CHECKS:
                checks[name] += self._starts
            self._starts = 0

    def _violate(self, name: InvariantName, backend: Backend) -> None:
        self._invariants.check(name, False, backend.id)
