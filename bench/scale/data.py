"""Stores the measured series of the capacity runs and fits a cost curve to each.

A series has at least four sizes that span a factor of 100; a small run has fewer. The data file holds only
the measured points; the curves are fitted again whenever the page is generated.
"""

from __future__ import annotations

import json
import os
from dataclasses import asdict, dataclass, field
from math import exp, log
from pathlib import Path

DATA_PATH = Path(__file__).parent.parent / "capacity.json"
MAX_LINEAR_RESIDUAL = 0.15  # relative RMS residual up to which a linear fit is accepted
MIN_SIZES, MIN_SIZE_RATIO = 4, 100.0  # required of a series before the page may extrapolate from it


@dataclass(frozen=True, slots=True)
class Series:
    """One measured quantity as a function of one size.

    `name` is `part.quantity` ("module.step_ms"), `over` the name of the varied size ("servers"), `points` the
    (size, value) pairs, `fixed` the sizes that are held constant and `kind` the kind of run: hollow (the
    cores in virtual time), process or sockets.
    """

    name: str
    over: str
    unit: str
    points: tuple[tuple[float, float], ...]
    kind: str
    fixed: dict[str, float] = field(default_factory=dict)
    seed: int = 1
    load: float = 0.0  # 1-minute load average of the machine at the start of the run
    note: str = ""

    def allows_extrapolation(self) -> bool:
        sizes = [size for size, _ in self.points]
        return len(sizes) >= MIN_SIZES and max(sizes) >= MIN_SIZE_RATIO * max(min(sizes), 1e-9)


@dataclass(frozen=True, slots=True)
class Shape:
    """A cost curve: `formula` with the size as n; `residual` is the relative root mean square error."""

    formula: str
    residual: float
    line: tuple[float, float] | None  # (a, b) of a + b n if the linear fit was accepted
    power: tuple[float, float]  # (c, k) of c n^k through the two largest sizes
    largest: float

    def interpolate(self, size: float) -> float:
        """Evaluates the power law through the two largest sizes."""
        c, k = self.power
        return c * float(size**k)

    def predict(self, size: float) -> float:
        if self.line is not None:
            return self.line[0] + self.line[1] * size
        c, k = self.power
        return c * float(size**k)


def load() -> float:
    return os.getloadavg()[0]


def fit(points: tuple[tuple[float, float], ...]) -> Shape:
    """Fits a line by least squares of the relative errors, or the power law through the two largest sizes.

    The power law is used where the line's residual is above MAX_LINEAR_RESIDUAL, so that a bend in the curve
    is not averaged away.
    """
    rows = sorted((n, max(v, 1e-12)) for n, v in points)
    largest = rows[-1][0]
    (n1, v1), (n2, v2) = rows[-2:] if len(rows) > 1 else (rows[0], rows[0])
    k = log(v2 / v1) / log(n2 / n1) if n2 > n1 > 0 else 0.0
    power = (v2 / n2**k if n2 > 0 else v2, k)
    weights = [1 / (v * v) for _, v in rows]
    sum_w = sum(weights)
    sum_wx = sum(weight * n for weight, (n, _) in zip(weights, rows, strict=True))
    sum_wy = sum(weight * v for weight, (_, v) in zip(weights, rows, strict=True))
    sum_wxx = sum(weight * n * n for weight, (n, _) in zip(weights, rows, strict=True))
    sum_wxy = sum(weight * n * v for weight, (n, v) in zip(weights, rows, strict=True))
    determinant = sum_w * sum_wxx - sum_wx * sum_wx
    b = (sum_w * sum_wxy - sum_wx * sum_wy) / determinant if determinant > 1e-12 * sum_w * sum_wxx else 0.0
    a = (sum_wy - b * sum_wx) / sum_w
    residual = (sum(((a + b * n) / v - 1) ** 2 for n, v in rows) / len(rows)) ** 0.5
    if residual <= MAX_LINEAR_RESIDUAL:
        return Shape(f"{a:.3g} + {b:.3g} n", residual, (a, b), power, largest)
    log_sizes = [log(n) for n, _ in rows if n > 0]
    log_values = [log(v) for n, v in rows if n > 0]
    mean_x, mean_y = sum(log_sizes) / len(log_sizes), sum(log_values) / len(log_values)
    variance_sum = sum((x - mean_x) ** 2 for x in log_sizes)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(log_sizes, log_values, strict=True)) / variance_sum
        if variance_sum
        else 0.0
    )
    relative_errors = [
        exp(mean_y + slope * (x - mean_x) - y) - 1 for x, y in zip(log_sizes, log_values, strict=True)
    ]
    residual = (sum(e * e for e in relative_errors) / len(relative_errors)) ** 0.5
    return Shape(f"bends; {power[0]:.3g} n^{k:.2f} from the last two", residual, None, power, largest)


def read(path: Path = DATA_PATH) -> dict[str, Series]:
    rows = json.loads(path.read_text()) if path.exists() else []
    return {r["name"]: Series(**{**r, "points": tuple(map(tuple, r["points"]))}) for r in rows}


def write(measured: list[Series], path: Path = DATA_PATH) -> None:
    """Merges the series into the data file; a series replaces an earlier one of the same name completely."""
    series_by_name = read(path) | {s.name: s for s in measured}
    rows = [asdict(series_by_name[name]) for name in sorted(series_by_name)]
    path.write_text("[\n" + ",\n".join(json.dumps(r) for r in rows) + "\n]\n")
