"""Administration API over HTTP."""

import json
import traceback
from collections.abc import Callable, Mapping

from blacksheep import Application, Content, Request, Response, Router
from blacksheep.server.openapi.v3 import OpenAPIHandler
from openapidocs.v3 import Info

from ..burn import encode_report, encode_snapshot
from ..documents import (
    Table,
    encode_contract,
    encode_customer,
    encode_data_centre,
    encode_service,
)
from ..errors import CrocusError, FindingsError, nearest_name
from ..logs import Level, log_event
from ..model import FleetConfig
from ..settings import AdminToken
from ._admin_access import check_may_operate, find_operator
from ._admin_changes import encode_change
from ._admin_service import MAX_CHANGES, AdminService, findings_table, hold_table

API_VERSION = "1"
MAX_BODY_BYTES = 1_048_576
IN_FORCE_TARGET_S = 9
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
STATUS_BY_CODE = {
    "unauthorised": 401,
    "forbidden": 403,
    "not_found": 404,
    "body_too_large": 413,
    "bad_request": 400,
    "findings": 422,
    # The effect of the change is unknown. The status is not a 2xx, so that no
    # script takes it for success.
    "store_uncertain": 409,
    "conflict": 409,
    "behind": 503,
    "region_unreachable": 503,
    "store_unavailable": 503,
}
ADVICE_BY_CODE = {
    "conflict": "read the current version, check the change again and send it"
    " with the new base",
    "store_uncertain": "send the same change with the same change id again; it has"
    " one effect",
    "store_unavailable": "nothing was changed; repeat later, or place a hold to take"
    " capacity out of service now",
    "region_unreachable": "nothing was changed; repeat when the region is back, or"
    " set force",
    "behind": "nothing was changed; this host has not received that version yet;"
    " repeat in a few seconds",
}


def _answer(table: Mapping[str, object], status: int = 200) -> Response:
    data = json.dumps(table, ensure_ascii=False).encode()
    return Response(status, None, Content(b"application/json", data))


def _operator_of(service: AdminService, request: Request) -> AdminToken:
    header = request.get_first_header(b"Authorization") or b""
    return find_operator(header, service.tokens)


async def _read_table(request: Request) -> Mapping[str, object]:
    raw = bytearray()
    async for chunk in request.stream():  # type: ignore[attr-defined]
        raw += chunk
        if len(raw) > MAX_BODY_BYTES:
            message = f"the body has more than {MAX_BODY_BYTES} bytes"
            raise CrocusError(message, code="body_too_large")
    try:
        table = json.loads(raw.decode())
    except (UnicodeDecodeError, json.JSONDecodeError, RecursionError):
        raise CrocusError("the body is not JSON", code="bad_request") from None
    if not isinstance(table, dict):
        raise CrocusError("the body must be an object", code="bad_request")
    return table


def _query_int(request: Request, name: str, default: int) -> int:
    values = request.query.get(name)
    try:
        return int(values[0]) if values else default
    except ValueError:
        message = f"{name} must be an integer"
        raise CrocusError(message, code="bad_request") from None


def _found(items: Mapping[str, object], kind: str, name: str) -> None:
    if name not in items:
        near = nearest_name(name, items)
        hint = f"; did you mean {near!r}?" if near else ""
        raise CrocusError(f"{kind} {name!r} does not exist{hint}", code="not_found")


def create_admin_app(service: AdminService) -> Application:
    """Return the application for the administration port."""
    app = Application(router=Router())
    _add_errors(app, service)
    _add_reads(app, service)
    _add_changes(app, service)
    _add_reports(app, service)
    docs = OpenAPIHandler(
        info=Info(title="crocusward administration API", version=API_VERSION),
        json_spec_path="/openapi.json",
        yaml_spec_path="/openapi.yaml",
    )
    docs.ui_providers = []  # the page of the user interface loads from elsewhere
    docs.bind_app(app)
    return app


def _add_errors(app: Application, service: AdminService) -> None:
    async def on_error(_: Application, request: Request, exc: Exception) -> Response:
        if not isinstance(exc, CrocusError):
            place = traceback.extract_tb(exc.__traceback__)[-1]
            log_event(
                "admin_error",
                Level.ERROR,
                error=type(exc).__name__,
                at=f"{place.name}:{place.lineno}",
            )
            return _answer({"code": "internal", "message": "internal error"}, 500)
        table: Table = {"code": exc.code, "message": str(exc)}
        if exc.code in ADVICE_BY_CODE:
            table["advice"] = ADVICE_BY_CODE[exc.code]
        if exc.code == "conflict":
            table["current"] = service.config.current().version
        if isinstance(exc, FindingsError):
            table["findings"] = findings_table(exc)
        log_event("admin_refused", code=exc.code, path=request.url.path.decode())
        response = _answer(table, STATUS_BY_CODE.get(exc.code, 500))
        if exc.code == "unauthorised":
            response.add_header(b"WWW-Authenticate", b"Bearer")
        return response

    async def on_http_error(_: Application, __: Request, exc: Exception) -> Response:
        status = getattr(exc, "status", 400)
        code = "not_found" if status == HTTP_NOT_FOUND else "bad_request"
        message = str(exc) or "there is no such path or method"
        return _answer({"code": code, "message": message}, status)

    for status in (HTTP_BAD_REQUEST, HTTP_NOT_FOUND):
        app.exceptions_handlers[status] = on_http_error
    app.exceptions_handlers[CrocusError] = on_error
    app.exceptions_handlers[Exception] = on_error


def _add_reads(app: Application, service: AdminService) -> None:
    def add(kind: str, singular: str, encode: Callable[..., Table]) -> None:
        async def list_items(request: Request) -> Response:
            _operator_of(service, request)
            cfg = service.config.current()
            items = [encode(item) for _, item in sorted(getattr(cfg, kind).items())]
            return _answer({"version": cfg.version, kind: items})

        async def show_item(request: Request, name: str) -> Response:
            _operator_of(service, request)
            cfg = service.config.current()
            items = getattr(cfg, kind)
            _found(items, singular.replace("_", " "), name)
            return _answer({"version": cfg.version, singular: encode(items[name])})

        list_items.__name__ = f"list_{kind}"
        list_items.__doc__ = f"List {kind.replace('_', ' ')}."
        show_item.__name__ = f"show_{singular}"
        show_item.__doc__ = f"Show one {singular.replace('_', ' ')}."
        app.router.add_get(f"/v1/{kind}", list_items)
        app.router.add_get(f"/v1/{kind}/{{name}}", show_item)

    add("contracts", "contract", encode_contract)
    add("customers", "customer", encode_customer)
    add("services", "service", encode_service)
    add("data_centres", "data_centre", encode_data_centre)

    @app.router.get("/v1/contracts/{name}/history")
    async def contract_history(request: Request, name: str) -> Response:
        """List the recent changes of one contract."""
        _operator_of(service, request)
        return _answer(await service.contract_history(name))

    @app.router.get("/v1/status")
    async def status(request: Request) -> Response:
        """Show the fleet as seen from this host."""
        _operator_of(service, request)
        table = service.status().to_table()
        cfg: FleetConfig = service.config.current()
        table["data_centres"] = [
            encode_data_centre(item) for item in cfg.data_centres.values()
        ]
        table["hosts_out"] = sorted(cfg.hosts_out)
        table["holds"] = [hold_table(item) for item in service.config.holds()]
        return _answer(table)


def _add_changes(app: Application, service: AdminService) -> None:
    @app.router.post("/v1/changes")
    async def change(request: Request) -> Response:
        """Commit a change, or show what it would do if ``dry_run`` is true."""
        operator = _operator_of(service, request)
        return _answer(await service.change(await _read_table(request), operator))

    @app.router.get("/v1/changes")
    async def list_changes(request: Request) -> Response:
        """List committed changes above the version ``above``; this is the audit."""
        _operator_of(service, request)
        limit = min(max(_query_int(request, "limit", 100), 1), MAX_CHANGES)
        above = max(_query_int(request, "above", 0), 0)
        changes = await service.config.history(above, limit)
        return _answer({"changes": [encode_change(item) for item in changes]})

    @app.router.get("/v1/changes/{version}")
    async def show_change(request: Request, version: int) -> Response:
        """Show where a version is in force."""
        _operator_of(service, request)
        report = service.config.in_force(version)
        accepted = version <= service.config.current().version
        return _answer(
            {
                "version": version,
                "accepted": accepted,
                "in_force": accepted and report.in_force,
                "hosts": list(report.hosts),
                "missing": list(report.missing),
                "target_s": IN_FORCE_TARGET_S,
            }
        )

    @app.router.get("/v1/holds")
    async def list_holds(request: Request) -> Response:
        """List the holds in effect."""
        _operator_of(service, request)
        return _answer({"holds": [hold_table(x) for x in service.config.holds()]})

    @app.router.post("/v1/holds")
    async def place_hold(request: Request) -> Response:
        """Take something out of service without the store."""
        operator = _operator_of(service, request)
        check_may_operate(operator)
        return _answer(service.place_hold(await _read_table(request), operator))


def _add_reports(app: Application, service: AdminService) -> None:
    @app.router.get("/v1/burn/snapshot")
    async def burn_snapshot(request: Request) -> Response:
        """Return the counts of this host that the region ``region`` may see."""
        _operator_of(service, request)
        regions = request.query.get("region")
        if not regions:
            raise CrocusError("region is required", code="bad_request")
        return _answer(encode_snapshot(await service.burn.snapshot(regions[0])))

    @app.router.get("/v1/burn")
    async def burn(request: Request) -> Response:
        """Return the report on service-level burn, merged from all hosts."""
        _operator_of(service, request)
        return _answer(encode_report(await service.burn.report()))
