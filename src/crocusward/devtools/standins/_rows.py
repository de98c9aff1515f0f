"""Stand-in for the platform's rows: reads, changes, transactions, restored copies."""

import asyncio
import base64
import json
from collections import deque
from typing import Any

from ._http import Connection, StandinRequest
from ._store import StoreStandin

MAX_HISTORY = 5000


class RowsCopy:
    """A backup of the rows as of one version."""

    __slots__ = ("version", "rows")

    def __init__(
        self, version: int, rows: dict[tuple[str, str], tuple[bytes, int]]
    ) -> None:
        self.version = version
        self.rows = rows


class RowsStandin(StoreStandin):
    """Keeps rows with versions from one counter.

    Attributes:
        version: Version of the last transaction.
        era: Number of the history, which rises with each restored copy; None if the
            store names none.
        refused: IP addresses that get 503, as if they were turned away.
    """

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(address, port)
        self.version = 0
        self.era: int | None = None
        self.refused: set[str] = set()
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._history: deque[tuple[str, str, bytes | None, int]] = deque(
            maxlen=MAX_HISTORY
        )
        self._forgotten = 0
        self._waiting: list[tuple[Connection, str, int]] = []

    # Use by tests.

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row and return its version."""
        return self._apply([(table, key, value)])

    def drop(self, table: str, key: str) -> int:
        """Remove a row and return the version."""
        return self._apply([(table, key, None)])

    def put_json(self, table: str, key: str, document: object) -> int:
        """Write a row with a JSON document."""
        return self.put(table, key, json.dumps(document).encode())

    def forget_history(self) -> None:
        """Drop the history; followers must read their tables anew."""
        self._forgotten = self.version
        self._history.clear()
        for conn, _, _ in self._waiting:
            conn.abort()
        self._waiting.clear()

    def copy(self) -> RowsCopy:
        """Return a backup of all rows."""
        return RowsCopy(self.version, dict(self._rows))

    def restore(self, copy: RowsCopy) -> None:
        """Go back to a backup; the versions since then are given out again."""
        self.forget_history()
        self._rows = dict(copy.rows)
        self.version = self._forgotten = copy.version
        if self.era is not None:
            self.era += 1

    def rows(self, table: str) -> dict[str, bytes]:
        """Return the rows of a table."""
        return {key: row[0] for (name, key), row in self._rows.items() if name == table}

    def _apply(self, writes: list[tuple[str, str, bytes | None]]) -> int:
        self.version += 1
        for table, key, value in writes:
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[(table, key)] = (value, self.version)
            self._history.append((table, key, value, self.version))
        self._wake()
        return self.version

    # HTTP.

    def serve(self, conn: Connection, req: StandinRequest) -> None:
        """Answer a request."""
        peer = conn.transport.get_extra_info("peername") if conn.transport else None
        if peer and peer[0] in self.refused:
            self._refuse(conn, 503)
        elif req.path == "/rows-get":
            self._get(conn, req)
        elif req.path == "/rows-feed":
            self._feed(conn, req)
        elif req.path == "/rows-tx":
            self._transact(conn, req)
        else:
            self._refuse(conn, 404)

    def _era_header(self) -> bytes:
        return b"Store-Era: %d\r\n" % self.era if self.era is not None else b""

    def _refuse(self, conn: Connection, status: int) -> None:
        conn.respond(status, b"{}", self._era_header())

    def _get(self, conn: Connection, req: StandinRequest) -> None:
        table = req.argument("table")
        rows = [
            _encode(table, key, row[0], row[1])
            for (name, key), row in sorted(self._rows.items())
            if name == table and key >= req.argument("from")
        ]
        limit = int(req.argument("limit", "500"))
        self._answer(conn, {"rows": rows[:limit], "hasMore": len(rows) > limit})

    def _feed(self, conn: Connection, req: StandinRequest) -> None:
        table = req.argument("table")
        after = int(req.argument("after", "0"))
        if after < self._forgotten or after > self.version:
            self._refuse(conn, 410)
            return
        rows = self._changes(table, after)
        wait_s = int(req.argument("waitMs", "0")) / 1000.0
        if rows or wait_s <= 0.0:
            self._answer(conn, {"rows": rows})
            return
        entry = (conn, table, after)
        self._waiting.append(entry)
        asyncio.get_running_loop().call_later(wait_s, self._end_wait, entry)

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        newest = {
            key: _encode(table, key, value, version)
            for name, key, value, version in self._history
            if name == table and version > after
        }
        return sorted(newest.values(), key=lambda row: row["ver"])

    def _end_wait(self, entry: tuple[Connection, str, int]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            self._answer(entry[0], {"rows": []})

    def _wake(self) -> None:
        for entry in list(self._waiting):
            conn, table, after = entry
            rows = self._changes(table, after)
            if rows:
                self._waiting.remove(entry)
                self._answer(conn, {"rows": rows})

    def _transact(self, conn: Connection, req: StandinRequest) -> None:
        document = json.loads(req.body)
        for row in document["precondition"]:
            found = self._rows.get((row["table"], row["key"]))
            if (found[1] if found else 0) != row["ver"]:
                self._refuse(conn, 412)
                return
        writes: list[tuple[str, str, bytes | None]] = [
            (row["table"], row["key"], base64.b64decode(row["value"]))
            for row in document["writes"]
        ]
        writes += [(row["table"], row["key"], None) for row in document["deletes"]]
        self._apply(writes)
        body = json.dumps({"ver": self.version}).encode()
        self.answer_write(conn, 200, body, self._era_header())

    def _answer(self, conn: Connection, document: dict[str, Any]) -> None:
        body = json.dumps({**document, "ver": self.version}).encode()
        conn.respond(200, body, self._era_header())


def _encode(table: str, key: str, value: bytes | None, version: int) -> dict[str, Any]:
    row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        row["removed"] = True
    else:
        row["value"] = base64.b64encode(value).decode("ascii")
    return row
