"""Runs a member on real sockets: UDP for probes and gossip, TCP for whole views.

This module owns the sockets and the clock. Every resource that unauthenticated senders can use up is bounded:
datagrams per tick, concurrent streams, frame size and time.
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
    InvalidMessage,
    pack,
    pack_sync,
    unpack,
    unpack_sync,
)
from flintlatch.peers.words import Entry, Topic

MAX_DATAGRAM_BYTES = 1400  # below the MTU of common links, so that no datagram is fragmented
MAX_DATAGRAMS_PER_TICK = 1000  # 10,000 per second, which takes some tenths of a core
STREAM_TIMEOUT_S = 5.0  # for one exchange of whole views; content that was buffered for longer is not used
MAX_INBOUND_STREAMS, MAX_OUTBOUND_STREAMS = 32, 4  # concurrent
MAX_FRAME_BYTES = 8 * 1024 * 1024  # holds the largest number of members and all their entries
RECEIVE_BUFFER_BYTES = 1024 * 1024  # in the kernel: holds what arrives during a long turn of the event loop
BIND_ATTEMPTS = 20  # ports tried to find one that is free for both UDP and TCP
FRAME_LENGTH = struct.Struct(">I")


class BindError(Exception):
    """The address can't be bound; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class Options:
    """`bind` and `advertise`: host:port. An empty `advertise` stands for the bound address."""

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
    unauthenticated: int = 0  # datagrams and streams not sealed with a known key
    unreadable: int = 0
    over_budget: int = 0  # datagrams beyond MAX_DATAGRAMS_PER_TICK, dropped unread
    streams: int = 0
    failed_streams: int = 0


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def join_address(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def bind_pair(address: str) -> tuple[socket.socket, socket.socket]:
    """Returns a UDP socket and a TCP socket that are bound to the same address. Raises BindError."""
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
    """`on_view` is called with each new view, `on_entries` with new entries, `on_log` with lines for the
    log."""

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
        """Closes at once and notifies no other member, so that this one counts as dead."""
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
        """Notifies other members and closes."""
        if not self.closed:
            self.step(Leave())
            self.close()

    def set_instances(self, instances: int) -> None:
        if instances != self.member.me.instances:
            self.step(InstancesChanged(instances))

    def change_keys(self, keys: tuple[bytes, ...]) -> None:
        self.seal.set_keys(keys)

    # Entries

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
                self._send(action)
            elif isinstance(action, Sync):
                self._start_task(self._sync(action.address))
            elif isinstance(action, Changed):
                self.on_view(action.view)
            elif isinstance(action, EntriesReceived):
                self.on_entries(action.entries)
            elif isinstance(action, LogLine):
                self.on_log(action.text)

    def _start_task(self, coroutine: Any) -> None:
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
        """Ignores ICMP errors such as a closed port: the probes detect that the member does not respond."""

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self.budget <= 0:
            self.counts.over_budget += 1
            return
        self.budget -= 1
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        try:
            if len(data) > MAX_DATAGRAM_BYTES:
                raise InvalidMessage(
                    f"a datagram of {len(data)} bytes, expected at most {MAX_DATAGRAM_BYTES}"
                )
            run_id, number, plaintext = self.seal.decrypt(data)
            envelope = unpack(plaintext, run_id, number)
        except AuthenticationFailed:
            self._on_unauthenticated(f"a datagram from {addr[0]}")
            return
        except InvalidMessage:
            self.counts.unreadable += 1
            return
        self.step(DatagramReceived(envelope))

    def _on_unauthenticated(self, source: str) -> None:
        self.counts.unauthenticated += 1
        if not self.logged_unauthenticated:
            self.logged_unauthenticated = True
            self.on_log(f"peers: {source} is not sealed by a key of ours; told once, then counted")

    def _send(self, action: SendDatagram) -> None:
        envelope = action.envelope
        data = self.seal.encrypt(envelope.number, pack(envelope))
        if self.transport is None or self.transport.is_closing() or len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            self.transport.sendto(data, split_address(action.address))
        except (OSError, ValueError):
            return  # a member with an unusable address counts as one that does not respond
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
                nonce, own_key_id = os.urandom(NONCE_BYTES), self.seal.active_key_id
                writer.write(HELLO.pack(VERSION, own_key_id, nonce))
                seal = StreamSeal(
                    self.seal.keys[own_key_id], nonce, await reader.readexactly(NONCE_BYTES), True
                )
                offered_at = clock()
                self._write_frame(writer, seal, pack_sync(self.member.offer(offered_at)))
                reply = unpack_sync(await self._read_frame(reader, seal))
                if clock() - offered_at > STREAM_TIMEOUT_S:
                    raise TimeoutError
                content, actions = self.member.on_reply(clock(), reply, offered_at)
                self._write_frame(writer, seal, pack_sync(content))
                await writer.drain()
                self.counts.streams += 1
                self._carry_out(actions)
        except (
            OSError,
            ValueError,
            KeyError,
            asyncio.IncompleteReadError,
            AuthenticationFailed,
            InvalidMessage,
        ) as error:
            self._stream_failed(error, f"a reply from {address}")
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
                started_at = clock()
                version, peer_key_id, peer_nonce = HELLO.unpack(await reader.readexactly(HELLO.size))
                key = self.seal.keys.get(peer_key_id)
                if version != VERSION or key is None:
                    raise AuthenticationFailed(f"version {version}, expected {VERSION}, or an unknown key")
                nonce = os.urandom(NONCE_BYTES)
                writer.write(nonce)
                seal = StreamSeal(key, peer_nonce, nonce, False)
                offer = unpack_sync(await self._read_frame(reader, seal))
                replied_at = clock()
                self._write_frame(writer, seal, pack_sync(self.member.on_offer(replied_at, offer)))
                await writer.drain()
                content = unpack_sync(await self._read_frame(reader, seal))
                if clock() - started_at > STREAM_TIMEOUT_S:
                    raise TimeoutError
                self._carry_out(self.member.on_content(clock(), content, replied_at))
        except (OSError, asyncio.IncompleteReadError, AuthenticationFailed, InvalidMessage) as error:
            self._stream_failed(error, "a stream")
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.inbound_streams -= 1
            writer.close()

    def _stream_failed(self, error: Exception, source: str) -> None:
        self.counts.failed_streams += 1
        if isinstance(error, AuthenticationFailed):
            self._on_unauthenticated(source)
        elif isinstance(error, InvalidMessage):
            self.counts.unreadable += 1

    def _write_frame(self, writer: asyncio.StreamWriter, seal: StreamSeal, plaintext: bytes) -> None:
        data = seal.encrypt(plaintext)
        self.counts.sent_bytes += len(data) + FRAME_LENGTH.size
        writer.write(FRAME_LENGTH.pack(len(data)) + data)

    async def _read_frame(self, reader: asyncio.StreamReader, seal: StreamSeal) -> bytes:
        (length,) = FRAME_LENGTH.unpack(await reader.readexactly(FRAME_LENGTH.size))
        if length > MAX_FRAME_BYTES:
            raise InvalidMessage(f"a frame of {length} bytes, expected at most {MAX_FRAME_BYTES}")
        self.counts.received_bytes += length + FRAME_LENGTH.size
        return seal.decrypt(await reader.readexactly(length))
