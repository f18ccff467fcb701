"""Helpers: an origin, relays and followers in one process on loopback, and a hand-driven subscriber."""

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
from flintlatch.peers.seal import HELLO, NONCE_BYTES, VERSION, StreamSeal, key_id
from flintlatch.peers.shell import split_address

KEYS = (bytes(range(32)),)
OTHER_KEYS = (bytes(32),)
RULES = Rules(gather_s=0.05, ping_s=0.3, silence_s=1.0, connect_s=1.0, spread_s=0.3, retry_s=(0.1, 0.5))
TEST_TIMEOUT_S = 15.0  # reached only if a test hangs
WantedState = dict[str, dict[str, bytes]]


def run(test: Coroutine[Any, Any, None]) -> None:
    uvloop.run(asyncio.wait_for(test, 2 * TEST_TIMEOUT_S))


async def wait_until(condition: Callable[[], bool], description: str = "it") -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + TEST_TIMEOUT_S
    while not condition():
        assert loop.time() < deadline, f"{description}: not within {TEST_TIMEOUT_S:g} s"
        await asyncio.sleep(0.005)


class Follower:
    """A client that records what its callbacks receive."""

    def __init__(
        self, name: str, relays: tuple[Participant, ...], keys: tuple[bytes, ...], rules: Rules
    ) -> None:
        self.changed: list[Changed] = []
        self.absent: list[str] = []
        self.log_lines: list[str] = []
        self.client = Client(
            Participant(name, "r", "a"),
            Role.PROXY,
            relays,
            rules,
            keys,
            self.changed.append,
            self.absent.extend,
            self.log_lines.append,
        )

    def holds(self, wanted: WantedState) -> bool:
        objects = self.client.subscriber.store.objects
        return {name: stored.items for name, stored in objects.items()} == wanted


class Cluster:
    """An origin (the first server), relays below it, and followers."""

    def __init__(self) -> None:
        self.log_lines: list[str] = []
        self.servers: list[Server] = []
        self.followers: list[Follower] = []
        self.wanted: WantedState = {}

    async def serve(
        self, name: str, origins: tuple[Participant, ...] = (), rules: Rules = RULES
    ) -> Participant:
        server = Server(Participant(name), "127.0.0.1:0", rules, KEYS, self.log_lines.append, origins)
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
async def running_cluster() -> AsyncIterator[Cluster]:
    cluster = Cluster()
    try:
        yield cluster
    finally:
        for follower in cluster.followers:
            follower.client.close()
        for server in cluster.servers:
            server.close()


class RawSubscriber:
    """A connection on which a test sends and receives single messages, or any bytes in a sealed frame."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.seal: StreamSeal

    @classmethod
    async def open(cls, address: str) -> RawSubscriber:
        sock = socket.create_connection(split_address(address))
        raw = cls(*await asyncio.open_connection(sock=sock))
        nonce = os.urandom(NONCE_BYTES)
        raw.writer.write(HELLO.pack(VERSION, key_id(KEYS[0]), nonce))
        raw.seal = StreamSeal(KEYS[0], nonce, await raw.reader.readexactly(NONCE_BYTES), True)
        return raw

    def frame(self, plain: bytes) -> bytes:
        data = self.seal.encrypt(plain)
        return LENGTH.pack(len(data)) + data

    def send(self, *messages: Message) -> None:
        for message in messages:
            self.writer.write(self.frame(encode(message)))

    async def receive(self) -> Message:
        (length,) = LENGTH.unpack(await self.reader.readexactly(LENGTH.size))
        return from_relay(self.seal.decrypt(await self.reader.readexactly(length)))

    async def wait_closed(self) -> None:
        """Reads and discards everything until the other side closes the connection."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                while await self.reader.read(65536):
                    pass
        self.writer.close()


HELLO_AS_PROXY = Hello("raw", Role.PROXY, "", "", 0, False)
