"""Sizes of the deployments that are measured, and their files."""

import json
from collections import Counter
from pathlib import Path

from ...model import (
    Contract,
    ContractLimits,
    Customer,
    DataCentre,
    Record,
    Service,
)
from ..deployment import CentreShape, DeploymentShape, PrepareOptions, prepare

CENTRES = {
    "tallinn-a": "pohja",
    "tartu-a": "louna",
    "rakvere-b": "pohja",
    "voru-b": "louna",
}
STORE_REGION = "pohja"
BETWEEN_REGIONS_S = 0.012
LINK_MBIT_S = 30.0
CUSTOMER = "measure"
MIN_CONTRACTS = 8  # more than the demand entries of a heartbeat
UNLIMITED = 1_000_000  # above any rate that one machine reaches
BURST = 10_000
SERVICE_MS = 2.0
LIFETIME_S = 90.0  # stand-ins of a case stop by themselves after this
QUICK_ROUNDS = 2
CASE_FILE = "case.json"


class Case(Record):
    """One deployment to measure.

    Attributes:
        name: Name of its directory.
        hosts: Number of daemons.
        backends: Number of backend servers.
        services: Number of services.
        window_s: Length of one round, in seconds.
        rounds: Number of rounds.
        peers: Whether to measure control traffic.
        requests: Whether to measure the request path.
    """

    __slots__ = (
        "name",
        "hosts",
        "backends",
        "services",
        "window_s",
        "rounds",
        "peers",
        "requests",
    )

    def __init__(
        self,
        name: str,
        hosts: int,
        backends: int,
        services: int,
        *,
        window_s: float = 2.0,
        rounds: int = 5,
        peers: bool = False,
        requests: bool = False,
    ) -> None:
        self.name = name
        self.hosts = hosts
        self.backends = backends
        self.services = services
        self.window_s = window_s
        self.rounds = rounds
        self.peers = peers
        self.requests = requests

    @classmethod
    def load(cls, directory: Path) -> "Case":
        """Read the case of a prepared directory."""
        text = (directory / CASE_FILE).read_text(encoding="utf-8")
        return cls(**json.loads(text))

    def save(self, directory: Path) -> None:
        """Write the case to its directory."""
        table = {slot: getattr(self, slot) for slot in self.__slots__}
        (directory / CASE_FILE).write_text(json.dumps(table), encoding="utf-8")

    @property
    def quick(self) -> bool:
        """True in a quick run, which leaves out what takes long."""
        return self.rounds <= QUICK_ROUNDS

    def service_names(self) -> list[str]:
        """Return the names of the services."""
        return [f"service-{n:02d}" for n in range(self.services)]


def full_cases() -> list[Case]:
    """Return the cases of a full run."""
    return [
        Case("peers-02", 3, 32, 2, rounds=4, peers=True, requests=True),
        Case("peers-06", 7, 32, 2, rounds=4, peers=True),
        Case("peers-13", 14, 32, 2, rounds=4, peers=True),
        Case("backends-032", 2, 32, 2, rounds=4),
        Case("backends-270", 2, 270, 31, rounds=4),
        Case("backends-540", 2, 540, 62, rounds=4),
    ]


def quick_case() -> Case:
    """Return the case of a quick run."""
    return Case(
        "peers-02",
        3,
        32,
        2,
        window_s=1.0,
        rounds=QUICK_ROUNDS,
        peers=True,
        requests=True,
    )


def prepare_case(
    case: Case, example: Path, directory: Path, *, network: int, port_base: int
) -> None:
    """Write the files of a case.

    Args:
        case: What to write.
        example: Example directory whose settings file is used.
        directory: Where to write.
        network: Second byte of the loopback addresses.
        port_base: First port.
    """
    source = directory / "example"
    source.mkdir(parents=True)
    settings = (example / "settings.toml").read_text(encoding="utf-8")
    (source / "settings.toml").write_text(settings, encoding="utf-8")
    # The measuring program commits the configuration itself.
    for name in ("topology.toml", "contracts.toml"):
        (source / name).write_text("", encoding="utf-8")
    shape = DeploymentShape(
        "capacity",
        source,
        STORE_REGION,
        BETWEEN_REGIONS_S,
        LINK_MBIT_S,
        _centres(case),
        [],
    )
    options = PrepareOptions(
        port_base=port_base,
        network=network,
        mean_ms=SERVICE_MS,
        lifetime_s=LIFETIME_S,
    )
    prepare(shape, directory, options)
    case.save(directory)


def make_contract(
    number: int, services: list[str], rate: float = UNLIMITED
) -> Contract:
    """Return a contract for one of the services in turn."""
    limits = ContractLimits(rate=rate, burst=BURST, in_flight=BURST)
    service = services[number % len(services)]
    return Contract(
        f"contract-{number:04d}", CUSTOMER, frozenset({service}), limits=limits
    )


def make_topology(
    services: list[str],
) -> tuple[list[DataCentre], list[Service], Customer]:
    """Return data centres, services and the customer of a case."""
    centres = [DataCentre(name, region) for name, region in CENTRES.items()]
    return centres, [Service(name) for name in services], Customer(CUSTOMER, "measure")


def contract_count(case: Case) -> int:
    """Return the number of contracts that a case starts with."""
    return max(MIN_CONTRACTS, case.services)


def _centres(case: Case) -> list[CentreShape]:
    names = list(CENTRES)
    services = case.service_names()
    counts: dict[str, Counter[str]] = {name: Counter() for name in names}
    for number in range(case.backends):
        # Shifts by one each time round, so that a service is in every data centre.
        place = number + number // len(services)
        counts[names[place % len(names)]][services[number % len(services)]] += 1
    entries = Counter(names[number % len(names)] for number in range(case.hosts))
    return [
        CentreShape(name, CENTRES[name], entries[name], dict(counts[name]))
        for name in names
    ]
