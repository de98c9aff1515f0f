"""HTTP handler for readiness checks, neighbours and metrics scrapers."""

from typing import TYPE_CHECKING

from ..desired import CallerLimits
from ..platform import READY_PATH
from ..relay import CallerAnswer, CallerRequest, make_refusal, show_digest
from ..upstream import AnswerMemoryBudget
from ._exposition import format_metrics
from ._row_replicator import ROWS_PATH

if TYPE_CHECKING:
    from ._process import EntryProcess

METRICS_PATH = "/metrics"
CRASHES_PATH = "/crashes"  # requests under which servers crashed
RELEASE_PATH = "/crashes/release"  # POST, with the beginning of a digest as query


class ControlHandler:
    """Serves the readiness check, table rows, metrics and crashing requests."""

    def __init__(self, process: "EntryProcess") -> None:
        self.limits = CallerLimits(8192, 0, 3.0, 60.0)
        self.answer_memory: AnswerMemoryBudget | None = None
        self._process = process

    def can_run_concurrently(self, req: CallerRequest) -> bool:
        """Return True: requests here do not depend on each other."""
        return True

    def reserve_body_memory(self, size: int) -> bool:
        """Return False: no request here has a body."""
        return False

    def release_body_memory(self, size: int) -> None:
        """Ignore the end of a body: no request here has one."""

    def log_not_started(self, id: bytes, status: int, reason: str) -> None:
        """Ignore it: requests here have no id and no effect that needs one send."""

    async def answer(self, req: CallerRequest) -> CallerAnswer:
        """Answer a request by its path."""
        path, _, query = req.target.partition("?")
        if path == READY_PATH:
            if self._process.is_ready():
                return CallerAnswer(200, (), b"ready")
            return make_refusal(503, "not ready")
        if path == ROWS_PATH:
            page = self._process.row_replicator.encode_rows_after(query)
            if page is None:
                return make_refusal(404, "no such rows")
            return CallerAnswer(200, (), page)
        if path == METRICS_PATH:
            text = format_metrics(self._process)
            return CallerAnswer(200, [(b"content-type", b"text/plain")], text)
        if path == CRASHES_PATH:
            return CallerAnswer(
                200, [(b"content-type", b"text/plain")], self._crashes()
            )
        if path == RELEASE_PATH and req.method == "POST":
            count = self._process.crash_watch.release(query)
            return CallerAnswer(200 if count else 404, (), b"released %d\n" % count)
        return make_refusal(404, "no such path")

    def _crashes(self) -> bytes:
        """Return a line for each request under which servers crashed."""
        registry = self._process.crash_watch.registry
        lines = [
            f"digest={show_digest(digest)} crashes={registry.count(digest)}"
            f" blocked_s={registry.block_left_s(digest):.0f}\n"
            for digest in registry.list_digests()
        ]
        return "".join(lines).encode("ascii")
