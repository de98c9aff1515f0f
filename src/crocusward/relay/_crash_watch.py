"""Finds out which lost requests crashed their server, and blocks those that do."""

import asyncio
from collections import Counter
from collections.abc import Callable

from ..crashes import (
    MAX_CRASHES,
    CrashRegistry,
    crash_id,
    request_digests,
    target_digest,
)
from ..desired import BackendEntry, Directory
from ..logs import EventSampler, Level
from ..neighbours import BackendObservation, ObservationKind
from ..placing import BackendLoad, Refused
from ..timing import TimerService
from ._exchange import BackendClient
from ._lost_runs import LostRun, LostRuns, is_restart
from ._messages import CallerRequest

CHECK_TIMEOUT_S = 0.3  # of a connection to a server that lost a request
# A process that ends closes its sockets one by one, so that a connection opened in
# between is closed again.
CHECK_SETTLE_S = 0.02
# Longer bodies are hashed only once a server is known to be gone.
MAX_HASHED_BYTES = 1 << 20
CRASHES_SERVERS = "crashes_servers"
DIGEST_SHOWN_CHARS = 16


class CrashWatch:
    """Counts crashes of servers under requests, and knows which may still run.

    A connection that ends without a complete answer is no crash by itself: the server
    must also refuse new connections, which one behind a cut network does not. A server
    that falls silent has crashed if it starts again soon. All requests that a crash
    ended become suspects; the answer of a run clears one again.

    Args:
        registry: Counts the crashes.
        client: Checks servers.
        timer: Source of time.
        sampler: Logs what is counted.
        notify: Reports that a server is gone to neighbours.

    Attributes:
        events: Number of events by name.
        observers: Called when this host changes the count of a request, with its
            digest and whether it was blocked before.
    """

    __slots__ = (
        "events",
        "observers",
        "registry",
        "_client",
        "_timer",
        "_sampler",
        "_notify",
        "_checks",
        "_lost_runs",
        "_directory",
    )

    def __init__(
        self,
        registry: CrashRegistry,
        client: BackendClient,
        timer: TimerService,
        sampler: EventSampler,
        notify: Callable[[BackendLoad, BackendObservation], None],
    ) -> None:
        self.events: Counter[str] = Counter()
        self.observers: list[Callable[[bytes, bool], object]] = []
        self.registry = registry
        self._client = client
        self._timer = timer
        self._sampler = sampler
        self._notify = notify
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._lost_runs = LostRuns()
        self._directory: Directory | None = None

    def follow(self, directory: Directory) -> None:
        """Learn from entries which silent servers have started again."""
        self._directory = directory
        directory.subscribe_backends(self._on_backend)

    def find(self, req: CallerRequest) -> bytes | None:
        """Return the digest of a request under which a server crashed, or None.

        The body is hashed only if the target is known.
        """
        if not self.registry.records:
            return None
        if not self.registry.knows_target(
            target_digest(req.method, req.host, req.target)
        ):
            return None
        digest = max(_digests(req), key=self.registry.count)
        return digest if self.registry.count(digest) else None

    def count(self, digest: bytes | None) -> int:
        """Return the number of crashes under a request."""
        return self.registry.count(digest) if digest is not None else 0

    def check_allowed(self, digest: bytes | None, request_id: str) -> None:
        """Refuse a request that may reach no server any more.

        Raises:
            Refused: It crashed ``MAX_CRASHES`` servers.
        """
        if digest is None or not self.registry.is_blocked(digest):
            return
        left_s = self.registry.block_left_s(digest)
        self.events["request_blocked"] += 1
        self._sampler.log(
            "request_blocked",
            id=request_id,
            digest=show_digest(digest),
            crashes=self.registry.count(digest),
            for_s=left_s,
        )
        raise Refused(
            f"{MAX_CRASHES} servers crashed under this request",
            left_s,
            code=CRASHES_SERVERS,
        )

    def examine(
        self, req: CallerRequest, request_id: str, load: BackendLoad
    ) -> "asyncio.Task[None]":
        """Find out whether a server crashed under a request that it lost.

        The check goes on if the caller leaves.
        """
        return asyncio.get_running_loop().create_task(
            self._examine_lost(req, request_id, load)
        )

    async def _examine_lost(
        self, req: CallerRequest, request_id: str, load: BackendLoad
    ) -> None:
        if await self.is_gone(load):
            self._count(self._make_run(req, request_id, load), "gone")

    def _make_run(
        self, req: CallerRequest, request_id: str, load: BackendLoad
    ) -> LostRun:
        return LostRun(_digests(req), request_id, load, self._timer.now())

    def _count(self, run: LostRun, sign: str) -> None:
        """Count a crash under a request.

        Args:
            run: The run that the crash ended.
            sign: What showed the crash, for logs.
        """
        entry = run.load.entry
        crash = crash_id(entry.id, entry.started_unix_ms)
        is_first = not self.registry.count(run.digests[0])
        # The digest without the caller counts callers, not their tries.
        for digest in run.digests if is_first else run.digests[:1]:
            was_blocked = self.registry.is_blocked(digest)
            if not self.registry.add_crash(digest, crash):
                continue
            self.events["crash_counted"] += 1
            self._sampler.log(
                "crash_counted",
                Level.WARNING,
                id=run.request_id,
                digest=show_digest(digest),
                backend=entry.id,
                sign=sign,
                crashes=self.registry.count(digest),
            )
            self._tell(digest, was_blocked)

    def note_silent(
        self, req: CallerRequest, request_id: str, load: BackendLoad
    ) -> None:
        """Remember a request whose server fell silent, which may have crashed."""
        if len(req.body) > MAX_HASHED_BYTES:
            return
        run = self._make_run(req, request_id, load)
        entries = self._directory.backends.values() if self._directory else ()
        if any(is_restart(load.entry, entry) for entry in entries):
            self._count(run, "restarted")
        else:
            self._lost_runs.add(run)

    def _on_backend(self, old: BackendEntry | None, new: BackendEntry | None) -> None:
        if new is not None:
            for run in self._lost_runs.take_crashed(new, self._timer.now()):
                self._count(run, "restarted")

    def _tell(self, digest: bytes, was_blocked: bool) -> None:
        for observer in self.observers:
            observer(digest, was_blocked)

    async def is_gone(self, load: BackendLoad) -> bool:
        """Return whether a server refuses connections, as after a crash."""
        id = load.entry.id
        check = self._checks.get(id)
        if check is None:
            check = asyncio.get_running_loop().create_task(self._check_gone(load))
            self._checks[id] = check
            check.add_done_callback(lambda _: self._checks.pop(id, None))
        return await asyncio.shield(check)

    async def _check_gone(self, load: BackendLoad) -> bool:
        is_listening = await self._client.is_listening(load, CHECK_TIMEOUT_S)
        if is_listening:
            await self._timer.sleep(CHECK_SETTLE_S)
            if not self._client.idle_connections(load):
                is_listening = await self._client.is_listening(load, CHECK_TIMEOUT_S)
        if is_listening is not False:
            return False
        self._notify(
            load, BackendObservation(load.entry.id, ObservationKind.UNREACHABLE)
        )
        return True

    def note_answer(
        self, req: CallerRequest, request_id: str, load: BackendLoad
    ) -> None:
        """Clear a request that a server survived."""
        if self.find(req) is None:
            return
        for digest in _digests(req):
            was_blocked = self.registry.is_blocked(digest)
            if self.registry.clear(digest):
                self.events["crash_cleared"] += 1
                self._sampler.log(
                    "crash_cleared",
                    id=request_id,
                    digest=show_digest(digest),
                    backend=load.entry.id,
                )
                self._tell(digest, was_blocked)

    def release(self, digest_text: str) -> int:
        """Release requests by the beginning of their digest, as operators ask for.

        Returns:
            The number of requests.
        """
        found = [
            digest
            for digest in self.registry.list_digests()
            if digest_text and digest.hex().startswith(digest_text)
        ]
        count = 0
        for digest in found:
            was_blocked = self.registry.is_blocked(digest)
            if self.registry.clear(digest):
                count += 1
                self.events["crash_released"] += 1
                self._sampler.log("crash_released", digest=show_digest(digest))
                self._tell(digest, was_blocked)
        return count


def _digests(req: CallerRequest) -> tuple[bytes, ...]:
    return request_digests(req.method, req.host, req.target, req.headers, req.body)


def show_digest(digest: bytes) -> str:
    """Return the part of a digest that logs show."""
    return digest.hex()[:DIGEST_SHOWN_CHARS]
