"""Request handling: admission, idempotency keys, attempts."""

import hashlib
import hmac
from collections.abc import Callable

from ..config import ServingMode
from ..errors import Outcome, Refusal, RefusalCode
from ..invariants import InvariantName, Invariants
from ..ledger import KeyIssuer, SendGuard
from ..limits import RateLimiter
from ..model import Call, Contract, FleetConfig, Reply
from ..peer import ForwardReply, ForwardRequest, OutcomeReply
from ..timing import TimerService
from ._attempts import AttemptRunner, AttemptTrace, unconfirmed_refusal
from ._interface import CallRecorder
from ._keyed import KeyedRunner

CODE_ANSWERED = "answered"
CODE_BACKEND_ERROR = "backend_error"
MAX_KEYS_PER_REQUEST = 1000


class Dispatcher:
    """Handles the requests of one entry host.

    Args:
        timer: Time source.
        region: Region of this host.
        config: Returns the configuration in force.
        may_serve: Returns the serving mode.
        limiter: Limits rates and requests in flight of each contract.
        attempts: Sends requests from this host.
        keyed: Runs keyed requests on the holder of the key.
        issuer: Issues keys.
        invariants: Checks the guarantees.
        recorder: Receives a record of each request.
        entries_of: Returns the entry addresses of a region.
        available: Returns False while an operator or a planned stop drains the host.
        faults: Names of injected faults that test these checks.

    Attributes:
        leaving: True once a planned stop has begun. No more keys are issued, since
            they would end with this incarnation.
    """

    __slots__ = (
        "leaving",
        "_timer",
        "_region",
        "_config",
        "_may_serve",
        "_limiter",
        "_attempts",
        "_keyed",
        "_issuer",
        "_invariants",
        "_recorder",
        "_entries_of",
        "_available",
        "_faults",
    )

    def __init__(
        self,
        timer: TimerService,
        region: str,
        *,
        config: Callable[[], FleetConfig],
        may_serve: Callable[[], ServingMode],
        limiter: RateLimiter,
        attempts: AttemptRunner,
        keyed: KeyedRunner,
        issuer: KeyIssuer,
        invariants: Invariants,
        recorder: CallRecorder,
        entries_of: Callable[[str], tuple[str, ...]] = lambda region: (),
        available: Callable[[], bool] = lambda: True,
        faults: frozenset[str] = frozenset(),
    ) -> None:
        self.leaving = False
        self._timer = timer
        self._region = region
        self._config = config
        self._may_serve = may_serve
        self._limiter = limiter
        self._attempts = attempts
        self._keyed = keyed
        self._issuer = issuer
        self._invariants = invariants
        self._recorder = recorder
        self._entries_of = entries_of
        self._available = available
        self._faults = faults

    # Checks before the body is read

    def admit(self, contract: str, caller_key: str) -> None:
        """Check that the contract exists and the caller's key is right.

        Raises:
            Refusal: ``unknown_contract`` or ``unauthorised``.
        """
        expected = self._contract(contract).caller_key_sha256
        if not expected:
            return
        digest = hashlib.sha256(caller_key.encode()).hexdigest()
        if not hmac.compare_digest(digest, expected):
            raise Refusal(RefusalCode.UNAUTHORISED, "the caller key is not valid")

    def body_limit(self, contract: str) -> int:
        """Return the largest request body of a contract, in bytes."""
        return self._contract(contract).limits.body_bytes

    def default_deadline_s(self, contract: str) -> float:
        """Return the default and longest deadline of a contract, in seconds."""
        return self._contract(contract).limits.deadline_s

    def wrong_region(
        self, contract: str, service: str, method: str, path: str
    ) -> Refusal | None:
        """Return a refusal if the request may not be handled in this region."""
        home = self._contract(contract).home_regions(service, method, path)
        if not home or self._region in home or "leak-region" in self._faults:
            return None
        entries = [entry for name in sorted(home) for entry in self._entries_of(name)]
        reason = f"home regions: {', '.join(sorted(home))}"
        if entries:
            reason += f"; entry hosts: {', '.join(entries)}"
        return Refusal(RefusalCode.WRONG_REGION, reason)

    def ready(self) -> bool:
        """Return True if the platform may send requests to this host."""
        if self.leaving or self._config().version == 0:
            return False
        is_current = self._may_serve() is not ServingMode.REFUSE
        return is_current and self._available()

    # Requests

    async def handle(self, call: Call) -> Reply:
        """Handle one request of a caller.

        Raises:
            Refusal: The request was not completed.
        """
        trace = AttemptTrace()
        try:
            reply = await self._handle(call, trace)
        except Refusal as exc:
            refusal = self._keyed.correct_outcome(call, exc)
            self._record(call, refusal.code, trace)
            raise refusal from None
        self._invariants.check(
            InvariantName.OWN_ANSWER,
            reply.request_id == call.request_id,
            "an answer for another request",
        )
        self._record(
            call, CODE_ANSWERED if reply.status < 500 else CODE_BACKEND_ERROR, trace
        )
        return reply

    async def handle_forwarded(self, message: ForwardRequest) -> ForwardReply:
        """Handle a request that a peer forwarded and has already rate-limited."""
        call = message.call
        call.received_s = self._timer.now()
        call.deadline_s += call.received_s
        try:
            return ForwardReply(await self._run_forwarded(message))
        except Refusal as exc:
            refusal = self._keyed.correct_outcome(call, exc)
            return ForwardReply(
                None,
                refusal.code,
                refusal.reason,
                refusal.outcome.value,
                refusal.attempt.value,
            )

    # Keys

    async def issue_keys(self, contract: str, count: int) -> list[str]:
        """Return new idempotency keys.

        Raises:
            Refusal: The host is stopping, the contract is not at home here, or the
                count is out of range.
        """
        if self.leaving:
            raise _stopping_refusal()
        if not 1 <= count <= MAX_KEYS_PER_REQUEST:
            raise Refusal(
                RefusalCode.BAD_REQUEST,
                f"count must be from 1 to {MAX_KEYS_PER_REQUEST}",
            )
        home = self._contract(contract).home.serve
        if home and self._region not in home:
            raise Refusal(
                RefusalCode.WRONG_REGION, f"home regions: {', '.join(sorted(home))}"
            )
        return [self._issuer.issue(contract) for _ in range(count)]

    def next_key(self, contract: str) -> str | None:
        """Return one new idempotency key for an answer, or None while leaving."""
        return None if self.leaving else self._issuer.issue(contract)

    async def outcome(self, contract: str, key: str) -> OutcomeReply:
        """Return what is known about an idempotency key.

        Raises:
            Refusal: The holder of the key cannot be asked.
        """
        self._contract(contract)
        return await self._keyed.outcome(contract, key)

    # Internals

    async def _handle(self, call: Call, trace: AttemptTrace) -> Reply:
        contract = self._contract(call.contract)
        self._check_service(call, contract)
        home = self._check_region(call, contract)
        if self._may_serve() is ServingMode.REFUSE:
            raise unconfirmed_refusal()
        idempotent = contract.is_idempotent(call.service, call.method, call.path)
        if idempotent:
            call.key = ""
        ticket = self._limiter.admit(contract)
        try:
            if call.key:
                return await self._run_keyed(call, contract, home, trace)
            guard = None if idempotent else SendGuard(self._invariants)
            return await self._attempts.run(
                call, contract, idempotent=idempotent, guard=guard, trace=trace
            )
        finally:
            ticket.release()

    async def _run_keyed(
        self, call: Call, contract: Contract, home: frozenset[str], trace: AttemptTrace
    ) -> Reply:
        async def send_locally(keyed: Call, attempt: SendGuard) -> Reply:
            return await self._attempts.run(
                keyed, contract, idempotent=False, guard=attempt, trace=trace
            )

        return await self._keyed.run(call, contract, home, send_locally)

    async def _run_forwarded(self, message: ForwardRequest) -> Reply:
        call = message.call
        contract = self._contract(call.contract)
        self._check_service(call, contract)
        self._check_region(call, contract)
        if self._may_serve() is ServingMode.REFUSE:
            raise unconfirmed_refusal()
        trace = AttemptTrace()

        async def send_locally(keyed: Call, attempt: SendGuard) -> Reply:
            return await self._attempts.run(
                keyed, contract, idempotent=False, guard=attempt, trace=trace
            )

        return await self._keyed.run_forwarded(message, contract, send_locally)

    def _contract(self, name: str) -> Contract:
        config = self._config()
        contract = config.contracts.get(name)
        if contract is None:
            if config.version == 0:
                raise unconfirmed_refusal()
            raise Refusal(RefusalCode.UNKNOWN_CONTRACT, "there is no such contract")
        return contract

    def _check_service(self, call: Call, contract: Contract) -> None:
        is_known = call.service in self._config().services
        if not is_known or call.service not in contract.services:
            raise Refusal(
                RefusalCode.UNKNOWN_SERVICE, "the contract does not list this service"
            )

    def _check_region(self, call: Call, contract: Contract) -> frozenset[str]:
        home = contract.home_regions(call.service, call.method, call.path)
        at_home = not home or self._region in home
        if not at_home and "leak-region" not in self._faults:
            raise Refusal(
                RefusalCode.WRONG_REGION, f"home regions: {', '.join(sorted(home))}"
            )
        self._invariants.check(
            InvariantName.RESIDENCY, at_home, "a request handled outside its home"
        )
        return home

    def _record(self, call: Call, code: str, trace: AttemptTrace) -> None:
        total_s = self._timer.now() - call.received_s
        is_known = call.contract in self._config().contracts
        self._recorder.record_call(
            call.contract if is_known else "",
            call.service if is_known and code != RefusalCode.UNKNOWN_SERVICE else "",
            trace.region or self._region,
            trace.data_centre,
            code,
            total_s=total_s,
            added_s=max(0.0, total_s - trace.service_s),
            queue_s=trace.queue_s,
            backend=trace.backend,
        )


def _stopping_refusal() -> Refusal:
    return Refusal(
        RefusalCode.STOPPING,
        "this entry host is stopping",
        outcome=Outcome.NOT_RUN,
        retry_after_s=1.0,
    )
