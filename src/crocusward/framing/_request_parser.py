"""Parser of HTTP/1.1 requests that ignores offers to change the protocol."""

from typing import Protocol

import httptools

FRAMING_NAMES = frozenset({b"content-length", b"transfer-encoding"})
_CONNECTION_OPTIONS = {True: b"keep-alive", False: b"close"}

Headers = list[tuple[bytes, bytes]]


class RequestCallbacks(Protocol):
    """Receives the parts of each request.

    Attributes:
        headers: Headers of the head that is being read, with names in lower case.
    """

    headers: Headers

    def on_message_begin(self) -> None:
        """Begin a request."""

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header or a trailer."""

    def on_headers_complete(self) -> None:
        """End the head."""

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""

    def on_message_complete(self) -> None:
        """End the request."""


class RequestParser:
    """Parses requests; one that offers an upgrade is a request like any other.

    A server may ignore an offer (RFC 9110, 7.8). httptools ends the message of an
    offer at its head, so that its body would be taken for another protocol. A second
    parser, which starts from a head of the same framing, reads on from there.

    Args:
        callbacks: Receives the parts of the requests.
    """

    __slots__ = (
        "on_body",
        "_callbacks",
        "_parser",
        "_framing",
        "_is_at_offer",
        "_is_skipping",
    )

    def __init__(self, callbacks: RequestCallbacks) -> None:
        self.on_body = callbacks.on_body
        self._callbacks = callbacks
        self._parser = httptools.HttpRequestParser(self)
        self._framing: Headers = []  # of the last head with an offer
        self._is_at_offer = False  # the last head offers an upgrade
        self._is_skipping = False  # the head that is being read is a repeated one

    def feed_data(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        Raises:
            httptools.HttpParserError: The bytes are no HTTP/1.1 requests, or a callback
                has failed.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as exc:
                data = data[exc.args[0] :]
            self._read_on_after_offer()

    def get_method(self) -> bytes:
        """Return the method of the request."""
        return self._parser.get_method()

    def get_http_version(self) -> str:
        """Return the version of the request, such as 1.1."""
        return self._parser.get_http_version()

    def should_keep_alive(self) -> bool:
        """Return whether another request may follow."""
        return self._parser.should_keep_alive()

    def should_upgrade(self) -> bool:
        """Return False, since offers are ignored."""
        return False

    def _read_on_after_offer(self) -> None:
        option = _CONNECTION_OPTIONS[self._parser.should_keep_alive()]
        head = b"%s / HTTP/%s\r\n" % (
            self._parser.get_method(),
            self._parser.get_http_version().encode("ascii"),
        )
        head += b"".join(b"%s: %s\r\n" % header for header in self._framing)
        head += b"connection: %s\r\n\r\n" % option
        self._is_at_offer = False
        self._is_skipping = True
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(head)

    # Callbacks of httptools.HttpRequestParser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        if not self._is_skipping:
            self._callbacks.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Pass on a part of the request target."""
        if not self._is_skipping:
            self._callbacks.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a header or a trailer."""
        if not self._is_skipping:
            self._callbacks.on_header(name, value)

    def on_headers_complete(self) -> None:
        """End the head; refuse CONNECT, which asks for a tunnel."""
        if self._is_skipping:
            self._is_skipping = False
            return
        if self._parser.should_upgrade():
            if self._parser.get_method() == b"CONNECT":
                raise ValueError("CONNECT is not supported")
            headers = self._callbacks.headers
            self._framing = [item for item in headers if item[0] in FRAMING_NAMES]
            self._is_at_offer = True
        self._callbacks.on_headers_complete()

    def on_message_complete(self) -> None:
        """End the request, unless its body follows behind an offer."""
        if not self._is_at_offer:
            self._callbacks.on_message_complete()
