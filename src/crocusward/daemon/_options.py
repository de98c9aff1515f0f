"""Options of the logic of an entry host."""

from collections.abc import Callable

from ..model import Record
from ..routing import RoutingOptions
from ..settings import Settings
from ..timing import boot_time_s

BITS_PER_MBIT = 1e6


class NodeSecrets(Record):
    """Secrets of an entry host.

    Attributes:
        keys: Signs issued idempotency keys; the same on every host of the fleet.
        claims: Keys the digests of claims; the same on every host of the fleet.
    """

    __slots__ = ("keys", "claims")

    def __init__(self, keys: bytes, claims: bytes) -> None:
        self.keys = keys
        self.claims = claims

    def __repr__(self) -> str:
        return "NodeSecrets(...)"


class NodeOptions(Record):
    """Options of an entry host.

    Attributes:
        policy: Name of the routing policy.
        max_hosts: Number of entry hosts to assume while there is no list.
        host_poll_s: Period of reading the host list, in seconds.
        routing: Limits of probing and waiting.
        retry_share: Retries as a share of first attempts.
        link_bits_per_s: Capacity of the link between regions that the fleet may
            use, each way, in bits per second.
        config_poll_s: Period of reading the change log, in seconds.
        confirmation_s: How long a confirmation of the copy counts, in seconds.
        utc_s: Returns wall-clock time, for people only, in seconds.
        entries_of: Returns the entry addresses of a region.
        faults: Names of injected faults, which test the assertions.
        limit_clock: Clock of rate limits in seconds; goes on while the host is
            suspended.
    """

    __slots__ = (
        "policy",
        "max_hosts",
        "host_poll_s",
        "routing",
        "retry_share",
        "link_bits_per_s",
        "config_poll_s",
        "confirmation_s",
        "utc_s",
        "entries_of",
        "faults",
        "limit_clock",
    )

    def __init__(
        self,
        *,
        policy: str,
        max_hosts: int,
        host_poll_s: float = 1.0,
        routing: RoutingOptions | None = None,
        retry_share: float = 0.1,
        link_bits_per_s: float = 15e6,
        config_poll_s: float = 1.0,
        confirmation_s: float = 2.8,
        utc_s: Callable[[], int],
        entries_of: Callable[[str], tuple[str, ...]] = lambda region: (),
        faults: frozenset[str] = frozenset(),
        limit_clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.policy = policy
        self.max_hosts = max_hosts
        self.host_poll_s = host_poll_s
        self.routing = routing or RoutingOptions()
        self.retry_share = retry_share
        self.link_bits_per_s = link_bits_per_s
        self.config_poll_s = config_poll_s
        self.confirmation_s = confirmation_s
        self.utc_s = utc_s
        self.entries_of = entries_of
        self.faults = faults
        self.limit_clock = limit_clock

    @classmethod
    def from_settings(
        cls, settings: Settings, utc_s: Callable[[], int]
    ) -> "NodeOptions":
        """Return the options that the settings file gives."""
        regions = settings.fleet.regions
        routing = settings.routing

        def entries_of(region: str) -> tuple[str, ...]:
            found = regions.get(region)
            return found.entries if found is not None else ()

        return cls(
            policy=settings.routing.policy,
            max_hosts=settings.fleet.max_hosts,
            host_poll_s=settings.platform.host_poll_s,
            routing=RoutingOptions(
                probe_share=routing.probe_share,
                queue_length=routing.queue_length,
                queue_wait_s=routing.queue_wait_s,
            ),
            retry_share=routing.retry_share,
            link_bits_per_s=routing.link_mbit_s * BITS_PER_MBIT * routing.link_share,
            config_poll_s=settings.config.poll_s,
            confirmation_s=settings.config.confirmation_lifetime_s,
            utc_s=utc_s,
            entries_of=entries_of,
        )
