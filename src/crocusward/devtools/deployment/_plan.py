"""Where the processes of a prepared deployment listen."""

import json
from pathlib import Path

from ...model import Record


class EntryPlan(Record):
    """One entry host.

    Attributes:
        name: Name on the host list.
        region: Name of its region.
        data_centre: Name of its data centre.
        address: Loopback address.
    """

    __slots__ = ("name", "region", "data_centre", "address")

    def __init__(self, name: str, region: str, data_centre: str, address: str) -> None:
        self.name = name
        self.region = region
        self.data_centre = data_centre
        self.address = address


class Plan(Record):
    """A prepared deployment.

    Attributes:
        directory: Directory with its files.
        example: Example directory that it was made from.
        entries: Entry hosts.
        caller_port: Port for clients, the same on every entry host.
        admin_port: Administration port.
        peer_port: Port of the inner protocol.
        platform: Address and first port of the platform stand-in.
        backends: Address and port of the control endpoint of the backend servers.
        link: Address and port of the control endpoint of the link.
        token: Bearer token of an operator.
    """

    __slots__ = (
        "directory",
        "example",
        "entries",
        "caller_port",
        "admin_port",
        "peer_port",
        "platform",
        "backends",
        "link",
        "token",
    )

    def __init__(
        self,
        directory: Path,
        example: Path,
        entries: list[EntryPlan],
        *,
        caller_port: int,
        admin_port: int,
        peer_port: int,
        platform: list,
        backends: list,
        link: list,
        token: str,
    ) -> None:
        self.directory = directory
        self.example = example
        self.entries = entries
        self.caller_port = caller_port
        self.admin_port = admin_port
        self.peer_port = peer_port
        self.platform = platform
        self.backends = backends
        self.link = link
        self.token = token

    def save(self) -> None:
        """Write the plan to its directory."""
        table = {
            "example": str(self.example),
            "entries": [
                {slot: getattr(e, slot) for slot in e.__slots__} for e in self.entries
            ],
            "caller_port": self.caller_port,
            "admin_port": self.admin_port,
            "peer_port": self.peer_port,
            "platform": self.platform,
            "backends": self.backends,
            "link": self.link,
            "token": self.token,
        }
        path = self.directory / "plan.json"
        path.write_text(json.dumps(table, indent=1), encoding="utf-8")


def load_plan(directory: Path) -> Plan:
    """Read a plan."""
    table = json.loads((directory / "plan.json").read_text(encoding="utf-8"))
    entries = [EntryPlan(**entry) for entry in table.pop("entries")]
    example = Path(table.pop("example"))
    return Plan(directory, example, entries, **table)
