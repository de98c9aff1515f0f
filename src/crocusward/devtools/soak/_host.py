"""One simulated entry host."""

from ...daemon import Node
from ._backends import FakeUpstream
from ._gate import HostGate


class SilentRecorder:
    """Takes records of requests and drops them."""

    def record_call(self, *args: object, **kwargs: object) -> None:
        """Drop a record."""


class SimHost:
    """One entry host of the run."""

    __slots__ = (
        "name",
        "region",
        "centre",
        "gate",
        "node",
        "upstream",
        "calls",
        "stop",
    )

    def __init__(self, name: str, region: str, centre: str) -> None:
        self.name = name
        self.region = region
        self.centre = centre
        self.gate = HostGate()
        self.node: Node
        self.upstream: FakeUpstream
        self.calls = 0
        self.stop = False

    @property
    def alive(self) -> bool:
        """True if it accepts connections."""
        return not self.gate.dead


class HostServer:
    """The server side of a simulated host, as ``GracefulStop`` needs it."""

    def __init__(self, host: SimHost) -> None:
        self._host = host

    @property
    def in_flight(self) -> int:
        """Requests of callers in progress."""
        return self._host.calls

    def stop_accepting(self) -> None:
        """Refuse new connections."""
        self._host.stop = True

    async def drain(self, timeout_s: float) -> int:
        """Wait for requests in progress and return how many are left."""
        timer = self._host.node.timer
        end_s = timer.now() + timeout_s
        while self._host.calls and timer.now() < end_s:
            await timer.sleep(0.02)
        return self._host.calls
