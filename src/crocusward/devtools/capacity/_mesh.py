"""Cost of the links to peers, apart from everything else that a daemon does."""

import asyncio

from ..peer_cost import measure_mesh
from ._fit import fit_line

PEERS = (4, 16)
CONTRACTS = 3  # as many as a daemon reports
SECONDS = 4.0


def measure_links() -> dict[str, object]:
    """Return fits of one daemon's links against their number."""
    points = []
    for peers in PEERS:
        result = asyncio.run(measure_mesh(peers, CONTRACTS, SECONDS))
        points.append((float(peers), result))
    return {
        name: fit_line([(size, result[name]) for size, result in points]).as_table()
        for name in ("cpu_share_per_daemon", "bytes_per_s", "bytes_per_s_with_tcp_ip")
    }
