"""Clients, relays and the origin on loopback sockets: what comes into force, and within which bounds."""

from __future__ import annotations

import asyncio
import contextlib
import os
from dataclasses import replace

import pytest

from flintlatch.delivery.model import (
    Participant,
)
from flintlatch.delivery.shell import EventQueue, Server
from flintlatch.delivery.wire import MAX_FRAME_BYTES
from flintlatch.peers.clock import clock
from flintlatch.peers.shell import NotBound
from tests.delivery.loopback import KEYS, LIMIT_S, RULES, fabric, run, until


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
            # The relay reports its first state at its next tick, perhaps after the follower has the state.
            await until(lambda: bool(made.told), "the relay's report of its first state")
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
            assert one.client.subscriber.ready() and one.client.relay_name() == "r0"
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
            first = one.client.relay_name()
            made.servers[1 + int(first[1])].close()
            made.commit(a={"x": b"2"})
            await until(lambda: one.holds({"a": {"x": b"2"}}), "the change at the other")
            assert one.client.relay_name() not in ("", first)
            assert [c.changes[0].items for c in one.changed] == [{"x": b"1"}, {"x": b"2"}]

    run(test())


def test_a_store_much_larger_than_sockets_and_windows_comes_whole() -> None:
    """Paused and drained sockets, turns of the relay, credit: all of it at 2 MB and 20 subscribers."""

    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin")
            rules = replace(RULES, bytes_per_s=50e6, burst_bytes=50e6)
            relay = await made.serve("r0", (origin,), rules)
            large = {f"o{n}": {f"i{k}": os.urandom(1000) for k in range(100)} for n in range(20)}
            made.commit(**large)
            some = [made.follow(*large, relays=(relay,), rules=rules) for _ in range(20)]
            await until(lambda: all(one.holds(large) for one in some), "all of it")
            await until(lambda: bool(made.told), "the relay's report that it serves")
            assert len(made.told) == 1

    run(test())


def test_bytes_on_the_socket_stay_within_burst_and_rate_at_any_moment() -> None:
    """Whatever the relay may send on: its own rules know no limit here, the receiver's do."""

    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve(
                "origin", rules=replace(RULES, bytes_per_s=1e9, burst_bytes=1e9, window_bytes=1e9)
            )
            made.commit(**{f"o{n}": {f"i{k}": os.urandom(1000) for k in range(20)} for n in range(20)})
            mine = replace(RULES, bytes_per_s=150_000.0, burst_bytes=80_000.0, window_bytes=MAX_FRAME_BYTES)
            one = made.follow(*made.wanted, relays=(origin,), rules=mine)
            began, unpaid = clock(), 4096  # welcome and pongs are answers, and not on credit
            worst = 0.0
            while not one.holds(made.wanted):
                worst = max(
                    worst,
                    one.client.counts.bytes_in - mine.burst_bytes - mine.bytes_per_s * (clock() - began),
                )
                assert clock() - began < LIMIT_S
                await asyncio.sleep(0.002)
            assert worst <= unpaid
            assert (
                clock() - began >= (400_000 - mine.burst_bytes) / mine.bytes_per_s
            )  # and it was the bound that held it

    run(test())


def test_events_of_carrying_out_wait_until_all_of_the_event_before_is_done() -> None:
    order = []

    def step(event: str) -> None:
        order.append(event)
        if event == "first":
            turns.submit("second")
            order.append("rest of the first")

    turns: EventQueue[str] = EventQueue(step)
    turns.submit("first")
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
            dead = Participant("dead", "r", "a", f"127.0.0.1:{port}")
            some = [made.follow("a", relays=(dead, origin)) for _ in range(6)]
            await until(lambda: all(one.holds(made.wanted) for one in some), "the one that answers")
            assert held  # some had chosen the silent one first
            await until(lambda: len(ended) == len(held), "ends of the attempts")
            assert all(len(one.client.connections.streams) == 1 for one in some)
        server.close()

    run(test())


def test_an_address_that_is_taken_is_said_so() -> None:
    async def test() -> None:
        async with fabric() as made:
            origin = await made.serve("origin")
            with pytest.raises(NotBound, match="in use"):
                await Server(Participant("x"), origin.address, RULES, KEYS, made.told.append).open()

    run(test())
