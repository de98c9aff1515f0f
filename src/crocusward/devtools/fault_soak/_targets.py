"""Backend servers of the soak, which record what they ran."""

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Callable, Collection, Mapping

from ...model import Record
from ..standins._flood import FLOODS
from ..standins._http import Connection, Listener, StandinRequest, encode_answer
from ._notices import Notices, Pause
from ._proxy import NO_LINGER

LONG_PREFIX = "/look/long"
LONG_ANSWER_BYTES = 30_000
FLOOD_BLOCK_BYTES = 65_536
MAX_FLOOD_BUFFER_BYTES = 262_144
FLOOD_PERIOD_S = 0.005
MAX_FLOOD_WRITES = 4  # in one period
NOT_RUN_LINE = b"Crocusward-Not-Executed: 1\r\n"
QUEUE = 4  # requests that wait beyond the slots
LONG_BODY_BYTES = 10_000  # from which a body takes the server some time
DOUBTFUL_STATUSES = (503, 429, 421, 408)  # with them a refusal says "not run"
IDLE_CLOSE_S = 0.1  # at most, until an idle connection gets status 408
RESET_S = 0.03  # at most, until an answered connection is reset
CRASH_DELAY_S = 0.01  # from the bytes of an answer to the crash
ODD_STATUSES = (b"000", b"001", b"099", b"600", b"999", b"104", b"7", b"1000", b"+10")
SLOWDOWNS_PERCENT = (100, 700)  # of a machine that is shared with others


# Ways in which a host might take a request that runs for one that does not.
DOUBTFUL_MODES = {
    "interim": "sends 100, and 103 with the not-run header, before a refusal",
    "early": "answers before it has read a long body, and reads on",
    "late_refusal": "refuses after the run, without not-run header or without an id",
    "answer_reset": "resets the connection soon after the answer",
    "idle_408": "sends status 408 on an idle connection, also as a request arrives",
}


class Run(Record):
    """One request that a server received.

    Attributes:
        id: Id of the request.
        host: IP address of the daemon that sent it.
        server: Id of the server.
        service: Service of the server.
        data_centre: Data centre of the server.
        at_s: When it arrived, in seconds of the loop.
        path: Path of the request.
        body: Its body, or None if that is long or was not read yet.
    """

    __slots__ = (
        "id",
        "host",
        "server",
        "service",
        "data_centre",
        "at_s",
        "path",
        "body",
    )

    def __init__(
        self,
        id: str,
        host: str,
        server: str,
        service: str,
        data_centre: str,
        at_s: float,
        path: str,
        body: bytes | None = None,
    ) -> None:
        self.id = id
        self.host = host
        self.server = server
        self.service = service
        self.data_centre = data_centre
        self.at_s = at_s
        self.path = path
        self.body = body


class Target:
    """One backend server.

    Attributes:
        id: Id of this run of the server.
        mode: How it misbehaves: "", "hang", "reset", "lose", "extra", "cut", "shed",
            "flood", or in one of the ways of ``DOUBTFUL_MODES``.
        share: Share of the requests on which it does.
        limits: Values of the rate limit that it names in each answer, not all valid.
        reports_load: Whether its answers tell its load.
        is_leaving: Whether it says in each answer that it leaves.
        pause_s: Retry-After of its refusals, 0.0 without one.
        repeated: What it refuses twice: "", "probe" or "request". The copy comes
            where the next answer on the connection is expected.
        repeated_share: Share of the probes or requests on which it does.
        names_request: Whether these refusals, and so their copies, name the last
            request on the connection; without an id otherwise.
        refusal_head: Status line and not-run header of these refusals.
        refusals_sent: Number of these refusals, without the copies.
        odd_answers: Number of odd answers of some or all servers, by kind.
        deadly: Paths whose requests end the server while they run.
        crash_shares: Share of the answer that is out when such a request ends it, by
            path; 0.0 for others.
        odd_s: When a request got an answer whose status is none, by its id.
        on_crash: Called with the server and the path that ended it.
        listener: Where it listens.
    """

    def __init__(
        self,
        id: str,
        service: str,
        data_centre: str,
        runs: list[Run],
        namings_s: list[float],
        notices: Notices,
        rng: random.Random,
        *,
        slots: int = 2,
    ) -> None:
        self.id = id
        self.service = service
        self.data_centre = data_centre
        self.mode = ""
        self.share = 1.0
        self.limits: list[str] = []
        self.reports_load = True
        self.is_leaving = False
        self.pause_s = 0.0
        self.repeated = ""
        self.repeated_share = 1.0
        self.names_request = False
        self.refusal_head = b""
        self.refusals_sent = 0
        self.odd_answers: Counter[str] = Counter()
        self.flood = ""
        self.work_s = 0.0
        self.deadly: Collection[str] = ()
        self.crash_shares: Mapping[str, float] = {}
        self.odd_s: dict[str, float] = {}
        self.on_crash: Callable[[Target, str], object] | None = None
        self.slots = slots
        self.listener = Listener(self, "127.0.0.1", 0)
        self.listener.connection_class = _HeadConnection
        self._runs = runs
        self._namings_s = namings_s
        self._notices = notices
        self._rng = rng
        self._busy = 0
        self._waiting: list[tuple[Connection, StandinRequest]] = []
        self._copies: dict[Connection, bytes] = {}
        self._last_ids: dict[Connection, bytes] = {}
        self._answered_early: set[Connection] = set()

    def on_connect(self, conn: Connection) -> bool:
        """Accept a connection."""
        self.listener.conns.add(conn)
        return True

    def on_close(self, conn: Connection) -> None:
        """Forget a connection."""
        self.listener.conns.discard(conn)
        self._copies.pop(conn, None)
        self._last_ids.pop(conn, None)
        self._answered_early.discard(conn)

    def on_head(self, conn: Connection, path: str, headers: dict[bytes, bytes]) -> None:
        """Answer before the body of a request is read, in mode "early".

        A request that is not truly refused runs from its head on.
        """
        is_long = int(headers.get(b"content-length", b"0")) >= LONG_BODY_BYTES
        is_own = headers.get(b"crocusward-expected-instance") == self.id.encode()
        if self.mode != "early" or not is_long or not is_own or conn.busy:
            return
        if self._rng.random() >= self.share:
            return
        self._answered_early.add(conn)
        self.odd_answers["early"] += 1
        id = headers[b"crocusward-request-id"].decode()
        now_s = asyncio.get_running_loop().time()
        self._notices.arrivals.append((self.id, id, now_s))
        if self._rng.random() < 0.5:
            self._write(conn, self._refusal(503, id, is_marked=True))
            return
        self._note_run(conn, id, path)
        self._write(conn, self._doubtful_refusal(id))

    def on_request(self, conn: Connection, req: StandinRequest) -> None:
        """Run a request, or misbehave."""
        now_s = asyncio.get_running_loop().time()
        if conn in self._answered_early:
            self._answered_early.discard(conn)
            conn.busy = False
            return
        copy = self._copies.pop(conn, b"")
        if copy:
            self._write(conn, copy)
        is_probe = req.path == "/health"
        if not is_probe:
            self._last_ids[conn] = req.headers.get(b"crocusward-request-id", b"")
        if self.repeated == ("probe" if is_probe else "request"):
            if self._rng.random() < self.repeated_share:
                self._refuse_twice(conn)
                return
        head = self._load_line(self._busy) + self._limit_lines()
        if is_probe:
            head += b"Crocusward-Instance-Id: %s\r\n" % self.id.encode()
            conn.respond(200, b"", head)
            return
        id = req.headers.get(b"crocusward-request-id", b"")
        own = b"Crocusward-Request-Id: %s\r\n" % id
        self._notices.arrivals.append((self.id, id.decode(), now_s))
        if req.headers.get(b"crocusward-expected-instance", b"").decode() != self.id:
            conn.respond(421, b"", own + NOT_RUN_LINE)
            return
        mode = self.mode if self._rng.random() < self.share else ""
        is_full = self._busy + len(self._waiting) >= self.slots + QUEUE
        if mode == "shed" or is_full:
            own += NOT_RUN_LINE + self._limit_lines()
            conn.respond(503, b"", own + self._notice_lines(id.decode(), conn))
            return
        if mode == "interim":
            self.odd_answers["interim"] += 1
            lines = own + NOT_RUN_LINE
            self._write(conn, b"HTTP/1.1 100 Continue\r\n\r\n")
            self._write(conn, b"HTTP/1.1 103 Early Hints\r\n%s\r\n" % lines)
            if self._rng.random() < 0.5:
                conn.respond(503, b"", lines + self._limit_lines())
                return
            mode = "late_refusal"
        conn.job = mode
        if self._busy >= self.slots:
            self._waiting.append((conn, req))
        else:
            self._start(conn, req)

    def _refuse_twice(self, conn: Connection) -> None:
        lines = self._load_line(self._busy) + self._limit_lines()
        if self.names_request and conn in self._last_ids:
            lines += b"Crocusward-Request-Id: %s\r\n" % self._last_ids[conn]
        refusal = self.refusal_head + b"Content-Length: 0\r\n" + lines + b"\r\n"
        conn.busy = False
        self.refusals_sent += 1
        self.odd_answers[f"repeated_{self.repeated}"] += 1
        self._write(conn, refusal)
        self._copies[conn] = refusal

    def _refusal(self, status: int, id: str, *, is_marked: bool) -> bytes:
        """Return a refusal; one without an id names no request."""
        lines = b"Crocusward-Request-Id: %s\r\n" % id.encode() if id else b""
        lines += NOT_RUN_LINE if is_marked else b""
        head = b"HTTP/1.1 %d Refused\r\nContent-Length: 0\r\n" % status
        return head + lines + self._limit_lines(is_noted=bool(id)) + b"\r\n"

    def _doubtful_refusal(self, id: str) -> bytes:
        """Return a refusal that lacks either the not-run header or the id."""
        status = self._rng.choice(DOUBTFUL_STATUSES)
        is_marked = self._rng.random() < 0.5
        return self._refusal(status, "" if is_marked else id, is_marked=is_marked)

    def _load_line(self, running: int) -> bytes:
        if not self.reports_load:
            return b""
        slowdown = SLOWDOWNS_PERCENT[0]
        if self.repeated:
            slowdown = self._rng.choice(SLOWDOWNS_PERCENT)
        counts = (running, len(self._waiting), self.slots, slowdown)
        return b"Crocusward-Server-Load: %d,%d,%d,%d\r\n" % counts

    def _limit_lines(self, *, is_noted: bool = True) -> bytes:
        if len(self.limits) == 1 and is_noted:
            self._namings_s.append(asyncio.get_running_loop().time())
        return b"".join(b"Server-Limit: %s\r\n" % x.encode() for x in self.limits)

    def _notice_lines(self, id: str, conn: Connection) -> bytes:
        """Return the notices in a refusal."""
        lines = self._leaving_line(id, conn)
        if self.pause_s and not conn.closed:
            now_s = asyncio.get_running_loop().time()
            self._notices.pauses.append(Pause(self.id, id, now_s, now_s + self.pause_s))
            lines += b"Retry-After: %g\r\n" % self.pause_s
        return lines

    def _leaving_line(self, id: str, conn: Connection) -> bytes:
        if not self.is_leaving or conn.closed:
            return b""
        now_s = asyncio.get_running_loop().time()
        self._notices.leaving.append((self.id, id, now_s))
        return b"Server-Leaving: 1\r\n"

    def _start(self, conn: Connection, req: StandinRequest) -> None:
        id = req.headers[b"crocusward-request-id"].decode()
        is_long = len(req.body) >= LONG_BODY_BYTES
        self._note_run(conn, id, req.path, None if is_long else req.body)
        self._busy += 1
        loop = asyncio.get_running_loop()
        work_s = self.work_s or 0.02 + 0.06 * self._rng.random()
        loop.call_later(work_s, self._finish, conn, req, id)

    def _note_run(
        self, conn: Connection, id: str, path: str, body: bytes | None = None
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        place = (self.id, self.service, self.data_centre)
        self._runs.append(Run(id, _host_of(conn), *place, now_s, path, body))

    def _finish(self, conn: Connection, req: StandinRequest, id: str) -> None:
        if not self.listener.is_open:
            return  # it has crashed under another request
        if req.path in self.deadly:
            self._crash_in_answer(conn, req.path, id)
            return
        self._busy -= 1
        if self._waiting:
            self._start(*self._waiting.pop(0))
        mode = conn.job
        if mode in ("reset", "lose"):
            conn.abort()
            return
        if mode == "hang":
            return
        if mode == "flood":
            self._begin_flood(conn, id)
            return
        if mode == "late_refusal":
            self.odd_answers["late_refusal"] += 1
            conn.busy = False
            self._write(conn, self._doubtful_refusal(id))
            return
        if mode == "odd_status":
            self._answer_oddly(conn, id)
            return
        body = f"{id} at {self.service}".encode()
        if req.path.startswith(LONG_PREFIX):
            body += b" " * LONG_ANSWER_BYTES
        head = self._own_lines(id) + self._load_line(self._busy + 1)
        head += self._limit_lines() + self._leaving_line(id, conn)
        if mode == "cut" and conn.transport is not None and not conn.closed:
            full = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n" % (
                len(body) + 9,
                head,
            )
            conn.transport.write(full + body)
            conn.close()
            return
        conn.respond(200, body, head)
        if mode == "extra" and conn.transport is not None and not conn.closed:
            again = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n%s\r\nagain" % head
            asyncio.get_running_loop().call_later(
                0.03 * self._rng.random(), self._write, conn, again
            )
        elif mode == "answer_reset":
            self.odd_answers["answer_reset"] += 1
            delay_s = RESET_S * self._rng.random()
            asyncio.get_running_loop().call_later(delay_s, _reset, conn)
        elif mode == "idle_408":
            self._time_out_idle(conn)

    def _own_lines(self, id: str) -> bytes:
        head = b"Crocusward-Request-Id: %s\r\n" % id.encode()
        return head + b"Crocusward-Response-Signature: sig-%s\r\n" % id.encode()

    def _crash_in_answer(self, conn: Connection, path: str, id: str) -> None:
        """End the server once a part of the answer is out."""
        body = f"{id} at {self.service}".encode()
        answer = encode_answer(200, body, self._own_lines(id))
        share = self.crash_shares.get(path, 0.0)
        self._write(conn, answer[: round(share * len(answer))])

        def crash() -> None:
            if self.listener.is_open:
                self.listener.shut()
                if self.on_crash is not None:
                    self.on_crash(self, path)

        if share:
            asyncio.get_running_loop().call_later(CRASH_DELAY_S, crash)
        else:
            crash()

    def _answer_oddly(self, conn: Connection, id: str) -> None:
        """Answer with a status that is none; a proper answer may follow."""
        self.odd_answers["odd_status"] += 1
        self.odd_s[id] = asyncio.get_running_loop().time()
        status, body = self._rng.choice(ODD_STATUSES), b"bytes of no answer"
        head = b"HTTP/1.1 %s Odd\r\n%s" % (status, self._own_lines(id))
        self._write(conn, head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        conn.busy = False
        if self._rng.random() < 0.5:
            conn.respond(200, f"{id} at {self.service}".encode(), self._own_lines(id))

    def _time_out_idle(self, conn: Connection) -> None:
        """Close an idle connection with status 408, or send it beside a request."""
        self.odd_answers["idle_408"] += 1
        is_marked = self._rng.random() < 0.5
        timed_out = self._refusal(408, "", is_marked=is_marked)
        if self._rng.random() < 0.5:
            self._copies[conn] = timed_out
            return

        def write() -> None:
            if not conn.busy and not conn.closed:
                self._write(conn, timed_out)
                conn.close()

        delay_s = IDLE_CLOSE_S * self._rng.random()
        asyncio.get_running_loop().call_later(delay_s, write)

    def _begin_flood(self, conn: Connection, id: str) -> None:
        """Answer without end, in one of the ways of the stand-ins."""
        first, block = FLOODS[self.flood]
        self._write(conn, first.replace(b"%(id)s", id.encode()))
        self._go_on(conn, block * (FLOOD_BLOCK_BYTES // len(block) + 1))

    def _go_on(self, conn: Connection, data: bytes) -> None:
        transport = conn.transport
        if transport is None or conn.closed or transport.is_closing():
            return
        for _ in range(MAX_FLOOD_WRITES):
            if transport.get_write_buffer_size() < MAX_FLOOD_BUFFER_BYTES:
                transport.write(data)
        loop = asyncio.get_running_loop()
        loop.call_later(FLOOD_PERIOD_S, self._go_on, conn, data)

    def _write(self, conn: Connection, data: bytes) -> None:
        if conn.transport is not None and not conn.closed:
            conn.transport.write(data)


class _HeadConnection(Connection):
    """Tells its server of the head of a request before the body is read."""

    def on_headers_complete(self) -> None:
        """Hand over the head of a request."""
        assert isinstance(self.app, Target)
        path = self._url.decode("latin-1").partition("?")[0]
        self.app.on_head(self, path, self._headers)


def _reset(conn: Connection) -> None:
    """Reset a connection, also if all that it received has been read."""
    if conn.transport is not None and not conn.closed:
        sock = conn.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        conn.abort()


def _host_of(conn: Connection) -> str:
    """Return the IP address of the daemon at the other end."""
    peer = conn.transport.get_extra_info("peername") if conn.transport else None
    return str(peer[0]) if peer else ""
