"""A supervisor that dies outright: its workers serve on, and hand the listening sockets to the next one."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
from collections import Counter
from itertools import count
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from flintlatch import handover
from flintlatch.fleet import spread
from flintlatch.standin.process import FleetProcess, alive
from tests.fleet.support import TEST_TIMEOUT_S, Daemon, daemon, none_left, run

NUMBERS = count()
TWO = {"fleet": {"instances": 2}}


async def ask_once(address: str) -> str:
    """The answer's status on a connection of its own; else what went wrong."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        return f"connect: {error.strerror}"
    try:
        writer.write(
            b"GET /answer/1 HTTP/1.1\r\nHost: x\r\nX-Budget-Ms: 900\r\nX-Call-Id: h%d\r\n"
            b"Connection: close\r\n\r\n" % next(NUMBERS)
        )
        line = await reader.readline()
        return line[9:12].decode() if line else "closed without an answer"
    except ConnectionError as error:
        return f"reset: {error}"
    finally:
        writer.close()


async def ask_on(address: str, found: Counter[str], stop: asyncio.Event) -> None:
    """New connections, one every 5 ms, until told to stop."""
    asked: set[asyncio.Task[None]] = set()

    async def one() -> None:
        found[await ask_once(address)] += 1

    while not stop.is_set():
        task = asyncio.create_task(one())
        asked.add(task)
        task.add_done_callback(asked.discard)
        await asyncio.sleep(0.005)
    await asyncio.gather(*asked)


async def kill_supervisor(harness: Daemon) -> set[int]:
    pids = set(await harness.pids_now())
    os.kill(harness.fleet.process.pid, signal.SIGKILL)
    await harness.fleet.process.wait()
    return pids


def test_killed_under_load_nobody_goes_without_an_answer(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **TWO) as harness:
            found: Counter[str] = Counter()
            stop = asyncio.Event()
            load = asyncio.create_task(ask_on(harness.fleet.address, found, stop))
            await asyncio.sleep(0.3)
            pids = await kill_supervisor(harness)
            await asyncio.sleep(0.3)
            path = harness.rig.write(fleet={"instances": 2, "listen": [harness.fleet.address]})
            successor = await (await FleetProcess(path, harness.env).start()).ready()
            assert any("inherited" in line for line in successor.log)
            await none_left(pids)  # they drain once it serves
            await asyncio.sleep(0.3)
            stop.set()
            await load
            # None refused, none closed: whoever came was served by one or the other.
            assert set(found) <= {"200", "503"} and found["200"] > 0.9 * found.total(), found
            assert handover.find(str(tmp_path / "c.sock")) == []
            assert await successor.stop() == 0

    run(test())


def test_without_a_successor_they_end_by_themselves(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **TWO, drain={"orphan_s": 1.0}) as harness:
            pids = await kill_supervisor(harness)
            assert await ask_once(harness.fleet.address) == "200"
            await none_left(pids)
            assert handover.find(str(tmp_path / "c.sock")) == []
            assert (await ask_once(harness.fleet.address)).startswith("connect")

    run(test())


def test_a_worker_stuck_in_its_start_ends_though_nobody_is_there(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **TWO, start={"ready_s": 2.0}, drain={"orphan_s": 0.5}) as harness:
            harness.fault.write_text("hang")
            (victim, _) = await harness.pids_now()
            await harness.fleet.kill_worker(victim, harness.clients)
            status = await harness.fleet.until(
                lambda s: any(one["state"] == "starting" and one["pid"] for one in s["instances"])
            )
            stuck = next(one["pid"] for one in status["instances"] if one["state"] == "starting")
            await kill_supervisor(harness)
            assert alive(stuck)
            async with asyncio.timeout(TEST_TIMEOUT_S / 2):  # its own alarm, after ready_s and a second
                while alive(stuck):
                    await asyncio.sleep(0.05)
            harness.fault.unlink()

    run(test())


def test_sockets_are_offered_taken_and_their_queue_outlives_the_giver(tmp_path: Path) -> None:
    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0), backlog=8)
        taken = asyncio.Event()
        control = str(tmp_path / "c")
        offer = handover.Offer(control, [listener], taken.set)
        waiting = socket.create_connection(listener.getsockname())
        listener.close()
        (path,) = handover.find(control)
        assert os.stat(path).st_mode & 0o777 == 0o600
        (mine,) = await asyncio.to_thread(handover.take, path)
        assert not taken.is_set()
        assert await asyncio.to_thread(handover.tell_serving, path)
        await taken.wait()
        offer.close()
        assert handover.find(control) == []
        accepted, _ = mine.accept()  # the connection that came before is still there
        for sock in (waiting, accepted, mine):
            sock.close()
        # What a killed orphan left behind is found empty, and removed.
        with socket.socket(socket.AF_UNIX) as dead:
            dead.bind(f"{control}+1")
        assert handover.take(f"{control}+1") == [] and handover.find(control) == []
        assert not handover.tell_serving(f"{control}+1")

    run(test())


def test_nonsense_at_the_offer_is_hung_up_on(tmp_path: Path) -> None:
    async def test() -> None:
        offer = handover.Offer(str(tmp_path / "c"), [], lambda: None)
        for said in (b"more\n", b"", b"x" * 1000):
            reader, writer = await asyncio.open_unix_connection(offer.path)
            writer.write(said)
            writer.write_eof()
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            writer.close()
        offer.close()

    run(test())


@given(st.lists(st.integers(0, 5000), min_size=1, max_size=64))
def test_somebody_always_accepts_at_once_and_nobody_over_its_share_does(counts: list[int]) -> None:
    resting = [spread.exceeds_fair_share(held, counts) for held in counts]
    assert not resting[counts.index(min(counts))]
    mean = sum(counts) / len(counts)
    for held, rests in zip(counts, resting, strict=True):
        assert not rests or held > mean
        assert rests or len(counts) == 1 or held <= mean + max(1, 0.02 * mean)


def test_the_page_is_shared_and_forgets_who_leaves() -> None:
    fd = spread.create_page()
    whole, one, other = (spread.ConnectionSpread(fd, number) for number in (0, 3, spread.MAX_WORKERS + 4))
    one.publish(10)
    other.publish(2)
    assert sorted(whole.counts()) == [2, 10] and one.should_yield() and not other.should_yield()
    whole.clear(3)
    assert whole.counts() == [2] and one.yield_count == 1
    os.close(fd)


def test_long_lived_connections_are_spread_evenly(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, fleet={"instances": 4}) as harness:
            host, _, port = harness.fleet.address.rpartition(":")
            await harness.fleet.until(lambda s: all(one["state"] == "serving" for one in s["instances"]))
            open_ones = []
            for _ in range(120):
                open_ones.append(await asyncio.open_connection(host, int(port)))
            status = await harness.fleet.until(
                lambda s: sum(one["clients"] or 0 for one in s["instances"]) == 120
            )
            counts = [one["clients"] for one in status["instances"]]
            assert max(counts) <= 30 * 1.25, counts
            for _, writer in open_ones:
                writer.close()

    run(test())
