"""One class for each table of the settings file."""

import os
from collections.abc import Mapping
from pathlib import Path

from ..errors import CrocusError
from ..model import Record

MIN_PEER_KEY_BYTES = 16


class SettingsSection(Record):
    """Base of the tables; takes exactly the fields of ``__slots__``."""

    __slots__ = ()

    def __init__(self, **values: object) -> None:
        if set(values) != set(self.__slots__):
            wrong = sorted(set(values) ^ set(self.__slots__))
            raise TypeError(f"{type(self).__name__}: wrong or missing {wrong}")
        for name, value in values.items():
            setattr(self, name, value)


class HostSettings(SettingsSection):
    """Table ``host``: this entry host.

    Attributes:
        name: Name on the platform's host list.
        region: Name of its region.
        data_centre: Name of its data centre.
        address: Address on which the daemon listens.
    """

    __slots__ = ("name", "region", "data_centre", "address")
    name: str
    region: str
    data_centre: str
    address: str


class TlsSettings(SettingsSection):
    """Paths of a certificate chain and its key, in PEM form."""

    __slots__ = ("cert_file", "key_file")
    cert_file: str
    key_file: str


class CallerSettings(SettingsSection):
    """Table ``callers``: the port for clients.

    Attributes:
        port: TCP port.
        tls: Certificate, or None for plain HTTP.
        notice_s: Time between failing readiness and refusing connections, in
            seconds.
    """

    __slots__ = ("port", "tls", "notice_s")
    port: int
    tls: TlsSettings | None
    notice_s: float


class AdminToken(SettingsSection):
    """One bearer token of the administration API.

    Attributes:
        name: Name of the operator, recorded as author of changes.
        role: "read", "operate" or "own".
        team: Team whose contracts an "own" token may change, else "".
        sha256: Hex digest of the token.
    """

    __slots__ = ("name", "role", "team", "sha256")
    name: str
    role: str
    team: str
    sha256: str


class AdminSettings(SettingsSection):
    """Table ``admin``: the administration API."""

    __slots__ = ("port", "tls", "tokens")
    port: int
    tls: TlsSettings | None
    tokens: tuple[AdminToken, ...]


class PeerSettings(SettingsSection):
    """Table ``peer``: the inner protocol.

    Attributes:
        port: TCP port.
        key_file: File with the shared key, or "".
        key_env: Environment variable with the shared key, or "".
        tls: Certificate, or None.
    """

    __slots__ = ("port", "key_file", "key_env", "tls")
    port: int
    key_file: str
    key_env: str
    tls: TlsSettings | None

    def read_key(self, environ: Mapping[str, str] = os.environ) -> bytes:
        """Return the shared key.

        Raises:
            CrocusError: Code ``peer_key``: absent, unreadable or too short.
        """
        if self.key_env:
            raw = environ.get(self.key_env, "").encode()
            origin = f"environment variable {self.key_env}"
        else:
            origin = f"file {self.key_file}"
            try:
                raw = Path(self.key_file).read_bytes()
            except OSError as exc:
                reason = exc.strerror or "unreadable"
                message = f"shared key in {origin}: {reason}"
                raise CrocusError(message, code="peer_key") from None
        key = raw.strip()
        if len(key) < MIN_PEER_KEY_BYTES:
            raise CrocusError(
                f"shared key in {origin} has fewer than {MIN_PEER_KEY_BYTES} bytes",
                code="peer_key",
            )
        return key


class PlatformSettings(SettingsSection):
    """Table ``platform``: the platform's services.

    Attributes:
        kind: Name in the registry of platforms.
        table_url: Address of the table service.
        object_url: Address of the object store.
        host_list_url: Address of the host list.
        timeout_s: Longest wait for one call, in seconds.
        host_poll_s: Period of reading the host list, in seconds.
    """

    __slots__ = (
        "kind",
        "table_url",
        "object_url",
        "host_list_url",
        "timeout_s",
        "host_poll_s",
    )
    kind: str
    table_url: str
    object_url: str
    host_list_url: str
    timeout_s: float
    host_poll_s: float


class RegionSettings(SettingsSection):
    """One region.

    Attributes:
        name: Unique name.
        entries: Addresses given to a client in the wrong region.
        data_centres: Names of its data centres.
    """

    __slots__ = ("name", "entries", "data_centres")
    name: str
    entries: tuple[str, ...]
    data_centres: tuple[str, ...]


class FleetSettings(SettingsSection):
    """Table ``fleet``: what all hosts have in common."""

    __slots__ = ("max_hosts", "regions")
    max_hosts: int
    regions: Mapping[str, RegionSettings]

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, or ""."""
        for region in self.regions.values():
            if data_centre in region.data_centres:
                return region.name
        return ""


class RoutingSettings(SettingsSection):
    """Table ``routing``.

    Attributes:
        policy: Name in the registry of policies.
        queue_length: Requests that wait at one host, per service.
        queue_wait_s: Longest wait there, in seconds.
        retry_share: Retries as a share of first attempts.
        probe_share: Share of backend slot time that probes may use.
        link_mbit_s: Capacity of the link between regions, each way, in Mbit/s.
        link_share: Share of it that the fleet may use.
    """

    __slots__ = (
        "policy",
        "queue_length",
        "queue_wait_s",
        "retry_share",
        "probe_share",
        "link_mbit_s",
        "link_share",
    )
    policy: str
    queue_length: int
    queue_wait_s: float
    retry_share: float
    probe_share: float
    link_mbit_s: float
    link_share: float


class ConfigSettings(SettingsSection):
    """Table ``config``.

    Attributes:
        poll_s: Period of reading the head of the change log, in seconds.
        confirmation_lifetime_s: How long a read confirms the copy, in seconds.
    """

    __slots__ = ("poll_s", "confirmation_lifetime_s")
    poll_s: float
    confirmation_lifetime_s: float


class BackendHeaders(SettingsSection):
    """Table ``backends``: header names agreed with backend servers, lower case."""

    __slots__ = (
        "request_id",
        "deadline",
        "depth",
        "load",
        "boot",
        "shed",
        "draining",
        "rate_limit",
        "load_path",
    )
    request_id: str
    deadline: str
    depth: str
    load: str
    boot: str
    shed: str
    draining: str
    rate_limit: str
    load_path: str


class LogSettings(SettingsSection):
    """Table ``logs``: the lowest level that is written."""

    __slots__ = ("level",)
    level: str


class Settings(SettingsSection):
    """All settings of one daemon."""

    __slots__ = (
        "host",
        "callers",
        "admin",
        "peer",
        "platform",
        "fleet",
        "routing",
        "config",
        "backends",
        "logs",
    )
    host: HostSettings
    callers: CallerSettings
    admin: AdminSettings
    peer: PeerSettings
    platform: PlatformSettings
    fleet: FleetSettings
    routing: RoutingSettings
    config: ConfigSettings
    backends: BackendHeaders
    logs: LogSettings
