"""Client of backend servers: sends requests and interprets the answers."""

from collections.abc import Callable
from enum import Enum

from ..errors import ExchangeLostError, NotSentError
from ..model import Record
from ..neighbours import BackendObservation, ObservationKind
from ..placing import NO_LIMIT, BackendLoad
from ..platform import (
    BACKEND_ID_HEADER,
    BACKEND_LOAD_HEADER,
    BODY_DIGEST_HEADER,
    COLD_LEFT_MS_HEADER,
    DEADLINE_MS_HEADER,
    EXPECTED_BACKEND_HEADER,
    LEAVING_HEADER,
    NOT_RUN,
    RATE_LIMIT_HEADER,
    REQUEST_ID_HEADER,
)
from ..timing import boot_time_s
from ..upstream import (
    CUT,
    HOP_BY_HOP_NAMES,
    LATE,
    SILENT,
    AnswerMatch,
    ConnectionHistory,
    HttpAnswer,
    HttpPool,
    find_values,
    parse_digits,
    parse_rate_limit,
    parse_retry_after,
    select_end_to_end_headers,
)
from ._evidence import Evidence, classify_answer
from ._messages import CallerAnswer, CallerRequest, Headers

MAX_ANSWER_BYTES = 16 << 20  # answers are buffered until they are known to be complete
MAX_PROBE_BYTES = 4096
MISDIRECTED_STATUS = 421
DENIED_MARKS = frozenset({b"0", b"false"})  # values of a not-run header that denies it
UNAVAILABLE_STATUS = 503
RETRY_AFTER_HEADER = b"retry-after"
LEAVING_VALUE = b"1"
MS_PER_S = 1000.0
UNLOADED_SLOWDOWN_PERCENT = 100.0  # load reports give the slowdown in percent
# What each kind of refusal says of the server, and the reason to log.
_REFUSALS = {
    Evidence.OWN_REFUSAL: (ObservationKind.REFUSED, "refused with"),
    Evidence.UNNAMED_REFUSAL: (ObservationKind.REFUSED, "unnamed refusal with"),
    Evidence.UNMARKED_REFUSAL: (ObservationKind.FAILED, "unmarked refusal with"),
}
_REMOVED_REQUEST_HEADERS = HOP_BY_HOP_NAMES | {
    b"content-length",
    DEADLINE_MS_HEADER,
    EXPECTED_BACKEND_HEADER,
}
_REMOVED_ANSWER_HEADERS = HOP_BY_HOP_NAMES | {
    b"content-length",
    BACKEND_LOAD_HEADER,
    COLD_LEFT_MS_HEADER,
    LEAVING_HEADER,
    NOT_RUN,
}


class ExchangeEnd(Enum):
    """Whether the request has run, as far as known after an exchange."""

    ANSWERED = "answered"  # it has run, and the whole answer was received
    NOT_RUN = "not_run"  # it has not run at that server and never will
    UNKNOWN = "unknown"  # it may have run


class Exchange(Record):
    """The result of one attempt at a backend server.

    Attributes:
        end: Whether the request has run.
        observation: What was observed of the server.
        answer: The answer to pass on, or None.
        reason: Short description for logs and metrics.
        is_cut: Whether the connection ended before a complete answer.
        is_silent: Whether the time was over before a complete answer.
        is_close_delimited: Whether the body of the answer ended with the connection.
        evidence: What the end rests on.
        exchange_number: Number of the exchange on its connection, 0 if not written.
        skipped_answers: Number of answers to other requests that were skipped.
        send_number: Number of the send within its request, from 1.
        is_logged: Whether the end was logged.
    """

    __slots__ = (
        "end",
        "observation",
        "answer",
        "reason",
        "is_cut",
        "is_silent",
        "is_close_delimited",
        "evidence",
        "exchange_number",
        "skipped_answers",
        "send_number",
        "is_logged",
    )

    def __init__(
        self,
        end: ExchangeEnd,
        observation: BackendObservation,
        answer: CallerAnswer | None = None,
        reason: str = "",
        is_cut: bool = False,
        evidence: Evidence = Evidence.NO_ANSWER,
    ) -> None:
        self.end = end
        self.observation = observation
        self.answer = answer
        self.reason = reason
        self.is_cut = is_cut
        self.is_silent = False
        self.is_close_delimited = False
        self.evidence = evidence
        self.exchange_number = 0
        self.skipped_answers = 0
        self.send_number = 0
        self.is_logged = False

    @property
    def has_usable_answer(self) -> bool:
        """Whether there is an answer that is no server error (5xx)."""
        return self.answer is not None and self.answer.status < 500


def make_cut(answered: Exchange) -> Exchange:
    """Return the end of an exchange whose answer a crash of the server cut short."""
    backend = answered.observation.backend
    cut = Exchange(
        ExchangeEnd.UNKNOWN,
        BackendObservation(backend, ObservationKind.FAILED),
        reason="the server crashed before the end of its answer was known",
        is_cut=True,
    )
    cut.exchange_number = answered.exchange_number
    cut.skipped_answers = answered.skipped_answers
    return cut


class BackendClient:
    """Sends requests to backend servers, each once, without retries.

    Args:
        pool: Connections to backend servers.

    Attributes:
        idle_limit_s: Maximum idle time of a reused connection, by service.
    """

    __slots__ = ("_pool", "idle_limit_s")

    def __init__(self, pool: HttpPool) -> None:
        self._pool = pool
        self.idle_limit_s: dict[str, float] = {}

    def idle_connections(self, load: BackendLoad) -> int:
        """Return the number of idle connections to a server."""
        return self._pool.count_idle(*load.entry.address)

    def drop_idle_connections(self, load: BackendLoad) -> None:
        """Close the idle connections to a server that has been removed."""
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
            time_left_s: Time until the deadline of the request, in seconds.
            before_write: Called immediately before the first byte is written; may raise
                NotSentError to withdraw the request.
        """
        entry = load.entry
        headers = select_end_to_end_headers(req.headers, _REMOVED_REQUEST_HEADERS)
        headers.append(
            (DEADLINE_MS_HEADER, b"%d" % max(1, int(time_left_s * MS_PER_S)))
        )
        asked_s = boot_time_s()
        headers.append((EXPECTED_BACKEND_HEADER, entry.id.encode("ascii", "replace")))
        try:
            answer = await self._pool.request(
                *entry.address,
                req.method,
                req.target,
                headers,
                req.body,
                timeout_s=time_left_s,
                limit_bytes=MAX_ANSWER_BYTES,
                before_write=before_write,
                matches_request=lambda found, history: match_answer(
                    found, req.id, history
                ),
                # The answer to the request may still follow one that names none.
                may_reuse=lambda found: found.match is not AnswerMatch.UNNAMED,
                allow_close_delimited=True,
                max_idle_s=self.idle_limit_s.get(entry.service),
                host=req.host.encode("ascii"),
                request_id=req.id,
            )
        except NotSentError as exc:
            return _make_not_sent(entry.id, exc)
        except ExchangeLostError as exc:
            self._reduce_idle_limit(entry.service, exc)
            is_silent = exc.code in (SILENT, LATE)
            kind = ObservationKind.SILENT if is_silent else ObservationKind.FAILED
            exchange = Exchange(
                ExchangeEnd.UNKNOWN,
                BackendObservation(entry.id, kind),
                reason=str(exc),
                is_cut=exc.code == CUT,
            )
            exchange.is_silent = is_silent
            exchange.exchange_number = exc.exchange_number
            exchange.skipped_answers = exc.skipped_answers
            return exchange
        exchange = _read_answer(entry.id, answer, req)
        exchange.exchange_number = answer.exchange_number
        exchange.is_close_delimited = answer.is_close_delimited
        exchange.skipped_answers = answer.skipped_answers
        exchange.observation.asked_s = asked_s
        exchange.observation.answered_s = boot_time_s()
        return exchange

    async def is_listening(self, load: BackendLoad, timeout_s: float) -> bool | None:
        """Return whether a server accepts connections, None if that is unknown.

        A connection that is accepted is kept for the next request.
        """
        try:
            await self._pool.open_idle(*load.entry.address, timeout_s)
        except NotSentError as exc:
            is_refused = isinstance(exc.__cause__, ConnectionRefusedError)
            return False if is_refused else None
        finally:
            load.idle_connections = self.idle_connections(load)
        return True

    async def probe(
        self, load: BackendLoad, path: str, timeout_s: float
    ) -> BackendObservation | None:
        """Request the load report of a server.

        Returns:
            The observation, or None if the server did not answer in time or another
            server answered at its address.
        """
        address, port = load.entry.address
        asked_s = boot_time_s()
        try:
            answer = await self._pool.request(
                address,
                port,
                "GET",
                path,
                timeout_s=timeout_s,
                limit_bytes=MAX_PROBE_BYTES,
                matches_request=match_probe_answer,
            )
        except (NotSentError, ExchangeLostError):
            return None
        finally:
            load.idle_connections = self.idle_connections(load)
        observation = BackendObservation(load.entry.id, ObservationKind.REFUSED)
        for name, value in answer.headers:
            if name == BACKEND_LOAD_HEADER:
                _parse_load_report(value, observation)
            elif name == COLD_LEFT_MS_HEADER:
                _parse_cold_time(value, observation)
            elif name == BACKEND_ID_HEADER and value.decode("latin-1") != load.entry.id:
                return None
        observation.asked_s = asked_s
        observation.answered_s = boot_time_s()
        _read_rate_limit(answer.headers, observation)
        _read_notices(answer, observation)
        return observation

    def _reduce_idle_limit(self, service: str, exc: ExchangeLostError) -> None:
        """Shorten the idle limit of a service after a reused connection was broken.

        The new limit is half the idle time of that connection, or less. Only a
        connection that broke with an error counts, not one that was closed in order or
        gave no answer in time.
        """
        if exc.reused and exc.was_reset and exc.idle_s > 0.0:
            known_s = self.idle_limit_s.get(service, exc.idle_s)
            self.idle_limit_s[service] = min(known_s, exc.idle_s) * 0.5


def _make_not_sent(id: str, exc: NotSentError) -> Exchange:
    if exc.code in ("refused", "connect_timeout"):
        observation = BackendObservation(id, ObservationKind.UNREACHABLE)
    else:
        observation = BackendObservation(id, ObservationKind.REFUSED)
    return Exchange(
        ExchangeEnd.NOT_RUN,
        observation,
        reason=exc.code,
        evidence=Evidence.NOT_WRITTEN,
    )


def _find_ids(headers: Headers) -> set[bytes]:
    return find_values(headers, REQUEST_ID_HEADER) - {b""}


def match_answer(
    headers: Headers, id: bytes, history: ConnectionHistory
) -> AnswerMatch:
    """Return which request an answer belongs to.

    Servers name the request in each answer to one that has an id. An answer without
    one may be the copy of an answer to a probe or to an earlier request, unless the
    connection has carried nothing before. Then a server that cannot parse the request
    may have sent it.
    """
    ids = _find_ids(headers)
    if ids:
        return AnswerMatch.OWN if ids == {id} else AnswerMatch.OTHER
    return AnswerMatch.UNNAMED if history.exchange_count == 1 else AnswerMatch.OTHER


def match_probe_answer(headers: Headers, history: ConnectionHistory) -> AnswerMatch:
    """Return whether an answer may be that to a probe, which has no id."""
    return AnswerMatch.OTHER if _find_ids(headers) else AnswerMatch.UNNAMED


def _read_answer(id: str, answer: HttpAnswer, req: CallerRequest) -> Exchange:
    observation = BackendObservation(id, ObservationKind.ANSWERED)
    has_not_run_header = has_digest = False
    for name, value in answer.headers:
        if name == BACKEND_LOAD_HEADER:
            _parse_load_report(value, observation)
        elif name == COLD_LEFT_MS_HEADER:
            _parse_cold_time(value, observation)
        elif name == NOT_RUN:
            has_not_run_header = value.strip().lower() not in DENIED_MARKS
        elif name == BODY_DIGEST_HEADER:
            has_digest = True
    status = answer.status
    is_own = answer.match is AnswerMatch.OWN
    evidence = classify_answer(status, is_own=is_own, is_marked=has_not_run_header)
    exchange = _judge_answer(evidence, observation, answer, req, has_digest)
    exchange.evidence = evidence
    return exchange


def _judge_answer(
    evidence: Evidence,
    observation: BackendObservation,
    answer: HttpAnswer,
    req: CallerRequest,
    has_digest: bool,
) -> Exchange:
    """Decide whether the request has run, and whether the answer is passed on."""
    status = answer.status
    is_own = answer.match is AnswerMatch.OWN
    is_misdirected = is_own and status == MISDIRECTED_STATUS
    if is_own and not is_misdirected:
        _read_rate_limit(answer.headers, observation)
        _read_notices(answer, observation)
    if evidence in _REFUSALS:
        kind, reason = _REFUSALS[evidence]
        observation.kind = ObservationKind.MISDIRECTED if is_misdirected else kind
        end = ExchangeEnd.NOT_RUN if evidence.proves_not_run else ExchangeEnd.UNKNOWN
        return Exchange(end, observation, reason=f"{reason} {status}")
    if 200 <= status < 300 and not has_digest:
        observation.kind = ObservationKind.FAILED
        return Exchange(
            ExchangeEnd.UNKNOWN, observation, reason="answer without digest"
        )
    if status >= 500:
        observation.kind = ObservationKind.FAILED
    return Exchange(
        ExchangeEnd.ANSWERED,
        observation,
        _make_caller_answer(answer, req),
        f"status {status}",
    )


def _make_caller_answer(answer: HttpAnswer, req: CallerRequest) -> CallerAnswer:
    content_length = None
    if req.method == "HEAD":
        lengths = [v for name, v in answer.headers if name == b"content-length"]
        content_length = lengths[0] if lengths else None
    headers = select_end_to_end_headers(answer.headers, _REMOVED_ANSWER_HEADERS)
    return CallerAnswer(
        answer.status, headers, answer.body, content_length=content_length
    )


def _read_rate_limit(headers: Headers, observation: BackendObservation) -> None:
    """Record the rate limit that an answer names, or that it names none."""
    values = [value for name, value in headers if name == RATE_LIMIT_HEADER]
    if not values:
        observation.rate_limit_per_s = NO_LIMIT
        return
    try:
        observation.rate_limit_per_s = parse_rate_limit(values)
    except ValueError as exc:
        observation.rate_limit_error = str(exc)


def _read_notices(answer: HttpAnswer, observation: BackendObservation) -> None:
    """Record whether the server leaves, and for how long it wants nothing."""
    retry_after = []
    for name, value in answer.headers:
        if name == LEAVING_HEADER and value.strip() == LEAVING_VALUE:
            observation.is_leaving = True
        elif name == RETRY_AFTER_HEADER:
            retry_after.append(value)
    if answer.status != UNAVAILABLE_STATUS or not retry_after:
        return
    try:
        observation.retry_after_s = parse_retry_after(retry_after)
    except ValueError as exc:
        observation.retry_after_error = str(exc)


def _parse_load_report(value: bytes, observation: BackendObservation) -> None:
    """Parse a load report: running, waiting, slots and, if present, slowdown."""
    numbers = [parse_digits(part) for part in value.split(b",")]
    known = [number for number in numbers if number is not None]
    if len(known) < 3 or len(known) < len(numbers):
        return
    observation.running = known[0]
    observation.waiting = known[1]
    if len(known) > 3:
        observation.slowdown = known[3] / UNLOADED_SLOWDOWN_PERCENT


def _parse_cold_time(value: bytes, observation: BackendObservation) -> None:
    cold_left_ms = parse_digits(value)
    if cold_left_ms is not None:
        observation.cold_left_s = cold_left_ms / MS_PER_S
