"""Router options that operators configure."""

from ..model import Record

DEFAULT_PROBE_SHARE = 0.01
DEFAULT_QUEUE_LENGTH = 256
DEFAULT_QUEUE_WAIT_S = 1.0


class RoutingOptions(Record):
    """Limits of probing and queueing.

    Attributes:
        probe_share: Share of the slot time of the backend servers for probes.
        queue_length: Maximum number of queued requests of one service at this host.
        queue_wait_s: Maximum queue time of an idempotent request, in seconds.
    """

    __slots__ = ("probe_share", "queue_length", "queue_wait_s")

    def __init__(
        self,
        *,
        probe_share: float = DEFAULT_PROBE_SHARE,
        queue_length: int = DEFAULT_QUEUE_LENGTH,
        queue_wait_s: float = DEFAULT_QUEUE_WAIT_S,
    ) -> None:
        self.probe_share = probe_share
        self.queue_length = queue_length
        self.queue_wait_s = queue_wait_s
