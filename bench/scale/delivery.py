"""Measures the cost of delivery for a proxy, a relay and the origin, over their objects and subscribers.

Most series come from one relay core and one subscriber core, connected without latency, where each message is
encoded and decoded. The others come from a simulated fleet with one relay, or with relays only. Processor
time is that of the cores' steps. There are no sockets; encoding and sealing have series of their own, by
frame.
"""

from __future__ import annotations

import gc
import tracemalloc
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from random import Random
from time import process_time, process_time_ns

from bench.hollow import BACKEND_BYTES, ROUTE_BYTES, ROW_BYTES, Fleet, Size
from bench.scale.data import Series, load
from flintlatch.delivery import relay, subscriber, wire
from flintlatch.delivery.model import (
    RELAY_RULES,
    Begin,
    End,
    Message,
    ObjectChange,
    ObjectPart,
    Participant,
    Role,
    Rules,
    wire_size,
)
from flintlatch.delivery.store import Store
from flintlatch.peers.seal import StreamSeal

FOLLOWED_COUNTS, FOLLOWED_COUNTS_SMALL = (2, 20, 200, 2_000), (2, 20)
BACKEND_COUNTS, BACKEND_COUNTS_SMALL = (2_000, 9_000, 42_000, 200_000), (180, 1_800)
ROUTE_COUNTS, TENANT_COUNTS = (520, 2_400, 11_000, 52_000), (3_900, 18_000, 84_000, 390_000)
SUBSCRIBER_COUNTS, SUBSCRIBER_COUNTS_SMALL = (4, 44, 120, 400), (2, 8)
RELAY_COUNTS, RELAY_COUNTS_SMALL = (2, 10, 52, 200), (1, 4)
# bytes of the items of an ObjectPart
FRAME_BYTES, FRAME_BYTES_SMALL = (160, 1_000, 4_000, 16_000), (160, 1_000)
TENANTS_PER_BUCKET = 30  # tenants per object, in the runs that group them
IDLE_S, MAX_WAIT_S = 60.0, 3_600.0
BACKENDS_PER_SERVICE, ROUTES_PER_SERVICE = 18, 5
# changes of one service: routes, removed backends and their replacements
CHANGES_PER_SERVICE_PER_S = 45_000 / 86_400 / 11_000

Objects = list[ObjectChange]


def make_services(
    count: int, rng: Random, backends: int = BACKENDS_PER_SERVICE, routes: int = ROUTES_PER_SERVICE
) -> Objects:
    return [
        ObjectChange(
            f"s{n}",
            {f"b{k}": rng.randbytes(BACKEND_BYTES) for k in range(backends)}
            | {f"r{k}": rng.randbytes(ROUTE_BYTES) for k in range(routes)},
        )
        for n in range(count)
    ]


class DirectLink:
    """One relay core and one subscriber core, connected without latency."""

    def __init__(self, store: Store, names: Iterable[str] | None) -> None:
        self.now, self.store = 0.0, store
        self.spent_ns = {"relay": 0, "subscriber": 0}
        self.longest_ns = {"relay": 0, "subscriber": 0}
        self.received_bytes: dict[str, int] = {}  # bytes received by the subscriber, by message type
        self.encoded = 0
        self.in_transit: deque[Callable[[], None]] = deque()  # calls for the messages in transit
        everything = names is None
        rules = RELAY_RULES if everything else Rules()
        self.relay = relay.Relay("above", store, rules, lambda now: 0.0, is_origin=True)
        role = Role.RELAY if everything else Role.PROXY
        me, above = Participant("below"), (Participant("above"),)
        self.subscriber = subscriber.Subscriber(me, role, above, rules, Random(1), 0.0, everything)
        if names is not None:
            self._up(subscriber.Follow(tuple(names)))
            self._run()

    def _timed(self, role: str, began: int) -> None:
        ns = process_time_ns() - began
        self.spent_ns[role] += ns
        self.longest_ns[role] = max(self.longest_ns[role], ns)

    def _down(self, event: relay.Event) -> None:
        began = process_time_ns()
        actions = self.relay.step(self.now, event)
        self._timed("relay", began)
        for action in actions:
            if isinstance(action, relay.Transmit):
                data = wire.encode(action.message)
                kind = type(action.message).__name__
                self.received_bytes[kind] = self.received_bytes.get(kind, 0) + wire_size(action.message)
                self.encoded += len(data) + wire.SEAL_OVERHEAD_BYTES
                self.in_transit.append(partial(self._read, data))
            elif isinstance(action, relay.RequestTurn):
                self.in_transit.append(partial(self._down, relay.SendTurn()))
            else:
                raise RuntimeError(str(action))

    def _read(self, data: bytes) -> None:
        self._up(subscriber.Received(1, wire.from_relay(data)))

    def _up(self, event: subscriber.Event) -> None:
        began = process_time_ns()
        actions = self.subscriber.step(self.now, event)
        self._timed("subscriber", began)
        for action in actions:
            if isinstance(action, subscriber.Transmit):
                message = wire.from_subscriber(wire.encode(action.message))
                self.in_transit.append(partial(self._down, relay.Received(1, message)))
            elif isinstance(action, subscriber.Connect):
                self.in_transit.append(partial(self._down, relay.Accepted(1)))
                self.in_transit.append(partial(self._up, subscriber.Connected(1)))
            elif isinstance(action, subscriber.Disconnect):
                raise RuntimeError(str(action))

    def _run(self) -> None:
        """Delivers all messages in transit, in order."""
        while self.in_transit:
            self.in_transit.popleft()()

    def commit(self, changes: Iterable[ObjectChange]) -> None:
        self._down(relay.Committed(tuple(self.store.commit(changes))))
        self._run()

    def tick(self) -> None:
        self.now += 0.1
        self._up(subscriber.Tick())
        self._down(relay.Tick())
        self._run()

    def run_until(self, over: Callable[[], bool]) -> float:
        began = self.now
        while not over():
            self.tick()
            if self.now - began > MAX_WAIT_S:
                raise RuntimeError("not within an hour")
        return self.now - began

    def is_ready(self) -> bool:
        return self.subscriber.ready()

    def total_bytes(self) -> int:
        return sum(self.received_bytes.values())


def measure_memory(changes: Objects, everything: bool) -> tuple[float, float, DirectLink]:
    """Memory in bytes of a subscriber with these objects, and its peak during the transfer."""
    store = Store()
    store.commit(changes)
    gc.collect()
    link = DirectLink(store, None if everything else [change.name for change in changes])
    tracemalloc.start()
    link.run_until(link.is_ready)
    now, peak = tracemalloc.get_traced_memory()
    # The relay's session is not part of the subscriber's memory.
    link.relay.sessions.clear()
    link.relay.followers.clear()
    gc.collect()
    now = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(now), float(peak), link


def measure_proxy(seed: int, size: int, idle_s: float) -> dict[str, float]:
    rng, store = Random(f"{seed}/{size}"), Store()
    changes = make_services(size, rng)
    now, peak, _ = measure_memory(changes, False)
    figures = {"proxy_memory_bytes": now, "proxy_peak_bytes": peak}
    store.commit(changes)
    link = DirectLink(store, [change.name for change in changes])
    figures["snapshot_s"] = link.run_until(link.is_ready)
    figures["snapshot_bytes"] = link.total_bytes()
    figures["snapshot_encoded_bytes"] = link.encoded
    figures["snapshot_step_ms"] = link.longest_ns["subscriber"] / 1e6
    link.run_until(lambda: link.subscriber.tokens > 200_000)
    before, began, spent = link.total_bytes(), link.now, link.spent_ns["subscriber"]
    link.longest_ns["subscriber"] = 0
    link.run_until(lambda: link.now - began >= idle_s)
    lasted = link.now - began
    figures["rest_bytes_per_s"] = (link.total_bytes() - before) / lasted
    figures["proxy_rest_core"] = (link.spent_ns["subscriber"] - spent) / 1e9 / lasted
    figures["proxy_longest_step_ms"] = link.longest_ns["subscriber"] / 1e6
    link.received_bytes.clear()
    link.commit([ObjectChange("s1", {"b7": rng.randbytes(BACKEND_BYTES)})])
    link.run_until(lambda: link.subscriber.store.revision == store.revision)
    figures["change_bytes"] = sum(link.received_bytes[kind.__name__] for kind in (Begin, ObjectPart, End))
    began, spent, pending_changes = link.now, link.spent_ns["subscriber"], 0.0
    while link.now - began < idle_s:
        pending_changes += 0.1 * CHANGES_PER_SERVICE_PER_S * size
        while pending_changes > rng.random():
            pending_changes -= 1
            item = {f"b{rng.randrange(BACKENDS_PER_SERVICE)}": rng.randbytes(BACKEND_BYTES)}
            link.commit([ObjectChange(f"s{rng.randrange(size)}", item)])
        link.tick()
    figures["proxy_core"] = (link.spent_ns["subscriber"] - spent) / 1e9 / (link.now - began)
    return figures


def measure_relay(seed: int, kind: str, size: int) -> dict[str, float]:
    """Measures a relay that starts empty and takes a full snapshot from its upstream."""
    rng, store = Random(f"{seed}/{kind}/{size}"), Store()
    if kind == "backends":
        changes = make_services(size // BACKENDS_PER_SERVICE, rng, routes=0)
    elif kind == "routes":
        changes = make_services(size // ROUTES_PER_SERVICE, rng, backends=0)
    else:
        each = TENANTS_PER_BUCKET if kind == "bucketed" else 1
        changes = [
            ObjectChange(f"t{n}", {f"{n}.{k}": rng.randbytes(ROW_BYTES) for k in range(each)})
            for n in range(size // each)
        ]
    now, peak, _ = measure_memory(changes, True)
    store.commit(changes)
    link = DirectLink(store, None)
    link.run_until(link.is_ready)
    return {
        "memory_bytes": now,
        "peak_bytes": peak,
        "snapshot_bytes": link.total_bytes(),
        "snapshot_step_ms": link.longest_ns["subscriber"] / 1e6,
        "snapshot_cpu_s": link.spent_ns["subscriber"] / 1e9,
        "snapshot_above_s": link.spent_ns["relay"] / 1e9,
    }


def measure_fleet(seed: int, size: Size, role: str, seconds: float) -> tuple[float, float, float]:
    """The fractions of a core at rest and at the target's rate of changes, and the longest step in ms."""
    fleet = Fleet(seed, size)
    fleet.begin()
    cores, longest = [], 0.0
    for changing in (False, True):
        fleet.clear()
        rng = Random(f"{seed}/changes")
        for n in range(round(CHANGES_PER_SERVICE_PER_S * size.services * seconds) if changing else 0):
            change = fleet.world.change_configuration() if n % 3 else fleet.world.replace_backend()[1]
            fleet.engine.after(rng.random() * seconds, lambda change=change: fleet.commit([change]))  # type: ignore[misc]  # noqa: B023
        gc.collect()
        gc.disable()
        fleet.engine.run(fleet.engine.now + seconds)
        gc.enable()
        cost = fleet.costs[role]
        cores.append(cost.ns / 1e9 / seconds)
        longest = max(longest, cost.longest_ns / 1e6)
    return cores[0], cores[1], longest


def measure_sealing(sizes: tuple[int, ...], times: int = 400) -> tuple[list[float], list[float]]:
    """Processor time in us to encode and seal an ObjectPart, and to open and decode it; best of five runs."""
    seal_times_us, open_times_us = [], []
    for size in sizes:
        items = {f"b{n}": bytes(BACKEND_BYTES) for n in range(max(1, size // (BACKEND_BYTES + 12)))}
        message: Message = ObjectPart("s1", 1, 1 << 40, items, (), 18, 1 << 60, False)
        sealing_us, opening_us = [], []
        for _ in range(5):
            sender, receiver = (
                StreamSeal(bytes(32), b"a" * 16, b"b" * 16, initiates) for initiates in (True, False)
            )
            began = process_time()
            frames = [sender.encrypt(wire.encode(message)) for _ in range(times)]
            between = process_time()
            for frame in frames:
                wire.from_relay(receiver.decrypt(frame))
            sealing_us.append((between - began) / times * 1e6)
            opening_us.append((process_time() - between) / times * 1e6)
        seal_times_us.append(min(sealing_us))
        open_times_us.append(min(opening_us))
    return seal_times_us, open_times_us


NOTES = {
    "proxy_memory_bytes": (
        "bytes",
        "tracemalloc, one subscriber's state; 18 backends and 5 routes a service",
    ),
    "proxy_peak_bytes": (
        "bytes",
        "tracemalloc, the most while the snapshot came, its relay's session within",
    ),
    "proxy_rest_core": ("of a core", "steps of the core"),
    "proxy_core": ("of a core", "steps of the core, with the target's changes of what it follows"),
    "proxy_longest_step_ms": ("ms", "at rest"),
    "snapshot_step_ms": ("ms", "longest step of the proxy while its snapshot came: the last frame"),
    "rest_bytes_per_s": ("bytes/s", "received, counted as sent at most"),
    "change_bytes": ("bytes", "one backend changed: begin, part, end; counted as sent at most"),
    "snapshot_bytes": ("bytes", "counted as sent at most"),
    "snapshot_encoded_bytes": ("bytes", "as encoded, with length and seal"),
    "snapshot_s": ("s", "virtual time, paced by credit"),
}


RELAY_NOTES = {
    "memory_bytes": ("bytes", "tracemalloc; without its subscribers"),
    "peak_bytes": ("bytes", "tracemalloc; while all came from nothing"),
    "snapshot_bytes": ("bytes", "counted as sent at most"),
    "snapshot_step_ms": ("ms", "its longest step while all came from nothing: the last frame"),
    "snapshot_cpu_s": ("s", "processor time of its steps until it held all"),
    "snapshot_above_s": ("s", "processor time of the one above's steps for it, without sealing"),
}


def run(seed: int, small: bool) -> list[Series]:
    load_at_start = load()
    series: list[Series] = []

    def add(
        what: str, varied: str, unit: str, sizes: Iterable[float], values: Iterable[float], note: str
    ) -> None:
        points = tuple(zip(map(float, sizes), values, strict=True))
        series.append(
            Series(f"delivery.{what}", varied, unit, points, "hollow", {}, seed, load_at_start, note)
        )

    followed_names = FOLLOWED_COUNTS_SMALL if small else FOLLOWED_COUNTS
    figures_by_size = [measure_proxy(seed, size, 5.0 if small else IDLE_S) for size in followed_names]
    for what, (unit, note) in NOTES.items():
        add(
            what,
            "services followed",
            unit,
            followed_names,
            [figures[what] for figures in figures_by_size],
            note,
        )
    counts_by_kind = (
        {"backends": BACKEND_COUNTS_SMALL}
        if small
        else {
            "backends": BACKEND_COUNTS,
            "routes": ROUTE_COUNTS,
            "tenants": TENANT_COUNTS,
            "bucketed": TENANT_COUNTS,
        }
    )
    for kind, sizes in counts_by_kind.items():
        found = [measure_relay(seed, kind, n) for n in sizes]
        name = "relay" if kind == "backends" else f"relay_{kind}"
        varied = f"tenants, {TENANTS_PER_BUCKET} an object" if kind == "bucketed" else kind
        for what, (unit, note) in RELAY_NOTES.items():
            add(f"{name}_{what}", varied, unit, sizes, [figures[what] for figures in found], note)
    base_size = Size(0, 1, 1, 1, 40 if small else 11_000, 20 if small else 200, 0.2, 4)
    sizes = SUBSCRIBER_COUNTS_SMALL if small else SUBSCRIBER_COUNTS
    seconds = 2.0 if small else 15.0
    rows = [measure_fleet(seed, replace(base_size, proxies=n), "relay", seconds) for n in sizes]
    note = "steps of one relay's core; each subscriber follows 200 services"
    add("relay_rest_core", "subscribers", "of a core", sizes, [row[0] for row in rows], note)
    add(
        "relay_core",
        "subscribers",
        "of a core",
        sizes,
        [row[1] for row in rows],
        note + "; the target's changes",
    )
    add("longest_step_ms", "subscribers", "ms", sizes, [row[2] for row in rows], note)
    sizes = RELAY_COUNTS_SMALL if small else RELAY_COUNTS
    rows = [measure_fleet(seed, replace(base_size, relays=n), "origin", seconds) for n in sizes]
    note = "steps of the origin's core"
    add("origin_rest_core", "relays", "of a core", sizes, [row[0] for row in rows], note)
    add(
        "origin_core", "relays", "of a core", sizes, [row[1] for row in rows], note + "; the target's changes"
    )
    add("origin_longest_step_ms", "relays", "ms", sizes, [row[2] for row in rows], note)
    sizes = FRAME_BYTES_SMALL if small else FRAME_BYTES
    seal_times_us, open_times_us = measure_sealing(sizes)
    add("seal_us", "bytes of a frame", "us", sizes, seal_times_us, "a part encoded and sealed; least of five")
    add("open_us", "bytes of a frame", "us", sizes, open_times_us, "a part opened and read; least of five")
    return series
