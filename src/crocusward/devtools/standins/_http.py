"""A small, fast HTTP/1.1 server for the stand-ins."""

import asyncio
import json
from typing import Protocol
from urllib.parse import parse_qs, unquote

import httptools

from ...model import Record

MAX_BODY_BYTES = 4 << 20
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    409: b"Conflict",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class StandinRequest(Record):
    """One request that a stand-in received.

    Attributes:
        method: HTTP method.
        path: Decoded path without the query.
        query: Raw query.
        headers: Values by name in lower case.
        body: The whole body.
        fresh: True for the first request of a connection.
    """

    __slots__ = ("method", "path", "query", "headers", "body", "fresh")

    def __init__(
        self,
        method: str,
        path: str,
        query: str,
        headers: dict[bytes, bytes],
        body: bytes,
        fresh: bool,
    ) -> None:
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.fresh = fresh

    def argument(self, name: str, default: str = "") -> str:
        """Return a query argument."""
        values = parse_qs(self.query, keep_blank_values=True).get(name)
        return values[0] if values else default


def encode_answer(status: int, body: bytes, headers: bytes) -> bytes:
    """Return the bytes of an answer; each header line ends in CRLF."""
    head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n"
    reason = REASONS.get(status, b"Status")
    return head % (status, reason, len(body), headers) + body


class StandinApp(Protocol):
    """What a stand-in implements."""

    def on_connect(self, conn: "Connection") -> bool:
        """Return False to close a new connection."""

    def on_request(self, conn: "Connection", req: StandinRequest) -> None:
        """Handle a request; ``conn.respond`` answers it now or later."""

    def on_close(self, conn: "Connection") -> None:
        """Forget a connection."""


class Connection(asyncio.Protocol):
    """One connection; requests are handled one at a time."""

    __slots__ = (
        "app",
        "transport",
        "closed",
        "busy",
        "_parser",
        "_url",
        "_headers",
        "_body",
        "_size",
        "_served",
        "job",
    )

    def __init__(self, app: StandinApp) -> None:
        self.app = app
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.busy = False
        self.job: object = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._served = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, or refuse."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if not self.app.on_connect(self):
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the stand-in."""
        self.closed = True
        self.app.on_close(self)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; malformed input closes the connection."""
        if self.closed:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """Start a request."""
        self._url = b""
        self._headers = {}
        self._body = []
        self._size = 0

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Collect the body up to the limit."""
        self._size += len(body)
        if self._size > MAX_BODY_BYTES:
            self.abort()
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand over the request; a pipelined one closes the connection."""
        if self.closed:
            return
        if self.busy:
            self.abort()
            return
        self.busy = True
        self._served += 1
        path, _, query = self._url.decode("latin-1").partition("?")
        req = StandinRequest(
            self._parser.get_method().decode(),
            unquote(path) if "%" in path else path,
            query,
            self._headers,
            b"".join(self._body),
            self._served == 1,
        )
        self.app.on_request(self, req)

    def respond(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Answer the current request.

        Args:
            status: HTTP status.
            body: The whole body.
            headers: Further header lines, each ending in CRLF.
        """
        self.busy = False
        self.job = None
        self.write(encode_answer(status, body, headers))

    def write(self, data: bytes) -> None:
        """Write bytes, unless the connection is closed."""
        if data and not self.closed and self.transport is not None:
            self.transport.write(data)

    def respond_json(self, document: object, status: int = 200) -> None:
        """Answer with JSON."""
        body = json.dumps(document).encode()
        self.respond(status, body, b"Content-Type: application/json\r\n")

    def abort(self) -> None:
        """Close at once, without an answer."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close after the written bytes are out."""
        self.closed = True
        if self.transport is not None:
            self.transport.close()


class Listener:
    """A listening socket that can refuse connections for a while.

    Attributes:
        address: Loopback address.
        port: TCP port; 0 is replaced when it opens.
        connection_class: Class of the accepted connections.
    """

    __slots__ = (
        "app",
        "address",
        "port",
        "conns",
        "connection_class",
        "_server",
        "_task",
    )

    def __init__(self, app: StandinApp, address: str, port: int) -> None:
        if not address.startswith("127."):
            raise ValueError("stand-ins listen on loopback addresses only")
        self.app = app
        self.address = address
        self.port = port
        self.conns: set[Connection] = set()
        self.connection_class: type[Connection] = Connection
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def is_open(self) -> bool:
        """True while connections are accepted."""
        return self._server is not None

    async def open(self) -> None:
        """Accept connections."""
        if self._server is not None:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: self.connection_class(self.app),
            self.address,
            self.port,
            backlog=512,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def shut(self, *, abort: bool = True) -> None:
        """Refuse connections; ``abort`` also breaks the existing ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if abort:
            for conn in list(self.conns):
                conn.abort()

    def refuse(self, duration_s: float, *, abort: bool = True) -> None:
        """Refuse connections for ``duration_s`` seconds."""
        self.shut(abort=abort)
        loop = asyncio.get_running_loop()
        loop.call_later(duration_s, self._reopen)

    def _reopen(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self.open())


class ConnectionKeeper:
    """Keeps the open connections of one listener.

    Attributes:
        listener: Where the connections arrive.
    """

    listener: Listener

    def on_connect(self, conn: Connection) -> bool:
        """Keep a connection."""
        self.listener.conns.add(conn)
        return True

    def on_close(self, conn: Connection) -> None:
        """Forget a connection."""
        self.listener.conns.discard(conn)
