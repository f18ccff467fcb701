"""Tests the capacity runs of the module, its list and the data path by counts, never by time."""

import asyncio
from math import inf, isfinite

import orjson
import pytest

from bench.scale import lists, module, path
from bench.scale.data import Series
from flintlatch.api import Event, ListKind, ServerInfo, ServerList
from flintlatch.choice import Balancer
from flintlatch.net.discovery import MAX_LIST
from flintlatch.net.listing import read_listing
from flintlatch.standin.registry import Registry

MODULE_SERIES = {
    *(prefix + name for prefix in ("", "keyed_") for name in module.NOTES),
    "memory_bytes",
    "tenants_memory_bytes",
    "tenants_rest_core",
    "tenants_step_ms",
    "services_memory_bytes",
    "services_rest_core",
}
LISTS_SERIES = {*lists.NOTES, "memory_bytes"}
PATH_SERIES = {"p50_added_ms", "p99_added_ms", "cpu_us", "rest_core", "memory_bytes"}
SNAPSHOT_BYTES = range(120, 181)  # per server; more would lower the documented limit of servers in a list
DELTA_BYTES = range(140, 221)


class CountingBalancer(Balancer):
    """Counts the list entries that the module processes."""

    entries = 0

    def on_entry(self, now: float, entry: ServerInfo) -> None:
        self.entries += 1
        super().on_entry(now, entry)


def check_series(found: list[Series], part: str, names: set[str]) -> None:
    assert {series.name for series in found} == {f"{part}.{name}" for name in names}
    for series in found:
        assert len(series.points) >= 2, series.name
        # Added latency is a difference of two runs and can be negative by chance.
        least = -inf if series.name.endswith("_added_ms") else 0.0
        for size, value in series.points:
            assert isfinite(value) and value > least and size > 0, (series.name, size, value)
        assert series.kind in ("hollow", "process", "sockets") and series.note


def test_small_run_of_the_module_has_every_series() -> None:
    found = module.run_in_child(module.run, 1, True)
    check_series(found, "module", MODULE_SERIES)
    sizes = {series.over: max(size for size, _ in series.points) for series in found}
    assert sizes == {"servers": 200, "tenants": 390, "services": 11}


def test_small_run_of_lists_has_every_series() -> None:
    found = module.run_in_child(lists.run, 1, True)
    check_series(found, "lists", LISTS_SERIES)
    points = {series.name: dict(series.points) for series in found}
    for servers in (20, 200):
        assert int(points["lists.snapshot_bytes"][servers] / servers) in SNAPSHOT_BYTES
        assert int(points["lists.delta_bytes"][servers]) in DELTA_BYTES


def test_small_run_of_the_path_has_every_series() -> None:
    check_series(path.run(1, True), "path", PATH_SERIES)


@pytest.mark.parametrize("servers", [20, 200])
def test_module_processes_one_entry_for_a_delta_of_one(servers: int) -> None:
    registry = lists.fill(Registry(), servers)
    balancer = CountingBalancer(module.settings(), 1)
    snapshot = read_listing(orjson.loads(lists.snapshot(registry)), lists.socket_settings())
    assert snapshot.is_snapshot and len(snapshot.targets) == servers
    balancer.step(1000.0, [ServerList(ListKind.SNAPSHOT, tuple(target.info for target in snapshot.targets))])
    assert balancer.entries == servers
    change = read_listing(orjson.loads(lists.delta(registry)), lists.socket_settings())
    assert not change.is_snapshot and change.revision == snapshot.revision + 1
    news: list[Event] = [ServerList(ListKind.DELTA, tuple(target.info for target in change.targets))]
    balancer.step(1025.0, news)
    assert balancer.entries == servers + 1
    assert len(balancer.servers) == servers and len(balancer.active) == servers - 1


def test_snapshot_grows_with_the_list_but_a_delta_does_not() -> None:
    few, many = lists.fill(Registry(), 20), lists.fill(Registry(), 200)
    a, b = len(lists.snapshot(few)), len(lists.snapshot(many))
    assert 9 * a < b < 11 * a
    assert abs(len(lists.delta(few)) - len(lists.delta(many))) <= 4  # digits of the revision


def test_discovery_rejects_a_list_above_its_limit_of_bytes() -> None:
    accepted, reason = asyncio.run(lists.largest_accepted())
    size = [len(lists.snapshot(lists.fill(Registry(), servers))) for servers in (accepted, accepted + 1)]
    assert size[0] <= MAX_LIST < size[1]
    assert reason == f"Malformed: a list of {size[1]} bytes, {MAX_LIST} at most can be taken"


def test_memory_per_server_and_per_tenant_is_bounded() -> None:
    a, b = (module.run_in_child(module.server_memory, servers, 1) for servers in (20, 200))
    assert 180 * 500 < b - a < 180 * 3000
    a, b = (module.run_in_child(module.tenant_memory, tenants, 1) for tenants in (39, 390))
    assert 351 * 8 < b - a < 351 * 200


@pytest.mark.parametrize("keyed", [False, True])
def test_each_simulated_request_is_sent_or_ended_once(keyed: bool) -> None:
    simulation = module.Simulation(module.settings(keyed), 18, 1)
    simulation.start_request()
    simulation.run(1.0)
    queued = sum(request.is_queued for request in simulation.balancer.requests.values())
    assert simulation.arrivals > module.RATE / 2
    assert simulation.sent + simulation.rejected_or_failed + queued == simulation.arrivals
    assert len(simulation.tick_ms) == 1000 / module.TICK_MS


def test_the_same_seed_gives_the_same_requests() -> None:
    def counts(seed: int) -> tuple[int, int, int]:
        simulation = module.Simulation(module.settings(), 200, seed)
        simulation.start_request()
        simulation.run(0.5)
        return simulation.arrivals, simulation.sent, simulation.rejected_or_failed

    assert counts(1) == counts(1) != counts(2)
