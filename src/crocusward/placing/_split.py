"""Divides the requests of a route among services by weight."""

from ..desired import RouteRule, WeightedService


class WeightedSplit:
    """Smooth weighted round robin for each route.

    After every few requests each part has its share; random picks would need
    hundreds. A change of the weights starts the route anew.
    """

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: dict[str, tuple[tuple[WeightedService, ...], list[float]]] = {}

    def pick(self, route: RouteRule) -> str:
        """Return the service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        known = self._credits.get(route.name)
        if known is None or known[0] != parts:
            known = (parts, [0.0] * len(parts))
            self._credits[route.name] = known
        level = known[1]
        total = 0.0
        best = 0
        for index, part in enumerate(parts):
            level[index] += part.weight
            total += part.weight
            if level[index] > level[best]:
                best = index
        level[best] -= total
        return parts[best].service
