"""HTTP servers for callers and operators."""

from ._admin import create_admin_app
from ._admin_server import AdminServer
from ._admin_service import AdminService
from ._admin_status import BackendStatus, FleetStatus, HostStatus
from ._application import CallerApplication
from ._http_server import HttpServer
from ._interface import CallHandler

__all__ = [
    "AdminServer",
    "AdminService",
    "BackendStatus",
    "CallHandler",
    "CallerApplication",
    "FleetStatus",
    "HostStatus",
    "HttpServer",
    "create_admin_app",
]
