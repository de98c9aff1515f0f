"""Planned stop: ends the intake, waits for what it let in, then closes."""

from typing import Any, cast

from ..logs import log_event
from ..relay import STOPPING_RETRY_AFTER_S, Listener, Relay, make_refusal
from ..timing import TimerService

STOP_NOTICE_S = 2.6  # the platform checks once a second and needs two failed checks
MAX_NOTICE_SHARE = 0.5  # of the grace time
INTAKE_SHARE = 0.7  # of the grace time, after which the intake ends in any case
QUIET_INTAKE_S = 0.5  # without a new connection, callers are no longer sent here
STOP_MARGIN_S = 0.3  # left unused at the end of the grace time
MAX_MARGIN_SHARE = 0.15  # of the grace time
LAST_ANSWERS_S = 0.1  # of the margin, to write the last answers
STOP_POLL_S = 0.05


class StopSchedule:
    """Decides when a stopping host ends its intake, and when it must be done.

    A host that has no connection at some moment may get one at the next, since callers
    are still sent to a stopping host while most others are stopping too.

    Args:
        began_s: When the stop began, in monotonic seconds.
        grace_s: Time from then on until the process is killed, in seconds.

    Attributes:
        notice_end_s: Until when the intake stays open in any case.
        intake_end_s: When it ends in any case.
        end_s: When all requests must have been answered.
    """

    __slots__ = ("notice_end_s", "intake_end_s", "end_s")

    def __init__(self, began_s: float, grace_s: float) -> None:
        self.notice_end_s = began_s + min(STOP_NOTICE_S, MAX_NOTICE_SHARE * grace_s)
        self.intake_end_s = began_s + INTAKE_SHARE * grace_s
        margin_s = min(STOP_MARGIN_S, MAX_MARGIN_SHARE * grace_s)
        self.end_s = began_s + grace_s - margin_s

    def is_intake_over(
        self, now_s: float, *, is_open: bool, last_opened_s: float
    ) -> bool:
        """Return whether to accept no more connections.

        Args:
            now_s: Monotonic time.
            is_open: Whether any connection is open.
            last_opened_s: When a connection was last accepted.
        """
        if now_s >= self.intake_end_s:
            return True
        is_quiet = not is_open and now_s - last_opened_s >= QUIET_INTAKE_S
        return is_quiet and now_s >= self.notice_end_s


class PlannedStop:
    """Stops the traffic of a host without cutting a request.

    Args:
        timer: Source of time.
        listener: Accepts the callers.
        relay: Answers their requests.
        grace_s: Time until the process is killed, in seconds.
    """

    __slots__ = ("_timer", "_listener", "_relay", "_schedule", "_began_s")

    def __init__(
        self, timer: TimerService, listener: Listener, relay: Relay, grace_s: float
    ) -> None:
        self._timer = timer
        self._listener = listener
        self._relay = relay
        self._began_s = timer.now()
        self._schedule = StopSchedule(self._began_s, grace_s)
        relay.stops_at_s = self._schedule.end_s

    async def run(self) -> None:
        """Return once all requests are answered, or at the end of the grace time."""
        listener, schedule = self._listener, self._schedule
        accepted = listener.accepted
        await self._timer.sleep(schedule.notice_end_s - self._began_s)
        while not schedule.is_intake_over(
            self._timer.now(),
            is_open=listener.is_open,
            last_opened_s=listener.last_opened_s,
        ):
            listener.drain()
            await self._timer.sleep(STOP_POLL_S)
        before = listener.accepted
        await listener.end_intake()
        log_event(
            "intake_ended",
            after_s=self._timer.now() - self._began_s,
            accepted=listener.accepted - accepted,
            queued=listener.accepted - before,
            connections=len(listener.connections),
            pending=listener.pending,
        )
        while listener.is_open and self._timer.now() < schedule.end_s:
            listener.drain()
            listener.close_idle()
            await self._timer.sleep(STOP_POLL_S)
        if listener.is_open:
            await self._end_last_requests()
        cut = listener.pending
        self._relay.stop_requests["cut"] += cut
        log_event(
            "stopped",
            took_s=self._timer.now() - self._began_s,
            connections=len(listener.connections),
            **cast(dict[str, Any], self._relay.stop_requests),
        )

    async def _end_last_requests(self) -> None:
        """Answer what could not end in time, and what was not read to its end."""
        self._relay.end_calls()
        refusal = make_refusal(
            503, "stopping", retry_after_s=STOPPING_RETRY_AFTER_S, close=True
        )
        self._listener.refuse_incomplete(refusal)
        await self._timer.sleep(LAST_ANSWERS_S)
