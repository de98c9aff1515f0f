"""Customers and their contracts: limits, home regions, routes, service levels."""

from ._record import Record

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class Customer(Record):
    """A customer of the platform.

    Attributes:
        name: Unique name.
        team: Team that owns the customer's contracts.
    """

    __slots__ = ("name", "team")

    def __init__(self, name: str, team: str) -> None:
        self.name = name
        self.team = team


class Route(Record):
    """Overrides the default idempotency and home regions of matching requests.

    Attributes:
        service: Service name.
        method: HTTP method in upper case, or "*".
        prefix: Prefix of the path after the service name.
        idempotent: Whether such requests may run more than once.
        serve_regions: Regions that may serve this route; empty means the
            contract's.
    """

    __slots__ = ("service", "method", "prefix", "idempotent", "serve_regions")

    def __init__(
        self,
        service: str,
        method: str,
        prefix: str,
        idempotent: bool,
        serve_regions: frozenset[str] = frozenset(),
    ) -> None:
        self.service = service
        self.method = method
        self.prefix = prefix
        self.idempotent = idempotent
        self.serve_regions = serve_regions

    def matches(self, service: str, method: str, path: str) -> bool:
        """Return True if the route applies to a request."""
        return (
            self.service == service
            and self.method in ("*", method)
            and path.startswith(self.prefix)
        )


class HomeRegions(Record):
    """Data residency of a contract; an empty set allows every region.

    Attributes:
        serve: Regions that may receive and serve the requests.
        keep: Regions that may store answers and records of them.
    """

    __slots__ = ("serve", "keep")

    def __init__(
        self,
        serve: frozenset[str] = frozenset(),
        keep: frozenset[str] = frozenset(),
    ) -> None:
        self.serve = serve
        self.keep = keep


class ContractLimits(Record):
    """Limits on the requests of a contract.

    Attributes:
        rate: Requests per second, summed over all entry hosts.
        burst: Requests that may exceed the rate in a burst.
        in_flight: Requests in flight, summed over all entry hosts.
        body_bytes: Maximum size of a request body, in bytes.
        answer_bytes: Maximum size of an answer body, in bytes.
        deadline_s: Default and maximum deadline of a request, in seconds.
    """

    __slots__ = (
        "rate",
        "burst",
        "in_flight",
        "body_bytes",
        "answer_bytes",
        "deadline_s",
    )

    def __init__(
        self,
        *,
        rate: float = 1000.0,
        burst: float = 200.0,
        in_flight: int = 1000,
        body_bytes: int = 1_048_576,
        answer_bytes: int = 4_194_304,
        deadline_s: float = 10.0,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.in_flight = in_flight
        self.body_bytes = body_bytes
        self.answer_bytes = answer_bytes
        self.deadline_s = deadline_s


class ServiceLevel(Record):
    """Service-level targets.

    Attributes:
        availability: Target share of answered requests, from 0 to 1.
        latency_s: Latency target, in seconds.
        latency_share: Share of requests that must meet the latency target, from 0
            to 1.
    """

    __slots__ = ("availability", "latency_s", "latency_share")

    def __init__(
        self,
        *,
        availability: float = 0.999,
        latency_s: float = 0.25,
        latency_share: float = 0.99,
    ) -> None:
        self.availability = availability
        self.latency_s = latency_s
        self.latency_share = latency_share


class Contract(Record):
    """Terms under which the requests of a customer are served.

    Attributes:
        name: Unique name, sent by callers in Crocusward-Contract.
        customer: Name of the customer.
        services: Names of the services that may be called.
        limits: Rate, concurrency, size and deadline limits.
        home: Regions that may serve requests and store answers.
        routes: Overrides for matching requests; the first match applies.
        level: Service-level targets.
        caller_key_sha256: SHA-256 hex digest of the caller key, or "" for none.
        weight: Weight in fair queueing.
    """

    __slots__ = (
        "name",
        "customer",
        "services",
        "limits",
        "home",
        "routes",
        "level",
        "caller_key_sha256",
        "weight",
    )

    def __init__(
        self,
        name: str,
        customer: str,
        services: frozenset[str],
        *,
        limits: ContractLimits | None = None,
        home: HomeRegions | None = None,
        routes: tuple[Route, ...] = (),
        level: ServiceLevel | None = None,
        caller_key_sha256: str = "",
        weight: float = 1.0,
    ) -> None:
        self.name = name
        self.customer = customer
        self.services = services
        self.limits = limits or ContractLimits()
        self.home = home or HomeRegions()
        self.routes = routes
        self.level = level or ServiceLevel()
        self.caller_key_sha256 = caller_key_sha256
        self.weight = weight

    def find_route(self, service: str, method: str, path: str) -> Route | None:
        """Return the first matching route, or None."""
        for route in self.routes:
            if route.matches(service, method, path):
                return route
        return None

    def is_idempotent(self, service: str, method: str, path: str) -> bool:
        """Return True if the request may run more than once."""
        route = self.find_route(service, method, path)
        return route.idempotent if route else method in IDEMPOTENT_METHODS

    def home_regions(self, service: str, method: str, path: str) -> frozenset[str]:
        """Return the regions that may serve a request; empty means every region."""
        route = self.find_route(service, method, path)
        if route is not None and route.serve_regions:
            return route.serve_regions
        return self.home.serve
