"""HTTP clients of the platform's table service, object store and host list."""

from collections.abc import Sequence
from typing import Any
from urllib.parse import quote, urlencode

import cbor2

from ..errors import StoreUnavailableError, StoreUncertainError
from ..model import ListedHost
from ..registry import Registry
from ._http import PlatformClient, parse_cbor, parse_json
from ._interfaces import Row, Write

TABLE_SERVICES: Registry = Registry("table service")
OBJECT_STORES: Registry = Registry("object store")
HOST_LISTS: Registry = Registry("host list")

ROLES = ("entry", "backend")
MAX_PORT = 65_535


@TABLE_SERVICES.register("http")
class HttpTableService:
    """Table service over HTTP with CBOR bodies.

    Args:
        client: Sends the requests.
    """

    __slots__ = ("_client",)

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if there is none.

        Raises:
            StoreUnavailableError: The service cannot be reached in time.
        """
        document = await self._read("/v1/read", {"key": key})
        row = _get_member("/v1/read", document, "row")
        return None if row is None else _parse_row(row)

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows with keys above ``after``, in key order.

        Raises:
            StoreUnavailableError: The service cannot be reached in time.
        """
        query = {"prefix": prefix, "after": after, "limit": limit}
        document = await self._read("/v1/scan", query)
        rows = _get_member("/v1/scan", document, "rows")
        if not isinstance(rows, list):
            raise StoreUnavailableError("/v1/scan: 'rows' is not a list")
        return [_parse_row(row) for row in rows]

    async def transact(self, writes: Sequence[Write]) -> None:
        """Apply all writes or none.

        Raises:
            ConflictError: A row has another revision than expected; nothing was
                written.
            StoreUnavailableError: Nothing was written.
            StoreUncertainError: The writes may have been applied; read the rows back.
        """
        rows = [[item.key, item.value, item.expected_revision] for item in writes]
        body = cbor2.dumps({"writes": rows})
        await self._client.write("POST", "/v1/transact", body)

    async def _read(self, path: str, query: dict[str, object]) -> Any:
        answer = await self._client.read("POST", path, cbor2.dumps(query))
        if answer.status != 200:
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        return parse_cbor(path, answer.body)


@OBJECT_STORES.register("http")
class HttpObjectStore:
    """Object store over HTTP.

    Args:
        client: Sends the requests.
    """

    __slots__ = ("_client",)

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; the call is idempotent.

        Raises:
            StoreUnavailableError: The object may not have been stored.
        """
        try:
            await self._client.write("PUT", _object_path(name), data)
        except StoreUncertainError as exc:
            raise StoreUnavailableError(str(exc)) from exc

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if there is none.

        Raises:
            StoreUnavailableError: The service cannot be reached in time.
        """
        answer = await self._client.read("GET", _object_path(name))
        return None if answer.status == 404 else answer.body

    async def list(self, prefix: str) -> list[str]:
        """Return the object names that start with ``prefix``, in order.

        Raises:
            StoreUnavailableError: The service cannot be reached in time.
        """
        path = "/v1/objects?" + urlencode({"prefix": prefix})
        answer = await self._client.read("GET", path)
        document = parse_json("/v1/objects", answer.body)
        names = _get_member("/v1/objects", document, "names")
        if not isinstance(names, list):
            raise StoreUnavailableError("/v1/objects: 'names' is not a list")
        return [str(name) for name in names]


@HOST_LISTS.register("http")
class HttpHostList:
    """Host list over HTTP.

    Args:
        client: Sends the requests.
        region: Region of this host; listed addresses may differ by region.
    """

    __slots__ = ("_client", "_path", "_last_body", "_last_hosts")

    def __init__(self, client: PlatformClient, region: str = "") -> None:
        self._client = client
        self._last_body = b""
        self._last_hosts: list[ListedHost] = []
        self._path = "/v1/hosts?" + urlencode({"region": region})

    async def fetch(self) -> list[ListedHost]:
        """Return entry hosts and backend servers.

        While the answer is unchanged, the same list object is returned: the answer
        is not decoded again, which matters for lists of hundreds of hosts.

        One malformed entry fails the whole read: if entries were skipped, fewer hosts
        would divide the fleet's budgets, and each share would be too large.

        Raises:
            StoreUnavailableError: The list cannot be reached in time.
        """
        answer = await self._client.read("GET", self._path)
        if self._last_hosts and answer.body == self._last_body:
            return self._last_hosts
        document = parse_json("/v1/hosts", answer.body)
        hosts = _get_member("/v1/hosts", document, "hosts")
        if not isinstance(hosts, list):
            raise StoreUnavailableError("/v1/hosts: 'hosts' is not a list")
        self._last_hosts = [_parse_host(host) for host in hosts]
        self._last_body = answer.body
        return self._last_hosts


def _object_path(name: str) -> str:
    return "/v1/objects/" + quote(name, safe="/")


def _get_member(path: str, document: Any, name: str) -> Any:
    if not isinstance(document, dict) or name not in document:
        raise StoreUnavailableError(f"{path}: answer has no member {name!r}")
    return document[name]


def _parse_row(row: Any) -> Row:
    match row:
        case [str(key), bytes(value), int(revision)] if revision > 0:
            return Row(key, value, revision)
    raise StoreUnavailableError("malformed row: not [key, value, revision]")


def _parse_host(host: Any) -> ListedHost:
    if not isinstance(host, dict):
        raise StoreUnavailableError("malformed host entry: not a JSON object")
    role = _get_text(host, "role")
    port = host.get("port")
    if role not in ROLES or type(port) is not int or not 0 < port <= MAX_PORT:
        raise StoreUnavailableError(
            f"malformed host entry {host.get('name')!r}: role or port"
        )
    return ListedHost(
        _get_text(host, "name"),
        role,
        _get_text(host, "region"),
        _get_text(host, "data_centre"),
        _get_text(host, "address"),
        port,
        leaving=host.get("leaving") is True,
        service=str(host.get("service", "")),
    )


def _get_text(host: dict[str, Any], name: str) -> str:
    value = host.get(name)
    if not isinstance(value, str) or not value:
        raise StoreUnavailableError(
            f"malformed host entry: {name!r} is not a non-empty string"
        )
    return value
