"""Simulates the registry of the protocol page: snapshots of the list, and long polls that return deltas."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from flintlatch.net.clock import now_ms
from flintlatch.standin.ledger import Ledger
from flintlatch.standin.node import Node

MAX_WAIT_MS = 60_000


class Registry:
    def __init__(self, ledger: Ledger | None = None) -> None:
        self.ledger = ledger
        self.rev = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.calls: list[float] = []  # arrival time of each request, ms
        self.down = False  # answers 503
        self.silent = False  # never answers
        self.address = ""
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, address: str = "127.0.0.1:0") -> Registry:
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    def add(self, node: Node, boot_ms: float = 0.0) -> None:
        self.put(node.uid, node.address, "active", node.shape.zone, node.shape.cell, boot_ms)

    def put(
        self, uid: str, address: str, state: str, zone: int = 0, cell: int = 0, boot_ms: float = 0.0
    ) -> None:
        """Add a node or change its state, which is "active", "leaving" or "left"."""
        self.rev += 1
        entry = {"uid": uid, "endpoint": address, "az": zone, "model": "default", "pod_group": cell,
                 "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}  # fmt: skip
        if state == "left":
            self.entries.pop(uid, None)
        else:
            self.entries[uid] = entry
        self.changes.append((self.rev, entry))
        if self.ledger is not None and state != "active":
            self.ledger.drain_announced_ms.setdefault(uid, now_ms())
        self.changed.set()
        self.changed = asyncio.Event()

    def drain(self, node: Node) -> None:
        self.put(node.uid, node.address, "leaving", node.shape.zone, node.shape.cell)

    def drop(self, node: Node) -> None:
        self.put(node.uid, node.address, "left", node.shape.zone, node.shape.cell)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls.append(now_ms())
                status, body = await self._answer(head.split(b" ", 2)[1].decode())
                writer.write(b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%b" % (status, len(body), body))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _answer(self, request_target: str) -> tuple[int, bytes]:
        if self.silent:
            await asyncio.Event().wait()
        if self.down:
            return 503, b""
        parts = urlsplit(request_target)
        if parts.path != "/registry/instances":
            return 404, b""
        query = parse_qs(parts.query)
        if "since" not in query:
            return 200, self._snapshot()
        since = int(query["since"][0])
        wait_ms = min(int(query.get("timeout_ms", ["0"])[0]), MAX_WAIT_MS)
        if since == self.rev:
            changed = self.changed
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        if since > self.rev:
            return 200, self._snapshot()
        delta = [entry for rev, entry in self.changes if rev > since]
        return 200, orjson.dumps({"rev": self.rev, "all": False, "targets": delta})

    def _snapshot(self) -> bytes:
        return orjson.dumps({"rev": self.rev, "all": True, "targets": list(self.entries.values())})
