"""Requests of callers and their answers."""

from ._record import Record

Headers = list[tuple[bytes, bytes]]


class Call(Record):
    """A request as received from a caller.

    Attributes:
        request_id: Unique id, from the caller or generated on receipt.
        contract: Name of the contract.
        service: Name of the service.
        method: HTTP method in upper case.
        path: Path and query string as sent to the backend server.
        headers: End-to-end headers.
        body: Complete body.
        key: Idempotency key, or "" if absent.
        deadline_s: Deadline on the monotonic clock, in seconds.
        depth: Number of calls above this one in the call chain.
        received_s: Time of receipt on the monotonic clock, in seconds.
    """

    __slots__ = (
        "request_id",
        "contract",
        "service",
        "method",
        "path",
        "headers",
        "body",
        "key",
        "deadline_s",
        "depth",
        "received_s",
    )

    def __init__(
        self,
        request_id: str,
        contract: str,
        service: str,
        method: str,
        path: str,
        *,
        headers: Headers | None = None,
        body: bytes = b"",
        key: str = "",
        deadline_s: float = 0.0,
        depth: int = 0,
        received_s: float = 0.0,
    ) -> None:
        self.request_id = request_id
        self.contract = contract
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers if headers is not None else []
        self.body = body
        self.key = key
        self.deadline_s = deadline_s
        self.depth = depth
        self.received_s = received_s


class Reply(Record):
    """The complete answer to a caller.

    Attributes:
        request_id: Id of the answered request.
        status: HTTP status.
        headers: End-to-end headers.
        body: Complete body.
        backend: Id of the backend server that answered.
        replayed: True if this is the stored answer of an earlier attempt.
    """

    __slots__ = ("request_id", "status", "headers", "body", "backend", "replayed")

    def __init__(
        self,
        request_id: str,
        status: int,
        headers: Headers,
        body: bytes,
        backend: str,
        *,
        replayed: bool = False,
    ) -> None:
        self.request_id = request_id
        self.status = status
        self.headers = headers
        self.body = body
        self.backend = backend
        self.replayed = replayed


class BackendAnswer(Record):
    """The answer of a backend server.

    Attributes:
        request_id: Value of X-Request-Id in the answer, or "" if absent.
        status: HTTP status.
        headers: End-to-end headers.
        body: Complete body.
        load: Requests in flight per the server's load report, or -1 if absent.
        boot: Boot id that the server reported, or "" if absent.
        shed: True if the answer says that the server did not run the request. It
            proves that only for the request that it names.
        draining: True if the server reported that it is draining.
        rate_limit_per_s: Requests per second that the server takes from all hosts,
            0.0 if it names no limit, -1 if unknown.
        rate_limit_error: Why a limit that it named is not valid, or "".
    """

    __slots__ = (
        "request_id",
        "status",
        "headers",
        "body",
        "load",
        "boot",
        "shed",
        "draining",
        "rate_limit_per_s",
        "rate_limit_error",
    )

    def __init__(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        *,
        request_id: str = "",
        load: int = -1,
        boot: str = "",
        shed: bool = False,
        draining: bool = False,
        rate_limit_per_s: float = -1.0,
        rate_limit_error: str = "",
    ) -> None:
        self.request_id = request_id
        self.status = status
        self.headers = headers
        self.body = body
        self.load = load
        self.boot = boot
        self.shed = shed
        self.draining = draining
        self.rate_limit_per_s = rate_limit_per_s
        self.rate_limit_error = rate_limit_error
