"""Runs a real fleet as a child process for tests, benches and the demo, which inject faults into it."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from flintlatch.config import find_control_socket
from flintlatch.fleet.control import ControlError, send_control_request
from flintlatch.standin.client import Clients

WAIT_TIMEOUT_S = 60.0  # timeout of each wait; a loaded machine starts thirty interpreters at once


TCP_TABLE = "/proc/net/tcp"  # proc(5)
LOCAL, REMOTE, STATE, INODE = 1, 2, 3, 9  # its fields
ESTABLISHED = "01"
NO_INODE = "0"  # of a connection that no process has accepted


def port_of(address: str) -> int:
    """Return the port of an address in the table of connections."""
    return int(address.rpartition(":")[2], 16)


def tcp_table() -> list[list[str]]:
    """Return the fields of all IPv4 TCP sockets."""
    with open(TCP_TABLE) as table:
        return [line.split() for line in list(table)[1:]]


def unaccepted_ports(listen_port: int) -> set[int]:
    """Return the remote ports of the connections that wait in the accept queue of a listening port."""
    return {
        port_of(fields[REMOTE])
        for fields in tcp_table()
        if port_of(fields[LOCAL]) == listen_port
        and fields[STATE] == ESTABLISHED
        and fields[INODE] == NO_INODE
    }


def remote_ports(pid: int) -> set[int]:
    """Return the remote ports of all IPv4 TCP connections of a process."""
    inodes = set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            link = os.readlink(f"/proc/{pid}/fd/{name}")
        except OSError:
            continue
        if link.startswith("socket:["):
            inodes.add(link[8:-1])
    return {port_of(fields[REMOTE]) for fields in tcp_table() if fields[INODE] in inodes}


def alive(pid: int) -> bool:
    """Return whether a process runs; a zombie (dead and not yet reaped) does not."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


class FleetProcess:
    """A fleet that runs as a child process. `log` contains the lines of its standard error.

    `close` kills the supervisor if it still runs.
    """

    def __init__(self, config: Path, env: Mapping[str, str] | None = None, **popen: Any) -> None:
        self.config, self.env, self.popen = config, dict(env or {}), popen
        self.process: asyncio.subprocess.Process
        self.log: list[str] = []
        self.log_changed = asyncio.Event()
        self.log_reader: asyncio.Task[None] | None = None
        self.address = ""

    async def start(self) -> FleetProcess:
        """Start the process, and return without waiting until it is ready."""
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
        self.log_reader = asyncio.get_running_loop().create_task(self._read())
        return self

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode().rstrip())
            self.log_changed.set()
        self.log.append("(end of the log)")
        self.log_changed.set()

    async def wait_for_log(self, text: str, start: int = 0) -> int:
        """Wait for a log line that contains `text`; return the position after the first from `start` on.

        Raises AssertionError if the process ends without it, TimeoutError after WAIT_TIMEOUT_S.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                for position in range(start, len(self.log)):
                    if text in self.log[position]:
                        return position + 1
                if self.log and self.log[-1] == "(end of the log)":
                    raise AssertionError(
                        f"the process ended without logging {text!r}:\n" + "\n".join(self.log)
                    )
                self.log_changed.clear()
                await self.log_changed.wait()

    async def ready(self) -> FleetProcess:
        position = await self.wait_for_log("listens on")
        self.address = self.log[position - 1].split()[-1]
        await self.wait_for_log("ready: generation")
        return self

    async def ready_by_status(self) -> FleetProcess:
        """Wait like `ready`, but poll the status: for log levels that omit the lines of the start."""
        self.address = (await self.until(lambda status: status["phase"] == "serving"))["listen"][0]
        return self

    async def ask(self, do: str, timeout_s: float = WAIT_TIMEOUT_S) -> dict[str, Any]:
        path = find_control_socket(str(self.config))
        return await asyncio.to_thread(send_control_request, path, {"do": do}, timeout_s)

    async def status(self) -> dict[str, Any]:
        return await self.ask("status")

    async def until(self, condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        """Poll the status until it meets the condition, and return it.

        Raises AssertionError if the fleet ends, TimeoutError after WAIT_TIMEOUT_S.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                try:
                    status = await self.status()
                except ControlError:
                    if self.log and self.log[-1] == "(end of the log)":
                        raise AssertionError(
                            "the fleet ended while its status was awaited:\n" + "\n".join(self.log)
                        ) from None
                    await asyncio.sleep(0.02)
                    continue
                if condition(status):
                    return status
                await asyncio.sleep(0.02)

    async def kill_worker(self, pid: int, clients: Clients | None = None) -> None:
        """Kill an instance with SIGKILL.

        It is stopped first, so that exactly the requests on its connections at that moment are excused in the
        clients' ledger.
        """
        os.kill(pid, signal.SIGSTOP)
        if clients is not None:
            clients.excuse(remote_ports(pid), f"process {pid} was killed")
        os.kill(pid, signal.SIGKILL)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def wait_until_ended(self) -> int:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            code = await self.process.wait()
            if self.log_reader is not None:
                await self.log_reader
        return code

    async def stop(self) -> int:
        self.signal(signal.SIGTERM)
        return await self.wait_until_ended()

    async def close(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.log_reader is not None:
            self.log_reader.cancel()
