"""Checks from outside what the program promises about a run."""

from collections import Counter, defaultdict
from collections.abc import Callable

from ...errors import Outcome, Refusal
from ...invariants import InvariantName
from ...model import Backend, Record, Reply

STOP_AFTER_S = 3.0
IN_FORCE_AFTER_S = 9.0


class Job(Record):
    """One piece of work that a caller wants done.

    Attributes:
        id: Unique id; stands in the path and in the answer.
        idempotent: Whether it may run more than once.
        home: Home regions; empty allows every region.
        contract: Contract name.
        service: Service name.
        key: Idempotency key, or "".
    """

    __slots__ = ("id", "idempotent", "home", "contract", "service", "key")

    def __init__(
        self,
        id: str,
        idempotent: bool,
        home: frozenset[str],
        contract: str,
        service: str,
        key: str,
    ) -> None:
        self.id = id
        self.idempotent = idempotent
        self.home = home
        self.contract = contract
        self.service = service
        self.key = key


def answer_body(job_id: str) -> bytes:
    """Return the whole answer that belongs to a job."""
    return f"done {job_id} end".encode()


class Oracle:
    """Knows what really happened.

    Attributes:
        violations: Violations by invariant.
        details: The first violations, for people.
        answers: Number of answers and refusals by code.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self.violations: Counter[InvariantName] = Counter()
        self.details: list[str] = []
        self.answers: Counter[str] = Counter()
        self._runs: Counter[str] = Counter()
        self._open: Counter[str] = Counter()
        self._claimed_not_run: set[str] = set()
        self._out_since: dict[str, float] = {}
        self._leaving_since: dict[str, float] = {}
        self.refused_not_run: defaultdict[str, int] = defaultdict(int)

    def violate(self, name: InvariantName, detail: str) -> None:
        """Record a violation."""
        self.violations[name] += 1
        if len(self.details) < 20:
            self.details.append(f"t={self._now():.3f} {name}: {detail}")

    # Callers

    def attempt_started(self, job: Job) -> None:
        """Note that a caller sends a job."""
        self._open[job.id] += 1
        self._claimed_not_run.discard(job.id)

    def attempt_ended(self, job: Job) -> None:
        """Note that a caller has an answer or has lost its connection."""
        self._open[job.id] -= 1

    def answered(self, job: Job, reply: Reply) -> None:
        """Check an answer."""
        self.answers["answered"] += 1
        if reply.body != answer_body(job.id):
            self.violate(InvariantName.OWN_ANSWER, f"{job.id} got {reply.body!r}")

    def refused(self, job: Job, refusal: Refusal) -> None:
        """Check a refusal."""
        self.answers[refusal.code] += 1
        if refusal.outcome is not Outcome.NOT_RUN:
            return
        if self._runs[job.id]:
            self.violate(
                InvariantName.NOT_RUN, f"{job.id} ran, refused with {refusal.code}"
            )
        if self._open[job.id] == 1:
            self._claimed_not_run.add(job.id)

    def cut(self, job: Job) -> None:
        """Note that the caller's connection broke."""
        self.answers["cut"] += 1

    # Backend servers

    def ran(self, job: Job, backend: Backend) -> None:
        """Check an execution."""
        self._runs[job.id] += 1
        if not job.idempotent and self._runs[job.id] > 1:
            self.violate(InvariantName.AT_MOST_ONCE, f"{job.id} ran again")
        if job.id in self._claimed_not_run:
            self.violate(InvariantName.NOT_RUN, f"{job.id} ran after not-run")
        if job.home and backend.region not in job.home:
            self.violate(
                InvariantName.RESIDENCY, f"{job.id} served in {backend.region}"
            )

    def runs(self, job: Job) -> int:
        """Return how often a job ran."""
        return self._runs[job.id]

    def dispatched(self, backend: Backend, host: str) -> None:
        """Check the moment in which a host writes a request."""
        now_s = self._now()
        out_s = self._out_since.get(backend.data_centre)
        if out_s is not None and now_s - out_s > STOP_AFTER_S:
            self.violate(
                InvariantName.DATA_CENTRE_OUT,
                f"{host} sent to {backend.id}, out for {now_s - out_s:.2f} s",
            )
        gone_s = self._leaving_since.get(backend.id)
        if gone_s is not None and now_s - gone_s > STOP_AFTER_S:
            self.violate(
                InvariantName.BACKEND_LEAVING,
                f"{host} sent to {backend.id}, leaving for {now_s - gone_s:.2f} s",
            )

    # Operators and platform

    def data_centre_out(self, name: str) -> None:
        """Note that operators were told that a data centre is out."""
        self._out_since.setdefault(name, self._now())

    def data_centre_in(self, name: str) -> None:
        """Note that a data centre may be in service again."""
        self._out_since.pop(name, None)

    def backend_leaving(self, backend_id: str) -> None:
        """Note that the host list shows a backend server as leaving."""
        self._leaving_since.setdefault(backend_id, self._now())

    def backend_back(self, backend_id: str) -> None:
        """Note that the host list no longer shows it as leaving."""
        self._leaving_since.pop(backend_id, None)
