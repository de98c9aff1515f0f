"""Checks whether the fleet can satisfy a contract."""

from collections import Counter
from collections.abc import Iterable, Mapping

from ..errors import nearest_name
from ..model import Backend, Contract, FleetConfig, Record
from ._section import FindingList

# Assumed for a server with two slots and no measured service time. A lower bound, so
# that only rates that are certainly too high are reported.
MIN_SERVICE_TIME_S = 0.001


class ServiceCapacity(Record):
    """Backend servers and service times that determine the available capacity.

    Attributes:
        backends: Backend servers on the host list.
        service_time_s: Measured mean service time by service, in seconds.
    """

    __slots__ = ("backends", "service_time_s")

    def __init__(
        self,
        backends: Iterable[Backend] = (),
        service_time_s: Mapping[str, float] | None = None,
    ) -> None:
        self.backends = tuple(backends)
        self.service_time_s: Mapping[str, float] = service_time_s or {}

    def count_by_region(self, service: str) -> Counter[str]:
        """Return the number of backend servers of a service by region."""
        return Counter(b.region for b in self.backends if b.service == service)


def check_contract(
    contract: Contract,
    cfg: FleetConfig,
    service_capacity: ServiceCapacity,
    findings: FindingList,
    path: str,
) -> None:
    """Add a finding for each reason why a contract cannot be satisfied.

    Args:
        contract: The proposed contract.
        cfg: The proposed configuration.
        service_capacity: Available backend servers and their service times.
        findings: Receives the findings.
        path: Key path of the contract in the document.
    """
    _check_name(contract.customer, cfg.customers, findings, f"{path}.customer")
    _check_regions(contract, cfg, findings, path)
    capacity_per_s = 0.0
    for service in sorted(contract.services):
        if _check_name(service, cfg.services, findings, f"{path}.services"):
            capacity_per_s += _check_service(
                contract, service, cfg, service_capacity, findings, path
            )
    if capacity_per_s and contract.limits.rate > capacity_per_s:
        message = (
            f"{contract.limits.rate:g}/s is over the capacity of {capacity_per_s:g}/s"
        )
        findings.add(f"{path}.limits.rate", "over_capacity", message)


def _check_name(
    name: str, known: Iterable[str], findings: FindingList, path: str
) -> bool:
    names = list(known)
    if name in names:
        return True
    near = nearest_name(name, names)
    hint = f"; did you mean {near!r}?" if near else ""
    findings.add(path, "unknown_name", f"{name!r} does not exist{hint}")
    return False


def _check_regions(
    contract: Contract, cfg: FleetConfig, findings: FindingList, path: str
) -> None:
    known = {item.region for item in cfg.data_centres.values()}
    for name in sorted(contract.home.serve):
        _check_name(name, known, findings, f"{path}.home.serve")
    for name in sorted(contract.home.keep):
        _check_name(name, known, findings, f"{path}.home.keep")
    for index, route in enumerate(contract.routes):
        for name in sorted(route.serve_regions):
            where = f"{path}.routes[{index}].serve_regions"
            _check_name(name, known, findings, where)


def _check_service(
    contract: Contract,
    service: str,
    cfg: FleetConfig,
    service_capacity: ServiceCapacity,
    findings: FindingList,
    path: str,
) -> float:
    """Check one service and return its capacity for the contract, in requests/s."""
    regions = service_capacity.count_by_region(service)
    home = contract.home.serve
    count = sum(n for region, n in regions.items() if not home or region in home)
    if not count:
        where = f"in {', '.join(sorted(home))}" if home else "anywhere"
        message = f"service {service!r} has no backend server {where}"
        key = "home.serve" if home else "services"
        findings.add(f"{path}.{key}", "no_backend", message)
    for index, route in enumerate(contract.routes):
        allowed = route.serve_regions
        if route.service == service and allowed and not allowed & set(regions):
            message = f"service {service!r} has no backend server there"
            where = f"{path}.routes[{index}].serve_regions"
            findings.add(where, "no_backend", message)
    time_s = service_capacity.service_time_s.get(service, MIN_SERVICE_TIME_S)
    return count * cfg.services[service].slots / time_s
