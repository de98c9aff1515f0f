"""HTTP client of the row store: table reads, change feeds, conditional writes."""

import base64
import binascii
import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

from ..desired import NO_ERA, RowChange, TablePage
from ..errors import (
    ConflictError,
    CrocusError,
    ExchangeLostError,
    NotSentError,
    StoreUnavailableError,
    StoreUncertainError,
)
from ..logs import Level, log_event
from ._http import HttpAnswer, HttpClient
from ._wire_names import STORE_ERA_HEADER

# The store returns at most 1 MB of rows; base64 adds a third.
MAX_ROWS_ANSWER_BYTES = 4 << 20
MAX_PAGE_ROWS = 500  # limit of the store
MAX_PAGES = 40  # limits a complete read to 20,000 rows
MAX_ERA_DIGITS = 18  # fits 64 bits
_JSON_HEADERS = ((b"content-type", b"application/json"),)


class HistoryLostError(CrocusError):
    """The store no longer has all changes after the requested version."""

    code = "history_lost"


class RowClient:
    """Client of the platform's row store; it never retries.

    Args:
        client: Sends single requests.
        address: IP address and port of the store.

    Attributes:
        address: IP address and port of the store, for the next requests.
        call_count: Requests sent so far.
        era: Latest era that an answer of the store has named.
    """

    __slots__ = ("address", "call_count", "era", "_client")

    def __init__(self, client: HttpClient, address: tuple[str, int]) -> None:
        self._client = client
        self.address = address
        self.call_count = 0
        self.era = NO_ERA

    async def read_table(self, table: str, timeout_s: float) -> TablePage:
        """Return all rows of a table.

        The pages of a large table may have different versions. The lowest of these
        is returned, so that changes made between the pages are read again.

        Raises:
            StoreUnavailableError: No usable answer came in time, or the store was
                restored between the pages.
        """
        changes: list[RowChange] = []
        version = -1
        era: int | None = None
        start = ""
        for _ in range(MAX_PAGES):
            query: dict[str, object] = {"table": table, "part": ""}
            query["limit"] = MAX_PAGE_ROWS
            if start:
                query["from"] = start
            document, page_era = await self._get("/rows-get", query, timeout_s)
            page = _decode_page(document, complete=True, era=page_era)
            if era is not None and page_era != era:
                raise StoreUnavailableError(f"table {table}: restored while read")
            era = page_era
            version = page.version if version < 0 else min(version, page.version)
            changes += page.changes
            if not document.get("hasMore") or not page.changes:
                return TablePage(version, changes, complete=True, era=page_era)
            start = page.changes[-1].key + "\0"
        raise StoreUnavailableError(f"table {table} has too many pages")

    async def wait_for_changes(
        self, table: str, after_version: int, wait_s: float, timeout_s: float
    ) -> TablePage:
        """Return the changes after a version; a long poll.

        Args:
            table: Name of the table.
            after_version: Version to resume from.
            wait_s: How long the store waits for a change, in seconds.
            timeout_s: Timeout of the whole call, in seconds.

        Raises:
            HistoryLostError: The whole table must be read again.
            StoreUnavailableError: No usable answer came in time.
        """
        query = {"table": table, "after": after_version, "waitMs": int(wait_s * 1000.0)}
        document, era = await self._get("/rows-feed", query, timeout_s)
        return _decode_page(document, complete=False, era=era)

    async def write_row(
        self,
        table: str,
        key: str,
        value: bytes,
        timeout_s: float,
        expected_version: int | None = None,
    ) -> None:
        """Write one row.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: Content.
            timeout_s: Timeout, in seconds.
            expected_version: Version that the row must have, 0 if it must be absent,
                None for any.

        Raises:
            ConflictError: The row has another version than expected; nothing was
                written.
            StoreUnavailableError: Nothing was written.
            StoreUncertainError: The row may have been written.
        """
        row = {"table": table, "part": "", "key": key}
        document = {
            "precondition": []
            if expected_version is None
            else [{**row, "ver": expected_version}],
            "writes": [{**row, "value": base64.b64encode(value).decode("ascii")}],
            "deletes": [],
        }
        await self._transact(document, timeout_s)

    async def delete_row(self, table: str, key: str, timeout_s: float) -> None:
        """Delete one row; it is no error if it is missing.

        Raises:
            StoreUnavailableError: Nothing was written.
            StoreUncertainError: The row may have been written.
        """
        row = {"table": table, "part": "", "key": key}
        document = {"precondition": [], "writes": [], "deletes": [row]}
        await self._transact(document, timeout_s)

    async def _transact(self, document: Mapping[str, Any], timeout_s: float) -> None:
        body = json.dumps(document).encode("ascii")
        try:
            answer = await self._send("POST", "/rows-tx", body, timeout_s)
        except NotSentError as exc:
            raise StoreUnavailableError(f"/rows-tx: {exc}") from exc
        except ExchangeLostError as exc:
            raise StoreUncertainError(f"/rows-tx: {exc}") from exc
        if answer.status == 412:
            raise ConflictError("/rows-tx: a row has another version than expected")
        if answer.status in (429, 503):
            raise StoreUnavailableError(f"/rows-tx: status {answer.status}")
        if answer.status != 200:
            raise StoreUncertainError(f"/rows-tx: status {answer.status}")

    async def _get(
        self, path: str, query: Mapping[str, object], timeout_s: float
    ) -> tuple[dict[str, Any], int]:
        """Return the document of an answer, and its era."""
        target = f"{path}?{urlencode(query)}"
        try:
            answer = await self._send("GET", target, b"", timeout_s)
        except (NotSentError, ExchangeLostError) as exc:
            raise StoreUnavailableError(f"{path}: {exc}") from exc
        era = self._read_era(path, answer)
        if answer.status == 410:
            raise HistoryLostError(f"{path}: the history is no longer available")
        if answer.status != 200:
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        try:
            document = json.loads(answer.body)
        except (ValueError, RecursionError) as exc:
            raise StoreUnavailableError(f"{path}: answer is not valid JSON") from exc
        if not isinstance(document, dict):
            raise StoreUnavailableError(f"{path}: answer is not a JSON object")
        return document, era

    def _read_era(self, path: str, answer: HttpAnswer) -> int:
        """Return the era of an answer; the latest known one if it names none.

        Raises:
            StoreUnavailableError: The value is not valid.
        """
        values = [value for name, value in answer.headers if name == STORE_ERA_HEADER]
        if not values:
            return self.era
        text = values[0].strip()
        if len(values) > 1 or not text.isdigit() or len(text) > MAX_ERA_DIGITS:
            raise StoreUnavailableError(f"{path}: invalid era {text[:40]!r}")
        era = int(text)
        self.era = max(self.era, era)
        return era

    async def _send(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> HttpAnswer:
        self.call_count += 1
        address, port = self.address
        return await self._client.request(
            address,
            port,
            method,
            path,
            _JSON_HEADERS if body else (),
            body,
            timeout_s=timeout_s,
            limit_bytes=MAX_ROWS_ANSWER_BYTES,
        )


def _decode_page(document: Mapping[str, Any], *, complete: bool, era: int) -> TablePage:
    version = document.get("ver")
    rows = document.get("rows")
    if type(version) is not int or not isinstance(rows, list):
        raise StoreUnavailableError("malformed page: no version or no list of rows")
    changes = []
    for row in rows:
        change = _decode_row(row, version)
        if change.key.isprintable():
            changes.append(change)
        else:
            # It could be neither logged nor sent to a neighbour.
            log_event("store_row_ignored", Level.WARNING, key=ascii(change.key))
    return TablePage(version, changes, complete=complete, era=era)


def _decode_row(row: Any, page_version: int) -> RowChange:
    if not isinstance(row, dict) or not isinstance(row.get("key"), str):
        raise StoreUnavailableError("malformed row: no key")
    version = row.get("ver")
    if type(version) is not int:
        version = page_version
    if row.get("removed"):
        return RowChange(row["key"], None, version)
    try:
        value = base64.b64decode(row.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError) as exc:
        raise StoreUnavailableError(f"row {row['key']!r}: value is not base64") from exc
    return RowChange(row["key"], value, version)
