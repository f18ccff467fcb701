"""Delivery as real processes, every link between them a relay of faults.

    async with delivery_deployment(folder, zones=("a", "b"), relays=3, followers=6) as made:
        made.links.cut("zone:a", "zone:b")

Origin `origin` is in the last zone; relay `rK` and follower `pK` in zone K modulo the zones. Each process
binds to and sends from a host of its own. Every commit changes the object `mark`, which all follow, and one
of the services, of which each follows some: so what a follower holds is of one commit, or it is torn.
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
from flintlatch.standin.process import START_S
from flintlatch.standin.rig import toml

KEY = "5c" * 32
LINE_MOST = 16 * 1024 * 1024  # bytes: a row with every object
QUICK: dict[str, float] = {
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
    """One process: the lines of its log, the rows of its output."""

    def __init__(self, command: str, config: Path) -> None:
        self.command, self.config = command, config
        self.process: asyncio.subprocess.Process
        self.log: list[str] = []
        self.rows: list[dict[str, Any]] = []
        self.news = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.paused = False

    async def start(self) -> Child:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "flintlatch", self.command, str(self.config),
            *(["--json"] if self.command == "follow" else []),
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
            env=self._env(), limit=LINE_MOST,
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
        """Modules compiled by the first process are there for the others, beside the configuration."""
        mine = {
            "PYTHONPATH": str(Path(__file__).parent.parent.parent),
            "PYTHONPYCACHEPREFIX": str(self.config.parent / "compiled"),
            "PYTHONDONTWRITEBYTECODE": "",
        }
        return dict(os.environ) | mine

    async def _read(self, stream: asyncio.StreamReader, take: Callable[[bytes], None]) -> None:
        while line := await stream.readline():
            take(line)
            self.news.set()

    async def wait_for_log(self, words: str, start: int = 0) -> int:
        """The place after the first line from `start` on that holds `words`, once it is there."""
        async with asyncio.timeout(START_S):
            while True:
                for place in range(start, len(self.log)):
                    if words in self.log[place]:
                        return place + 1
                if self.process.returncode is not None:
                    raise AssertionError(f"never said {words!r}:\n" + "\n".join(self.log))
                self.news.clear()
                await self.news.wait()

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
        async with asyncio.timeout(START_S):
            code = await self.process.wait()
            await asyncio.gather(*self.tasks)
        return code


class DeliveryDeployment:
    def __init__(self, folder: Path, zones: tuple[str, ...], seed: int, rules: Mapping[str, float]) -> None:
        self.folder, self.zones, self.rules = folder, zones, dict(rules)
        self.links = Links(seed)
        self.children: dict[str, Child] = {}
        self.ended: list[tuple[str, Child]] = []
        self.fault_relays: dict[str, Relay] = {}  # relays of faults, by whom they stand before
        self.followed_names: dict[str, tuple[str, ...]] = {}
        self.objects: Objects = {MARK: {"n": 0}}
        self.audit = Audit()

    # Making

    async def open(self, relays: int, followers: int, services: int, each: int) -> None:
        for number in range(services):
            self.objects[f"s{number}"] = {f"i{k}": {"weight": k} for k in range(20)}
        for name in ("origin", *(f"r{k}" for k in range(relays)), *(f"p{k}" for k in range(followers))):
            kind, number = (name[0], int(name[1:])) if name != "origin" else ("o", len(self.zones) - 1)
            zone = self.zones[number % len(self.zones)]
            self.links.add(name, zone, f"127.{81 + 'orp'.index(kind)}.{number // 200}.{number % 200 + 1}")
            if kind != "p":
                self.fault_relays[name] = await self.links.open(name)
            else:
                some = (f"s{(number * 7 + k) % services}" for k in range(min(each, services)))
                self.followed_names[name] = (MARK, *some)
        self.put()
        await self.start("origin")
        await self.wait_for_commit()
        made = await asyncio.gather(*(self.start(f"r{k}") for k in range(relays)))
        await asyncio.gather(
            *(child.wait_for_log("holds revision ") for child in made)
        )  # so each has its first choice
        await asyncio.gather(*map(self.start, self.followed_names))
        await self.until(lambda: all(self.holds(name) for name in self.followed_names), "the first state")

    def _write(self, name: str) -> Path:
        place, path = self.links.places[name], self.folder / f"{name}.toml"
        (self.folder / "key").write_text(KEY)
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
            place = await child.wait_for_log("listens on ")
            self.fault_relays[name].point(child.log[place - 1].split()[-1])
        return child

    # Changing

    def put(self, service: str = "", items: Mapping[str, Any] | None = None) -> int:
        """A new file that changes this service and the mark, for the origin to find; the commit's number."""
        number = len(self.audit.commits)
        self.objects[MARK] = {"n": number}
        if service:
            self.objects[service] = dict(items or self.objects[service] | {"n": number})
        self.audit.commit(clock(), self.objects)
        fresh = self.folder / "objects.new"
        fresh.write_text(json.dumps(self.objects))
        fresh.rename(self.folder / "objects.json")
        return number

    async def wait_for_commit(self, start: int = 0) -> None:
        """Once the origin has said so, from that line of its log on, what was put last is committed."""
        await self.children["origin"].wait_for_log("revision ", start)
        self.audit.commits[-1].seen = clock()

    async def commit(self, service: str = "", items: Mapping[str, Any] | None = None) -> int:
        start = len(self.children["origin"].log)
        number = self.put(service, items)
        await self.wait_for_commit(start)
        return number

    async def kill(self, name: str, number: int = signal.SIGKILL) -> int:
        child = self.children.pop(name)
        self.ended.append((name, child))
        if name in self.fault_relays:
            self.fault_relays[name].point("")
        return await child.end(number)

    async def play(self, schedule: list[FaultEvent]) -> None:
        began = clock()
        for trouble in schedule:
            await asyncio.sleep(max(began + trouble.at_s - clock(), 0.0))
            if apply(self.links, trouble):
                continue
            for name in trouble.side:
                if trouble.action == "kill":
                    await self.kill(name)
                elif trouble.action == "start":
                    await self.start(name)
                else:
                    getattr(self.children[name], trouble.action)()

    # Looking

    def holds(self, name: str, number: int = -1) -> bool:
        """Whether the follower has this commit, the last if none is named, or a later one."""
        number = number if number >= 0 else len(self.audit.commits) - 1
        wanted = {n: d for n, d in self.audit.commits[number].digests.items() if n == MARK}
        for row in reversed(self.children[name].rows):
            if row["what"] == "changed" and MARK in row["objects"]:
                held = self.audit.marks.get(row["objects"][MARK], -1)
                return held >= number or row["objects"][MARK] == wanted[MARK]
        return False

    def relay_of(self, name: str) -> str:
        rows = self.children[name].rows
        return rows[-1]["relay"] if rows else ""

    def count_log_lines(self, name: str, words: str) -> int:
        return sum(words in line for line in self.children[name].log)

    async def until(self, good: Callable[[], bool], what: str, within_s: float = START_S) -> float:
        """Seconds until it is so. AssertionError past `within_s`."""
        began = clock()
        while not good():
            assert clock() - began < within_s, f"{what}: not within {within_s:.1f} s\n" + self.logs()
            await asyncio.sleep(0.01)
        return clock() - began

    async def all_hold(self, within_s: float = START_S, names: tuple[str, ...] = ()) -> float:
        some = names or tuple(self.followed_names)
        return await self.until(lambda: all(self.holds(name) for name in some), "the last commit", within_s)

    def check(self) -> dict[str, list[tuple[float, int]]]:
        """When each follower that runs had which commit. AssertionError of the audit of all that ran, or for
        a bug that a process tells."""
        ran = [*self.children.items(), *self.ended]
        for _, child in ran:
            assert not any("Traceback" in line or "Error" in line for line in child.log), self.logs()
        found = {}
        for name, child in reversed(ran):
            if name in self.followed_names:
                found[name] = self.audit.check(name, self.followed_names[name], child.rows)
        return found

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
    each: int = 3,
    seed: int = 1,
    rules: Mapping[str, float] = QUICK,
) -> AsyncIterator[DeliveryDeployment]:
    """All of it, once every follower holds the first commit; ended at the end."""
    made = DeliveryDeployment(folder, zones, seed, rules)
    try:
        await made.open(relays, followers, services, each)
        yield made
    finally:
        await made.close()
