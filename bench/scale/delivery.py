"""What delivery costs a proxy, a relay and the origin, over what they hold and whom they serve.

One relay's core and one subscriber's stand for most of it, each message made into bytes and read again, with
no time between them; a hollow fleet with one relay, or with relays alone, for the rest. Processor time is
that of the cores' steps. Sockets are not there; encoding and sealing have series of their own, by frame.
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

from bench.hollow import BACKEND, ROUTE, ROW, Fleet, Size
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

FOLLOWED, FOLLOWED_SMALL = (2, 20, 200, 2_000), (2, 20)
BACKENDS, BACKENDS_SMALL = (2_000, 9_000, 42_000, 200_000), (180, 1_800)
ROUTES, TENANTS = (520, 2_400, 11_000, 52_000), (3_900, 18_000, 84_000, 390_000)
SUBSCRIBERS, SUBSCRIBERS_SMALL = (4, 44, 120, 400), (2, 8)
RELAYS, RELAYS_SMALL = (2, 10, 52, 200), (1, 4)
FRAMES, FRAMES_SMALL = (160, 1_000, 4_000, 16_000), (160, 1_000)  # bytes of a part's items
A_BUCKET = 30  # tenants of one object, where they are not an object each
REST_S, WAIT_S = 60.0, 3_600.0
A_SERVICE, ROUTES_A_SERVICE = 18, 5
OF_DAY = (
    45_000 / 86_400 / 11_000
)  # changes a second of one service: a route, a backend gone, one in its place

Objects = list[ObjectChange]


def services(count: int, rng: Random, backends: int = A_SERVICE, routes: int = ROUTES_A_SERVICE) -> Objects:
    return [
        ObjectChange(
            f"s{n}",
            {f"b{k}": rng.randbytes(BACKEND) for k in range(backends)}
            | {f"r{k}": rng.randbytes(ROUTE) for k in range(routes)},
        )
        for n in range(count)
    ]


class Line:
    """One relay's core and one subscriber's."""

    def __init__(self, store: Store, names: Iterable[str] | None) -> None:
        self.now, self.store = 0.0, store
        self.spent = {"relay": 0, "subscriber": 0}
        self.longest = {"relay": 0, "subscriber": 0}
        self.got: dict[str, int] = {}  # bytes that the subscriber received, by the message's kind
        self.encoded = 0
        self.waits: deque[Callable[[], None]] = deque()  # on their way
        everything = names is None
        rules = RELAY_RULES if everything else Rules()
        self.relay = relay.Relay("above", store, rules, lambda now: 0.0, is_origin=True)
        role = Role.RELAY if everything else Role.PROXY
        me, above = Participant("below"), (Participant("above"),)
        self.subscriber = subscriber.Subscriber(me, role, above, rules, Random(1), 0.0, everything)
        if names is not None:
            self._up(subscriber.Follow(tuple(names)))
            self._run()

    def _timed(self, who: str, began: int) -> None:
        ns = process_time_ns() - began
        self.spent[who] += ns
        self.longest[who] = max(self.longest[who], ns)

    def _down(self, event: relay.Event) -> None:
        began = process_time_ns()
        actions = self.relay.step(self.now, event)
        self._timed("relay", began)
        for action in actions:
            if isinstance(action, relay.Transmit):
                data = wire.encode(action.message)
                kind = type(action.message).__name__
                self.got[kind] = self.got.get(kind, 0) + wire_size(action.message)
                self.encoded += len(data) + wire.SEAL_OVERHEAD_BYTES
                self.waits.append(partial(self._read, data))
            elif isinstance(action, relay.RequestTurn):
                self.waits.append(partial(self._down, relay.SendTurn()))
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
                self.waits.append(partial(self._down, relay.Received(1, message)))
            elif isinstance(action, subscriber.Connect):
                self.waits.append(partial(self._down, relay.Accepted(1)))
                self.waits.append(partial(self._up, subscriber.Connected(1)))
            elif isinstance(action, subscriber.Disconnect):
                raise RuntimeError(str(action))

    def _run(self) -> None:
        """All that follows, in its order."""
        while self.waits:
            self.waits.popleft()()

    def commit(self, changes: Iterable[ObjectChange]) -> None:
        self._down(relay.Committed(tuple(self.store.commit(changes))))
        self._run()

    def tick(self) -> None:
        self.now += 0.1
        self._up(subscriber.Tick())
        self._down(relay.Tick())
        self._run()

    def until(self, over: Callable[[], bool]) -> float:
        began = self.now
        while not over():
            self.tick()
            if self.now - began > WAIT_S:
                raise RuntimeError("not within an hour")
        return self.now - began

    def ready(self) -> bool:
        return self.subscriber.ready()

    def bytes(self) -> int:
        return sum(self.got.values())


def held(changes: Objects, everything: bool) -> tuple[float, float, Line]:
    """Bytes that a subscriber has for these objects, and at the most while they came."""
    store = Store()
    store.commit(changes)
    gc.collect()
    line = Line(store, None if everything else [change.name for change in changes])
    tracemalloc.start()
    line.until(line.ready)
    now, peak = tracemalloc.get_traced_memory()
    # What the relay keeps of its one subscriber is not the subscriber's.
    line.relay.sessions.clear()
    line.relay.followers.clear()
    gc.collect()
    now = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(now), float(peak), line


def of_proxy(seed: int, size: int, rest_s: float) -> dict[str, float]:
    rng, store = Random(f"{seed}/{size}"), Store()
    changes = services(size, rng)
    now, peak, _ = held(changes, False)
    got = {"proxy_memory_bytes": now, "proxy_peak_bytes": peak}
    store.commit(changes)
    line = Line(store, [change.name for change in changes])
    got["snapshot_s"] = line.until(line.ready)
    got["snapshot_bytes"] = line.bytes()
    got["snapshot_encoded_bytes"] = line.encoded
    got["snapshot_step_ms"] = line.longest["subscriber"] / 1e6
    line.until(lambda: line.subscriber.tokens > 200_000)
    before, began, spent = line.bytes(), line.now, line.spent["subscriber"]
    line.longest["subscriber"] = 0
    line.until(lambda: line.now - began >= rest_s)
    lasted = line.now - began
    got["rest_bytes_per_s"] = (line.bytes() - before) / lasted
    got["proxy_rest_core"] = (line.spent["subscriber"] - spent) / 1e9 / lasted
    got["proxy_longest_step_ms"] = line.longest["subscriber"] / 1e6
    line.got.clear()
    line.commit([ObjectChange("s1", {"b7": rng.randbytes(BACKEND)})])
    line.until(lambda: line.subscriber.store.revision == store.revision)
    got["change_bytes"] = sum(line.got[kind.__name__] for kind in (Begin, ObjectPart, End))
    began, spent, due = line.now, line.spent["subscriber"], 0.0
    while line.now - began < rest_s:
        due += 0.1 * OF_DAY * size
        while due > rng.random():
            due -= 1
            item = {f"b{rng.randrange(A_SERVICE)}": rng.randbytes(BACKEND)}
            line.commit([ObjectChange(f"s{rng.randrange(size)}", item)])
        line.tick()
    got["proxy_core"] = (line.spent["subscriber"] - spent) / 1e9 / (line.now - began)
    return got


def of_relay(seed: int, kind: str, size: int) -> dict[str, float]:
    """A relay that starts with nothing takes all of it from the one above."""
    rng, store = Random(f"{seed}/{kind}/{size}"), Store()
    if kind == "backends":
        changes = services(size // A_SERVICE, rng, routes=0)
    elif kind == "routes":
        changes = services(size // ROUTES_A_SERVICE, rng, backends=0)
    else:
        each = A_BUCKET if kind == "bucketed" else 1
        changes = [
            ObjectChange(f"t{n}", {f"{n}.{k}": rng.randbytes(ROW) for k in range(each)})
            for n in range(size // each)
        ]
    now, peak, _ = held(changes, True)
    store.commit(changes)
    line = Line(store, None)
    line.until(line.ready)
    return {
        "memory_bytes": now,
        "peak_bytes": peak,
        "snapshot_bytes": line.bytes(),
        "snapshot_step_ms": line.longest["subscriber"] / 1e6,
        "snapshot_cpu_s": line.spent["subscriber"] / 1e9,
        "snapshot_above_s": line.spent["relay"] / 1e9,
    }


def of_fleet(seed: int, size: Size, role: str, seconds: float) -> tuple[float, float, float]:
    """Share of a core at rest and with the target's changes, and the longest step in ms of both."""
    fleet = Fleet(seed, size)
    fleet.begin()
    cores, longest = [], 0.0
    for changing in (False, True):
        fleet.clear()
        rng = Random(f"{seed}/changes")
        for n in range(round(OF_DAY * size.services * seconds) if changing else 0):
            change = fleet.world.configured() if n % 3 else fleet.world.moved()[1]
            fleet.engine.after(rng.random() * seconds, lambda change=change: fleet.commit([change]))  # type: ignore[misc]  # noqa: B023
        gc.collect()
        gc.disable()
        fleet.engine.run(fleet.engine.now + seconds)
        gc.enable()
        cost = fleet.costs[role]
        cores.append(cost.ns / 1e9 / seconds)
        longest = max(longest, cost.longest_ns / 1e6)
    return cores[0], cores[1], longest


def seal_us(sizes: tuple[int, ...], times: int = 400) -> tuple[list[float], list[float]]:
    """Processor time to encode and seal a part, and to open and read it, in microseconds; least of five."""
    shut, read = [], []
    for size in sizes:
        items = {f"b{n}": bytes(BACKEND) for n in range(max(1, size // (BACKEND + 12)))}
        message: Message = ObjectPart("s1", 1, 1 << 40, items, (), 18, 1 << 60, False)
        out, back = [], []
        for _ in range(5):
            ours, theirs = (StreamSeal(bytes(32), b"a" * 16, b"b" * 16, asks) for asks in (True, False))
            began = process_time()
            frames = [ours.encrypt(wire.encode(message)) for _ in range(times)]
            between = process_time()
            for frame in frames:
                wire.from_relay(theirs.decrypt(frame))
            out.append((between - began) / times * 1e6)
            back.append((process_time() - between) / times * 1e6)
        shut.append(min(out))
        read.append(min(back))
    return shut, read


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


OF_RELAY = {
    "memory_bytes": ("bytes", "tracemalloc; without its subscribers"),
    "peak_bytes": ("bytes", "tracemalloc; while all came from nothing"),
    "snapshot_bytes": ("bytes", "counted as sent at most"),
    "snapshot_step_ms": ("ms", "its longest step while all came from nothing: the last frame"),
    "snapshot_cpu_s": ("s", "processor time of its steps until it held all"),
    "snapshot_above_s": ("s", "processor time of the one above's steps for it, without sealing"),
}


def run(seed: int, small: bool) -> list[Series]:
    began = load()
    out: list[Series] = []

    def add(
        what: str, over: str, unit: str, sizes: Iterable[float], values: Iterable[float], note: str
    ) -> None:
        points = tuple(zip(map(float, sizes), values, strict=True))
        out.append(Series(f"delivery.{what}", over, unit, points, "hollow", {}, seed, began, note))

    followed = FOLLOWED_SMALL if small else FOLLOWED
    each = [of_proxy(seed, size, 5.0 if small else REST_S) for size in followed]
    for what, (unit, note) in NOTES.items():
        add(what, "services followed", unit, followed, [got[what] for got in each], note)
    held_by = (
        {"backends": BACKENDS_SMALL}
        if small
        else {"backends": BACKENDS, "routes": ROUTES, "tenants": TENANTS, "bucketed": TENANTS}
    )
    for kind, sizes in held_by.items():
        found = [of_relay(seed, kind, n) for n in sizes]
        name = "relay" if kind == "backends" else f"relay_{kind}"
        over = f"tenants, {A_BUCKET} an object" if kind == "bucketed" else kind
        for what, (unit, note) in OF_RELAY.items():
            add(f"{name}_{what}", over, unit, sizes, [got[what] for got in found], note)
    few = Size(0, 1, 1, 1, 40 if small else 11_000, 20 if small else 200, 0.2, 4)
    sizes = SUBSCRIBERS_SMALL if small else SUBSCRIBERS
    seconds = 2.0 if small else 15.0
    rows = [of_fleet(seed, replace(few, proxies=n), "relay", seconds) for n in sizes]
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
    sizes = RELAYS_SMALL if small else RELAYS
    rows = [of_fleet(seed, replace(few, relays=n), "origin", seconds) for n in sizes]
    note = "steps of the origin's core"
    add("origin_rest_core", "relays", "of a core", sizes, [row[0] for row in rows], note)
    add(
        "origin_core", "relays", "of a core", sizes, [row[1] for row in rows], note + "; the target's changes"
    )
    add("origin_longest_step_ms", "relays", "ms", sizes, [row[2] for row in rows], note)
    sizes = FRAMES_SMALL if small else FRAMES
    shut, read = seal_us(sizes)
    add("seal_us", "bytes of a frame", "us", sizes, shut, "a part encoded and sealed; least of five")
    add("open_us", "bytes of a frame", "us", sizes, read, "a part opened and read; least of five")
    return out
