"""Settings of the daemon, read from TOML."""

from ._load import load_settings, parse_settings
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

__all__ = [
    "AdminSettings",
    "AdminToken",
    "BackendHeaders",
    "CallerSettings",
    "ConfigSettings",
    "FleetSettings",
    "HostSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "RegionSettings",
    "RoutingSettings",
    "Settings",
    "TlsSettings",
    "load_settings",
    "parse_settings",
]
