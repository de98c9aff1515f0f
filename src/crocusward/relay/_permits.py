"""Answer of a coordinator to a host that asks for a permit."""

from ..model import Record
from ..placing import BackendLoad


class PermitAnswer(Record):
    """A permit for one request to a rate-limited server, or its denial.

    Attributes:
        load: The server, or None if the permit is denied.
        in_flight: Other requests in flight there.
        retry_after_s: When a permit is expected, after a denial; 0.0 if unknown.
    """

    __slots__ = ("load", "in_flight", "retry_after_s")

    def __init__(
        self,
        load: BackendLoad | None,
        *,
        in_flight: float = 0.0,
        retry_after_s: float = 0.0,
    ) -> None:
        self.load = load
        self.in_flight = in_flight
        self.retry_after_s = retry_after_s
