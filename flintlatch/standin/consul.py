"""Simulates Consul's HTTP catalogue API: one service with blocking queries, and injected faults."""

from __future__ import annotations

import asyncio
import re
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

WAIT_PATTERN = re.compile(r"([0-9]+)(s|ms|m)")
UNIT_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0}


class Consul:
    """A catalogue of one service. `put` and `drop` change it; a test injects faults by setting attributes."""

    def __init__(self) -> None:
        self.index = 7
        self.instances: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Event()
        self.request_targets: list[str] = []  # request targets, in order of arrival
        self.tokens: list[str] = []
        self.hang = False  # never answers
        self.status = 200
        self.body: bytes | None = None  # sent in place of the list
        self.leader, self.last_contact_ms = True, 0
        self.fake_index: str | None = None  # sent in place of `index`
        self.address = ""
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> Consul:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    def put(self, uid: str, address: str, status: str = "passing", weight: int = 1, **meta: str) -> None:
        host, _, port = address.rpartition(":")
        self.instances[uid] = {
            "Node": {"Node": "m1", "Address": "127.0.0.9", "Datacenter": "dc1"},
            "Service": {"ID": uid, "Service": "review", "Address": host, "Port": int(port), "Meta": meta,
                        "Weights": {"Passing": weight, "Warning": 1}},
            "Checks": [{"CheckID": "serfHealth", "Status": "passing"}, {"CheckID": uid, "Status": status}],
        }  # fmt: skip
        self.touch()

    def drop(self, uid: str) -> None:
        self.instances.pop(uid)
        self.touch()

    def touch(self, index: int | None = None) -> None:
        """Wake the blocking queries with the next index, or with `index`, which may be lower."""
        self.index = self.index + 1 if index is None else index
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ", 2)[1]
                self.request_targets.append(target)
                self.tokens += re.findall(r"(?i)^x-consul-token: (.*)\r$", head, re.MULTILINE)
                await self._wait(parse_qs(urlsplit(target).query))
                body = self.body
                if body is None:
                    body = orjson.dumps(list(self.instances.values()))
                lines = (
                    f"X-Consul-Index: {self.index if self.fake_index is None else self.fake_index}\r\n"
                    f"X-Consul-KnownLeader: {'true' if self.leader else 'false'}\r\n"
                    f"X-Consul-LastContact: {self.last_contact_ms}\r\n"
                )
                writer.write(
                    f"HTTP/1.1 {self.status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _wait(self, query: dict[str, list[str]]) -> None:
        if self.hang:
            await asyncio.Event().wait()
        index = int(query.get("index", ["0"])[0])
        match = WAIT_PATTERN.fullmatch(query.get("wait", ["300s"])[0])
        assert match is not None
        if index and index == self.index:
            try:
                async with asyncio.timeout(int(match[1]) * UNIT_SECONDS[match[2]]):
                    await self.changed.wait()
            except TimeoutError:
                pass
