"""Clients, relays and the origin in one process, on loopback sockets: what comes into force; strangers."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import replace
from typing import Any

import pytest
import uvloop

from flintlatch.delivery import shell_below, stream
from flintlatch.delivery.model import (
    Applied,
    Credit,
    End,
    Hello,
    Message,
    PartOf,
    Ping,
    Place,
    Role,
    Rules,
    Subscribe,
)
from flintlatch.delivery.relay import TURN_BYTES
from flintlatch.delivery.shell import Client, Server, Turns
from flintlatch.delivery.stream import FOREIGN, LENGTH, UNREADABLE
from flintlatch.delivery.subscriber import Changed
from flintlatch.delivery.wire import FRAME_MOST, encode, from_relay
from flintlatch.peers.seal import HELLO, NONCE_BYTES, VERSION, StreamSeal, named
from flintlatch.peers.shell import NotBound, split

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

    def __init__(self, name: str, relays: tuple[Place, ...], keys: tuple[bytes, ...] = KEYS) -> None:
        self.changed: list[Changed] = []
        self.absent: list[str] = []
        self.told: list[str] = []
        self.client = Client(
            Place(name, "r", "a"),
            Role.PROXY,
            relays,
            RULES,
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

    async def serve(self, name: str, origins: tuple[Place, ...] = (), rules: Rules = RULES) -> Place:
        server = Server(Place(name), "127.0.0.1:0", rules, KEYS, self.told.append, origins)
        await server.open()
        self.servers.append(server)
        return Place(name, "r", "a", server.address)

    def commit(self, **objects: dict[str, bytes]) -> None:
        self.wanted |= objects
        origin = self.servers[0]
        origin.committed(tuple(origin.store.replace(self.wanted)))

    def follow(self, *names: str, relays: tuple[Place, ...], keys: tuple[bytes, ...] = KEYS) -> Follower:
        follower = Follower(f"p{len(self.followers)}", relays, keys)
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


def test_what_is_committed_comes_into_force_through_a_relay_as_deltas() -> None:
    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin")
            relay = await made.serve("r0", (origin,))
            made.commit(a={"x": b"1", "y": b"2"}, b={"z": b"3"})
            first = made.servers[0].store.revision
            one = made.follow("a", "none", relays=(relay,))
            await until(lambda: one.holds({"a": {"x": b"1", "y": b"2"}}), "the first state")
            assert one.absent == ["none"]
            made.commit(a={"x": b"1", "y": b"5"}, b={"z": b"4"})
            await until(lambda: one.holds({"a": {"x": b"1", "y": b"5"}}), "the change")
            (change,) = one.changed[-1].changes
            assert change.items == {"y": b"5"}  # and no more than that
            one.client.follow(("b",))
            await until(lambda: one.holds({"a": {"x": b"1", "y": b"5"}, "b": {"z": b"4"}}), "a second name")
            one.client.unfollow(("a",))
            await until(lambda: one.holds({"b": {"z": b"4"}}), "no more of the first")
            made.wanted.pop("b")
            made.commit()
            await until(lambda: one.holds({}) and "b" in one.absent, "its end")
            assert one.client.subscriber.ready() and one.client.relay() == "r0"
            assert one.told == []
            assert made.told == [f"delivery: holds revision {first}, 2 objects; serving"]
            assert "1 subscribers" in made.servers[1].status()
            assert one.client.counts.bytes_in > 0 and one.client.counts.frames_out > 0

    run(test())


def test_a_relay_that_ends_is_left_for_the_other_and_nothing_is_sent_twice() -> None:
    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin")
            relays = (await made.serve("r0", (origin,)), await made.serve("r1", (origin,)))
            made.commit(a={"x": b"1"})
            one = made.follow("a", relays=relays)
            await until(lambda: one.holds({"a": {"x": b"1"}}))
            await until(lambda: all(server.age() is not None for server in made.servers))
            first = one.client.relay()
            made.servers[1 + int(first[1])].close()
            made.commit(a={"x": b"2"})
            await until(lambda: one.holds({"a": {"x": b"2"}}), "the change at the other")
            assert one.client.relay() not in ("", first)
            assert [c.changes[0].items for c in one.changed] == [{"x": b"1"}, {"x": b"2"}]

    run(test())


def test_a_store_much_larger_than_sockets_and_windows_comes_whole() -> None:
    """Paused and drained sockets, turns of the relay, credit: all of it at 2 MB and 20 subscribers."""

    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin")
            rules = replace(RULES, rate=50e6, burst=50e6)
            relay = await made.serve("r0", (origin,), rules)
            large = {f"o{n}": {f"i{k}": os.urandom(1000) for k in range(100)} for n in range(20)}
            made.commit(**large)
            some = [made.follow(*large, relays=(relay,)) for _ in range(20)]
            for one in some:
                one.client.subscriber.rules = rules
                one.client.subscriber.tokens = rules.burst
            await until(lambda: all(one.holds(large) for one in some), "all of it")
            assert len(made.told) == 1  # that the relay serves

    run(test())


def test_a_new_key_is_taken_while_both_are_known_and_a_foreign_one_is_not() -> None:
    async def test() -> None:
        async with fabric() as made:
            server = Server(Place("origin"), "127.0.0.1:0", RULES, KEYS + OTHER, made.told.append)
            await server.open()
            made.servers.append(server)
            made.commit(a={"x": b"1"})
            place = Place("origin", "r", "a", server.address)
            old, new = made.follow("a", relays=(place,)), made.follow("a", relays=(place,), keys=OTHER)
            await until(lambda: old.holds(made.wanted) and new.holds(made.wanted), "both keys")
            assert made.told == []
            foreign = made.follow("a", relays=(place,), keys=(b"\1" * 32,))
            await until(lambda: server.below.counts.foreign >= 2, "attempts")
            assert foreign.changed == []
            assert made.told == [f"delivery: refused {FOREIGN}; told once, then counted"]

    run(test())


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


@pytest.mark.parametrize("fault", ["changed", "twice", "no message", "too long", "stranger", "half"])
def test_a_frame_that_is_not_ours_ends_its_session_alone_and_is_told_once(fault: str) -> None:
    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin")
            made.commit(a={"x": b"1"})
            good = made.follow("a", relays=(origin,))
            await until(lambda: good.holds(made.wanted))
            below = made.servers[0].below
            for _ in range(3):
                raw = await Raw.open(origin.address)
                raw.say(HELLO_AS_PROXY)
                await raw.hear()
                frame = b"" if fault == "no message" else raw.frame(encode(Ping(1)))  # frames are numbered
                if fault == "changed":
                    raw.writer.write(frame[:-1] + bytes([frame[-1] ^ 1]))
                elif fault == "twice":
                    raw.writer.write(frame + frame)
                elif fault == "no message":
                    raw.writer.write(raw.frame(b"\x93\x05"))
                elif fault == "too long":
                    raw.writer.write(LENGTH.pack(FRAME_MOST + 1))
                elif fault == "stranger":
                    raw.writer.write(LENGTH.pack(40) + os.urandom(40))
                else:
                    raw.writer.write(frame[:-3])
                    raw.writer.write_eof()
                await raw.ended()
            sessions = made.servers[0].relay.sessions
            await until(lambda: len(sessions) == 1, "their ends")
            why = {"no message": UNREADABLE, "too long": UNREADABLE, "half": ""}.get(fault, FOREIGN)
            told = [f"delivery: refused {why}; told once, then counted"] if why else []
            assert made.told == told
            counted = below.counts.unreadable if why == UNREADABLE else below.counts.foreign
            assert counted == (3 if why else 0)
            made.commit(a={"x": b"2"})
            await until(lambda: good.holds(made.wanted), "news for the good one")

    run(test())


def test_strangers_that_say_nothing_are_few_and_gone_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shell_below, "HALF_OPEN_MOST", 8)
    monkeypatch.setattr(shell_below, "HALF_OPEN_S", 1.0)

    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin")
            made.commit(a={"x": b"1"})
            below = made.servers[0].below
            silent, most = [], 0
            for _ in range(40):
                silent.append(await asyncio.open_connection(*split(origin.address)))
                most = max(most, len(below.half_open))
            await until(lambda: below.counts.half_open >= 32, "no more than eight")
            assert most == 8
            good = made.follow("a", relays=(origin,))
            await until(lambda: good.holds(made.wanted), "one that speaks")
            await until(lambda: not below.half_open, "the end of all")
            assert below.counts.half_open == 40
            for reader, writer in silent:
                assert await asyncio.wait_for(reader.read(), LIMIT_S) == b""
                writer.close()
            assert good.client.relay() == "origin"  # it was open, and stays

    run(test())


def test_one_that_asks_and_never_reads_costs_a_bounded_buffer_and_is_ended() -> None:
    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin", rules=replace(RULES, silence_s=100.0))
            made.commit(a={f"i{n}": bytes(10_000) for n in range(90)}, b={"x": b"1"})
            raw = await Raw.open(origin.address)
            raw.say(HELLO_AS_PROXY, Subscribe((), ("a",)), Credit(1 << 28))
            raw.writer.transport.pause_reading()  # type: ignore[attr-defined]
            server = made.servers[0]
            await until(lambda: bool(server.relay.sessions), "its session")
            (number,) = server.relay.sessions
            most = 0

            def unsent() -> int:
                one = server.below.streams.get(number)
                return 0 if one is None or one.transport is None else one.transport.get_write_buffer_size()

            for turn in range(400_000):  # pongs of 30 bytes: far more than may lie there
                raw.say(Ping(turn))
                most = max(most, unsent())
                if turn % 1000 == 0:
                    raw.say(Applied(server.store.revision))
                    await asyncio.sleep(0)
                    if number not in server.relay.sessions:
                        break
            await until(lambda: number not in server.relay.sessions, "its end")
            assert server.below.counts.overfull == 1
            assert most <= stream.UNSENT_MOST + FRAME_MOST
            raw.writer.close()

    run(test())


def test_a_socket_that_takes_no_more_is_paused_and_goes_on_once_it_does() -> None:
    """More than the kernel's buffers, all on credit: without the pause it would be ended as one that does not
    read."""

    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin", rules=replace(RULES, silence_s=100.0))
            large = {f"o{n}": {f"i{k}": bytes(10_000) for k in range(90)} for n in range(24)}
            made.commit(**large)
            raw = await Raw.open(origin.address)
            raw.writer.transport.pause_reading()  # type: ignore[attr-defined]
            raw.say(HELLO_AS_PROXY, Subscribe((), tuple(large)), Credit(1 << 28))
            server = made.servers[0]
            await until(lambda: any(s.paused for s in server.relay.sessions.values()), "a pause")
            ((number, one),) = server.below.streams.items()
            assert one.transport is not None
            quiet, sent = 0, 0
            while quiet < 20:  # no more is sent
                await asyncio.sleep(0.01)
                quiet = quiet + 1 if server.below.counts.bytes_out == sent else 0
                sent = server.below.counts.bytes_out
                most = stream.HIGH_WATER + TURN_BYTES + FRAME_MOST
                assert one.transport.get_write_buffer_size() <= most
            assert sent < 20 * 900_000
            raw.writer.transport.resume_reading()  # type: ignore[attr-defined]
            got = 0
            while not isinstance(message := await raw.hear(), End):
                got += len(message.items) if isinstance(message, PartOf) else 0
            assert got == 24 * 90 and number in server.relay.sessions
            assert server.below.counts.overfull == 0
            raw.writer.close()

    run(test())


def test_events_of_carrying_out_wait_until_all_of_the_event_before_is_done() -> None:
    order = []

    def step(event: str) -> None:
        order.append(event)
        if event == "first":
            turns.take("second")
            order.append("rest of the first")

    turns: Turns[str] = Turns(step)
    turns.take("first")
    assert order == ["first", "rest of the first", "second"]


def test_a_relay_that_never_answers_is_given_up_and_its_socket_closed() -> None:
    async def test() -> None:
        held: list[asyncio.StreamWriter] = []
        ended: list[bool] = []

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            held.append(writer)
            with contextlib.suppress(ConnectionError):
                await reader.read()
                while not reader.at_eof():
                    await reader.read()
            ended.append(True)

        server = await asyncio.start_server(silent, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with fabric() as made:
            origin = await made.serve("origin")
            made.commit(a={"x": b"1"})
            dead = Place("dead", "r", "a", f"127.0.0.1:{port}")
            some = [made.follow("a", relays=(dead, origin)) for _ in range(6)]
            await until(lambda: all(one.holds(made.wanted) for one in some), "the one that answers")
            assert held  # some had chosen the silent one first
            await until(lambda: len(ended) == len(held), "ends of the attempts")
            assert all(len(one.client.above.streams) == 1 for one in some)
        server.close()

    run(test())


def test_an_address_that_is_taken_is_said_so() -> None:
    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin")
            with pytest.raises(NotBound, match="in use"):
                await Server(Place("x"), origin.address, RULES, KEYS, made.told.append).open()

    run(test())
