"""Pending requests to peers."""

import asyncio
from typing import TypeVar

from ..errors import PeerUnreachableError
from ..model import Record
from ._codec import encode
from ._faults import PeerProtocolError
from ._link import OutgoingFrame, PeerLink
from ._messages import Message

R = TypeVar("R", bound=Message)


class _PendingRequest(Record):
    """A request queued on a link, and the future of its reply."""

    __slots__ = ("link", "outgoing", "reply_type", "future")

    def __init__(
        self,
        link: PeerLink,
        outgoing: OutgoingFrame,
        reply_type: type[Message],
        future: asyncio.Future[Message],
    ) -> None:
        self.link = link
        self.outgoing = outgoing
        self.reply_type = reply_type
        self.future = future


class PendingRequests:
    """Matches replies to requests by correlation number and incarnation."""

    __slots__ = ("_requests", "_last_correlation")

    def __init__(self) -> None:
        self._requests: dict[int, _PendingRequest] = {}
        self._last_correlation = 0

    async def send_request(
        self, link: PeerLink, req: Message, reply_type: type[R], timeout_s: float
    ) -> R:
        """Send a request and return its reply.

        Raises:
            PeerUnreachableError: No reply came; ``sent`` is False only if no byte
                of the request was written.
        """
        self._last_correlation += 1
        correlation = self._last_correlation
        outgoing = self._enqueue(link, req, correlation)
        future = asyncio.get_running_loop().create_future()
        self._requests[correlation] = _PendingRequest(
            link, outgoing, reply_type, future
        )
        try:
            async with asyncio.timeout(timeout_s):
                reply = await future
        except TimeoutError:
            raise PeerUnreachableError("no reply in time", sent=outgoing.is_started)
        finally:
            # Drops a request that is still queued.
            outgoing.is_cancelled = True
            del self._requests[correlation]
        assert isinstance(reply, reply_type)
        return reply

    def resolve(self, link: PeerLink, correlation: int, reply: Message) -> bool:
        """Complete a request; return False if none is pending for this reply."""
        request = self._requests.get(correlation)
        if request is None or request.future.done():
            return False
        same_peer = request.link.peer.incarnation == link.peer.incarnation
        if not same_peer or not isinstance(reply, request.reply_type):
            return False
        request.future.set_result(reply)
        return True

    def fail_requests(self, link: PeerLink, is_replaced: bool) -> None:
        """Fail the pending requests of a closed link."""
        for request in self._requests.values():
            if request.link is link and not request.future.done():
                sent = request.outgoing.is_started
                request.future.set_exception(
                    PeerUnreachableError("the link broke", sent=sent, gone=is_replaced)
                )

    def _enqueue(self, link: PeerLink, req: Message, correlation: int) -> OutgoingFrame:
        try:
            data = encode(req, correlation)
        except PeerProtocolError as exc:
            raise PeerUnreachableError(str(exc), sent=False) from exc
        outgoing = link.send_forward(data)
        if outgoing is None:
            raise PeerUnreachableError("the send queue is full", sent=False)
        return outgoing
