"""Reads and checks the settings file."""

from pathlib import Path

from ..documents import FindingList, LineIndex, Section, parse_toml
from ..errors import Finding, FindingsError, SourceLocation
from ..platform import TABLE_SERVICES
from ..routing import DEFAULT_POLICY, policies
from ._sections import (
    AdminSettings,
    AdminToken,
    BackendHeaders,
    CallerSettings,
    ConfigSettings,
    FleetSettings,
    HostSettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    RegionSettings,
    RoutingSettings,
    Settings,
    TlsSettings,
)

NAME = r"[a-z0-9][a-z0-9-]{0,62}"
NAME_FORM = "a name of lower-case letters, digits and hyphens"
DIGEST = r"[0-9a-f]{64}"
URL = r"https?://[^\s/]+(/[^\s]*)?"
HEADER = r"[a-z0-9-]+"
# The list may not be older than the 3 s in which a leaving server must be seen.
MAX_HOST_POLL_S = 2.0
# A cut-off host serves for so long; below the 3 s for a data centre taken out.
MAX_CONFIRMATION_S = 2.8
LEVELS = ("debug", "info", "warning", "error")
ROLES = ("read", "operate", "own")


def load_settings(path: str | Path) -> Settings:
    """Read a settings file.

    Relative paths in the file count from its directory.

    Raises:
        FindingsError: The file is unreadable or has faults; all are listed.
    """
    source = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or "is not UTF-8 text"
        finding = Finding(
            SourceLocation(source, ""), "unreadable", f"cannot read: {reason}"
        )
        raise FindingsError([finding]) from None
    return parse_settings(text, source, Path(path).parent)


def parse_settings(
    text: str, source: str = "settings", base: Path | None = None
) -> Settings:
    """Check the text of a settings file.

    Raises:
        FindingsError: All faults of the text.
    """
    table = parse_toml(text, source)
    findings = FindingList(source, LineIndex(text))
    root = Section(table, findings)
    reader = _SettingsReader(base or Path())
    settings = reader.read(root)
    _check_consistency(settings, findings)
    findings.raise_if_any()
    return settings


class _SettingsReader:
    """Turns tables into settings; relative paths count from ``base``."""

    __slots__ = ("_base",)

    def __init__(self, base: Path) -> None:
        self._base = base

    def read(self, root: Section) -> Settings:
        """Return the settings, with placeholders where there are findings."""
        settings = Settings(
            host=_read_host(root.section("host")),
            callers=self._read_callers(root.section("callers")),
            admin=self._read_admin(root.section("admin")),
            peer=self._read_peer(root.section("peer")),
            platform=_read_platform(root.section("platform")),
            fleet=_read_fleet(root.section("fleet")),
            routing=_read_routing(root.section("routing")),
            config=_read_config(root.section("config")),
            backends=_read_backends(root.section("backends")),
            logs=_read_logs(root.section("logs")),
        )
        root.finish()
        return settings

    def _read_callers(self, section: Section) -> CallerSettings:
        settings = CallerSettings(
            port=_port(section),
            tls=self._read_tls(section),
            notice_s=section.number("notice_s", 2.0, low=0, high=60, unit="s"),
        )
        section.finish()
        return settings

    def _read_admin(self, section: Section) -> AdminSettings:
        port = _port(section)
        tls = self._read_tls(section)
        tokens = [_read_token(item) for item in section.sections("tokens")]
        path = section.text("tokens_file", "")
        if path:
            tokens += self._read_tokens_file(section, path)
        if not tokens:
            section.add("tokens", "missing", "no token in tokens or tokens_file")
        for name in {item.name for item in tokens}:
            if sum(item.name == name for item in tokens) > 1:
                section.add("tokens", "value", f"two tokens have the name {name!r}")
        section.finish()
        return AdminSettings(port=port, tls=tls, tokens=tuple(tokens))

    def _read_tokens_file(self, section: Section, path: str) -> list[AdminToken]:
        full = self._base / path
        try:
            text = full.read_text(encoding="utf-8")
            table = parse_toml(text, str(full))
        except FindingsError as exc:
            section.findings.items.extend(exc.findings)
            return []
        except (OSError, UnicodeDecodeError):
            section.add("tokens_file", "unreadable", f"cannot read {path!r}")
            return []
        findings = FindingList(str(full), LineIndex(text))
        root = Section(table, findings)
        tokens = [_read_token(item) for item in root.sections("tokens")]
        root.finish()
        section.findings.items.extend(findings.items)
        return tokens

    def _read_peer(self, section: Section) -> PeerSettings:
        key_file = section.text("key_file", "")
        key_env = section.text(
            "key_env",
            "",
            pattern=r"[A-Z_][A-Z0-9_]*|",
            expected="the name of an environment variable",
            hidden=True,
        )
        if bool(key_file) == bool(key_env):
            message = "exactly one of key_file and key_env must be set"
            section.add("key_file", "missing", message)
        settings = PeerSettings(
            port=_port(section),
            key_file=str(self._base / key_file) if key_file else "",
            key_env=key_env,
            tls=self._read_tls(section),
        )
        section.finish()
        return settings

    def _read_tls(self, section: Section) -> TlsSettings | None:
        cert = section.text("tls_cert_file", "")
        key = section.text("tls_key_file", "")
        if bool(cert) != bool(key):
            absent = "tls_key_file" if cert else "tls_cert_file"
            section.add(absent, "missing", "a certificate and its key belong together")
        if not cert or not key:
            return None
        return TlsSettings(
            cert_file=str(self._base / cert), key_file=str(self._base / key)
        )


def _name(section: Section, key: str) -> str:
    return section.text(key, pattern=NAME, expected=NAME_FORM)


def _port(section: Section) -> int:
    return section.integer("port", low=1, high=65535)


def _share(section: Section, key: str, default: float) -> float:
    return section.number(key, default, low=0, high=1)


def _read_host(section: Section) -> HostSettings:
    settings = HostSettings(
        name=_name(section, "name"),
        region=_name(section, "region"),
        data_centre=_name(section, "data_centre"),
        address=section.text("address", pattern=r"[0-9A-Za-z.:-]+"),
    )
    section.finish()
    return settings


def _read_token(section: Section) -> AdminToken:
    token = AdminToken(
        name=section.text("name", pattern=r"[\w.@-]{1,64}", expected="a short name"),
        role=section.text("role", choices=ROLES),
        team=section.text("team", ""),
        sha256=section.text(
            "sha256",
            pattern=DIGEST,
            expected="a SHA-256 digest of 64 lower-case hex digits",
            hidden=True,
        ),
    )
    if (token.role == "own") != bool(token.team):
        section.add("team", "value", "belongs to the role own and only to it")
    section.finish()
    return token


def _read_platform(section: Section) -> PlatformSettings:
    kind = section.text("kind", "http", choices=TABLE_SERVICES.names())
    default = None if kind == "http" else ""
    expected = "an http or https address"
    pattern = URL if kind == "http" else ""
    settings = PlatformSettings(
        kind=kind,
        table_url=section.text(
            "table_url", default, pattern=pattern, expected=expected
        ),
        object_url=section.text(
            "object_url", default, pattern=pattern, expected=expected
        ),
        host_list_url=section.text(
            "host_list_url", default, pattern=pattern, expected=expected
        ),
        timeout_s=section.number("timeout_s", 1.0, low=0.05, high=30, unit="s"),
        host_poll_s=section.number(
            "host_poll_s", 1.0, low=0.1, high=MAX_HOST_POLL_S, unit="s"
        ),
    )
    section.finish()
    return settings


def _read_fleet(section: Section) -> FleetSettings:
    regions = {}
    table = section.section("regions")
    for name in table.names():
        item = table.section(name)
        regions[name] = RegionSettings(
            name=name,
            entries=item.texts("entries"),
            data_centres=item.texts("data_centres"),
        )
        item.finish()
    if not regions:
        section.add("regions", "missing", "at least one region is required")
    settings = FleetSettings(
        max_hosts=section.integer("max_hosts", low=1, high=10_000, unit="hosts"),
        regions=regions,
    )
    section.finish()
    return settings


def _read_routing(section: Section) -> RoutingSettings:
    settings = RoutingSettings(
        policy=section.text("policy", DEFAULT_POLICY, choices=policies.names()),
        queue_length=section.integer(
            "queue_length", 256, low=1, high=100_000, unit="requests"
        ),
        queue_wait_s=section.number("queue_wait_s", 1.0, low=0.001, high=60, unit="s"),
        retry_share=_share(section, "retry_share", 0.1),
        probe_share=_share(section, "probe_share", 0.01),
        link_mbit_s=section.number(
            "link_mbit_s", 30.0, low=0.1, high=100_000, unit="Mbit/s"
        ),
        link_share=_share(section, "link_share", 0.5),
    )
    section.finish()
    return settings


def _read_config(section: Section) -> ConfigSettings:
    settings = ConfigSettings(
        poll_s=section.number("poll_s", 1.0, low=0.05, high=1.4, unit="s"),
        confirmation_lifetime_s=section.number(
            "confirmation_lifetime_s", 2.8, low=0.5, high=MAX_CONFIRMATION_S, unit="s"
        ),
    )
    section.finish()
    return settings


def _read_backends(section: Section) -> BackendHeaders:
    def header(key: str, default: str) -> str:
        return section.text(
            key, default, pattern=HEADER, expected="a header name in lower case"
        )

    settings = BackendHeaders(
        request_id=header("request_id", "x-request-id"),
        deadline=header("deadline", "crocusward-deadline-ms"),
        depth=header("depth", "crocusward-depth"),
        load=header("load", "x-backend-load"),
        boot=header("boot", "x-backend-boot"),
        shed=header("shed", "x-backend-shed"),
        draining=header("draining", "x-backend-draining"),
        rate_limit=header("rate_limit", "x-backend-rate-limit"),
        load_path=section.text(
            "load_path", "/-/load", pattern=r"/\S*", expected="a path"
        ),
    )
    section.finish()
    return settings


def _read_logs(section: Section) -> LogSettings:
    settings = LogSettings(level=section.text("level", "info", choices=LEVELS))
    section.finish()
    return settings


def _check_consistency(settings: Settings, findings: FindingList) -> None:
    """Check what involves more than one table."""
    host, fleet = settings.host, settings.fleet
    if fleet.regions and host.region and host.region not in fleet.regions:
        known = ", ".join(sorted(fleet.regions))
        message = f"{host.region!r} is not in fleet.regions ({known})"
        findings.add("host.region", "unknown_name", message)
    elif host.region in fleet.regions and host.data_centre:
        if host.data_centre not in fleet.regions[host.region].data_centres:
            message = f"{host.data_centre!r} is not a data centre of {host.region!r}"
            findings.add("host.data_centre", "unknown_name", message)
    _check_data_centres(fleet, findings)
    _check_ports(settings, findings)
    if settings.config.poll_s * 2 > settings.config.confirmation_lifetime_s:
        message = "must be at most half of confirmation_lifetime_s"
        findings.add("config.poll_s", "range", message)


def _check_data_centres(fleet: FleetSettings, findings: FindingList) -> None:
    owner: dict[str, str] = {}
    for region in fleet.regions.values():
        for name in region.data_centres:
            if name in owner:
                path = f"fleet.regions.{region.name}.data_centres"
                message = f"{name!r} is also a data centre of {owner[name]!r}"
                findings.add(path, "value", message)
            owner[name] = region.name


def _check_ports(settings: Settings, findings: FindingList) -> None:
    seen: dict[int, str] = {}
    tables = ("callers", "admin", "peer")
    for name in tables:
        port = getattr(settings, name).port
        if port in seen and port > 1:
            message = f"{port} is also the port of {seen[port]}"
            findings.add(f"{name}.port", "value", message)
        seen[port] = name
