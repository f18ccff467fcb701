"""An origin, relays and followers in one process, on loopback sockets, and a subscriber by hand."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import uvloop

from flintlatch.delivery.model import (
    Hello,
    Message,
    Participant,
    Role,
    Rules,
)
from flintlatch.delivery.shell import Client, Server
from flintlatch.delivery.stream import LENGTH
from flintlatch.delivery.subscriber import Changed
from flintlatch.delivery.wire import encode, from_relay
from flintlatch.peers.seal import HELLO, NONCE_BYTES, VERSION, StreamSeal, named
from flintlatch.peers.shell import split

KEYS = (bytes(range(32)),)
OTHER = (bytes(32),)
RULES = Rules(gather_s=0.05, ping_s=0.3, silence_s=1.0, connect_s=1.0, spread_s=0.3, retry_s=(0.1, 0.5))
LIMIT_S = 15.0  # far beyond what any of these needs
Wanted = dict[str, dict[str, bytes]]


def run(test: Coroutine[Any, Any, None]) -> None:
    uvloop.run(asyncio.wait_for(test, 2 * LIMIT_S))


async def until(good: Callable[[], bool], what: str = "it") -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + LIMIT_S
    while not good():
        assert loop.time() < end, f"{what} did not come about"
        await asyncio.sleep(0.005)


class Follower:
    """A client with all that it was told."""

    def __init__(
        self, name: str, relays: tuple[Participant, ...], keys: tuple[bytes, ...], rules: Rules
    ) -> None:
        self.changed: list[Changed] = []
        self.absent: list[str] = []
        self.told: list[str] = []
        self.client = Client(
            Participant(name, "r", "a"),
            Role.PROXY,
            relays,
            rules,
            keys,
            self.changed.append,
            self.absent.extend,
            self.told.append,
        )

    def holds(self, wanted: Wanted) -> bool:
        objects = self.client.subscriber.store.objects
        return {name: one.items for name, one in objects.items()} == wanted


class Fabric:
    """An origin, relays below it, and followers; all closed at the end."""

    def __init__(self) -> None:
        self.told: list[str] = []
        self.servers: list[Server] = []
        self.followers: list[Follower] = []
        self.wanted: Wanted = {}

    async def serve(
        self, name: str, origins: tuple[Participant, ...] = (), rules: Rules = RULES
    ) -> Participant:
        server = Server(Participant(name), "127.0.0.1:0", rules, KEYS, self.told.append, origins)
        await server.open()
        self.servers.append(server)
        return Participant(name, "r", "a", server.address)

    def commit(self, **objects: dict[str, bytes]) -> None:
        self.wanted |= objects
        origin = self.servers[0]
        origin.committed(tuple(origin.store.replace(self.wanted)))

    def follow(
        self,
        *names: str,
        relays: tuple[Participant, ...],
        keys: tuple[bytes, ...] = KEYS,
        rules: Rules = RULES,
    ) -> Follower:
        follower = Follower(f"p{len(self.followers)}", relays, keys, rules)
        follower.client.follow(names)
        follower.client.open()
        self.followers.append(follower)
        return follower


@contextlib.asynccontextmanager
async def fabric() -> AsyncIterator[Fabric]:
    made = Fabric()
    try:
        yield made
    finally:
        for follower in made.followers:
            follower.client.close()
        for server in made.servers:
            server.close()


class Raw:
    """A subscriber by hand: says what it likes, in frames sealed as ours."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.seal: StreamSeal

    @classmethod
    async def open(cls, address: str) -> Raw:
        sock = socket.create_connection(split(address))
        raw = cls(*await asyncio.open_connection(sock=sock))
        nonce = os.urandom(NONCE_BYTES)
        raw.writer.write(HELLO.pack(VERSION, named(KEYS[0]), nonce))
        raw.seal = StreamSeal(KEYS[0], nonce, await raw.reader.readexactly(NONCE_BYTES), True)
        return raw

    def frame(self, plain: bytes) -> bytes:
        data = self.seal.close(plain)
        return LENGTH.pack(len(data)) + data

    def say(self, *messages: Message) -> None:
        for message in messages:
            self.writer.write(self.frame(encode(message)))

    async def hear(self) -> Message:
        (length,) = LENGTH.unpack(await self.reader.readexactly(LENGTH.size))
        return from_relay(self.seal.open(await self.reader.readexactly(length)))

    async def ended(self) -> None:
        """Everything up to the end is read and left."""
        async with asyncio.timeout(LIMIT_S):
            with contextlib.suppress(ConnectionError):
                while await self.reader.read(65536):
                    pass
        self.writer.close()


HELLO_AS_PROXY = Hello("raw", Role.PROXY, "", "", 0, False)
