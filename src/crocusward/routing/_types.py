"""What the router exchanges with the request pipeline."""

from enum import StrEnum

from ..model import Backend, BackendAnswer, Record
from ._view import BackendView

DEFAULT_BYTES = 4096


class RouteRequest(Record):
    """What a request needs of a backend server.

    Attributes:
        service: Service name.
        contract: Contract name.
        customer: Customer name.
        weight: Weight of the contract in fair queueing.
        regions: Home regions; empty allows every region.
        idempotent: Whether the request may run more than once.
        deadline_s: Monotonic time at which the caller stops waiting, in seconds.
        bytes: Estimated size of request and answer, in bytes.
        excluded: Ids of backend servers that were already tried.
    """

    __slots__ = (
        "service",
        "contract",
        "customer",
        "weight",
        "regions",
        "idempotent",
        "deadline_s",
        "bytes",
        "excluded",
    )

    def __init__(
        self,
        service: str,
        contract: str,
        customer: str,
        *,
        weight: float = 1.0,
        regions: frozenset[str] = frozenset(),
        idempotent: bool = False,
        deadline_s: float,
        bytes: int = DEFAULT_BYTES,
        excluded: set[str] | frozenset[str] = frozenset(),
    ) -> None:
        self.service = service
        self.contract = contract
        self.customer = customer
        self.weight = weight
        self.regions = regions
        self.idempotent = idempotent
        self.deadline_s = deadline_s
        self.bytes = bytes
        self.excluded = excluded


class ExchangeKind(StrEnum):
    """How an exchange with a backend server ended."""

    OK = "ok"
    SHED = "shed"  # refused before it ran
    DRAINING = "draining"  # refused before it ran, the server is leaving
    NOT_SENT = "not_sent"  # no byte was written
    LOST = "lost"  # bytes were written, no whole answer came
    CANCELLED = "cancelled"  # the caller gave up or its deadline passed


class ExchangeResult(Record):
    """The end of an exchange.

    Attributes:
        kind: How it ended.
        service_time_s: From the first byte written to the whole answer, in seconds.
        load: Requests in flight that the server reported, or -1.
        boot: Boot id that the server reported, or "".
        draining: True if the answer, complete or not, has the drain mark.
    """

    __slots__ = ("kind", "service_time_s", "load", "boot", "draining")

    def __init__(
        self,
        kind: ExchangeKind,
        service_time_s: float = 0.0,
        *,
        load: int = -1,
        boot: str = "",
        draining: bool = False,
    ) -> None:
        self.kind = kind
        self.service_time_s = service_time_s
        self.load = load
        self.boot = boot
        self.draining = draining

    @classmethod
    def from_answer(
        cls, answer: BackendAnswer, service_time_s: float
    ) -> "ExchangeResult":
        """Return the result for an answer of a backend server."""
        kind = ExchangeKind.OK
        if answer.shed:
            kind = ExchangeKind.DRAINING if answer.draining else ExchangeKind.SHED
        return cls(
            kind,
            service_time_s,
            load=answer.load,
            boot=answer.boot,
            draining=answer.draining,
        )


class Reservation:
    """A place at a backend server; ends with ``Router.finish``.

    Attributes:
        backend: The chosen backend server.
        view: The router's state of it.
        regions: Home regions of the request.
        started_s: When the first byte was written, in seconds, or -1.
        done: True once the place is given back.
    """

    __slots__ = ("backend", "view", "regions", "started_s", "done")

    def __init__(self, view: BackendView, regions: frozenset[str]) -> None:
        self.backend: Backend = view.backend
        self.view = view
        self.regions = regions
        self.started_s = -1.0
        self.done = False
