"""Linear fits of a measured cost over a size."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass

__all__ = ["COMMAND", "Slope", "fit_line"]

COMMAND = "make slopes"


@dataclass(frozen=True, slots=True)
class Slope:
    """
    A line fitted to measured points.

    Attributes
    ----------
    name : str
        Name by which docs/CAPACITY.md refers to the slope.
    value : float
        Cost of each further `per`, in `unit`.
    at_zero : float
        Cost at size zero, in `unit`.
    unit, per : str
        Unit of the cost and of the size.
    points : tuple of (float, float)
        Measured sizes and costs.
    r_squared : float or None
        Coefficient of determination; None for a single point.
    """

    name: str
    value: float
    at_zero: float
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    r_squared: float | None
    command: str = COMMAND

    @property
    def measured_range(self) -> str:
        sizes = [size for size, _ in self.points]
        low, high = min(sizes), max(sizes)
        return f"{low:,.0f}" if low == high else f"{low:,.0f} to {high:,.0f}"

    def cost_at(self, size: float) -> float:
        return self.at_zero + self.value * size

    def to_json(self) -> dict:
        return asdict(self) | {"range": self.measured_range}


def fit_line(
    name: str, unit: str, per: str, points: Sequence[tuple[float, float]]
) -> Slope:
    """Return the least-squares line; for a single point, the line through zero."""
    measured = tuple((float(size), float(cost)) for size, cost in points)
    if len(measured) == 1:
        size, cost = measured[0]
        return Slope(name, cost / size, 0.0, unit, per, measured, None)
    mean_size = sum(size for size, _ in measured) / len(measured)
    mean_cost = sum(cost for _, cost in measured) / len(measured)
    size_variation = sum((size - mean_size) ** 2 for size, _ in measured)
    value = sum((s - mean_size) * (c - mean_cost) for s, c in measured) / size_variation
    at_zero = mean_cost - value * mean_size
    cost_variation = sum((cost - mean_cost) ** 2 for _, cost in measured)
    residual = sum((cost - at_zero - value * size) ** 2 for size, cost in measured)
    r_squared = 1.0 - residual / cost_variation if cost_variation else 1.0
    return Slope(name, value, at_zero, unit, per, measured, r_squared)
