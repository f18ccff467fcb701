"""docs/CAPACITY.md: the prose stands in the page, its tables are made from the data file.

A table stands between `<!-- table NAME -->` and `<!-- end -->`. Every figure is marked: measured at N,
extrapolated x k from the largest size measured, or assumed.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from bench.scale import target as t
from bench.scale.data import Series, fit

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"
TABLE = re.compile(r"(<!-- table (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)
UNTOLD = "not measured"


@dataclass(frozen=True, slots=True)
class Figure:
    value: float
    mark: str


Found = dict[str, Series]


def short(value: float) -> str:
    """Two or three digits that matter, with k, M, G."""
    for factor, sign in ((1e9, "G"), (1e6, "M"), (1e4, "k")):
        if abs(value) >= factor:
            base = 1e3 if sign == "k" else factor
            return f"{value / base:,.3g}{sign}" if value / base < 1000 else f"{value / base:,.0f}{sign}"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def at(found: Found, name: str, size: float, scale: float = 1.0) -> Figure | None:
    """The series at a size: a point that was measured, between two of them, or beyond the largest."""
    series = found.get(name)
    if series is None or not series.points:
        return None
    points = dict(series.points)
    largest = max(points)
    if size in points:
        return Figure(points[size] * scale, f"measured at {short(size)}")
    if size <= largest:
        above = min(n for n in points if n >= size)
        below = max((n for n in points if n <= size), default=above)
        part = (size - below) / (above - below) if above > below else 0.0
        value = points[below] + (points[above] - points[below]) * part
        return Figure(value * scale, f"between {short(below)} and {short(above)}")
    shape = fit(series.points)
    return Figure(shape.at(size) * scale, f"extrapolated x {size / largest:.3g} from {short(largest)}")


def assumed(value: float, why: str = "") -> Figure:
    return Figure(value, f"by formula{why}")


@dataclass(frozen=True, slots=True)
class Row:
    """`unit` of both figures; `mechanism`: the file that carries it, or what is missing."""

    what: str
    unit: str
    allowed: float
    now: Callable[[Found], Figure | None]
    mechanism: str
    promised: bool = False  # that it holds; what is missing is promised nowhere


def series(name: str, size: float, scale: float = 1.0) -> Callable[[Found], Figure | None]:
    return lambda found: at(found, name, size, scale)


def fixed(value: float, why: str = "") -> Callable[[Found], Figure | None]:
    return lambda found: assumed(value, why)


ALL = "all backends in every proxy"
OWN = f"own part ({t.FOLLOWED} services)"
MODULE = "module's walks (`choice.py`): **missing**"

TODAY = (
    Row(f"change: whole list, {ALL}", "KB in 13 s", t.BYTES_PER_S * t.IN_FORCE_S / 1e3,
        series("lists.snapshot_bytes", t.BACKENDS, 1e-3), "scoped delivery: was missing, now `delivery/`"),
    Row("longest list that a proxy takes", "bytes of its bound", 1024 * 1024,
        series("lists.snapshot_bytes", t.BACKENDS), "`net/discovery.py`, `MAX_LIST`; scoped delivery"),
    Row(f"module's memory, {ALL}", "MB", t.MEMORY / 1e6,
        series("module.memory_bytes", t.BACKENDS, 1e-6), "scoped delivery"),
    Row(f"module at rest, {ALL}", "of a core", t.CORE,
        series("module.rest_core", t.BACKENDS), "scoped delivery, then " + MODULE),
    Row(f"longest step at rest, {ALL}", "ms", t.ADDED_MS,
        series("module.rest_step_ms", t.BACKENDS), "scoped delivery, then " + MODULE),
    Row(f"one entry changed, {ALL}", "ms", t.ADDED_MS,
        series("module.change_ms", t.BACKENDS), "scoped delivery, then " + MODULE),
    Row("tenants: longest step, all in every proxy", "ms", t.ADDED_MS,
        series("module.tenants_step_ms", t.TENANTS), "own tenants by delivery; `find_part`: **missing**"),
    Row("tenants: at rest, all in every proxy", "of a core", t.CORE,
        series("module.tenants_rest_core", t.TENANTS), "own tenants by delivery; `find_part`: **missing**"),
    Row("a limit for each tenant", "limits", 64.0,
        fixed(t.TENANTS), "`limits/`, 64 at most: rows by tenant **missing**"),
    Row("peers: a death known to all", "s", t.IN_FORCE_S,
        series("peers.death_s", t.PROXIES), "`peers/`: suspicion in zones **missing**"),
    Row("peers: at rest", "KB/s", t.BYTES_PER_S / 1e3,
        series("peers.rest_bytes_per_s", t.PROXIES, 1e-3), "`peers/`"),
    Row("peers: at rest", "of a core", t.CORE, series("peers.core", t.PROXIES), "`peers/`"),
)  # fmt: skip

AHEAD = (
    Row("a change in force at all who follow it, ordinary day, 99.9%", "s", t.IN_FORCE_S,
        series("day.ordinary.staleness_999_s", t.PROXIES), "`delivery/`", True),
    Row("the same, 3 relays dead", "s", t.IN_FORCE_S,
        series("day.relays_dead.staleness_999_s", t.PROXIES), "`delivery/`", True),
    Row("bytes a proxy, worst minute, ordinary day", "KB/s", t.BYTES_PER_S / 1e3,
        series("day.ordinary.minute_bytes_per_s", t.PROXIES, 1e-3), "`delivery/`, credit", True),
    Row("a proxy's objects", "MB", t.MEMORY / 1e6,
        series("delivery.proxy_memory_bytes", t.FOLLOWED, 1e-6), "`delivery/store.py`", True),
    Row("a proxy's delivery at rest", "of a core", t.CORE,
        series("delivery.proxy_core", t.FOLLOWED), "`delivery/subscriber.py`", True),
    Row(f"module's memory, {OWN}, a pool each", "MB", t.MEMORY / 1e6,
        series("module.services_memory_bytes", t.FOLLOWED, 1e-6), "pools in one process: **missing**"),
    Row(f"module at rest, {OWN}, a pool each", "of a core", t.CORE,
        series("module.services_rest_core", t.FOLLOWED), MODULE),
    Row(f"longest step at rest, {OWN} in one pool", "ms", t.ADDED_MS,
        series("module.rest_step_ms", t.OWN_BACKENDS), MODULE),
    Row(f"tenants: longest step, {t.OWN_TENANTS:,} rows", "ms", t.ADDED_MS,
        series("module.tenants_step_ms", t.OWN_TENANTS), "`find_part`: **missing**"),
    Row("a relay's objects, all of them", "MB", 4_000.0,
        series("delivery.relay_memory_bytes", t.BACKENDS, 1e-6),
        "`delivery/store.py`; a machine of 4 GB assumed", True),
    Row("a relay's processor", "of a core", 1.0,
        series("delivery.relay_core", 44), "`delivery/relay.py`; 44 subscribers each", True),
    Row("a relay's longest step", "ms", 100.0,
        series("delivery.longest_step_ms", 44), "a tick; `delivery/relay.py`", True),
)  # fmt: skip


def ranking(found: Found, rows: tuple[Row, ...]) -> list[tuple[float, Row, Figure | None]]:
    out = []
    for row in rows:
        figure = row.now(found)
        out.append((figure.value / row.allowed if figure else 0.0, row, figure))
    return sorted(out, key=lambda one: -one[0])


def rows_table(found: Found, rows: tuple[Row, ...], ordered: bool) -> str:
    lines = [
        "| what | allowed | now | ratio | figure | carried by |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    ranked = ranking(found, rows)
    if not ordered:
        ranked.sort(key=lambda one: rows.index(one[1]))
    for ratio, row, figure in ranked:
        now, mark = (short(figure.value), figure.mark) if figure else ("-", UNTOLD)
        shown = short(ratio) if figure else "-"
        lines.append(
            f"| {row.what} | {short(row.allowed)} {row.unit} | {now} | {shown} | {mark} | {row.mechanism} |"
        )
    return "\n".join(lines)


def slopes_table(found: Found) -> str:
    lines = ["| series | over n | points, smallest to largest | shape | residual | kind, seed, load |"]
    lines.append("| --- | --- | --- | --- | --- | --- |")
    for name in sorted(found):
        one = found[name]
        if name.startswith("day.") or not one.points:
            continue
        ordered = sorted(one.points)
        (n1, v1), (n2, v2) = ordered[0], ordered[-1]
        points = f"{short(n1)}: {short(v1)} ... {short(n2)}: {short(v2)}"
        shape = fit(one.points)
        few = "" if one.whole() else " (few sizes)"
        lines.append(
            f"| {name} ({one.unit}) | {one.over} | {points}{few} | {shape.formula} | {shape.residual:.2f} "
            f"| {one.kind}, {one.seed}, {one.load:.0f} |"
        )
    return "\n".join(lines)


DAY_FIGURES = (
    ("staleness_50_s", "median s"),
    ("staleness_999_s", "99.9% s"),
    ("staleness_worst_s", "worst s"),
    ("minute_bytes_per_s", "bytes/s a proxy, worst minute"),
    ("relay_messages_per_s", "messages/s a relay, peak"),
)


def days_table(found: Found) -> str:
    days = sorted({name.split(".")[1] for name in found if name.startswith("day.")})
    lines = ["| day | " + " | ".join(label for _, label in DAY_FIGURES) + " | proxies |"]
    lines.append("| --- " * (len(DAY_FIGURES) + 2) + "|")
    for day in days:
        cells, size = [], 0.0
        for key, _ in DAY_FIGURES:
            one = found.get(f"day.{day}.{key}")
            if one is None:
                cells.append("-")
                continue
            size, value = max(one.points)
            cells.append(short(value))
        lines.append(f"| {day.replace('_', ' ')} | " + " | ".join(cells) + f" | {short(size)} |")
    return "\n".join(lines)


def who_table(found: Found) -> str:
    """Who carries what, by formula from the target."""
    q, a = t.REQUESTS_A_PROXY, t.A_SERVICE
    rows = [
        ("every proxy all services", t.SERVICES, t.PROXIES, "none"),
        ("cells: 22 of 100 proxies, 500 services each", t.SERVICES / 22, 100, "service -> cell, 22 rows"),
        (f"shuffle sharding, {t.FOLLOWED} services a proxy", t.FOLLOWED, t.CARRIERS, "service -> 40 proxies"),
        ("on demand, whoever is asked", t.SERVICES, t.PROXIES, "none; all of it in 16 s of even traffic"),
    ]
    lines = [
        "| who carries what | backends a proxy | MB, module | proxies a backend may meet | requests a proxy "
        "learns from, a backend a minute | lost with one proxy, of a service | asks of the front |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for what, services, carriers, asks in rows:
        own = services * a
        memory = at(found, "module.memory_bytes", own, 1e-6)
        mb = f"{short(memory.value)}, {memory.mark}" if memory else UNTOLD
        lines.append(
            f"| {what} | {short(own)} | {mb} | {short(carriers)} | {short(q * 60 / own)} "
            f"| 1/{short(carriers)} | {asks} |"
        )
    return "\n".join(lines)


def cell(found: Found, unit: str, *terms: tuple[str, float, float]) -> str:
    """The sum of series at their sizes, each with its scale, and the mark of what was extrapolated."""
    figures = [at(found, name, size, scale) for name, size, scale in terms]
    known = [figure for figure in figures if figure is not None]
    if len(known) < len(figures):
        return UNTOLD
    marks = sorted({figure.mark for figure in known}, key=lambda mark: not mark.startswith("extra"))
    return f"{short(sum(figure.value for figure in known))} {unit} ({'; '.join(marks[:1])})"


def roles_table(found: Found) -> str:
    own, followers = t.FOLLOWED, t.PROXIES / (t.CONTROL_MACHINES - 3)
    rows = [
        ("proxy, its control",
         cell(found, "MB", ("delivery.proxy_memory_bytes", own, 1e-6),
              ("module.services_memory_bytes", own, 1e-6)),
         cell(found, "bytes/s at rest", ("delivery.rest_bytes_per_s", own, 1.0)),
         cell(found, "of a core", ("delivery.proxy_core", own, 1.0), ("module.services_rest_core", own, 1.0)),
         cell(found, "ms", ("delivery.snapshot_step_ms", own, 1.0)) + ", its first snapshot"),
        ("supervisor, as a peer",
         cell(found, "MB", ("peers.memory_bytes", t.PROXIES, 1e-6)),
         cell(found, "bytes/s", ("peers.rest_bytes_per_s", t.PROXIES, 1.0)),
         cell(found, "of a core", ("peers.core", t.PROXIES, 1.0)),
         cell(found, "ms", ("peers.tick_ms", t.PROXIES, 1.0))),
        ("relay, 50 of the 53",
         cell(found, "MB", ("delivery.relay_memory_bytes", t.BACKENDS, 1e-6),
              ("delivery.relay_routes_memory_bytes", t.ROUTES, 1e-6),
              ("delivery.relay_tenants_memory_bytes", t.TENANTS, 1e-6)),
         cell(found, "bytes/s to each of 44", ("delivery.rest_bytes_per_s", own, 1.0)),
         cell(found, "of a core", ("delivery.relay_core", followers, 1.0)),
         cell(found, "ms", ("delivery.longest_step_ms", followers, 1.0))),
        ("origin, 1 of the 53",
         cell(found, "MB", ("delivery.relay_memory_bytes", t.BACKENDS, 1e-6),
              ("delivery.relay_routes_memory_bytes", t.ROUTES, 1e-6),
              ("delivery.relay_tenants_memory_bytes", t.TENANTS, 1e-6)),
         "the same to each of 52",
         cell(found, "of a core", ("delivery.origin_core", 52, 1.0)),
         cell(found, "ms", ("delivery.origin_longest_step_ms", 52, 1.0))),
        ("lease server of limits, 2,200 holders",
         cell(found, "MB", ("limits.memory_bytes_by_holders", t.PROXIES, 1e-6)),
         cell(found, "bytes/s", ("limits.keeper_bytes_per_s", t.PROXIES, 1.0)),
         cell(found, "of a core", ("limits.core_by_holders", t.PROXIES, 1.0)),
         cell(found, "ms", ("limits.cpu_ms_by_holders", t.PROXIES, 1.0))),
    ]  # fmt: skip
    lines = [
        "| role | state | messages | processor | longest hold of its loop |",
        "| --- | --- | --- | --- | --- |",
    ]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)])


def tables(found: Found) -> dict[str, str]:
    return {
        "today": rows_table(found, TODAY, True),
        "ahead": rows_table(found, AHEAD, False),
        "who": who_table(found),
        "roles": roles_table(found),
        "days": days_table(found),
        "slopes": slopes_table(found),
    }


def page(text: str, found: Found) -> str:
    """The page with its tables made anew. KeyError: a table that nobody makes."""
    made = tables(found)
    return TABLE.sub(lambda m: f"{m[1]}{made[m[2]]}\n{m[3]}", text)


def worst(found: Found) -> tuple[float, float, str]:
    """The largest ratio of what the page promises, the largest of all, and its row."""
    promised = [row for row in (*TODAY, *AHEAD) if row.promised]
    ratio, row, figure = ranking(found, (*TODAY, *AHEAD))[0]
    return ranking(found, tuple(promised))[0][0], ratio, f"{row.what} ({figure.mark if figure else UNTOLD})"
