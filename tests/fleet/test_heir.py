"""A supervisor that is killed: its workers serve on and hand the listening sockets over to a successor."""

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

CALL_NUMBERS = count()
TWO_INSTANCES = {"fleet": {"instances": 2}}


async def request_status(address: str) -> str:
    """The status of one request on a new connection, or a description of what went wrong."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        return f"connect: {error.strerror}"
    try:
        writer.write(
            b"GET /answer/1 HTTP/1.1\r\nHost: x\r\nX-Budget-Ms: 900\r\nX-Call-Id: h%d\r\n"
            b"Connection: close\r\n\r\n" % next(CALL_NUMBERS)
        )
        line = await reader.readline()
        return line[9:12].decode() if line else "closed without an answer"
    except ConnectionError as error:
        return f"reset: {error}"
    finally:
        writer.close()


async def send_requests(address: str, statuses: Counter[str], stop: asyncio.Event) -> None:
    """Sends a request on a new connection every 5 ms until `stop` is set, and counts the statuses."""
    tasks: set[asyncio.Task[None]] = set()

    async def record_status() -> None:
        statuses[await request_status(address)] += 1

    while not stop.is_set():
        task = asyncio.create_task(record_status())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)


async def kill_supervisor(harness: Daemon) -> set[int]:
    pids = set(await harness.pids_now())
    os.kill(harness.fleet.process.pid, signal.SIGKILL)
    await harness.fleet.process.wait()
    return pids


def test_supervisor_killed_under_load_and_replaced_leaves_no_request_unanswered(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **TWO_INSTANCES) as harness:
            statuses: Counter[str] = Counter()
            stop = asyncio.Event()
            load = asyncio.create_task(send_requests(harness.fleet.address, statuses, stop))
            await asyncio.sleep(0.3)
            pids = await kill_supervisor(harness)
            await asyncio.sleep(0.3)
            path = harness.rig.write(fleet={"instances": 2, "listen": [harness.fleet.address]})
            successor = await (await FleetProcess(path, harness.env).start()).ready()
            assert any("inherited" in line for line in successor.log)
            await none_left(pids)  # the workers drain once the successor serves
            await asyncio.sleep(0.3)
            stop.set()
            await load
            # No connection was refused or closed: old workers or the successor served each of them.
            assert set(statuses) <= {"200", "503"} and statuses["200"] > 0.9 * statuses.total(), statuses
            assert handover.find_offers(str(tmp_path / "c.sock")) == []
            assert await successor.stop() == 0

    run(test())


def test_workers_of_a_dead_supervisor_exit_without_a_successor(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **TWO_INSTANCES, drain={"orphan_s": 1.0}) as harness:
            pids = await kill_supervisor(harness)
            assert await request_status(harness.fleet.address) == "200"
            await none_left(pids)
            assert handover.find_offers(str(tmp_path / "c.sock")) == []
            assert (await request_status(harness.fleet.address)).startswith("connect")

    run(test())


def test_worker_that_hangs_while_starting_exits_after_the_supervisor_died(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(
            tmp_path, **TWO_INSTANCES, start={"ready_s": 2.0}, drain={"orphan_s": 0.5}
        ) as harness:
            harness.fault.write_text("hang")
            (victim, _) = await harness.pids_now()
            await harness.fleet.kill_worker(victim, harness.clients)
            status = await harness.fleet.until(
                lambda s: any(
                    instance["state"] == "starting" and instance["pid"] for instance in s["instances"]
                )
            )
            hanging_pid = next(
                instance["pid"] for instance in status["instances"] if instance["state"] == "starting"
            )
            await kill_supervisor(harness)
            assert alive(hanging_pid)
            async with asyncio.timeout(TEST_TIMEOUT_S / 2):  # its alarm rings one second after ready_s
                while alive(hanging_pid):
                    await asyncio.sleep(0.05)
            harness.fault.unlink()

    run(test())


def test_handed_over_sockets_keep_their_accept_queue(tmp_path: Path) -> None:
    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0), backlog=8)
        taken_over = asyncio.Event()
        control_path = str(tmp_path / "c")
        offer = handover.Offer(control_path, [listener], taken_over.set)
        client = socket.create_connection(listener.getsockname())
        listener.close()
        (path,) = handover.find_offers(control_path)
        assert os.stat(path).st_mode & 0o777 == 0o600
        (inherited,) = await asyncio.to_thread(handover.receive_listeners, path)
        assert not taken_over.is_set()
        assert await asyncio.to_thread(handover.notify_serving, path)
        await taken_over.wait()
        offer.close()
        assert handover.find_offers(control_path) == []
        accepted, _ = inherited.accept()  # the connection made before the handover
        for sock in (client, accepted, inherited):
            sock.close()
        # The socket file that a killed worker left behind is recognized as unused and removed.
        with socket.socket(socket.AF_UNIX) as dead:
            dead.bind(f"{control_path}+1")
        assert (
            handover.receive_listeners(f"{control_path}+1") == [] and handover.find_offers(control_path) == []
        )
        assert not handover.notify_serving(f"{control_path}+1")

    run(test())


def test_malformed_requests_at_the_handover_socket_are_disconnected(tmp_path: Path) -> None:
    async def test() -> None:
        offer = handover.Offer(str(tmp_path / "c"), [], lambda: None)
        for request in (b"more\n", b"", b"x" * 1000):
            reader, writer = await asyncio.open_unix_connection(offer.path)
            writer.write(request)
            writer.write_eof()
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            writer.close()
        offer.close()

    run(test())


@given(st.lists(st.integers(0, 5000), min_size=1, max_size=64))
def test_worker_with_the_fewest_connections_accepts_at_once_and_one_over_its_share_yields(
    counts: list[int],
) -> None:
    yields = [spread.exceeds_fair_share(own_count, counts) for own_count in counts]
    assert not yields[counts.index(min(counts))]
    mean = sum(counts) / len(counts)
    for own_count, yielding in zip(counts, yields, strict=True):
        assert not yielding or own_count > mean
        assert yielding or len(counts) == 1 or own_count <= mean + max(1, 0.02 * mean)


def test_spread_page_is_shared_and_a_cleared_counter_is_not_counted() -> None:
    fd = spread.create_page()
    supervisor, first, second = (
        spread.ConnectionSpread(fd, number) for number in (0, 3, spread.MAX_WORKERS + 4)
    )
    first.publish(10)
    second.publish(2)
    assert sorted(supervisor.counts()) == [2, 10] and first.should_yield() and not second.should_yield()
    supervisor.clear(3)
    assert supervisor.counts() == [2] and first.yield_count == 1
    os.close(fd)


def test_long_lived_connections_are_spread_evenly(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, fleet={"instances": 4}) as harness:
            host, _, port = harness.fleet.address.rpartition(":")
            await harness.fleet.until(
                lambda s: all(instance["state"] == "serving" for instance in s["instances"])
            )
            connections = []
            for _ in range(120):
                connections.append(await asyncio.open_connection(host, int(port)))
            status = await harness.fleet.until(
                lambda s: sum(instance["clients"] or 0 for instance in s["instances"]) == 120
            )
            counts = [instance["clients"] for instance in status["instances"]]
            assert max(counts) <= 30 * 1.25, counts
            for _, writer in connections:
                writer.close()

    run(test())
