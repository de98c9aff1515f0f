"""Planned stop of an entry host."""

from typing import Protocol

from ..invariants import InvariantName
from ..logs import log_event
from ._node import Node

DEFAULT_TIMEOUT_S = 30.0


class DrainingServer(Protocol):
    """The caller-facing server during a planned stop."""

    @property
    def in_flight(self) -> int:
        """Requests in progress."""

    def stop_accepting(self) -> None:
        """Refuse new connections."""

    async def drain(self, timeout_s: float) -> int:
        """Let requests finish; return how many are left after the time limit."""


class GracefulStop:
    """Stops a host without cutting a request.

    Args:
        node: The host's logic.
        server: Its caller-facing server.
        notice_s: Time between failing readiness and refusing connections, in
            seconds; the platform's balancer needs it to move callers.
        timeout_s: Longest wait for requests in progress, in seconds.
        faults: Names of injected faults, which test the assertion.
    """

    __slots__ = ("_node", "_server", "_notice_s", "_timeout_s", "_faults")

    def __init__(
        self,
        node: Node,
        server: DrainingServer,
        *,
        notice_s: float,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        faults: frozenset[str] = frozenset(),
    ) -> None:
        self._node = node
        self._server = server
        self._notice_s = notice_s
        self._timeout_s = timeout_s
        self._faults = faults

    async def run(self) -> None:
        """Leave, wait for the notice, drain, and end background work."""
        node = self._node
        node.leave()
        log_event("stop_announced", notice_s=self._notice_s)
        await node.timer.sleep(self._notice_s)
        self._server.stop_accepting()
        if "cut-on-stop" not in self._faults:
            await self._server.drain(self._timeout_s)
        left = self._server.in_flight
        node.invariants.check(
            InvariantName.GRACEFUL_STOP, left == 0, f"{left} requests cut by a stop"
        )
        await node.stop()
        log_event("stopped", requests_cut=left)
