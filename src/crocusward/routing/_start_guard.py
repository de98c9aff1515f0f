"""Checks immediately before the first byte of a request is written."""

from ..invariants import InvariantName, Invariants
from ..model import Backend
from ..placing import PERMIT_LIFETIME_S
from ._backend_table import BackendTable
from ._backend_view import BackendView
from ._rate_limits import FleetRateLimits
from ._selector import RegionAwareSelector
from ._slow_start import SlowStart
from ._types import Reservation

MAX_STOP_DELAY_S = 3.0  # after which nothing out of service may get new requests
# Counting each check of each start would cost some microseconds per start.
START_BATCH_COUNT = 16
START_CHECKS = (
    InvariantName.DATA_CENTRE_OUT,
    InvariantName.BACKEND_LEAVING,
    InvariantName.COLD_START,
    InvariantName.RATE_LIMIT,
    InvariantName.RESIDENCY,
)


class StartGuard:
    """Decides whether a reservation is still valid, and checks the invariants.

    Args:
        region: Region of this host.
        table: State of the servers.
        slow_start: Slow start of the servers.
        rate_limits: Rate limits that the servers name.
        selector: Tells whether requests may go to other regions.
        invariants: Receives the checks of the invariants.
    """

    __slots__ = (
        "_region",
        "_table",
        "_slow_start",
        "_rate_limits",
        "_selector",
        "_invariants",
        "_uncounted_starts",
    )

    def __init__(
        self,
        region: str,
        table: BackendTable,
        slow_start: SlowStart,
        rate_limits: FleetRateLimits,
        selector: RegionAwareSelector,
        invariants: Invariants,
    ) -> None:
        self._region = region
        self._table = table
        self._slow_start = slow_start
        self._rate_limits = rate_limits
        self._selector = selector
        self._invariants = invariants
        self._uncounted_starts = 0

    def can_start(
        self, view: BackendView, reservation: Reservation, now_s: float
    ) -> bool:
        """Return whether a server may still take a request reserved for it."""
        if not view.is_open:
            return False
        if not self._selector.can_cross_regions and view.backend.region != self._region:
            return False
        if self._lacks_permit(reservation) and not self._table.ignores_rate_limits:
            return False
        if view.is_warm:
            return True
        self._table.refresh_limit(view, now_s)
        return view.in_flight <= view.slow_start_limit

    def check_invariants(
        self, view: BackendView, reservation: Reservation, now_s: float
    ) -> None:
        """Check the invariants against the inputs, not against derived state."""
        backend = view.backend
        table = self._table
        checks = self._invariants.checks
        since_s = table.out_since.get(backend.data_centre)
        if since_s is not None and now_s - since_s > MAX_STOP_DELAY_S:
            self._record_violation(InvariantName.DATA_CENTRE_OUT, backend)
        since_s = table.leaving_since.get(backend.id)
        if since_s is not None and now_s - since_s > MAX_STOP_DELAY_S:
            self._record_violation(InvariantName.BACKEND_LEAVING, backend)
        state = table.slow_start_states[backend.id]
        if not state.is_warm and view.in_flight > self._slow_start.get_in_flight_limit(
            state, now_s
        ):
            self._record_violation(InvariantName.COLD_START, backend)
        if self._lacks_permit(reservation):
            self._record_violation(InvariantName.RATE_LIMIT, backend)
        regions = reservation.regions
        if regions and backend.region not in regions:
            self._record_violation(InvariantName.RESIDENCY, backend)
        self._uncounted_starts += 1
        if self._uncounted_starts >= START_BATCH_COUNT:
            for name in START_CHECKS:
                checks[name] += self._uncounted_starts
            self._uncounted_starts = 0

    def _lacks_permit(self, reservation: Reservation) -> bool:
        """Return whether a request for a rate-limited server has no valid permit."""
        if not self._rate_limits.is_limited(reservation.backend.id):
            return False
        permit_s = reservation.permit_s
        return permit_s is None or (
            self._rate_limits.now() - permit_s > PERMIT_LIFETIME_S
        )

    def _record_violation(self, name: InvariantName, backend: Backend) -> None:
        self._invariants.check(name, False, backend.id)
