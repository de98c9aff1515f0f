"""Runs requests with an idempotency key on the holder of the key."""

from collections.abc import Awaitable, Callable

from ..errors import Attempt, Outcome, PeerUnreachableError, Refusal, RefusalCode
from ..ledger import Claim, ClaimBatcher, IssuedKey, KeyIssuer, Ledger, SendGuard
from ..model import Call, Contract, Reply
from ..peer import ForwardReply, ForwardRequest, OutcomeReply, OutcomeRequest
from ..timing import TimerService
from ._interface import PeerNetwork

OUTCOME_TIMEOUT_S = 2.0
HOLDER_RETRY_AFTER_S = 1.0

SendLocally = Callable[[Call, SendGuard], Awaitable[Reply]]
RegionCheck = Callable[[str], bool]


class KeyedRunner:
    """Finds the holder of a key and runs the request there.

    Args:
        timer: Time source.
        region: Region of this host.
        issuer: Issues and checks keys.
        ledger: State of the keys that this incarnation holds.
        claims: Claims client-supplied keys for a holder.
        peers: Forwards requests to other holders.
    """

    __slots__ = ("_timer", "_region", "_issuer", "_ledger", "_claims", "_peers")

    def __init__(
        self,
        timer: TimerService,
        region: str,
        issuer: KeyIssuer,
        ledger: Ledger,
        claims: ClaimBatcher,
        peers: PeerNetwork,
    ) -> None:
        self._timer = timer
        self._region = region
        self._issuer = issuer
        self._ledger = ledger
        self._claims = claims
        self._peers = peers

    async def run(
        self,
        call: Call,
        contract: Contract,
        home: frozenset[str],
        send_locally: SendLocally,
    ) -> Reply:
        """Run a keyed request on the holder of its key.

        Args:
            call: The request.
            contract: Its contract.
            home: Home regions of the request; empty allows all regions.
            send_locally: Sends the request from this host.

        Raises:
            Refusal: No answer; the outcome covers all attempts under the key.
        """
        issued = self._issuer.parse(call.key, call.contract)
        if issued is not None:
            return await self._run_issued(call, contract, home, send_locally, issued)
        if self._ledger.has_key(call.contract, call.key):
            return await self._run_here(call, contract, send_locally, _in_doubt_refusal)
        claim = await self._claims.claim(call.contract, call.key)
        if self._claims.is_own(claim):
            return await self._run_here(
                call,
                contract,
                send_locally,
                lambda: self._claims.check_first_send(claim),
            )
        return await self._forward(call, home, claim.incarnation, issued=False)

    async def run_forwarded(
        self, message: ForwardRequest, contract: Contract, send_locally: SendLocally
    ) -> Reply:
        """Run a request that a peer forwarded because this host holds its key.

        Raises:
            Refusal: No answer.
        """
        call = message.call
        issued = self._issuer.parse(call.key, call.contract)
        if issued is not None:
            return await self._run_here(
                call,
                contract,
                send_locally,
                lambda: self._issuer.check_first_send(issued),
            )
        if self._ledger.has_key(call.contract, call.key):
            return await self._run_here(call, contract, send_locally, _in_doubt_refusal)
        claim = await self._claims.claim(call.contract, call.key)
        return await self._run_here(
            call, contract, send_locally, lambda: self._claims.check_first_send(claim)
        )

    async def outcome(self, contract: str, key: str) -> OutcomeReply:
        """Return the state of a key, asking its holder if necessary.

        Raises:
            Refusal: The holder cannot be asked now.
        """
        known = self._ledger.outcome(contract, key)
        if known is not None:
            return known
        holder = await self._holder_of(contract, key)
        if holder is None:
            return self.local_outcome(contract, key)
        try:
            return await self._peers.outcome(
                holder, OutcomeRequest(contract, key), OUTCOME_TIMEOUT_S
            )
        except PeerUnreachableError as exc:
            if exc.gone:
                return OutcomeReply("unknown", 0)
            raise _unreachable_refusal(exc) from None

    def local_outcome(self, contract: str, key: str) -> OutcomeReply:
        """Return the state of a key according to this host's ledger."""
        known = self._ledger.outcome(contract, key)
        if known is not None:
            return known
        issued = self._issuer.parse(key, contract)
        is_unsent = issued is not None and self._issuer.check_first_send(issued) is None
        return OutcomeReply("unused" if is_unsent else "unknown", 0)

    def correct_outcome(self, call: Call, refusal: Refusal) -> Refusal:
        """Correct the outcome of a refusal that was made outside the ledger."""
        if not call.key or refusal.outcome is Outcome.UNKNOWN:
            return refusal
        try:
            issued = self._issuer.parse(call.key, call.contract)
        except Refusal:
            issued = None
        if issued is None:
            return self._ledger.correct_outcome(call, refusal)
        return self._ledger.correct_outcome(
            call, refusal, lambda: self._issuer.check_first_send(issued)
        )

    async def _run_issued(
        self,
        call: Call,
        contract: Contract,
        home: frozenset[str],
        send_locally: SendLocally,
        issued: IssuedKey,
    ) -> Reply:
        if self._issuer.is_own(issued):
            return await self._run_here(
                call,
                contract,
                send_locally,
                lambda: self._issuer.check_first_send(issued),
            )
        return await self._forward(call, home, issued.incarnation, issued=True)

    async def _run_here(
        self,
        call: Call,
        contract: Contract,
        send_locally: SendLocally,
        check_first_send: Callable[[], Refusal | None],
    ) -> Reply:
        keep_regions = contract.home.keep

        async def send(attempt: SendGuard) -> Reply:
            return await send_locally(call, attempt)

        return await self._ledger.run(
            call,
            send,
            check_first_send=check_first_send,
            keep_answer=not keep_regions or self._region in keep_regions,
        )

    async def _forward(
        self, call: Call, home: frozenset[str], holder: int, *, issued: bool
    ) -> Reply:
        region = self._peers.region_of(holder)
        if home and region and region not in home:
            raise Refusal(
                RefusalCode.WRONG_REGION,
                "the holder of the key is outside the home regions of the request",
                outcome=Outcome.UNKNOWN,
            )
        timeout_s = call.deadline_s - self._timer.now()
        message = ForwardRequest(_with_remaining_time(call, timeout_s), issued)
        try:
            answer = await self._peers.forward(holder, message, timeout_s)
        except PeerUnreachableError as exc:
            raise _unreachable_refusal(exc) from None
        return _unwrap_reply(answer)

    async def _holder_of(self, contract: str, key: str) -> int | None:
        """Return the holder of a key, or None for this incarnation."""
        issued = self._issuer.parse(key, contract)
        if issued is not None:
            return None if self._issuer.is_own(issued) else issued.incarnation
        claim: Claim | None = await self._claims.find(contract, key)
        if claim is None or self._claims.is_own(claim):
            return None
        return claim.incarnation


def _in_doubt_refusal() -> Refusal:
    return Refusal(
        RefusalCode.KEY_IN_DOUBT,
        "the state of the key has just been evicted",
        outcome=Outcome.UNKNOWN,
    )


def _with_remaining_time(call: Call, timeout_s: float) -> Call:
    return Call(
        call.request_id,
        call.contract,
        call.service,
        call.method,
        call.path,
        headers=call.headers,
        body=call.body,
        key=call.key,
        deadline_s=timeout_s,
        depth=call.depth,
    )


def _unwrap_reply(answer: ForwardReply) -> Reply:
    if answer.reply is not None:
        return answer.reply
    raise Refusal(
        RefusalCode(answer.code),
        answer.reason,
        outcome=Outcome(answer.outcome),
        attempt=Attempt(answer.attempt),
        retry_after_s=HOLDER_RETRY_AFTER_S,
    )


def _unreachable_refusal(exc: PeerUnreachableError) -> Refusal:
    code = RefusalCode.HOLDER_GONE if exc.gone else RefusalCode.HOLDER_UNREACHABLE
    reason = "has been replaced" if exc.gone else "cannot be reached now"
    return Refusal(
        code,
        f"the entry host that holds the key {reason}",
        outcome=Outcome.UNKNOWN,
        attempt=Attempt.MAYBE_SENT if exc.sent else Attempt.NOT_SENT,
        retry_after_s=None if exc.gone else HOLDER_RETRY_AFTER_S,
    )
