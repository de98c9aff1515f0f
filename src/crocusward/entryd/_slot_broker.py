"""Requests slots at backend servers of other groups and serves such requests."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from ..desired import EntryHost
from ..logs import EventSampler
from ..neighbours import (
    NeighbourEndpoint,
    SlotOffer,
    SlotRelease,
    SlotRequest,
)
from ..placing import PERMIT_LIFETIME_S, Selection, SelectionRequest
from ..relay import NO_FREE_SLOT, PermitAnswer, ReservedSlot
from ..timing import TimerService
from ._unanswering_hosts import UnansweringHosts

INITIAL_REPLY_TIME_S = 0.1  # assumed for a group before its first answer
REPLY_MARGIN_S = 0.06  # for a busy host, and for the probes it makes before it answers
REPLY_TIMEOUT_FACTOR = 1.5  # times the average reply time of the group
REPLY_TIME_WEIGHT = 0.1  # of the newest answer in the moving average
TOKEN_SPREAD_BITS = 22  # below the start time in a first token; it fits in 63 bits


class _PendingOffer:
    """A slot request that waits for its answer.

    Attributes:
        address: IP address of the host that was asked.
        fut: Receives the offer.
    """

    __slots__ = ("address", "fut")

    def __init__(self, address: str, fut: asyncio.Future[SlotOffer]) -> None:
        self.address = address
        self.fut = fut


def make_first_token(incarnation: int, rng: random.Random) -> int:
    """Return the first number of the slot requests of a process.

    Offers outlive the process that asked for them, so the numbers of two processes at
    the same address must differ, also if the time of day was set back between them.

    Args:
        incarnation: Start time of the process, Unix time in milliseconds.
        rng: Distinguishes processes with the same start time.
    """
    return (incarnation << TOKEN_SPREAD_BITS) + rng.getrandbits(TOKEN_SPREAD_BITS)


class SlotBroker:
    """Sends slot requests with a time-out and answers those of other groups.

    Args:
        timer: Source of time.
        rng: Chooses the host that gets a request.
        sampler: Logs slot requests and their outcome.
        endpoint: Sends messages.
        reserve_slot: Reserves a slot at a backend server of this group.
        cancel_reservation: Releases such a slot.
        issue_permit: Issues a permit for a rate-limited server to a neighbour.
        neighbour_at: Returns the neighbour with an IP address, "" if there is none.
        limit_clock: Clock of rate limits, in seconds.
        first_token: Number of the first slot request, see ``make_first_token``.
        on_limit: Called with a host, the server that it offers, the rate limit of that
            server in requests per second, and the age of that knowledge in seconds.
        unanswering: Hosts that leave requests unanswered.

    Attributes:
        ignored_offers: Number of offers that were not used, by reason: "not_awaited"
            or "other_sender".
    """

    __slots__ = (
        "ignored_offers",
        "_timer",
        "_rng",
        "_sampler",
        "_endpoint",
        "_reserve_slot",
        "_cancel_reservation",
        "_issue_permit",
        "_neighbour_at",
        "_limit_clock",
        "_on_limit",
        "_answer_tasks",
        "_pending_offers",
        "_held_tokens",
        "_reply_times_s",
        "_unanswering",
        "_last_token",
    )

    def __init__(
        self,
        timer: TimerService,
        rng: random.Random,
        sampler: EventSampler,
        endpoint: NeighbourEndpoint,
        reserve_slot: Callable[..., Awaitable[Selection | None]],
        cancel_reservation: Callable[[tuple[str, int]], None],
        issue_permit: Callable[..., Awaitable[PermitAnswer]],
        neighbour_at: Callable[[str], str],
        limit_clock: Callable[[], float],
        first_token: int,
        on_limit: Callable[[EntryHost, str, float, float], object],
        unanswering: UnansweringHosts,
    ) -> None:
        self.ignored_offers = {"not_awaited": 0, "other_sender": 0}
        self._timer = timer
        self._rng = rng
        self._sampler = sampler
        self._endpoint = endpoint
        self._reserve_slot = reserve_slot
        self._cancel_reservation = cancel_reservation
        self._issue_permit = issue_permit
        self._neighbour_at = neighbour_at
        self._limit_clock = limit_clock
        self._on_limit = on_limit
        self._answer_tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._pending_offers: dict[int, _PendingOffer] = {}
        self._held_tokens: set[int] = set()  # of slots in use
        self._reply_times_s: dict[str, float] = {}
        self._unanswering = unanswering
        self._last_token = first_token

    async def request_slot(
        self,
        req: SelectionRequest,
        group: str,
        hosts: Sequence[EntryHost],
        can_share: bool,
        max_wait_s: float,
        *,
        is_permit: bool = False,
    ) -> ReservedSlot | None:
        """Request a slot at a server of a group from one of its hosts.

        A permit, or a slot at a limited server, counts from its issue, so one that is
        read late, after this host was suspended for a while, has expired.

        Args:
            req: The request to place.
            group: Name of the group.
            hosts: Hosts of the group.
            can_share: Whether a server that already has requests is acceptable.
            max_wait_s: How long the host may wait for a free slot.
            is_permit: Whether to request a permit for a rate-limited server, from the
                coordinator of this group.

        Returns:
            The offered slot, with the server ``NO_FREE_SLOT`` if there is none; or None
            if the host did not answer in time, or no host may be asked at present.
        """
        event = "permit" if is_permit else "place"
        now_s = self._timer.now()
        responsive = self._unanswering.list_responsive(hosts)
        if not responsive:
            return None
        host = self._rng.choice(responsive)
        self._last_token += 1
        token = self._last_token
        request = SlotRequest(
            token,
            req.service,
            req.route.name,
            req.service_time_s,
            can_share,
            max_wait_s,
            req.id if is_permit else "",
        )
        asked_s = self._limit_clock()
        reply_time_s = self._reply_times_s.get(group, INITIAL_REPLY_TIME_S)
        offer = await self._send_request(
            request, host, max_wait_s + REPLY_TIMEOUT_FACTOR * reply_time_s
        )
        if offer is None:
            self._unanswering.note_unanswered(host.address)
            self._sampler.log(
                f"{event}_ask_unanswered",
                id=req.id,
                host=host.host,
                usual_s=reply_time_s,
            )
            return None
        took_s = self._timer.now() - now_s
        if max_wait_s > 0.0:
            took_s = min(took_s, reply_time_s)  # leaves out the wait for a slot
        self._reply_times_s[group] = reply_time_s + REPLY_TIME_WEIGHT * (
            took_s - reply_time_s
        )
        self._sampler.log(
            f"{event}_asked",
            id=req.id,
            host=host.host,
            backend=offer.backend,
            took_s=took_s,
            retry_after_s=offer.retry_after_s,
        )
        if offer.backend != NO_FREE_SLOT and not is_permit:
            self._held_tokens.add(token)
        if offer.limit_age_s >= 0.0:
            # The answer may have been read late, so its age counts from the request on.
            age_s = offer.limit_age_s + self._limit_clock() - asked_s
            self._on_limit(host, offer.backend, offer.limit_per_s, age_s)
        return ReservedSlot(
            offer.backend,
            host.address,
            token,
            offer.slowdown,
            offer.in_flight,
            offer.retry_after_s,
            asked_s + offer.waited_s + PERMIT_LIFETIME_S,
            offer.permit_per_s,
            is_permit,
        )

    async def _send_request(
        self, request: SlotRequest, host: EntryHost, timeout_s: float
    ) -> SlotOffer | None:
        fut: asyncio.Future[SlotOffer] = asyncio.get_running_loop().create_future()
        self._pending_offers[request.token] = _PendingOffer(host.address, fut)
        self._endpoint.send(request, [host.address])
        try:
            async with asyncio.timeout(timeout_s + REPLY_MARGIN_S):
                return await fut
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            # The request no longer waits there.
            self._endpoint.send(SlotRelease(request.token), [host.address])
            raise
        finally:
            del self._pending_offers[request.token]

    def release_slot(self, slot: ReservedSlot) -> None:
        """Release a slot that another group reserved."""
        self._held_tokens.discard(slot.token)
        self._endpoint.send(SlotRelease(slot.token), [slot.address])

    def handle_message(
        self, message: SlotRequest | SlotRelease | SlotOffer, sender: str
    ) -> None:
        """Handle a slot request, offer or release from another host."""
        key = (sender, message.token)
        if isinstance(message, SlotRelease):
            answer_task = self._answer_tasks.get(key)
            if answer_task is not None:
                answer_task.cancel()
            self._cancel_reservation(key)
        elif isinstance(message, SlotOffer):
            self._handle_offer(message, sender)
        elif key not in self._answer_tasks:  # else a datagram that came twice
            task = asyncio.get_running_loop().create_task(
                self._answer_request(message, sender)
            )
            self._answer_tasks[key] = task
            task.add_done_callback(lambda _: self._answer_tasks.pop(key, None))

    def _handle_offer(self, offer: SlotOffer, sender: str) -> None:
        """Hand an offer to the request that waits for it, or give the slot back."""
        pending = self._pending_offers.get(offer.token)
        if pending is not None and pending.address != sender:
            self._ignore_offer(offer, sender, "other_sender")
        elif pending is not None and not pending.fut.done():
            pending.fut.set_result(offer)
        elif pending is None and offer.token not in self._held_tokens:
            # The request is gone, or was sent by a former process of this host.
            self._ignore_offer(offer, sender, "not_awaited")

    def _ignore_offer(self, offer: SlotOffer, sender: str, reason: str) -> None:
        if offer.backend == NO_FREE_SLOT:
            return
        self.ignored_offers[reason] += 1
        self._sampler.log(
            "slot_offer_ignored",
            sender=sender,
            token=offer.token,
            backend=offer.backend,
            reason=reason,
        )
        # The reserved slot must not stay occupied.
        self._endpoint.send(SlotRelease(offer.token), [sender])

    async def _answer_request(self, request: SlotRequest, sender: str) -> None:
        neighbour = self._neighbour_at(sender)
        if request.request_id and not neighbour:
            # A permit is not a slot: its sender would never release one.
            self._endpoint.send(SlotOffer(request.token, NO_FREE_SLOT), [sender])
            return
        if neighbour:
            await self._answer_permit_request(request, neighbour, sender)
            return
        received_s = self._limit_clock()
        selection = await self._reserve_slot(
            (sender, request.token),
            request.service,
            request.route,
            request.service_time_s,
            request.can_share,
            request.max_wait_s,
        )
        offer = SlotOffer(request.token, NO_FREE_SLOT)
        offer.waited_s = self._limit_clock() - received_s
        if selection is not None and selection.load is not None:
            offer.backend = selection.load.entry.id
            offer.slowdown = (
                selection.slowdown if selection.is_slowdown_current else 0.0
            )
            offer.in_flight = int(selection.in_flight)
            load = selection.load
            offer.permit_per_s = load.limit_per_s(self._timer.now())
            if load.rate_limit.is_known:
                offer.limit_per_s = load.rate_limit.per_s
                offer.limit_age_s = max(
                    0.0, self._limit_clock() - load.rate_limit.known_s
                )
        self._endpoint.send(offer, [sender])

    async def _answer_permit_request(
        self, request: SlotRequest, neighbour: str, sender: str
    ) -> None:
        """Answer a host of this group, which needs a slot only at a limited server."""
        received_s = self._limit_clock()
        answer = await self._issue_permit(
            neighbour,
            request.request_id,
            request.service,
            request.route,
            request.service_time_s,
            request.max_wait_s,
        )
        offer = SlotOffer(request.token, NO_FREE_SLOT)
        offer.waited_s = self._limit_clock() - received_s
        if answer.load is None:
            offer.retry_after_s = answer.retry_after_s
        else:
            offer.backend = answer.load.entry.id
            offer.in_flight = int(answer.in_flight)
        self._endpoint.send(offer, [sender])
