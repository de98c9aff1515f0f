"""Weighted division of the requests of a route among services."""

from ..desired import RouteRule, WeightedService


class WeightedSplit:
    """Smooth weighted round robin for each route.

    Each part gets its share within a few requests; random picks would need hundreds.
    A change of the weights resets the route.
    """

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: dict[str, tuple[tuple[WeightedService, ...], list[float]]] = {}

    def pick(self, route: RouteRule) -> str:
        """Return the service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        state = self._credits.get(route.name)
        if state is None or state[0] != parts:
            state = (parts, [0.0] * len(parts))
            self._credits[route.name] = state
        credits = state[1]
        total = 0.0
        best = 0
        for index, part in enumerate(parts):
            credits[index] += part.weight
            total += part.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= total
        return parts[best].service
