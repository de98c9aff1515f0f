"""The fleet as one host sees it, for the administration API."""

from ..documents import ServiceCapacity
from ..model import ListedHost
from ..peer import PeerMesh
from ..server import BackendStatus, FleetStatus, HostStatus
from ._node import Node

NEVER_S = -1.0


class StatusView:
    """Collects the status of hosts and backend servers.

    Args:
        node: The host's logic.
        mesh: Links to peers.
    """

    __slots__ = ("_node", "_mesh")

    def __init__(self, node: Node, mesh: PeerMesh) -> None:
        self._node = node
        self._mesh = mesh

    def status(self) -> FleetStatus:
        """Return the fleet as seen from this host."""
        node = self._node
        identity = node.identity
        violations = node.invariants.violations
        return FleetStatus(
            identity.host,
            identity.region,
            node.config.current().version,
            node.freshness.confirmed_age_ms() >= 0,
            hosts=tuple(self._host(item) for item in node.membership.entries),
            backends=tuple(self._backends()),
            violations={name.value: count for name, count in violations.items()},
        )

    def supply(self) -> ServiceCapacity:
        """Return what the listed backend servers can do."""
        views = self._node.router.table.views.values()
        services = self._node.router.table.services
        speeds = {name: item.mean_unqueued_time_s for name, item in services.items()}
        return ServiceCapacity([view.backend for view in views], speeds)

    def _host(self, item: ListedHost) -> HostStatus:
        return HostStatus(
            item.name,
            item.region,
            item.data_centre,
            self._node.config.version_of(item.name),
            self._contact_age_s(item.name),
            leaving=item.leaving,
        )

    def _contact_age_s(self, name: str) -> float:
        if name == self._node.identity.host:
            return 0.0
        last_received_s = self._mesh.last_received_s(name)
        return (
            NEVER_S
            if last_received_s is None
            else self._node.timer.now() - last_received_s
        )

    def _backends(self) -> list[BackendStatus]:
        table = self._node.router.table
        return [
            BackendStatus(
                view.backend.id,
                view.backend.service,
                view.backend.region,
                view.backend.data_centre,
                self._state(view.backend.id, view.backend.data_centre),
                view.in_flight,
            )
            for view in table.views.values()
        ]

    def _state(self, backend: str, data_centre: str) -> str:
        table = self._node.router.table
        if backend in table.leaving_since:
            return "leaving"
        if data_centre in table.out_since or not table.views[backend].is_open:
            return "out"
        if not table.slow_start_states[backend].is_warm:
            return "cold"
        is_limited = self._node.router.rate_limits.is_limited(backend)
        return "limited" if is_limited else "warm"
