"""The promises, checked against what callers and backend servers saw."""

import bisect
from collections import Counter
from collections.abc import Callable

from ._callers import PROMISES, Asked
from ._notices import Notices
from ._targets import Run

DRAIN_S = 2.0  # bounds of the settings that the daemons get
EVACUATE_S = 5.0
APPLY_S = 2.0
STABLE_S = 3.0  # calm before a bound counts
CUT_SLACK_S = 0.2
KILL_SLACK_S = 0.05  # between a signal and what callers see of it
LIMIT_STABLE_S = 3.0  # from the first answer with a limit until it binds
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
COLD_WINDOW_S = 1.0
COLD_REQUESTS = 12.5  # in one window; 5 a second, by 1.5, and 5 more
ROLLBACK_SLACK_S = 0.25  # between the effect of a version and a request after it
LIMIT_KNOWN_S = 0.5  # from an answer with a limit until the daemons know it
HOME_PREFIX = "/home/"
SAFE_PREFIX = "/look/"  # of the routes whose requests may run more than once
FAR_SERVICE = "gamma"  # its servers are all in one data centre
# Services to which the routes ever send, by the beginning of the path.
SERVICES_OF_PATHS = {
    "/look/": {"alpha"},
    "/order/": {"beta"},
    "/home/": {"alpha"},
    "/move/": {"alpha", "beta"},
    "/wait-alpha/": {"alpha"},
    "/wait-beta/": {"beta"},
    f"/far-{FAR_SERVICE}/": {FAR_SERVICE},
}
OBJECTIVE_S = 0.4  # of all routes
MIN_FLOOD_SAMPLE = 10  # requests beside a flood, for a median
MAX_CRASHES = 3  # under one request, until it is known as one that crashes servers
BLOCKED_TEXT = b"servers crashed under this request"
ODD_STATUS_S = 0.5  # from an answer whose status is none to that of the daemon
MAX_LATE_RUNS = 3  # of such a request, sent later than STABLE_S after that


class Span:
    """A time in which a bound does not count.

    Attributes:
        start_s: Its start, in seconds of the loop.
        end_s: Its end.
        host: IP address of the daemon that it concerns, "" for all.
    """

    __slots__ = ("start_s", "end_s", "host")

    def __init__(self, start_s: float, end_s: float, host: str = "") -> None:
        self.start_s = start_s
        self.end_s = end_s
        self.host = host


class LimitSpan(Span):
    """A time in which a server names a rate limit.

    Attributes:
        server: Id of the server.
        per_s: The limit, in requests per second.
    """

    __slots__ = ("server", "per_s")

    def __init__(self, server: str, per_s: float, start_s: float) -> None:
        super().__init__(start_s, 1e18)
        self.server = server
        self.per_s = per_s


class FloodSpan(Span):
    """A time in which servers of a service send without end.

    Attributes:
        service: The service.
    """

    __slots__ = ("service",)

    def __init__(self, service: str, start_s: float) -> None:
        super().__init__(start_s, 1e18)
        self.service = service


class Promises:
    """Collects what happened and finds broken promises.

    Attributes:
        runs: What backend servers ran.
        asked: What callers asked and got.
        leaving: When servers were told to leave, by id, in seconds.
        out: Times in which data centres were out of service.
        moved: When routes moved, with path prefix, old and new service.
        unstable: Times in which bounds do not count.
        stops: Planned stops, by name of the daemon.
        limits: Times in which servers name rate limits.
        namings_s: When a server answered with a valid limit, by its id, in order.
        starts_s: When each daemon of a data centre was started.
        lifetimes_s: When a daemon was started, by its name.
        kills_s: When a daemon was killed, by its name.
        pauses_s: Begin and end of the times in which a daemon was frozen, by its name.
        addresses: IP addresses of the daemons, by name.
        cold: Cold times of servers, by id.
        notices: What servers told each daemon.
        harmed: Times in which the path to a server was harmed, by its id.
        crashes: Path and time of each request that crashed a server.
        floods: Times in which servers send without end.
        odd_s: When a request got an answer whose status is none, by its id.
        services: Services to which routes ever send, by the beginning of the path.
    """

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.asked: list[Asked] = []
        self.leaving: dict[str, float] = {}
        self.out: dict[str, list[tuple[float, float]]] = {}
        self.moved: list[tuple[float, str, str, str]] = []
        self.unstable: list[Span] = []
        self.stops: list[tuple[str, float]] = []
        self.limits: list[LimitSpan] = []
        self.namings_s: dict[str, list[float]] = {}
        self.starts_s: dict[str, list[list[float]]] = {}
        self.lifetimes_s: dict[str, list[float]] = {}
        self.kills_s: dict[str, list[float]] = {}
        self.pauses_s: dict[str, list[tuple[float, float]]] = {}
        self.addresses: dict[str, str] = {}
        self.cold: dict[str, Span] = {}
        self.notices = Notices()
        self.harmed: dict[str, list[Span]] = {}
        self.crashes: list[tuple[str, float]] = []
        self.floods: list[FloodSpan] = []
        self.odd_s: dict[str, float] = {}
        self.services: dict[str, set[str]] = SERVICES_OF_PATHS

    def broken(self) -> list[str]:
        """Return the broken promises."""
        found = [
            *self._own_answers(),
            *self._at_most_once(),
            *self._bodies(),
            *self._waited(),
            *self._homes(),
            *self._leaving(),
            *self._out(),
            *self._moved(),
            *self._reverted(),
            *self._cold(),
            *self._told_leaving(),
            *self._pauses(),
            *self._planned_stops(),
            *self._limits(),
            *self._crashes(),
            *self._services(),
            *self._delayed_by_floods(),
        ]
        return sorted(found)

    def _is_calm(self, at_s: float, host: str = "") -> bool:
        for span in self.unstable:
            concerns = not span.host or span.host == host
            if concerns and span.start_s <= at_s <= span.end_s + STABLE_S:
                return False
        return True

    def _own_answers(self) -> list[str]:
        found = []
        for item in self.asked:
            if 200 <= item.status < 300:
                own = item.body.startswith(item.id.encode() + b" at ")
                if not own or item.digest != f"sig-{item.id}":
                    found.append(f"own_answer: {item.id} got {item.body!r}")
        return found

    def _services(self) -> list[str]:
        """Return requests that ran at a service to which no route ever sent them."""
        found = []
        for run in self.runs:
            for prefix, services in self.services.items():
                if run.path.startswith(prefix) and run.service not in services:
                    found.append(f"service: {run.id} {run.path} ran at {run.service}")
        return found

    def _delayed_by_floods(self) -> list[str]:
        """Return floods beside which the other service's answers came late."""
        found = []
        for span in self.floods:
            path = "/order/" if span.service == "alpha" else "/look/x"
            times_s = sorted(
                item.ended_s - item.sent_s
                for item in self.asked
                if item.path.startswith(path)
                and span.start_s <= item.sent_s <= span.end_s
                and self._is_calm(item.sent_s)
            )
            if len(times_s) < MIN_FLOOD_SAMPLE:
                continue
            median_s = times_s[len(times_s) // 2]
            if median_s > OBJECTIVE_S:
                found.append(
                    f"flood: {path} took {median_s:.2f} s beside {span.service}"
                )
        return found

    def _crashes(self) -> list[str]:
        """Return requests that went on to servers after they crashed enough of them."""
        found = []
        for path in sorted({path for path, _ in self.crashes}):
            times = sorted(at_s for item, at_s in self.crashes if item == path)
            if len(times) < MAX_CRASHES:
                continue
            known_s = times[MAX_CRASHES - 1] + STABLE_S
            late = [
                run.id
                for run in self.runs
                if run.path == path
                and run.at_s > known_s
                and self._is_calm(run.at_s, run.host)
            ]
            if len(late) > MAX_LATE_RUNS:
                found.append(f"crashes: {path} ran {len(late)} times more: {late}")
        deadly = {path for path, _ in self.crashes}
        for item in self.asked:
            if item.path not in deadly and BLOCKED_TEXT in item.body:
                found.append(f"crashes: innocent {item.id} {item.path} was blocked")
        return found

    def _at_most_once(self) -> list[str]:
        found = []
        runs = Counter(run.id for run in self.runs)
        asked = {item.id: item for item in self.asked}
        for id, times in runs.items():
            item = asked.get(id)
            if item is None:
                found.append(f"unasked: {id} ran")
            elif not item.path.startswith(SAFE_PREFIX):
                if times > 1:
                    found.append(f"at_most_once: {id} ran {times} times")
                if item.status in PROMISES:
                    found.append(f"not_run: {id} got {item.status} and ran")
        return found

    def _bodies(self) -> list[str]:
        """Return requests that ran with another body than their caller sent."""
        asked = {item.id: item for item in self.asked}
        return [
            f"body: {run.id} ran with {run.body!r}"
            for run in self.runs
            if run.body is not None
            and (item := asked.get(run.id)) is not None
            and item.sent_body is not None
            and run.body != item.sent_body
        ]

    def _waited(self) -> list[str]:
        """Return callers that waited on after an answer whose status is none.

        A safe request may wait for a slot at another server then.
        """
        runs = Counter(run.id for run in self.runs)
        return [
            f"waited: {item.id} {item.path} got 504 {item.ended_s - odd_s:.2f} s late"
            for item in self.asked
            if (odd_s := self.odd_s.get(item.id)) is not None
            and (item.status, runs[item.id]) == (504, 1)
            and not item.path.startswith(SAFE_PREFIX)
            and item.ended_s - odd_s > ODD_STATUS_S
        ]

    def _homes(self) -> list[str]:
        return [
            f"homes: {run.id} ran in {run.data_centre}"
            for run in self.runs
            if run.path.startswith(HOME_PREFIX)
            and not run.data_centre.startswith("east")
        ]

    def _leaving(self) -> list[str]:
        found = []
        for run in self.runs:
            told_s = self.leaving.get(run.server)
            if told_s is None or run.at_s < told_s + DRAIN_S:
                continue
            if self._is_calm(told_s, run.host) and self._is_calm(run.at_s, run.host):
                late_s = run.at_s - told_s
                found.append(f"leaving: {run.server} got {run.id} after {late_s:.2f} s")
        return found

    def _out(self) -> list[str]:
        found = []
        for run in self.runs:
            for start_s, end_s in self.out.get(run.data_centre, ()):
                is_late = start_s + EVACUATE_S < run.at_s < end_s
                if is_late and self._is_calm(run.at_s, run.host):
                    found.append(f"evacuation: {run.data_centre} got {run.id}")
        return found

    def _moved(self) -> list[str]:
        found = []
        asked = {item.id: item for item in self.asked}
        for index, (moved_s, prefix, old, _) in enumerate(self.moved):
            later = [m for m in self.moved[index + 1 :] if m[1] == prefix]
            end_s = later[0][0] if later else 1e18
            for run in self.runs:
                item = asked.get(run.id)
                if item is None or not run.path.startswith(prefix):
                    continue
                in_span = moved_s + APPLY_S < item.sent_s < end_s
                calm = self._is_calm(moved_s, run.host) and self._is_calm(
                    run.at_s, run.host
                )
                if in_span and run.service == old and calm:
                    found.append(f"config: {run.id} ran at {old} after it moved")
        return found

    def _reverted(self) -> list[str]:
        """Return requests that a daemon sent by an older version than it used before.

        Nothing excuses that within one lifetime of the daemon.
        """
        found = []
        asked = {item.id: item for item in self.asked}
        for index, (moved_s, prefix, old, new) in enumerate(self.moved):
            later = [m for m in self.moved[index + 1 :] if m[1] == prefix]
            end_s = later[0][0] if later else 1e18
            effect_s: dict[tuple[str, int], float] = {}
            for run in sorted(self.runs, key=lambda item: item.at_s):
                item = asked.get(run.id)
                if item is None or not run.path.startswith(prefix):
                    continue
                if not moved_s < item.sent_s <= run.at_s < end_s:
                    continue
                starts_s = self.lifetimes_s.get(item.daemon, [])
                lifetime = (item.daemon, bisect.bisect(starts_s, run.at_s))
                if run.service == new:
                    effect_s.setdefault(lifetime, run.at_s)
                    continue
                seen_s = effect_s.get(lifetime, 1e18)
                if run.service == old and item.sent_s > seen_s + ROLLBACK_SLACK_S:
                    found.append(f"reverted: {run.id} ran at {old}, {new} was in use")
        return found

    def _cold(self) -> list[str]:
        """Return servers that got more than their rate while they were cold."""
        found = []
        for server, span in self.cold.items():
            times = sorted(
                run.at_s
                for run in self.runs
                if run.server == server
                and span.start_s <= run.at_s <= span.end_s
                and not self._is_harmed(server, run.at_s)
            )
            most = max(
                (sum(end - COLD_WINDOW_S < at <= end for at in times) for end in times),
                default=0,
            )
            if most > COLD_REQUESTS:
                found.append(f"cold: {server} got {most}, {COLD_REQUESTS:g} allowed")
        return found

    def _told_leaving(self) -> list[str]:
        """Return requests to a server that had told the daemon that it leaves.

        An answer that was cut or lost on the way tells nothing; only those count that
        the daemon has passed on.
        """
        found = []
        asked = {item.id: item for item in self.asked}
        told = self.notices.find_told(
            {item.id: item for item in self.asked if 200 <= item.status < 300}
        )
        for run in self.runs:
            item = asked.get(run.id)
            told_s = told.get((run.server, item.daemon)) if item is not None else None
            if item is None or told_s is None or item.sent_s <= told_s + DRAIN_S:
                continue
            if not self._was_disturbed(item.daemon, told_s, run.at_s):
                late_s = item.sent_s - told_s
                found.append(f"told: {run.server} got {run.id} after {late_s:.2f} s")
        return found

    def _pauses(self) -> list[str]:
        """Return servers that got more requests than they had asked a daemon for."""
        return [
            f"pause: {pause.server} got {count} from {daemon}"
            for pause, daemon, count in self.notices.find_broken_pauses(
                self._daemon_of()
            )
            if not self._was_disturbed(daemon, pause.start_s, pause.end_s)
            and not self._is_harmed(pause.server, pause.end_s)
        ]

    def _daemon_of(self) -> Callable[[str], str]:
        """Return a function that gives the daemon of a request."""
        daemons = {item.id: item.daemon for item in self.asked}
        return lambda id: daemons.get(id, "")

    def _was_disturbed(self, daemon: str, start_s: float, end_s: float) -> bool:
        """Return whether a daemon was started or frozen in a time."""
        starts_s = self.lifetimes_s.get(daemon, [])
        address = self.addresses.get(daemon, "")
        return any(start_s < at_s <= end_s for at_s in starts_s) or any(
            span.host == address and span.start_s <= end_s and span.end_s >= start_s
            for span in self.unstable
            if span.host
        )

    def _planned_stops(self) -> list[str]:
        """Return requests that a planned stop cut although all else was calm.

        What ends with a daemon that is killed during its stop is not the stop's doing.
        """
        found = []
        ran = {run.id for run in self.runs}
        for name, stopped_s in self.stops:
            for item in self.asked:
                if item.is_behind and item.id not in ran:
                    continue
                if item.ended_s <= item.sent_s:
                    continue  # its caller left
                if any(
                    begin_s < item.ended_s and item.sent_s - STABLE_S < end_s
                    for begin_s, end_s in self.pauses_s.get(name, ())
                ):
                    continue  # the daemon was frozen before or meanwhile
                in_stop = stopped_s - 1.5 < item.ended_s < stopped_s + 7.0
                was_read = item.ended_s - item.sent_s > CUT_SLACK_S or item.id in ran
                if item.daemon != name or item.status or not in_stop or not was_read:
                    continue
                if any(
                    stopped_s < kill_s < item.ended_s + KILL_SLACK_S
                    for kill_s in self.kills_s.get(name, ())
                ):
                    continue
                if self._is_calm(item.sent_s) and self._is_calm(item.ended_s):
                    found.append(f"planned_stop: {name} cut {item.id}")
        return found

    def _limits(self) -> list[str]:
        """Return servers that got more than their limit, from all daemons together.

        Faults of daemons excuse nothing here, unless all daemons of the data centre
        were started since the server last named a valid limit: none can know it then.
        A path that was harmed may deliver requests late and together.
        """
        found = []
        for limit in self.limits:
            times = sorted(
                run.at_s
                for run in self.runs
                if run.server == limit.server
                and limit.start_s + LIMIT_STABLE_S < run.at_s < limit.end_s
                and not self._is_harmed(limit.server, run.at_s)
                and self._is_limit_known(run)
            )
            allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit.per_s + LIMIT_EXTRA
            for index, first_s in enumerate(times):
                last_s = first_s + LIMIT_WINDOW_S
                count = sum(at_s < last_s for at_s in times[index:])
                if count > allowed:
                    found.append(
                        f"limit: {limit.server} got {count} in {LIMIT_WINDOW_S:g} s,"
                        f" {allowed:g} allowed"
                    )
                    break
        return found

    def _is_limit_known(self, run: Run) -> bool:
        """Return whether a daemon that runs may have been told the server's limit."""
        namings_s = self.namings_s.get(run.server, [])
        count = bisect.bisect(namings_s, run.at_s - LIMIT_KNOWN_S)
        named_s = namings_s[count - 1] if count else -1e9
        daemons = self.starts_s.get(run.data_centre, [])
        return not daemons or not all(
            any(named_s < start_s < run.at_s for start_s in starts_s)
            for starts_s in daemons
        )

    def _is_harmed(self, server: str, at_s: float) -> bool:
        spans = self.harmed.get(server, ())
        return any(s.start_s <= at_s <= s.end_s + STABLE_S for s in spans)
