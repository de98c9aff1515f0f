"""The blacksheep application for callers."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from blacksheep import Application, Router

from ..errors import Outcome, Refusal, RefusalCode
from ..invariants import InvariantName, Invariants
from ..model import Call, Reply
from ..timing import TimerService
from ._answers import (
    SEND_ANSWER,
    TAKE_BODY,
    RefusalAnswer,
    SendAnswer,
    encode_internal_error,
    encode_refusal,
    send_refusal,
    send_reply,
)
from ._disconnect import DisconnectWatches, Receive
from ._interface import CallHandler
from ._own_paths import add_own_paths
from ._request import RequestHead, Scope, read_head

OWN_PATHS = b"/-/"
DISCARD_BYTES = 1_048_576  # rest of a refused body that is read and dropped


class CallerGoneError(Exception):
    """The caller closed the connection before the request was complete."""


class CallerApplication(Application):
    """Parses requests, passes them to the handler and sends the answers.

    Requests for services bypass the routes of blacksheep, which would cost more
    than parsing them; the paths under ``/-/`` use them.

    Args:
        handler: Carries out the requests.
        timer: Source of time.
        rng: Source of the prefix of request ids made here.
        invariants: Receives the check that an answer belongs to its request.
        metrics_text: Returns the metrics in exposition format.

    Attributes:
        in_flight: Requests whose head has arrived and whose answer is not yet sent.
        draining: True while the server is being stopped.
        stopped: True once the server cuts what is still in flight.
        on_error: Called with each unexpected exception.
    """

    def __init__(
        self,
        handler: CallHandler,
        timer: TimerService,
        rng: random.Random,
        invariants: Invariants,
        metrics_text: Callable[[], str],
        *,
        on_error: Callable[[Exception], object] | None = None,
    ) -> None:
        super().__init__(router=Router())
        self.in_flight = 0
        self.draining = False
        self.stopped = False
        self.on_error = on_error
        self._handler = handler
        self._timer = timer
        self._watches = DisconnectWatches(timer)
        self._invariants = invariants
        self._id_prefix = f"{rng.getrandbits(64):016x}"
        self._made_ids = 0
        add_own_paths(self.router, self, handler, metrics_text)

    async def __call__(self, scope: Scope, receive: Receive, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http" or scope["raw_path"].startswith(OWN_PATHS):
            await super().__call__(scope, receive, send)
            return
        self.in_flight += 1
        try:
            await self._serve_call(scope, receive)
        finally:
            self.in_flight -= 1

    # Requests for services.

    async def _serve_call(self, scope: Scope, receive: Receive) -> None:
        head = RequestHead(scope["method"])
        send: SendAnswer = scope[SEND_ANSWER]
        call: Call | None = None
        try:
            read_head(scope, head)
            call = await self._receive_call(head, scope, receive)
            reply = await self._handle(call, receive)
            await send_reply(
                send,
                reply,
                is_head=head.method == "HEAD",
                next_key=self._next_key(head),
            )
        except Refusal as refusal:
            if call is None and _has_key(scope):
                # Not even the ledger was asked, and an earlier attempt may have run.
                refusal.outcome = Outcome.UNKNOWN
            await self._refuse(send, head, encode_refusal(refusal, head.request_id))
        except CallerGoneError:
            return
        except Exception as exc:
            self._report(exc)
            await self._refuse(send, head, encode_internal_error(head.request_id))

    async def _receive_call(
        self, head: RequestHead, scope: Scope, receive: Receive
    ) -> Call:
        handler = self._handler
        if not head.request_id:
            self._made_ids += 1
            head.request_id = f"{self._id_prefix}-{self._made_ids:x}"
        received_s = self._timer.now()
        handler.admit(head.contract, head.caller_key)
        refusal = handler.wrong_region(
            head.contract, head.service, head.method, head.path
        )
        if refusal is not None:
            raise refusal
        deadline_s = handler.default_deadline_s(head.contract)
        if head.deadline_ms:
            deadline_s = min(deadline_s, head.deadline_ms / 1000.0)
        body = b""
        if head.body_bytes:
            limit = handler.body_limit(head.contract)
            # Most bodies have arrived with the head and need no waiting.
            whole = scope[TAKE_BODY]()
            if whole is None:
                body = await receive_body(receive, head.body_bytes, limit, deadline_s)
            elif len(whole) > limit:
                raise _body_too_large(limit)
            else:
                body = whole
        return Call(
            head.request_id,
            head.contract,
            head.service,
            head.method,
            head.path,
            headers=head.headers,
            body=body,
            key=head.key,
            deadline_s=received_s + deadline_s,
            depth=head.depth,
            received_s=received_s,
        )

    async def _handle(self, call: Call, receive: Receive) -> Reply:
        watch = self._watches.add(call.received_s, receive)
        try:
            reply = await self._handler.handle(call)
        except asyncio.CancelledError:
            if watch.caller_gone or self.stopped:
                watch.task.uncancel()
                raise CallerGoneError from None
            raise
        finally:
            watch.stop()
        if not self._invariants.check(
            InvariantName.OWN_ANSWER,
            reply.request_id == call.request_id,
            "an answer for a caller names another request",
        ):
            raise Refusal(
                RefusalCode.BACKEND_LOST,
                "the answer belonged to another request",
                outcome=Outcome.UNKNOWN,
            )
        return reply

    def _next_key(self, head: RequestHead) -> str | None:
        # Only callers that use keys need the next one.
        return self._handler.next_key(head.contract) if head.key else None

    async def _refuse(
        self, send: SendAnswer, head: RequestHead, answer: RefusalAnswer
    ) -> None:
        too_long = head.body_bytes < 0 or head.body_bytes > DISCARD_BYTES
        await send_refusal(send, answer, close=too_long)

    def _report(self, exc: Exception) -> None:
        if self.on_error is not None:
            self.on_error(exc)


def _has_key(scope: Scope) -> bool:
    return any(name == b"idempotency-key" for name, _ in scope["headers"])


async def receive_body(
    receive: Receive, announced_bytes: int, limit_bytes: int, timeout_s: float
) -> bytes:
    """Return the whole request body.

    Args:
        receive: Source of ASGI messages.
        announced_bytes: Content-Length, or -1 for a chunked body.
        limit_bytes: Largest accepted size, in bytes.
        timeout_s: Longest time that the caller may take, in seconds.

    Raises:
        Refusal: ``body_too_large`` or ``deadline_exceeded``.
        CallerGoneError: The caller closed the connection.
    """
    if announced_bytes > limit_bytes:
        raise _body_too_large(limit_bytes)
    try:
        async with asyncio.timeout(timeout_s):
            return await _join_body(receive, limit_bytes)
    except TimeoutError:
        raise Refusal(
            RefusalCode.DEADLINE_EXCEEDED, "the request body did not arrive in time"
        ) from None


async def _join_body(receive: Receive, limit_bytes: int) -> bytes:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            raise CallerGoneError
        part = message["body"]
        size += len(part)
        if size > limit_bytes:
            raise _body_too_large(limit_bytes)
        parts.append(part)
        if not message["more_body"]:
            return parts[0] if len(parts) == 1 else b"".join(parts)


def _body_too_large(limit_bytes: int) -> Refusal:
    return Refusal(
        RefusalCode.BODY_TOO_LARGE, f"the body is larger than {limit_bytes} bytes"
    )
