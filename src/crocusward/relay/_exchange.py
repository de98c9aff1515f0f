"""One exchange with a backend server."""

from collections.abc import Callable
from enum import Enum

from ..errors import ExchangeLostError, NotSentError
from ..model import Record
from ..neighbours import BackendObservation, ObservationKind
from ..placing import BackendLoad
from ..platform import (
    BACKEND_ID,
    BACKEND_LOAD,
    BODY_DIGEST,
    COLD_LEFT,
    EXPECTED_BACKEND,
    NOT_RUN,
    REQUEST_ID,
    TIME_LEFT,
)
from ..upstream import HOP_BY_HOP_NAMES, HttpAnswer, HttpPool, select_end_to_end_headers
from ._messages import CallerAnswer, CallerRequest, Headers

ANSWER_BYTES = 16 << 20  # an answer is kept whole until it is known to be whole
# Statuses that promise that a request has not run; only valid with the server's mark.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED = 421
MS_PER_S = 1000.0
USUAL_PACE = 100.0  # the server's figure for work at the usual speed
_DROPPED_OF_CALLER = HOP_BY_HOP_NAMES | {
    b"content-length",
    TIME_LEFT,
    EXPECTED_BACKEND,
}
_DROPPED_OF_BACKEND = HOP_BY_HOP_NAMES | {
    b"content-length",
    BACKEND_LOAD,
    COLD_LEFT,
    NOT_RUN,
}


class ExchangeEnd(Enum):
    """What is known of the request after an exchange."""

    ANSWERED = "answered"  # the server ran it and its whole answer is here
    NOT_RUN = "not_run"  # it certainly did not run there and never will
    UNKNOWN = "unknown"  # it may have run


class Exchange(Record):
    """The end of an exchange.

    Attributes:
        end: What is known of the request.
        seen: What was learned of the server.
        answer: The server's answer, if there is one to pass on.
        reason: Short name of what happened, for logs.
    """

    __slots__ = ("end", "seen", "answer", "reason")

    def __init__(
        self,
        end: ExchangeEnd,
        seen: BackendObservation,
        answer: CallerAnswer | None = None,
        reason: str = "",
    ) -> None:
        self.end = end
        self.seen = seen
        self.answer = answer
        self.reason = reason

    @property
    def is_good(self) -> bool:
        """Return True if the answer is no failure of the server."""
        return self.answer is not None and self.answer.status < 500


class BackendLink:
    """Sends requests to backend servers, each once.

    Args:
        pool: Connections to backend servers.
    """

    __slots__ = ("_pool", "idle_limit_s")

    def __init__(self, pool: HttpPool) -> None:
        self._pool = pool
        self.idle_limit_s: dict[str, float] = {}

    def idle_connections(self, load: BackendLoad) -> int:
        """Return the number of unused connections to a server."""
        return self._pool.count_idle(*load.entry.address)

    def drop(self, load: BackendLoad) -> None:
        """Close the unused connections to a server that is gone."""
        self._pool.close_idle(*load.entry.address)

    async def send(
        self,
        load: BackendLoad,
        req: CallerRequest,
        time_left_s: float,
        *,
        before_write: Callable[[], None],
    ) -> Exchange:
        """Send a request once and wait for the answer.

        Args:
            load: The server.
            req: The request.
            time_left_s: Time that the server gets, in seconds.
            before_write: Called immediately before the first byte is written; raises
                NotSentError to withdraw the request.
        """
        entry = load.entry
        headers = select_end_to_end_headers(req.headers, _DROPPED_OF_CALLER)
        headers.append((TIME_LEFT, b"%d" % max(1, int(time_left_s * MS_PER_S))))
        headers.append((EXPECTED_BACKEND, entry.id.encode("ascii", "replace")))
        try:
            answer = await self._pool.request(
                *entry.address,
                req.method,
                req.target,
                headers,
                req.body,
                timeout_s=time_left_s,
                limit_bytes=ANSWER_BYTES,
                before_write=before_write,
                matches_request=lambda _, found: _is_own(found, req.id),
                allow_close_delimited=True,
                max_idle_s=self.idle_limit_s.get(entry.service),
                host=req.host.encode("ascii"),
            )
        except NotSentError as exc:
            return _not_sent(entry.id, exc)
        except ExchangeLostError as exc:
            self._learn_idle_limit(entry.service, exc)
            is_silent = "in time" in str(exc)
            kind = ObservationKind.SILENT if is_silent else ObservationKind.FAILED
            return Exchange(
                ExchangeEnd.UNKNOWN, BackendObservation(entry.id, kind), reason=str(exc)
            )
        return _read(entry.id, answer, req)

    async def probe(
        self, load: BackendLoad, path: str, timeout_s: float
    ) -> BackendObservation | None:
        """Ask a server for its load; None if no answer of that server came."""
        address, port = load.entry.address
        try:
            answer = await self._pool.request(
                address, port, "GET", path, timeout_s=timeout_s, limit_bytes=4096
            )
        except (NotSentError, ExchangeLostError):
            return None
        finally:
            load.idle_connections = self.idle_connections(load)
        seen = BackendObservation(load.entry.id, ObservationKind.REFUSED)
        for name, value in answer.headers:
            if name == BACKEND_LOAD:
                _read_load(value, seen)
            elif name == COLD_LEFT and value.isdigit():
                seen.cold_left_s = int(value) / MS_PER_S
            elif name == BACKEND_ID and value.decode("latin-1") != load.entry.id:
                return None
        return seen

    def _learn_idle_limit(self, service: str, exc: ExchangeLostError) -> None:
        """Reuse connections of a service for less time after one proved dead."""
        if exc.reused and "broke" in str(exc) and exc.idle_s > 0.0:
            known_s = self.idle_limit_s.get(service, exc.idle_s)
            self.idle_limit_s[service] = min(known_s, exc.idle_s) * 0.5


def _not_sent(id: str, exc: NotSentError) -> Exchange:
    if exc.code in ("refused", "connect_timeout"):
        seen = BackendObservation(id, ObservationKind.UNREACHABLE)
    else:
        seen = BackendObservation(id, ObservationKind.REFUSED)
    return Exchange(ExchangeEnd.NOT_RUN, seen, reason=exc.code)


def _is_own(headers: Headers, id: bytes) -> bool:
    for name, value in headers:
        if name == REQUEST_ID:
            return value == id
    # A server that cannot read a request answers without its id.
    return True


def _read(id: str, answer: HttpAnswer, req: CallerRequest) -> Exchange:
    seen = BackendObservation(id, ObservationKind.ANSWERED)
    marked = has_digest = False
    for name, value in answer.headers:
        if name == BACKEND_LOAD:
            _read_load(value, seen)
        elif name == COLD_LEFT and value.isdigit():
            seen.cold_left_s = int(value) / MS_PER_S
        elif name == NOT_RUN:
            marked = True
        elif name == BODY_DIGEST:
            has_digest = True
    status = answer.status
    if status == MISDIRECTED:
        seen.kind = ObservationKind.MISDIRECTED
        return Exchange(ExchangeEnd.NOT_RUN, seen, reason="misdirected")
    if marked and status >= 400:
        seen.kind = ObservationKind.REFUSED
        return Exchange(ExchangeEnd.NOT_RUN, seen, reason=f"refused with {status}")
    if status in NOT_RUN_STATUSES:
        # Without the mark the server promises nothing, and neither may this host.
        seen.kind = ObservationKind.FAILED
        reason = f"status {status} without a mark"
        return Exchange(ExchangeEnd.UNKNOWN, seen, reason=reason)
    if 200 <= status < 300 and not has_digest:
        seen.kind = ObservationKind.FAILED
        return Exchange(ExchangeEnd.UNKNOWN, seen, reason="answer without digest")
    if status >= 500:
        seen.kind = ObservationKind.FAILED
    return Exchange(
        ExchangeEnd.ANSWERED, seen, _to_caller(answer, req), f"status {status}"
    )


def _to_caller(answer: HttpAnswer, req: CallerRequest) -> CallerAnswer:
    own_length = None
    if req.method == "HEAD":
        lengths = [v for name, v in answer.headers if name == b"content-length"]
        own_length = lengths[0] if lengths else None
    headers = select_end_to_end_headers(answer.headers, _DROPPED_OF_BACKEND)
    return CallerAnswer(answer.status, headers, answer.body, own_length=own_length)


def _read_load(value: bytes, seen: BackendObservation) -> None:
    """Read running, waiting, slots and, if present, the pace of the machine."""
    parts = value.split(b",")
    if len(parts) < 3 or not all(part.strip().isdigit() for part in parts):
        return
    seen.running = int(parts[0])
    seen.waiting = int(parts[1])
    if len(parts) > 3:
        seen.slowdown = int(parts[3]) / USUAL_PACE
