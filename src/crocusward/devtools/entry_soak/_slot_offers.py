"""Slot requests of hosts that restart while they wait, over a slow network."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, cast

from ...desired import BackendEntry, EntryHost, RouteRule, WeightedService
from ...entryd._slot_broker import SlotBroker, make_first_token
from ...entryd._unanswering_hosts import UnansweringHosts
from ...logs import EventSampler
from ...neighbours import NeighbourEndpoint, SlotOffer, SlotRelease, SlotRequest
from ...placing import BackendLoad, Selection, SelectionRequest, SelectionVerdict
from ...relay import PermitAnswer
from ...timing import LoopTimer
from ..virtual_loop import VirtualLoop

SERVICES = ("orders", "stock")
ASKER, ANSWERER = "10.0.0.1", "10.0.0.2"
MAX_DELAY_S = 0.02  # of a datagram
TWICE_SHARE = 0.05  # of the datagrams that arrive twice
MAX_WAIT_S = 2.0
RESTART_SHARE = 0.15  # of the steps
STEP_S = 0.2
STEPS = 60
START_MS = 1_780_000_000_000
ROUTE = RouteRule(
    "place",
    "api.example",
    "/",
    idempotent=False,
    timeout_s=6.0,
    objective_s=1.0,
    priority=0,
    max_attempts=2,
    parts=[WeightedService(SERVICES[0], 1.0)],
)


class _Wire:
    """Endpoint of one process, whose datagrams come late, and sometimes twice."""

    def __init__(self, run: "SlotOfferRun", own: str) -> None:
        self._run = run
        self._own = own

    def send(
        self, message: SlotRequest | SlotRelease | SlotOffer, addresses: list[str]
    ) -> None:
        rng = self._run.rng
        for address in addresses:
            for _ in range(2 if rng.random() < TWICE_SHARE else 1):
                self._run.loop.call_later(
                    MAX_DELAY_S * rng.random(),
                    self._run.deliver,
                    message,
                    self._own,
                    address,
                )


class SlotOfferRun:
    """A host that asks for slots and restarts, and one that offers them.

    Args:
        seed: Seed of the run.

    Attributes:
        findings: Offers that were used for a request of another service.
        asked_count: Number of requests.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.findings: list[str] = []
        self.asked_count = 0
        self._start_ms = START_MS
        self._tasks: set[asyncio.Task[None]] = set()
        self._brokers: dict[str, SlotBroker] = {}

    def play(self) -> None:
        """Ask, restart and wait in any order."""
        asyncio.set_event_loop(self.loop)
        self._start(ANSWERER)
        self._start(ASKER)
        for _ in range(STEPS):
            if self.rng.random() < RESTART_SHARE:
                for task in self._tasks:
                    task.cancel()
                self._brokers[ASKER]._endpoint = cast(NeighbourEndpoint, _DeadWire())
                self._start(ASKER)
            for _ in range(self.rng.randrange(3)):
                self._spawn(self._ask(self.rng.choice(SERVICES)))
            self.loop.advance(STEP_S * self.rng.random())
        self.loop.advance(2.0 * MAX_WAIT_S)
        asyncio.set_event_loop(None)
        self.loop.close()

    def deliver(
        self, message: SlotRequest | SlotRelease | SlotOffer, sender: str, address: str
    ) -> None:
        """Hand a datagram to the process that has the address now."""
        self._brokers[address].handle_message(message, sender)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start(self, address: str) -> None:
        # The time of day may have been set back since the former process started.
        self._start_ms += self.rng.choice([-2000, 0, 300, 900])
        timer = LoopTimer(self.loop, self.rng)
        rng = random.Random(self.rng.random())
        self._brokers[address] = SlotBroker(
            timer,
            rng,
            EventSampler(timer.now, 0),
            cast(NeighbourEndpoint, _Wire(self, address)),
            self._reserve,
            lambda key: None,
            self._issue_no_permit,
            lambda sender: "",
            timer.now,
            make_first_token(self._start_ms, rng),
            lambda *limit: None,
            UnansweringHosts(timer.now),
        )

    async def _reserve(
        self, key: tuple[str, int], service: str, *request: object
    ) -> Selection:
        await asyncio.sleep(MAX_WAIT_S * self.rng.random())
        entry = BackendEntry(
            f"i-{service}", service, ("127.0.0.1", 1), "east-b", slots=2
        )
        return Selection(SelectionVerdict.PLACE, BackendLoad(entry, "east"))

    async def _issue_no_permit(self, *request: object) -> PermitAnswer:
        return PermitAnswer(None)

    async def _ask(self, service: str) -> None:
        self.asked_count += 1
        now_s = self.loop.time()
        req = SelectionRequest(
            f"q{self.asked_count}",
            ROUTE,
            service,
            objective_s=now_s + 1.0,
            deadline_s=now_s + MAX_WAIT_S,
            service_time_s=0.1,
        )
        broker = self._brokers[ASKER]
        slot = await broker.request_slot(
            req, "east-b#0", [EntryHost("h2", ANSWERER, "east-b")], True, MAX_WAIT_S
        )
        if slot is None:
            return
        if slot.backend != f"i-{service}":
            self.findings.append(f"{req.id} for {service} got {slot.backend}")
        try:
            await asyncio.sleep(0.1)
        finally:
            broker.release_slot(slot)


class _DeadWire:
    """Endpoint of a process that was killed."""

    def send(self, message: object, addresses: list[str]) -> None:
        """Drop a datagram."""
