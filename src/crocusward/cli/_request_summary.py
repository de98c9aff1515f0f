"""Summarizes from log lines where a request was sent, and whether it has run."""

import re
from collections.abc import Iterable, Mapping

from ..model import Record

SEND_EVENTS = frozenset({"request_placed", "request_placed_cold"})
ATTEMPT_EVENTS = frozenset({"attempt_abandoned", "attempt_failed"})
# The last line of a request on a host, unless a send outlives it.
FINAL_EVENTS = frozenset(
    {
        "request_answered",
        "request_failed",
        "request_not_started",
        "request_refused",
    }
)
REQUEST_EVENTS = SEND_EVENTS | ATTEMPT_EVENTS | FINAL_EVENTS
# Statuses that promise a caller that the request has not run.
NOT_RUN_STATUSES = frozenset({"408", "421", "429", "503"})
# Evidence that proves "not run".
NOT_RUN_EVIDENCE = frozenset({"not_written", "own_refusal"})
RAN, NOT_RUN, MAY_HAVE_RUN = "ran", "not run", "may have run"
NOT_LOGGED = "not_logged"
_EVENT_PATTERN = re.compile(r" event=(\S+)")
_FIELD_PATTERN = re.compile(r'(?:^| )(\w+)=("(?:[^"\\]|\\.)*"|[^ ]*)')


def parse_fields(line: str) -> dict[str, str]:
    """Return the fields of a log line."""
    return {name: value.strip('"') for name, value in _FIELD_PATTERN.findall(line)}


class Send(Record):
    """One send of the request.

    Attributes:
        number: Number within the request on its host, "" in logs of older versions.
        backend: Id of the server.
        end: How it ended, or ``NOT_LOGGED``.
        evidence: What that rests on.
        details: Further fields to show.
    """

    __slots__ = ("number", "backend", "end", "evidence", "details")

    def __init__(self, number: str, backend: str) -> None:
        self.number = number
        self.backend = backend
        self.end = NOT_LOGGED
        self.evidence = ""
        self.details: list[str] = []

    def set_end(self, end: str, fields: Mapping[str, str]) -> None:
        """Record the end."""
        self.end = end
        self.evidence = fields.get("evidence", "")
        self.details = [
            f"{name}={fields[name]}"
            for name in ("conn_exchange", "skipped_answers")
            if name in fields
        ]

    @property
    def verdict(self) -> str:
        """Whether the request has run there."""
        if self.end == "answered":
            # An answer that names no request may be that to another one.
            return MAY_HAVE_RUN if self.evidence == "unnamed_answer" else RAN
        # Older versions log no evidence.
        if self.end == "not_run" and not self.evidence:
            return NOT_RUN
        is_proof = self.end in ("not_run", "cancelled", "error")
        if is_proof and self.evidence in NOT_RUN_EVIDENCE:
            return NOT_RUN
        return MAY_HAVE_RUN


class Arrival(Record):
    """One arrival of the request at a host.

    Attributes:
        source: Name of the log.
        sends: Sends that the log names.
        final: Fields of the last line, or None.
    """

    __slots__ = ("source", "sends", "final")

    def __init__(self, source: str) -> None:
        self.source = source
        self.sends: list[Send] = []
        self.final: dict[str, str] | None = None

    @property
    def missing_sends(self) -> int:
        """Number of sends that the last line counts and no other line names."""
        count = self.final.get("sends", "") if self.final is not None else ""
        return max(0, int(count) - len(self.sends)) if count.isdecimal() else 0


def find_arrivals(source: str, lines: Iterable[str]) -> list[Arrival]:
    """Return the arrivals of a request at a host.

    Args:
        source: Name of the log.
        lines: Lines of the log that name the request, in order.
    """
    arrivals: list[Arrival] = []
    for line in lines:
        fields = parse_fields(line)
        event = fields.get("event", "")
        if event in SEND_EVENTS:
            _add_send(arrivals, source, fields)
        elif event in ATTEMPT_EVENTS:
            _, send = _find_send(arrivals, source, fields)
            send.set_end(fields.get("end", NOT_LOGGED), fields)
        elif event == "request_answered":
            arrival, send = _find_send(arrivals, source, fields)
            send.set_end("answered", fields)
            arrival.final = fields
        elif event in FINAL_EVENTS:
            _find_unanswered(arrivals, source, fields).final = fields
    return arrivals


def _add_send(arrivals: list[Arrival], source: str, fields: Mapping[str, str]) -> None:
    number = fields.get("send", "")
    is_new = not arrivals or arrivals[-1].final is not None
    # A caller may send a request again while the host still handles it.
    if is_new or (number == "1" and arrivals[-1].sends):
        arrivals.append(Arrival(source))
    arrivals[-1].sends.append(Send(number, fields.get("backend", "")))


def _find_send(
    arrivals: list[Arrival], source: str, fields: Mapping[str, str]
) -> tuple[Arrival, Send]:
    """Return the first open send that a line may be the end of, or a new one."""
    name = fields.get("send", ""), fields.get("backend", "")
    for arrival in arrivals:
        for send in arrival.sends:
            if send.end == NOT_LOGGED and (send.number, send.backend) == name:
                return arrival, send
    if not arrivals or arrivals[-1].final is not None:
        arrivals.append(Arrival(source))
    send = Send(*name)
    arrivals[-1].sends.append(send)
    return arrivals[-1], send


def _find_unanswered(
    arrivals: list[Arrival], source: str, fields: Mapping[str, str]
) -> Arrival:
    """Return the first arrival that a last line may belong to, or a new one."""
    open_ones = [item for item in arrivals if item.final is None]
    if fields.get("sends") == "0" or fields.get("basis") == "not_started":
        open_ones = [item for item in open_ones if not item.sends]
    same = [item for item in open_ones if str(len(item.sends)) == fields.get("sends")]
    for item in same or open_ones:
        return item
    arrivals.append(Arrival(source))
    return arrivals[-1]


def find_missing_lines(id: str, lines: Iterable[str]) -> list[str]:
    """Describe the lines that a log has left out while it had others of a request.

    Args:
        id: Id of the request.
        lines: All lines of the log, in order.
    """
    mark = f" id={id} "
    items = [
        (line, parse_fields(line))
        for line in lines
        if (found_event := _EVENT_PATTERN.search(line))
        and found_event[1] in REQUEST_EVENTS
    ]
    times = [fields.get("time", "") for line, fields in items if mark in f"{line} "]
    if not times:
        return []
    begin, end = min(times), max(times)
    last_times: dict[str, str] = {}
    found = []
    for _, fields in items:
        event, time = fields.get("event", ""), fields.get("time", "")
        since = last_times.get(event, "")
        last_times[event] = time
        if "skipped" in fields and since <= end and time >= begin:
            found.append(
                f"skipped={fields['skipped']} event={event}"
                f" after={since or 'start'} before={time}"
            )
    return found


def summarize(id: str, logs: Iterable[tuple[str, list[str]]]) -> list[str]:
    """Return lines that say where a request was sent, and whether it has run.

    Args:
        id: Id of the request.
        logs: Name and lines of each log.
    """
    mark = f" id={id} "
    arrivals: list[Arrival] = []
    notes = []
    for source, lines in logs:
        own = [line for line in lines if mark in f"{line} "]
        arrivals += find_arrivals(source, own)
        notes += [
            f"{source} lines_missing {text}" for text in find_missing_lines(id, lines)
        ]
    shown = [text for arrival in arrivals for text in _show_arrival(arrival)]
    return [*shown, *notes, _show_verdict(arrivals, bool(notes))]


def _show_arrival(arrival: Arrival) -> list[str]:
    shown = []
    for send in arrival.sends:
        parts = [f"send={send.number or '?'}", f"backend={send.backend}"]
        parts += [f"end={send.end}", f"evidence={send.evidence or NOT_LOGGED}"]
        parts += [*send.details, f'verdict="{send.verdict}"']
        shown.append(" ".join([arrival.source, *parts]))
    if arrival.missing_sends:
        shown.append(f"{arrival.source} sends_without_lines={arrival.missing_sends}")
    final = arrival.final
    if final is None:
        shown.append(f"{arrival.source} answer={NOT_LOGGED}")
        return shown
    status = final.get("status", "")
    parts = [f"answer={status}"]
    parts += [f"{name}={final[name]}" for name in ("outcome", "basis") if name in final]
    verdicts = {send.verdict for send in arrival.sends}
    is_refusal = final.get("event") != "request_answered" and status in NOT_RUN_STATUSES
    if is_refusal and (verdicts - {NOT_RUN} or arrival.missing_sends):
        parts.append('contradiction="refused as not run, and a send may have run"')
    shown.append(" ".join([arrival.source, *parts]))
    return shown


def _show_verdict(arrivals: list[Arrival], is_incomplete: bool) -> str:
    verdicts = [send.verdict for arrival in arrivals for send in arrival.sends]
    ran = verdicts.count(RAN)
    unknown = verdicts.count(MAY_HAVE_RUN)
    unknown += sum(arrival.missing_sends for arrival in arrivals)
    if ran:
        verdict = "ran" if ran == 1 else f"ran {ran} times"
        if unknown:
            again = "once more" if unknown == 1 else f"up to {unknown} more times"
            verdict += f", may have run {again}"
    elif unknown:
        verdict = MAY_HAVE_RUN
        if unknown > 1:
            verdict += f" up to {unknown} times"
    else:
        verdict = NOT_RUN
    is_incomplete |= not arrivals or any(item.final is None for item in arrivals)
    if is_incomplete:
        verdict += ", as far as the logs say: lines are missing"
    return f'request sends={len(verdicts)} arrivals={len(arrivals)} verdict="{verdict}"'
