"""Serves requests from peers, within limits on their number and size."""

import asyncio

from ..errors import Attempt, Outcome, RefusalCode
from ._codec import encode
from ._faults import PeerProtocolError
from ._link import PeerLink
from ._messages import (
    ForwardReply,
    ForwardRequest,
    Message,
    OutcomeRequest,
)
from ._options import MAX_SERVED_BYTES, MAX_SERVED_REQUESTS, PeerHandler


class RequestServer:
    """Runs the handler for each request and sends the reply.

    Args:
        handler: Answers the requests.
    """

    __slots__ = ("_handler", "_tasks", "_served_bytes")

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._served_bytes = 0

    def serve(
        self, link: PeerLink, correlation: int, req: ForwardRequest | OutcomeRequest
    ) -> None:
        """Start serving a request.

        It runs to completion even if the link closes: the request may have been
        sent to a backend server, and the ledger must record the answer.
        """
        if self._is_full(req):
            if isinstance(req, ForwardRequest):
                _send_reply(link, correlation, _busy_reply())
            return
        self._served_bytes += _body_bytes(req)
        task = asyncio.get_running_loop().create_task(
            self._handle(link, correlation, req)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_full(self, req: ForwardRequest | OutcomeRequest) -> bool:
        if len(self._tasks) >= MAX_SERVED_REQUESTS:
            return True
        return self._served_bytes + _body_bytes(req) > MAX_SERVED_BYTES

    def close(self) -> None:
        """Cancel all running requests."""
        for task in self._tasks:
            task.cancel()

    async def _handle(
        self, link: PeerLink, correlation: int, req: ForwardRequest | OutcomeRequest
    ) -> None:
        try:
            reply: Message
            if isinstance(req, ForwardRequest):
                reply = await self._handler.serve_forward(link.peer, req)
            else:
                reply = await self._handler.serve_outcome(link.peer, req)
        finally:
            self._served_bytes -= _body_bytes(req)
        _send_reply(link, correlation, reply)


def _body_bytes(req: ForwardRequest | OutcomeRequest) -> int:
    return len(req.call.body) if isinstance(req, ForwardRequest) else 0


def _send_reply(link: PeerLink, correlation: int, reply: Message) -> None:
    try:
        data = encode(reply, correlation)
    except PeerProtocolError:
        data = encode(_too_large_reply(), correlation)
    # If the queue is full, the reply is dropped and the requester times out.
    link.send_forward(data)


def _too_large_reply() -> ForwardReply:
    return ForwardReply(
        None,
        RefusalCode.ANSWER_TOO_LARGE.value,
        "the answer does not fit a message between hosts",
        Outcome.UNKNOWN.value,
        Attempt.MAYBE_SENT.value,
    )


def _busy_reply() -> ForwardReply:
    # An earlier attempt with this key may have run; only this one did not.
    return ForwardReply(
        None,
        RefusalCode.QUEUE_FULL.value,
        "too many forwarded requests",
        Outcome.UNKNOWN.value,
        Attempt.NOT_SENT.value,
    )
