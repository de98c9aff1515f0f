"""Lingering close: the write side first, then input is dropped until the peer closes.

A socket that is closed with unread input, or that gets input after its close, resets
the connection, and the kernel discards what is still unsent of an answer.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from enum import StrEnum

QUIET_S = 1.0  # without input, after all bytes were delivered
STALL_S = 3.0  # without progress, while bytes are unsent
MAX_LINGER_S = 60.0  # for a peer that takes an answer slowly
MAX_DROPPED_BYTES = 16 << 20  # above it, input stays unread
PEER_CHECK_PERIOD_S = 0.1  # of connections that are not read at present
# States of a TCP connection whose peer has not closed its side (Linux, tcp_states.h).
_TCP_ESTABLISHED, _TCP_FIN_WAIT1, _TCP_FIN_WAIT2 = 1, 4, 5
_OPEN_STATES = frozenset({_TCP_ESTABLISHED, _TCP_FIN_WAIT1, _TCP_FIN_WAIT2})


class LingerEnd(StrEnum):
    """Why a connection ended before its peer had taken all and closed."""

    QUIET = "quiet"  # everything was delivered, and nothing more came
    STALLED = "stalled"  # the peer took no more bytes
    TOO_LONG = "too_long"
    DISPLACED = "displaced"  # too many others linger
    MEMORY = "memory"  # the answers took too much memory


def count_unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the peer has not acknowledged yet."""
    unsent = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return unsent
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0")
    except OSError:  # not a TCP socket of the kernel
        return unsent
    return unsent + struct.unpack("i", queued)[0]


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed its side, also if input is not read.

    A transport whose reads are paused reports neither the end of the input nor a reset.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:  # not a TCP socket of the kernel
        return False
    return info[0] not in _OPEN_STATES


class LingeringClose:
    """Closes the write side of a connection at once and limits the rest of the close.

    The owner passes on the size of what arrives, and closes the connection when
    ``find_end`` returns a reason.

    Args:
        transport: The connection. It should allow closing its write side alone.
        now_s: Monotonic time, in seconds.

    Attributes:
        unsent_bytes: Bytes that the peer had not acknowledged at the last check.
    """

    __slots__ = (
        "unsent_bytes",
        "_transport",
        "_began_s",
        "_last_sign_s",
        "_dropped_bytes",
    )

    def __init__(self, transport: asyncio.Transport, now_s: float) -> None:
        self.unsent_bytes = count_unsent_bytes(transport)
        self._transport = transport
        self._began_s = now_s
        self._last_sign_s = now_s
        self._dropped_bytes = 0
        transport.write_eof()
        transport.resume_reading()

    def drop(self, size: int, now_s: float) -> None:
        """Count input that is dropped; above the limit no more is read."""
        self._dropped_bytes += size
        self._last_sign_s = now_s
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self._transport.pause_reading()

    def find_end(self, now_s: float) -> LingerEnd | None:
        """Return why the connection should be closed now, or None."""
        unsent = count_unsent_bytes(self._transport)
        if unsent < self.unsent_bytes:
            self._last_sign_s = now_s
        self.unsent_bytes = unsent
        silent_s = now_s - self._last_sign_s
        if not unsent and silent_s >= QUIET_S:
            return LingerEnd.QUIET
        if unsent and silent_s >= STALL_S:
            return LingerEnd.STALLED
        if now_s - self._began_s >= MAX_LINGER_S:
            return LingerEnd.TOO_LONG
        return None
