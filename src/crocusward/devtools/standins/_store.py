"""Faults that the stand-ins for the platform's services share."""

import asyncio
from collections import Counter
from enum import StrEnum

from ...errors import CrocusError
from ...registry import Registry
from ._command import CONTROL_PATH, STATS_PATH, Command
from ._http import Connection, ConnectionKeeper, Listener, StandinRequest


class FaultMode(StrEnum):
    """How the stand-in treats requests."""

    UP = "up"
    UNAVAILABLE = "unavailable"  # 503, no effect
    DROP = "drop"  # closes the connection, no effect
    HANG = "hang"  # never answers, no effect


STORE_ACTIONS: Registry = Registry("control action")


class StoreStandin(ConnectionKeeper):
    """Base: listens, injects faults, counts.

    Attributes:
        mode: How requests are treated.
        delay_s: Time before each request takes effect, in seconds.
        lose_answers: Number of next writes that apply but get no answer.
        counts: Requests by path.
    """

    actions = STORE_ACTIONS

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        self.listener = Listener(self, address, port)
        self.mode = FaultMode.UP
        self.delay_s = 0.0
        self.lose_answers = 0
        self.counts: Counter[str] = Counter()

    @property
    def port(self) -> int:
        """TCP port."""
        return self.listener.port

    async def start(self) -> None:
        """Accept connections."""
        await self.listener.open()

    def stop(self) -> None:
        """Close the listener and every connection."""
        self.listener.shut()

    def serve(self, conn: Connection, req: StandinRequest) -> None:
        """Answer a request."""
        raise NotImplementedError

    def on_request(self, conn: Connection, req: StandinRequest) -> None:
        """Handle control requests at once and others as the faults say."""
        if req.path == CONTROL_PATH:
            self._control(conn, req)
        elif req.path == STATS_PATH:
            conn.respond_json(dict(self.counts))
        else:
            self._serve_with_faults(conn, req)

    def _control(self, conn: Connection, req: StandinRequest) -> None:
        try:
            command = Command.parse(req.body)
            self.actions.get(command.action)(self, command)
        except CrocusError as exc:
            conn.respond_json({"code": exc.code, "reason": str(exc)}, 400)
            return
        conn.respond_json({"ok": True})

    def _serve_with_faults(self, conn: Connection, req: StandinRequest) -> None:
        self.counts[req.path] += 1
        if self.mode is FaultMode.UNAVAILABLE:
            conn.respond(503)
        elif self.mode is FaultMode.DROP:
            conn.abort()
        elif self.mode is FaultMode.HANG:
            return
        elif self.delay_s:
            # A slow write takes effect even if its sender has given up.
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_s, self.serve, conn, req)
        else:
            self.serve(conn, req)

    def answer_write(
        self, conn: Connection, status: int, body: bytes = b"", headers: bytes = b""
    ) -> None:
        """Answer a write, or lose the answer."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            conn.abort()
            return
        conn.respond(status, body, headers)


@STORE_ACTIONS.register("mode")
def set_mode(standin: StoreStandin, command: Command) -> None:
    """Set the fault mode: up, unavailable, drop or hang."""
    try:
        standin.mode = FaultMode(command.text("mode", "up"))
    except ValueError as exc:
        raise CrocusError(str(exc), code="bad_command")


@STORE_ACTIONS.register("refuse")
def refuse(standin: StoreStandin, command: Command) -> None:
    """Refuse connections for ``for_s`` seconds and break the existing ones."""
    loop = asyncio.get_running_loop()
    # The answer of this command goes out first.
    loop.call_later(0.01, standin.listener.refuse, command.number("for_s", 1.0))


@STORE_ACTIONS.register("slow")
def set_delay(standin: StoreStandin, command: Command) -> None:
    """Delay each request by ``delay_s`` seconds."""
    standin.delay_s = command.number("delay_s", 0.0)


@STORE_ACTIONS.register("lose_answers")
def lose_answers(standin: StoreStandin, command: Command) -> None:
    """Apply the next ``count`` writes and lose their answers."""
    standin.lose_answers = int(command.number("count", 1))
