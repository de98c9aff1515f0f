"""Probes the load of candidate servers just before one is selected."""

import asyncio
from collections.abc import Sequence

from ..desired import Directory
from ..logs import EventSampler
from ..neighbours import BackendObservation
from ..placing import BackendLoad, ServiceTimeModel
from ..timing import TimerService
from ._exchange import BackendClient
from ._notice_tracker import NoticeTracker
from ._rate_limits import RateLimitTracker

MAX_PROBE_WAIT_S = 0.03  # a slower probe would delay its request too much
ALIVE_PROBE_WAIT_S = 0.1  # allows for several round trips between regions
PROBE_TIMEOUT_S = 0.3
MIN_SAVING_FACTOR = 3.0  # least possible saving, as a multiple of the probe time
MAX_PROBE_ROUNDS = 4  # per selection
PROBE_TIME_EWMA_WEIGHT = 0.1  # weight of the latest probe
INITIAL_PROBE_TIME_S = 0.002  # estimate until a probe has been timed


class LoadProber:
    """Requests load reports of the best candidates before a selection.

    On shared machines the slowdown of some servers can change many times a second, so
    that the load reports in earlier answers are too old to select by. Servers are
    probed only where a probe costs little compared with what it may save.

    Args:
        timer: Source of time.
        directory: Provides the health paths of the services.
        times: Learned slowdown of the services.
        client: Sends the probes.
        sampler: Logs probes without an answer.
        rate_limits: Applies the rate limits that servers name.
        notices: Applies what servers tell this host about themselves.

    Attributes:
        probe_count: Number of probes sent so far.
    """

    __slots__ = (
        "probe_count",
        "_timer",
        "_directory",
        "_times",
        "_client",
        "_sampler",
        "_rate_limits",
        "_notices",
        "_probe_time_s",
        "_tasks",
    )

    def __init__(
        self,
        timer: TimerService,
        directory: Directory,
        times: ServiceTimeModel,
        client: BackendClient,
        sampler: EventSampler,
        rate_limits: RateLimitTracker,
        notices: NoticeTracker,
    ) -> None:
        self._sampler = sampler
        self._rate_limits = rate_limits
        self._notices = notices
        self.probe_count = 0
        self._timer = timer
        self._directory = directory
        self._times = times
        self._client = client
        self._probe_time_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[BackendObservation | None]] = set()

    def is_worthwhile(self, service: str, service_time_s: float) -> bool:
        """Return whether a probe may save much more time than it takes."""
        if not self._times.has_slowdown_reports(service):
            return False
        probe_time_s = self._probe_time_s.get(service, INITIAL_PROBE_TIME_S)
        spread = self._times.mean_slowdown(service) - self._times.low_slowdown(service)
        return spread * service_time_s > MIN_SAVING_FACTOR * probe_time_s

    async def refresh(
        self, loads: Sequence[BackendLoad], service: str, service_time_s: float
    ) -> bool:
        """Probe servers if it is worthwhile; return whether any has answered.

        Returns early with the first answer that reports a low slowdown.
        """
        if not loads or not self.is_worthwhile(service, service_time_s):
            return False
        pending = {self._start_probe(load, service) for load in loads}
        end_s = self._timer.now() + MAX_PROBE_WAIT_S
        has_answer = False
        while pending:
            done, pending = await asyncio.wait(
                pending,
                timeout=max(0.0, end_s - self._timer.now()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            reports = [report for task in done if (report := task.result()) is not None]
            has_answer = has_answer or bool(reports)
            good_slowdown = self._times.low_slowdown(service)
            if any(0.0 < report.slowdown <= good_slowdown for report in reports):
                break
        return has_answer

    async def is_alive(self, load: BackendLoad, service: str) -> bool:
        """Return whether a server answers a probe within ``ALIVE_PROBE_WAIT_S``."""
        task = self._start_probe(load, service)
        done, _ = await asyncio.wait({task}, timeout=ALIVE_PROBE_WAIT_S)
        return bool(done) and task.result() is not None

    def _start_probe(
        self, load: BackendLoad, service: str
    ) -> "asyncio.Task[BackendObservation | None]":
        task = asyncio.get_running_loop().create_task(self._probe(load, service))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _probe(
        self, load: BackendLoad, service: str
    ) -> BackendObservation | None:
        """Probe a server and record what it reports."""
        state = self._directory.state
        rule = state.services.get(service) if state else None
        if rule is None:
            return None
        self.probe_count += 1
        began_s = self._timer.now()
        observation = await self._client.probe(load, rule.health_path, PROBE_TIMEOUT_S)
        now_s = self._timer.now()
        probe_time_s = self._probe_time_s.get(service, INITIAL_PROBE_TIME_S)
        self._probe_time_s[service] = probe_time_s + PROBE_TIME_EWMA_WEIGHT * (
            now_s - began_s - probe_time_s
        )
        if observation is None:
            load.probe_missed_s = now_s
            self._sampler.log(
                "backend_probe_missed",
                backend=load.entry.id,
                service=service,
                took_s=now_s - began_s,
                in_flight=load.in_flight(now_s),
            )
            return None
        load.observe(observation, now_s)
        self._rate_limits.observe(load, observation)
        self._notices.observe(load, observation)
        self._times.observe_slowdown(service, observation.slowdown)
        return observation
