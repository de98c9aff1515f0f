"""Sizes and delays of a deployment, read from its example directory."""

import tomllib
from pathlib import Path

from ...model import Record


class CentreShape(Record):
    """One data centre.

    Attributes:
        name: Unique name.
        region: Name of its region.
        entry_hosts: Number of entry hosts.
        backends: Number of backend servers by service.
    """

    __slots__ = ("name", "region", "entry_hosts", "backends")

    def __init__(
        self, name: str, region: str, entry_hosts: int, backends: dict[str, int]
    ) -> None:
        self.name = name
        self.region = region
        self.entry_hosts = entry_hosts
        self.backends = backends


class CallShape(Record):
    """One kind of call.

    Attributes:
        contract: Contract name.
        service: Service name.
        method: HTTP method.
        path: Path after the service name.
        share: Share of all calls.
        regions: Regions whose clients make it; empty for all.
    """

    __slots__ = ("contract", "service", "method", "path", "share", "regions")

    def __init__(
        self,
        contract: str,
        service: str,
        method: str,
        path: str,
        share: float,
        regions: list[str] | None = None,
    ) -> None:
        self.contract = contract
        self.service = service
        self.method = method
        self.path = path
        self.share = share
        self.regions = regions or []

    @property
    def idempotent(self) -> bool:
        """True for look-ups."""
        return self.method == "GET"


class DeploymentShape(Record):
    """A deployment.

    Attributes:
        name: Its name.
        directory: Its example directory.
        store_region: Region in which the platform's store stands.
        between_regions_s: One-way delay between regions, in seconds.
        link_mbit_s: Capacity of the link, each way, in Mbit/s.
        centres: Data centres.
        calls: Kinds of calls.
    """

    __slots__ = (
        "name",
        "directory",
        "store_region",
        "between_regions_s",
        "link_mbit_s",
        "centres",
        "calls",
    )

    def __init__(
        self,
        name: str,
        directory: Path,
        store_region: str,
        between_regions_s: float,
        link_mbit_s: float,
        centres: list[CentreShape],
        calls: list[CallShape],
    ) -> None:
        self.name = name
        self.directory = directory
        self.store_region = store_region
        self.between_regions_s = between_regions_s
        self.link_mbit_s = link_mbit_s
        self.centres = centres
        self.calls = calls


def load_shape(directory: Path) -> DeploymentShape:
    """Read ``deployment.toml`` of an example directory."""
    text = (directory / "deployment.toml").read_text(encoding="utf-8")
    table = tomllib.loads(text)
    return DeploymentShape(
        table["name"],
        directory,
        table["store_region"],
        table["between_regions_ms"] / 1000.0,
        table["link_mbit_s"],
        [CentreShape(**centre) for centre in table["data_centres"]],
        [CallShape(**call) for call in table["calls"]],
    )
