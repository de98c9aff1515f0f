"""Paths under ``/-/``: idempotency keys, outcomes, health and metrics."""

import json
from collections.abc import Callable
from typing import Any, Protocol

from blacksheep import Content, Request, Response, Router

from ..errors import Refusal, RefusalCode
from ._answers import encode_refusal
from ._interface import CallHandler
from ._request import RequestHead, bad_request

MAX_ISSUED_KEYS = 1000
MAX_COUNT_DIGITS = 9


class Drainable(Protocol):
    """Tells whether the server is being stopped."""

    draining: bool


def add_own_paths(
    router: Router,
    server: Drainable,
    handler: CallHandler,
    metrics_text: Callable[[], str],
) -> None:
    """Add the routes under ``/-/``, and the answer to unknown paths there."""
    _add_health(router, server, handler, metrics_text)
    _add_keys(router, handler)

    async def unknown(request: Request) -> Response:
        refusal = Refusal(RefusalCode.UNKNOWN_SERVICE, "there is no such path")
        return _refusal(refusal, "")

    router.fallback = unknown


def _add_health(
    router: Router,
    server: Drainable,
    handler: CallHandler,
    metrics_text: Callable[[], str],
) -> None:
    @router.get("/-/live")
    @router.head("/-/live")
    async def live(request: Request) -> Response:
        return _text(200, "live\n")

    @router.get("/-/ready")
    @router.head("/-/ready")
    async def ready(request: Request) -> Response:
        is_ready = not server.draining and handler.ready()
        return _text(200, "ready\n") if is_ready else _text(503, "not ready\n")

    @router.get("/-/metrics")
    async def metrics(request: Request) -> Response:
        return _text(200, metrics_text())


def _add_keys(router: Router, handler: CallHandler) -> None:
    @router.post("/-/keys")
    async def keys(request: Request) -> Response:
        head = RequestHead("POST")
        try:
            _admit(head, request, handler)
            count = _read_count(request.scope["query_string"])
            issued = await handler.issue_keys(head.contract, count)
        except Refusal as refusal:
            return _refusal(refusal, head.request_id)
        return _json({"keys": issued}, head.request_id)

    @router.get("/-/outcomes/{key}")
    async def outcome(request: Request) -> Response:
        head = RequestHead("GET")
        try:
            _admit(head, request, handler)
            key = request.scope["raw_path"].rsplit(b"/", 1)[1].decode("ascii")
            reply = await handler.outcome(head.contract, key)
        except Refusal as refusal:
            return _refusal(refusal, head.request_id)
        fields = {"key": key, "state": reply.state, "status": reply.status}
        return _json(fields, head.request_id)


def _admit(head: RequestHead, request: Request, handler: CallHandler) -> None:
    head.read_headers(request.scope["headers"])
    if not head.contract:
        raise bad_request("header crocusward-contract is missing")
    handler.admit(head.contract, head.caller_key)


def _read_count(query: bytes) -> int:
    if not query:
        return 1
    name, _, value = query.partition(b"=")
    if name != b"count" or not value.isdigit() or len(value) > MAX_COUNT_DIGITS:
        raise bad_request("the query must be count=N")
    count = int(value)
    if not 1 <= count <= MAX_ISSUED_KEYS:
        raise bad_request(f"count must be from 1 to {MAX_ISSUED_KEYS}")
    return count


def _text(status: int, text: str) -> Response:
    content = Content(b"text/plain; charset=utf-8", text.encode("utf-8"))
    return Response(status, content=content)


def _json(fields: dict[str, Any], request_id: str) -> Response:
    content = Content(b"application/json", json.dumps(fields).encode("ascii"))
    headers = []
    if request_id:
        headers.append((b"x-request-id", request_id.encode("ascii")))
    return Response(200, headers, content=content)


def _refusal(refusal: Refusal, request_id: str) -> Response:
    answer = encode_refusal(refusal, request_id)
    headers = [h for h in answer.headers if h[0] != b"content-type"]
    content = Content(b"application/json", answer.body)
    return Response(answer.status, headers, content=content)
