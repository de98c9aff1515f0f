"""Probes the pace of the servers of a choice just before it is made."""

import asyncio

from ..desired import Directory
from ..placing import BackendLoad, Choice, WorkTimes
from ..timing import TimerService
from ._exchange import BackendLink

FRESH_S = 0.05  # a pace reported within this time is not asked for again
PROBE_WAIT_S = 0.01  # a probe that takes longer is no help to the request
PROBE_TIMEOUT_S = 0.3
PROBE_WORTH = 3.0  # times the time of a probe that a good pace must save
PROBE_GAIN = 0.1  # weight of the newest probe in the usual time of one
FIRST_PROBE_S = 0.002  # until the time of a probe is known


class PaceProber:
    """Asks the best servers of a choice for their load and pace.

    Answers loads in which shared machines slow a part of the servers many times a
    second, so that reports in answers are too old to choose by. It probes only where
    a probe costs little beside what it saves, and only over open connections.

    Args:
        timer: Source of time.
        directory: Health paths of the services.
        times: Usual speed of the services.
        link: Sends the probes.
    """

    __slots__ = (
        "probes",
        "_timer",
        "_directory",
        "_times",
        "_link",
        "_cost_s",
        "_tasks",
    )

    def __init__(
        self,
        timer: TimerService,
        directory: Directory,
        times: WorkTimes,
        link: BackendLink,
    ) -> None:
        self.probes = 0
        self._timer = timer
        self._directory = directory
        self._times = times
        self._link = link
        self._cost_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def pays(self, service: str) -> bool:
        """Return whether a probe saves more than it costs."""
        cost_s = self._cost_s.get(service, FIRST_PROBE_S)
        return self._times.pace_gain_s(service) > PROBE_WORTH * cost_s

    async def refresh(self, choice: Choice, service: str) -> bool:
        """Probe the servers of a choice; return whether any has answered."""
        if choice.load is None or not choice.runners_up or not self.pays(service):
            return False
        now_s = self._timer.now()
        tasks = [
            asyncio.get_running_loop().create_task(self._probe(load, service))
            for load in (choice.load, *choice.runners_up)
            if load.pace_age_s(now_s) > FRESH_S and self._link.idle_connections(load)
        ]
        if not tasks:
            return False
        for task in tasks:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        done, _ = await asyncio.wait(tasks, timeout=PROBE_WAIT_S)
        return bool(done)

    async def _probe(self, load: BackendLoad, service: str) -> None:
        state = self._directory.state
        rule = state.services.get(service) if state else None
        if rule is None:
            return
        self.probes += 1
        began_s = self._timer.now()
        seen = await self._link.probe(load, rule.health_path, PROBE_TIMEOUT_S)
        now_s = self._timer.now()
        cost_s = self._cost_s.get(service, FIRST_PROBE_S)
        self._cost_s[service] = cost_s + PROBE_GAIN * (now_s - began_s - cost_s)
        if seen is not None:
            load.observe(seen, now_s)
            if seen.pace > 0.0:
                self._times.observe_pace(service, seen.pace)
