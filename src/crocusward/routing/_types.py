"""Requests, results and reservations that callers exchange with the router."""

from enum import StrEnum

from ..model import Backend, BackendAnswer, Record
from ._backend_view import BackendView

DEFAULT_REQUEST_BYTES = 4096


class RouteRequest(Record):
    """Requirements of a request on its backend server.

    Attributes:
        service: Service name.
        contract: Contract name.
        customer: Customer name.
        weight: Weight of the contract in fair queueing.
        regions: Regions that may run the request; empty allows every region.
        idempotent: Whether the request may run more than once.
        deadline_s: Monotonic time at which the caller stops waiting, in seconds.
        bytes: Estimated size of request and answer, in bytes.
        excluded: Ids of backend servers already tried, which are not selected again.
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
        bytes: int = DEFAULT_REQUEST_BYTES,
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
    SHED = "shed"  # rejected before execution
    DRAINING = "draining"  # rejected before execution; the server drains
    NOT_SENT = "not_sent"  # no byte was written
    LOST = "lost"  # bytes were written, no complete answer arrived
    CANCELLED = "cancelled"  # the caller cancelled or its deadline passed


class ExchangeResult(Record):
    """Result of an exchange with a backend server.

    Attributes:
        kind: How it ended.
        service_time_s: From the first byte written to the complete answer, in seconds.
        load: Requests in flight that the server reported, or -1.
        boot: Boot id that the server reported, or "".
        draining: Whether the answer, complete or not, has the drain mark.
        answer: The whole answer, or None.
        request_id: Id of the request, for logs.
    """

    __slots__ = (
        "kind",
        "service_time_s",
        "load",
        "boot",
        "draining",
        "answer",
        "request_id",
    )

    def __init__(
        self,
        kind: ExchangeKind,
        service_time_s: float = 0.0,
        *,
        load: int = -1,
        boot: str = "",
        draining: bool = False,
        answer: BackendAnswer | None = None,
        request_id: str = "",
    ) -> None:
        self.kind = kind
        self.service_time_s = service_time_s
        self.load = load
        self.boot = boot
        self.draining = draining
        self.answer = answer
        self.request_id = request_id

    @classmethod
    def from_answer(
        cls, answer: BackendAnswer, service_time_s: float, request_id: str = ""
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
            answer=answer,
            request_id=request_id,
        )


class Reservation:
    """A request counted in flight at a backend server until ``Router.finish``.

    Attributes:
        backend: The selected backend server.
        view: State of that server in the router.
        regions: Regions that may run the request; empty allows every region.
        started_s: When the first byte was written, in seconds, or -1.
        is_released: Whether the request is no longer counted in flight.
        permit_s: When it took a permit for a rate-limited server, by the clock of the
            limits, or None.
        asked_s: When the first byte was written, by that clock.
    """

    __slots__ = (
        "backend",
        "view",
        "regions",
        "started_s",
        "is_released",
        "permit_s",
        "asked_s",
    )

    def __init__(self, view: BackendView, regions: frozenset[str]) -> None:
        self.backend: Backend = view.backend
        self.view = view
        self.regions = regions
        self.started_s = -1.0
        self.is_released = False
        self.permit_s: float | None = None
        self.asked_s = 0.0
