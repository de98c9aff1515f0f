"""Running daemons as the measuring program sees them: kernel counters and metrics."""

import http.client
import json
import os
import time
from pathlib import Path

from ...errors import CrocusError
from ...model import Record
from ..deployment import EntryPlan, Plan

HTTP_TIMEOUT_S = 5.0
NS_PER_S = 1e9
HTTP_OK = 200
SENT_BYTES = "control_sent_bytes"
RECEIVED_BYTES = "control_received_bytes"
PEERS = "peers"
VERSION = "config_version"


class CpuClock:
    """Reads the processor time of a process from the scheduler's counters.

    The counters are in nanoseconds; the ones of ``/proc/PID/stat`` count in ticks
    of 10 ms, too coarse for an idle daemon.

    Args:
        pid: Process.
    """

    __slots__ = ("_tasks",)

    def __init__(self, pid: int) -> None:
        self._tasks = Path(f"/proc/{pid}/task")

    def read_s(self) -> float:
        """Return the processor time of all threads, in seconds."""
        total_ns = 0
        for task in self._tasks.iterdir():
            fields = (task / "schedstat").read_text(encoding="ascii").split()
            total_ns += int(fields[0])
        return total_ns / NS_PER_S


class Sample(Record):
    """Metrics of one daemon at one time.

    Attributes:
        at_s: When they were read, in monotonic seconds.
        values: Value by short name.
    """

    __slots__ = ("at_s", "values")

    def __init__(self, at_s: float, values: dict[str, float]) -> None:
        self.at_s = at_s
        self.values = values

    def rate_since(self, earlier: "Sample", name: str) -> float:
        """Return how fast a counter rose, per second."""
        rise = self.values[name] - earlier.values[name]
        return rise / (self.at_s - earlier.at_s)


class DaemonView:
    """One running daemon.

    Args:
        entry: Its place in the plan.
        plan: The plan.
        pid: Its process.
    """

    __slots__ = ("entry", "plan", "pid", "clock")

    def __init__(self, entry: EntryPlan, plan: Plan, pid: int) -> None:
        self.entry = entry
        self.plan = plan
        self.pid = pid
        self.clock = CpuClock(pid)

    def rss_bytes(self) -> int:
        """Return the resident memory, in bytes."""
        text = Path(f"/proc/{self.pid}/statm").read_text(encoding="ascii")
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def sample(self) -> Sample:
        """Read the metrics page.

        Raises:
            OSError: The daemon does not answer.
        """
        plan = self.plan
        conn = http.client.HTTPConnection(
            self.entry.address, plan.caller_port, timeout=HTTP_TIMEOUT_S
        )
        try:
            conn.request("GET", "/-/metrics")
            text = conn.getresponse().read().decode()
            return Sample(time.monotonic(), _parse(text))
        finally:
            conn.close()

    def post(self, path: str, table: dict[str, object]) -> dict:
        """Send a request to the administration API and return its answer.

        Raises:
            CrocusError: The request was refused.
            OSError: The daemon does not answer.
        """
        conn = http.client.HTTPConnection(
            self.entry.address, self.plan.admin_port, timeout=HTTP_TIMEOUT_S
        )
        headers = {
            "Authorization": f"Bearer {self.plan.token}",
            "Content-Type": "application/json",
        }
        try:
            conn.request("POST", path, json.dumps(table), headers)
            response = conn.getresponse()
            body = response.read().decode()
        finally:
            conn.close()
        if response.status != HTTP_OK:
            raise CrocusError(f"{path}: {response.status} {body}", code="refused")
        return json.loads(body)


def _parse(text: str) -> dict[str, float]:
    """Return the metrics without labels, by the name after the last prefix."""
    values = {}
    for line in text.splitlines():
        name, _, value = line.partition(" ")
        if not line.startswith("#") and "{" not in name:
            values[name.rpartition("crocusward_")[2]] = float(value)
    return values


def load_daemons(plan: Plan) -> list[DaemonView]:
    """Return the daemons that the script started."""
    lines = (plan.directory / "pids").read_text(encoding="utf-8").splitlines()
    pids = {name: int(pid) for name, pid in (line.split() for line in lines)}
    return [DaemonView(entry, plan, pids[entry.name]) for entry in plan.entries]
