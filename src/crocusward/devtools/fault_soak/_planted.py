"""Runs the entry daemon with one wrong decision, which the soak must find."""

import signal

# As in deploy/run.py: the signal's default action would end a process that starts.
if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402
from collections.abc import Callable  # noqa: E402

from ...entryd import main  # noqa: E402
from ...platform import REQUEST_ID_HEADER  # noqa: E402
from ...registry import Registry  # noqa: E402
from ...relay import _exchange  # noqa: E402
from ...relay._evidence import Evidence  # noqa: E402
from ...relay._messages import Headers  # noqa: E402
from ...upstream import AnswerMatch, ConnectionHistory  # noqa: E402

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


def _believe(believed: Evidence) -> None:
    proofs = {item for item in Evidence if item.proves_not_run} | {believed}
    is_proof = property(lambda item: item in proofs)
    type.__setattr__(Evidence, "proves_not_run", is_proof)


if __name__ == "__main__":
    PLANTS.get(sys.argv[1])()
    sys.exit(main())
