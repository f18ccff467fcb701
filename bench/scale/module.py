"""What one decision module costs as servers, tenants and services grow, in virtual time without sockets."""

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

PROXIES, ZONES, RATE = 2200, 3, 680.0  # requests a second at this proxy
ROUTES, POPULARITY = 52_000, 0.8  # keys, and the power of their rank by which they are asked for
ANSWER_MS = 10.0  # of an answer that is sure, and the mean of what chance adds: some come late, as they do
POOL = 18  # servers of one service
SIZES = {
    "servers": ((18, 200, 2_000, 20_000, 200_000), (18, 200)),
    "tenants": ((390, 3_900, 39_000, 390_000), (39, 390)),
    "services": ((11, 110, 1_100, 11_000), (2, 11)),
}
WARM_S, COUNTED_S = 10.0, 3.0  # virtual s of requests: what it learns first is not counted
MOST_S = 15.0  # of processor time for either
BEAT_MS = 25.0  # what the module asks for; checked by `Play`
T = TypeVar("T")
Rows = dict[str, list[tuple[float, float]]]


def alone(function: Callable[..., T], *args: Any) -> T:
    """Its result from a fresh process, so that one size's memory is not the next one's."""
    with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
        return pool.submit(function, *args).result()


def here(function: Callable[..., T], *args: Any) -> T:
    """In place of `alone` where sizes are small: a dozen processes would take longer than the figures."""
    return function(*args)


def settings(keyed: bool = False, quotas: tuple[float, ...] = ()) -> Settings:
    """`keyed`: servers know keys and their weights tell of load, as in bench.many."""
    answer = RequestClass(300.0, 900.0)
    return Settings(
        (answer,), proxies=PROXIES, me=17, zones=ZONES, quotas=quotas, max_attempts=4, may_cancel=True,
        ask_for_list=True, key_affinity=keyed, weights_report_load=keyed,
    )  # fmt: skip


def entry(number: int, **more: Any) -> ServerInfo:
    return ServerInfo(f"backend-{number:06d}", zone=number % ZONES, cell=number // 4, **more)


def listing(servers: int) -> ServerList:
    return ServerList(ListKind.SNAPSHOT, tuple(entry(number) for number in range(servers)))


class Play:
    """One Balancer, its timers and its servers' answers in virtual time; processor time of each step, ms."""

    def __init__(self, config: Settings, servers: int, seed: int) -> None:
        self.balancer, self.rng = Balancer(config, seed), Random(seed)
        self.now, self.ids, self.order = 1000.0, count(), count()
        self.due: list[tuple[float, int, Event]] = []
        ranks = range(1, ROUTES + 1 if config.key_affinity else 1)
        self.keys = list(accumulate(1 / rank**POPULARITY for rank in ranks))
        self.rest: list[float] = []
        self.request: list[float] = []
        self.sent = self.final = self.arrivals = 0
        self.step(listing(servers))

    def step(self, event: Event) -> float:
        events = [event]
        begun = process_time()
        actions = self.balancer.step(self.now, events)
        took = (process_time() - begun) * 1000
        for action in actions:
            if isinstance(action, SetTimer):
                self.at(action.delay_ms, TimerFired(action.token))
            elif isinstance(action, Send):
                self.sent += 1
                delay = ANSWER_MS + self.rng.expovariate(1 / ANSWER_MS)
                self.at(delay, Outcome(action.request, 0, Result.OK, delay, True))
            elif isinstance(action, (Refuse, Fail)):
                self.final += 1
        return took

    def at(self, after: float, event: Event) -> None:
        heappush(self.due, (self.now + after, next(self.order), event))

    def arrive(self) -> None:
        key = None
        if self.keys:
            key = self.rng.choices(range(ROUTES), cum_weights=self.keys)[0] * 7919
        arrival = Arrival(f"r{next(self.ids)}", 0, 0, key, self.now + 900.0)
        self.arrivals += 1
        self.request.append(self.step(arrival))
        self.at(self.rng.expovariate(RATE) * 1000, arrival)  # stands for the next one

    def run(self, seconds: float, most_s: float = MOST_S) -> None:
        """Until that much virtual time is over, or that much processor time was spent."""
        until, spent = self.now + seconds * 1000, 0.0
        while self.due and self.due[0][0] <= until and spent < most_s * 1000:
            self.now, _, event = heappop(self.due)
            before = len(self.rest) + len(self.request)
            if isinstance(event, Arrival):
                self.arrive()
            else:
                (self.rest if isinstance(event, TimerFired) else self.request).append(self.step(event))
            assert len(self.rest) + len(self.request) == before + 1
            spent += (self.rest or [0.0])[-1] if isinstance(event, TimerFired) else self.request[-1]

    def change(self, number: int) -> float:
        """One entry of a delta: the first server drains, then is active again."""
        state = ServerState.DRAINING if number % 2 else ServerState.ACTIVE
        return self.step(ServerList(ListKind.DELTA, (entry(0, state=state),)))


def settle() -> None:
    """As the program does once it has started."""
    gc.collect()
    gc.freeze()


def at_rest(config: Settings, servers: int, seed: int, seconds: float) -> tuple[Play, float, float]:
    """The share of a core that beats take, and the longest of them in ms."""
    play = Play(config, servers, seed)
    settle()
    play.run(seconds)
    if len(play.rest) < seconds * 1000 / BEAT_MS - 1:
        raise AssertionError(f"{len(play.rest)} beats in {seconds} s")
    return play, sum(play.rest) / (seconds * 1000), max(play.rest)


def times(servers: int, seed: int, keyed: bool, small: bool) -> dict[str, float]:
    seconds = 2.0 if small or servers > 20_000 else 10.0
    play, core, longest = at_rest(settings(keyed), servers, seed, seconds)
    beats = len(play.rest)
    changes = [play.change(n) for n in range(1, 5 if small else 11)]
    play.arrive()
    play.run(0.3 if small else WARM_S)
    play.request.clear()
    arrivals, unsent = play.arrivals, play.final
    play.run(0.3 if small else COUNTED_S)
    arrivals, unsent = play.arrivals - arrivals, play.final - unsent
    steps = sorted(play.request)
    return {
        "rest_core": core,
        "rest_step_ms": longest,
        "change_ms": sum(changes) / len(changes),
        "request_us": sum(steps) * 1000 / max(arrivals, 1),
        "request_step_ms": steps[int(0.99 * len(steps))],
        "beats": beats,
        "requests": arrivals,
        "unsent": unsent / max(arrivals, 1),
        "near": len(play.balancer.preferred),
    }


def memory(config: Callable[[], Settings], servers: int, seed: int, balancers: int = 1) -> int:
    """Bytes that Python holds for what was built, names in, the rest of the list's entries left out."""
    gc.collect()
    tracemalloc.start()
    built = config()
    kept = [Balancer(built, seed + n) for n in range(balancers)]
    for balancer in kept:
        balancer.step(1000.0, [listing(servers)])
        balancer.actions.clear()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(kept) == balancers
    return held


def quotas(tenants: int) -> Settings:
    return settings(quotas=tuple(1.0 + number % 7 / 7 for number in range(tenants)))


def server_memory(servers: int, seed: int) -> int:
    return memory(settings, servers, seed)


def tenant_memory(tenants: int, seed: int) -> int:
    return memory(lambda: quotas(tenants), POOL, seed)


def service_memory(services: int, seed: int) -> int:
    return memory(settings, POOL, seed, services)


def tenant_rest(tenants: int, seed: int, seconds: float) -> tuple[float, float]:
    return at_rest(quotas(tenants), POOL, seed, seconds)[1:]


def services_rest(services: int, seed: int, seconds: float) -> float:
    """One Balancer each, every one with its own beat: the share of a core of all beats together."""
    config = settings()
    balancers = [Balancer(config, seed + n) for n in range(services)]
    news: list[Event] = [listing(POOL)]
    for balancer in balancers:
        balancer.step(1000.0, news)
    settle()
    beat: list[Event] = [TimerFired(0)]
    begun = process_time()
    for number in range(1, int(seconds * 1000 / BEAT_MS) + 1):
        for balancer in balancers:
            balancer.step(1000.0 + number * BEAT_MS, beat)
    return (process_time() - begun) / seconds


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


def over_servers(seed: int, small: bool, keyed: bool, load: float) -> list[Series]:
    sizes, each = SIZES["servers"][small], here if small else alone
    found = [each(times, size, seed, keyed, small) for size in sizes]
    prefix = "keyed_" if keyed else ""
    rows: Rows = {
        prefix + name: [(size, row[name]) for size, row in zip(sizes, found, strict=True)] for name in NOTES
    }
    counts = ("beats", "requests", "near", "unsent")
    held = "; ".join(f"{c} " + "/".join(f"{row[c]:.4g}" for row in found) for c in counts)
    notes = {prefix + name: f"{text}; by size: {held}" for name, text in NOTES.items()}
    if not keyed:
        rows["memory_bytes"] = [(size, each(server_memory, size, seed)) for size in sizes]
        notes["memory_bytes"] = "tracemalloc, the Balancer with its list, names in"
    routes = ROUTES if keyed else 0
    return series("servers", rows, seed, load, notes, proxies=PROXIES, services=1, rate=RATE, routes=routes)


def over_others(seed: int, small: bool, load: float) -> list[Series]:
    tenants, services = SIZES["tenants"][small], SIZES["services"][small]
    each = here if small else alone
    rest = [each(tenant_rest, size, seed, 2.0 if small else 10.0) for size in tenants]
    rows: Rows = {
        "tenants_memory_bytes": [(size, each(tenant_memory, size, seed)) for size in tenants],
        "tenants_rest_core": [(size, row[0]) for size, row in zip(tenants, rest, strict=True)],
        "tenants_step_ms": [(size, row[1]) for size, row in zip(tenants, rest, strict=True)],
    }
    notes = dict.fromkeys(rows, f"{2 if small else 10} virtual s, one list of quotas, {ZONES} zones")
    found = series("tenants", rows, seed, load, notes, proxies=PROXIES, servers=POOL, services=1)
    seconds = {size: 2.0 if small else min(max(2.0, 4_400 / size), 20.0) for size in services}
    rows = {
        "services_memory_bytes": [(size, each(service_memory, size, seed)) for size in services],
        "services_rest_core": [(size, each(services_rest, size, seed, seconds[size])) for size in services],
    }
    text = f"one Balancer a service with {POOL} servers each; the loop's own timers are left out"
    notes = dict.fromkeys(rows, text)
    return found + series("services", rows, seed, load, notes, proxies=PROXIES, servers_each=POOL, tenants=0)


def run(seed: int, small: bool) -> list[Series]:
    load = data.load()
    found = over_servers(seed, small, False, load)
    found += over_servers(seed, small, True, load)
    return found + over_others(seed, small, load)
