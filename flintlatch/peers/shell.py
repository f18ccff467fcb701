"""A member on real sockets: UDP for probes and words, TCP for whole views. It owns sockets and the clock.

Everything that strangers can make grow has a bound: datagrams a tick, streams at once, bytes of a frame,
time.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from flintlatch.peers.clock import clock
from flintlatch.peers.core import Changed, InstancesChanged, Leave, LogLine, Sync, Tick
from flintlatch.peers.member import Action, DatagramReceived, EntriesReceived, Event, Member, SendDatagram
from flintlatch.peers.model import Record, Rules, State, View
from flintlatch.peers.seal import HELLO, NONCE_BYTES, VERSION, AuthenticationFailed, Seal, StreamSeal
from flintlatch.peers.wire import (
    DecodeError,
    pack,
    pack_sync,
    unpack,
    unpack_sync,
)
from flintlatch.peers.words import Entry, Topic

MAX_DATAGRAM_BYTES = 1400  # bytes: under every usual link's, so that none is cut into fragments
MAX_DATAGRAMS_PER_TICK = 1000  # datagrams opened between two ticks: 10,000 a second, some tenths of a core
STREAM_TIMEOUT_S = 5.0  # of one exchange of whole views; what lies in buffers for longer is not read
MAX_INBOUND_STREAMS, MAX_OUTBOUND_STREAMS = 32, 4  # at once
MAX_FRAME_BYTES = 8 * 1024 * 1024  # bytes: the most members and all their words
RECEIVE_BUFFER_BYTES = (
    1024 * 1024
)  # bytes that the kernel may keep for us: what comes in a long turn of the loop
BIND_ATTEMPTS = 20  # ports tried for one that is free for both
FRAME_LENGTH = struct.Struct(">I")


class BindError(Exception):
    """The address can't be had; the text says why."""


@dataclass(frozen=True, slots=True)
class Options:
    """`bind` and `advertise`: host:port; where `advertise` is empty it is what was bound."""

    name: str
    bind: str
    advertise: str
    seeds: tuple[str, ...]
    keys: tuple[bytes, ...]
    zone: str
    region: str
    instances: int
    rules: Rules = field(default_factory=Rules)


@dataclass(slots=True)
class Counts:
    received: int = 0
    sent: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0
    unauthenticated: int = 0  # not sealed by a key of ours
    unreadable: int = 0
    over_budget: int = 0  # dropped unread: more than a tick allows
    streams: int = 0
    failed_streams: int = 0


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def join_address(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def bind_pair(address: str) -> tuple[socket.socket, socket.socket]:
    """A UDP and a listening TCP socket at one address. Raises BindError."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    error: OSError | None = None
    for _ in range(1 if port else BIND_ATTEMPTS):
        stream, datagram = socket.socket(family), socket.socket(family, socket.SOCK_DGRAM)
        try:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            stream.bind((host, port))
            datagram.bind((host, stream.getsockname()[1]))
            datagram.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            stream.setblocking(False)
            datagram.setblocking(False)
            return datagram, stream
        except OSError as caught:
            error = caught
            stream.close()
            datagram.close()
    raise BindError(f"peers {address}: {error.strerror if error else ''}")


class Shell(asyncio.DatagramProtocol):
    """`on_view` hears of each new view, `on_news` of new words, `on_told` of lines for the log."""

    def __init__(
        self,
        options: Options,
        topics: Iterable[Topic],
        on_view: Callable[[View], None],
        on_entries: Callable[[tuple[Entry, ...]], None],
        on_log: Callable[[str], None],
    ) -> None:
        self.options, self.topics = options, tuple(topics)
        self.on_view, self.on_entries, self.on_log = on_view, on_entries, on_log
        self.counts = Counts()
        self.member: Member
        self.seal: Seal
        self.address = ""
        self.host, self.port = "", 0
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.budget = MAX_DATAGRAMS_PER_TICK
        self.inbound_streams = self.outbound_streams = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.logged_unauthenticated = self.closed = False
        self.loop = asyncio.get_running_loop()

    async def open(self) -> None:
        """Raises BindError."""
        options = self.options
        datagram, stream = bind_pair(options.bind)
        self.host, self.port = datagram.getsockname()[:2]
        self.address = options.advertise or join_address(self.host, self.port)
        run_id = int.from_bytes(os.urandom(6), "big") or 1
        me = Record(
            options.name,
            self.address,
            0,
            State.ALIVE,
            run_id,
            options.instances,
            options.zone,
            options.region,
        )
        rng: Any = random.SystemRandom()
        self.seal = Seal(options.keys, run_id)
        self.member = Member(me, options.seeds, options.rules, self.topics, rng, clock())
        await self.loop.create_datagram_endpoint(lambda: self, sock=datagram)
        self.server = await asyncio.start_server(self._serve, sock=stream)
        self._tick()

    def close(self) -> None:
        """At once, and without a word: as one who died."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    def leave(self) -> None:
        """Tell the others, and close."""
        if not self.closed:
            self.step(Leave())
            self.close()

    def set_instances(self, instances: int) -> None:
        if instances != self.member.me.instances:
            self.step(InstancesChanged(instances))

    def change_keys(self, keys: tuple[bytes, ...]) -> None:
        self.seal.set_keys(keys)

    # Words

    def publish(self, topic: str, subject: str, value: bytes, ttl_s: float = 0.0, renew: bool = True) -> None:
        self.member.entry_store.publish(clock(), topic, subject, value, ttl_s, renew)

    def withdraw(self, topic: str, subject: str) -> None:
        self.member.entry_store.withdraw(clock(), topic, subject)

    def push(self, name: str) -> None:
        self._carry_out(self.member.push(clock(), name))

    # Events and actions

    def step(self, event: Event) -> None:
        self._carry_out(self.member.step(clock(), event))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendDatagram):
                self._post(action)
            elif isinstance(action, Sync):
                self._task(self._sync(action.address))
            elif isinstance(action, Changed):
                self.on_view(action.view)
            elif isinstance(action, EntriesReceived):
                self.on_entries(action.entries)
            elif isinstance(action, LogLine):
                self.on_log(action.text)

    def _task(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _tick(self) -> None:
        self.budget = MAX_DATAGRAMS_PER_TICK
        self.timer = self.loop.call_later(self.options.rules.period_s / 10, self._tick)
        self.step(Tick())

    # Datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """A port that nobody listens on: its member is found silent by itself."""

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self.budget <= 0:
            self.counts.over_budget += 1
            return
        self.budget -= 1
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        try:
            if len(data) > MAX_DATAGRAM_BYTES:
                raise DecodeError("longer than any of ours")
            run_id, number, plain = self.seal.decrypt(data)
            envelope = unpack(plain, run_id, number)
        except AuthenticationFailed:
            self._on_unauthenticated(f"a datagram from {addr[0]}")
            return
        except DecodeError:
            self.counts.unreadable += 1
            return
        self.step(DatagramReceived(envelope))

    def _on_unauthenticated(self, what: str) -> None:
        self.counts.unauthenticated += 1
        if not self.logged_unauthenticated:
            self.logged_unauthenticated = True
            self.on_log(f"peers: {what} is not sealed by a key of ours; told once, then counted")

    def _post(self, action: SendDatagram) -> None:
        envelope = action.envelope
        data = self.seal.encrypt(envelope.number, pack(envelope))
        if self.transport is None or self.transport.is_closing() or len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            self.transport.sendto(data, split_address(action.address))
        except (OSError, ValueError):
            return  # an address that can't be sent to is a member that does not answer
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)

    # Whole views

    async def _sync(self, address: str) -> None:
        if self.outbound_streams >= MAX_OUTBOUND_STREAMS:
            return
        self.outbound_streams += 1
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                host, port = split_address(address)
                reader, writer = await asyncio.open_connection(host, port, local_addr=(self.host, 0))
                nonce, name = os.urandom(NONCE_BYTES), self.seal.active_key_id
                writer.write(HELLO.pack(VERSION, name, nonce))
                seal = StreamSeal(self.seal.keys[name], nonce, await reader.readexactly(NONCE_BYTES), True)
                asked = clock()
                self._frame(writer, seal, pack_sync(self.member.offer(asked)))
                whole = unpack_sync(await self._read(reader, seal))
                if clock() - asked > STREAM_TIMEOUT_S:
                    raise TimeoutError
                mine, actions = self.member.on_reply(clock(), whole, asked)
                self._frame(writer, seal, pack_sync(mine))
                await writer.drain()
                self.counts.streams += 1
                self._carry_out(actions)
        except (
            OSError,
            ValueError,
            KeyError,
            asyncio.IncompleteReadError,
            AuthenticationFailed,
            DecodeError,
        ) as error:
            self._stream_failed(error, f"the answer of {address}")
        finally:
            self.outbound_streams -= 1
            if writer is not None:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.inbound_streams >= MAX_INBOUND_STREAMS or self.closed:
            writer.close()
            return
        self.inbound_streams += 1
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                began = clock()
                version, name, theirs = HELLO.unpack(await reader.readexactly(HELLO.size))
                key = self.seal.keys.get(name)
                if version != VERSION or key is None:
                    raise AuthenticationFailed("another version or key")
                nonce = os.urandom(NONCE_BYTES)
                writer.write(nonce)
                seal = StreamSeal(key, theirs, nonce, False)
                whole = unpack_sync(await self._read(reader, seal))
                asked = clock()
                self._frame(writer, seal, pack_sync(self.member.on_offer(asked, whole)))
                await writer.drain()
                last = unpack_sync(await self._read(reader, seal))
                if clock() - began > STREAM_TIMEOUT_S:
                    raise TimeoutError
                self._carry_out(self.member.on_last(clock(), last, asked))
        except (OSError, asyncio.IncompleteReadError, AuthenticationFailed, DecodeError) as error:
            self._stream_failed(error, "a stream")
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.inbound_streams -= 1
            writer.close()

    def _stream_failed(self, error: Exception, what: str) -> None:
        self.counts.failed_streams += 1
        if isinstance(error, AuthenticationFailed):
            self._on_unauthenticated(what)
        elif isinstance(error, DecodeError):
            self.counts.unreadable += 1

    def _frame(self, writer: asyncio.StreamWriter, seal: StreamSeal, plain: bytes) -> None:
        data = seal.encrypt(plain)
        self.counts.sent_bytes += len(data) + FRAME_LENGTH.size
        writer.write(FRAME_LENGTH.pack(len(data)) + data)

    async def _read(self, reader: asyncio.StreamReader, seal: StreamSeal) -> bytes:
        (length,) = FRAME_LENGTH.unpack(await reader.readexactly(FRAME_LENGTH.size))
        if length > MAX_FRAME_BYTES:
            raise DecodeError(f"a frame of {length} bytes")
        self.counts.received_bytes += length + FRAME_LENGTH.size
        return seal.decrypt(await reader.readexactly(length))
