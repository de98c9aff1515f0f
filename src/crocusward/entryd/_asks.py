"""Asks other groups for places at their servers, and answers their questions."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from ..desired import KnownHost
from ..logs import EventSampler
from ..neighbours import (
    NeighbourEndpoint,
    PlaceAsk,
    PlaceDone,
    PlaceOffer,
)
from ..placing import Selection, SelectionRequest
from ..relay import FULL, KeptPlace
from ..timing import TimerService

ASK_FIRST_S = 0.1  # until the time of an answer is known
ASK_MARGIN_S = 0.06  # for a busy host, and for its probes before it answers
ASK_FACTOR = 1.5  # times the usual time of an answer
ASK_PAUSE_S = 2.0  # for which a host that did not answer is not asked
ASK_GAIN = 0.1  # weight of the newest answer in the usual time


class PlaceAsks:
    """Sends questions with a time limit each, and answers those of others.

    Args:
        timer: Source of time.
        rng: Chooses whom to ask.
        sampler: Logs questions and answers.
        endpoint: Sends messages.
        offer: Keeps a place at a backend server here for another group.
        end_offer: Gives such a place back.
    """

    __slots__ = (
        "_timer",
        "_rng",
        "_sampler",
        "_endpoint",
        "_offer",
        "_end_offer",
        "_answering",
        "_asked",
        "_usual_s",
        "_paused_until_s",
        "_token",
    )

    def __init__(
        self,
        timer: TimerService,
        rng: random.Random,
        sampler: EventSampler,
        endpoint: NeighbourEndpoint,
        offer: Callable[..., Awaitable[Selection | None]],
        end_offer: Callable[[tuple[str, int]], None],
    ) -> None:
        self._timer = timer
        self._rng = rng
        self._sampler = sampler
        self._endpoint = endpoint
        self._offer = offer
        self._end_offer = end_offer
        self._answering: set[asyncio.Task[None]] = set()
        self._asked: dict[int, asyncio.Future[PlaceOffer]] = {}
        self._usual_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}
        self._token = 0

    async def ask(
        self,
        place: SelectionRequest,
        group: str,
        hosts: Sequence[KnownHost],
        shared: bool,
        wait_s: float,
    ) -> KeptPlace | None:
        """Ask one of some hosts for a place at a server of its group.

        Returns:
            The place, or None if no answer came in time.
        """
        now_s = self._timer.now()
        awake = [h for h in hosts if self._paused_until_s.get(h.host, -1.0) < now_s]
        if not awake:
            return None
        host = self._rng.choice(awake)
        self._token += 1
        token = self._token
        ask = PlaceAsk(
            token, place.service, place.route.name, place.service_time_s, shared, wait_s
        )
        usual_s = self._usual_s.get(group, ASK_FIRST_S)
        found = await self._send(ask, host, wait_s + ASK_FACTOR * usual_s)
        if found is None:
            self._paused_until_s[host.host] = now_s + ASK_PAUSE_S
            self._sampler.log(
                "place_ask_unanswered", id=place.id, host=host.host, usual_s=usual_s
            )
            return None
        took_s = self._timer.now() - now_s
        if wait_s > 0.0:
            took_s = min(took_s, usual_s)  # the wait there is no part of the way
        self._usual_s[group] = usual_s + ASK_GAIN * (took_s - usual_s)
        self._sampler.log(
            "place_asked",
            id=place.id,
            host=host.host,
            backend=found.backend,
            took_s=took_s,
        )
        return KeptPlace(
            found.backend, host.address, token, found.pace, found.in_flight
        )

    async def _send(
        self, ask: PlaceAsk, host: KnownHost, timeout_s: float
    ) -> PlaceOffer | None:
        fut: asyncio.Future[PlaceOffer] = asyncio.get_running_loop().create_future()
        self._asked[ask.token] = fut
        self._endpoint.send(ask, [host.address])
        try:
            async with asyncio.timeout(timeout_s + ASK_MARGIN_S):
                return await fut
        except TimeoutError:
            return None
        finally:
            del self._asked[ask.token]

    def release(self, kept: KeptPlace) -> None:
        """Give a place of another group back."""
        self._endpoint.send(PlaceDone(kept.token), [kept.address])

    def take(self, message: PlaceAsk | PlaceDone | PlaceOffer, sender: str) -> None:
        """Take a question, an answer, or a place that is given back."""
        if isinstance(message, PlaceDone):
            self._end_offer((sender, message.token))
        elif isinstance(message, PlaceOffer):
            fut = self._asked.get(message.token)
            if fut is not None and not fut.done():
                fut.set_result(message)
            elif message.backend != FULL:
                # Nobody waits for it any more; the place there would stay taken.
                self._endpoint.send(PlaceDone(message.token), [sender])
        else:
            task = asyncio.get_running_loop().create_task(self._answer(message, sender))
            self._answering.add(task)
            task.add_done_callback(self._answering.discard)

    async def _answer(self, ask: PlaceAsk, sender: str) -> None:
        found = await self._offer(
            (sender, ask.token),
            ask.service,
            ask.route,
            ask.service_time_s,
            ask.shared,
            ask.wait_s,
        )
        answer = PlaceOffer(ask.token, FULL)
        if found is not None and found.load is not None:
            answer.backend = found.load.entry.id
            answer.pace = found.slowdown if found.is_slowdown_current else 0.0
            answer.in_flight = int(found.in_flight)
        self._endpoint.send(answer, [sender])
