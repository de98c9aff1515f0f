"""Memory budget for answers, from their first byte until their caller has them."""

from collections.abc import Callable


class AnswerMemoryBudget:
    """Limits the total size of buffered answers.

    Above the limit, the connection with the largest buffer is aborted, so that a server
    that sends an endless body, or a caller that takes no answers, cannot exhaust the
    memory or displace other answers.

    Args:
        limit_bytes: Maximum total size.

    Attributes:
        used_bytes: Current total size.
        aborted_count: Number of aborted exchanges and connections.
    """

    __slots__ = (
        "used_bytes",
        "aborted_count",
        "_limit_bytes",
        "_bytes_by_owner",
        "_abort_by_owner",
    )

    def __init__(self, limit_bytes: int) -> None:
        self.used_bytes = 0
        self.aborted_count = 0
        self._limit_bytes = limit_bytes
        self._bytes_by_owner: dict[int, int] = {}
        self._abort_by_owner: dict[int, Callable[[str], object]] = {}

    def add(self, owner: int, size_bytes: int, abort: Callable[[str], object]) -> None:
        """Add a part of an answer to the total.

        Args:
            owner: Identity of the connection.
            size_bytes: Size of the part.
            abort: Aborts the exchange or connection with a given reason.
        """
        self._bytes_by_owner[owner] = self._bytes_by_owner.get(owner, 0) + size_bytes
        self._abort_by_owner[owner] = abort
        self.used_bytes += size_bytes
        while self.used_bytes > self._limit_bytes:
            largest = max(self._bytes_by_owner, key=self._bytes_by_owner.__getitem__)
            abort_largest = self._abort_by_owner[largest]
            self.release(largest)
            self.aborted_count += 1
            abort_largest("the buffered answers exceed the memory budget")

    def release(self, owner: int) -> None:
        """Remove the parts of a connection from the total."""
        self.used_bytes -= self._bytes_by_owner.pop(owner, 0)
        self._abort_by_owner.pop(owner, None)
