"""Rate-limited and cold backend servers, and the clients of the hosts that use them."""

import asyncio

from ...neighbours import BackendObservation, ObservationKind
from ...relay import CallerAnswer, Evidence, Exchange, ExchangeEnd

STABILITY_S = 3.0  # from the first answer that names a limit until it binds
TOLD_S = 0.5  # from an answer to a host until its requests count
WINDOW_S = 4.0
FALL_S = 2.0  # until a lower limit counts; it is learned from an answer
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
WORK_S = 0.2
SLOTS = 2
QUEUE = 2
COLD_S = 3.0  # of a server that has just started
COLD_RATE_PER_S = 3.0
COLD_WINDOW_S = 1.0
COLD_WORK_FACTOR = 2.0


class Arrival:
    """One request at a server."""

    __slots__ = ("at_s", "host", "was_told")

    def __init__(self, at_s, host, was_told):
        self.at_s = at_s
        self.host = host
        self.was_told = was_told


class LimitedServer:
    """A backend server whose limit changes by a schedule of (time, limit)."""

    def __init__(self, id, data_centre, schedule=()):
        self.id = id
        self.data_centre = data_centre
        self.schedule = list(schedule)
        self.arrivals = []
        self.told_s = {}
        self.first_named_s = None
        self.running = 0
        self.waiting = 0

    def has_started(self, now_s):
        return True

    def cold_left_s(self, now_s):
        return 0.0

    def limit(self, now_s):
        found = 0.0
        for at_s, per_s in self.schedule:
            if at_s <= now_s:
                found = per_s
        return found

    def _counted_limit(self, now_s):
        """Return the highest limit of the last moments."""
        steps = [now_s - FALL_S, *(at for at, _ in self.schedule), now_s]
        recent = [at for at in steps if now_s - FALL_S <= at <= now_s]
        limits = [self.limit(at) for at in recent]
        return 0.0 if 0.0 in limits else max(limits)

    def breaches(self):
        """Return a text for each window with more requests than allowed."""
        found: list[str] = []
        if self.first_named_s is None:
            return found
        for last in self.arrivals:
            start_s = last.at_s - WINDOW_S
            if start_s < self.first_named_s + STABILITY_S:
                continue
            steps = [start_s + WINDOW_S * index / 8 for index in range(9)]
            limits = [self._counted_limit(at_s) for at_s in steps]
            if not all(limits):
                continue
            count = sum(
                start_s < item.at_s <= last.at_s and item.was_told
                for item in self.arrivals
            )
            allowed = ALLOWED_FACTOR * WINDOW_S * max(limits) + ALLOWED_EXTRA
            if count > allowed:
                found.append(
                    f"{self.id} got {count} in the {WINDOW_S:g} s to {last.at_s:.2f},"
                    f" {allowed:g} allowed"
                )
        return found


class ColdServer(LimitedServer):
    """A backend server that starts, or turns cold again, at some time.

    Args:
        id: Id of the server.
        data_centre: Its data centre.
        cold_from_s: When it starts or turns cold, in seconds since all hosts are up.
        is_new: Whether it starts then; otherwise it was warm before.
    """

    def __init__(self, id, data_centre, cold_from_s, *, is_new=True):
        super().__init__(id, data_centre)
        self.cold_from_s = cold_from_s
        self.is_new = is_new

    def has_started(self, now_s):
        return not self.is_new or now_s >= self.cold_from_s

    def cold_left_s(self, now_s):
        if now_s < self.cold_from_s:
            return 0.0
        return max(0.0, self.cold_from_s + COLD_S - now_s)

    def most_while_cold(self):
        """Return the most requests in one second of its cold time."""
        times = [
            item.at_s
            for item in self.arrivals
            if self.cold_from_s <= item.at_s <= self.cold_from_s + COLD_S
        ]
        return max(
            (sum(end - COLD_WINDOW_S < at <= end for at in times) for end in times),
            default=0,
        )


class FakeClient:
    """Sends the requests of one host to the servers of the fleet."""

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host

    def idle_connections(self, load):
        return 1

    def drop_idle_connections(self, load):
        pass

    async def _travel(self, server):
        await self._host.thaw()
        await asyncio.sleep(self._fleet.delay_s(self._host, server))

    async def send(self, load, req, time_left_s, *, before_write):
        before_write()
        fleet, host = self._fleet, self._host
        server = fleet.servers[load.entry.id]
        asked_s = fleet.loop.time()
        observation = BackendObservation(server.id, ObservationKind.REFUSED)
        try:
            async with asyncio.timeout(time_left_s):
                await self._travel(server)
                if host.is_dead:
                    await asyncio.sleep(time_left_s + 1.0)
                end = await self._run(server, observation)
                await self._travel(server)
        except TimeoutError:
            observation.kind = ObservationKind.SILENT
            return Exchange(ExchangeEnd.UNKNOWN, observation, reason="not in time")
        self._read_limit(server, observation, asked_s)
        if end is ExchangeEnd.NOT_RUN:
            return Exchange(
                end,
                observation,
                reason="refused with 503",
                evidence=Evidence.OWN_REFUSAL,
            )
        observation.kind = ObservationKind.ANSWERED
        return Exchange(
            end,
            observation,
            CallerAnswer(200),
            "status 200",
            evidence=Evidence.OWN_ANSWER,
        )

    async def _run(self, server, observation):
        fleet = self._fleet
        now_s = fleet.loop.time()
        told_s = server.told_s.get(self._host.name)
        was_told = told_s is not None and now_s - told_s >= TOLD_S
        server.arrivals.append(Arrival(now_s, self._host.name, was_told))
        if server.running + server.waiting >= SLOTS + QUEUE:
            end = ExchangeEnd.NOT_RUN
        else:
            server.waiting += 1
            while server.running >= SLOTS:
                await asyncio.sleep(0.01)
            server.waiting -= 1
            server.running += 1
            is_cold = server.cold_left_s(now_s) > 0.0
            work_s = WORK_S * (COLD_WORK_FACTOR if is_cold else 1.0)
            try:
                await asyncio.sleep(work_s * (0.7 + 0.6 * fleet.rng.random()))
            finally:
                server.running -= 1
            end = ExchangeEnd.ANSWERED
        observation.running = server.running
        observation.waiting = server.waiting
        observation.slowdown = 1.0
        observation.rate_limit_per_s = server.limit(fleet.loop.time())
        if observation.rate_limit_per_s and server.first_named_s is None:
            server.first_named_s = fleet.loop.time()
        return end

    def _read_limit(self, server, observation, asked_s):
        observation.asked_s = asked_s
        observation.answered_s = self._fleet.loop.time()
        if observation.rate_limit_per_s:
            server.told_s.setdefault(self._host.name, observation.answered_s)

    async def probe(self, load, path, timeout_s):
        server = self._fleet.servers[load.entry.id]
        asked_s = self._fleet.loop.time()
        observation = BackendObservation(server.id, ObservationKind.REFUSED)
        try:
            async with asyncio.timeout(timeout_s):
                await self._travel(server)
                if self._host.is_dead:
                    await asyncio.sleep(timeout_s + 1.0)
                observation.running = server.running
                observation.waiting = server.waiting
                observation.slowdown = 1.0
                now_s = self._fleet.loop.time()
                observation.rate_limit_per_s = server.limit(now_s)
                observation.cold_left_s = server.cold_left_s(now_s)
                await self._travel(server)
        except TimeoutError:
            return None
        self._read_limit(server, observation, asked_s)
        return observation
