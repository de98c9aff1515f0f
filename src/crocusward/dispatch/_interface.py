"""Interfaces that the request pipeline requires."""

from typing import Protocol

from ..peer import ForwardReply, ForwardRequest, OutcomeReply, OutcomeRequest


class PeerNetwork(Protocol):
    """Connection to the holders of idempotency keys."""

    def region_of(self, incarnation: int) -> str:
        """Return the region of an incarnation, or "" if it is not known."""

    async def forward(
        self, incarnation: int, message: ForwardRequest, timeout_s: float
    ) -> ForwardReply:
        """Send a request to the holder of its key and wait for the reply.

        Raises:
            PeerUnreachableError: No reply came.
        """

    async def outcome(
        self, incarnation: int, message: OutcomeRequest, timeout_s: float
    ) -> OutcomeReply:
        """Ask the holder of a key for its state.

        Raises:
            PeerUnreachableError: No reply came.
        """


class CallRecorder(Protocol):
    """Receives one record for each finished request."""

    def record_call(
        self,
        contract: str,
        service: str,
        region: str,
        data_centre: str,
        code: str,
        *,
        total_s: float,
        added_s: float = 0.0,
        queue_s: float = 0.0,
        backend: str = "",
    ) -> None:
        """Record a finished request."""
