"""Assembly of the daemon."""

from ._command import main
from ._node import Node
from ._options import NodeOptions, NodeSecrets
from ._ports import BackendPort, PeerPort, Platform
from ._shutdown import DrainingServer, GracefulStop

__all__ = [
    "BackendPort",
    "DrainingServer",
    "GracefulStop",
    "Node",
    "NodeOptions",
    "NodeSecrets",
    "PeerPort",
    "Platform",
    "main",
]
