"""Header names and the separation of end-to-end from hop-by-hop headers."""

from collections.abc import Collection, Sequence

from ..model import Record

HOP_BY_HOP_NAMES = frozenset(
    {
        b"connection",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class HeaderNames(Record):
    """Names of the headers exchanged with backend servers, in lower case.

    Attributes:
        deadline: Time left for the request, in milliseconds.
        depth: How many calls are above this one.
        request_id: Id of the request, echoed in the answer.
        load: Requests in flight that a backend server reports.
        boot: Boot id of a backend server.
        shed: Set to 1 with status 503 on a request refused before it ran.
        draining: Set to 1 by a backend server that is leaving.
    """

    __slots__ = ("deadline", "depth", "request_id", "load", "boot", "shed", "draining")

    def __init__(
        self,
        *,
        deadline: str = "crocusward-deadline-ms",
        depth: str = "crocusward-depth",
        request_id: str = "x-request-id",
        load: str = "x-backend-load",
        boot: str = "x-backend-boot",
        shed: str = "x-backend-shed",
        draining: str = "x-backend-draining",
    ) -> None:
        self.deadline = deadline.lower().encode("ascii")
        self.depth = depth.lower().encode("ascii")
        self.request_id = request_id.lower().encode("ascii")
        self.load = load.lower().encode("ascii")
        self.boot = boot.lower().encode("ascii")
        self.shed = shed.lower().encode("ascii")
        self.draining = draining.lower().encode("ascii")


def select_end_to_end_headers(
    headers: Sequence[tuple[bytes, bytes]], drop: Collection[bytes]
) -> list[tuple[bytes, bytes]]:
    """Return the headers without those in ``drop`` and those of one connection.

    Args:
        headers: Headers with names in lower case.
        drop: Names to leave out, a superset of ``HOP_BY_HOP_NAMES``.
    """
    kept = [header for header in headers if header[0] not in drop]
    if len(kept) != len(headers):
        named = _names_in_connection(headers)
        if named:
            kept = [header for header in kept if header[0] not in named]
    return kept


def _names_in_connection(headers: Sequence[tuple[bytes, bytes]]) -> set[bytes]:
    tokens: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            tokens.update(token.strip().lower() for token in value.split(b","))
    return tokens - {b"close", b"keep-alive"}
