"""Simulates a fleet in virtual time: the real delivery cores of an origin, relays and proxies.

The stored objects are real; there are no sockets and no sealing. Equal objects are shared by all hosts to
save memory, which has no other effect, as objects are replaced and never modified. Relays and proxies start
with the objects of an earlier run. All hosts are stepped every 0.1 s, in ten groups of one event each. A
proxy's step that would have no effect is skipped, but counted at its usual cost.
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
TICK_GROUPS = 10  # groups of hosts, each stepped by one event
BACKEND_BYTES, ROUTE_BYTES, ROW_BYTES = 60, 80, 100  # sizes of a value
SERVICES_PER_LARGE_ONE = 550  # one service in 550 has 1,000 backends, the others 1 to 32
# for all services of the target
CONFIGURATION_CHANGES_PER_S, MACHINE_CHANGES_PER_S = 15_000 / 86_400, (900 + 14_000) / 86_400
MAX_STALENESS_S, MAX_BYTES_PER_S = 13.0, 21_000.0  # the target: for 99.9% of changes; in any minute


@dataclass(frozen=True, slots=True)
class Size:
    proxies: int = 2_200
    relays: int = 52  # one per zone and spares
    zones: int = 50
    cells: int = 22
    services: int = 11_000
    follows: int = 200  # services followed by each proxy
    shuffled: float = 0.2  # fraction of these from other cells
    tenants: int = 200  # rows that each proxy follows, half of those of its cell
    times: float = 10.0  # multiple of the target's rate of changes

    @staticmethod
    def of(proxies: int, **other: Any) -> Size:
        """A fleet of this many proxies with the proportions of the target."""
        zones = max(REGIONS, proxies * 50 // 2_200)
        of = {"zones": zones, "relays": zones + 2, "cells": max(2, proxies // 100), "services": 5 * proxies}
        return Size(proxies, **{**of, **other})


class World:
    """The initial objects of the origin, and the changes that may be made to them."""

    def __init__(self, size: Size, rng: Random) -> None:
        self.size, self.rng = size, rng
        self.services = [f"s{n}" for n in range(size.services)]
        self.rows = [f"t{c}.{k}" for c in range(size.cells) for k in range(2 * size.tenants)]
        self.backends: dict[str, int] = {}

    def initial_objects(self) -> list[ObjectChange]:
        rng, out = self.rng, []
        for n, name in enumerate(self.services):
            self.backends[name] = (
                1_000 if n % SERVICES_PER_LARGE_ONE == SERVICES_PER_LARGE_ONE // 2 else rng.randint(1, 32)
            )
            items = {f"b{k}": rng.randbytes(BACKEND_BYTES) for k in range(self.backends[name])}
            items |= {f"r{k}": rng.randbytes(ROUTE_BYTES) for k in range(5 if rng.random() < 0.727 else 4)}
            out.append(ObjectChange(name, items))
        return out + [ObjectChange(name, {"row": rng.randbytes(ROW_BYTES)}) for name in self.rows]

    def followed_names(self, number: int) -> tuple[str, ...]:
        size, rng = self.size, self.rng
        cell, service_count = number % size.cells, size.follows
        cell_services = self.services[cell :: size.cells]
        names = dict.fromkeys(
            rng.sample(cell_services, min(len(cell_services), round(service_count * (1 - size.shuffled))))
        )
        while len(names) < min(service_count, len(self.services)):
            names[rng.choice(self.services)] = None
        rows = self.rows[cell * 2 * size.tenants : (cell + 1) * 2 * size.tenants]
        return (*names, *rng.sample(rows, size.tenants))

    def change_configuration(self) -> ObjectChange:
        """Changes one route or the row of one tenant."""
        rng = self.rng
        if self.rows and rng.random() < 0.5:
            return ObjectChange(rng.choice(self.rows), {"row": rng.randbytes(ROW_BYTES)})
        return ObjectChange(rng.choice(self.services), {f"r{rng.randrange(4)}": rng.randbytes(ROUTE_BYTES)})

    def replace_backend(self) -> tuple[ObjectChange, ObjectChange]:
        """Removes one backend; the second change adds its replacement."""
        name = self.rng.choice(self.services)
        item = f"b{self.rng.randrange(self.backends[name])}"
        new = {item: self.rng.randbytes(BACKEND_BYTES)}
        return ObjectChange(name, removed=(item,)), ObjectChange(name, new)


class SimulatedOrigin(Origin):
    """An origin whose sending can be limited to `send_bytes_per_s`; events then wait while it sends."""

    def __init__(self, lab: Fleet, participant: Participant, rules: Rules) -> None:
        self.fleet, self.ns, self.received_messages = lab, 0, 0
        self.send_bytes_per_s, self.queued, self.is_sending = inf, deque[relay.Event](), False
        super().__init__(lab, participant, rules)

    def on_relay_event(self, event: relay.Event) -> None:
        if self.send_bytes_per_s == inf:
            self._serve(self._step(event))
            return
        self.queued.append(event)
        if not self.is_sending:
            self._next()

    def _step(self, event: relay.Event) -> list[relay.Action]:
        began = process_time_ns()
        actions = self.relay.step(self.lab.engine.now, event)
        self.ns += self.fleet.spent("origin", began)
        return actions

    def _next(self) -> None:
        self.is_sending = bool(self.queued)
        if not self.is_sending:
            return
        actions = self._step(self.queued.popleft())
        sent = sum(wire_size(a.message) for a in actions if isinstance(a, relay.Transmit))
        self._serve(a for a in actions if not isinstance(a, relay.RequestTurn))
        wanted = any(isinstance(a, relay.RequestTurn) for a in actions)
        if wanted and not any(isinstance(event, relay.SendTurn) for event in self.queued):
            self.queued.append(relay.SendTurn())
        self.lab.engine.after(sent / self.send_bytes_per_s, self._next)


class SimulatedRelay(RelayHost):
    def __init__(self, lab: Fleet, participant: Participant, rules: Rules, rng: Random, warm: bool) -> None:
        self.fleet, self.ns, self.received_messages = lab, 0, 0
        super().__init__(lab, participant, (lab.top.place,), rules, rng)
        if warm:
            self.fleet.fill_store(self.node.subscriber.store, None)

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
            self.fleet.share_objects(self.node.subscriber.store, exact=True)


class SimulatedProxy(Proxy):
    def __init__(
        self,
        lab: Fleet,
        participant: Participant,
        names: tuple[str, ...],
        rules: Rules,
        rng: Random,
        warm: bool,
    ) -> None:
        self.fleet, self.ns, self.received_messages, self.idle_until = lab, 0, 0, 0.0
        super().__init__(lab, participant, lab.relays, names, rules, rng)
        if warm:
            self.fleet.fill_store(self.subscriber.store, names)
            self.subscriber.names = dict.fromkeys(names, True)

    def tick(self) -> None:
        if self.lab.engine.now < self.idle_until:
            self.fleet.skipped_steps += 1
        else:
            self.on_subscriber_event(subscriber.Tick())

    def _idle_until(self) -> float:
        """The time until which a step has no effect unless a message arrives."""
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
        self.idle_until = 0.0
        if not isinstance(event, subscriber.Received) or not isinstance(event.message, End | Pong):
            return
        self.idle_until = self._idle_until()
        audit, now, name = self.fleet.audit, self.lab.engine.now, self.place.name
        if audit.counted_from.get(name) == inf and self.subscriber.ready():
            audit.ready(now, name)
        if isinstance(event.message, End):
            self.fleet.share_objects(self.subscriber.store, exact=False)
            audit.check(now, name, self.subscriber.store)


SimulatedHost = SimulatedOrigin | SimulatedRelay | SimulatedProxy


@dataclass(slots=True)
class HostSample:
    """The counters of one host at the last sample."""

    host: SimulatedHost
    sent: int = 0
    received_messages: int = 0
    sent_bytes: int = 0
    got_bytes: int = 0
    ns: int = 0


class Fleet(Lab):
    def __init__(self, seed: int, size: Size, rules: Rules | None = None) -> None:
        super().__init__(seed)
        self.size, self.rules, self.rng = size, rules or Rules(), Random(f"{seed}/hollow")
        self.world = World(size, Random(f"{seed}/world"))
        self.costs = {role: Cost() for role in ("origin", "relay", "proxy")}
        self.skipped_steps = 0  # steps of proxies without effect
        self.groups: list[dict[str, Host]] = [{} for _ in range(TICK_GROUPS)]
        self.host_samples: dict[str, HostSample] = {}
        self.received_by_second = Minutes()
        self.top = SimulatedOrigin(
            self, Participant("origin", "r2"), Rules(bytes_per_s=20e6, burst_bytes=64e6, window_bytes=8e6)
        )
        self.top.store.commit(self.world.initial_objects())
        self.add(self.top)
        self.audit = Audit(self.top.store)
        self.relays = tuple(
            Participant(f"relay{n}", f"r{n % REGIONS}", f"z{n % size.zones}") for n in range(size.relays)
        )
        self.proxy_participants = [Participant(f"p{n}", f"r{n % size.zones % REGIONS}", f"z{n % size.zones}")
                       for n in range(size.proxies)]  # fmt: skip
        self.names = {
            participant.name: self.world.followed_names(n)
            for n, participant in enumerate(self.proxy_participants)
        }
        for participant in self.proxy_participants:
            for name in self.names[participant.name]:
                self.audit.followers[name].append(participant.name)
        for group in range(TICK_GROUPS):
            self.engine.after(TICK_S * group / TICK_GROUPS, lambda group=group: self._tick(group))  # type: ignore[misc]
        self.engine.after(1.0, self._sample)

    def begin(self) -> None:
        """Starts all relays and proxies with the origin's objects, as if they had run before."""
        for participant in self.relays:
            self.start_relay(participant, warm=True)
        self.engine.run(self.engine.now + 1.0)
        for participant in self.proxy_participants:
            self.start_proxy(participant, warm=True)
        self.engine.run(self.engine.now + 4.0)

    def clear(self) -> None:
        """Resets the costs."""
        self.costs = {role: Cost() for role in self.costs}
        self.skipped_steps = 0
        self.received_by_second = Minutes()

    def start_relay(self, participant: Participant, warm: bool = False) -> None:
        self.add(SimulatedRelay(self, participant, self.rules, Random(self.rng.random()), warm))

    def start_proxy(self, participant: Participant, warm: bool = False) -> None:
        names = self.names[participant.name]
        self.audit.start(self.engine.now, participant.name, warm)
        self.add(SimulatedProxy(self, participant, names, self.rules, Random(self.rng.random()), warm))

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

    def fill_store(self, store: Store, names: tuple[str, ...] | None) -> None:
        top = self.top.store
        store.objects = dict(top.objects) if names is None else {n: top.objects[n] for n in names}
        store.revision, store.latest_version, store.deletion_floor = (
            top.revision,
            top.latest_version,
            top.revision,
        )

    def share_objects(self, store: Store, exact: bool) -> None:
        """Replaces the newest objects by equal ones of the origin.

        `exact` compares all of an object, as relays need: they forward items by their versions.
        """
        top = self.top.store.objects
        equal: list[tuple[str, StoredObject]] = []
        for name in reversed(store.objects):
            own, other = store.objects[name], top.get(name)
            if own is other:
                break
            if other is None or (own.version, own.checksum) != (other.version, other.checksum):
                continue
            if not exact or own == other:
                equal.append((name, other))
        for name, stored in equal:
            store.objects[name] = stored

    # Counting

    def add(self, host: Host) -> None:
        name = host.place.name
        self.hosts[name] = host
        for group in self.groups:
            group.pop(name, None)
        self.groups[self.rng.randrange(TICK_GROUPS)][name] = host

    def _tick(self, group: int) -> None:
        self.engine.after(TICK_S, lambda: self._tick(group))
        for host in list(self.groups[group].values()):
            if host.running and not host.paused:
                host.tick()

    def idle_ns(self, times: int = 5_000) -> float:
        """The processor time in ns of a proxy's step without effect."""
        core, tick = next(h for h in self.hosts.values() if isinstance(h, SimulatedProxy)).subscriber, Tick()
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
        if isinstance(host, SimulatedHost):
            host.received_messages += 1
        super()._arrive(stream, target, message, size)

    def _sample(self) -> None:
        self.engine.after(1.0, self._sample)
        for name, host in self.hosts.items():
            assert isinstance(host, SimulatedHost)
            last = self.host_samples.get(name)
            if last is None or last.host is not host:
                last = self.host_samples[name] = HostSample(host)
            role = "proxy" if isinstance(host, SimulatedProxy) else "relay" if name != "origin" else "origin"
            cost, messages = (
                self.costs[role],
                host.sent_messages - last.sent + host.received_messages - last.received_messages,
            )
            cost.frames += messages
            cost.peak_messages = max(cost.peak_messages, messages)
            cost.peak_ns = max(cost.peak_ns, host.ns - last.ns)
            cost.peak_bytes = max(cost.peak_bytes, host.sent_bytes - last.sent_bytes)
            if role == "proxy":
                self.received_by_second.rows[name].append(host.received_bytes - last.got_bytes)
            last.sent, last.received_messages, last.ns = host.sent_messages, host.received_messages, host.ns
            last.sent_bytes, last.got_bytes = host.sent_bytes, host.received_bytes
