"""Interface of the HTTP client for backend servers, as the dispatcher uses it."""

from collections.abc import Callable
from typing import Protocol

from ..model import Backend, BackendAnswer, Record


class UpstreamRequest(Record):
    """A request to a backend server.

    Attributes:
        request_id: Sent as X-Request-Id; the answer must echo it if it names one.
        method: HTTP method.
        path: Path and query.
        headers: End-to-end headers.
        body: Complete body.
        timeout_s: Time left in seconds, sent as Crocusward-Deadline-Ms in milliseconds.
        depth: Number of calls above this one, sent as Crocusward-Depth.
        answer_bytes: Maximum size of the answer body, in bytes.
        before_write: Called when a connection is available, immediately before the
            first byte is written; raises NotSentError to withdraw the request.
            Waiting for a connection can make earlier checks stale.
    """

    __slots__ = (
        "request_id",
        "method",
        "path",
        "headers",
        "body",
        "timeout_s",
        "depth",
        "answer_bytes",
        "before_write",
    )

    def __init__(
        self,
        request_id: str,
        method: str,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        timeout_s: float,
        depth: int,
        answer_bytes: int,
        before_write: Callable[[], None] | None = None,
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.timeout_s = timeout_s
        self.depth = depth
        self.answer_bytes = answer_bytes
        self.before_write = before_write


class Upstream(Protocol):
    """Sends each request to a backend server at most once."""

    async def exchange(self, backend: Backend, req: UpstreamRequest) -> BackendAnswer:
        """Send a request once and return its complete answer.

        Raises:
            NotSentError: No byte was written.
            ExchangeLostError: Bytes were written, but no complete answer arrived in
                time.
        """
