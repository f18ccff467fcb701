"""Delivery's foreground processes: the origin, a relay, and a follower that prints the state in force.

SIGTERM and SIGINT end them. On SIGUSR1 the origin or a relay logs its status in one line.
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
from flintlatch.peers.shell import BindError

STATE_INTERVAL_S = 1.0  # between two rows of a follower that only report its current state
ONCE_TIMEOUT_S = 10.0  # of `--once`: enough for a few dead relays and the transfer


def make_logger(command: str, name: str) -> Callable[[str], None]:
    def log(text: str) -> None:
        print(f"flintlatch {command} {name}: {text}", file=sys.stderr, flush=True)

    return log


def stop_event() -> asyncio.Event:
    """An event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    return stopped


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Whether the event was set within the timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            return await event.wait()
    except TimeoutError:
        return event.is_set()


async def _open(server: Server, log: Callable[[str], None]) -> bool:
    try:
        await server.open()
    except BindError as error:
        log(str(error))
        return False
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, lambda: log(server.status()))
    log(f"listens on {server.address}")
    return True


async def run_origin(
    identity: Participant,
    bind: str,
    rules: Rules,
    keys: tuple[bytes, ...],
    source_path: str,
    state_path: str,
) -> int:
    """Runs the origin until it is stopped and returns the exit code."""
    stopped, log = stop_event(), make_logger("origin", identity.name)
    server = Server(identity, bind, rules, keys, log)
    source = Source(source_path, state_path, server.store, log)
    if not await _open(server, log):
        return 1
    while not stopped.is_set():
        loaded = await asyncio.to_thread(source.load)
        if loaded is not None and (names := source.commit(*loaded)) is not None:
            server.committed(names)
            log(f"revision {server.store.revision}: {len(names)} of {len(loaded[0])} objects changed")
        source.retry_save()
        await wait_for_event(stopped, POLL_INTERVAL_S)
    server.close()
    log("stopped")
    return 0


async def run_relay(
    identity: Participant,
    bind: str,
    rules: Rules,
    keys: tuple[bytes, ...],
    origins: tuple[Participant, ...],
    source_host: str,
    upstream_rules: Rules,
) -> int:
    """Runs a relay until it is stopped and returns the exit code."""
    stopped, log = stop_event(), make_logger("relay", identity.name)
    server = Server(identity, bind, rules, keys, log, origins, source_host, upstream_rules)
    if not await _open(server, log):
        return 1
    await stopped.wait()
    server.close()
    log("stopped")
    return 0


def object_digest(items: dict[str, bytes]) -> str:
    """The first 16 hexadecimal digits of the SHA-256 of an object's canonical JSON."""
    members = b",".join(orjson.dumps(name) + b":" + items[name] for name in sorted(items))
    return hashlib.sha256(b"{" + members + b"}").hexdigest()[:16]


def describe_bounds(rules: Rules, relays: int) -> str:
    """The bounds on the delay of a change, with no, one and all but one relay lost, and on the traffic."""
    least_s, one_lost_s, most_s = (rules.staleness_bound_s(lost, 0.0) for lost in (0, 1, max(1, relays - 1)))
    return (
        f"bounds: a change is here within {least_s:.1f} s, "
        f"{one_lost_s:.1f} s if the first relay is lost just then, "
        f"{most_s:.1f} s with {max(1, relays - 1)} lost; "
        f"at most {rules.max_bytes_per_minute():,.0f} bytes in a minute"
    )


class FollowerOutput:
    """Prints what one follower receives, as text for people or as one JSON row per line."""

    def __init__(self, rules: Rules, relays: int, as_json: bool) -> None:
        self.rules, self.relays, self.as_json = rules, relays, as_json
        self.client: Client  # set by `run_follower`, before the first row

    def print_row(self, what: str, **more: Any) -> None:
        """Prints a JSON row. `at` is monotonic time, comparable between the processes of one machine."""
        subscriber = self.client.subscriber
        now, counts = clock(), self.client.counts
        row = {"at": now, "what": what, "revision": subscriber.store.revision,
               "age_s": round(subscriber.age(now), 3), "ready": subscriber.ready(),
               "relay": self.client.relay_name(), "bytes_in": counts.bytes_in,
               "bytes_out": counts.bytes_out, **more}  # fmt: skip
        self.print_line(orjson.dumps(row).decode())

    def print_line(self, text: str) -> None:
        print(text, flush=True)

    def print_bounds(self) -> None:
        if self.as_json:
            most_lost = max(0, self.relays - 1)
            more = {
                f"within_s_{lost}_lost": self.rules.staleness_bound_s(lost, 0.0) for lost in (0, 1, most_lost)
            }
            self.print_row("bounds", minute_bytes=self.rules.max_bytes_per_minute(), **more)
        else:
            self.print_line(describe_bounds(self.rules, self.relays))

    def changed(self, batch: Changed) -> None:
        held = self.client.subscriber.store.objects
        digests = {c.name: None if c.deleted else object_digest(held[c.name].items) for c in batch.changes}
        if self.as_json:
            self.print_row("changed", objects=digests)
            return
        for change in batch.changes:
            if change.deleted:
                self.print_line(f"revision {batch.revision}: {change.name} deleted")
            else:
                delta = f"{len(change.items)} items put, {len(change.removed)} removed"
                state = f"{len(held[change.name].items)} held, {digests[change.name]}"
                self.print_line(f"revision {batch.revision}: {change.name}: {delta}; {state}")

    def absent(self, names: tuple[str, ...]) -> None:
        if self.as_json:
            self.print_row("absent", names=names)
        else:
            self.print_line(f"not found: {', '.join(names)}")

    def print_state(self) -> None:
        if self.as_json:
            self.print_row("pulse")

    def print_all(self) -> None:
        """Prints all objects in force."""
        subscriber, held = self.client.subscriber, self.client.subscriber.store.objects
        if self.as_json:
            objects = {name: {item: orjson.loads(v) for item, v in o.items.items()}
                       for name, o in sorted(held.items())}  # fmt: skip
            self.print_row("held", objects=objects)
            return
        self.print_line(
            f"revision {subscriber.store.revision}, at most {subscriber.age(clock()):.1f} s old, "
            f"from {self.client.relay_name()}"
        )
        for name, stored in sorted(held.items()):
            self.print_line(f"{name}: {len(stored.items)} items, {object_digest(stored.items)}")
            for item, value in sorted(stored.items.items()):
                self.print_line(f"  {item} = {value.decode()}")


async def run_follower(
    identity: Participant,
    relays: tuple[Participant, ...],
    names: tuple[str, ...],
    rules: Rules,
    keys: tuple[bytes, ...],
    source_host: str,
    as_json: bool,
    once: bool,
) -> int:
    """Prints the changes of the objects `names` until it is stopped, or, with `once`, their complete state.

    Returns the exit code: 1 if that state did not arrive within ONCE_TIMEOUT_S, else 0."""
    stopped, output, log = (
        stop_event(),
        FollowerOutput(rules, len(relays), as_json),
        make_logger("follow", identity.name),
    )

    def on_log(text: str) -> None:
        log(text)
        if as_json and not once:
            output.print_row("told", text=text)

    ignore: Callable[[Any], None] = lambda argument: None  # noqa: E731
    on_changed, on_absent = (ignore, ignore) if once else (output.changed, output.absent)
    client = output.client = Client(
        identity, Role.PROXY, relays, rules, keys, on_changed, on_absent, on_log, source_host
    )
    client.follow(names)
    if not once:
        output.print_bounds()
    client.open()
    started_at, done = clock(), False
    while not stopped.is_set() and not done:
        await wait_for_event(stopped, 0.05 if once else STATE_INTERVAL_S)
        if not once:
            output.print_state()
        else:
            done = client.subscriber.ready() or clock() - started_at > ONCE_TIMEOUT_S
    client.close()
    if not once:
        return 0
    if client.subscriber.ready():
        output.print_all()
        return 0
    log(f"no relay has answered for all names within {ONCE_TIMEOUT_S:g} s")
    return 1
