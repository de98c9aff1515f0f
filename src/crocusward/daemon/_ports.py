"""What the logic of an entry host needs of the outside."""

from collections.abc import Iterable
from typing import Protocol

from ..model import Backend, BackendAnswer, ListedHost, Record
from ..peer import (
    ForwardReply,
    ForwardRequest,
    Message,
    OutcomeReply,
    OutcomeRequest,
)
from ..platform import HostList, ObjectStore, TableService
from ..upstream import UpstreamRequest


class Platform(Record):
    """The platform's services.

    Attributes:
        table: Table service.
        objects: Object store.
        hosts: Host list.
    """

    __slots__ = ("table", "objects", "hosts")

    def __init__(
        self, table: TableService, objects: ObjectStore, hosts: HostList
    ) -> None:
        self.table = table
        self.objects = objects
        self.hosts = hosts


class BackendPort(Protocol):
    """Reaches backend servers."""

    async def exchange(self, backend: Backend, req: UpstreamRequest) -> BackendAnswer:
        """Send a request once; see ``Upstream.exchange``."""

    async def probe(self, backend: Backend, timeout_s: float) -> BackendAnswer:
        """Ask a backend server for its load; see ``HttpUpstream.probe``."""


class PeerPort(Protocol):
    """Reaches peers."""

    def update_listed(self, hosts: Iterable[ListedHost]) -> None:
        """Take over the entry hosts of the host list."""

    def broadcast(self, message: Message) -> object:
        """Send a message to every peer without waiting."""

    def send(self, host: str, message: Message) -> object:
        """Send a message to one peer without waiting."""

    async def forward(
        self, incarnation: int, req: ForwardRequest, timeout_s: float
    ) -> ForwardReply:
        """Send a request to the holder of its key."""

    async def outcome(
        self, incarnation: int, req: OutcomeRequest, timeout_s: float
    ) -> OutcomeReply:
        """Ask the holder of a key for its state."""
