"""Generates the tables of docs/CAPACITY.md and docs/design/slopes.md from the data file.

The prose is written by hand. A table is placed between `<!-- table NAME -->` and `<!-- end -->`. Every
figure is marked as measured at N, extrapolated x k from the largest measured size, or computed by formula.
"""

from __future__ import annotations

import re
from pathlib import Path

from bench.scale import target
from bench.scale.data import fit
from bench.scale.rows import (
    CURRENT_ROWS,
    MISSING_MECHANISMS,
    TARGET_ROWS,
    TARGET_SIZES,
    Figure,
    Row,
    SeriesByName,
    figure_at,
    format_short,
)

DOCS = Path(__file__).parent.parent.parent / "docs"
PAGES = (DOCS / "CAPACITY.md", DOCS / "design" / "slopes.md")
TABLE = re.compile(r"(<!-- table (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)
NOT_MEASURED = "not measured"


def ranking(found: SeriesByName, rows: tuple[Row, ...]) -> list[tuple[float, Row, Figure | None]]:
    ranked = []
    for row in rows:
        figure = row.current(found)
        ranked.append((figure.value / row.budget if figure else 0.0, row, figure))
    return sorted(ranked, key=lambda ranked_row: -ranked_row[0])


def rows_table(found: SeriesByName, rows: tuple[Row, ...], ordered: bool) -> str:
    lines = [
        "| what | allowed | now | ratio | figure | carried by |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    ranked = ranking(found, rows)
    if not ordered:
        ranked.sort(key=lambda ranked_row: rows.index(ranked_row[1]))
    for ratio, row, figure in ranked:
        now, provenance = (format_short(figure.value), figure.provenance) if figure else ("-", NOT_MEASURED)
        shown = format_short(ratio) if figure else "-"
        lines.append(
            f"| {row.what} | {format_short(row.budget)} {row.unit} | {now} "
            f"| {shown} | {provenance} | {row.mechanism} |"
        )
    return "\n".join(lines)


SUMMARY_SERIES = (
    "module.memory_bytes", "module.rest_core", "module.rest_step_ms", "module.services_rest_core",
    "lists.snapshot_bytes", "peers.death_s", "limits.core_by_holders", "delivery.proxy_memory_bytes",
    "delivery.change_bytes", "delivery.relay_memory_bytes", "delivery.relay_core", "delivery.origin_core",
)  # fmt: skip


def slopes_table(found: SeriesByName, names: tuple[str, ...]) -> str:
    lines = ["| series | over n | points, smallest to largest | shape | residual | kind, seed, load |"]
    lines.append("| --- | --- | --- | --- | --- | --- |")
    for name in names:
        series = found.get(name)
        if series is None or not series.points:
            lines.append(f"| {name} | | {NOT_MEASURED} | | | |")
            continue
        ordered = sorted(series.points)
        (n1, v1), (n2, v2) = ordered[0], ordered[-1]
        points = f"{format_short(n1)}: {format_short(v1)} ... {format_short(n2)}: {format_short(v2)}"
        shape = fit(series.points)
        few_sizes_note = "" if series.allows_extrapolation() else " (few sizes)"
        lines.append(
            f"| {name} ({series.unit}) | {series.over} | {points}{few_sizes_note} "
            f"| {shape.formula} | {shape.residual:.2f} | {series.kind}, {series.seed}, {series.load:.0f} |"
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


def days_table(found: SeriesByName) -> str:
    """The figures of each simulated day at its largest size; those of a second seed follow a slash."""
    lines = ["| day | " + " | ".join(label for _, label in DAY_FIGURES) + " | proxies |"]
    lines.append("| --- " * (len(DAY_FIGURES) + 2) + "|")
    for day, label in DAYS.items():
        cells, size = [], 0.0
        for key, _ in DAY_FIGURES:
            first_seed, second_seed = (found.get(f"day.{day}{seed}.{key}") for seed in ("", "_seed_2"))
            if first_seed is None:
                cells.append("-")
                continue
            size, value = max(first_seed.points)
            second_text = f" / {format_short(max(second_seed.points)[1])}" if second_seed is not None else ""
            cells.append(format_short(value) + second_text)
        lines.append(f"| {label} | " + " | ".join(cells) + f" | {format_short(size)} |")
    return "\n".join(lines)


def assignments_table(found: SeriesByName) -> str:
    """Compares the assignments of services to proxies, computed from the target sizes."""
    requests_per_s, backends_per_service = target.REQUESTS_PER_PROXY_PER_S, target.BACKENDS_PER_SERVICE
    rows = [
        ("every proxy all services", target.SERVICES, target.PROXIES, "none"),
        (
            "cells: 22 of 100 proxies, 500 services each",
            target.SERVICES / 22,
            100,
            "service -> cell, 22 rows",
        ),
        (
            f"shuffle sharding, {target.SERVICES_PER_PROXY} services a proxy",
            target.SERVICES_PER_PROXY,
            target.PROXIES_PER_SERVICE,
            "service -> 40 proxies",
        ),
        (
            "on demand, whoever is asked",
            target.SERVICES,
            target.PROXIES,
            "none; all of it in 16 s of even traffic",
        ),
    ]
    lines = [
        "| who carries what | backends a proxy | MB, module | proxies a backend may meet | requests a proxy "
        "learns from, a backend a minute | lost with one proxy, of a service | asks of the front |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for what, services, proxies_per_service, routing_needs in rows:
        backends_followed = services * backends_per_service
        memory = figure_at(found, "module.memory_bytes", backends_followed, 1e-6)
        memory_cell = f"{format_short(memory.value)}, {memory.provenance}" if memory else NOT_MEASURED
        lines.append(
            f"| {what} | {format_short(backends_followed)} | {memory_cell} "
            f"| {format_short(proxies_per_service)} "
            f"| {format_short(requests_per_s * 60 / backends_followed)} "
            f"| 1/{format_short(proxies_per_service)} | {routing_needs} |"
        )
    return "\n".join(lines)


def format_sum(found: SeriesByName, unit: str, *terms: tuple[str, float, float]) -> str:
    """The sum of (series, size, scale) terms, with the weakest provenance among them in parentheses."""
    figures = [figure_at(found, name, size, scale) for name, size, scale in terms]
    known = [figure for figure in figures if figure is not None]
    if len(known) < len(figures):
        return NOT_MEASURED
    marks = sorted(
        {figure.provenance for figure in known},
        key=lambda provenance: (-"mbe".index(provenance[0]), provenance),
    )
    return f"{format_short(sum(figure.value for figure in known))} {unit} ({'; '.join(marks[:1])})"


def roles_table(found: SeriesByName) -> str:
    services, followers = target.SERVICES_PER_PROXY, target.PROXIES / (target.CONTROL_MACHINES - 3)
    rows = [
        ("proxy, its control",
         format_sum(found, "MB", ("delivery.proxy_memory_bytes", services, 1e-6),
              ("module.services_memory_bytes", services, 1e-6)),
         format_sum(found, "bytes/s at rest", ("delivery.rest_bytes_per_s", services, 1.0)),
         format_sum(found, "of a core", ("delivery.proxy_core", services, 1.0),
         ("module.services_rest_core", services, 1.0)),
         format_sum(found, "ms", ("delivery.snapshot_step_ms", services, 1.0)) + ", its first snapshot"),
        ("supervisor, as a peer",
         format_sum(found, "MB", ("peers.memory_bytes", target.PROXIES, 1e-6)),
         format_sum(found, "bytes/s", ("peers.rest_bytes_per_s", target.PROXIES, 1.0)),
         format_sum(found, "of a core", ("peers.core", target.PROXIES, 1.0)),
         format_sum(found, "ms", ("peers.tick_ms", target.PROXIES, 1.0))),
        ("relay, 50 of the 53",
         format_sum(found, "MB", ("delivery.relay_memory_bytes", target.BACKENDS, 1e-6),
              ("delivery.relay_routes_memory_bytes", target.ROUTES, 1e-6),
              ("delivery.relay_tenants_memory_bytes", target.TENANTS, 1e-6)),
         format_sum(found, "bytes/s to each of 44", ("delivery.rest_bytes_per_s", services, 1.0)),
         format_sum(found, "of a core", ("delivery.relay_core", followers, 1.0)),
         format_sum(found, "ms", ("delivery.longest_step_ms", followers, 1.0))),
        ("origin, 1 of the 53",
         format_sum(found, "MB", ("delivery.relay_memory_bytes", target.BACKENDS, 1e-6),
              ("delivery.relay_routes_memory_bytes", target.ROUTES, 1e-6),
              ("delivery.relay_tenants_memory_bytes", target.TENANTS, 1e-6)),
         "the same to each of 52",
         format_sum(found, "of a core", ("delivery.origin_core", 52, 1.0)),
         format_sum(found, "ms", ("delivery.origin_longest_step_ms", 52, 1.0))),
        ("lease server of limits, 2,200 holders",
         format_sum(found, "MB", ("limits.memory_bytes_by_holders", target.PROXIES, 1e-6)),
         format_sum(found, "bytes/s", ("limits.keeper_bytes_per_s", target.PROXIES, 1.0)),
         format_sum(found, "of a core", ("limits.core_by_holders", target.PROXIES, 1.0)),
         format_sum(found, "ms", ("limits.cpu_ms_by_holders", target.PROXIES, 1.0))),
    ]  # fmt: skip
    lines = [
        "| role | state | messages | processor | longest hold of its loop |",
        "| --- | --- | --- | --- | --- |",
    ]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)])


def missing_table(found: SeriesByName) -> str:
    def ratio(name: str, column: int) -> str:
        if not name:
            return "-"
        figure = figure_at(found, name, TARGET_SIZES[name][column])
        return f"{format_short(figure.value / TARGET_SIZES[name][2])} ({name})" if figure else NOT_MEASURED

    lines = [
        "| mechanism | ratio, all in every proxy | ratio, own part | what needs it |",
        "| --- | --- | --- | --- |",
    ]
    for mechanism in MISSING_MECHANISMS:
        lines.append(
            f"| {mechanism.what} | {ratio(mechanism.series_for_all, 0)} "
            f"| {ratio(mechanism.series_for_own_part, 1)} | {mechanism.needed_by} |"
        )
    return "\n".join(lines)


def tables(found: SeriesByName) -> dict[str, str]:
    return {
        "today": rows_table(found, CURRENT_ROWS, True),
        "ahead": rows_table(found, TARGET_ROWS, False),
        "who": assignments_table(found),
        "roles": roles_table(found),
        "missing": missing_table(found),
        "days": days_table(found),
        "slopes": slopes_table(found, SUMMARY_SERIES),
        "all": slopes_table(found, tuple(n for n in sorted(found) if not n.startswith("day."))),
    }


def page(text: str, found: SeriesByName) -> str:
    """The page with all tables regenerated. Raises KeyError for a table name that is not defined here."""
    table_by_name = tables(found)
    return TABLE.sub(lambda m: f"{m[1]}{table_by_name[m[2]]}\n{m[3]}", text)


def worst_ratios(found: SeriesByName) -> tuple[float, int, int, float, str]:
    """The worst ratios of figure to budget.

    Returns the largest ratio of the guaranteed rows, the number of these that were measured, their total
    number, the largest ratio of all rows, and the description of that row.
    """
    guaranteed = ranking(found, tuple(row for row in (*CURRENT_ROWS, *TARGET_ROWS) if row.is_guaranteed))
    measured = [ranked_row for ranked_row in guaranteed if ranked_row[2] is not None]
    ratio, row, figure = ranking(found, (*CURRENT_ROWS, *TARGET_ROWS))[0]
    description = f"{row.what} ({figure.provenance if figure else NOT_MEASURED})"
    return (
        max((ranked_row[0] for ranked_row in measured), default=0.0),
        len(measured),
        len(guaranteed),
        ratio,
        description,
    )
