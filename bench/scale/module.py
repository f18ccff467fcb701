"""Measures the cost of a decision module over servers, tenants and services, in virtual time."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from heapq import heappop, heappush
from itertools import accumulate, count
from multiprocessing import get_context
from random import Random
from time import process_time
from typing import Any, TypeVar

from bench.scale import data
from bench.scale.data import Series
from flintlatch.api import (
    Arrival,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    RequestClass,
    Result,
    Send,
    ServerInfo,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
)
from flintlatch.choice import Balancer

PROXIES, ZONES, RATE = 2200, 3, 680.0  # RATE in requests per second at this proxy
ROUTES, ZIPF_EXPONENT = 52_000, 0.8  # number of keys, and the exponent of their Zipf distribution
RESPONSE_MS = 10.0  # constant part of the response time, and the mean of its exponential part
SERVERS_PER_SERVICE = 18
SIZES = {
    "servers": ((18, 200, 2_000, 20_000, 200_000), (18, 200)),
    "tenants": ((390, 3_900, 39_000, 390_000), (39, 390)),
    "services": ((11, 110, 1_100, 11_000), (2, 11)),
}
WARM_UP_S, MEASURED_S = 10.0, 3.0  # virtual time of requests; the warm-up is not counted
MAX_CPU_S = 15.0  # processor time limit of the warm-up and of the measurement
TICK_MS = 25.0  # interval of the module's housekeeping ticks; `measure_idle` checks it
T = TypeVar("T")
Rows = dict[str, list[tuple[float, float]]]


def run_in_child(function: Callable[..., T], *args: Any) -> T:
    """Runs the function in a new process, so that the memory of one size doesn't count for the next."""
    with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
        return pool.submit(function, *args).result()


def run_in_process(function: Callable[..., T], *args: Any) -> T:
    """Runs the function in this process, as starting one would take longer than a run of a small size."""
    return function(*args)


def settings(keyed: bool = False, quotas: tuple[float, ...] = ()) -> Settings:
    """`keyed`: requests have keys with affinity, and weights report load, as in bench.many."""
    answer = RequestClass(300.0, 900.0)
    return Settings(
        (answer,), proxies=PROXIES, me=17, zones=ZONES, quotas=quotas, max_attempts=4, may_cancel=True,
        ask_for_list=True, key_affinity=keyed, weights_report_load=keyed,
    )  # fmt: skip


def entry(number: int, **more: Any) -> ServerInfo:
    return ServerInfo(f"backend-{number:06d}", zone=number % ZONES, cell=number // 4, **more)


def listing(servers: int) -> ServerList:
    return ServerList(ListKind.SNAPSHOT, tuple(entry(number) for number in range(servers)))


class Simulation:
    """Simulates one Balancer with its timers and servers in virtual time.

    Records the processor time of each step in ms, separately for housekeeping ticks and for requests.
    """

    def __init__(self, config: Settings, servers: int, seed: int) -> None:
        self.balancer, self.rng = Balancer(config, seed), Random(seed)
        self.now, self.ids, self.sequence = 1000.0, count(), count()
        self.scheduled: list[tuple[float, int, Event]] = []
        ranks = range(1, ROUTES + 1 if config.key_affinity else 1)
        self.keys = list(accumulate(1 / rank**ZIPF_EXPONENT for rank in ranks))
        self.tick_ms: list[float] = []
        self.request_ms: list[float] = []
        self.sent = self.rejected_or_failed = self.arrivals = 0
        self.step(listing(servers))

    def step(self, event: Event) -> float:
        events = [event]
        began = process_time()
        actions = self.balancer.step(self.now, events)
        elapsed_ms = (process_time() - began) * 1000
        for action in actions:
            if isinstance(action, SetTimer):
                self.schedule(action.delay_ms, TimerFired(action.token))
            elif isinstance(action, Send):
                self.sent += 1
                delay = RESPONSE_MS + self.rng.expovariate(1 / RESPONSE_MS)
                self.schedule(delay, Outcome(action.request, 0, Result.OK, delay, True))
            elif isinstance(action, (Refuse, Fail)):
                self.rejected_or_failed += 1
        return elapsed_ms

    def schedule(self, after: float, event: Event) -> None:
        heappush(self.scheduled, (self.now + after, next(self.sequence), event))

    def start_request(self) -> None:
        key = None
        if self.keys:
            key = self.rng.choices(range(ROUTES), cum_weights=self.keys)[0] * 7919
        arrival = Arrival(f"r{next(self.ids)}", 0, 0, key, self.now + 900.0)
        self.arrivals += 1
        self.request_ms.append(self.step(arrival))
        self.schedule(self.rng.expovariate(RATE) * 1000, arrival)  # schedules the next arrival

    def run(self, seconds: float, max_cpu_s: float = MAX_CPU_S) -> None:
        """Runs for this much virtual time, or until this much processor time is used."""
        until, spent = self.now + seconds * 1000, 0.0
        while self.scheduled and self.scheduled[0][0] <= until and spent < max_cpu_s * 1000:
            self.now, _, event = heappop(self.scheduled)
            before = len(self.tick_ms) + len(self.request_ms)
            if isinstance(event, Arrival):
                self.start_request()
            else:
                (self.tick_ms if isinstance(event, TimerFired) else self.request_ms).append(self.step(event))
            assert len(self.tick_ms) + len(self.request_ms) == before + 1
            spent += (self.tick_ms or [0.0])[-1] if isinstance(event, TimerFired) else self.request_ms[-1]

    def apply_delta(self, number: int) -> float:
        """Processes a delta of one entry: the first server drains for odd numbers, else is active."""
        state = ServerState.DRAINING if number % 2 else ServerState.ACTIVE
        return self.step(ServerList(ListKind.DELTA, (entry(0, state=state),)))


def freeze_heap() -> None:
    """Collects garbage and freezes the heap, as the program does after its start."""
    gc.collect()
    gc.freeze()


def measure_idle(
    config: Settings, servers: int, seed: int, seconds: float
) -> tuple[Simulation, float, float]:
    """The fraction of a core for housekeeping ticks, and the longest of them in ms."""
    simulation = Simulation(config, servers, seed)
    freeze_heap()
    simulation.run(seconds)
    if len(simulation.tick_ms) < seconds * 1000 / TICK_MS - 1:
        raise AssertionError(f"{len(simulation.tick_ms)} housekeeping ticks in {seconds} s")
    return simulation, sum(simulation.tick_ms) / (seconds * 1000), max(simulation.tick_ms)


def measure_times(servers: int, seed: int, keyed: bool, small: bool) -> dict[str, float]:
    seconds = 2.0 if small or servers > 20_000 else 10.0
    simulation, core, longest = measure_idle(settings(keyed), servers, seed, seconds)
    ticks = len(simulation.tick_ms)
    changes = [simulation.apply_delta(n) for n in range(1, 5 if small else 11)]
    simulation.start_request()
    simulation.run(0.3 if small else WARM_UP_S)
    simulation.request_ms.clear()
    arrivals, unsent = simulation.arrivals, simulation.rejected_or_failed
    simulation.run(0.3 if small else MEASURED_S)
    arrivals, unsent = simulation.arrivals - arrivals, simulation.rejected_or_failed - unsent
    steps = sorted(simulation.request_ms)
    return {
        "rest_core": core,
        "rest_step_ms": longest,
        "change_ms": sum(changes) / len(changes),
        "request_us": sum(steps) * 1000 / max(arrivals, 1),
        "request_step_ms": steps[int(0.99 * len(steps))],
        "beats": ticks,
        "requests": arrivals,
        "unsent": unsent / max(arrivals, 1),
        "near": len(simulation.balancer.preferred),
    }


def measure_memory(config: Callable[[], Settings], servers: int, seed: int, balancers: int = 1) -> int:
    """Bytes of Python memory of the Balancers, with the servers' names but without the list's entries."""
    gc.collect()
    tracemalloc.start()
    built_settings = config()
    built_balancers = [Balancer(built_settings, seed + n) for n in range(balancers)]
    for balancer in built_balancers:
        balancer.step(1000.0, [listing(servers)])
        balancer.actions.clear()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(built_balancers) == balancers
    return held


def quotas(tenants: int) -> Settings:
    return settings(quotas=tuple(1.0 + number % 7 / 7 for number in range(tenants)))


def server_memory(servers: int, seed: int) -> int:
    return measure_memory(settings, servers, seed)


def tenant_memory(tenants: int, seed: int) -> int:
    return measure_memory(lambda: quotas(tenants), SERVERS_PER_SERVICE, seed)


def service_memory(services: int, seed: int) -> int:
    return measure_memory(settings, SERVERS_PER_SERVICE, seed, services)


def measure_idle_with_tenants(tenants: int, seed: int, seconds: float) -> tuple[float, float]:
    return measure_idle(quotas(tenants), SERVERS_PER_SERVICE, seed, seconds)[1:]


def measure_idle_services(services: int, seed: int, seconds: float) -> float:
    """The fraction of a core for the ticks of one Balancer per service."""
    config = settings()
    balancers = [Balancer(config, seed + n) for n in range(services)]
    snapshot: list[Event] = [listing(SERVERS_PER_SERVICE)]
    for balancer in balancers:
        balancer.step(1000.0, snapshot)
    freeze_heap()
    tick: list[Event] = [TimerFired(0)]
    began = process_time()
    for number in range(1, int(seconds * 1000 / TICK_MS) + 1):
        for balancer in balancers:
            balancer.step(1000.0 + number * TICK_MS, tick)
    return (process_time() - began) / seconds


NOTES = {
    "rest_core": "beats as the module asks for them, no request",
    "rest_step_ms": "longest of all beats",
    "change_ms": "mean of 10 delta lists of one entry, a server drains and is back",
    "request_us": f"arrival and outcome, a step each, at {RATE:g}/s, beats apart; the clock's reads are in",
    "request_step_ms": "99th percentile of the steps with an arrival or an outcome",
}
UNITS = {"core": "cores", "ms": "ms", "us": "us", "bytes": "bytes"}


def series(
    over: str, rows: Rows, seed: int, load: float, notes: dict[str, str], **fixed: float
) -> list[Series]:
    units = {name: UNITS[name.rpartition("_")[2]] for name in rows}
    return [
        Series(f"module.{name}", over, units[name], tuple(points), "hollow", fixed, seed, load, notes[name])
        for name, points in rows.items()
    ]


def series_over_servers(seed: int, small: bool, keyed: bool, load: float) -> list[Series]:
    sizes, run_size = SIZES["servers"][small], run_in_process if small else run_in_child
    results = [run_size(measure_times, size, seed, keyed, small) for size in sizes]
    prefix = "keyed_" if keyed else ""
    rows: Rows = {
        prefix + name: [(size, row[name]) for size, row in zip(sizes, results, strict=True)] for name in NOTES
    }
    counts = ("beats", "requests", "near", "unsent")
    held = "; ".join(f"{c} " + "/".join(f"{row[c]:.4g}" for row in results) for c in counts)
    notes = {prefix + name: f"{text}; by size: {held}" for name, text in NOTES.items()}
    if not keyed:
        rows["memory_bytes"] = [(size, run_size(server_memory, size, seed)) for size in sizes]
        notes["memory_bytes"] = "tracemalloc, the Balancer with its list, names in"
    routes = ROUTES if keyed else 0
    return series("servers", rows, seed, load, notes, proxies=PROXIES, services=1, rate=RATE, routes=routes)


def series_over_tenants_and_services(seed: int, small: bool, load: float) -> list[Series]:
    tenants, services = SIZES["tenants"][small], SIZES["services"][small]
    run_size = run_in_process if small else run_in_child
    rest = [run_size(measure_idle_with_tenants, size, seed, 2.0 if small else 10.0) for size in tenants]
    rows: Rows = {
        "tenants_memory_bytes": [(size, run_size(tenant_memory, size, seed)) for size in tenants],
        "tenants_rest_core": [(size, row[0]) for size, row in zip(tenants, rest, strict=True)],
        "tenants_step_ms": [(size, row[1]) for size, row in zip(tenants, rest, strict=True)],
    }
    notes = dict.fromkeys(rows, f"{2 if small else 10} virtual s, one list of quotas, {ZONES} zones")
    results = series(
        "tenants", rows, seed, load, notes, proxies=PROXIES, servers=SERVERS_PER_SERVICE, services=1
    )
    seconds = {size: 2.0 if small else min(max(2.0, 4_400 / size), 20.0) for size in services}
    rows = {
        "services_memory_bytes": [(size, run_size(service_memory, size, seed)) for size in services],
        "services_rest_core": [
            (size, run_size(measure_idle_services, size, seed, seconds[size])) for size in services
        ],
    }
    text = (
        f"one Balancer a service with {SERVERS_PER_SERVICE} servers each; the loop's own timers are left out"
    )
    notes = dict.fromkeys(rows, text)
    return results + series(
        "services", rows, seed, load, notes, proxies=PROXIES, servers_each=SERVERS_PER_SERVICE, tenants=0
    )


def run(seed: int, small: bool) -> list[Series]:
    load = data.load()
    results = series_over_servers(seed, small, False, load)
    results += series_over_servers(seed, small, True, load)
    return results + series_over_tenants_and_services(seed, small, load)
