"""Interfaces of the platform services that crocusward uses."""

from collections.abc import Sequence
from typing import Protocol

from ..model import ListedHost, Record

ANY_REVISION = -1  # the row may have any revision or be absent
ABSENT_REVISION = 0  # the row must be absent


class Row(Record):
    """A row of the table service.

    Attributes:
        key: Unique key.
        value: Content.
        revision: Number of writes of the row so far; the first gives 1.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key: str, value: bytes, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Write(Record):
    """One conditional write of a transaction.

    Attributes:
        key: Key of the row.
        value: New content, or None to delete the row.
        expected_revision: Revision that the row must have, ``ABSENT_REVISION`` or
            ``ANY_REVISION``.
    """

    __slots__ = ("key", "value", "expected_revision")

    def __init__(
        self, key: str, value: bytes | None, expected_revision: int = ANY_REVISION
    ) -> None:
        self.key = key
        self.value = value
        self.expected_revision = expected_revision


class TableService(Protocol):
    """The platform's transactional table service."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if there is none.

        Raises:
            StoreUnavailableError: The service cannot be reached in time.
        """

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows with keys above ``after``, in key order.

        Raises:
            StoreUnavailableError: The service cannot be reached in time.
        """

    async def transact(self, writes: Sequence[Write]) -> None:
        """Apply all writes or none.

        Raises:
            ConflictError: A row has another revision than expected; nothing was
                written.
            StoreUnavailableError: Nothing was written.
            StoreUncertainError: The writes may have been applied; read the rows back.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object.

        Raises:
            StoreUnavailableError: The service cannot be reached in time.
        """

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if there is none.

        Raises:
            StoreUnavailableError: The service cannot be reached in time.
        """

    async def list(self, prefix: str) -> list[str]:
        """Return the object names that start with ``prefix``, in order.

        Raises:
            StoreUnavailableError: The service cannot be reached in time.
        """


class HostList(Protocol):
    """The platform's list of live and leaving hosts; it may be out of date."""

    async def fetch(self) -> list[ListedHost]:
        """Return entry hosts and backend servers.

        Raises:
            StoreUnavailableError: The list cannot be reached in time.
        """
