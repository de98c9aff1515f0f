"""Stand-in for the platform's object store."""

from ._http import Connection, StandinRequest
from ._store import StoreStandin

PREFIX = "/v1/objects/"
LIST_PATH = "/v1/objects"


class ObjectsStandin(StoreStandin):
    """Objects in memory."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(address, port)
        self.objects: dict[str, bytes] = {}

    def serve(self, conn: Connection, req: StandinRequest) -> None:
        """Answer a put, a get or a list."""
        if req.path == LIST_PATH:
            self._list(conn, req.argument("prefix"))
        elif not req.path.startswith(PREFIX):
            conn.respond(404)
        elif req.method == "PUT":
            self.objects[req.path.removeprefix(PREFIX)] = req.body
            self.answer_write(conn, 200)
        else:
            self._get(conn, req.path.removeprefix(PREFIX))

    def _list(self, conn: Connection, prefix: str) -> None:
        names = sorted(name for name in self.objects if name.startswith(prefix))
        conn.respond_json({"names": names})

    def _get(self, conn: Connection, name: str) -> None:
        data = self.objects.get(name)
        if data is None:
            conn.respond(404)
        else:
            conn.respond(200, data)
