"""Mutual authentication of two peers with a shared key.

The dialler sends a Hello without a MAC. The acceptor replies with its own Hello,
whose MAC covers both. The dialler then repeats its Hello with a MAC. Each MAC
covers both nonces, which prevents replay on another link, and the role, which
prevents reflection of a MAC to its sender.
"""

import asyncio
import hmac
import secrets
from collections.abc import Callable

import cbor2
from websockets.asyncio.connection import Connection

from ._codec import MAX_HELLO_BYTES, decode, encode
from ._faults import LinkFault, PeerProtocolError
from ._formats import NONCE_BYTES
from ._messages import PROTOCOL_VERSION, Hello
from ._options import HANDSHAKE_TIMEOUT_S, PeerIdentity

ROLE_DIALLER = "dialler"
ROLE_ACCEPTOR = "acceptor"


class Authenticator:
    """Runs the authentication handshake of one daemon.

    Args:
        identity: This daemon.
        key: Shared key.
        make_nonce: Returns the given number of cryptographically random bytes.
    """

    __slots__ = ("_identity", "_key", "_make_nonce")

    def __init__(
        self,
        identity: PeerIdentity,
        key: bytes,
        make_nonce: Callable[[int], bytes] = secrets.token_bytes,
    ) -> None:
        self._identity = identity
        self._key = key
        self._make_nonce = make_nonce

    async def dial(self, conn: Connection, expected_host: str) -> PeerIdentity:
        """Authenticate on a dialled connection and return the peer.

        Raises:
            PeerProtocolError: The peer has a wrong key or host name.
            TimeoutError: The handshake timed out.
        """
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            own_hello = self._make_hello()
            await conn.send(encode(own_hello))
            peer_hello = await _receive(conn)
            self._verify(ROLE_ACCEPTOR, own_hello, peer_hello, peer_hello.mac)
            own_hello.mac = self._mac(ROLE_DIALLER, own_hello, peer_hello)
            await conn.send(encode(own_hello))
        if peer_hello.host != expected_host:
            raise PeerProtocolError(LinkFault.WRONG_HOST, f"{peer_hello.host} answered")
        return _identity_of(peer_hello)

    async def accept(self, conn: Connection) -> PeerIdentity:
        """Authenticate on an accepted connection and return the peer.

        Raises:
            PeerProtocolError: The peer does not have the key.
            TimeoutError: The handshake timed out.
        """
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            peer_hello = await _receive(conn)
            own_hello = self._make_hello()
            own_hello.mac = self._mac(ROLE_ACCEPTOR, peer_hello, own_hello)
            await conn.send(encode(own_hello))
            proof = await _receive(conn)
        mac, proof.mac = proof.mac, peer_hello.mac
        if proof != peer_hello:
            raise PeerProtocolError(LinkFault.AUTH_FAILED, "the second Hello differs")
        self._verify(ROLE_DIALLER, peer_hello, own_hello, mac)
        return _identity_of(peer_hello)

    def _make_hello(self) -> Hello:
        return Hello(
            PROTOCOL_VERSION,
            self._identity.host,
            self._identity.region,
            self._identity.data_centre,
            self._identity.incarnation,
            self._make_nonce(NONCE_BYTES),
        )

    def _verify(self, role: str, dialler: Hello, acceptor: Hello, mac: bytes) -> None:
        if not hmac.compare_digest(self._mac(role, dialler, acceptor), mac):
            raise PeerProtocolError(LinkFault.AUTH_FAILED, "wrong MAC")
        peer_hello = dialler if role == ROLE_DIALLER else acceptor
        if peer_hello.host == self._identity.host:
            raise PeerProtocolError(
                LinkFault.OWN_NAME, "the peer uses the name of this host"
            )

    def _mac(self, role: str, dialler: Hello, acceptor: Hello) -> bytes:
        content = [
            role,
            _authenticated_fields(dialler),
            _authenticated_fields(acceptor),
        ]
        return hmac.digest(self._key, cbor2.dumps(content), "sha256")


def _authenticated_fields(hello: Hello) -> list[object]:
    return [
        hello.protocol,
        hello.host,
        hello.region,
        hello.data_centre,
        hello.incarnation,
        hello.nonce,
    ]


def _identity_of(hello: Hello) -> PeerIdentity:
    return PeerIdentity(hello.host, hello.region, hello.data_centre, hello.incarnation)


async def _receive(conn: Connection) -> Hello:
    data = await conn.recv()
    if not isinstance(data, bytes):
        raise PeerProtocolError(LinkFault.MALFORMED, "text frame")
    if len(data) > MAX_HELLO_BYTES:
        raise PeerProtocolError(LinkFault.TOO_LARGE, "Hello")
    message = decode(data).message
    if not isinstance(message, Hello):
        raise PeerProtocolError(LinkFault.UNEXPECTED, "expected a Hello")
    return message
