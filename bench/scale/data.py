"""What the runs measured, as series over one size each, and the shape of cost that is read from them.

A series has four sizes or more over a factor of 100 (a small run fewer). The data file keeps the points,
never a fit: shapes are found anew each time that the page is printed.
"""

from __future__ import annotations

import json
import os
from dataclasses import asdict, dataclass, field
from math import exp, log
from pathlib import Path

FILE = Path(__file__).parent.parent / "capacity.json"
STRAIGHT = 0.15  # largest residual, as a part of the value, of a line that is drawn through all points
LEAST_SIZES, LEAST_FACTOR = 4, 100.0  # of a series that the page may extrapolate from


@dataclass(frozen=True, slots=True)
class Series:
    """One quantity over one size. `name` is part.what ("module.step_ms"), `over` the size's name ("servers"),
    `points` (size, value) pairs, `fixed` the other sizes, `kind` what was run (hollow, process, sockets)."""

    name: str
    over: str
    unit: str
    points: tuple[tuple[float, float], ...]
    kind: str
    fixed: dict[str, float] = field(default_factory=dict)
    seed: int = 1
    load: float = 0.0  # of the machine, processes ready to run, when it began
    note: str = ""

    def whole(self) -> bool:
        sizes = [size for size, _ in self.points]
        return len(sizes) >= LEAST_SIZES and max(sizes) >= LEAST_FACTOR * max(min(sizes), 1e-9)


@dataclass(frozen=True, slots=True)
class Shape:
    """`formula` with the size as n; `residual`: root mean square, as a part of the value."""

    formula: str
    residual: float
    line: tuple[float, float] | None  # a + b n, if straight
    power: tuple[float, float]  # of the last two points: value = c n^k
    largest: float

    def between(self, size: float) -> float:
        """By the power that goes through the last two points."""
        c, k = self.power
        return c * float(size**k)

    def at(self, size: float) -> float:
        if self.line is not None:
            return self.line[0] + self.line[1] * size
        c, k = self.power
        return c * float(size**k)


def load() -> float:
    return os.getloadavg()[0]


def fit(points: tuple[tuple[float, float], ...]) -> Shape:
    """A line with least squares of relative errors where it fits all points; else the power between the last
    two, which draws no line through a bend."""
    rows = sorted((n, max(v, 1e-12)) for n, v in points)
    largest = rows[-1][0]
    (n1, v1), (n2, v2) = rows[-2:] if len(rows) > 1 else (rows[0], rows[0])
    k = log(v2 / v1) / log(n2 / n1) if n2 > n1 > 0 else 0.0
    power = (v2 / n2**k if n2 > 0 else v2, k)
    w = [1 / (v * v) for _, v in rows]
    sw = sum(w)
    sx = sum(wi * n for wi, (n, _) in zip(w, rows, strict=True))
    sy = sum(wi * v for wi, (_, v) in zip(w, rows, strict=True))
    sxx = sum(wi * n * n for wi, (n, _) in zip(w, rows, strict=True))
    sxy = sum(wi * n * v for wi, (n, v) in zip(w, rows, strict=True))
    under = sw * sxx - sx * sx
    b = (sw * sxy - sx * sy) / under if under > 1e-12 * sw * sxx else 0.0
    a = (sy - b * sx) / sw
    residual = (sum(((a + b * n) / v - 1) ** 2 for n, v in rows) / len(rows)) ** 0.5
    if residual <= STRAIGHT:
        return Shape(f"{a:.3g} + {b:.3g} n", residual, (a, b), power, largest)
    lx = [log(n) for n, _ in rows if n > 0]
    ly = [log(v) for n, v in rows if n > 0]
    mean_x, mean_y = sum(lx) / len(lx), sum(ly) / len(ly)
    spread = sum((x - mean_x) ** 2 for x in lx)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(lx, ly, strict=True)) / spread if spread else 0.0
    off = [exp(mean_y + slope * (x - mean_x) - y) - 1 for x, y in zip(lx, ly, strict=True)]
    residual = (sum(e * e for e in off) / len(off)) ** 0.5
    return Shape(f"bends; {power[0]:.3g} n^{k:.2f} from the last two", residual, None, power, largest)


def read(path: Path = FILE) -> dict[str, Series]:
    rows = json.loads(path.read_text()) if path.exists() else []
    return {r["name"]: Series(**{**r, "points": tuple(map(tuple, r["points"]))}) for r in rows}


def write(new: list[Series], path: Path = FILE) -> None:
    """Series of the same name are replaced whole."""
    kept = read(path) | {s.name: s for s in new}
    rows = [asdict(kept[name]) for name in sorted(kept)]
    path.write_text("[\n" + ",\n".join(json.dumps(r) for r in rows) + "\n]\n")
