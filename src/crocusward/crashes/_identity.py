"""Digests that identify a request, whoever sends it again, and a crash of a server."""

import hashlib
from collections.abc import Iterable

TARGET_DIGEST_BYTES = 4  # compared before a body is hashed
REST_DIGEST_BYTES = 12
DIGEST_BYTES = TARGET_DIGEST_BYTES + REST_DIGEST_BYTES
CRASH_ID_BYTES = 8
# Headers that identify the caller; others, such as ids and deadlines, differ each time.
CALLER_HEADERS = frozenset({b"authorization"})


def target_digest(method: str, host: str, target: str) -> bytes:
    """Return the digest of what a request asks for, without caller and body."""
    text = f"{method} {host} {target}"
    return hashlib.blake2b(
        text.encode("utf-8", "surrogateescape"), digest_size=TARGET_DIGEST_BYTES
    ).digest()


def request_digest(
    method: str,
    host: str,
    target: str,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes | bytearray,
) -> bytes:
    """Return the digest of a request, which begins with its target digest.

    Args:
        method: HTTP method.
        host: Host name.
        target: Path and query.
        headers: Headers with names in lower case.
        body: The whole body.
    """
    rest = hashlib.blake2b(digest_size=REST_DIGEST_BYTES)
    for name, value in headers:
        if name in CALLER_HEADERS:
            rest.update(name + b":" + value + b"\n")
    rest.update(b"\n")
    rest.update(body)
    return target_digest(method, host, target) + rest.digest()


def request_digests(
    method: str,
    host: str,
    target: str,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes | bytearray,
) -> tuple[bytes, ...]:
    """Return the digest of a request, and that without its caller if it names one.

    The second one is for callers whose credentials differ each time.
    """
    named = [item for item in headers if item[0] in CALLER_HEADERS]
    own = request_digest(method, host, target, named, body)
    return (own, request_digest(method, host, target, (), body)) if named else (own,)


def crash_id(server: str, started_unix_ms: int) -> bytes:
    """Return the id of the crash of one run of a server, the same on all hosts."""
    text = f"{server} {started_unix_ms}"
    return hashlib.blake2b(text.encode(), digest_size=CRASH_ID_BYTES).digest()
