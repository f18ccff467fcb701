"""Runs the platform's program as a child process, and sends requests to its admin address."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from flintlatch.api import Effect, RequestClass
from flintlatch.standin.node import Node

EFFECTS = {
    Effect.SAFE: "read_like",
    Effect.KEYED: "idempotency_key",
    Effect.UNSAFE: "non_idempotent",
}
CALL_TIMEOUT_S = 10.0  # timeout of a request to the admin address


def free_address() -> str:
    """Return a loopback address that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return "{}:{}".format(*sock.getsockname())


class ReservedAddress:
    """A loopback address that no other process is given, from now on to `close`: not even the source of a
    connection, while a proxy that listens there is restarted. The proxy shares it by SO_REUSEPORT."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.sock.bind(("127.0.0.1", 0))  # it does not listen, so it gets no connection

    def __str__(self) -> str:
        return "{}:{}".format(*self.sock.getsockname())

    def close(self) -> None:
        self.sock.close()


def configuration(
    listen: str, discovery: str, classes: Mapping[str, RequestClass], nodes: list[Node]
) -> dict[str, Any]:
    """Return the configuration that the platform passes to a proxy, in the form of the deployment page."""
    targets = [
        {"uid": node.uid, "endpoint": node.address, "az": 0, "model": "default", "state": "active",
         "pod_group": node.shape.cell, "capacity_hint": 1.0, "boot_ms": 0}
        for node in nodes
    ]  # fmt: skip
    lanes = [
        {"Name": name, "AimMs": spec.aim_ms, "HardLimitMs": spec.deadline_ms, "Points": spec.worth,
         "Effect": EFFECTS[spec.effect], "KeyScope": spec.scope.value, "KeyTtlMs": spec.window_ms}
        for name, spec in classes.items()
    ]  # fmt: skip
    limits = {"MayCancel": True, "MostTries": 4, "ConnectTimeoutMs": 1000, "ConnIdleMs": 30000}
    settings = {"Lanes": lanes, "Dcs": ["a"], "Kinds": ["default"], "Discovery": "ask", "Limits": limits}
    return {
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 1, "all": True, "targets": targets},
        "settings": settings,
    }  # fmt: skip


async def call(address: str, method: str, path: str) -> tuple[int, str]:
    """Send a request to an admin address, and return the status and the body.

    Raises OSError or TimeoutError.
    """
    async with asyncio.timeout(CALL_TIMEOUT_S):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n".encode())
            head, _, body = (await reader.read()).partition(b"\r\n\r\n")
            if not head:
                raise ConnectionError("closed without an answer")
            return int(head.split()[1]), body.decode()
        finally:
            writer.close()


def read_figures(text: str) -> dict[str, int]:
    """Parse StatsD lines into values by name."""
    return {
        line.rpartition(":")[0]: int(line.rpartition(":")[2].partition("|")[0]) for line in text.splitlines()
    }


class ProxyProcess:
    """A proxy that runs as a child process. `lines` contains its standard error as far as it was read."""

    def __init__(self, process: asyncio.subprocess.Process, admin: str) -> None:
        self.process, self.admin = process, admin
        self.lines: list[str] = []

    @classmethod
    async def start(cls, config: Path, **env: str) -> ProxyProcess:
        """Start a proxy, and return once it listens. `env`: the platform's variables other than LB_CONFIG."""
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flintlatch",
            env=inherited | {"LB_CONFIG": str(config)} | env,
            stderr=asyncio.subprocess.PIPE,
        )
        program = cls(process, env.get("LB_ADMIN", ""))
        await program.wait_for_log("listens on")
        return program

    async def wait_for_log(self, text: str) -> None:
        """Wait for a log line that contains `text`. Raises AssertionError if the process ends without it."""
        while not any(text in line for line in self.lines):
            assert self.process.stderr is not None
            line = (await self.process.stderr.readline()).decode()
            if not line:
                raise AssertionError(f"the process ended without logging {text!r}: {self.lines}")
            self.lines.append(line)

    async def end(self, number: int = signal.SIGTERM) -> int:
        """Send the signal, read the log to its end, and return the exit code."""
        self.process.send_signal(number)
        assert self.process.stderr is not None
        self.lines += (await self.process.stderr.read()).decode().splitlines()
        return await self.process.wait()


def write(path: Path, configuration: dict[str, Any]) -> Path:
    path.write_text(json.dumps(configuration))
    return path
