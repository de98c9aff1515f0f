"""Many backend servers in one process, with moving antagonist load."""

import asyncio
import random
from collections import Counter

from ...errors import CrocusError
from ...model import Backend
from ...registry import Registry
from ._backend import BackendStandin
from ._backend_model import BackendBehaviour, ExecutionLog
from ._command import CONTROL_PATH, STATS_PATH, Command
from ._http import Connection, ConnectionKeeper, Listener, StandinRequest

EXECUTIONS_PATH = "/-/executions"
EXECUTIONS_PAGE = 20_000
ANTAGONIST_PERIOD_S = 0.25
ANTAGONIST_MIN_FACTOR = 2.0
ANTAGONIST_MAX_FACTOR = 5.0
ANTAGONIST_MEAN_S = 1.0

FLEET_ACTIONS: Registry = Registry("control action")


class BackendFleet(ConnectionKeeper):
    """Backend servers of one process and their control endpoint.

    Args:
        places: Where the servers are.
        behaviour: How they behave.
        rng: Source of all randomness.
        address: Address of the control endpoint.
        port: Port of the control endpoint.
        antagonist_share: Mean share of servers slowed down at any time.
    """

    def __init__(
        self,
        places: list[Backend],
        behaviour: BackendBehaviour,
        rng: random.Random,
        *,
        address: str = "127.0.0.1",
        port: int = 0,
        antagonist_share: float = 0.0,
    ) -> None:
        self.listener = Listener(self, address, port)
        self.behaviour = behaviour
        self.log = ExecutionLog()
        self.antagonist_share = antagonist_share
        self._rng = rng
        self.backends = {
            place.id: BackendStandin(place, behaviour, rng, self.log)
            for place in places
        }
        self._antagonist: asyncio.TimerHandle | None = None

    @property
    def port(self) -> int:
        """Port of the control endpoint."""
        return self.listener.port

    async def start(self) -> None:
        """Accept connections everywhere."""
        for backend in self.backends.values():
            await backend.start()
        await self.listener.open()
        self._move_antagonist()

    def stop(self) -> None:
        """Close everything."""
        if self._antagonist is not None:
            self._antagonist.cancel()
        for backend in self.backends.values():
            backend.stop()
        self.listener.shut()

    def on_request(self, conn: Connection, req: StandinRequest) -> None:
        """Answer a control request."""
        if req.path == CONTROL_PATH:
            self._control(conn, req)
        elif req.path == STATS_PATH:
            conn.respond_json(self.stats())
        elif req.path == EXECUTIONS_PATH:
            self._executions(conn, int(req.argument("from", "0")))
        else:
            conn.respond(404)

    def stats(self) -> dict[str, object]:
        """Return the counters of all servers and of each."""
        total: Counter[str] = Counter()
        for backend in self.backends.values():
            total.update(backend.counts)
        each = {id: dict(item.counts) for id, item in self.backends.items()}
        return {"total": dict(total), "backends": each}

    def select(self, command: Command) -> list[BackendStandin]:
        """Return the servers named by ``backends``, ``data_centre`` or all."""
        names = command.arguments.get("backends")
        data_centre = command.text("data_centre")
        return [
            backend
            for id, backend in self.backends.items()
            if (not isinstance(names, list) or id in names)
            and data_centre in ("", backend.place.data_centre)
        ]

    def _control(self, conn: Connection, req: StandinRequest) -> None:
        try:
            command = Command.parse(req.body)
            FLEET_ACTIONS.get(command.action)(self, command)
        except CrocusError as exc:
            conn.respond_json({"code": exc.code, "reason": str(exc)}, 400)
            return
        conn.respond_json({"ok": True})

    def _executions(self, conn: Connection, first: int) -> None:
        page = self.log.above(first, EXECUTIONS_PAGE)
        rows = [execution.as_document() for execution in page]
        conn.respond_json({"total": self.log.total, "executions": rows})

    def _move_antagonist(self) -> None:
        loop = asyncio.get_running_loop()
        self._antagonist = loop.call_later(ANTAGONIST_PERIOD_S, self._move_antagonist)
        chance = self.antagonist_share * ANTAGONIST_PERIOD_S / ANTAGONIST_MEAN_S
        for backend in self.backends.values():
            if chance > 0.0 and self._rng.random() < chance:
                self._slow_down(loop, backend)

    def _slow_down(
        self, loop: asyncio.AbstractEventLoop, backend: BackendStandin
    ) -> None:
        if backend.slowdown != 1.0:
            return
        backend.slowdown = self._rng.uniform(
            ANTAGONIST_MIN_FACTOR, ANTAGONIST_MAX_FACTOR
        )
        duration_s = ANTAGONIST_MEAN_S * self._rng.uniform(0.5, 1.5)
        loop.call_later(duration_s, setattr, backend, "slowdown", 1.0)


@FLEET_ACTIONS.register("cold")
def turn_cold(fleet: BackendFleet, command: Command) -> None:
    """Make servers cold, with a new boot id if ``new_boot``."""
    for backend in fleet.select(command):
        backend.turn_cold(new_boot=command.flag("new_boot", False))


@FLEET_ACTIONS.register("crash")
def crash(fleet: BackendFleet, command: Command) -> None:
    """Break servers, which refuse for ``down_s`` and come back cold."""
    for backend in fleet.select(command):
        backend.crash(command.number("down_s", fleet.behaviour.down_s))


@FLEET_ACTIONS.register("drain")
def drain(fleet: BackendFleet, command: Command) -> None:
    """Mark servers as draining; they refuse after ``refuse_after_s``."""
    for backend in fleet.select(command):
        backend.drain(command.number("refuse_after_s", 3.0))


@FLEET_ACTIONS.register("fail")
def fail(fleet: BackendFleet, command: Command) -> None:
    """Answer every request with 500 at once."""
    for backend in fleet.select(command):
        backend.failing = True


@FLEET_ACTIONS.register("slow")
def slow(fleet: BackendFleet, command: Command) -> None:
    """Multiply service times by ``factor``."""
    for backend in fleet.select(command):
        backend.slowdown = command.number("factor", 1.0)


@FLEET_ACTIONS.register("revive")
def revive(fleet: BackendFleet, command: Command) -> None:
    """End draining and failing."""
    for backend in fleet.select(command):
        backend.revive()


@FLEET_ACTIONS.register("antagonist")
def set_antagonist(fleet: BackendFleet, command: Command) -> None:
    """Set the mean share of servers that are slowed down."""
    fleet.antagonist_share = command.number("share", 0.0)
