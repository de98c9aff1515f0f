"""Client for requests and load probes to backend servers."""

import json

from ..errors import ExchangeLostError, NotSentError
from ..invariants import InvariantName, Invariants
from ..model import Backend, BackendAnswer
from ._connection import AnswerMatch, ConnectionHistory, Headers, HttpAnswer
from ._encode import INVALID_REQUEST
from ._headers import (
    HOP_BY_HOP_NAMES,
    HeaderNames,
    find_values,
    parse_rate_limit,
    select_end_to_end_headers,
)
from ._interface import UpstreamRequest
from ._pool import HttpPool

PROBE_PATH = "/-/load"
MAX_PROBE_BYTES = 4096  # a load report has three short fields
MAX_BOOT_CHARS = 64
MAX_LOAD_DIGITS = 6  # ample: a backend server runs two requests at a time
_OK = 200
_NOT_MODIFIED = 304
_UNAVAILABLE = 503


class HttpUpstream:
    """Sends each request to a backend server at most once.

    Args:
        pool: Connection pool for the backend servers.
        invariants: Records the check that an answer belongs to its request.
        names: Header names of the platform; defaults to ``HeaderNames()``.

    Attributes:
        mismatched_answers: Answers dropped because they named another request.
    """

    __slots__ = (
        "mismatched_answers",
        "_pool",
        "_invariants",
        "_names",
        "_dropped_request_headers",
        "_dropped_answer_headers",
    )

    def __init__(
        self, pool: HttpPool, invariants: Invariants, names: HeaderNames | None = None
    ) -> None:
        self.mismatched_answers = 0
        self._pool = pool
        self._invariants = invariants
        self._names = names = names or HeaderNames()
        self._dropped_request_headers = HOP_BY_HOP_NAMES | {
            b"content-length",
            names.deadline,
            names.depth,
            names.request_id,
        }
        self._dropped_answer_headers = HOP_BY_HOP_NAMES | {
            b"content-length",
            names.request_id,
            names.load,
            names.boot,
            names.shed,
            names.draining,
            names.rate_limit,
        }

    def set_max_connections(self, connections: int) -> None:
        """Set the default number of connections from this host to a backend server."""
        self._pool.connections = connections

    def set_max_backend_connections(self, backend: Backend, connections: int) -> None:
        """Set the number of connections from this host to one backend server."""
        self._pool.limit_connections(backend.address, backend.port, connections)

    async def exchange(self, backend: Backend, req: UpstreamRequest) -> BackendAnswer:
        """Send a request once and return its complete answer.

        Raises:
            NotSentError: No byte was written.
            ExchangeLostError: Bytes were written, but no complete answer arrived in
                time or the answer names another request.
        """
        request_id = _encode_request_id(req.request_id)
        names = self._names
        headers = select_end_to_end_headers(req.headers, self._dropped_request_headers)
        headers.append((names.request_id, request_id))
        headers.append((names.depth, b"%d" % req.depth))
        headers.append((names.deadline, b"%d" % max(1, int(req.timeout_s * 1000.0))))
        answer = await self._pool.request(
            backend.address,
            backend.port,
            req.method,
            req.path,
            headers,
            req.body,
            timeout_s=req.timeout_s,
            limit_bytes=req.answer_bytes,
            check=lambda answer: self._check_request_id(answer, request_id),
            matches_request=self._match_answer,
            may_reuse=lambda answer: not self._is_shed(answer),
            before_write=req.before_write,
        )
        return self._build_backend_answer(answer, req)

    async def probe(self, backend: Backend, timeout_s: float) -> BackendAnswer:
        """Request the load report of a backend server.

        A probe costs the backend server some milliseconds.

        Returns:
            An answer with the status, load, boot id and draining flag.

        Raises:
            NotSentError: No byte was written.
            ExchangeLostError: No complete and well-formed answer arrived in time.
        """
        answer = await self._pool.request(
            backend.address,
            backend.port,
            "GET",
            PROBE_PATH,
            timeout_s=timeout_s,
            limit_bytes=MAX_PROBE_BYTES,
            matches_request=self._match_probe_answer,
            may_reuse=lambda answer: answer.status == _OK,
        )
        result = BackendAnswer(answer.status, [], b"")
        if answer.status == _OK:
            result = _parse_probe(answer)
        self._read_rate_limit(answer, result)
        return result

    def _match_answer(
        self, headers: Headers, history: ConnectionHistory
    ) -> AnswerMatch:
        """Return whether an answer names a request; the check compares which.

        Servers need not name requests, but one that does so names them all.
        """
        if self._find_request_ids(headers):
            return AnswerMatch.OWN
        return AnswerMatch.OTHER if history.has_named_answer else AnswerMatch.UNNAMED

    def _match_probe_answer(
        self, headers: Headers, history: ConnectionHistory
    ) -> AnswerMatch:
        """Return whether an answer may be that to a probe, which has no id."""
        is_named = bool(self._find_request_ids(headers))
        return AnswerMatch.OTHER if is_named else AnswerMatch.UNNAMED

    def _check_request_id(self, answer: HttpAnswer, request_id: bytes) -> None:
        if self._find_request_ids(answer.headers) - {request_id}:
            self.mismatched_answers += 1
            raise ExchangeLostError(
                "the answer names another request", code="foreign_answer"
            )

    def _is_shed(self, answer: HttpAnswer) -> bool:
        """Return whether an answer says that the server did not run the request.

        Its connection is not reused: a second copy could be taken for the answer to a
        later request, even by its id, since callers may use an id again.
        """
        values = find_values(answer.headers, self._names.shed)
        return answer.status == _UNAVAILABLE and values == {b"1"}

    def _find_request_ids(self, headers: Headers) -> set[bytes]:
        """Return the requests that an answer names; an empty id names none."""
        return find_values(headers, self._names.request_id) - {b""}

    def _build_backend_answer(
        self, answer: HttpAnswer, req: UpstreamRequest
    ) -> BackendAnswer:
        headers = select_end_to_end_headers(
            answer.headers, self._dropped_answer_headers
        )
        if req.method == "HEAD" or answer.status == _NOT_MODIFIED:
            # Such an answer has no body; the header states the length for GET.
            headers += [h for h in answer.headers if h[0] == b"content-length"]
        result = BackendAnswer(answer.status, headers, answer.body)
        self._parse_backend_headers(answer, result)
        self._read_rate_limit(answer, result)
        self._invariants.check(
            InvariantName.OWN_ANSWER,
            result.request_id in ("", req.request_id),
            "an answer from a backend server names another request",
        )
        return result

    def _parse_backend_headers(self, answer: HttpAnswer, result: BackendAnswer) -> None:
        names = self._names
        result.shed = self._is_shed(answer)
        for name, value in answer.headers:
            if name == names.request_id and value:
                result.request_id = value.decode("latin-1")
            elif name == names.load:
                result.load = _parse_load(value)
            elif name == names.boot:
                result.boot = value[:MAX_BOOT_CHARS].decode("latin-1")
            elif name == names.draining:
                result.draining = value == b"1"

    def _read_rate_limit(self, answer: HttpAnswer, result: BackendAnswer) -> None:
        name = self._names.rate_limit
        values = [header[1] for header in answer.headers if header[0] == name]
        if not values:
            result.rate_limit_per_s = 0.0
            return
        try:
            result.rate_limit_per_s = parse_rate_limit(values)
        except ValueError as exc:
            result.rate_limit_error = str(exc)


def _encode_request_id(request_id: str) -> bytes:
    try:
        return request_id.encode("ascii")
    except UnicodeEncodeError as exc:
        raise NotSentError("the request id is not ASCII", code=INVALID_REQUEST) from exc


def _parse_load(value: bytes) -> int:
    if value.isdigit() and len(value) <= MAX_LOAD_DIGITS:
        return int(value)
    return -1


def _parse_probe(answer: HttpAnswer) -> BackendAnswer:
    try:
        fields = json.loads(answer.body)
        load = int(fields["in_flight"])
        boot = str(fields["boot"])[:MAX_BOOT_CHARS]
        draining = bool(fields["draining"])
    except (ValueError, KeyError, TypeError, RecursionError, OverflowError) as exc:
        raise ExchangeLostError(
            "the load report is malformed", code="malformed_probe"
        ) from exc
    return BackendAnswer(
        answer.status, [], b"", load=max(-1, load), boot=boot, draining=draining
    )
