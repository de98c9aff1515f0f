"""Writes settings, host list and start commands of a deployment."""

import hashlib
import json
import re
import secrets
from collections import Counter
from pathlib import Path

from ...model import Record
from ._plan import EntryPlan, Plan
from ._shape import DeploymentShape

LIFETIME_S = 400.0  # every stand-in stops by itself
LIST_LAG_S = 1.0
NOTICE_S = 1.0
PEER_KEY_VARIABLE = "CROCUSWARD_PEER_KEY"


class PrepareOptions(Record):
    """How a deployment is scaled and where it listens.

    Attributes:
        port_base: First port; a hundred ports above it are used on each address.
        network: Second byte of the loopback addresses.
        hosts: Number of entry hosts, or 0 for the deployment's own.
        mean_ms: Mean service time, in milliseconds.
        antagonist_share: Share of backend servers slowed down at any time.
        cold_start: Whether backend servers start cold.
        policy: Routing policy, or "" for the example's.
        rate_factor: Factor on the rates of contracts.
        lifetime_s: Time after which the stand-ins stop by themselves, in seconds.
    """

    __slots__ = (
        "port_base",
        "network",
        "hosts",
        "mean_ms",
        "antagonist_share",
        "cold_start",
        "policy",
        "rate_factor",
        "lifetime_s",
    )

    def __init__(
        self,
        *,
        port_base: int = 18_000,
        network: int = 20,
        hosts: int = 0,
        mean_ms: float = 10.0,
        antagonist_share: float = 0.0,
        cold_start: bool = False,
        policy: str = "",
        rate_factor: float = 1.0,
        lifetime_s: float = LIFETIME_S,
    ) -> None:
        self.port_base = port_base
        self.network = network
        self.hosts = hosts
        self.mean_ms = mean_ms
        self.antagonist_share = antagonist_share
        self.cold_start = cold_start
        self.policy = policy
        self.rate_factor = rate_factor
        self.lifetime_s = lifetime_s


class _Addresses:
    """Gives each process its loopback addresses and ports."""

    __slots__ = ("_network", "base")

    def __init__(self, options: PrepareOptions) -> None:
        self._network = options.network
        self.base = options.port_base

    def entry(self, number: int) -> str:
        return f"127.{self._network}.1.{number + 1}"

    def own(self, third: int) -> str:
        return f"127.{self._network}.{third}.1"


def prepare(shape: DeploymentShape, directory: Path, options: PrepareOptions) -> Plan:
    """Write all files of a deployment into a directory and return its plan."""
    directory.mkdir(parents=True, exist_ok=True)
    places = _Addresses(options)
    entries = _entries(shape, places, options.hosts)
    base = places.base
    plan = Plan(
        directory,
        shape.directory,
        entries,
        caller_port=base,
        admin_port=base + 1,
        peer_port=base + 2,
        platform=[places.own(3), base + 10],
        backends=[places.own(2), base + 20],
        link=[places.own(4), base + 30],
        token=secrets.token_urlsafe(24),
    )
    backends = _backends(shape, places)
    _write_json(directory / "places.json", backends)
    relays = _Relays(shape, places.own(4), base + 40)
    hosts = _host_list(shape, plan, backends, relays)
    _write_json(directory / "hosts.json", {"hosts": hosts})
    for entry in entries:
        _write_settings(shape, plan, entry, relays, options)
    _write_contracts(shape, directory, options.rate_factor)
    _write_commands(plan, relays, options)
    plan.save()
    return plan


class _Relays:
    """Relays of the link, one for each target and far region."""

    __slots__ = ("_shape", "_address", "_port", "there", "back")

    def __init__(self, shape: DeploymentShape, address: str, port: int) -> None:
        self._shape = shape
        self._address = address
        self._port = port
        self.there: list[str] = []
        self.back: list[str] = []

    def add(self, region: str, address: str, port: int) -> list:
        """Return where the other region reaches an address of ``region``."""
        self._port += 1
        text = f"{self._address}:{self._port}={address}:{port}"
        # "there" leads to the store's region.
        to_store = region == self._shape.store_region
        (self.there if to_store else self.back).append(text)
        return [self._address, self._port]


def _entries(shape: DeploymentShape, places: _Addresses, limit: int) -> list[EntryPlan]:
    """Return the entry hosts, reduced evenly over regions and data centres."""
    wanted = [centre.entry_hosts for centre in shape.centres]
    while limit and sum(wanted) > limit:
        by_region: Counter[str] = Counter()
        for centre, count in zip(shape.centres, wanted, strict=True):
            by_region[centre.region] += count
        sizes = [
            (by_region[centre.region], count)
            for centre, count in zip(shape.centres, wanted, strict=True)
        ]
        wanted[sizes.index(max(sizes))] -= 1
    entries: list[EntryPlan] = []
    for centre, count in zip(shape.centres, wanted, strict=True):
        for number in range(count):
            name = f"entry-{centre.name}-{number + 1}"
            address = places.entry(len(entries))
            entries.append(EntryPlan(name, centre.region, centre.name, address))
    return entries


def _backends(shape: DeploymentShape, places: _Addresses) -> list[dict]:
    backends: list[dict] = []
    port = places.base + 100
    for centre in shape.centres:
        for service, count in centre.backends.items():
            for number in range(count):
                port += 1
                backends.append(
                    {
                        "id": f"{service}-{centre.name}-{number + 1}",
                        "service": service,
                        "region": centre.region,
                        "data_centre": centre.name,
                        "address": places.own(2),
                        "port": port,
                    }
                )
    return backends


def _host_list(
    shape: DeploymentShape, plan: Plan, backends: list[dict], relays: _Relays
) -> list[dict]:
    hosts = []
    for entry in plan.entries:
        host = {slot: getattr(entry, slot) for slot in entry.__slots__}
        hosts.append({**host, "role": "entry", "port": plan.peer_port})
    for backend in backends:
        host = {k: v for k, v in backend.items() if k != "id"}
        hosts.append({**host, "name": backend["id"], "role": "backend"})
    regions = {centre.region for centre in shape.centres}
    for host in hosts:
        via = relays.add(host["region"], host["address"], host["port"])
        host["via"] = {region: via for region in regions - {host["region"]}}
        host["leaving"] = False
    return hosts


def _write_settings(
    shape: DeploymentShape,
    plan: Plan,
    entry: EntryPlan,
    relays: _Relays,
    options: PrepareOptions,
) -> None:
    text = (shape.directory / "settings.toml").read_text(encoding="utf-8")
    urls = _platform_urls(shape, plan, entry, relays)
    for key, value in {
        "name": entry.name,
        "region": entry.region,
        "data_centre": entry.data_centre,
        "address": entry.address,
        "table_url": urls[0],
        "object_url": urls[1],
        "host_list_url": urls[2],
    }.items():
        text = re.sub(rf'(?m)^{key} = ".*"$', f'{key} = "{value}"', text, count=1)
    ports = iter((plan.caller_port, plan.admin_port, plan.peer_port))
    text = re.sub(r"(?m)^port = \d+$", lambda match: f"port = {next(ports)}", text)
    text = text.replace("[callers]\n", f"[callers]\nnotice_s = {NOTICE_S}\n", 1)
    text = re.sub(
        r"(?m)^max_hosts = \d+$", f"max_hosts = {len(plan.entries)}", text, count=1
    )
    digest = hashlib.sha256(plan.token.encode()).hexdigest()
    text = text.replace("0" * 64, digest, 1)
    if options.policy:
        text = re.sub(r'(?m)^policy = ".*"$', f'policy = "{options.policy}"', text)
    path = plan.directory / f"{entry.name}.toml"
    path.write_text(text, encoding="utf-8")


def _platform_urls(
    shape: DeploymentShape, plan: Plan, entry: EntryPlan, relays: _Relays
) -> list[str]:
    address, port = plan.platform
    targets = [[address, port + offset] for offset in range(3)]
    if entry.region != shape.store_region:
        # The host list is the platform's own in each region; the store is not.
        targets[0] = relays.add(shape.store_region, address, port)
        targets[1] = relays.add(shape.store_region, address, port + 1)
    return [f"http://{host}:{number}" for host, number in targets]


def _write_contracts(
    shape: DeploymentShape, directory: Path, rate_factor: float
) -> None:
    """Copy topology and contracts, with rates for the machine's load."""
    topology = (shape.directory / "topology.toml").read_text(encoding="utf-8")
    contracts = (shape.directory / "contracts.toml").read_text(encoding="utf-8")

    def scale(match: re.Match[str]) -> str:
        value = int(float(match[2]) * rate_factor) or 1
        return f"{match[1]} = {value}"

    pattern = r"(?m)^(rate|burst|in_flight) = (\d+)$"
    contracts = re.sub(pattern, scale, contracts)
    (directory / "topology.toml").write_text(topology, encoding="utf-8")
    (directory / "contracts.toml").write_text(contracts, encoding="utf-8")


def _write_commands(plan: Plan, relays: _Relays, options: PrepareOptions) -> None:
    """Write one start command a line; a script starts them."""
    module = "python -m crocusward.devtools.standins"
    directory = plan.directory
    life = f"--lifetime {options.lifetime_s:g}"
    cold = "--cold-start" if options.cold_start else "--no-cold-start"
    there = " ".join(f"--there {relay}" for relay in relays.there)
    back = " ".join(f"--back {relay}" for relay in relays.back)
    standins = [
        f"{module}.platform --address {plan.platform[0]} --port {plan.platform[1]}"
        f" --hosts {directory}/hosts.json --lag {LIST_LAG_S:g} {life}",
        f"{module}.backends --address {plan.backends[0]} --port {plan.backends[1]}"
        f" --places {directory}/places.json --mean-ms {options.mean_ms:g} {cold}"
        f" --antagonist-share {options.antagonist_share:g} {life}",
        f"{module}.link --address {plan.link[0]} --port {plan.link[1]}"
        f" {there} {back} {life}",
    ]
    daemons = [f"crocuswardd {directory}/{entry.name}.toml" for entry in plan.entries]
    (directory / "standins.txt").write_text("\n".join(standins) + "\n")
    (directory / "daemons.txt").write_text("\n".join(daemons) + "\n")
    servers = [f"http://{entry.address}:{plan.admin_port}" for entry in plan.entries]
    (directory / "environment").write_text(
        f"export {PEER_KEY_VARIABLE}={secrets.token_hex(24)}\n"
        f"export CROCUSWARD_TOKEN={plan.token}\n"
        f"export CROCUSWARD_SERVER={','.join(servers)}\n"
    )


def _write_json(path: Path, document: object) -> None:
    path.write_text(json.dumps(document, indent=1), encoding="utf-8")
