"""Delivery's processes in the foreground: the origin, a relay, and a follower that shows what is in force.

TERM and INT end them; USR1 has the origin or a relay write its status as a line.
"""

from __future__ import annotations

import asyncio
import hashlib
import signal
import sys
from collections.abc import Callable
from typing import Any

import orjson

from flintlatch.delivery.model import Participant, Role, Rules
from flintlatch.delivery.shell import Client, Server
from flintlatch.delivery.source import POLL_INTERVAL_S, Source
from flintlatch.delivery.subscriber import Changed
from flintlatch.peers.clock import clock
from flintlatch.peers.shell import NotBound

PULSE_S = 1.0  # between two lines on how things stand
ONCE_S = 10.0  # that `--once` waits for all of it: a few relays that are dead, and the transfer


def teller(command: str, name: str) -> Callable[[str], None]:
    def tell(text: str) -> None:
        print(f"flintlatch {command} {name}: {text}", file=sys.stderr, flush=True)

    return tell


def ending() -> asyncio.Event:
    """Set by TERM or INT."""
    end = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, end.set)
    return end


async def within(event: asyncio.Event, seconds: float) -> bool:
    """Whether it was set in that time."""
    try:
        async with asyncio.timeout(seconds):
            return await event.wait()
    except TimeoutError:
        return event.is_set()


async def _opened(server: Server, tell: Callable[[str], None]) -> bool:
    try:
        await server.open()
    except NotBound as error:
        tell(str(error))
        return False
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, lambda: tell(server.status()))
    tell(f"listens on {server.address}")
    return True


async def origin(
    me: Participant, bind: str, rules: Rules, keys: tuple[bytes, ...], source_path: str, kept_path: str
) -> int:
    """The exit code, as of the others."""
    end, tell = ending(), teller("origin", me.name)
    server = Server(me, bind, rules, keys, tell)
    source = Source(source_path, kept_path, server.store, tell)
    if not await _opened(server, tell):
        return 1
    while not end.is_set():
        found = await asyncio.to_thread(source.load)
        if found is not None and (names := source.commit(*found)) is not None:
            server.committed(names)
            tell(f"revision {server.store.revision}: {len(names)} of {len(found[0])} objects changed")
        await within(end, POLL_INTERVAL_S)
    server.close()
    tell("ended")
    return 0


async def relay(
    me: Participant,
    bind: str,
    rules: Rules,
    keys: tuple[bytes, ...],
    origins: tuple[Participant, ...],
    source_host: str,
    upward: Rules,
) -> int:
    end, tell = ending(), teller("relay", me.name)
    server = Server(me, bind, rules, keys, tell, origins, source_host, upward)
    if not await _opened(server, tell):
        return 1
    await end.wait()
    server.close()
    tell("ended")
    return 0


def digest(items: dict[str, bytes]) -> str:
    """Of an object: SHA-256 of its canonical JSON, the first 16 digits."""
    row = b",".join(orjson.dumps(name) + b":" + items[name] for name in sorted(items))
    return hashlib.sha256(b"{" + row + b"}").hexdigest()[:16]


def bounds(rules: Rules, relays: int) -> str:
    least, one, most = (rules.staleness_bound_s(dead, 0.0) for dead in (0, 1, max(1, relays - 1)))
    return (
        f"bounds: a change is here within {least:.1f} s, {one:.1f} s if the first relay is lost just then, "
        f"{most:.1f} s with {max(1, relays - 1)} lost; at most {rules.max_bytes_per_minute():,.0f} bytes in a minute"
    )


class View:
    """Lines about one follower, for a person or as JSON, a row each."""

    def __init__(self, rules: Rules, relays: int, as_json: bool) -> None:
        self.rules, self.relays, self.as_json = rules, relays, as_json
        self.client: Client

    def row(self, what: str, **more: Any) -> None:
        """The time is the machine's: the same clock for all of its processes."""
        one = self.client.subscriber
        now, counts = clock(), self.client.counts
        row = {"at": now, "what": what, "revision": one.store.revision, "age_s": round(one.age(now), 3),
               "ready": one.ready(), "relay": self.client.relay_name(), "bytes_in": counts.bytes_in,
               "bytes_out": counts.bytes_out, **more}  # fmt: skip
        self.out(orjson.dumps(row).decode())

    def out(self, line: str) -> None:
        print(line, flush=True)

    def start(self) -> None:
        if self.as_json:
            worst = max(0, self.relays - 1)
            more = {
                f"within_s_{dead}_lost": self.rules.staleness_bound_s(dead, 0.0) for dead in (0, 1, worst)
            }
            self.row("bounds", minute_bytes=self.rules.max_bytes_per_minute(), **more)
        else:
            self.out(bounds(self.rules, self.relays))

    def changed(self, change: Changed) -> None:
        held = self.client.subscriber.store.objects
        digests = {c.name: None if c.deleted else digest(held[c.name].items) for c in change.changes}
        if self.as_json:
            self.row("changed", objects=digests)
            return
        for one in change.changes:
            if one.deleted:
                self.out(f"revision {change.revision}: {one.name} is no more")
            else:
                parts = f"{len(one.items)} items put, {len(one.removed)} taken away"
                now = f"{len(held[one.name].items)} held, {digests[one.name]}"
                self.out(f"revision {change.revision}: {one.name}: {parts}; {now}")

    def absent(self, names: tuple[str, ...]) -> None:
        if self.as_json:
            self.row("absent", names=names)
        else:
            self.out(f"not there: {', '.join(names)}")

    def pulse(self) -> None:
        if self.as_json:
            self.row("pulse")

    def whole(self) -> None:
        """All that is in force."""
        one, held = self.client.subscriber, self.client.subscriber.store.objects
        if self.as_json:
            objects = {name: {item: orjson.loads(v) for item, v in o.items.items()}
                       for name, o in sorted(held.items())}  # fmt: skip
            self.row("held", objects=objects)
            return
        self.out(
            f"revision {one.store.revision}, at most {one.age(clock()):.1f} s old, from {self.client.relay_name()}"
        )
        for name, thing in sorted(held.items()):
            self.out(f"{name}: {len(thing.items)} items, {digest(thing.items)}")
            for item, value in sorted(thing.items.items()):
                self.out(f"  {item} = {value.decode()}")


async def follow(
    me: Participant,
    relays: tuple[Participant, ...],
    names: tuple[str, ...],
    rules: Rules,
    keys: tuple[bytes, ...],
    source_host: str,
    as_json: bool,
    once: bool,
) -> int:
    end, view, tell = ending(), View(rules, len(relays), as_json), teller("follow", me.name)

    def told(text: str) -> None:
        tell(text)
        if as_json and not once:
            view.row("told", text=text)

    nothing: Callable[[Any], None] = lambda what: None  # noqa: E731
    changed, absent = (nothing, nothing) if once else (view.changed, view.absent)
    client = view.client = Client(me, Role.PROXY, relays, rules, keys, changed, absent, told, source_host)
    client.follow(names)
    if not once:
        view.start()
    client.open()
    began, done = clock(), False
    while not end.is_set() and not done:
        await within(end, 0.05 if once else PULSE_S)
        if not once:
            view.pulse()
        else:
            done = client.subscriber.ready() or clock() - began > ONCE_S
    client.close()
    if not once:
        return 0
    if client.subscriber.ready():
        view.whole()
        return 0
    tell(f"no relay has answered for all names within {ONCE_S:g} s")
    return 1
