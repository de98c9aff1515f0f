"""Slow-start state of one backend server."""

import hashlib

WARM_ALLOWANCE = 255  # of a warm server; the allowance is one byte in a report
COLD_HOLD_S = 0.2  # a report this soon after a cold mark was sent before it
MAX_PAST_BOOT_COUNT = 4


def rendezvous_score(host: str, backend: str) -> int:
    """Return the rendezvous-hash score of a host for a backend server."""
    digest = hashlib.blake2b(f"{host}\0{backend}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


class SlowStartState:
    """Slow start of one backend server, as this host knows it.

    Attributes:
        backend: Backend id.
        region: Region of the server, or "" while it is not listed here.
        boot: Boot id last seen, or "".
        boot_seen_s: When that id was first seen, in seconds.
        past_boots: Earlier boot ids; answers and reports with one of them are late.
        is_known_cold: Whether it was marked cold; False if nothing is known.
        allowance: Requests in flight that the fleet may have there.
        own_allowance: The same, as derived from this host's own successes.
        run_successes: Successes since the last doubling.
        run_latency_ratio_sum: Sum of their times relative to the average time.
        position: This host's rank among the hosts that may warm the server, from 0;
            -1 if it is not one of them.
        cold_since_s: When the server was last marked cold, in seconds.
        peer_progress_s: When a peer last reported progress, in seconds.
        warm_since_s: When slow start was completed, in seconds.
        defer_until_s: Until when a peer has precedence in warming, in seconds.
        last_claim_s: When this host last requested a permit, in seconds.
        last_success_s: When a request of this host last succeeded there, in seconds.
        permit_until_s: Expiry of this host's permit to warm it, in seconds.
        permit_host: Peer to which this host granted a permit, or "".
    """

    __slots__ = (
        "backend",
        "region",
        "boot",
        "boot_seen_s",
        "past_boots",
        "is_known_cold",
        "allowance",
        "own_allowance",
        "run_successes",
        "run_latency_ratio_sum",
        "position",
        "cold_since_s",
        "peer_progress_s",
        "warm_since_s",
        "defer_until_s",
        "last_claim_s",
        "last_success_s",
        "permit_until_s",
        "permit_host",
    )

    def __init__(self, backend: str, now_s: float) -> None:
        self.backend = backend
        self.region = ""
        self.boot = ""
        self.boot_seen_s = now_s
        self.past_boots: tuple[str, ...] = ()
        self.is_known_cold = False
        self.allowance = 0
        self.own_allowance = 1
        self.run_successes = 0
        self.run_latency_ratio_sum = 0.0
        self.position = -1
        # Nothing is known yet, so any report is accepted.
        self.cold_since_s = now_s - COLD_HOLD_S
        self.peer_progress_s = now_s
        self.warm_since_s = -1e9
        self.defer_until_s = -1.0
        self.last_claim_s = -1e9
        self.last_success_s = -1e9
        self.permit_until_s = -1.0
        self.permit_host = ""

    @property
    def is_warm(self) -> bool:
        """Whether the server takes full load."""
        return self.allowance >= WARM_ALLOWANCE

    def reset_run(self) -> None:
        """Restart the count of successes."""
        self.run_successes = 0
        self.run_latency_ratio_sum = 0.0

    def set_boot(self, boot: str, now_s: float) -> None:
        """Set the current boot id and remember the previous one."""
        past_boots = [self.boot, *self.past_boots] if self.boot else self.past_boots
        self.past_boots = tuple(item for item in past_boots if item != boot)[
            :MAX_PAST_BOOT_COUNT
        ]
        self.boot = boot
        self.boot_seen_s = now_s

    def reset_cold(self, boot: str, now_s: float) -> None:
        """Restart slow start from one request in flight."""
        if boot and boot != self.boot:
            self.set_boot(boot, now_s)
        self.is_known_cold = True
        self.allowance = 0
        self.own_allowance = 1
        self.reset_run()
        self.cold_since_s = now_s
        self.peer_progress_s = now_s
