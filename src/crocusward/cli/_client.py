"""HTTP client of the administration API."""

import http.client
import json
import ssl
from collections.abc import Callable, Mapping, Sequence
from typing import Any
from urllib.parse import quote, urlsplit

from ..errors import (
    ExchangeLostError,
    Finding,
    NotSentError,
    SourceLocation,
)
from ._exit import ToolError

Table = dict[str, Any]

TIMEOUT_S = 15.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
HTTP_OK = 200


class AdminClient:
    """Sends requests to one of several servers.

    The next server is tried only when the request was certainly not sent, or when it
    changes nothing.

    Args:
        servers: Addresses such as ``http://127.0.0.1:8081``.
        token: Bearer token.
        ca_file: Certificates to trust, or "" for those of the system.
    """

    __slots__ = ("_servers", "_token", "_ca_file")

    def __init__(self, servers: Sequence[str], token: str, ca_file: str = "") -> None:
        self._servers = list(servers)
        self._token = token
        self._ca_file = ca_file

    def get(self, *parts: str, query: str = "") -> Table:
        """Read from the path made of ``parts``.

        Raises:
            ToolError: The request failed.
        """
        path = "/v1/" + "/".join(quote(part, safe="") for part in parts) + query
        return self._try_all("GET", path, None, read_only=True)

    def post(
        self, path: str, table: Mapping[str, object], *, read_only: bool = False
    ) -> Table:
        """Send a table to ``/v1/`` and the path.

        Raises:
            ToolError: The request failed.
        """
        body = json.dumps(table).encode()
        return self._try_all("POST", f"/v1/{path}", body, read_only=read_only)

    def _try_all(
        self, method: str, path: str, body: bytes | None, *, read_only: bool
    ) -> Table:
        failures = []
        for server in self._servers:
            try:
                return self._send(server, method, path, body)
            except NotSentError as exc:
                failures.append(f"{server}: {exc}")
            except ExchangeLostError as exc:
                failures.append(f"{server}: {exc}")
                if not read_only:
                    raise ToolError(
                        failures[-1],
                        code="exchange_lost",
                        advice="the effect is unknown; send the same command again"
                        " with the same id, it has one effect",
                    ) from None
        message = "; ".join(failures) or "no server is given"
        raise ToolError(
            message,
            code="not_sent",
            advice="nothing was changed; check --server or CROCUSWARD_SERVER",
        )

    def _send(self, server: str, method: str, path: str, body: bytes | None) -> Table:
        conn = self._connect(server)
        try:
            return _exchange(conn, method, path, body, self._token)
        finally:
            conn.close()

    def _connect(self, server: str) -> http.client.HTTPConnection:
        make: Callable[..., http.client.HTTPConnection] = http.client.HTTPConnection
        options: dict[str, Any] = {"timeout": TIMEOUT_S}
        try:
            parts = urlsplit(server)
            if parts.scheme not in ("http", "https"):
                raise ValueError(f"unknown scheme {parts.scheme!r}")
            if parts.scheme == "https":
                make = http.client.HTTPSConnection
                options["context"] = ssl.create_default_context(
                    cafile=self._ca_file or None
                )
            conn = make(parts.hostname or "", parts.port, **options)
            conn.connect()
        except (OSError, ValueError, http.client.HTTPException) as exc:
            raise NotSentError(_reason(exc)) from None
        # A lost connection must not be opened again for the same request.
        conn.auto_open = 0
        return conn


def _exchange(
    conn: http.client.HTTPConnection,
    method: str,
    path: str,
    body: bytes | None,
    token: str,
) -> Table:
    headers = {"Accept": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    if body is not None:
        headers["Content-Type"] = "application/json"
    try:
        conn.request(method, path, body, headers)
        response = conn.getresponse()
        raw = response.read(MAX_ANSWER_BYTES)
        status = response.status
        table = json.loads(raw)
        if not isinstance(table, dict):
            raise ValueError("the answer is not an object")
    except (OSError, ValueError, http.client.HTTPException) as exc:
        raise ExchangeLostError(_reason(exc)) from None
    if status != HTTP_OK:
        raise _refusal(table, status)
    return table


def _refusal(table: Table, status: int) -> ToolError:
    findings = [
        Finding(
            SourceLocation("request", str(item.get("path", "")), 0),
            str(item.get("code", "")),
            str(item.get("message", "")),
        )
        for item in table.get("findings", [])
    ]
    message = str(table.get("message", f"HTTP status {status}"))
    if "current" in table:
        message += f" (current version {table['current']})"
    return ToolError(
        message,
        code=str(table.get("code", "internal")),
        advice=str(table.get("advice", "")),
        findings=findings,
    )


def _reason(exc: Exception) -> str:
    return getattr(exc, "strerror", None) or str(exc) or type(exc).__name__
