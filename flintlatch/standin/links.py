"""Links between real processes, with faults: a relay before each place, which tells the sender by its
address.

Each process sends from a host of its own in 127.0.0.0/8. For each ordered pair of places a `Link` says delay,
loss, copies and whether it is cut. Datagrams are dropped, doubled and overtake each other. A stream keeps its
order: what is lost comes RESEND_S late, a cut way holds everything back, closing included, so that both
sides keep a half-open connection until it is healed. A kernel accepts a connection before any relay can
refuse it: through a cut way connecting succeeds, and then nothing comes.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast

from flintlatch.lab.network import Link
from flintlatch.peers.shell import bind_pair, split_address

RESEND_S = 0.2  # that a lost part of a stream comes later, as the kernel's least time to send again
HELD_BYTES = 256 * 1024  # that a way holds back before its sender is not read any more: a socket's buffer
OPEN = Link(0.0, 0.0)


@dataclass(frozen=True, slots=True)
class Place:
    name: str
    zone: str
    host: str  # that it sends from


@dataclass(slots=True)
class Links:
    seed: int
    places: dict[str, Place] = field(default_factory=dict)
    default_link: Link = OPEN
    faults: dict[tuple[str, str], Link] = field(default_factory=dict)
    streams: set[_Way] = field(default_factory=set)
    relays: list[Relay] = field(default_factory=list)
    passed: int = 0  # datagrams and parts of streams
    dropped: int = 0
    resets: dict[tuple[str, str], deque[int]] = field(default_factory=dict)
    random: Random = field(default_factory=Random)

    def __post_init__(self) -> None:
        self.random = Random(f"{self.seed}/links")

    def add(self, name: str, zone: str, host: str) -> Place:
        place = self.places[name] = Place(name, zone, host)
        return place

    def of(self, side: str | Iterable[str]) -> list[str]:
        """Names: of one place, of a list, of a zone ("zone:a"), or "*"."""
        if not isinstance(side, str):
            return [name for one in side for name in self.of(one)]
        if side == "*":
            return list(self.places)
        if side.startswith("zone:"):
            return [p.name for p in self.places.values() if p.zone == side[5:]]
        if side not in self.places:
            raise ValueError(f"no place {side!r}; there are {', '.join(self.places)}")
        return [side]

    def set(self, one: str | Iterable[str], other: str | Iterable[str], link: Link) -> None:
        """From every place of one side to every place of the other, and not back."""
        for a in self.of(one):
            for b in self.of(other):
                if a != b:
                    self.faults[a, b] = link
        self._changed()

    def cut(self, one: str | Iterable[str], other: str | Iterable[str], both: bool = True) -> None:
        self.set(one, other, Link(cut=True))
        if both:
            self.set(other, one, Link(cut=True))

    def reset_at(self, one: str | Iterable[str], other: str | Iterable[str], places: Iterable[int]) -> None:
        """Of each ordered pair the next streams are reset, each once so many bytes went that way."""
        for a in self.of(one):
            for b in self.of(other):
                self.resets[a, b] = deque(places)

    def heal(self) -> None:
        self.faults.clear()
        self.resets.clear()
        self.default_link = OPEN
        self._changed()

    def between(self, source: str, target: str) -> Link:
        return self.faults.get((source, target), self.default_link)

    def _changed(self) -> None:
        for way in list(self.streams):
            way.pump()

    def at(self, host: str) -> str:
        """Who sends from there; "" where nobody is known."""
        return next((p.name for p in self.places.values() if p.host == host), "")

    async def open(self, name: str, target: str = "", datagrams: bool = False) -> Relay:
        """A relay before `name`, which is at `target` (host:port; see `Relay.point`)."""
        relay = Relay(self, name, target)
        await relay.open(datagrams)
        self.relays.append(relay)
        return relay

    def close(self) -> None:
        for relay in self.relays:
            relay.close()
        for way in list(self.streams):
            way.drop()


class Relay(asyncio.DatagramProtocol):
    def __init__(self, links: Links, name: str, target: str) -> None:
        self.links, self.name, self.target = links, name, target
        self.address = ""
        self.server: asyncio.Server | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.loop = asyncio.get_running_loop()

    async def open(self, datagrams: bool) -> None:
        datagram, stream = bind_pair("127.0.0.1:0")
        self.address = "{}:{}".format(*stream.getsockname()[:2])
        if datagrams:
            await self.loop.create_datagram_endpoint(lambda: self, sock=datagram)
        else:
            datagram.close()
        self.server = await self.loop.create_server(lambda: _Way(self), sock=stream, backlog=512)

    def point(self, target: str) -> None:
        self.target = target

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        if self.transport is not None:
            self.transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        pass  # the place is not there: its datagrams are lost

    def datagram_received(self, data: bytes, addr: Any) -> None:
        links = self.links
        link = links.between(links.at(addr[0]), self.name)
        if link.cut or not self.target or links.random.random() < link.loss:
            links.dropped += 1
            return
        for _ in range(1 + (links.random.random() < link.copies)):
            delay = links.random.uniform(link.least_s, link.most_s)
            if delay:
                self.loop.call_later(delay, self._deliver, data)
            else:
                self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.links.passed += 1
            self.transport.sendto(data, split_address(self.target))


class _Way(asyncio.Protocol):
    """One way of a stream: from the side whose protocol this is to the other side."""

    def __init__(self, relay: Relay, other: _Way | None = None, source: str = "", target: str = "") -> None:
        self.relay, self.links, self.other = relay, relay.links, other
        self.source, self.target = source, target
        self.transport: asyncio.Transport | None = None
        self.held: deque[tuple[float, bytes | None]] = deque()  # when it is due; None: the end
        self.bytes = 0
        self.timer: asyncio.TimerHandle | None = None
        self.ended = False
        self.left: int | None = None  # bytes until it is reset

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.links.streams.add(self)
        if self.other is None:
            self.source = self.links.at(transport.get_extra_info("peername")[0])
            self.target = self.relay.name
        if due := self.links.resets.get((self.source, self.target)):
            self.left = due.popleft()
        if self.other is not None:  # ours to the place
            self.other.pump()
            return
        self.other = _Way(self.relay, self, self.target, self.source)
        self.relay.loop.create_task(self._connect(self.other))

    async def _connect(self, other: _Way) -> None:
        host, port = split_address(self.relay.target or "127.0.0.1:1")
        try:
            await self.relay.loop.create_connection(lambda: other, host, port)
        except OSError:
            other.ended = True
            if not self.links.between(self.target, self.source).cut:
                self.drop()

    def data_received(self, data: bytes) -> None:
        link = self.links.between(self.source, self.target)
        delay = self.links.random.uniform(link.least_s, link.most_s)
        if link.loss and self.links.random.random() < link.loss:
            delay += RESEND_S
        now = self.relay.loop.time()
        due = max(now + delay, self.held[-1][0] if self.held else 0.0)  # order stays
        self._hold(due, data)

    def _hold(self, due: float, data: bytes | None) -> None:
        self.held.append((due, data))
        self.bytes += len(data or b"")
        if self.bytes > HELD_BYTES and self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        self.pump()

    def pump(self) -> None:
        """Pass on what is due, unless the way is cut."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        other = self.other.transport if self.other is not None else None
        if other is None or self.links.between(self.source, self.target).cut:
            return
        now = self.relay.loop.time()
        while self.held:
            due, data = self.held[0]
            if due > now:
                self.timer = self.relay.loop.call_later(due - now, self.pump)
                break
            self.held.popleft()
            if other.is_closing():
                continue
            if data is None:
                other.abort()
            else:
                self.links.passed += 1
                self.bytes -= len(data)
                if self.left is not None and len(data) >= self.left:
                    other.write(data[: self.left])
                    self._reset()
                    return
                if self.left is not None:
                    self.left -= len(data)
                other.write(data)
        if self.bytes <= HELD_BYTES and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        if self.ended and not self.held:
            self.links.streams.discard(self)

    def _reset(self) -> None:
        """Both ends, once what was written before is out."""
        for way in (self, self.other):
            if way is not None and way.transport is not None:
                way.ended = True
                self.links.streams.discard(way)
                self.relay.loop.call_later(0.01, way.transport.abort)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended:
            self.ended = True
            last = self.held[-1][0] if self.held else 0.0
            self._hold(max(last, self.relay.loop.time()), None)

    def drop(self) -> None:
        self.ended = True
        self.links.streams.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()


# Schedules


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """One timed fault: `cut`, `cut one way`, `link`, `heal`, `pause`, `wake`, `kill` or `start`."""

    at_s: float
    action: str
    side: tuple[str, ...] = ()
    other_side: tuple[str, ...] = ()
    link: tuple[float, float, float, float] = (0.0, 0.0, 0.0, 0.0)  # least_s, most_s, loss, copies


KINDS = ("cut", "cut one way", "link", "heal", "pause", "wake", "kill", "start")


def draw_schedule(seed: int, names: list[str], seconds: float, each_s: float = 4.0) -> list[FaultEvent]:
    """Faults for `seconds`, each over after at most `each_s`, the last healed before the end. The same seed
    draws the same."""
    rng, at, made = Random(f"{seed}/schedule"), 0.0, list[FaultEvent]()
    while True:
        at += rng.uniform(0.2, 1.0) * each_s
        lasts = rng.uniform(0.3, 1.0) * each_s
        if at + lasts >= seconds:
            return [*made, FaultEvent(seconds, "heal")]
        what = rng.choice(("cut", "cut", "cut one way", "flap", "link", "pause", "kill"))
        part = tuple(sorted(rng.sample(names, rng.randint(1, max(1, len(names) // 2)))))
        rest = tuple(name for name in names if name not in part)
        if what in ("cut", "cut one way"):
            made += [FaultEvent(at, what, part, rest), FaultEvent(at + lasts, "heal")]
        elif what == "flap":
            for turn in range(4):
                begin = at + lasts * turn / 4
                made += [FaultEvent(begin, "cut", part, rest), FaultEvent(begin + lasts / 8, "heal")]
        elif what == "link":
            link = (0.0, rng.uniform(0.01, 0.1), rng.uniform(0.05, 0.3), 0.1)
            made += [FaultEvent(at, "link", part, rest, link), FaultEvent(at + lasts, "heal")]
        else:
            one = (rng.choice(names),)
            back = "wake" if what == "pause" else "start"
            made += [FaultEvent(at, what, one), FaultEvent(at + lasts, back, one)]
        at += lasts


def format_schedule(schedule: list[FaultEvent]) -> str:
    """As a file: a line each, times first."""
    rows = []
    for one in schedule:
        link = " ".join(f"{value:g}" for value in one.link)
        rows.append(f"{one.at_s:.3f}|{one.action}|{','.join(one.side)}|{','.join(one.other_side)}|{link}")
    return "\n".join(rows) + "\n"


def parse_schedule(text: str) -> list[FaultEvent]:
    """ValueError with the line where it is none."""
    schedule = []
    for place, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        try:
            at, what, one, other, link = line.split("|")
            least, most, loss, copies = map(float, link.split())
            sides = [tuple(name for name in side.split(",") if name) for side in (one, other)]
            if what not in KINDS:
                raise ValueError(f"{what!r}, expected one of {', '.join(KINDS)}")
            schedule.append(FaultEvent(float(at), what, sides[0], sides[1], (least, most, loss, copies)))
        except ValueError as error:
            raise ValueError(f"line {place}: {error}") from None
    return schedule


def apply(links: Links, trouble: FaultEvent) -> bool:
    """Whether it was one of the links; else it is one of the processes, and the caller's."""
    if trouble.action == "cut":
        links.cut(trouble.side, trouble.other_side)
    elif trouble.action == "cut one way":
        links.cut(trouble.side, trouble.other_side, both=False)
    elif trouble.action == "link":
        links.set(trouble.side, trouble.other_side, Link(*trouble.link))
        links.set(trouble.other_side, trouble.side, Link(*trouble.link))
    elif trouble.action == "heal":
        links.heal()
    else:
        return False
    return True


__all__ = [
    "FaultEvent",
    "Link",
    "Links",
    "Place",
    "Relay",
    "apply",
    "draw_schedule",
    "format_schedule",
    "parse_schedule",
]
