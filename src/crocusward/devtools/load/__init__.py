"""Open-loop load on a deployment, and what came of each call."""

from ._caller import Caller, CallOutcome
from ._control import Standins
from ._generator import LoadGenerator, LoadOptions
from ._tally import Tally

__all__ = [
    "CallOutcome",
    "Caller",
    "LoadGenerator",
    "LoadOptions",
    "Standins",
    "Tally",
]
