"""Slopes of measured figures, with what the line leaves over."""

import statistics
from collections.abc import Sequence

from ...errors import CrocusError
from ...model import Record

SIGNIFICANT_DIGITS = 4


class Spread(Record):
    """Several rounds of one measurement.

    Attributes:
        median: Median of the rounds.
        low: Smallest round.
        high: Largest round.
    """

    __slots__ = ("median", "low", "high")

    def __init__(self, median: float, low: float, high: float) -> None:
        self.median = median
        self.low = low
        self.high = high

    def as_list(self) -> list[float]:
        """Return median, low and high, rounded."""
        return [round_to_digits(x) for x in (self.median, self.low, self.high)]


class LinearFit(Record):
    """A least-squares line.

    Attributes:
        slope: Rise of the line per unit of the size.
        intercept: Value of the line at size 0.
        residual: Largest distance of a point from the line.
        points: Size and value of each point.
    """

    __slots__ = ("slope", "intercept", "residual", "points")

    def __init__(
        self,
        slope: float,
        intercept: float,
        residual: float,
        points: tuple[tuple[float, float], ...],
    ) -> None:
        self.slope = slope
        self.intercept = intercept
        self.residual = residual
        self.points = points

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size

    def as_table(self) -> dict[str, object]:
        """Return the fit as a table, rounded."""
        return {
            "slope": round_to_digits(self.slope),
            "intercept": round_to_digits(self.intercept),
            "residual": round_to_digits(self.residual),
            "points": [[round_to_digits(x) for x in point] for point in self.points],
        }


def spread_of(values: Sequence[float]) -> Spread:
    """Return median and extremes of several rounds.

    Raises:
        CrocusError: There are no rounds.
    """
    if not values:
        raise CrocusError("there are no rounds", code="no_rounds")
    return Spread(statistics.median(values), min(values), max(values))


def fit_line(points: Sequence[tuple[float, float]]) -> LinearFit:
    """Fit a line to points of size and value.

    Raises:
        CrocusError: There are not two different sizes.
    """
    if len({size for size, _ in points}) < 2:
        raise CrocusError("a line needs two different sizes", code="one_size")
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    residual = max(abs(value - intercept - slope * size) for size, value in points)
    return LinearFit(slope, intercept, residual, tuple(points))


def round_to_digits(value: float) -> float:
    """Return a value with four significant digits."""
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")
