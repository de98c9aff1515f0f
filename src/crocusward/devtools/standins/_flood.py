"""Backend server that sends bytes without end, for tests of memory and fairness."""

import contextlib
import re
import socket
import threading
import time

MAX_BLOCK_BYTES = 1 << 20
HEAD_BYTES = 65_536
STOP_CHECK_S = 0.2

_OK = b"HTTP/1.1 200 OK\r\nCrocusward-Request-Id: %(id)s\r\n"
_OK += b"Crocusward-Response-Signature: sig-%(id)s\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_LENGTH = _OK + b"Content-Length: %d\r\n\r\n"
_OTHER = b"HTTP/1.1 200 OK\r\nCrocusward-Request-Id: zz\r\n"
_OTHER += b"Content-Length: 9\r\n\r\nsome body"


def _chunk(size: int, extension: bytes = b"") -> bytes:
    return b"%x%s\r\n%s\r\n" % (size, extension, b"x" * size)


# What is sent once, and what follows without end, by name.
FLOODS: dict[str, tuple[bytes, bytes]] = {
    "status_line": (b"HTTP/1.1 200 ", b"x"),
    "headers": (_OK, b"a:\r\n"),
    "long_header": (_OK + b"x-a: ", b"x"),
    "interim_answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "length": (_LENGTH.replace(b"%d", b"9000000000"), b"x"),
    "no_length": (_OK + b"\r\n", b"x"),
    "chunks_of_1": (_CHUNKED, _chunk(1)),
    "chunks_of_7": (_CHUNKED, _chunk(7)),
    "chunks_of_64": (_CHUNKED, _chunk(64)),
    "chunks_of_1000": (_CHUNKED, _chunk(1000)),
    "chunks_of_60000": (_CHUNKED, _chunk(60_000)),
    "extensions": (_CHUNKED, _chunk(1, b";x=1234567")),
    "trailers": (_CHUNKED + b"0\r\n", b"a: b\r\n"),
    "other_answers": (b"", _OTHER),
    "errors": (b"", b"HTTP/1.1 500 Broken\r\nContent-Length: 2\r\n\r\nno"),
    "garbage": (b"", b"\x00\xff garbage\r\n"),
}


class FloodingServer:
    """Answers each request on its own thread with a flood until the caller closes.

    Args:
        flood: What is sent once, and what follows without end; ``%(id)s`` stands for
            the id of the request.
        probe_flood: The same for health probes; without it they are answered.

    Attributes:
        port: TCP port on loopback.
        sent_bytes: Bytes that callers have taken.
        requests: Number of requests, probes included.
    """

    def __init__(
        self,
        flood: tuple[bytes, bytes],
        probe_flood: tuple[bytes, bytes] | None = None,
    ) -> None:
        self.sent_bytes = 0
        self.requests = 0
        self._flood = flood
        self._probe_flood = probe_flood
        self._is_open = True
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._socket.settimeout(STOP_CHECK_S)
        self.port = self._socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """End all floods."""
        self._is_open = False

    def _accept(self) -> None:
        with self._socket:
            while self._is_open:
                with contextlib.suppress(TimeoutError):
                    conn, _ = self._socket.accept()
                    threading.Thread(
                        target=self._serve, args=(conn,), daemon=True
                    ).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn, contextlib.suppress(OSError):
            conn.settimeout(STOP_CHECK_S)
            while self._is_open:
                with contextlib.suppress(TimeoutError):
                    head = conn.recv(HEAD_BYTES)
                    if not head:
                        return
                    self._answer(conn, head)

    def _answer(self, conn: socket.socket, head: bytes) -> None:
        self.requests += 1
        flood = self._probe_flood if b" /health " in head else self._flood
        if flood is None:
            load = b"Crocusward-Server-Load: 0,0,8,100\r\n"
            conn.sendall(b"HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n" % load)
            return
        match = re.search(rb"(?i)crocusward-request-id: *(\S+)", head)
        first, block = flood
        conn.sendall(first.replace(b"%(id)s", match[1] if match else b""))
        data = memoryview(block * (MAX_BLOCK_BYTES // len(block)))
        while self._is_open:
            sent = 0
            while sent < len(data):
                try:
                    size = conn.send(data[sent:])
                except TimeoutError:
                    if not self._is_open:
                        return
                    continue
                sent += size
                self.sent_bytes += size
            time.sleep(0)
