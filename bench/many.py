"""Simulates many proxies and servers in virtual time: the joint load of the proxies on cold servers.

    python -m bench.many --seed 1 [--proxies 200] [--servers 200] [--seconds 24] [--only replace|zone]

Each proxy is a decision module of its own. A server is a queue with one core that is slower while it is cold.
`replace`: 60% of the servers are replaced within 7 s. `zone`: a third of them hangs for 5 s and restarts
cold. Traffic is split unevenly over the proxies, and over keys by their popularity. The last line has the
largest ratio, over cold servers and windows, of the load that all proxies sent to the allowed load: the
budget of N requests, and 2 x sqrt(N) + 2 for random variation. The first figure counts windows in which the
proxies knew of the start, the second all windows. The exit code is 1 if the first figure is above 1, if a
request got no answer or two, if a server was not used again, or if the served load has not recovered 10 s
after the fault.
"""

from __future__ import annotations

import argparse
import sys
from bisect import bisect_left
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count
from math import inf, sqrt
from random import Random

from flintlatch.api import (
    Action,
    Arrival,
    Cancel,
    Effect,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    RequestClass,
    Result,
    Scope,
    Send,
    ServerInfo,
    ServerList,
    ServerState,
    Settings,
    TimerFired,
)
from flintlatch.choice import Balancer
from flintlatch.lab.engine import Engine

PURCHASE = RequestClass(300.0, 1200.0, Effect.KEYED, Scope.CELL, 750.0, worth=12.0)
ANSWER = RequestClass(300.0, 750.0, Effect.UNSAFE, worth=1.0)
WORK_MS = (32.0, 66.0)  # mean work of each class on a core of speed 1
PURCHASES = 0.23  # fraction of all requests
MEAN_MS = PURCHASES * WORK_MS[0] + (1 - PURCHASES) * WORK_MS[1]
LOAD = 0.85  # fraction of the capacity of all warm servers without known keys
# time that a server remembers a key; fraction of work saved by a known key; most keys
KEY_MEMORY_MS, KEY_WORK_SAVED, MAX_KEYS = 5000.0, 0.45, 45
# initial fraction of the capacity of a server; time until it is warm
START_CAPACITY, COLD_MS = 0.12, 20_000.0
FALL_MULTIPLE, WINDOW_MS = 3.0, 1500.0
TICK_MS = 25
LIST_MS, LIST_AGE_MS = 500, 1000  # interval between lists, and their age
DRAIN_TO_END_MS = 500  # from the drain of a server to its end
# time until the served fraction of worth is back; its allowed shortfall
MAX_RECOVERY_S, MAX_SHORTFALL_FRACTION = 10.0, 0.03


@dataclass
class Server:
    name: str
    speed: float
    cell: int
    started: float | None = None
    hanging: bool = False
    key_used_at: dict[int, float] = field(default_factory=dict)  # by key: when it was last received
    state: ServerState = ServerState.ACTIVE
    free_at: float = 0.0
    in_flight: int = 0
    # (time, ms of work for a core of speed 1, whether the proxy knew of the start)
    sent: list[tuple[float, float, bool]] = field(default_factory=list)

    @property
    def kind(self) -> int:
        return int(self.speed > 1)

    def capacity_fraction(self, now: float) -> float:
        """The fraction of its capacity that the server has at this moment."""
        if self.started is None:
            return 1.0
        return min(1.0, START_CAPACITY + (1 - START_CAPACITY) * max(0.0, now - self.started) / COLD_MS)

    def enqueue(self, now: float, key: int, work_ms: float, mean_ms: float, knew: bool) -> float:
        """Adds a request to the queue. Returns the time of its completion.

        For the budget it counts with the mean work of its class, as the proxies can't know its real work. A
        key that was used recently takes less work.
        """
        self.sent.append((now, mean_ms, knew))
        if now - self.key_used_at.pop(key, -inf) < KEY_MEMORY_MS:
            work_ms *= 1 - KEY_WORK_SAVED
        self.key_used_at[key] = now
        if len(self.key_used_at) > MAX_KEYS:
            del self.key_used_at[next(iter(self.key_used_at))]
        self.free_at = max(now, self.free_at) + work_ms / (self.speed * self.capacity_fraction(now))
        return self.free_at

    def worst_load_ratio(self) -> tuple[float, float]:
        """The largest ratio of sent to allowed load in any window since the cold start.

        Loads are in requests of mean work. Allowed are the budget of N, and 2 x sqrt(N) + 2 for random
        variation. The first value is over windows of which at least two thirds came from proxies that
        knew of the start, as the rule requires; the second is over all windows.
        """
        if self.started is None:
            return 0.0, 0.0
        sent = [row for row in self.sent if row[0] >= self.started]
        times = [t for t, _, _ in sent]
        sums, known_sums = [0.0], [0.0]
        for _, work, knew in sent:
            sums.append(sums[-1] + work)
            known_sums.append(known_sums[-1] + work * knew)
        worst_known = worst_any = 0.0
        for first, t in enumerate(times):
            last = bisect_left(times, t + WINDOW_MS)
            sent_work, known_work = sums[last] - sums[first], known_sums[last] - known_sums[first]
            if self.capacity_fraction(t) < 1:
                budget = FALL_MULTIPLE * self.speed * self.capacity_fraction(t) * WINDOW_MS / MEAN_MS
                part = sent_work / MEAN_MS / (budget + 2 * sqrt(budget) + 2)
                worst_any = max(worst_any, part)
                worst_known = max(worst_known, part if known_work >= 2 / 3 * sent_work else 0.0)
        return worst_known, worst_any


class World:
    def __init__(self, proxies: int, servers: int, seed: int) -> None:
        self.rng, self.engine, self.request_ids = Random(seed), Engine(), count()  # ms
        self.servers: dict[str, Server] = {}
        self.server_numbers = count()
        for _ in range(servers):
            self.start(None)
        config = Settings(
            (PURCHASE, ANSWER),
            proxies=proxies,
            may_cancel=True,
            may_duplicate=True,
            max_attempts=6,
            key_affinity=True,
            weights_report_load=True,
            tick_ms=5.0,
            start_capacity=START_CAPACITY,
            cold_ms=COLD_MS,
            fall_multiple=FALL_MULTIPLE,
            fall_ms=WINDOW_MS,
        )
        self.proxies = [Balancer(replace(config, me=me), seed * 1000 + me) for me in range(proxies)]
        # Most proxies get about the mean, one in ten several times as much.
        self.traffic_shares = [
            4.0 if me % 10 == 3 else self.rng.uniform(0.3, 1.2) * (1 if me % 7 else 0.4)
            for me in range(proxies)
        ]
        self.key_weights = [1 / rank**0.8 for rank in range(1, 801)]
        self.open: dict[str, int] = {}  # by request without a final answer: its proxy
        self.attempts: dict[tuple[str, int], Server] = {}
        self.attempt_counts: dict[str, int] = {}  # number of attempts, by request
        self.classes: dict[str, int] = {}
        self.keys_of: dict[str, int] = {}
        self.answer_counts: dict[str, int] = {}
        self.asked = [0.0, 0.0]
        self.served = [0.0, 0.0]
        self.arrival_second: dict[str, int] = {}  # second of arrival, by request
        self.by_second: dict[int, list[float]] = {}  # requested and served worth, by second of arrival
        self.timed_out: dict[int, int] = {}  # attempts that timed out, by second
        self.history: deque[tuple[float, tuple[ServerInfo, ...]]] = deque()

    def start(self, started: float | None) -> Server:
        number = next(self.server_numbers)
        server = Server(f"s{number}", self.rng.choice((0.95, 1.5)), number // 4, started)
        self.servers[server.name] = server
        return server

    def listing(self) -> tuple[ServerInfo, ...]:
        return tuple(
            ServerInfo(s.name, s.state, 0, s.kind, s.cell, s.started, (1.0, 1.5)[s.kind] / (1 + s.in_flight))
            for s in self.servers.values()
        )

    def step(self, me: int, events: list[Event]) -> None:
        for action in self.proxies[me].step(self.now, events):
            self.carry_out(me, action)

    @property
    def now(self) -> float:
        return self.engine.now

    def schedule_outcome(self, when: float, me: int, event: Outcome) -> None:
        self.engine.at(when, partial(self.outcome, me, event))

    def carry_out(self, me: int, action: Action) -> None:
        if isinstance(action, Send):
            number = self.attempt_counts.get(action.request, 0)
            self.attempt_counts[action.request] = number + 1
            server = self.servers.get(action.server)
            cls = self.classes[action.request]
            if server is None:
                self.attempts[action.request, number] = Server("gone", 1.0, 0)
                self.schedule_outcome(
                    self.now + 1, me, Outcome(action.request, number, Result.CONNECT_FAILED, 1.0, False)
                )
                return
            self.attempts[action.request, number] = server
            server.in_flight += 1
            known = self.proxies[me].servers.get(server.name)
            knew = known is not None and known.cold_until > self.now
            work_ms = WORK_MS[cls] * self.rng.lognormvariate(-0.1, 0.45)
            done = server.enqueue(self.now, self.keys_of[action.request], work_ms, WORK_MS[cls], knew)
            limit = self.now + action.attempt_timeout_ms
            if server.hanging or done > limit:
                ended, result = limit, Result.TIMEOUT
                # a cancelled request stops its work
                server.free_at = min(server.free_at, max(self.now, limit))
            else:
                ended, result = done, Result.OK
            self.schedule_outcome(ended, me, Outcome(action.request, number, result, ended - self.now, False))
        elif isinstance(action, (Fail, Refuse)):
            self.finish(action.request, False)
        elif isinstance(action, Cancel):
            self.schedule_outcome(
                self.now, me, Outcome(action.request, action.attempt, Result.CANCELLED, 1.0, True)
            )

    def finish(self, request: str, served: bool) -> None:
        self.answer_counts[request] = self.answer_counts.get(request, 0) + 1
        self.open.pop(request, None)
        if served:
            self.served[self.classes[request]] += 1
            self.by_second[self.arrival_second[request]][1] += (PURCHASE, ANSWER)[self.classes[request]].worth

    def outcome(self, me: int, event: Outcome) -> None:
        server = self.attempts.pop((event.request, event.attempt), None)
        if server is None:
            return  # the attempt ended before its cancellation
        self.attempts[event.request, event.attempt] = ENDED
        server.in_flight -= 1
        if event.result is Result.TIMEOUT:
            second = int(self.now / 1000)
            self.timed_out[second] = self.timed_out.get(second, 0) + 1
        finished = event.request not in self.open
        if event.result is Result.OK and not finished:
            self.finish(event.request, True)
            finished = True
        self.step(me, [event._replace(finished=finished)])

    def start_request(self) -> None:
        me = self.rng.choices(range(len(self.proxies)), self.traffic_shares)[0]
        name, cls = f"r{next(self.request_ids)}", int(self.rng.random() >= PURCHASES)
        key = self.rng.choices(range(len(self.key_weights)), self.key_weights)[0]
        self.classes[name], self.open[name], self.keys_of[name] = cls, me, key
        self.asked[cls] += 1
        self.arrival_second[name] = int(self.now / 1000)
        self.by_second.setdefault(self.arrival_second[name], [0.0, 0.0])[0] += (PURCHASE, ANSWER)[cls].worth
        wait = (PURCHASE, ANSWER)[cls].deadline_ms * 0.45
        self.step(me, [Arrival(name, cls, 0, key * 7919, self.now + wait)])

    def tick(self, ms: int, per_ms: float) -> None:
        until = self.now + ms
        coming = sorted(self.now + self.rng.random() * ms for _ in range(poisson(self.rng, per_ms * ms)))
        for when in coming:
            self.engine.run(when)
            self.start_request()
        self.engine.run(until)
        for me in range(len(self.proxies)):
            self.step(me, [TimerFired(0)])

    def send_list(self) -> None:
        """Sends all proxies the server list of LIST_AGE_MS ago; changes are never sent earlier."""
        self.history.append((self.now, self.listing()))
        while len(self.history) > 1 and self.history[1][0] <= self.now - LIST_AGE_MS:
            self.history.popleft()
        news = ServerList(ListKind.SNAPSHOT, self.history[0][1])
        for me in range(len(self.proxies)):
            self.step(me, [news])


ENDED = Server("ended", 1.0, 0)


def poisson(rng: Random, mean: float) -> int:
    total, n = rng.expovariate(1.0), 0
    while total < mean:
        total, n = total + rng.expovariate(1.0), n + 1
    return n


def apply_fault(world: World, name: str, affected_servers: list[Server], at: float) -> Iterator[None]:
    """Applies the fault to the servers, one step for each tick."""
    if name == "zone":
        for server in affected_servers:
            server.hanging = True
        while world.now < at + 5000:
            yield
        for server in affected_servers:
            server.hanging, server.started, server.free_at = False, world.now, world.now
            server.key_used_at.clear()
        return
    ending: list[tuple[float, Server]] = []
    for index, server in enumerate(affected_servers):
        while world.now < at + 7000 * index / len(affected_servers):
            yield
        server.state = ServerState.DRAINING
        ending.append((world.now + LIST_AGE_MS + LIST_MS + DRAIN_TO_END_MS, server))
        world.start(world.now)
        while ending and ending[0][0] <= world.now:
            del world.servers[ending.pop(0)[1].name]


def recovery_s(world: World, at: float, until: float) -> float:
    """Seconds from the end of the fault until the served fraction over 3 s is as high as before the fault."""

    def served_fraction(first: int, last: int) -> float:
        rows = [world.by_second.get(n, [0.0, 0.0]) for n in range(first, last)]
        return sum(row[1] for row in rows) / max(sum(row[0] for row in rows), 1.0)

    before, end = served_fraction(1, int(at / 1000)), int(until / 1000)
    last = max(world.by_second) - 1
    for second in range(end, last - 1):
        if served_fraction(second, second + 3) >= before - MAX_SHORTFALL_FRACTION:
            return float(second - end)
    return inf


def play(
    name: str, proxies: int, servers: int, seconds: int, seed: int
) -> tuple[tuple[float, float], list[str]]:
    world = World(proxies, servers, seed)
    all_servers = list(world.servers.values())
    affected_servers = world.rng.sample(all_servers, servers * 6 // 10 if name == "replace" else servers // 3)
    capacity = sum(s.speed for s in all_servers) / MEAN_MS
    at, fault = 4000.0, None
    for tick in range(seconds * 1000 // TICK_MS):
        if tick % (LIST_MS // TICK_MS) == 0:
            world.send_list()
        if world.now >= at:
            fault = fault or apply_fault(world, name, affected_servers, at)
            next(fault, None)
        world.tick(TICK_MS, capacity * LOAD)
    for _ in range(2000 // TICK_MS):
        world.tick(TICK_MS, 0.0)
    cold = [s for s in world.servers.values() if s.started is not None]
    worst_known = max((s.worst_load_ratio()[0] for s in cold), default=0.0)
    worst_any = max((s.worst_load_ratio()[1] for s in cold), default=0.0)
    broken = []
    if worst_known > 1:
        broken.append(
            f"a cold server was sent {worst_known:.2f} of what it may by proxies that knew of its start"
        )
    if world.open:
        broken.append(f"{len(world.open)} requests got no answer")
    if answered_twice := sum(n != 1 for n in world.answer_counts.values()):
        broken.append(f"{answered_twice} requests got more than one answer")
    fault_end = at + (7000 if name == "replace" else 5000)
    recovered_after_s = recovery_s(world, at, fault_end)
    # not checked in a shorter run
    if recovered_after_s > MAX_RECOVERY_S and seconds >= fault_end / 1000 + MAX_RECOVERY_S + 3:
        broken.append(f"served as before only {recovered_after_s:.0f} s after the trouble's end")
    started_early = [s for s in cold if (s.started or 0.0) < world.now - 5000]
    if idle := sum(not any(t >= (s.started or 0.0) + 1000 for t, _, _ in s.sent) for s in started_early):
        broken.append(f"{idle} of {len(started_early)} servers were not used once they had started")
    served_fractions = [s / max(a, 1) for s, a in zip(world.served, world.asked, strict=True)]
    print(
        f"{name}: {proxies} proxies, {servers} servers, {len(cold)} started cold, {int(sum(world.asked))}"
        f" requests; served {served_fractions[0]:.3f} of purchases, {served_fractions[1]:.3f} of answers;"
        f" most of what a cold one may get {worst_known:.2f} told, {worst_any:.2f} told or "
        f"not; back after {recovered_after_s:.0f} s;"
        f" time-outs by second {' '.join(str(world.timed_out.get(n, 0)) for n in range(seconds))}"
    )
    return (worst_known, worst_any), broken


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--proxies", type=int, default=200)
    parser.add_argument("--servers", type=int, default=200)
    parser.add_argument("--seconds", type=int, default=24)
    parser.add_argument("--only", choices=("replace", "zone"))
    args = parser.parse_args()
    print(f"seed {args.seed}")
    worst_known = worst_any = 0.0
    broken: list[str] = []
    for name in (args.only,) if args.only else ("replace", "zone"):
        ratios, faults = play(name, args.proxies, args.servers, args.seconds, args.seed)
        worst_known, worst_any = max(worst_known, ratios[0]), max(worst_any, ratios[1])
        broken += [f"{name}: {what}" for what in faults]
    for line in broken:
        print(line)
    verdict = "broken" if broken else "held"
    print(
        f"most of what a cold server may get {worst_known:.2f} told, {worst_any:.2f} told or not, {verdict}"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
