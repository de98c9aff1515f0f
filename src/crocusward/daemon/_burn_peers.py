"""Fetches the burn snapshots of other entry hosts."""

import asyncio
import hashlib
import json
from urllib.parse import quote

from ..burn import PeerSnapshot, decode_snapshot
from ..errors import CrocusError
from ..model import ListedHost
from ..settings import AdminToken
from ..upstream import HttpPool
from ._node import Node

SNAPSHOT_TIMEOUT_S = 3.0
SNAPSHOT_BYTES = 16_777_216
PEER_OPERATOR = "peer"


class BurnPeers:
    """Asks the administration API of each listed entry host.

    All hosts of a fleet use the same administration port.

    Args:
        node: The host's logic.
        pool: Connections.
        port: Administration port.
        key: Shared key of the peers; the token is derived from it.
    """

    __slots__ = ("_node", "_pool", "_port", "_token")

    def __init__(self, node: Node, pool: HttpPool, port: int, key: bytes) -> None:
        self._node = node
        self._pool = pool
        self._port = port
        self._token = _derive_token(key)

    def operator(self) -> AdminToken:
        """Return the read-only operator that peers appear as."""
        digest = hashlib.sha256(self._token.encode()).hexdigest()
        return AdminToken(name=PEER_OPERATOR, role="read", team="", sha256=digest)

    async def fetch(self, region: str) -> list[PeerSnapshot]:
        """Return one entry for each other listed host."""
        own = self._node.identity.host
        hosts = [h for h in self._node.membership.entries if h.name != own]
        return list(await asyncio.gather(*(self._ask(h, region) for h in hosts)))

    async def _ask(self, host: ListedHost, region: str) -> PeerSnapshot:
        try:
            answer = await self._pool.request(
                host.address,
                self._port,
                "GET",
                f"/v1/burn/snapshot?region={quote(region)}",
                [(b"authorization", b"Bearer " + self._token.encode())],
                timeout_s=SNAPSHOT_TIMEOUT_S,
                limit_bytes=SNAPSHOT_BYTES,
            )
            if answer.status != 200:
                return PeerSnapshot(host.name, None, f"status {answer.status}")
            return PeerSnapshot(host.name, decode_snapshot(json.loads(answer.body)))
        except CrocusError as exc:
            return PeerSnapshot(host.name, None, exc.code)
        except ValueError:
            return PeerSnapshot(host.name, None, "malformed snapshot")


def _derive_token(key: bytes) -> str:
    return hashlib.blake2b(key, digest_size=32, person=b"burn-snapshots").hexdigest()
