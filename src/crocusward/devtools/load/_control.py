"""Control endpoints of the stand-ins, and metrics of the daemons."""

import asyncio
import json

from ...upstream import HttpPool
from ..deployment import EntryPlan, Plan

CONTROL_TIMEOUT_S = 5.0
CONTROL_BYTES = 67_108_864
READY_POLL_S = 0.1


class Standins:
    """Talks to the stand-ins and daemons of a deployment.

    Args:
        plan: The deployment.
        pool: Connections.
    """

    __slots__ = ("_plan", "_pool")

    def __init__(self, plan: Plan, pool: HttpPool) -> None:
        self._plan = plan
        self._pool = pool

    async def command(self, port_of: list, action: str, **arguments: object) -> None:
        """Send a command to the control endpoint of a stand-in."""
        body = json.dumps({"action": action, **arguments}).encode()
        await self._request(port_of, "POST", "/-/control", body)

    async def executions(self) -> list[dict]:
        """Return every execution at the backend servers so far."""
        rows: list[dict] = []
        while True:
            path = f"/-/executions?from={len(rows)}"
            page = await self._request(self._plan.backends, "GET", path)
            rows += page["executions"]
            if len(rows) >= page["total"] or not page["executions"]:
                return rows

    async def stats(self) -> dict:
        """Return the counters of the backend servers."""
        return await self._request(self._plan.backends, "GET", "/-/stats")

    async def metrics(self, entry: EntryPlan) -> dict[str, float]:
        """Return the metrics of a daemon that have no labels."""
        answer = await self._pool.request(
            entry.address,
            self._plan.caller_port,
            "GET",
            "/-/metrics",
            timeout_s=CONTROL_TIMEOUT_S,
            limit_bytes=CONTROL_BYTES,
        )
        return parse_metrics(answer.body.decode())

    async def wait_ready(self, limit_s: float) -> bool:
        """Wait until every entry host is ready; return False after the limit."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while loop.time() < end_s:
            if all([await self.is_ready(entry) for entry in self._plan.entries]):
                return True
            await asyncio.sleep(READY_POLL_S)
        return False

    async def is_ready(self, entry: EntryPlan) -> bool:
        """Return what the readiness endpoint says."""
        try:
            answer = await self._pool.request(
                entry.address,
                self._plan.caller_port,
                "GET",
                "/-/ready",
                timeout_s=CONTROL_TIMEOUT_S,
                limit_bytes=CONTROL_BYTES,
            )
        except Exception:
            return False
        return answer.status == 200

    async def _request(
        self, port_of: list, method: str, path: str, body: bytes = b""
    ) -> dict:
        answer = await self._pool.request(
            port_of[0],
            port_of[1],
            method,
            path,
            [],
            body,
            timeout_s=CONTROL_TIMEOUT_S,
            limit_bytes=CONTROL_BYTES,
        )
        return json.loads(answer.body)


def parse_metrics(text: str) -> dict[str, float]:
    """Return the samples without labels of an exposition."""
    values = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        if name and not name.startswith("#") and "{" not in name:
            values[name] = float(value)
    return values
