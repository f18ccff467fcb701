"""Who connects with another key, says what is no message, says nothing or never reads: bounded, told once."""

from __future__ import annotations

import asyncio
import os
from dataclasses import replace

import pytest

from flintlatch.delivery import shell_below, stream
from flintlatch.delivery.model import (
    Applied,
    Credit,
    End,
    ObjectPart,
    Participant,
    Ping,
    Subscribe,
)
from flintlatch.delivery.relay import TURN_BYTES
from flintlatch.delivery.shell import Server
from flintlatch.delivery.stream import FOREIGN, LENGTH, UNREADABLE
from flintlatch.delivery.wire import MAX_FRAME_BYTES, encode
from flintlatch.peers.shell import split
from tests.delivery.loopback import HELLO_AS_PROXY, KEYS, LIMIT_S, OTHER, RULES, Raw, fabric, run, until


def test_a_new_key_is_taken_while_both_are_known_and_a_foreign_one_is_not() -> None:
    async def test() -> None:
        async with fabric() as made:
            server = Server(Participant("origin"), "127.0.0.1:0", RULES, KEYS + OTHER, made.told.append)
            await server.open()
            made.servers.append(server)
            made.commit(a={"x": b"1"})
            place = Participant("origin", "r", "a", server.address)
            old, new = made.follow("a", relays=(place,)), made.follow("a", relays=(place,), keys=OTHER)
            await until(lambda: old.holds(made.wanted) and new.holds(made.wanted), "both keys")
            assert made.told == []
            foreign = made.follow("a", relays=(place,), keys=(b"\1" * 32,))
            await until(lambda: server.listener.counts.foreign >= 2, "attempts")
            assert foreign.changed == []
            foreign.client.change_keys(OTHER)
            await until(lambda: foreign.holds(made.wanted), "a key that is known")
            assert made.told == [f"delivery: refused {FOREIGN}; told once, then counted"]

    run(test())


@pytest.mark.parametrize("fault", ["changed", "twice", "no message", "too long", "stranger", "half"])
def test_a_frame_that_is_not_ours_ends_its_session_alone_and_is_told_once(fault: str) -> None:
    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin")
            made.commit(a={"x": b"1"})
            good = made.follow("a", relays=(origin,))
            await until(lambda: good.holds(made.wanted))
            below = made.servers[0].listener
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
                    raw.writer.write(LENGTH.pack(MAX_FRAME_BYTES + 1))
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
    monkeypatch.setattr(shell_below, "MAX_HALF_OPEN", 8)
    monkeypatch.setattr(shell_below, "HALF_OPEN_TIMEOUT_S", 1.0)

    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin")
            made.commit(a={"x": b"1"})
            below = made.servers[0].listener
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
            assert good.client.relay_name() == "origin"  # it was open, and stays

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
                one = server.listener.streams.get(number)
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
            assert server.listener.counts.overfull == 1
            assert most <= stream.MAX_UNSENT_BYTES + MAX_FRAME_BYTES
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
            ((number, one),) = server.listener.streams.items()
            assert one.transport is not None
            quiet, sent = 0, 0
            while quiet < 20:  # no more is sent
                await asyncio.sleep(0.01)
                quiet = quiet + 1 if server.listener.counts.bytes_out == sent else 0
                sent = server.listener.counts.bytes_out
                most = stream.WRITE_HIGH_WATER_BYTES + TURN_BYTES + MAX_FRAME_BYTES
                assert one.transport.get_write_buffer_size() <= most
            assert sent < 20 * 900_000
            raw.writer.transport.resume_reading()  # type: ignore[attr-defined]
            got = 0
            while not isinstance(message := await raw.hear(), End):
                got += len(message.items) if isinstance(message, ObjectPart) else 0
            assert got == 24 * 90 and number in server.relay.sessions
            assert server.listener.counts.overfull == 0
            raw.writer.close()

    run(test())
