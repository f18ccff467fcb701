"""Clients, relays and the origin on loopback sockets: delivery of changes, limits, and lost relays."""

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
from flintlatch.peers.shell import BindError
from tests.delivery.loopback import KEYS, RULES, TEST_TIMEOUT_S, run, running_cluster, wait_until


def test_commits_arrive_through_a_relay_as_deltas() -> None:
    async def test() -> None:
        async with running_cluster() as cluster:
            origin = await cluster.serve("origin")
            relay = await cluster.serve("r0", (origin,))
            cluster.commit(a={"x": b"1", "y": b"2"}, b={"z": b"3"})
            first = cluster.servers[0].store.revision
            follower = cluster.follow("a", "none", relays=(relay,))
            await wait_until(lambda: follower.holds({"a": {"x": b"1", "y": b"2"}}), "the first state")
            assert follower.absent == ["none"]
            # The relay logs its first state at its next tick, possibly after the follower has received it.
            await wait_until(lambda: bool(cluster.log_lines), "the relay's log line on its first state")
            cluster.commit(a={"x": b"1", "y": b"5"}, b={"z": b"4"})
            await wait_until(lambda: follower.holds({"a": {"x": b"1", "y": b"5"}}), "the change")
            (change,) = follower.changed[-1].changes
            assert change.items == {"y": b"5"}  # only the changed item
            follower.client.follow(("b",))
            await wait_until(
                lambda: follower.holds({"a": {"x": b"1", "y": b"5"}, "b": {"z": b"4"}}), "a second name"
            )
            follower.client.unfollow(("a",))
            await wait_until(lambda: follower.holds({"b": {"z": b"4"}}), "the end of the first")
            cluster.wanted.pop("b")
            cluster.commit()
            await wait_until(lambda: follower.holds({}) and "b" in follower.absent, "the deletion")
            assert follower.client.subscriber.ready() and follower.client.relay_name() == "r0"
            assert follower.log_lines == []
            assert cluster.log_lines == [f"delivery: holds revision {first}, 2 objects; serving"]
            assert "1 subscribers" in cluster.servers[1].status()
            assert follower.client.counts.bytes_in > 0 and follower.client.counts.frames_out > 0

    run(test())


def test_a_follower_switches_to_another_relay_and_nothing_is_sent_twice() -> None:
    async def test() -> None:
        async with running_cluster() as cluster:
            origin = await cluster.serve("origin")
            relays = (await cluster.serve("r0", (origin,)), await cluster.serve("r1", (origin,)))
            cluster.commit(a={"x": b"1"})
            follower = cluster.follow("a", relays=relays)
            await wait_until(lambda: follower.holds({"a": {"x": b"1"}}))
            await wait_until(lambda: all(server.age() is not None for server in cluster.servers))
            first = follower.client.relay_name()
            cluster.servers[1 + int(first[1])].close()
            cluster.commit(a={"x": b"2"})
            await wait_until(lambda: follower.holds({"a": {"x": b"2"}}), "the change at the other relay")
            assert follower.client.relay_name() not in ("", first)
            assert [c.changes[0].items for c in follower.changed] == [{"x": b"1"}, {"x": b"2"}]

    run(test())


def test_a_store_much_larger_than_buffers_and_windows_arrives_complete() -> None:
    """2 MB for each of 20 subscribers exercise paused sockets, turns of sending and credit together."""

    async def test() -> None:
        async with running_cluster() as cluster:
            origin = await cluster.serve("origin")
            rules = replace(RULES, bytes_per_s=50e6, burst_bytes=50e6)
            relay = await cluster.serve("r0", (origin,), rules)
            large = {f"o{n}": {f"i{k}": os.urandom(1000) for k in range(100)} for n in range(20)}
            cluster.commit(**large)
            followers = [cluster.follow(*large, relays=(relay,), rules=rules) for _ in range(20)]
            await wait_until(
                lambda: all(follower.holds(large) for follower in followers), "the complete store"
            )
            await wait_until(lambda: bool(cluster.log_lines), "the relay's log line that it serves")
            assert len(cluster.log_lines) == 1

    run(test())


def test_received_bytes_stay_within_burst_and_rate_at_any_time() -> None:
    """The relay's own rules set no limit here, so the receiver's credit alone has to enforce it."""

    async def test() -> None:
        async with running_cluster() as cluster:
            origin = await cluster.serve(
                "origin", rules=replace(RULES, bytes_per_s=1e9, burst_bytes=1e9, window_bytes=1e9)
            )
            cluster.commit(**{f"o{n}": {f"i{k}": os.urandom(1000) for k in range(20)} for n in range(20)})
            limited = replace(
                RULES, bytes_per_s=150_000.0, burst_bytes=80_000.0, window_bytes=MAX_FRAME_BYTES
            )
            follower = cluster.follow(*cluster.wanted, relays=(origin,), rules=limited)
            started_at, control_bytes = clock(), 4096  # welcome and pongs are sent without credit
            worst = 0.0
            while not follower.holds(cluster.wanted):
                worst = max(
                    worst,
                    follower.client.counts.bytes_in
                    - limited.burst_bytes
                    - limited.bytes_per_s * (clock() - started_at),
                )
                assert clock() - started_at < TEST_TIMEOUT_S
                await asyncio.sleep(0.002)
            assert worst <= control_bytes
            # Otherwise the limit was not exercised.
            assert clock() - started_at >= (400_000 - limited.burst_bytes) / limited.bytes_per_s

    run(test())


def test_an_event_submitted_during_another_is_handled_after_it() -> None:
    order = []

    def step(event: str) -> None:
        order.append(event)
        if event == "first":
            queue.submit("second")
            order.append("rest of the first")

    queue: EventQueue[str] = EventQueue(step)
    queue.submit("first")
    assert order == ["first", "rest of the first", "second"]


def test_a_connection_to_a_relay_that_never_answers_is_closed() -> None:
    async def test() -> None:
        accepted: list[asyncio.StreamWriter] = []
        closed: list[bool] = []

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            accepted.append(writer)
            with contextlib.suppress(ConnectionError):
                await reader.read()
                while not reader.at_eof():
                    await reader.read()
            closed.append(True)

        server = await asyncio.start_server(silent, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with running_cluster() as cluster:
            origin = await cluster.serve("origin")
            cluster.commit(a={"x": b"1"})
            silent_relay = Participant("dead", "r", "a", f"127.0.0.1:{port}")
            followers = [cluster.follow("a", relays=(silent_relay, origin)) for _ in range(6)]
            await wait_until(
                lambda: all(follower.holds(cluster.wanted) for follower in followers),
                "the relay that answers",
            )
            assert accepted  # some followers tried the silent relay first
            await wait_until(lambda: len(closed) == len(accepted), "the end of the attempts")
            assert all(len(follower.client.connections.streams) == 1 for follower in followers)
        server.close()

    run(test())


def test_an_address_in_use_is_reported() -> None:
    async def test() -> None:
        async with running_cluster() as cluster:
            origin = await cluster.serve("origin")
            with pytest.raises(BindError, match="in use"):
                await Server(Participant("x"), origin.address, RULES, KEYS, cluster.log_lines.append).open()

    run(test())
