"""Selection of a backend server for each request."""

from ._link_budget import LinkBudget
from ._options import RoutingOptions
from ._policies import Policy, policies
from ._router import Router
from ._types import ExchangeKind, ExchangeResult, Reservation, RouteRequest

DEFAULT_POLICY = "least_wait"

__all__ = [
    "DEFAULT_POLICY",
    "ExchangeKind",
    "ExchangeResult",
    "LinkBudget",
    "Policy",
    "Reservation",
    "RouteRequest",
    "Router",
    "RoutingOptions",
    "policies",
]
