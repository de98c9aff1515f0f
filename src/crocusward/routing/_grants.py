"""Lets a host with work warm a server whose warming host is idle."""

from collections.abc import Callable

from ..peer import Message, SlowStartPermit, SlowStartPermitRequest
from ..timing import TimerService
from ._warm_state import WarmState

ASK_PERIOD_S = 0.1
IDLE_S = 0.3  # without a success, after which a warming host grants
GRANT_HOLD_S = 0.6  # how long the grantor keeps from the server
GRANT_S = 0.4  # how long the grant lasts, from when it was asked for
GRANT_RENEW_S = 0.25
MS_PER_S = 1000.0


class Grants:
    """Asks for cold servers, and gives them away for a short time.

    Without grants a request would wait until requests happen to arrive at the
    warming host of a cold server.

    Args:
        timer: Source of time.
        host: Name of this host.
        broadcast: Sends a message to all peers.
    """

    __slots__ = ("_timer", "_host", "_broadcast")

    def __init__(
        self,
        timer: TimerService,
        host: str,
        broadcast: Callable[[Message], object],
    ) -> None:
        self._timer = timer
        self._host = host
        self._broadcast = broadcast

    def ask(self, state: WarmState, now_s: float) -> None:
        """Ask the warming host of a server to let this host warm it."""
        if state.position <= 0 or now_s < state.granted_until_s - GRANT_RENEW_S:
            return
        if now_s - state.asked_s >= ASK_PERIOD_S:
            state.asked_s = now_s
            asked_ms = int(now_s * MS_PER_S)
            self._broadcast(SlowStartPermitRequest(state.backend, asked_ms))

    def claimed(
        self, state: WarmState, host: str, message: SlowStartPermitRequest
    ) -> None:
        """Grant a server to a peer, unless this host warms it or another one may."""
        now_s = self._timer.now()
        is_free = now_s >= state.yield_until_s or state.granted_to == host
        is_idle = now_s - state.active_s >= IDLE_S
        if state.position != 0 or not is_idle or not is_free:
            return
        state.granted_to = host
        state.yield_until_s = now_s + GRANT_HOLD_S
        self._broadcast(SlowStartPermit(state.backend, host, message.asked_ms))

    def granted(
        self, state: WarmState, message: SlowStartPermit, *, by_first: bool
    ) -> bool:
        """Take over a grant; return whether it is for this host.

        It is dated by when this host asked, so a grant that was delayed on the way
        ends before the grantor uses the server again.

        Args:
            state: State of the server.
            message: The grant.
            by_first: Whether it comes from the first of the warming hosts.
        """
        now_s = self._timer.now()
        state.heard_s = now_s
        if message.host != self._host:
            state.yield_until_s = max(state.yield_until_s, now_s + GRANT_HOLD_S)
            return False
        if state.is_warm or not by_first:
            return False
        if now_s >= state.granted_until_s:
            state.ramp = max(1, state.allowance)
            state.end_run()
        state.granted_until_s = message.asked_ms / MS_PER_S + GRANT_S
        return now_s < state.granted_until_s
