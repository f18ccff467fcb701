"""Injects faults into the network between real processes, with a relay in front of each place.

A place is a process with its own host address in 127.0.0.0/8; a relay recognises the sender by this address.
For each ordered pair of places a `Link` defines delay, loss, duplication and whether the link is cut.
Datagrams are dropped, duplicated and reordered. A TCP stream keeps its order: a lost segment arrives
RESEND_S late, and a cut direction buffers everything, the close included, so that both sides keep a half-open
connection until the cut heals. The kernel accepts a connection before the relay can refuse it: across a cut
link connecting succeeds, and then no data arrives.
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

RESEND_S = 0.2  # delay of a lost segment: the kernel's minimum retransmission timeout
BUFFER_BYTES = 256 * 1024  # queue at which a direction stops reading its sender, like a full socket buffer
RESET_DELAY_S = 0.01  # lets the data written before a reset leave
NO_FAULT = Link(0.0, 0.0)


@dataclass(frozen=True, slots=True)
class Place:
    name: str
    zone: str
    host: str  # the address that it sends from


@dataclass(slots=True)
class Links:
    """The places and the state of the link between each ordered pair of them."""

    seed: int
    places: dict[str, Place] = field(default_factory=dict)
    default_link: Link = NO_FAULT
    faults: dict[tuple[str, str], Link] = field(default_factory=dict)
    directions: set[_Direction] = field(default_factory=set)
    relays: list[Relay] = field(default_factory=list)
    forwarded: int = 0  # datagrams and pieces of streams
    dropped: int = 0
    resets: dict[tuple[str, str], deque[int]] = field(default_factory=dict)
    random: Random = field(default_factory=Random)

    def __post_init__(self) -> None:
        self.random = Random(f"{self.seed}/links")

    def add(self, name: str, zone: str, host: str) -> Place:
        place = self.places[name] = Place(name, zone, host)
        return place

    def resolve(self, side: str | Iterable[str]) -> list[str]:
        """Return the place names of `side`: a name, a zone ("zone:a"), "*" for all, or a list of these.

        Raises ValueError for an unknown name.
        """
        if not isinstance(side, str):
            return [name for name_or_zone in side for name in self.resolve(name_or_zone)]
        if side == "*":
            return list(self.places)
        if side.startswith("zone:"):
            return [p.name for p in self.places.values() if p.zone == side[5:]]
        if side not in self.places:
            raise ValueError(f"no place {side!r}; there are {', '.join(self.places)}")
        return [side]

    def set(self, side: str | Iterable[str], other_side: str | Iterable[str], link: Link) -> None:
        """Set the link from every place of `side` to every place of `other_side`, but not the way back."""
        for a in self.resolve(side):
            for b in self.resolve(other_side):
                if a != b:
                    self.faults[a, b] = link
        self._forward_all_due()

    def cut(self, side: str | Iterable[str], other_side: str | Iterable[str], both: bool = True) -> None:
        self.set(side, other_side, Link(cut=True))
        if both:
            self.set(other_side, side, Link(cut=True))

    def reset_at(
        self, side: str | Iterable[str], other_side: str | Iterable[str], offsets: Iterable[int]
    ) -> None:
        """Reset the next streams from each place of `side` to each of `other_side`.

        The n-th stream of each ordered pair is reset once it has forwarded `offsets[n]` bytes this way.
        """
        for a in self.resolve(side):
            for b in self.resolve(other_side):
                self.resets[a, b] = deque(offsets)

    def heal(self) -> None:
        self.faults.clear()
        self.resets.clear()
        self.default_link = NO_FAULT
        self._forward_all_due()

    def between(self, source: str, target: str) -> Link:
        return self.faults.get((source, target), self.default_link)

    def _forward_all_due(self) -> None:
        for direction in list(self.directions):
            direction.forward_due()

    def name_of_host(self, host: str) -> str:
        """Return the name of the place that sends from `host`, or "" if there is none."""
        return next((p.name for p in self.places.values() if p.host == host), "")

    async def open(self, name: str, target: str = "", datagrams: bool = False) -> Relay:
        """Start a relay in front of place `name`, which is at `target` (host:port; see `set_target`)."""
        relay = Relay(self, name, target)
        await relay.open(datagrams)
        self.relays.append(relay)
        return relay

    def close(self) -> None:
        for relay in self.relays:
            relay.close()
        for direction in list(self.directions):
            direction.drop()


class Relay(asyncio.DatagramProtocol):
    """Forwards datagrams and streams to a place. While `target` is empty the place is down."""

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
        self.server = await self.loop.create_server(lambda: _Direction(self), sock=stream, backlog=512)

    def set_target(self, target: str) -> None:
        self.target = target

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        if self.transport is not None:
            self.transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        pass  # the place is down: its datagrams are lost

    def datagram_received(self, data: bytes, addr: Any) -> None:
        links = self.links
        link = links.between(links.name_of_host(addr[0]), self.name)
        if link.cut or not self.target or links.random.random() < link.loss:
            links.dropped += 1
            return
        for _ in range(1 + (links.random.random() < link.duplication)):
            delay = links.random.uniform(link.min_delay_s, link.max_delay_s)
            if delay:
                self.loop.call_later(delay, self._deliver, data)
            else:
                self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.links.forwarded += 1
            self.transport.sendto(data, split_address(self.target))


class _Direction(asyncio.Protocol):
    """One direction of a relayed stream: from the connection of this protocol to the other connection."""

    def __init__(
        self, relay: Relay, reverse: _Direction | None = None, source: str = "", target: str = ""
    ) -> None:
        self.relay, self.links, self.reverse = relay, relay.links, reverse
        self.source, self.target = source, target
        self.transport: asyncio.Transport | None = None
        self.queue: deque[tuple[float, bytes | None]] = deque()  # due time, data; None is the close
        self.queued_bytes = 0
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        self.bytes_until_reset: int | None = None  # None: no reset is planned

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.links.directions.add(self)
        if self.reverse is None:
            self.source = self.links.name_of_host(transport.get_extra_info("peername")[0])
            self.target = self.relay.name
        if offsets := self.links.resets.get((self.source, self.target)):
            self.bytes_until_reset = offsets.popleft()
        if self.reverse is not None:  # this is the relay's connection to the place
            self.reverse.forward_due()
            return
        self.reverse = _Direction(self.relay, self, self.target, self.source)
        self.relay.loop.create_task(self._connect(self.reverse))

    async def _connect(self, reverse: _Direction) -> None:
        host, port = split_address(self.relay.target or "127.0.0.1:1")
        try:
            await self.relay.loop.create_connection(lambda: reverse, host, port)
        except OSError:
            reverse.closed = True
            if not self.links.between(self.target, self.source).cut:
                self.drop()

    def data_received(self, data: bytes) -> None:
        link = self.links.between(self.source, self.target)
        delay = self.links.random.uniform(link.min_delay_s, link.max_delay_s)
        if link.loss and self.links.random.random() < link.loss:
            delay += RESEND_S
        now = self.relay.loop.time()
        due = max(now + delay, self.queue[-1][0] if self.queue else 0.0)  # keeps the order of the stream
        self._enqueue(due, data)

    def _enqueue(self, due: float, data: bytes | None) -> None:
        self.queue.append((due, data))
        self.queued_bytes += len(data or b"")
        if (
            self.queued_bytes > BUFFER_BYTES
            and self.transport is not None
            and not self.transport.is_closing()
        ):
            self.transport.pause_reading()
        self.forward_due()

    def forward_due(self) -> None:
        """Forward all data that is due, unless the direction is cut."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        output = self.reverse.transport if self.reverse is not None else None
        if output is None or self.links.between(self.source, self.target).cut:
            return
        now = self.relay.loop.time()
        while self.queue:
            due, data = self.queue[0]
            if due > now:
                self.timer = self.relay.loop.call_later(due - now, self.forward_due)
                break
            self.queue.popleft()
            if output.is_closing():
                continue
            if data is None:
                output.abort()
            else:
                self.links.forwarded += 1
                self.queued_bytes -= len(data)
                if self.bytes_until_reset is not None and len(data) >= self.bytes_until_reset:
                    output.write(data[: self.bytes_until_reset])
                    self._reset()
                    return
                if self.bytes_until_reset is not None:
                    self.bytes_until_reset -= len(data)
                output.write(data)
        if (
            self.queued_bytes <= BUFFER_BYTES
            and self.transport is not None
            and not self.transport.is_closing()
        ):
            self.transport.resume_reading()
        if self.closed and not self.queue:
            self.links.directions.discard(self)

    def _reset(self) -> None:
        """Reset both connections after RESET_DELAY_S."""
        for direction in (self, self.reverse):
            if direction is not None and direction.transport is not None:
                direction.closed = True
                self.links.directions.discard(direction)
                self.relay.loop.call_later(RESET_DELAY_S, direction.transport.abort)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            last = self.queue[-1][0] if self.queue else 0.0
            self._enqueue(max(last, self.relay.loop.time()), None)

    def drop(self) -> None:
        self.closed = True
        self.links.directions.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()


# Schedules


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """A timed fault or its end. `action` is one of ACTIONS.

    `cut`, `cut one way` and `link` act on the links between `side` and `other_side`, and `heal` on all links.
    `pause`, `wake`, `kill` and `start` act on the processes in `side`.
    """

    at_s: float
    action: str
    side: tuple[str, ...] = ()
    other_side: tuple[str, ...] = ()
    link: tuple[float, float, float, float] = (0.0, 0.0, 0.0, 0.0)  # least_s, most_s, loss, copies


ACTIONS = ("cut", "cut one way", "link", "heal", "pause", "wake", "kill", "start")


def draw_schedule(seed: int, names: list[str], seconds: float, each_s: float = 4.0) -> list[FaultEvent]:
    """Draw random faults over `seconds`; each lasts at most `each_s`, and the last has healed before the end.

    The same seed draws the same schedule.
    """
    rng, at_s, events = Random(f"{seed}/schedule"), 0.0, list[FaultEvent]()
    while True:
        at_s += rng.uniform(0.2, 1.0) * each_s
        duration_s = rng.uniform(0.3, 1.0) * each_s
        if at_s + duration_s >= seconds:
            return [*events, FaultEvent(seconds, "heal")]
        action = rng.choice(("cut", "cut", "cut one way", "flap", "link", "pause", "kill"))
        side = tuple(sorted(rng.sample(names, rng.randint(1, max(1, len(names) // 2)))))
        other_side = tuple(name for name in names if name not in side)
        if action in ("cut", "cut one way"):
            events += [FaultEvent(at_s, action, side, other_side), FaultEvent(at_s + duration_s, "heal")]
        elif action == "flap":
            for cycle in range(4):
                begin_s = at_s + duration_s * cycle / 4
                events += [
                    FaultEvent(begin_s, "cut", side, other_side),
                    FaultEvent(begin_s + duration_s / 8, "heal"),
                ]
        elif action == "link":
            link = (0.0, rng.uniform(0.01, 0.1), rng.uniform(0.05, 0.3), 0.1)
            events += [
                FaultEvent(at_s, "link", side, other_side, link),
                FaultEvent(at_s + duration_s, "heal"),
            ]
        else:
            process = (rng.choice(names),)
            end_action = "wake" if action == "pause" else "start"
            events += [FaultEvent(at_s, action, process), FaultEvent(at_s + duration_s, end_action, process)]
        at_s += duration_s


def format_schedule(schedule: list[FaultEvent]) -> str:
    """Return the schedule as text: one line for each event, with its time first."""
    rows = []
    for event in schedule:
        link = " ".join(f"{value:g}" for value in event.link)
        rows.append(
            f"{event.at_s:.3f}|{event.action}|{','.join(event.side)}|{','.join(event.other_side)}|{link}"
        )
    return "\n".join(rows) + "\n"


def parse_schedule(text: str) -> list[FaultEvent]:
    """Parse the text of `format_schedule`. Raises ValueError with the number of the first invalid line."""
    schedule = []
    for line_number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        try:
            at_s, action, side_names, other_names, link = line.split("|")
            least_s, most_s, loss, copies = map(float, link.split())
            sides = [tuple(name for name in side.split(",") if name) for side in (side_names, other_names)]
            if action not in ACTIONS:
                raise ValueError(f"{action!r}, expected one of {', '.join(ACTIONS)}")
            schedule.append(
                FaultEvent(float(at_s), action, sides[0], sides[1], (least_s, most_s, loss, copies))
            )
        except ValueError as error:
            raise ValueError(f"line {line_number}: {error}") from None
    return schedule


def apply(links: Links, event: FaultEvent) -> bool:
    """Apply an event of the links. Returns False for an event of processes, which the caller has to apply."""
    if event.action == "cut":
        links.cut(event.side, event.other_side)
    elif event.action == "cut one way":
        links.cut(event.side, event.other_side, both=False)
    elif event.action == "link":
        links.set(event.side, event.other_side, Link(*event.link))
        links.set(event.other_side, event.side, Link(*event.link))
    elif event.action == "heal":
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
