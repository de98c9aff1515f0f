"""What the server needs of the request pipeline."""

from typing import Protocol

from ..errors import Refusal
from ..model import Call, Reply
from ..peer import OutcomeReply


class CallHandler(Protocol):
    """Carries out the requests of callers."""

    def admit(self, contract: str, caller_key: str) -> None:
        """Check that the contract exists and the caller's key is right.

        Raises:
            Refusal: ``unknown_contract`` or ``unauthorised``.
        """

    def body_limit(self, contract: str) -> int:
        """Return the largest request body of an admitted contract, in bytes."""

    def default_deadline_s(self, contract: str) -> float:
        """Return the default and longest deadline of a contract, in seconds."""

    def wrong_region(
        self, contract: str, service: str, method: str, path: str
    ) -> Refusal | None:
        """Return a refusal if the request may not be handled in this region.

        Called before the body is read, so that no body leaves its home regions.
        """

    async def handle(self, call: Call) -> Reply:
        """Carry out one request.

        A cancellation means that the caller has gone away.

        Raises:
            Refusal: The request was not completed.
        """

    async def issue_keys(self, contract: str, count: int) -> list[str]:
        """Return new idempotency keys.

        Raises:
            Refusal: No keys are issued.
        """

    def next_key(self, contract: str) -> str | None:
        """Return one new idempotency key for an answer, or None."""

    async def outcome(self, contract: str, key: str) -> OutcomeReply:
        """Return what is known about an idempotency key.

        Raises:
            Refusal: The holder of the key cannot be asked.
        """

    def ready(self) -> bool:
        """Return True if the platform may send requests to this host."""
