"""Slots reserved by hosts of other groups, and the interface to neighbours."""

from typing import Protocol

from ..model import Record
from ..neighbours import BackendObservation
from ..placing import BackendLoad, SelectionRequest

NO_FREE_SLOT = ""  # backend id of an answer without a free slot


class ReservedSlot(Record):
    """A slot at a backend server, reserved by a host of another group.

    Attributes:
        backend: Id of the server, or ``NO_FREE_SLOT``.
        address: IP address of the host that reserved it.
        token: Number of the slot request.
        slowdown: Slowdown of the server's machine; 1.0 is unloaded, 0.0 unknown.
        in_flight: Other requests in flight at the server.
        retry_after_s: When a slot is expected, if there is none; 0.0 if unknown.
        expires_s: When it expires for a rate-limited or cold server, by the clock of
            rate limits, or None.
        permit_per_s: Rate of the permits of which it is one, in requests per second;
            0.0 if the host that reserved it knows no limit of the server.
        is_own_permit: Whether the coordinator of this group issued it as a permit.
    """

    __slots__ = (
        "backend",
        "address",
        "token",
        "slowdown",
        "in_flight",
        "retry_after_s",
        "expires_s",
        "permit_per_s",
        "is_own_permit",
    )

    def __init__(
        self,
        backend: str,
        address: str,
        token: int,
        slowdown: float = 0.0,
        in_flight: int = 0,
        retry_after_s: float = 0.0,
        expires_s: float | None = None,
        permit_per_s: float = 0.0,
        is_own_permit: bool = False,
    ) -> None:
        self.backend = backend
        self.address = address
        self.token = token
        self.slowdown = slowdown
        self.in_flight = in_flight
        self.retry_after_s = retry_after_s
        self.expires_s = expires_s
        self.permit_per_s = permit_per_s
        self.is_own_permit = is_own_permit


class NeighbourNotifier(Protocol):
    """Notifies neighbours of load changes, and requests slots of other groups."""

    def notify_change(
        self, load: BackendLoad, observation: BackendObservation | None
    ) -> None:
        """Notify neighbours of a change in load or a new observation of a server."""

    async def request_slot(
        self, req: SelectionRequest, group: str, can_share: bool, max_wait_s: float
    ) -> ReservedSlot | None:
        """Request a slot at a server of another group from a host there.

        Args:
            req: The request.
            group: The group.
            can_share: Whether a server with other requests in flight is acceptable.
            max_wait_s: How long the request may be queued there, in seconds.

        Returns:
            The slot, with backend ``NO_FREE_SLOT`` if there is none, or None if no
            answer came in time.
        """

    async def request_permit(
        self, req: SelectionRequest, max_wait_s: float
    ) -> ReservedSlot | None:
        """Request a permit for a rate-limited server from its coordinator.

        Args:
            req: The request.
            max_wait_s: How long it may be queued at the coordinator, in seconds.

        Returns:
            The permit, with backend ``NO_FREE_SLOT`` if it is denied, or None if no
            answer came in time or no other host coordinates.
        """

    def report_limit(self, load: BackendLoad, address: str) -> None:
        """Report the limit of a server to a host that offered it without a permit."""

    def release(self, slot: ReservedSlot) -> None:
        """Release a slot of another group."""
