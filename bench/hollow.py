"""A hollow fleet in virtual time: an origin, relays and proxies with delivery's real cores, and an auditor.

What is held is the real thing; sockets and sealing are not there. Objects that are alike are kept once for
all hosts, which saves memory and changes nothing, since an object is replaced and never altered. Relays and
proxies start with what they held before. All are stepped each 0.1 s, in ten groups of one event each; a
proxy's step is left out, and counted as costing what it costs, where nothing would come of it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import inf
from random import Random
from time import process_time_ns
from typing import Any

from bench.audit import Audit, Cost, Minutes
from flintlatch.delivery import node, relay, subscriber
from flintlatch.delivery.model import End, Message, ObjectChange, Participant, Pong, Rules, wire_size
from flintlatch.delivery.store import Store, StoredObject
from flintlatch.delivery.subscriber import Tick
from flintlatch.lab.delivery import TICK_S, Host, Lab, Origin, Proxy, RelayHost, Stream

REGIONS = 5
GROUPS = 10  # of hosts that are stepped by one event
BACKEND, ROUTE, ROW = 60, 80, 100  # bytes of a value
LARGE = 550  # of so many services one has 1,000 backends; the others 1 to 32
CHANGES, MACHINES = 15_000 / 86_400, (900 + 14_000) / 86_400  # a second, of the whole target
WITHIN_S, ALLOWED = 13.0, 21_000.0  # of the target: seconds for 99.9%, bytes a second in any minute


@dataclass(frozen=True, slots=True)
class Size:
    proxies: int = 2_200
    relays: int = 52  # one a zone, the others are spare
    zones: int = 50
    cells: int = 22
    services: int = 11_000
    follows: int = 200  # services of a proxy
    shuffled: float = 0.2  # part of these from outside its cell
    tenants: int = 200  # rows that a proxy has asked for, of twice as many in its cell
    times: float = 10.0  # the target's rate of changes

    @staticmethod
    def of(proxies: int, **other: Any) -> Size:
        """The target's proportions."""
        zones = max(REGIONS, proxies * 50 // 2_200)
        of = {"zones": zones, "relays": zones + 2, "cells": max(2, proxies // 100), "services": 5 * proxies}
        return Size(proxies, **{**of, **other})


class World:
    """What the origin holds at first, and what may change of it."""

    def __init__(self, size: Size, rng: Random) -> None:
        self.size, self.rng = size, rng
        self.services = [f"s{n}" for n in range(size.services)]
        self.rows = [f"t{c}.{k}" for c in range(size.cells) for k in range(2 * size.tenants)]
        self.backends: dict[str, int] = {}

    def first(self) -> list[ObjectChange]:
        rng, out = self.rng, []
        for n, name in enumerate(self.services):
            self.backends[name] = 1_000 if n % LARGE == LARGE // 2 else rng.randint(1, 32)
            items = {f"b{k}": rng.randbytes(BACKEND) for k in range(self.backends[name])}
            items |= {f"r{k}": rng.randbytes(ROUTE) for k in range(5 if rng.random() < 0.727 else 4)}
            out.append(ObjectChange(name, items))
        return out + [ObjectChange(name, {"row": rng.randbytes(ROW)}) for name in self.rows]

    def followed(self, number: int) -> tuple[str, ...]:
        size, rng = self.size, self.rng
        cell, whole = number % size.cells, size.follows
        mine = self.services[cell :: size.cells]
        names = dict.fromkeys(rng.sample(mine, min(len(mine), round(whole * (1 - size.shuffled)))))
        while len(names) < min(whole, len(self.services)):
            names[rng.choice(self.services)] = None
        rows = self.rows[cell * 2 * size.tenants : (cell + 1) * 2 * size.tenants]
        return (*names, *rng.sample(rows, size.tenants))

    def configured(self) -> ObjectChange:
        """One route or one tenant's row."""
        rng = self.rng
        if self.rows and rng.random() < 0.5:
            return ObjectChange(rng.choice(self.rows), {"row": rng.randbytes(ROW)})
        return ObjectChange(rng.choice(self.services), {f"r{rng.randrange(4)}": rng.randbytes(ROUTE)})

    def moved(self) -> tuple[ObjectChange, ObjectChange]:
        """A machine that goes, and the one that comes in its place."""
        name = self.rng.choice(self.services)
        item = f"b{self.rng.randrange(self.backends[name])}"
        new = {item: self.rng.randbytes(BACKEND)}
        return ObjectChange(name, removed=(item,)), ObjectChange(name, new)


class HollowOrigin(Origin):
    """With a `pump` (bytes a second of its processor) what it sends takes time, and what arrives waits."""

    def __init__(self, lab: Fleet, place: Participant, rules: Rules) -> None:
        self.fleet, self.ns, self.got = lab, 0, 0
        self.pump, self.waits, self.busy = inf, deque[relay.Event](), False
        super().__init__(lab, place, rules)

    def on_relay_event(self, event: relay.Event) -> None:
        if self.pump == inf:
            self._serve(self._step(event))
            return
        self.waits.append(event)
        if not self.busy:
            self._next()

    def _step(self, event: relay.Event) -> list[relay.Action]:
        began = process_time_ns()
        actions = self.relay.step(self.lab.engine.now, event)
        self.ns += self.fleet.spent("origin", began)
        return actions

    def _next(self) -> None:
        self.busy = bool(self.waits)
        if not self.busy:
            return
        actions = self._step(self.waits.popleft())
        sent = sum(wire_size(a.message) for a in actions if isinstance(a, relay.Transmit))
        self._serve(a for a in actions if not isinstance(a, relay.RequestTurn))
        wanted = any(isinstance(a, relay.RequestTurn) for a in actions)
        if wanted and not any(isinstance(event, relay.SendTurn) for event in self.waits):
            self.waits.append(relay.SendTurn())
        self.lab.engine.after(sent / self.pump, self._next)


class HollowRelay(RelayHost):
    def __init__(self, lab: Fleet, place: Participant, rules: Rules, rng: Random, warm: bool) -> None:
        self.fleet, self.ns, self.got = lab, 0, 0
        super().__init__(lab, place, (lab.top.place,), rules, rng)
        if warm:
            self.fleet.fill(self.node.subscriber.store, None)

    def _step(self, event: node.SubscriberEvent | node.RelayEvent) -> None:
        began = process_time_ns()
        actions = self.node.step(self.lab.engine.now, event)
        self.ns += self.fleet.spent("relay", began)
        self._out(actions)

    def on_relay_event(self, event: relay.Event) -> None:
        self._step(node.RelayEvent(event))

    def on_subscriber_event(self, event: subscriber.Event) -> None:
        self._step(node.SubscriberEvent(event))
        if isinstance(event, subscriber.Received) and isinstance(event.message, End):
            self.fleet.share(self.node.subscriber.store, exact=True)


class HollowProxy(Proxy):
    def __init__(
        self, lab: Fleet, place: Participant, names: tuple[str, ...], rules: Rules, rng: Random, warm: bool
    ) -> None:
        self.fleet, self.ns, self.got, self.quiet = lab, 0, 0, 0.0
        super().__init__(lab, place, lab.relays, names, rules, rng)
        if warm:
            self.fleet.fill(self.subscriber.store, names)
            self.subscriber.names = dict.fromkeys(names, True)

    def tick(self) -> None:
        if self.lab.engine.now < self.quiet:
            self.fleet.skipped += 1
        else:
            self.on_subscriber_event(subscriber.Tick())

    def _quiet(self) -> float:
        """Until when a step brings nothing, if nothing arrives."""
        core = self.subscriber
        main, rules = core.active_session, core.rules
        if main is None or main.state is not subscriber.State.LIVE or main.pings or main.staging is not None:
            return 0.0
        if (
            core.candidate_session is not None
            or rules.window_bytes - core.outstanding_credit >= subscriber.MIN_CREDIT_BYTES
        ):
            return 0.0
        return main.last_ping_at + rules.ping_s

    def on_subscriber_event(self, event: subscriber.Event) -> None:
        began = process_time_ns()
        actions = self.subscriber.step(self.lab.engine.now, event)
        self.ns += self.fleet.spent("proxy", began)
        self._follow(actions)
        self.quiet = 0.0
        if not isinstance(event, subscriber.Received) or not isinstance(event.message, End | Pong):
            return
        self.quiet = self._quiet()
        audit, now, name = self.fleet.audit, self.lab.engine.now, self.place.name
        if audit.since.get(name) == inf and self.subscriber.ready():
            audit.ready(now, name)
        if isinstance(event.message, End):
            self.fleet.share(self.subscriber.store, exact=False)
            audit.check(now, name, self.subscriber.store)


HollowHost = HollowOrigin | HollowRelay | HollowProxy


@dataclass(slots=True)
class Sampled:
    """Of one host at the last second."""

    host: HollowHost
    sent: int = 0
    got: int = 0
    sent_bytes: int = 0
    got_bytes: int = 0
    ns: int = 0


class Fleet(Lab):
    def __init__(self, seed: int, size: Size, rules: Rules | None = None) -> None:
        super().__init__(seed)
        self.size, self.rules, self.rng = size, rules or Rules(), Random(f"{seed}/hollow")
        self.world = World(size, Random(f"{seed}/world"))
        self.costs = {role: Cost() for role in ("origin", "relay", "proxy")}
        self.skipped = 0  # steps of proxies
        self.groups: list[dict[str, Host]] = [{} for _ in range(GROUPS)]
        self.sampled: dict[str, Sampled] = {}
        self.minutes = Minutes()
        self.top = HollowOrigin(
            self, Participant("origin", "r2"), Rules(bytes_per_s=20e6, burst_bytes=64e6, window_bytes=8e6)
        )
        self.top.store.commit(self.world.first())
        self.add(self.top)
        self.audit = Audit(self.top.store)
        self.relays = tuple(
            Participant(f"relay{n}", f"r{n % REGIONS}", f"z{n % size.zones}") for n in range(size.relays)
        )
        self.places = [Participant(f"p{n}", f"r{n % size.zones % REGIONS}", f"z{n % size.zones}")
                       for n in range(size.proxies)]  # fmt: skip
        self.names = {place.name: self.world.followed(n) for n, place in enumerate(self.places)}
        for place in self.places:
            for name in self.names[place.name]:
                self.audit.followers[name].append(place.name)
        for group in range(GROUPS):
            self.engine.after(TICK_S * group / GROUPS, lambda group=group: self._tick(group))  # type: ignore[misc]
        self.engine.after(1.0, self._sample)

    def begin(self) -> None:
        """All that ran before runs on with what it held."""
        for place in self.relays:
            self.start_relay(place, warm=True)
        self.engine.run(self.engine.now + 1.0)
        for place in self.places:
            self.start_proxy(place, warm=True)
        self.engine.run(self.engine.now + 4.0)

    def clear(self) -> None:
        """What was spent until now counts for nothing."""
        self.costs = {role: Cost() for role in self.costs}
        self.skipped = 0
        self.minutes = Minutes()

    def start_relay(self, place: Participant, warm: bool = False) -> None:
        self.add(HollowRelay(self, place, self.rules, Random(self.rng.random()), warm))

    def start_proxy(self, place: Participant, warm: bool = False) -> None:
        names = self.names[place.name]
        self.audit.start(self.engine.now, place.name, warm)
        self.add(HollowProxy(self, place, names, self.rules, Random(self.rng.random()), warm))

    def stop_proxy(self, name: str, silent: bool) -> None:
        self.audit.pending.pop(name, None)
        if silent:
            self.pause(name)
        else:
            self.kill(name)

    def commit(self, changes: list[ObjectChange]) -> None:
        names = list(dict.fromkeys(change.name for change in changes))
        self.audit.before(names)
        self.audit.after(self.engine.now, names, self.top.commit(changes))

    # Memory

    def fill(self, store: Store, names: tuple[str, ...] | None) -> None:
        top = self.top.store
        store.objects = dict(top.objects) if names is None else {n: top.objects[n] for n in names}
        store.revision, store.latest_version, store.deletion_floor = (
            top.revision,
            top.latest_version,
            top.revision,
        )

    def share(self, store: Store, exact: bool) -> None:
        """The newest objects, in place of what is like them at the origin. Relays hand theirs on by their
        stamps: there all must be alike."""
        top = self.top.store.objects
        found: list[tuple[str, StoredObject]] = []
        for name in reversed(store.objects):
            mine, other = store.objects[name], top.get(name)
            if mine is other:
                break
            if other is None or (mine.version, mine.checksum) != (other.version, other.checksum):
                continue
            if not exact or mine == other:
                found.append((name, other))
        for name, one in found:
            store.objects[name] = one

    # Counting

    def add(self, host: Host) -> None:
        name = host.place.name
        self.hosts[name] = host
        for group in self.groups:
            group.pop(name, None)
        self.groups[self.rng.randrange(GROUPS)][name] = host

    def _tick(self, group: int) -> None:
        self.engine.after(TICK_S, lambda: self._tick(group))
        for host in list(self.groups[group].values()):
            if host.running and not host.paused:
                host.tick()

    def idle_ns(self, times: int = 5_000) -> float:
        """Of a proxy's step of which nothing comes."""
        core, tick = next(h for h in self.hosts.values() if isinstance(h, HollowProxy)).subscriber, Tick()
        now, best = self.engine.now, float("inf")
        for _ in range(5):
            began = process_time_ns()
            for _ in range(times):
                core.step(now, tick)
            best = min(best, (process_time_ns() - began) / times)
        return best

    def spent(self, role: str, began: int) -> int:
        ns = process_time_ns() - began
        cost = self.costs[role]
        cost.ns += ns
        cost.steps += 1
        if ns > cost.longest_ns:
            cost.longest_ns = ns
        return ns

    def _arrive(self, stream: Stream, target: str, message: Message, size: int) -> None:
        host = self.hosts.get(target)
        if isinstance(host, HollowHost):
            host.got += 1
        super()._arrive(stream, target, message, size)

    def _sample(self) -> None:
        self.engine.after(1.0, self._sample)
        for name, host in self.hosts.items():
            assert isinstance(host, HollowHost)
            last = self.sampled.get(name)
            if last is None or last.host is not host:
                last = self.sampled[name] = Sampled(host)
            role = "proxy" if isinstance(host, HollowProxy) else "relay" if name != "origin" else "origin"
            cost, messages = self.costs[role], host.sent_messages - last.sent + host.got - last.got
            cost.frames += messages
            cost.peak_messages = max(cost.peak_messages, messages)
            cost.peak_ns = max(cost.peak_ns, host.ns - last.ns)
            cost.peak_bytes = max(cost.peak_bytes, host.sent_bytes - last.sent_bytes)
            if role == "proxy":
                self.minutes.rows[name].append(host.received_bytes - last.got_bytes)
            last.sent, last.got, last.ns = host.sent_messages, host.got, host.ns
            last.sent_bytes, last.got_bytes = host.sent_bytes, host.received_bytes
