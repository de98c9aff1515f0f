"""Permits by which an idle warming host lets a busy host warm a cold server."""

from collections.abc import Callable

from ..peer import Message, SlowStartPermit, SlowStartPermitRequest
from ..timing import TimerService
from ._slow_start_state import SlowStartState

PERMIT_REQUEST_PERIOD_S = 0.1
MIN_IDLE_S = 0.3  # time without a success before a warming host grants a permit
PERMIT_DEFER_S = 0.6  # hosts without the permit send nothing for this long
PERMIT_LIFETIME_S = 0.4  # counted from the request for the permit
PERMIT_RENEWAL_S = 0.25  # remaining lifetime from which a permit is renewed
MS_PER_S = 1000.0


class WarmupPermits:
    """Requests and grants short permits to warm a cold server.

    Without permits a queued request would wait until requests happen to arrive at
    the warming host of a cold server.

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

    def request_permit(self, state: SlowStartState, now_s: float) -> None:
        """Ask the warming host of a server for a permit, at most once per period."""
        if state.position <= 0 or now_s < state.permit_until_s - PERMIT_RENEWAL_S:
            return
        if now_s - state.last_claim_s >= PERMIT_REQUEST_PERIOD_S:
            state.last_claim_s = now_s
            asked_ms = int(now_s * MS_PER_S)
            self._broadcast(SlowStartPermitRequest(state.backend, asked_ms))

    def on_claim(
        self, state: SlowStartState, host: str, message: SlowStartPermitRequest
    ) -> None:
        """Grant a permit to a peer if this host is idle and no other peer has one."""
        now_s = self._timer.now()
        is_free = now_s >= state.defer_until_s or state.permit_host == host
        is_idle = now_s - state.last_success_s >= MIN_IDLE_S
        if state.position != 0 or not is_idle or not is_free:
            return
        state.permit_host = host
        state.defer_until_s = now_s + PERMIT_DEFER_S
        self._broadcast(SlowStartPermit(state.backend, host, message.asked_ms))

    def on_grant(
        self, state: SlowStartState, message: SlowStartPermit, *, is_from_first: bool
    ) -> bool:
        """Apply a granted permit; return whether it makes this host the warming host.

        The lifetime counts from the request, so a permit that was delayed in transit
        expires before the granting host uses the server again.

        Args:
            state: Slow-start state of the server.
            message: The permit.
            is_from_first: Whether the sender is first among the warming hosts.
        """
        now_s = self._timer.now()
        state.peer_progress_s = now_s
        if message.host != self._host:
            state.defer_until_s = max(state.defer_until_s, now_s + PERMIT_DEFER_S)
            return False
        if state.is_warm or not is_from_first:
            return False
        if now_s >= state.permit_until_s:
            state.own_allowance = max(1, state.allowance)
            state.reset_run()
        state.permit_until_s = message.asked_ms / MS_PER_S + PERMIT_LIFETIME_S
        return now_s < state.permit_until_s
