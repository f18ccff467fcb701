"""Runs origin, relays and followers as real processes, with a fault-injecting relay on every link.

    async with delivery_deployment(folder, zones=("a", "b"), relays=3, followers=6) as deployment:
        deployment.links.cut("zone:a", "zone:b")

The process `origin` is in the last zone; relay `rK` and follower `pK` in zone K modulo the number of zones.
Each process has its own host address. Every commit changes the object `mark`, which all followers follow, and
one of the services, of which each follower follows some. The audit uses `mark` to check that the state of a
follower belongs to a single commit.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from flintlatch.peers.clock import clock
from flintlatch.standin.delivered import MARK, Audit, Objects
from flintlatch.standin.links import FaultEvent, Links, Relay, apply
from flintlatch.standin.process import WAIT_TIMEOUT_S
from flintlatch.standin.rig import toml

KEY = "5c" * 32
MAX_LINE_BYTES = 16 * 1024 * 1024  # a row of output can contain every object
QUICK: dict[str, float] = {  # short intervals, so that tests finish within seconds
    "gather_s": 0.05,
    "ping_s": 0.2,
    "silence_s": 0.8,
    "connect_s": 0.5,
    "spread_s": 0.3,
    "retry_first_s": 0.1,
    "retry_most_s": 0.5,
    "stale_s": 1.0,
    "return_s": 2.0,
}


class Child:
    """A child process, with the lines of its log and the JSON rows of its output."""

    def __init__(self, command: str, config: Path) -> None:
        self.command, self.config = command, config
        self.process: asyncio.subprocess.Process
        self.log: list[str] = []
        self.rows: list[dict[str, Any]] = []
        self.output_changed = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.paused = False

    async def start(self) -> Child:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "flintlatch", self.command, str(self.config),
            *(["--json"] if self.command == "follow" else []),
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
            env=self._env(), limit=MAX_LINE_BYTES,
        )  # fmt: skip
        assert self.process.stdout is not None and self.process.stderr is not None
        out, err = self.process.stdout, self.process.stderr
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self._read(out, lambda line: self.rows.append(json.loads(line)))),
            loop.create_task(self._read(err, lambda line: self.log.append(line.decode().rstrip()))),
        ]
        return self

    def _env(self) -> dict[str, str]:
        """Return the environment. Processes share compiled modules in a folder beside the configuration."""
        variables = {
            "PYTHONPATH": str(Path(__file__).parent.parent.parent),
            "PYTHONPYCACHEPREFIX": str(self.config.parent / "compiled"),
            "PYTHONDONTWRITEBYTECODE": "",
        }
        return dict(os.environ) | variables

    async def _read(self, stream: asyncio.StreamReader, append: Callable[[bytes], None]) -> None:
        while line := await stream.readline():
            append(line)
            self.output_changed.set()

    async def wait_for_log(self, text: str, start: int = 0) -> int:
        """Wait for a log line that contains `text`; return the position after the first from `start` on.

        Raises AssertionError if the process has ended without it, TimeoutError after WAIT_TIMEOUT_S.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                for position in range(start, len(self.log)):
                    if text in self.log[position]:
                        return position + 1
                if self.process.returncode is not None:
                    raise AssertionError(
                        f"the process ended without logging {text!r}:\n" + "\n".join(self.log)
                    )
                self.output_changed.clear()
                await self.output_changed.wait()

    def pause(self) -> None:
        self.paused = True
        self.process.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        self.paused = False
        self.process.send_signal(signal.SIGCONT)

    async def end(self, number: int = signal.SIGKILL) -> int:
        if self.process.returncode is None:
            if self.paused:
                self.wake()
            self.process.send_signal(number)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            code = await self.process.wait()
            await asyncio.gather(*self.tasks)
        return code


class DeliveryDeployment:
    """The processes of a delivery, the relays between them, and the audit. Use `delivery_deployment`."""

    def __init__(self, folder: Path, zones: tuple[str, ...], seed: int, rules: Mapping[str, float]) -> None:
        self.folder, self.zones, self.rules = folder, zones, dict(rules)
        self.links = Links(seed)
        self.children: dict[str, Child] = {}
        self.stopped: list[tuple[str, Child]] = []
        self.fault_relays: dict[str, Relay] = {}  # by the place that they stand in front of
        self.followed_names: dict[str, tuple[str, ...]] = {}
        self.objects: Objects = {MARK: {"n": 0}}
        self.audit = Audit()

    # Set-up

    async def open(self, relays: int, followers: int, services: int, services_per_follower: int) -> None:
        for number in range(services):
            self.objects[f"s{number}"] = {f"i{k}": {"weight": k} for k in range(20)}
        for name in ("origin", *(f"r{k}" for k in range(relays)), *(f"p{k}" for k in range(followers))):
            kind, number = (name[0], int(name[1:])) if name != "origin" else ("o", len(self.zones) - 1)
            zone = self.zones[number % len(self.zones)]
            self.links.add(name, zone, f"127.{81 + 'orp'.index(kind)}.{number // 200}.{number % 200 + 1}")
            if kind != "p":
                self.fault_relays[name] = await self.links.open(name)
            else:
                services_followed = (
                    f"s{(number * 7 + k) % services}" for k in range(min(services_per_follower, services))
                )
                self.followed_names[name] = (MARK, *services_followed)
        # Once: a process that starts reads it, and must not find it empty.
        (self.folder / "key").write_text(KEY)
        self.put()
        await self.start("origin")
        await self.wait_for_commit()
        relay_processes = await asyncio.gather(*(self.start(f"r{k}") for k in range(relays)))
        await asyncio.gather(
            *(child.wait_for_log("holds revision ") for child in relay_processes)
        )  # so that each follower reaches its preferred relay
        await asyncio.gather(*map(self.start, self.followed_names))
        await self.until(lambda: all(self.holds(name) for name in self.followed_names), "the first state")

    def _write(self, name: str) -> Path:
        place, path = self.links.places[name], self.folder / f"{name}.toml"
        keys: dict[str, Any] = {"name": name, "key_file": "key", "region": place.zone, "zone": place.zone}
        if name == "origin":
            keys |= {"bind": f"{place.host}:0", "source": "objects.json"}
        elif name in self.fault_relays:
            origin = self.fault_relays["origin"].address
            keys |= {"bind": f"{place.host}:0", "source_host": place.host, "origin": origin}
        else:
            keys |= {"source_host": place.host, "names": list(self.followed_names[name])}
        lines = ["[delivery]", *(f"{key} = {toml(value)}" for key, value in keys.items())]
        lines += ["[delivery.rules]", *(f"{key} = {toml(value)}" for key, value in self.rules.items())]
        if name in self.followed_names:
            for relay in (r for r in self.fault_relays if r != "origin"):
                zone, address = self.links.places[relay].zone, self.fault_relays[relay].address
                row = {"name": relay, "address": address, "region": zone, "zone": zone}
                lines += ["[[delivery.relays]]", *(f"{key} = {toml(value)}" for key, value in row.items())]
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self, name: str) -> Child:
        command = {"o": "origin", "r": "relay", "p": "follow"}[name[0]]
        child = self.children[name] = await Child(command, self._write(name)).start()
        if command != "follow":
            position = await child.wait_for_log("listens on ")
            self.fault_relays[name].set_target(child.log[position - 1].split()[-1])
        return child

    # Changes and faults

    def put(self, service: str = "", items: Mapping[str, Any] | None = None) -> int:
        """Replace the origin's file: change the service and `mark`, and return the number of the commit."""
        number = len(self.audit.commits)
        self.objects[MARK] = {"n": number}
        if service:
            self.objects[service] = dict(items or self.objects[service] | {"n": number})
        self.audit.commit(clock(), self.objects)
        temporary = self.folder / "objects.new"
        temporary.write_text(json.dumps(self.objects))
        temporary.rename(self.folder / "objects.json")
        return number

    async def wait_for_commit(self, start: int = 0) -> None:
        """Wait until the origin logs a revision from line `start` on; record the time in the last commit."""
        await self.children["origin"].wait_for_log("revision ", start)
        self.audit.commits[-1].committed_at = clock()

    async def commit(self, service: str = "", items: Mapping[str, Any] | None = None) -> int:
        start = len(self.children["origin"].log)
        number = self.put(service, items)
        await self.wait_for_commit(start)
        return number

    async def kill(self, name: str, number: int = signal.SIGKILL) -> int:
        child = self.children.pop(name)
        self.stopped.append((name, child))
        if name in self.fault_relays:
            self.fault_relays[name].set_target("")
        return await child.end(number)

    async def play(self, schedule: list[FaultEvent]) -> None:
        started = clock()
        for event in schedule:
            await asyncio.sleep(max(started + event.at_s - clock(), 0.0))
            if apply(self.links, event):
                continue
            for name in event.side:
                if event.action == "kill":
                    await self.kill(name)
                elif event.action == "start":
                    await self.start(name)
                else:
                    getattr(self.children[name], event.action)()

    # Observation

    def holds(self, name: str, number: int = -1) -> bool:
        """Return whether the follower holds commit `number` (default: the last) or a later one."""
        number = number if number >= 0 else len(self.audit.commits) - 1
        expected = {n: d for n, d in self.audit.commits[number].digests.items() if n == MARK}
        for row in reversed(self.children[name].rows):
            if row["what"] == "changed" and MARK in row["objects"]:
                commit = self.audit.commit_by_mark.get(row["objects"][MARK], -1)
                return commit >= number or row["objects"][MARK] == expected[MARK]
        return False

    def relay_of(self, name: str) -> str:
        rows = self.children[name].rows
        return rows[-1]["relay"] if rows else ""

    def count_log_lines(self, name: str, text: str) -> int:
        return sum(text in line for line in self.children[name].log)

    async def until(
        self, condition: Callable[[], bool], description: str, within_s: float = WAIT_TIMEOUT_S
    ) -> float:
        """Poll `condition` until it returns true, and return the seconds that this took.

        Raises AssertionError after `within_s`.
        """
        started = clock()
        while not condition():
            assert clock() - started < within_s, (
                f"{description}: not reached within {within_s:.1f} s\n" + self.logs()
            )
            await asyncio.sleep(0.01)
        return clock() - started

    async def all_hold(self, within_s: float = WAIT_TIMEOUT_S, names: tuple[str, ...] = ()) -> float:
        followers = names or tuple(self.followed_names)
        return await self.until(
            lambda: all(self.holds(name) for name in followers), "the last commit", within_s
        )

    def check(self) -> dict[str, list[tuple[float, int]]]:
        """Return, by running follower, the times at which it received each commit.

        Raises AssertionError if the audit of a follower that ran at any time fails, or if a log has an error.
        """
        all_children = [*self.children.items(), *self.stopped]
        for _, child in all_children:
            assert not any("Traceback" in line or "Error" in line for line in child.log), self.logs()
        commits_by_follower = {}
        for name, child in reversed(all_children):
            if name in self.followed_names:
                commits_by_follower[name] = self.audit.check(name, self.followed_names[name], child.rows)
        return commits_by_follower

    def logs(self) -> str:
        return "\n".join(f"{n}: {line}" for n, c in self.children.items() for line in c.log[-8:])

    async def close(self) -> None:
        await asyncio.gather(*(child.end() for child in self.children.values()))
        self.links.close()


@asynccontextmanager
async def delivery_deployment(
    folder: Path,
    zones: tuple[str, ...] = ("a", "b"),
    relays: int = 3,
    followers: int = 6,
    services: int = 8,
    services_per_follower: int = 3,
    seed: int = 1,
    rules: Mapping[str, float] = QUICK,
) -> AsyncIterator[DeliveryDeployment]:
    """Run a deployment: it is yielded once every follower holds the first commit, and stopped at the end."""
    deployment = DeliveryDeployment(folder, zones, seed, rules)
    try:
        await deployment.open(relays, followers, services, services_per_follower)
        yield deployment
    finally:
        await deployment.close()
