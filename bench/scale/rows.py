"""The rows of the capacity page: each figure at the target size, its budget and the code that provides it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bench.scale import target
from bench.scale.data import Series, fit


@dataclass(frozen=True, slots=True)
class Figure:
    value: float
    provenance: str


SeriesByName = dict[str, Series]


def format_short(value: float) -> str:
    """Formats a value with about three significant digits and the suffix k, M or G."""
    for factor, suffix in ((1e9, "G"), (1e6, "M"), (1e4, "k")):
        if abs(value) >= factor:
            divisor = 1e3 if suffix == "k" else factor
            return (
                f"{value / divisor:,.3g}{suffix}"
                if value / divisor < 1000
                else f"{value / divisor:,.0f}{suffix}"
            )
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def figure_at(found: SeriesByName, name: str, size: float, scale: float = 1.0) -> Figure | None:
    """The value of a series at a size: measured, interpolated between two points, or extrapolated.

    None if the series has not been measured. `scale` converts the unit.
    """
    series = found.get(name)
    if series is None or not series.points:
        return None
    points = dict(series.points)
    largest = max(points)
    if size in points:
        return Figure(points[size] * scale, f"measured at {format_short(size)}")
    if size <= largest:
        next_size = min(n for n in points if n >= size)
        previous_size = max((n for n in points if n <= size), default=next_size)
        value = fit(((previous_size, points[previous_size]), (next_size, points[next_size]))).interpolate(
            size
        )
        return Figure(value * scale, f"between {format_short(previous_size)} and {format_short(next_size)}")
    shape = fit(series.points)
    return Figure(
        shape.predict(size) * scale, f"extrapolated x {size / largest:.3g} from {format_short(largest)}"
    )


def by_formula(value: float, reason: str = "") -> Figure:
    return Figure(value, f"by formula{reason}")


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the page: a quantity, its budget and a function that computes its current value.

    `unit` applies to both figures; `mechanism` is the file that implements the behaviour, or what is missing.
    """

    what: str
    unit: str
    budget: float
    current: Callable[[SeriesByName], Figure | None]
    mechanism: str
    is_guaranteed: bool = False  # the page guarantees the budget; never set where the mechanism is missing


def series(name: str, size: float, scale: float = 1.0) -> Callable[[SeriesByName], Figure | None]:
    return lambda found: figure_at(found, name, size, scale)


def constant(value: float, reason: str = "") -> Callable[[SeriesByName], Figure | None]:
    return lambda found: by_formula(value, reason)


def missing_percent(found: SeriesByName, name: str, size: float) -> Figure | None:
    """The complement of a series of fractions, in percent."""
    figure = figure_at(found, name, size)
    return Figure(100 * (1 - figure.value), figure.provenance) if figure else None


ALL_BACKENDS_LABEL = "all backends in every proxy"
OWN_PART_LABEL = f"own part ({target.SERVICES_PER_PROXY} services)"
MODULE_MECHANISM = "module's walks (`choice.py`): **missing**"

CURRENT_ROWS = (
    Row(f"change: whole list, {ALL_BACKENDS_LABEL}", "KB in 13 s",
        target.MAX_BYTES_PER_S * target.MAX_STALENESS_S / 1e3,
        series("lists.snapshot_bytes", target.BACKENDS, 1e-3),
        "scoped delivery: was missing, now `delivery/`"),
    Row("longest list that a proxy takes", "bytes of its bound", 2 * 1024 * 1024,
        series("lists.snapshot_bytes", target.BACKENDS), "`net/discovery.py`, `MAX_LIST`; scoped delivery"),
    Row(f"module's memory, {ALL_BACKENDS_LABEL}", "MB", target.MAX_CONTROL_MEMORY_BYTES / 1e6,
        series("module.memory_bytes", target.BACKENDS, 1e-6), "scoped delivery"),
    Row(f"module at rest, {ALL_BACKENDS_LABEL}", "of a core", target.MAX_CONTROL_CORE_FRACTION,
        series("module.rest_core", target.BACKENDS), "scoped delivery, then " + MODULE_MECHANISM),
    Row(f"longest step at rest, {ALL_BACKENDS_LABEL}", "ms", target.MAX_ADDED_MS,
        series("module.rest_step_ms", target.BACKENDS), "scoped delivery, then " + MODULE_MECHANISM),
    Row(f"one entry changed, {ALL_BACKENDS_LABEL}", "ms", target.MAX_ADDED_MS,
        series("module.change_ms", target.BACKENDS), "scoped delivery, then " + MODULE_MECHANISM),
    Row("tenants: longest step, all in every proxy", "ms", target.MAX_ADDED_MS,
        series("module.tenants_step_ms", target.TENANTS),
        "own tenants by delivery; `find_part`: **missing**"),
    Row("tenants: at rest, all in every proxy", "of a core", target.MAX_CONTROL_CORE_FRACTION,
        series("module.tenants_rest_core", target.TENANTS),
        "own tenants by delivery; `find_part`: **missing**"),
    Row("limits: one lessor, 2,200 holders", "of a core", target.MAX_CONTROL_CORE_FRACTION,
        series("limits.core_by_holders", target.PROXIES), "rounds over holders that ask alone: **missing**"),
    Row("limits: one lessor, 2,200 holders", "KB/s", target.MAX_BYTES_PER_S / 1e3,
        series("limits.keeper_bytes_per_s", target.PROXIES, 1e-3),
        "grants to their holder alone: **missing**"),
    Row("limits: members without a grant that holds, of 300", "%", 1.0,
        lambda found: missing_percent(found, "limits.granted_by_members", 300),
        "`peers/guard.py`, the carrier's room: **a fault**"),
    Row("verdicts: members that don't believe an entry of 2 s, of 1,000", "%", 1.0,
        lambda found: missing_percent(found, "verdicts.believed", 1000), "`peers/guard.py`: **a fault**"),
    Row("a limit for each tenant", "limits", 64.0,
        constant(target.TENANTS), "`limits/`, 64 at most: rows by tenant **missing**"),
    Row("peers: a death known to all", "s", target.MAX_STALENESS_S,
        series("peers.death_s", target.PROXIES), "`peers/`: suspicion in zones **missing**"),
    Row("added to a request by a real proxy, p99, 4 servers", "ms", target.MAX_ADDED_MS,
        series("path.p99_added_ms", 4), "the data path, no control: **missed today**"),
)  # fmt: skip

TARGET_ROWS = (
    Row("a change in force at all who follow it, ordinary day, 99.9%", "s", target.MAX_STALENESS_S,
        series("day.ordinary.staleness_999_s", target.PROXIES), "`delivery/`", True),
    Row("the same, 3 relays dead", "s", target.MAX_STALENESS_S,
        series("day.relays_dead.staleness_999_s", target.PROXIES), "`delivery/`", True),
    Row("bytes a proxy, worst minute, ordinary day", "KB/s", target.MAX_BYTES_PER_S / 1e3,
        series("day.ordinary.minute_bytes_per_s", target.PROXIES, 1e-3), "`delivery/`, credit", True),
    Row("a proxy's objects", "MB", target.MAX_CONTROL_MEMORY_BYTES / 1e6,
        series("delivery.proxy_memory_bytes", target.SERVICES_PER_PROXY, 1e-6), "`delivery/store.py`", True),
    Row("a proxy's delivery at rest", "of a core", target.MAX_CONTROL_CORE_FRACTION,
        series("delivery.proxy_core", target.SERVICES_PER_PROXY), "`delivery/subscriber.py`", True),
    Row(f"module's memory, {OWN_PART_LABEL}, a pool each", "MB", target.MAX_CONTROL_MEMORY_BYTES / 1e6,
        series("module.services_memory_bytes", target.SERVICES_PER_PROXY, 1e-6),
        "pools in one process: **missing**"),
    Row(f"module at rest, {OWN_PART_LABEL}, a pool each", "of a core", target.MAX_CONTROL_CORE_FRACTION,
        series("module.services_rest_core", target.SERVICES_PER_PROXY), MODULE_MECHANISM),
    Row(f"longest step at rest, {OWN_PART_LABEL} in one pool", "ms", target.MAX_ADDED_MS,
        series("module.rest_step_ms", target.BACKENDS_PER_PROXY), MODULE_MECHANISM),
    Row(f"added to a request, p99, {OWN_PART_LABEL} in one pool", "ms", target.MAX_ADDED_MS,
        series("path.p99_added_ms", target.BACKENDS_PER_PROXY), "the data path; " + MODULE_MECHANISM),
    Row(f"tenants: longest step, {target.TENANTS_PER_PROXY:,} rows", "ms", target.MAX_ADDED_MS,
        series("module.tenants_step_ms", target.TENANTS_PER_PROXY), "`find_part`: **missing**"),
    Row("a relay's objects, all of them", "MB", 4_000.0,
        series("delivery.relay_memory_bytes", target.BACKENDS, 1e-6),
        "`delivery/store.py`; a machine of 4 GB assumed", True),
    Row("a cold relay's longest step, tenants 30 an object", "ms", 2_500.0,
        series("delivery.relay_bucketed_snapshot_step_ms", target.TENANTS),
        "`delivery/staging.py`; within `silence_s`", True),
    Row("the same, an object a tenant", "ms", 2_500.0,
        series("delivery.relay_tenants_snapshot_step_ms", target.TENANTS),
        "`delivery/staging.py`", True),
    Row("a relay's processor", "of a core", 1.0,
        series("delivery.relay_core", 44), "`delivery/relay.py`; 44 subscribers each", True),
    Row("a relay's longest step", "ms", 100.0,
        series("delivery.longest_step_ms", 44), "a tick; `delivery/relay.py`", True),
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class MissingMechanism:
    """A missing mechanism.

    `today` and `own` are the series whose ratio to the budget the page prints: with all data in every proxy,
    and with only the proxy's own part.
    """

    what: str
    series_for_all: str
    series_for_own_part: str
    needed_by: str


MISSING_MECHANISMS = (
    MissingMechanism(
        "1. scoped delivery: **built now**, `delivery/`", "lists.snapshot_bytes", "",
        "all below: what a proxy is told decides what its module, its tenants and its pools cost; past 7,152 "
        "entries no list is taken at all",
    ),
    MissingMechanism(
        "2. the module's walks over servers (`every_second`, `choose_preferred`, `update_sizes`)",
        "module.rest_step_ms", "module.rest_step_ms", "pools; the platform's proxy",
    ),
    MissingMechanism(
        "3. pools and routes in one process", "", "module.services_rest_core",
        "the own part on the platform's proxy",
    ),
    MissingMechanism(
        "4. limits: rows by tenant, asks and grants between lessor and holder alone; entries of 2 s that are "
        "believed at rest over 30 members (`peers/guard.py`)", "limits.core_by_holders",
        "limits.core_by_holders", "limits and verdicts, which are off unless configured",
    ),
    MissingMechanism(
        "5. `find_part` over tenants", "module.tenants_step_ms", "module.tenants_step_ms", "tenants' quotas"
    ),
    MissingMechanism("6. peers: deaths by zone", "peers.death_s", "peers.death_s", "verdicts, limits"),
    MissingMechanism("7. a second origin; an origin fed by discovery; commands over all fleets", "", "",
        "operators"),
)  # fmt: skip
# by series: target size with all data in every proxy, with the own part only, and the budget
TARGET_SIZES = {
    "lists.snapshot_bytes": (target.BACKENDS, 0, target.MAX_BYTES_PER_S * target.MAX_STALENESS_S),
    "module.rest_step_ms": (target.BACKENDS, target.BACKENDS_PER_PROXY, target.MAX_ADDED_MS),
    "module.services_rest_core": (
        target.SERVICES,
        target.SERVICES_PER_PROXY,
        target.MAX_CONTROL_CORE_FRACTION,
    ),
    "limits.core_by_holders": (target.PROXIES, target.PROXIES, target.MAX_CONTROL_CORE_FRACTION),
    "module.tenants_step_ms": (target.TENANTS, target.TENANTS_PER_PROXY, target.MAX_ADDED_MS),
    "peers.death_s": (target.PROXIES, target.PROXIES, target.MAX_STALENESS_S),
}
