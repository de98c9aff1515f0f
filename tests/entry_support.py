"""Builders of desired states and backend servers, and a relay on loopback."""

import asyncio
import random

from crocusward.crashes import CrashRegistry
from crocusward.desired import (
    BackendEntry,
    CallerLimits,
    DesiredState,
    Directory,
    RouteRule,
    ServiceRule,
    WeightedService,
)
from crocusward.invariants import Invariants
from crocusward.logs import EventSampler
from crocusward.placing import (
    BackendLoadTable,
    BackendSelector,
    FleetRetryBudget,
    HostGroups,
    ServiceTimeModel,
)
from crocusward.relay import (
    BackendClient,
    CrashWatch,
    Listener,
    NoticeTracker,
    RateLimitTracker,
    Relay,
    RequestLog,
    SlotFinder,
)
from crocusward.timing import LoopTimer, boot_time_s
from crocusward.upstream import HttpPool

from .raw_client import RawClient

REGIONS = {"east-a": "east", "east-b": "east", "west-a": "west"}
LIMITS = CallerLimits(4096, 20_000, 3.0, 15.0)
DIGEST = b"crocusward-response-signature: d1"


def route(name="look", prefix="/look/", **options):
    options.setdefault("idempotent", True)
    options.setdefault("timeout_s", 1.0)
    options.setdefault("objective_s", 0.3)
    options.setdefault("priority", 0)
    options.setdefault("max_attempts", 2)
    options.setdefault("parts", [WeightedService("svc", 1.0)])
    return RouteRule(name, "api.example", prefix, **options)


def desired(*routes, version=1, services=("svc",), cold_rate=3.0):
    rules = {
        name: ServiceRule(name, "/health", 100, 3.0, cold_rate) for name in services
    }
    return DesiredState(version, routes or [route()], rules, LIMITS)


def backend(id="b1", data_centre="east-a", port=1, **options):
    options.setdefault("slots", 2)
    service = options.pop("service", "svc")
    return BackendEntry(id, service, ("127.0.0.1", port), data_centre, **options)


def directory(*backends, state=None):
    found = Directory(REGIONS)
    found.set_state(state or desired())
    found.has_backend_list = True
    for entry in backends:
        found.set_backend(entry.id, entry)
    return found


class RecordingNotifier:
    """Records what a relay reports to neighbours; offers no slots of other groups."""

    def __init__(self):
        self.seen = []

    def notify_change(self, load, observation):
        self.seen.append((load.entry.id, observation))

    async def request_slot(self, place, group, shared, wait_s):
        return None

    def report_limit(self, load, address):
        pass


class RelayOnLoopback:
    """A relay with a listener in front of scripted backend servers."""

    def __init__(self, *backends, state=None, reserve=100.0, connect_timeout_s=0.3):
        loop = asyncio.get_running_loop()
        self.timer = LoopTimer(loop, random.Random(1))
        self.directory = Directory(REGIONS)
        self.book = BackendLoadTable(
            self.directory, HostGroups("h1", "east-a"), self.timer.now, lambda: 0.0
        )
        self.directory.set_state(state or desired())
        self.directory.has_backend_list = True
        for entry in backends:
            self.directory.set_backend(entry.id, entry)
        times = ServiceTimeModel()
        self.retries = FleetRetryBudget(0.2, reserve, 10.0)
        self.notifier = RecordingNotifier()
        self.pool = HttpPool(
            self.timer, connections=8, connect_timeout_s=connect_timeout_s
        )
        placer = BackendSelector(
            self.directory, self.book, times, "east", random.Random(1)
        )
        sampler = EventSampler(self.timer.now, 0)
        self.invariants = Invariants()
        self.rate_limits = RateLimitTracker(boot_time_s, sampler)
        self.places = SlotFinder(
            self.timer,
            self.directory,
            self.book,
            placer,
            self.notifier,
            sampler,
        )
        client = BackendClient(self.pool)
        self.crash_watch = CrashWatch(
            CrashRegistry(self.timer.now),
            client,
            self.timer,
            sampler,
            lambda load, observation: None,
        )
        self.crash_watch.follow(self.directory)
        self.relay = Relay(
            self.timer,
            self.directory,
            self.book,
            times,
            placer,
            self.places,
            self.retries,
            client,
            self.notifier,
            RequestLog(self.timer.now, self.directory, sampler),
            self.invariants,
            self.rate_limits,
            NoticeTracker(self.book.notices, self.timer.now, sampler),
            self.crash_watch,
            100,
        )
        self.relay.limits = self.directory.state.limits
        self.listener = Listener(self.relay, self.timer)
        self.port = 0

    async def __aenter__(self):
        await self.listener.start("127.0.0.1", 0)
        self.port = self.listener.port
        return self

    async def __aexit__(self, *exc_info):
        self.listener.close()
        self.pool.close()
        assert not self.invariants.violations, self.invariants.first_violations
        await asyncio.sleep(0)

    async def client(self):
        return EntryClient(await RawClient.connect(self.port))


class EntryClient:
    """Connection of a caller to the relay."""

    def __init__(self, raw):
        self.raw = raw
        self._count = 0

    def send(self, method="GET", path="/look/x", *headers, body=b"", id=None):
        self._count += 1
        id = id or f"q{self._count}"
        lines = [f"{method} {path} HTTP/1.1".encode(), b"Host: api.example"]
        lines.append(b"Crocusward-Request-Id: " + id.encode())
        lines += headers
        if body:
            lines.append(b"Content-Length: %d" % len(body))
        self.raw.send(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    async def ask(self, *args, **options):
        self.send(*args, **options)
        return await self.raw.read()


def reply(id, body=b"body", status=b"200 OK", *headers):
    """Return the answer of a backend server to the request with this id."""
    lines = [b"HTTP/1.1 " + status, b"Crocusward-Request-Id: " + id.encode(), DIGEST]
    lines += headers
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
