"""Stand-in for the platform's table service."""

from bisect import bisect_left, bisect_right, insort

import cbor2

from ...platform import ABSENT_REVISION, ANY_REVISION
from ._http import Connection, StandinRequest
from ._store import StoreStandin

MAX_WRITES = 256  # in one transaction
MAX_SCAN_ROWS = 1000


class StoredRow:
    """Content and revision of one row."""

    __slots__ = ("value", "revision")

    def __init__(self, value: bytes, revision: int) -> None:
        self.value = value
        self.revision = revision


class TableStandin(StoreStandin):
    """Rows in memory, with transactions conditional on revisions."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(address, port)
        self.rows: dict[str, StoredRow] = {}
        self._keys: list[str] = []

    def serve(self, conn: Connection, req: StandinRequest) -> None:
        """Answer a read, a scan or a transaction."""
        try:
            document = cbor2.loads(req.body)
            self._serve_document(conn, req.path, document)
        except (cbor2.CBORError, KeyError, TypeError, ValueError):
            conn.respond(400)

    def _serve_document(self, conn: Connection, path: str, document: dict) -> None:
        if path == "/v1/read":
            conn.respond(200, cbor2.dumps({"row": self._encode(document["key"])}))
        elif path == "/v1/scan":
            rows = self._scan(document["prefix"], document["after"], document["limit"])
            conn.respond(200, cbor2.dumps({"rows": rows}))
        elif path == "/v1/transact":
            self._transact(conn, document["writes"])
        else:
            conn.respond(404)

    def _encode(self, key: str) -> list | None:
        row = self.rows.get(key)
        return None if row is None else [key, row.value, row.revision]

    def _scan(self, prefix: str, after: str, limit: int) -> list:
        if prefix > after:
            first = bisect_left(self._keys, prefix)
        else:
            first = bisect_right(self._keys, after)
        found: list = []
        for key in self._keys[first:]:
            if not key.startswith(prefix) or len(found) >= min(limit, MAX_SCAN_ROWS):
                break
            found.append(self._encode(key))
        return found

    def _transact(self, conn: Connection, writes: list) -> None:
        if len(writes) > MAX_WRITES:
            conn.respond(400)
            return
        for key, _value, expect in writes:
            if not self._matches(key, expect):
                conn.respond(409, cbor2.dumps({"key": key}))
                return
        for key, value, _expect in writes:
            self._write(key, value)
        self.answer_write(conn, 200, cbor2.dumps({"ok": True}))

    def _matches(self, key: str, expect: int) -> bool:
        if expect == ANY_REVISION:
            return True
        row = self.rows.get(key)
        found = ABSENT_REVISION if row is None else row.revision
        return found == expect

    def _write(self, key: str, value: bytes | None) -> None:
        row = self.rows.get(key)
        if value is None:
            self._delete(key)
        elif row is None:
            self.rows[key] = StoredRow(value, 1)
            insort(self._keys, key)
        else:
            row.value = value
            row.revision += 1

    def _delete(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            self._keys.pop(bisect_right(self._keys, key) - 1)
