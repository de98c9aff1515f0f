"""Data centres, backend servers and contracts of the randomised runs."""

from ...config import (
    Operation,
    PutContract,
    PutCustomer,
    PutDataCentre,
    PutService,
)
from ...model import (
    Backend,
    Contract,
    ContractLimits,
    Customer,
    DataCentre,
    HomeRegions,
    Service,
)

CENTRES = {
    "tallinn-a": "pohja",
    "rakvere-b": "pohja",
    "tartu-a": "louna",
    "voru-b": "louna",
}
REGIONS = ("pohja", "louna")
STORE_REGION = "pohja"
HOSTS_PER_REGION = 3
CATALOGUE_PER_CENTRE = 2
PRESS_PER_CENTRE = 1
DEADLINE_S = 3.0


def make_backends() -> list[Backend]:
    """Return the backend servers of all data centres."""
    backends = []
    for centre, region in CENTRES.items():
        for service, count in (
            ("materjalid", CATALOGUE_PER_CENTRE),
            ("tellimused", PRESS_PER_CENTRE),
        ):
            for number in range(count):
                id = f"{service}-{centre}-{number}"
                backends.append(Backend(id, service, region, centre, "", 1))
    return backends


def first_operations() -> tuple[Operation, ...]:
    """Return the operations of the first change."""
    operations: list[Operation] = [
        PutDataCentre(DataCentre(name, region)) for name, region in CENTRES.items()
    ]
    operations += [
        PutService(Service("materjalid")),
        PutService(Service("tellimused")),
    ]
    operations.append(PutCustomer(Customer("liit", "binders")))
    operations += [PutContract(c) for c in make_contracts(800.0).values()]
    return tuple(operations)


def make_contracts(rate: float) -> dict[str, Contract]:
    """Return the contracts, with a rate for each."""
    services = frozenset({"materjalid", "tellimused"})
    limits = ContractLimits(rate=rate, burst=200.0, deadline_s=DEADLINE_S)
    homed = HomeRegions(frozenset({"louna"}), frozenset({"louna"}))
    return {
        "open": Contract("open", "liit", services, limits=limits),
        "homed": Contract("homed", "liit", services, limits=limits, home=homed),
    }
