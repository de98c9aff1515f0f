"""The daemon process: sockets, signals and the order of start and stop."""

import asyncio
import hashlib
import random
import secrets
import signal
import ssl
import time
from collections.abc import Callable
from pathlib import Path
from urllib.parse import urlsplit

from ..burn import BurnService
from ..errors import CrocusError
from ..invariants import Invariants, Violation
from ..logs import Level, LogPipe, log_event
from ..metrics import Metrics
from ..model import BACKEND_CONNECTIONS
from ..peer import PeerIdentity, PeerMesh, PeerOptions, PeerServer
from ..platform import (
    HOST_LISTS,
    OBJECT_STORES,
    TABLE_SERVICES,
    PlatformClient,
    PlatformEndpoint,
)
from ..server import (
    AdminServer,
    AdminService,
    CallerApplication,
    HttpServer,
    create_admin_app,
)
from ..settings import Settings
from ..timing import LoopTimer, Subscription
from ..upstream import AnswerMemoryBudget, HeaderNames, HttpPool, HttpUpstream
from ._burn_peers import BurnPeers
from ._node import Node
from ._options import NodeOptions, NodeSecrets
from ._ports import Platform
from ._shutdown import GracefulStop
from ._status import StatusView

MINUTE_S = 60.0
REPLACED_HOSTS = 2  # hosts that may exist twice while they are replaced
PLATFORM_CONNECTIONS = 8
ANSWER_MEMORY_BYTES = 64 << 20  # for incomplete answers of backend servers


class DaemonProcess:
    """One running daemon.

    Args:
        settings: Checked settings.
        logs: Where events go.
    """

    def __init__(self, settings: Settings, logs: LogPipe) -> None:
        loop = asyncio.get_running_loop()
        self._settings = settings
        self._logs = logs
        self._rng = random.Random(secrets.randbits(64))
        self._timer = LoopTimer(loop, self._rng)
        self._metrics = Metrics(self._timer.now)
        self._invariants = Invariants(_log_violation)
        self._key = settings.peer.read_key()
        logs.secrets.hide(self._key.decode("latin-1"))
        self._subs: list[Subscription] = []
        self._stop = asyncio.Event()
        host = settings.host
        self._identity = PeerIdentity(
            host.name, host.region, host.data_centre, secrets.randbits(64)
        )
        share = BACKEND_CONNECTIONS // (settings.fleet.max_hosts + REPLACED_HOSTS)
        backend_pool = HttpPool(
            self._timer,
            connections=max(1, share),
            memory_budget=AnswerMemoryBudget(ANSWER_MEMORY_BYTES),
        )
        self._pool = HttpPool(self._timer, connections=PLATFORM_CONNECTIONS)
        self._upstream = HttpUpstream(
            backend_pool, self._invariants, _header_names(settings)
        )
        self._node = self._make_node()
        self._mesh = PeerMesh(
            self._timer,
            self._rng,
            self._identity,
            _peer_options(settings, self._key),
            self._node.events,
        )
        self._peer_server = PeerServer(self._mesh, host.address, settings.peer.port)
        self._server = self._make_server()
        self._admin = self._make_admin()
        self._watch_metrics()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop as planned."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        await self._start()
        log_event("started", host=self._identity.host, region=self._identity.region)
        await self._stop.wait()
        await self._shut_down()

    async def _start(self) -> None:
        self._logs.run(self._timer)
        address = self._settings.host.address
        await self._peer_server.start()
        self._mesh.start()
        await self._node.start(self._mesh)
        await self._admin.start()
        await self._server.start(address, self._settings.callers.port)
        self._subs.append(self._timer.every(MINUTE_S, self._close_minute))

    async def _shut_down(self) -> None:
        stop = GracefulStop(
            self._node, self._server, notice_s=self._settings.callers.notice_s
        )
        await stop.run()
        await self._server.close()
        await self._admin.close()
        await self._mesh.close()
        await self._peer_server.close()
        for sub in self._subs:
            sub.cancel()
        self._logs.close()

    def _make_node(self) -> Node:
        return Node(
            self._timer,
            self._rng,
            self._identity,
            NodeSecrets(
                _derive(self._key, b"issued-keys"), _derive(self._key, b"claims")
            ),
            self._make_platform(),
            self._upstream,
            self._metrics,
            self._invariants,
            NodeOptions.from_settings(self._settings, lambda: int(time.time())),
        )

    def _make_platform(self) -> Platform:
        cfg = self._settings.platform
        caller = self._platform_caller
        return Platform(
            TABLE_SERVICES.get(cfg.kind)(caller(cfg.table_url)),
            OBJECT_STORES.get(cfg.kind)(caller(cfg.object_url)),
            HOST_LISTS.get(cfg.kind)(
                caller(cfg.host_list_url), self._settings.host.region
            ),
        )

    def _platform_caller(self, url: str) -> PlatformClient:
        parts = urlsplit(url)
        if parts.hostname is None or parts.port is None:
            raise CrocusError(
                f"address {url!r} needs a host and a port", code="address"
            )
        service = PlatformEndpoint(
            parts.hostname, parts.port, self._settings.platform.timeout_s
        )
        return PlatformClient(self._pool, service, self._timer, self._rng)

    def _make_server(self) -> HttpServer:
        app = CallerApplication(
            self._node.dispatcher,
            self._timer,
            self._rng,
            self._invariants,
            self._metrics.expose,
            on_error=_log_error,
        )
        tls = self._settings.callers.tls
        return HttpServer(
            app,
            self._timer,
            self._invariants,
            cert=Path(tls.cert_file) if tls else None,
            key=Path(tls.key_file) if tls else None,
        )

    def _make_admin(self) -> AdminServer:
        settings = self._settings
        peers = BurnPeers(self._node, self._pool, settings.admin.port, self._key)
        identity = self._identity
        burn = BurnService(
            identity.host,
            identity.region,
            self._metrics.ring,
            self._node.config.current,
            peers.fetch,
        )
        view = StatusView(self._node, self._mesh)
        tokens = (*settings.admin.tokens, peers.operator())
        service = AdminService(
            self._node.config, burn, view.status, view.supply, tokens
        )
        return AdminServer(
            create_admin_app(service),
            settings.host.address,
            settings.admin.port,
            settings.admin.tls,
        )

    def _watch_metrics(self) -> None:
        watch = self._metrics.watch
        node = self._node
        traffic = self._mesh.traffic
        watch(
            "config_version",
            "Configuration version in force",
            lambda: node.config.current().version,
        )
        watch("peers", "Linked peers", lambda: len(self._mesh.peers()))
        watch(
            "requests_in_flight",
            "Requests of callers in flight",
            lambda: self._server.in_flight,
        )
        watch(
            "control_sent_bytes",
            "Bytes of control messages sent to peers",
            lambda: traffic.control_sent_bytes,
        )
        watch(
            "control_received_bytes",
            "Bytes of control messages received from peers",
            lambda: traffic.control_received_bytes,
        )
        watch(
            "invariant_violations",
            "Violations of invariants",
            lambda: sum(self._invariants.violations.values()),
        )
        watch(
            "log_lines_dropped",
            "Log lines dropped because the output was slow",
            lambda: self._logs.buffer.dropped,
        )

    def _close_minute(self) -> None:
        task = asyncio.get_running_loop().create_task(
            self._metrics.close_minute_in_steps()
        )
        task.add_done_callback(_log_task_error)


def _derive(key: bytes, use: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=32, person=use).digest()


def _header_names(settings: Settings) -> HeaderNames:
    cfg = settings.backends
    return HeaderNames(
        request_id=cfg.request_id,
        deadline=cfg.deadline,
        depth=cfg.depth,
        load=cfg.load,
        boot=cfg.boot,
        shed=cfg.shed,
        draining=cfg.draining,
        rate_limit=cfg.rate_limit,
    )


def _peer_options(settings: Settings, key: bytes) -> PeerOptions:
    tls = settings.peer.tls
    if tls is None:
        return PeerOptions(key)
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server.load_cert_chain(tls.cert_file, tls.key_file)
    client = ssl.create_default_context(cafile=tls.cert_file)
    # Peers are named by IP address and prove the shared key inside the link.
    client.check_hostname = False
    return PeerOptions(key, server_tls=server, client_tls=client)


def _log_violation(violation: Violation) -> None:
    log_event(
        "invariant_violated",
        Level.ERROR,
        invariant=violation.name.value,
        detail=violation.detail,
    )


def _log_error(exc: Exception) -> None:
    log_event("unexpected_error", Level.ERROR, kind=type(exc).__name__)


def _log_task_error(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log_event("unexpected_error", Level.ERROR, kind=type(task.exception()).__name__)


def run_daemon(settings: Settings, start_logs: Callable[[], LogPipe]) -> None:
    """Run a daemon until it is told to stop.

    Raises:
        CrocusError: A key, an address or a port cannot be used.
        OSError: A port cannot be opened.
    """

    async def run() -> None:
        await DaemonProcess(settings, start_logs()).run()

    asyncio.run(run())
