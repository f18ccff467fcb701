"""Peers with a wrong key, invalid frames, no data, or that never read: limited in cost, logged once."""

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
from flintlatch.peers.shell import split_address
from tests.delivery.loopback import (
    HELLO_AS_PROXY,
    KEYS,
    OTHER_KEYS,
    RULES,
    TEST_TIMEOUT_S,
    RawSubscriber,
    run,
    running_cluster,
    wait_until,
)


def test_during_a_key_rotation_both_keys_are_accepted_and_an_unknown_one_is_not() -> None:
    async def test() -> None:
        async with running_cluster() as cluster:
            server = Server(
                Participant("origin"), "127.0.0.1:0", RULES, KEYS + OTHER_KEYS, cluster.log_lines.append
            )
            await server.open()
            cluster.servers.append(server)
            cluster.commit(a={"x": b"1"})
            participant = Participant("origin", "r", "a", server.address)
            old, new = (
                cluster.follow("a", relays=(participant,)),
                cluster.follow("a", relays=(participant,), keys=OTHER_KEYS),
            )
            await wait_until(lambda: old.holds(cluster.wanted) and new.holds(cluster.wanted), "both keys")
            assert cluster.log_lines == []
            unknown = cluster.follow("a", relays=(participant,), keys=(b"\1" * 32,))
            await wait_until(lambda: server.listener.counts.foreign >= 2, "attempts")
            assert unknown.changed == []
            unknown.client.change_keys(OTHER_KEYS)
            await wait_until(lambda: unknown.holds(cluster.wanted), "the change to a known key")
            assert cluster.log_lines == [f"delivery: refused {FOREIGN}; told once, then counted"]

    run(test())


@pytest.mark.parametrize("fault", ["altered", "replayed", "no message", "too long", "forged", "incomplete"])
def test_an_invalid_frame_ends_only_its_session_and_is_logged_once(fault: str) -> None:
    async def test() -> None:
        async with running_cluster() as cluster:
            origin = await cluster.serve("origin")
            cluster.commit(a={"x": b"1"})
            valid = cluster.follow("a", relays=(origin,))
            await wait_until(lambda: valid.holds(cluster.wanted))
            listener = cluster.servers[0].listener
            for _ in range(3):
                raw = await RawSubscriber.open(origin.address)
                raw.send(HELLO_AS_PROXY)
                await raw.receive()
                # Frames are numbered, so one may only be sealed if it is sent.
                frame = b"" if fault == "no message" else raw.frame(encode(Ping(1)))
                if fault == "altered":
                    raw.writer.write(frame[:-1] + bytes([frame[-1] ^ 1]))
                elif fault == "replayed":
                    raw.writer.write(frame + frame)
                elif fault == "no message":
                    raw.writer.write(raw.frame(b"\x93\x05"))
                elif fault == "too long":
                    raw.writer.write(LENGTH.pack(MAX_FRAME_BYTES + 1))
                elif fault == "forged":
                    raw.writer.write(LENGTH.pack(40) + os.urandom(40))
                else:
                    raw.writer.write(frame[:-3])
                    raw.writer.write_eof()
                await raw.wait_closed()
            sessions = cluster.servers[0].relay.sessions
            await wait_until(lambda: len(sessions) == 1, "the end of the sessions")
            reason = {"no message": UNREADABLE, "too long": UNREADABLE, "incomplete": ""}.get(fault, FOREIGN)
            expected_log = [f"delivery: refused {reason}; told once, then counted"] if reason else []
            assert cluster.log_lines == expected_log
            counted = listener.counts.unreadable if reason == UNREADABLE else listener.counts.foreign
            assert counted == (3 if reason else 0)
            cluster.commit(a={"x": b"2"})
            await wait_until(lambda: valid.holds(cluster.wanted), "a change for the valid follower")

    run(test())


def test_half_open_connections_are_limited_in_number_and_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shell_below, "MAX_HALF_OPEN", 8)
    monkeypatch.setattr(shell_below, "HALF_OPEN_TIMEOUT_S", 1.0)

    async def test() -> None:
        async with running_cluster() as cluster:
            origin = await cluster.serve("origin")
            cluster.commit(a={"x": b"1"})
            listener = cluster.servers[0].listener
            silent, most_half_open = [], 0
            for _ in range(40):
                silent.append(await asyncio.open_connection(*split_address(origin.address)))
                most_half_open = max(most_half_open, len(listener.half_open))
            await wait_until(lambda: listener.counts.half_open >= 32, "the limit of eight")
            assert most_half_open == 8
            valid = cluster.follow("a", relays=(origin,))
            await wait_until(lambda: valid.holds(cluster.wanted), "a valid follower")
            await wait_until(lambda: not listener.half_open, "the end of all half-open connections")
            assert listener.counts.half_open == 40
            for reader, writer in silent:
                assert await asyncio.wait_for(reader.read(), TEST_TIMEOUT_S) == b""
                writer.close()
            assert valid.client.relay_name() == "origin"  # its session is not affected

    run(test())


def test_a_subscriber_that_never_reads_is_ended_within_a_bounded_buffer() -> None:
    async def test() -> None:
        async with running_cluster() as cluster:
            origin = await cluster.serve("origin", rules=replace(RULES, silence_s=100.0))
            cluster.commit(a={f"i{n}": bytes(10_000) for n in range(90)}, b={"x": b"1"})
            raw = await RawSubscriber.open(origin.address)
            raw.send(HELLO_AS_PROXY, Subscribe((), ("a",)), Credit(1 << 28))
            raw.writer.transport.pause_reading()  # type: ignore[attr-defined]
            server = cluster.servers[0]
            await wait_until(lambda: bool(server.relay.sessions), "the session")
            (number,) = server.relay.sessions
            most_unsent = 0

            def unsent() -> int:
                connection = server.listener.streams.get(number)
                return (
                    0
                    if connection is None or connection.transport is None
                    else connection.transport.get_write_buffer_size()
                )

            for turn in range(400_000):  # pongs of 30 bytes, far more than the buffer may hold
                raw.send(Ping(turn))
                most_unsent = max(most_unsent, unsent())
                if turn % 1000 == 0:
                    raw.send(Applied(server.store.revision))
                    await asyncio.sleep(0)
                    if number not in server.relay.sessions:
                        break
            await wait_until(lambda: number not in server.relay.sessions, "the end of the session")
            assert server.listener.counts.overfull == 1
            assert most_unsent <= stream.MAX_UNSENT_BYTES + MAX_FRAME_BYTES
            raw.writer.close()

    run(test())


def test_sending_pauses_while_the_write_buffer_is_full_and_then_continues() -> None:
    """The data exceeds the kernel's buffers and is covered by credit. Without the pause, the session would be
    ended because the subscriber does not read."""

    async def test() -> None:
        async with running_cluster() as cluster:
            origin = await cluster.serve("origin", rules=replace(RULES, silence_s=100.0))
            large = {f"o{n}": {f"i{k}": bytes(10_000) for k in range(90)} for n in range(24)}
            cluster.commit(**large)
            raw = await RawSubscriber.open(origin.address)
            raw.writer.transport.pause_reading()  # type: ignore[attr-defined]
            raw.send(HELLO_AS_PROXY, Subscribe((), tuple(large)), Credit(1 << 28))
            server = cluster.servers[0]
            await wait_until(lambda: any(s.paused for s in server.relay.sessions.values()), "a pause")
            ((number, connection),) = server.listener.streams.items()
            assert connection.transport is not None
            idle_polls, sent = 0, 0
            while idle_polls < 20:  # until nothing is sent any more
                await asyncio.sleep(0.01)
                idle_polls = idle_polls + 1 if server.listener.counts.bytes_out == sent else 0
                sent = server.listener.counts.bytes_out
                max_unsent = stream.WRITE_HIGH_WATER_BYTES + TURN_BYTES + MAX_FRAME_BYTES
                assert connection.transport.get_write_buffer_size() <= max_unsent
            assert sent < 20 * 900_000
            raw.writer.transport.resume_reading()  # type: ignore[attr-defined]
            item_count = 0
            while not isinstance(message := await raw.receive(), End):
                item_count += len(message.items) if isinstance(message, ObjectPart) else 0
            assert item_count == 24 * 90 and number in server.relay.sessions
            assert server.listener.counts.overfull == 0
            raw.writer.close()

    run(test())
