"""docs/CAPACITY.md: the prose stands in the page, its tables are made from the data file.

A table stands between `<!-- table NAME -->` and `<!-- end -->`. Every figure is marked: measured at N,
extrapolated x k from the largest size measured, or assumed.
"""

from __future__ import annotations

import re
from pathlib import Path

from bench.scale import target as t
from bench.scale.data import fit
from bench.scale.rows import AHEAD, MISSING, SIZES, TODAY, Figure, Found, Row, at, short

DOCS = Path(__file__).parent.parent.parent / "docs"
PAGES = (DOCS / "CAPACITY.md", DOCS / "design" / "slopes.md")
TABLE = re.compile(r"(<!-- table (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)
UNTOLD = "not measured"


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


SHOWN = (
    "module.memory_bytes", "module.rest_core", "module.rest_step_ms", "module.services_rest_core",
    "lists.snapshot_bytes", "peers.death_s", "limits.core_by_holders", "delivery.proxy_memory_bytes",
    "delivery.change_bytes", "delivery.relay_memory_bytes", "delivery.relay_core", "delivery.origin_core",
)  # fmt: skip


def slopes_table(found: Found, names: tuple[str, ...]) -> str:
    lines = ["| series | over n | points, smallest to largest | shape | residual | kind, seed, load |"]
    lines.append("| --- | --- | --- | --- | --- | --- |")
    for name in names:
        one = found.get(name)
        if one is None or not one.points:
            lines.append(f"| {name} | | {UNTOLD} | | | |")
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


DAYS = {
    "ordinary": "ordinary, 15 minutes",
    "relays_dead": "3 relays dead",
    "relays": "all relays lost in a second",
    "relays_paced": "the same, the origin has one core",
    "rack": "a rack",
    "zone": "a zone lost and back",
    "parted": "two regions parted for 5 minutes",
    "restart": "all proxies restarted in 5 minutes",
    "service": "a service of 1,000 replaced",
    "burst": "500 changes in a second",
    "flap": "20,000 backends go and come, 10 s",
    "wrong": "wrong configuration of a cell",
    "wrong_all": "wrong everything, back after 20 s",
    "wrong_soon": "wrong everything, back after 5 s",
}


def days_table(found: Found) -> str:
    """The largest size that was played; a second seed behind a stroke."""
    lines = ["| day | " + " | ".join(label for _, label in DAY_FIGURES) + " | proxies |"]
    lines.append("| --- " * (len(DAY_FIGURES) + 2) + "|")
    for day, label in DAYS.items():
        cells, size = [], 0.0
        for key, _ in DAY_FIGURES:
            one, two = (found.get(f"day.{day}{seed}.{key}") for seed in ("", "_seed_2"))
            if one is None:
                cells.append("-")
                continue
            size, value = max(one.points)
            second = f" / {short(max(two.points)[1])}" if two is not None else ""
            cells.append(short(value) + second)
        lines.append(f"| {label} | " + " | ".join(cells) + f" | {short(size)} |")
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
    marks = sorted({figure.mark for figure in known}, key=lambda mark: (-"mbe".index(mark[0]), mark))
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


def missing_table(found: Found) -> str:
    def ratio(name: str, place: int) -> str:
        if not name:
            return "-"
        figure = at(found, name, SIZES[name][place])
        return f"{short(figure.value / SIZES[name][2])} ({name})" if figure else UNTOLD

    lines = [
        "| mechanism | ratio, all in every proxy | ratio, own part | what needs it |",
        "| --- | --- | --- | --- |",
    ]
    for one in MISSING:
        lines.append(f"| {one.what} | {ratio(one.today, 0)} | {ratio(one.own, 1)} | {one.needs} |")
    return "\n".join(lines)


def tables(found: Found) -> dict[str, str]:
    return {
        "today": rows_table(found, TODAY, True),
        "ahead": rows_table(found, AHEAD, False),
        "who": who_table(found),
        "roles": roles_table(found),
        "missing": missing_table(found),
        "days": days_table(found),
        "slopes": slopes_table(found, SHOWN),
        "all": slopes_table(found, tuple(n for n in sorted(found) if not n.startswith("day."))),
    }


def page(text: str, found: Found) -> str:
    """The page with its tables made anew. KeyError: a table that nobody makes."""
    made = tables(found)
    return TABLE.sub(lambda m: f"{m[1]}{made[m[2]]}\n{m[3]}", text)


def worst(found: Found) -> tuple[float, int, int, float, str]:
    """The largest ratio of what the page promises, how many of these rows were measured, and of how many; the
    largest ratio of all, and its row."""
    promised = ranking(found, tuple(row for row in (*TODAY, *AHEAD) if row.promised))
    known = [one for one in promised if one[2] is not None]
    ratio, row, figure = ranking(found, (*TODAY, *AHEAD))[0]
    what = f"{row.what} ({figure.mark if figure else UNTOLD})"
    return max((one[0] for one in known), default=0.0), len(known), len(promised), ratio, what
