"""Memory that the answers under way on all connections of a pool may take."""

from collections.abc import Callable


class AnswerMemoryBudget:
    """Bounds the parts of answers that are kept until the answers are whole.

    When they exceed the limit, the largest answer is given up: servers that send
    without end must not take the memory, or the answers, of others.

    Args:
        limit_bytes: Largest sum.

    Attributes:
        used_bytes: The sum at present.
        given_up: Answers that were given up.
    """

    __slots__ = ("used_bytes", "given_up", "_limit_bytes", "_held", "_ends")

    def __init__(self, limit_bytes: int) -> None:
        self.used_bytes = 0
        self.given_up = 0
        self._limit_bytes = limit_bytes
        self._held: dict[int, int] = {}
        self._ends: dict[int, Callable[[str], object]] = {}

    def add(self, owner: int, size: int, give_up: Callable[[str], object]) -> None:
        """Count a part of an answer.

        Args:
            owner: Identity of the connection.
            size: Length of the part.
            give_up: Ends the exchange of the connection for a reason.
        """
        self._held[owner] = self._held.get(owner, 0) + size
        self._ends[owner] = give_up
        self.used_bytes += size
        while self.used_bytes > self._limit_bytes:
            largest = max(self._held, key=self._held.__getitem__)
            end = self._ends[largest]
            self.release(largest)
            self.given_up += 1
            end("the answers under way take too much memory")

    def release(self, owner: int) -> None:
        """Count the parts of a connection no more."""
        self.used_bytes -= self._held.pop(owner, 0)
        self._ends.pop(owner, None)
