"""Runs the entry daemon with one wrong decision, or over a network that loses."""

import signal

# As in deploy/run.py: the signal's default action would end a process that starts.
if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import math  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable, Iterable, Sequence  # noqa: E402
from typing import Any  # noqa: E402

import httptools  # noqa: E402

from ...desired import EntryHost  # noqa: E402
from ...entryd import _reader, _stop, main  # noqa: E402
from ...entryd._process import EntryProcess  # noqa: E402
from ...entryd._rate_limit_exchange import UnconfirmedChange  # noqa: E402
from ...entryd._stop import PlannedStop  # noqa: E402
from ...entryd._unanswering_hosts import UnansweringHosts  # noqa: E402
from ...framing import RequestParser  # noqa: E402
from ...neighbours import Message, NeighbourEndpoint  # noqa: E402
from ...neighbours._table import NEVER_S  # noqa: E402
from ...platform import REQUEST_ID_HEADER  # noqa: E402
from ...registry import Registry  # noqa: E402
from ...relay import SlotFinder, _exchange, _slot_finder  # noqa: E402
from ...relay._evidence import Evidence  # noqa: E402
from ...relay._messages import Headers  # noqa: E402
from ...upstream import CUT, AnswerMatch, ConnectionHistory, _connection  # noqa: E402
from ...upstream._connection import HttpConnection  # noqa: E402

PLANTS: Registry[Callable[[], None]] = Registry("planted fault")


@PLANTS.register("trust-unnamed-refusals")
def trust_unnamed_refusals() -> None:
    """Take a refusal that names no request for that of the request which waits."""
    match_answer = _exchange.match_answer

    def match_unnamed(
        headers: Headers, id: bytes, history: ConnectionHistory
    ) -> AnswerMatch:
        is_named = any(name == REQUEST_ID_HEADER for name, _ in headers)
        return match_answer(headers, id, history) if is_named else AnswerMatch.UNNAMED

    _exchange.match_answer = match_unnamed
    _believe(Evidence.UNNAMED_REFUSAL)


@PLANTS.register("trust-unmarked-refusals")
def trust_unmarked_refusals() -> None:
    """Take a refusal without the not-run header for the proof of no run."""
    _believe(Evidence.UNMARKED_REFUSAL)


@PLANTS.register("end-at-offers")
def end_at_offers() -> None:
    """End a request that offers an upgrade at its head, and read on with the next."""

    def end(parser: RequestParser) -> None:
        parser._is_at_offer = False
        parser._callbacks.on_message_complete()
        parser._parser = httptools.HttpRequestParser(parser)

    _replace(RequestParser, "_read_on_after_offer", end)


@PLANTS.register("count-crashes-without-bytes")
def count_crashes_without_bytes() -> None:
    """Take the end of a connection for a crash only if no byte of an answer came."""
    close = HttpConnection._close

    def close_uncut(
        conn: HttpConnection, reason: str, code: str | None = None, **options: bool
    ) -> None:
        is_begun = code == CUT and conn._has_received
        close(conn, reason, None if is_begun else code, **options)

    _replace(HttpConnection, "_close", close_uncut)


@PLANTS.register("drop-lost-orders")
def drop_lost_orders() -> None:
    """Treat rows of operators in a restored table like entries of servers."""
    _reader.WRITER_TABLES = frozenset()  # type: ignore[assignment]


@PLANTS.register("remember-outages")
def remember_outages() -> None:
    """Count failures of reads whatever answers other hosts have had since."""
    _replace(EntryProcess, "_last_answer_elsewhere_s", lambda process: NEVER_S)


@PLANTS.register("skip-low-statuses")
def skip_low_statuses() -> None:
    """Skip each answer with a status below 200 as an interim one."""

    def skip(conn: HttpConnection, status: int) -> None:
        conn._headers = []
        conn._has_length = False

    _connection.MIN_STATUS = -1
    _replace(HttpConnection, "_skip_interim_answer", skip)


@PLANTS.register("end-at-quiet-moment")
def end_at_quiet_moment() -> None:
    """End a planned stop at the first moment without a connection."""

    async def run(stop: PlannedStop) -> None:
        schedule, listener = stop._schedule, stop._listener
        await stop._timer.sleep(schedule.notice_end_s - stop._timer.now())
        while listener.connections and stop._timer.now() < schedule.end_s:
            listener.drain()
            if stop._timer.now() >= schedule.intake_end_s:
                listener.close_idle()
            await stop._timer.sleep(_stop.STOP_POLL_S)
        await stop._end_last_requests()

    _replace(PlannedStop, "run", run)


@PLANTS.register("tell-limits-once")
def tell_limits_once() -> None:
    """Tell a limit to one random host, and take each offer for a permit."""
    choose = UnconfirmedChange.choose_recipients

    def choose_once(
        item: UnconfirmedChange,
        hosts: Sequence[EntryHost],
        rng: random.Random,
        now_s: float,
    ) -> list[EntryHost]:
        chosen = choose(item, hosts, rng, now_s)[:1]
        item.next_s = math.inf
        return chosen

    find = SlotFinder._find_slot_fault

    def find_other_fault(finder: SlotFinder, *offer: Any) -> str:
        found = find(finder, *offer)
        return "" if found == _slot_finder.WITHOUT_PERMIT else found

    _replace(UnconfirmedChange, "choose_recipients", choose_once)
    _replace(UnansweringHosts, "prefer", lambda silent, hosts: list(hosts))
    _replace(SlotFinder, "_find_slot_fault", find_other_fault)


def _replace(owner: type, name: str, method: Callable[..., object]) -> None:
    setattr(owner, name, method)


def _believe(believed: Evidence) -> None:
    proofs = {item for item in Evidence if item.proves_not_run} | {believed}
    is_proof = property(lambda item: item in proofs)
    type.__setattr__(Evidence, "proves_not_run", is_proof)


def lose_datagrams(share: float) -> None:
    """Lose a share of the datagrams that the daemon sends, at random."""
    send = NeighbourEndpoint.send

    def send_some(
        endpoint: NeighbourEndpoint, message: Message, addresses: Iterable[str]
    ) -> None:
        send(endpoint, message, [a for a in addresses if random.random() >= share])

    _replace(NeighbourEndpoint, "send", send_some)


if __name__ == "__main__":
    name, loss = sys.argv[1:3]
    if name:
        PLANTS.get(name)()
    if float(loss):
        lose_datagrams(float(loss))
    sys.exit(main())
