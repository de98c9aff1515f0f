"""Probes the pace of the servers of a choice just before it is made."""

import asyncio
from collections.abc import Sequence

from ..desired import Directory
from ..logs import EventSampler
from ..neighbours import BackendObservation
from ..placing import BackendLoad, ServiceTimeModel
from ..timing import TimerService
from ._exchange import BackendLink

PROBE_WAIT_S = 0.03  # a probe that takes longer is no help to the request
ALIVE_WAIT_S = 0.1  # some round trips between regions
PROBE_TIMEOUT_S = 0.3
PROBE_WORTH = 3.0  # times the time of a probe that a good pace must save
MAX_ROUNDS = 4  # of probes for one choice
PROBE_GAIN = 0.1  # weight of the newest probe in the usual time of one
FIRST_PROBE_S = 0.002  # until the time of a probe is known


class PaceProber:
    """Asks the best servers of a choice for their load and pace.

    Answers loads in which shared machines slow a part of the servers many times a
    second, so that reports in answers are too old to choose by. It probes only where
    a probe costs little beside what it saves.

    Args:
        timer: Source of time.
        directory: Health paths of the services.
        times: Usual speed of the services.
        link: Sends the probes.
        sampler: Logs probes without an answer.
    """

    __slots__ = (
        "probes",
        "_timer",
        "_directory",
        "_times",
        "_link",
        "_sampler",
        "_cost_s",
        "_tasks",
    )

    def __init__(
        self,
        timer: TimerService,
        directory: Directory,
        times: ServiceTimeModel,
        link: BackendLink,
        sampler: EventSampler,
    ) -> None:
        self._sampler = sampler
        self.probes = 0
        self._timer = timer
        self._directory = directory
        self._times = times
        self._link = link
        self._cost_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[BackendObservation | None]] = set()

    def pays(self, service: str, service_time_s: float) -> bool:
        """Return whether a probe saves more than it costs."""
        if not self._times.has_slowdown_reports(service):
            return False
        cost_s = self._cost_s.get(service, FIRST_PROBE_S)
        spread = self._times.mean_slowdown(service) - self._times.low_slowdown(service)
        return spread * service_time_s > PROBE_WORTH * cost_s

    async def refresh(
        self, loads: Sequence[BackendLoad], service: str, service_time_s: float
    ) -> bool:
        """Probe servers if it pays; return whether any has answered.

        Returns with the first answer that reports a good pace.
        """
        if not loads or not self.pays(service, service_time_s):
            return False
        pending = {self._start(load, service) for load in loads}
        end_s = self._timer.now() + PROBE_WAIT_S
        has_answer = False
        while pending:
            done, pending = await asyncio.wait(
                pending,
                timeout=max(0.0, end_s - self._timer.now()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            found = [seen for task in done if (seen := task.result()) is not None]
            has_answer = has_answer or bool(found)
            good_pace = self._times.low_slowdown(service)
            if any(0.0 < seen.slowdown <= good_pace for seen in found):
                break
        return has_answer

    async def is_alive(self, load: BackendLoad, service: str) -> bool:
        """Return whether a server answers a probe soon."""
        task = self._start(load, service)
        done, _ = await asyncio.wait({task}, timeout=ALIVE_WAIT_S)
        return bool(done) and task.result() is not None

    def _start(
        self, load: BackendLoad, service: str
    ) -> "asyncio.Task[BackendObservation | None]":
        task = asyncio.get_running_loop().create_task(self._probe(load, service))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _probe(
        self, load: BackendLoad, service: str
    ) -> BackendObservation | None:
        """Probe a server and take over what it reports."""
        state = self._directory.state
        rule = state.services.get(service) if state else None
        if rule is None:
            return None
        self.probes += 1
        began_s = self._timer.now()
        seen = await self._link.probe(load, rule.health_path, PROBE_TIMEOUT_S)
        now_s = self._timer.now()
        cost_s = self._cost_s.get(service, FIRST_PROBE_S)
        self._cost_s[service] = cost_s + PROBE_GAIN * (now_s - began_s - cost_s)
        if seen is None:
            load.probe_missed_s = now_s
            self._sampler.log(
                "backend_probe_missed",
                backend=load.entry.id,
                service=service,
                took_s=now_s - began_s,
                in_flight=load.in_flight(now_s),
            )
            return None
        load.observe(seen, now_s)
        self._times.observe_slowdown(service, seen.slowdown)
        return seen
