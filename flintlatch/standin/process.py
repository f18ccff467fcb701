"""A real fleet as a process of its own, started and hurt by tests, benches and the demo."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from flintlatch.config import find_control
from flintlatch.fleet.control import ControlError, send_control_request
from flintlatch.standin.client import Clients

START_S = 60.0  # generous: a loaded machine starts thirty interpreters at once


def ports_of(pid: int) -> set[int]:
    """Remote ports of all IPv4 TCP connections that a process holds, as proc(5) tells them."""
    inodes = set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            link = os.readlink(f"/proc/{pid}/fd/{name}")
        except OSError:
            continue
        if link.startswith("socket:["):
            inodes.add(link[8:-1])
    ports = set()
    with open("/proc/net/tcp") as table:
        for line in list(table)[1:]:
            fields = line.split()
            if fields[9] in inodes:
                ports.add(int(fields[2].rpartition(":")[2], 16))
    return ports


def alive(pid: int) -> bool:
    """Whether a process runs; one that is dead and not yet reaped does not."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


class FleetProcess:
    """`log` holds the lines of its standard error; it closes the fleet outright if left while it runs."""

    def __init__(self, config: Path, env: Mapping[str, str] | None = None, **popen: Any) -> None:
        self.config, self.env, self.popen = config, dict(env or {}), popen
        self.process: asyncio.subprocess.Process
        self.log: list[str] = []
        self.news = asyncio.Event()
        self.reader: asyncio.Task[None] | None = None
        self.address = ""

    async def start(self) -> FleetProcess:
        """Start it; returns at once."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flintlatch",
            "fleet",
            str(self.config),
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=dict(os.environ) | self.env,
            **self.popen,
        )
        self.reader = asyncio.get_running_loop().create_task(self._read())
        return self

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode().rstrip())
            self.news.set()
        self.log.append("(end of the log)")
        self.news.set()

    async def wait_for_log(self, words: str, start: int = 0) -> int:
        """The place after the first line from `start` on that holds `words`, once it is there."""
        async with asyncio.timeout(START_S):
            while True:
                for place in range(start, len(self.log)):
                    if words in self.log[place]:
                        return place + 1
                if self.log and self.log[-1] == "(end of the log)":
                    raise AssertionError(f"never said {words!r}:\n" + "\n".join(self.log))
                self.news.clear()
                await self.news.wait()

    async def ready(self) -> FleetProcess:
        place = await self.wait_for_log("listens on")
        self.address = self.log[place - 1].split()[-1]
        await self.wait_for_log("ready: generation")
        return self

    async def ready_by_status(self) -> FleetProcess:
        """The same where the log is too quiet to tell."""
        self.address = (await self.until(lambda status: status["phase"] == "serving"))["listen"][0]
        return self

    async def ask(self, do: str, timeout_s: float = START_S) -> dict[str, Any]:
        path = find_control(str(self.config))
        return await asyncio.to_thread(send_control_request, path, {"do": do}, timeout_s)

    async def status(self) -> dict[str, Any]:
        return await self.ask("status")

    async def until(self, good: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        """The first status that is good."""
        async with asyncio.timeout(START_S):
            while True:
                try:
                    status = await self.status()
                except ControlError:
                    if self.log and self.log[-1] == "(end of the log)":
                        raise AssertionError("it ended:\n" + "\n".join(self.log)) from None
                    await asyncio.sleep(0.02)
                    continue
                if good(status):
                    return status
                await asyncio.sleep(0.02)

    async def kill_worker(self, pid: int, clients: Clients | None = None) -> None:
        """Kill one outright. What it holds at that moment is excused in the clients' ledger, and no more."""
        os.kill(pid, signal.SIGSTOP)
        if clients is not None:
            clients.excuse(ports_of(pid), f"process {pid} was killed")
        os.kill(pid, signal.SIGKILL)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def ended(self) -> int:
        async with asyncio.timeout(START_S):
            code = await self.process.wait()
            if self.reader is not None:
                await self.reader
        return code

    async def stop(self) -> int:
        self.signal(signal.SIGTERM)
        return await self.ended()

    async def close(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.reader is not None:
            self.reader.cancel()
