"""Places that hosts of other groups keep, and how they are asked for."""

from typing import Protocol

from ..model import Record
from ..neighbours import BackendObservation
from ..placing import BackendLoad, SelectionRequest

FULL = ""  # answer of a data centre that has no room


class KeptPlace(Record):
    """A place at a backend server that a host of another group keeps.

    Attributes:
        backend: Id of the server, or ``FULL``.
        address: IP address of the host.
        token: Number of the question.
        pace: Pace of its machine; 1.0 is usual, 0.0 unknown.
        in_flight: Requests at the server besides this one.
    """

    __slots__ = ("backend", "address", "token", "pace", "in_flight")

    def __init__(
        self,
        backend: str,
        address: str,
        token: int,
        pace: float = 0.0,
        in_flight: int = 0,
    ) -> None:
        self.backend = backend
        self.address = address
        self.token = token
        self.pace = pace
        self.in_flight = in_flight


class Announcer(Protocol):
    """Tells neighbours of requests in flight, and asks other groups."""

    def announce(self, load: BackendLoad, seen: BackendObservation | None) -> None:
        """Report a change at a backend server."""

    async def ask(
        self, place: SelectionRequest, group: str, shared: bool, wait_s: float
    ) -> KeptPlace | None:
        """Ask a host of another group for a place at a server there.

        Args:
            place: The request.
            group: The group.
            shared: Whether a server that has a request already will do.
            wait_s: How long the request may wait there.

        Returns:
            The place, with the server ``FULL`` if there is none, or None if no answer
            came in time.
        """

    def release(self, kept: KeptPlace) -> None:
        """Give a place of another group back."""
