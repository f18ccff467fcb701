"""Many proxies before many servers in virtual time: what all of them together do to servers that start cold.

    python -m bench.many --seed 1 [--proxies 200] [--servers 200] [--seconds 24] [--only replace|zone]

Each proxy is a decision module of its own; servers are queues of one core that work slower while they are
cold. `replace`: six in ten servers are replaced within 7 s. `zone`: a third of them falls silent for 5 s and
comes back cold. Traffic is split unevenly over the proxies, keys over their popularity. The last line has the
largest part that any cold server was sent in any window of what it may be sent (the rule's budget of N
requests and 2 x root of N + 2 for chance) by all proxies together, once they were told of its start, and told
or not. The exit code is 1 if the first is over one, if a request got no
answer or two, if a server was not used again, or if what is served is not back 10 s after the trouble's end.
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
WORK_MS = (32.0, 66.0)  # of each class on a core of speed one
PURCHASES = 0.23  # part of all requests
MEAN_MS = PURCHASES * WORK_MS[0] + (1 - PURCHASES) * WORK_MS[1]
LOAD = 0.85  # of what all servers can do while they are warm and know no keys
MEMORY_MS, MEMORY_GAIN, MEMORY_KEYS = 5000.0, 0.45, 45  # how long a server knows a key; work saved; keys
START, COLD_MS = 0.12, 20_000.0  # part of its capacity that a server starts with; ms until it is warm
MULTIPLE, WINDOW_MS = 3.0, 1500.0
BEAT_MS = 25
LIST_MS, LATE_MS = 500, 1000  # between two lists, and their age
DRAIN_MS = 500  # from a server's drain to its end
BACK_S, BACK_SHORT = 10.0, 0.03  # until what is served is back; worth that it may lack then


@dataclass
class Server:
    name: str
    speed: float
    cell: int
    started: float | None = None
    silent: bool = False
    met: dict[int, float] = field(default_factory=dict)  # when it was last sent a key
    state: ServerState = ServerState.ACTIVE
    free_at: float = 0.0
    held: int = 0
    # When, ms of work for a core of speed one, and whether its proxy had been told of the start.
    sent: list[tuple[float, float, bool]] = field(default_factory=list)

    @property
    def kind(self) -> int:
        return int(self.speed > 1)

    def part(self, now: float) -> float:
        """Of its capacity, at this moment."""
        if self.started is None:
            return 1.0
        return min(1.0, START + (1 - START) * max(0.0, now - self.started) / COLD_MS)

    def take(self, now: float, key: int, work_ms: float, mean_ms: float, knew: bool) -> float:
        """When it will be done. By the budget it counts as usual for its class: how much work it turns out to
        be nobody can know. A key met lately is less work."""
        self.sent.append((now, mean_ms, knew))
        if now - self.met.pop(key, -inf) < MEMORY_MS:
            work_ms *= 1 - MEMORY_GAIN
        self.met[key] = now
        if len(self.met) > MEMORY_KEYS:
            del self.met[next(iter(self.met))]
        self.free_at = max(now, self.free_at) + work_ms / (self.speed * self.part(now))
        return self.free_at

    def worst(self) -> tuple[float, float]:
        """The largest part of what it may be sent in any window since it started cold, in requests of mean
        work: its budget of N, and 2 x root of N + 2 for chance. Of windows of which two thirds came from
        proxies that knew, as the rule has it, and of all, since it falls from all of it."""
        if self.started is None:
            return 0.0, 0.0
        sent = [row for row in self.sent if row[0] >= self.started]
        times = [t for t, _, _ in sent]
        sums, known = [0.0], [0.0]
        for _, work, knew in sent:
            sums.append(sums[-1] + work)
            known.append(known[-1] + work * knew)
        worst = whole = 0.0
        for first, t in enumerate(times):
            last = bisect_left(times, t + WINDOW_MS)
            came, told = sums[last] - sums[first], known[last] - known[first]
            if self.part(t) < 1:
                budget = MULTIPLE * self.speed * self.part(t) * WINDOW_MS / MEAN_MS
                part = came / MEAN_MS / (budget + 2 * sqrt(budget) + 2)
                whole = max(whole, part)
                worst = max(worst, part if told >= 2 / 3 * came else 0.0)
        return worst, whole


class World:
    def __init__(self, proxies: int, servers: int, seed: int) -> None:
        self.rng, self.engine, self.ids = Random(seed), Engine(), count()  # ms
        self.servers: dict[str, Server] = {}
        self.made = count()
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
            start_capacity=START,
            cold_ms=COLD_MS,
            fall_multiple=MULTIPLE,
            fall_ms=WINDOW_MS,
        )
        self.proxies = [Balancer(replace(config, me=me), seed * 1000 + me) for me in range(proxies)]
        # Most proxies see about the mean, one in ten several times that.
        self.parts = [
            4.0 if me % 10 == 3 else self.rng.uniform(0.3, 1.2) * (1 if me % 7 else 0.4)
            for me in range(proxies)
        ]
        self.keys = [1 / rank**0.8 for rank in range(1, 801)]
        self.open: dict[str, int] = {}  # requests without a final answer, by proxy
        self.attempts: dict[tuple[str, int], Server] = {}
        self.tries: dict[str, int] = {}  # attempts of each request
        self.classes: dict[str, int] = {}
        self.keys_of: dict[str, int] = {}
        self.answers: dict[str, int] = {}
        self.asked = [0.0, 0.0]
        self.served = [0.0, 0.0]
        self.arrived: dict[str, int] = {}  # second of its arrival
        self.by_second: dict[int, list[float]] = {}  # worth asked for and served, by second of arrival
        self.burnt: dict[int, int] = {}  # attempts ended by time-out, by second
        self.history: deque[tuple[float, tuple[ServerInfo, ...]]] = deque()

    def start(self, started: float | None) -> Server:
        number = next(self.made)
        server = Server(f"s{number}", self.rng.choice((0.95, 1.5)), number // 4, started)
        self.servers[server.name] = server
        return server

    def listing(self) -> tuple[ServerInfo, ...]:
        return tuple(
            ServerInfo(s.name, s.state, 0, s.kind, s.cell, s.started, (1.0, 1.5)[s.kind] / (1 + s.held))
            for s in self.servers.values()
        )

    def step(self, me: int, events: list[Event]) -> None:
        for action in self.proxies[me].step(self.now, events):
            self.carry_out(me, action)

    @property
    def now(self) -> float:
        return self.engine.now

    def at(self, when: float, me: int, event: Outcome) -> None:
        self.engine.at(when, partial(self.outcome, me, event))

    def carry_out(self, me: int, action: Action) -> None:
        if isinstance(action, Send):
            number = self.tries.get(action.request, 0)
            self.tries[action.request] = number + 1
            server = self.servers.get(action.server)
            cls = self.classes[action.request]
            if server is None:
                self.attempts[action.request, number] = Server("gone", 1.0, 0)
                self.at(self.now + 1, me, Outcome(action.request, number, Result.CONNECT_FAILED, 1.0, False))
                return
            self.attempts[action.request, number] = server
            server.held += 1
            known = self.proxies[me].servers.get(server.name)
            knew = known is not None and known.cold_until > self.now
            work_ms = WORK_MS[cls] * self.rng.lognormvariate(-0.1, 0.45)
            done = server.take(self.now, self.keys_of[action.request], work_ms, WORK_MS[cls], knew)
            limit = self.now + action.attempt_timeout_ms
            if server.silent or done > limit:
                ended, result = limit, Result.TIMEOUT
                server.free_at = min(server.free_at, max(self.now, limit))  # what is called off stops
            else:
                ended, result = done, Result.OK
            self.at(ended, me, Outcome(action.request, number, result, ended - self.now, False))
        elif isinstance(action, (Fail, Refuse)):
            self.final(action.request, False)
        elif isinstance(action, Cancel):
            self.at(self.now, me, Outcome(action.request, action.attempt, Result.CANCELLED, 1.0, True))

    def final(self, request: str, served: bool) -> None:
        self.answers[request] = self.answers.get(request, 0) + 1
        self.open.pop(request, None)
        if served:
            self.served[self.classes[request]] += 1
            self.by_second[self.arrived[request]][1] += (PURCHASE, ANSWER)[self.classes[request]].worth

    def outcome(self, me: int, event: Outcome) -> None:
        server = self.attempts.pop((event.request, event.attempt), None)
        if server is None:
            return  # it has ended before it was called off
        self.attempts[event.request, event.attempt] = ENDED
        server.held -= 1
        if event.result is Result.TIMEOUT:
            second = int(self.now / 1000)
            self.burnt[second] = self.burnt.get(second, 0) + 1
        finished = event.request not in self.open
        if event.result is Result.OK and not finished:
            self.final(event.request, True)
            finished = True
        self.step(me, [event._replace(finished=finished)])

    def arrive(self) -> None:
        me = self.rng.choices(range(len(self.proxies)), self.parts)[0]
        name, cls = f"r{next(self.ids)}", int(self.rng.random() >= PURCHASES)
        key = self.rng.choices(range(len(self.keys)), self.keys)[0]
        self.classes[name], self.open[name], self.keys_of[name] = cls, me, key
        self.asked[cls] += 1
        self.arrived[name] = int(self.now / 1000)
        self.by_second.setdefault(self.arrived[name], [0.0, 0.0])[0] += (PURCHASE, ANSWER)[cls].worth
        wait = (PURCHASE, ANSWER)[cls].deadline_ms * 0.45
        self.step(me, [Arrival(name, cls, 0, key * 7919, self.now + wait)])

    def tick(self, ms: int, per_ms: float) -> None:
        until = self.now + ms
        coming = sorted(self.now + self.rng.random() * ms for _ in range(poisson(self.rng, per_ms * ms)))
        for when in coming:
            self.engine.run(when)
            self.arrive()
        self.engine.run(until)
        for me in range(len(self.proxies)):
            self.step(me, [TimerFired(0)])

    def tell(self) -> None:
        """A list as it was a while ago, with what has changed told at once to nobody."""
        self.history.append((self.now, self.listing()))
        while len(self.history) > 1 and self.history[1][0] <= self.now - LATE_MS:
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


def troubles(world: World, name: str, struck: list[Server], at: float) -> Iterator[None]:
    """One step for each beat: what happens to the servers."""
    if name == "zone":
        for server in struck:
            server.silent = True
        while world.now < at + 5000:
            yield
        for server in struck:
            server.silent, server.started, server.free_at = False, world.now, world.now
            server.met.clear()
        return
    gone: list[tuple[float, Server]] = []
    for place, server in enumerate(struck):
        while world.now < at + 7000 * place / len(struck):
            yield
        server.state = ServerState.DRAINING
        gone.append((world.now + LATE_MS + LIST_MS + DRAIN_MS, server))
        world.start(world.now)
        while gone and gone[0][0] <= world.now:
            del world.servers[gone.pop(0)[1].name]


def back(world: World, at: float, until: float) -> float:
    """Seconds from the end of the trouble until three seconds together are served as those before it were."""

    def level(first: int, last: int) -> float:
        rows = [world.by_second.get(n, [0.0, 0.0]) for n in range(first, last)]
        return sum(row[1] for row in rows) / max(sum(row[0] for row in rows), 1.0)

    before, end = level(1, int(at / 1000)), int(until / 1000)
    last = max(world.by_second) - 1
    for second in range(end, last - 1):
        if level(second, second + 3) >= before - BACK_SHORT:
            return float(second - end)
    return inf


def play(
    name: str, proxies: int, servers: int, seconds: int, seed: int
) -> tuple[tuple[float, float], list[str]]:
    world = World(proxies, servers, seed)
    everyone = list(world.servers.values())
    struck = world.rng.sample(everyone, servers * 6 // 10 if name == "replace" else servers // 3)
    capacity = sum(s.speed for s in everyone) / MEAN_MS
    at, trouble = 4000.0, None
    for beat in range(seconds * 1000 // BEAT_MS):
        if beat % (LIST_MS // BEAT_MS) == 0:
            world.tell()
        if world.now >= at:
            trouble = trouble or troubles(world, name, struck, at)
            next(trouble, None)
        world.tick(BEAT_MS, capacity * LOAD)
    for _ in range(2000 // BEAT_MS):
        world.tick(BEAT_MS, 0.0)
    cold = [s for s in world.servers.values() if s.started is not None]
    told = max((s.worst()[0] for s in cold), default=0.0)
    worst = max((s.worst()[1] for s in cold), default=0.0)
    broken = []
    if told > 1:
        broken.append(f"a cold server was sent {told:.2f} of what it may by proxies that knew of its start")
    if world.open:
        broken.append(f"{len(world.open)} requests got no answer")
    if doubled := sum(n != 1 for n in world.answers.values()):
        broken.append(f"{doubled} requests got more than one answer")
    over = at + (7000 if name == "replace" else 5000)
    took = back(world, at, over)
    if took > BACK_S and seconds >= over / 1000 + BACK_S + 3:  # a shorter play can't tell
        broken.append(f"served as before only {took:.0f} s after the trouble's end")
    early = [s for s in cold if (s.started or 0.0) < world.now - 5000]
    if idle := sum(not any(t >= (s.started or 0.0) + 1000 for t, _, _ in s.sent) for s in early):
        broken.append(f"{idle} of {len(early)} servers were not used once they had started")
    parts = [s / max(a, 1) for s, a in zip(world.served, world.asked, strict=True)]
    print(
        f"{name}: {proxies} proxies, {servers} servers, {len(cold)} started cold, {int(sum(world.asked))}"
        f" requests; served {parts[0]:.3f} of purchases, {parts[1]:.3f} of answers;"
        f" most of what a cold one may get {told:.2f} told, {worst:.2f} told or not; back after {took:.0f} s;"
        f" time-outs by second {' '.join(str(world.burnt.get(n, 0)) for n in range(seconds))}"
    )
    return (told, worst), broken


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--proxies", type=int, default=200)
    parser.add_argument("--servers", type=int, default=200)
    parser.add_argument("--seconds", type=int, default=24)
    parser.add_argument("--only", choices=("replace", "zone"))
    args = parser.parse_args()
    print(f"seed {args.seed}")
    told = worst = 0.0
    broken: list[str] = []
    for name in (args.only,) if args.only else ("replace", "zone"):
        most, bad = play(name, args.proxies, args.servers, args.seconds, args.seed)
        told, worst = max(told, most[0]), max(worst, most[1])
        broken += [f"{name}: {what}" for what in bad]
    for line in broken:
        print(line)
    verdict = "broken" if broken else "held"
    print(f"most of what a cold server may get {told:.2f} told, {worst:.2f} told or not, {verdict}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
