"""Issued idempotency keys, which name and authenticate their issuer."""

import binascii
import struct
from base64 import urlsafe_b64decode, urlsafe_b64encode
from hashlib import blake2b
from hmac import compare_digest

from ..errors import Attempt, Outcome, Refusal, RefusalCode
from ..model import Record
from ..timing import TimerService

KEY_LIFETIME_S = 600.0
KEY_PREFIX = "k1~"
MAC_BYTES = 12  # 96 bits; each forgery attempt needs a request to a live host
TICKS_PER_S = 10  # resolution of the issue time inside a key
MAX_KEY_CHARS = 400
_KEY_BODY = struct.Struct(
    ">QQI"
)  # incarnation, sequence, issue time in ticks; 20 bytes
_ENCODED_BODY_CHARS = 43  # 32 bytes in base64 without padding


class IssuedKey(Record):
    """A key that some incarnation issued.

    Attributes:
        host: Host of the issuer.
        region: Region of the issuer.
        incarnation: Incarnation of the issuer, the holder of the key.
        sequence: Number of the key within the incarnation, from 1.
        issued_ticks: Issue time on the issuer's clock, in tenths of a second.
    """

    __slots__ = ("host", "region", "incarnation", "sequence", "issued_ticks")

    def __init__(
        self,
        host: str,
        region: str,
        incarnation: int,
        sequence: int,
        issued_ticks: int,
    ) -> None:
        self.host = host
        self.region = region
        self.incarnation = incarnation
        self.sequence = sequence
        self.issued_ticks = issued_ticks


class KeyIssuer:
    """Issues and checks keys of the form ``k1~HOST~REGION~BODY``.

    The MAC covers host, region, contract, incarnation, sequence and issue time.

    Args:
        fleet_secret: Secret that all entry hosts share, 16 to 64 bytes.
        host: Name of this host.
        region: Region of this host.
        incarnation: Incarnation of this run of the daemon.
        timer: Time source.
        lifetime_s: Time after issue in which a first send is allowed, in seconds.
    """

    __slots__ = (
        "_secret",
        "_incarnation",
        "_timer",
        "_lifetime_s",
        "_started_s",
        "_sequence",
        "_issuer_name",
    )

    def __init__(
        self,
        fleet_secret: bytes,
        host: str,
        region: str,
        incarnation: int,
        timer: TimerService,
        lifetime_s: float = KEY_LIFETIME_S,
    ) -> None:
        if not 16 <= len(fleet_secret) <= 64:
            raise ValueError("the fleet secret must have 16 to 64 bytes")
        if "~" in host or "~" in region:
            raise ValueError("names of hosts and regions must not contain '~'")
        self._secret = fleet_secret
        self._incarnation = incarnation
        self._timer = timer
        self._lifetime_s = lifetime_s
        self._started_s = timer.now()
        self._sequence = 0
        self._issuer_name = f"{host}~{region}"

    def issue(self, contract: str) -> str:
        """Return a new key for a contract."""
        self._sequence += 1
        body = _KEY_BODY.pack(self._incarnation, self._sequence, self._ticks())
        mac = self._mac(self._issuer_name, contract, body)
        return f"{KEY_PREFIX}{self._issuer_name}~{_encode(body + mac)}"

    def parse(self, key: str, contract: str) -> IssuedKey | None:
        """Decode an issued key; return None for a client-supplied key.

        Raises:
            Refusal: Code ``bad_request``: the key has the form of an issued key
                but was altered, forged, or issued for another contract.
        """
        if not key.startswith(KEY_PREFIX):
            return None
        parts = key[len(KEY_PREFIX) :].split("~")
        if len(parts) != 3 or len(key) > MAX_KEY_CHARS:
            raise _malformed_refusal()
        host, region, encoded = parts
        data = _decode(encoded)
        body = data[: _KEY_BODY.size]
        expected = self._mac(f"{host}~{region}", contract, body)
        if not compare_digest(expected, data[_KEY_BODY.size :]):
            raise _malformed_refusal()
        return IssuedKey(host, region, *_KEY_BODY.unpack(body))

    def is_own(self, issued: IssuedKey) -> bool:
        """Return True if this incarnation issued the key and so holds it."""
        return issued.incarnation == self._incarnation

    def check_first_send(self, issued: IssuedKey) -> Refusal | None:
        """Return a refusal unless a key that is not in the ledger is safe to send.

        The ledger keeps entries longer than the lifetime, so a key that is
        neither expired nor in the ledger certainly was not sent.
        """
        if not self.is_own(issued):
            return Refusal(
                RefusalCode.HOLDER_GONE,
                "the key was issued by another incarnation",
                outcome=Outcome.UNKNOWN,
                attempt=Attempt.NOT_SENT,
            )
        age_ticks = self._ticks() - issued.issued_ticks
        if age_ticks < self._lifetime_s * TICKS_PER_S:
            return None
        return Refusal(
            RefusalCode.KEY_EXPIRED,
            "the key has expired and may have been used before",
            outcome=Outcome.UNKNOWN,
            attempt=Attempt.NOT_SENT,
        )

    def _ticks(self) -> int:
        return int((self._timer.now() - self._started_s) * TICKS_PER_S)

    def _mac(self, issuer_name: str, contract: str, body: bytes) -> bytes:
        text = f"{issuer_name}~{contract}\0".encode("utf-8", "surrogateescape")
        return blake2b(text + body, digest_size=MAC_BYTES, key=self._secret).digest()


def _encode(data: bytes) -> str:
    return urlsafe_b64encode(data).rstrip(b"=").decode("ascii")


def _decode(encoded: str) -> bytes:
    """Decode a key body; only its canonical base64 form is accepted."""
    if len(encoded) != _ENCODED_BODY_CHARS or not encoded.isascii():
        raise _malformed_refusal()
    try:
        data = urlsafe_b64decode(encoded + "=")
    except (binascii.Error, ValueError):
        raise _malformed_refusal() from None
    if _encode(data) != encoded:
        raise _malformed_refusal()
    return data


def _malformed_refusal() -> Refusal:
    return Refusal(
        RefusalCode.BAD_REQUEST,
        "the idempotency key is altered or belongs to another contract",
    )
