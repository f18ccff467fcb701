"""Membership of several real fleets that are connected by relays, which delay, drop, copy and cut their
traffic."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import Random
from typing import Any

import pytest

from flintlatch.lab.network import Link
from flintlatch.peers.clock import clock
from flintlatch.peers.words import MAX_CLOCK_DRIFT
from flintlatch.standin.fleets import QUICK, Fleets, fleets
from flintlatch.standin.links import draw_schedule, format_schedule, parse_schedule
from flintlatch.standin.process import alive
from flintlatch.standin.rig import MIX
from tests.fleet.support import run


def names(cluster: Fleets) -> list[str]:
    return sorted(cluster.processes)


async def proxies(cluster: Fleets, name: str) -> set[int]:
    """The numbers of proxies that the instances of a fleet report."""
    instances = (await cluster.processes[name].status())["instances"]
    return {instance["proxies"] for instance in instances if instance["state"] == "serving"}


async def wait_until_counted(cluster: Fleets, name: str, count: int) -> None:
    async def is_counted() -> bool:
        return await proxies(cluster, name) == {count}

    await cluster.until(is_counted, f"{name} counting {count}")


async def publish_note(cluster: Fleets, name: str, text: str, for_s: float) -> None:
    from flintlatch.config import find_control_socket
    from flintlatch.fleet.control import send_control_request

    request = {"do": "note", "subject": "s", "text": text, "for_s": for_s}
    path = find_control_socket(str(cluster.processes[name].config))
    assert (await asyncio.to_thread(send_control_request, path, request, 10.0))["ok"]


async def notes(cluster: Fleets, name: str) -> list[str]:
    return [note["text"] for note in (await cluster.peers(name))["notes"]]


def bugs(cluster: Fleets) -> list[str]:
    return [
        line
        for process in cluster.processes.values()
        for line in process.log
        if "bug" in line or "Traceback" in line
    ]


def assert_rules_kept(cluster: Fleets) -> None:
    assert not cluster.rig.ledger.violations(), [
        str(broken) for broken in cluster.rig.ledger.violations()[:5]
    ]
    assert not bugs(cluster)


@pytest.mark.parametrize("groups", [(("f0", "f1"), ("f2", "f3")), (("f0",), ("f1", "f2"), ("f3",))])
def test_partitions_keep_the_old_count_while_uncertain_and_agree_again_after_healing(
    tmp_path: Path, groups: tuple[tuple[str, ...], ...]
) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4, nodes=3) as cluster:
            clients = cluster.create_clients()
            traffic = asyncio.create_task(clients.run(60, 4.0, MIX))
            await wait_until_counted(cluster, "f0", 4)
            for group in groups:
                cluster.links.cut(group, [name for name in names(cluster) if name not in group])
            cut_at = clock()

            async def partitioned() -> bool:
                return all([await cluster.views_agree(*group) for group in groups])

            while not await partitioned():
                # The count must not fall, which would raise a fleet's share, while a member is suspected or
                # was recently.
                looked_at, agreed = clock(), await cluster.views_agree(*groups[0])
                counted = await proxies(cluster, "f0")
                assert counted == {4} or agreed or clock() - looked_at > QUICK["hold_s"]
            assert clock() - cut_at < (await cluster.peers("f0"))["bounds"]["found_dead_s"] + 10
            await wait_until_counted(cluster, "f0", len(groups[0]))
            cluster.links.heal()
            await cluster.until(cluster.views_agree, "agreement")
            await wait_until_counted(cluster, "f0", 4)
            await traffic
            assert_rules_kept(cluster)

    run(test())


def test_one_way_cuts_and_a_star_topology_make_no_member_dead(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as cluster:
            cluster.links.cut("f1", "f2", both=False)
            await asyncio.sleep(20 * QUICK["period_s"])
            assert await cluster.views_agree()
            cluster.links.cut(("f1", "f2", "f3"), ("f1", "f2", "f3"))  # only f0 reaches all others
            await asyncio.sleep(20 * QUICK["period_s"])
            assert await cluster.alive("f0") == set(names(cluster))
            assert (await cluster.peers("f0"))["counts"]["died"] == 0
            cluster.links.heal()
            await cluster.until(cluster.views_agree, "agreement")
            assert_rules_kept(cluster)

    run(test())


def test_lossy_and_flapping_links_deliver_entries_and_end_in_agreement(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as cluster:
            cluster.links.default_link = Link(0.0, 0.03, 0.2, duplication=0.2)
            await publish_note(cluster, "f3", "through loss", 30.0)

            async def received() -> bool:
                return all([await notes(cluster, name) == ["through loss"] for name in names(cluster)])

            await cluster.until(received, "a note through loss")
            for _ in range(4):
                cluster.links.cut(("f0", "f1"), ("f2", "f3"))
                await asyncio.sleep(0.5)
                cluster.links.heal()
                await asyncio.sleep(0.5)
            await cluster.until(cluster.views_agree, "agreement")
            cluster.links.default_link = Link(0.0, 0.0, duplication=0.5)

            async def copies_dropped() -> bool:
                return int((await cluster.peers("f0"))["counts"]["replays"]) > 0

            await cluster.until(copies_dropped, "copies dropped")
            assert_rules_kept(cluster)

    run(test())


def test_member_paused_past_the_expiry_of_entries_accepts_none_of_them(tmp_path: Path) -> None:
    """Expired entries lie in its socket buffers. The other members suspect it meanwhile, which it refutes."""

    async def test() -> None:
        async with fleets(tmp_path, 3) as cluster:
            cluster.pause("f1")
            published_at = clock()
            for index in range(10):
                await publish_note(cluster, "f0", f"note {index}", 1.0)
                published_at = clock()
                await asyncio.sleep(0.2)
            while clock() < published_at + 1.0 / (
                1 - MAX_CLOCK_DRIFT
            ):  # the stated bound, measured on the machine's clock
                await asyncio.sleep(0.02)
            cluster.wake("f1")
            received: set[str] = set()

            async def agreed_again() -> bool:
                received.update(await notes(cluster, "f1"))
                return await cluster.views_agree()

            await cluster.until(agreed_again, "its return")
            assert not received
            report = await cluster.peers("f1")
            assert report["counts"]["words_late"] > 0 or report["counts"]["datagrams_in"] > 0
            assert_rules_kept(cluster)

    run(test())


def test_instances_of_a_paused_supervisor_fall_back_to_the_configured_count_and_log_it_once(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 3) as cluster:
            await wait_until_counted(cluster, "f2", 3)
            process = cluster.processes["f2"]
            log_position = len(process.log)
            cluster.pause("f2", whole=False)
            paused_at = clock()
            await process.wait_for_log(
                "the entry on other fleets has expired: counting 1 proxies", log_position
            )
            assert clock() - paused_at >= QUICK["word_s"] / 2  # not before the entry expires
            cluster.wake("f2")
            await wait_until_counted(cluster, "f2", 3)
            await process.wait_for_log("the entry on other fleets has expired")
            assert sum("the entry on other fleets has expired" in line for line in process.log) == 1

    run(test())


def test_fleets_join_and_leave_and_one_changes_its_number_of_instances(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as cluster:
            joining = [f"f{n}" for n in range(4, 10)]
            for name in joining:
                await cluster.add_fleet_relay(name)
                cluster.write(name)
            await asyncio.gather(*map(cluster.start, joining))
            await cluster.until(cluster.views_agree, "ten")
            await wait_until_counted(cluster, "f0", 10)
            cluster.write("f1", fleet={"instances": 3})
            assert (await cluster.processes["f1"].ask("reload"))["ok"]
            await wait_until_counted(cluster, "f0", 12)
            for name in joining:  # a fleet that is stopped announces that it leaves
                assert await cluster.processes.pop(name).stop() == 0
            await cluster.until(cluster.views_agree, "four")
            assert (await cluster.peers("f0"))["counts"]["died"] == 0
            await wait_until_counted(cluster, "f0", 6)
            assert_rules_kept(cluster)

    run(test())


def test_members_agree_after_starts_without_seeds_and_after_restarts(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as cluster:
            for name in names(cluster):
                await cluster.kill(name)
            await cluster.start("f3")  # its three seeds are not running
            assert (await cluster.peers("f3"))["joined"] is False
            await asyncio.gather(*(cluster.start(name) for name in ("f0", "f1", "f2")))
            await cluster.until(cluster.views_agree, "agreement of those that came back")
            await cluster.kill("f2")
            await cluster.start("f2")
            await cluster.until(cluster.views_agree, "its return under the same name")
            assert len((await cluster.peers("f0"))["members"]) == 4
            assert_rules_kept(cluster)

    run(test())


def test_replayed_corrupted_and_flooded_datagrams_have_no_effect(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 3) as cluster:
            relay = cluster.relays["f0"]
            captured: list[bytes] = []
            deliver = relay._deliver

            def capture(data: bytes) -> None:
                captured.append(data)
                deliver(data)

            relay._deliver = capture  # type: ignore[method-assign]
            await cluster.until(lambda: enough_captured(captured), "datagrams")
            members_before = (await cluster.peers("f0"))["members"]
            rng, sock = Random(3), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            host, _, port = relay.target.rpartition(":")
            replayed = list(captured)
            for number in range(3000):
                datagram = rng.choice(replayed)
                index = rng.randrange(len(datagram))
                corrupted = (
                    datagram[:index]
                    + bytes([datagram[index] ^ 1 << rng.randrange(8)])
                    + datagram[index + 1 :]
                )
                noise = rng.randbytes(rng.randrange(2000))
                sock.sendto((datagram, corrupted, noise)[number % 3], (host, int(port)))
                if number % 200 == 0:
                    await asyncio.sleep(0.02)

            async def all_dropped() -> bool:
                counts = (await cluster.peers("f0"))["counts"]
                return all(counts[name] > 0 for name in ("replays", "foreign"))

            await cluster.until(all_dropped, "drops")
            assert await cluster.views_agree()
            members_after = (await cluster.peers("f0"))["members"]
            assert [(member["name"], member["incarnation"]) for member in members_after] == [
                (member["name"], member["incarnation"]) for member in members_before
            ]
            log = cluster.processes["f0"].log
            assert sum("is not sealed by a key of ours" in line for line in log) == 1
            # A process that starts later, with the same key, rejects the captured datagrams too.
            await cluster.kill("f0")
            await cluster.kill("f1")
            await cluster.start("f0")
            host, _, port = relay.target.rpartition(":")
            for datagram in replayed:
                sock.sendto(datagram, (host, int(port)))
            await cluster.until(cluster.views_agree, "f0 and f2 alone")
            assert await cluster.alive("f0") == {"f0", "f2"}
            sock.close()
            assert_rules_kept(cluster)

    async def enough_captured(captured: list[bytes]) -> bool:
        return len(captured) > 30

    run(test())


def test_key_rotation_without_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 3) as cluster:
            old_key, new_key = "4b" * 32, "5c" * 32
            for text in (f"{old_key}\n{new_key}", f"{new_key}\n{old_key}", new_key):
                for name in names(cluster):
                    (tmp_path / name / "key").write_text(text)
                    assert (await cluster.processes[name].ask("reload"))["ok"]
            (tmp_path / "f0" / "key").write_text("no key")
            assert (await cluster.processes["f0"].ask("reload"))["ok"]
            await cluster.processes["f0"].wait_for_log("line 1: expected 64 hexadecimal digits; going on")
            await asyncio.sleep(10 * QUICK["period_s"])
            assert await cluster.views_agree()
            assert all([(await cluster.peers(name))["counts"]["died"] == 0 for name in names(cluster)])

    run(test())


def test_successor_takes_over_the_membership_at_an_upgrade(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 2) as cluster:
            bind = (await cluster.peers("f1"))["bound"]  # the successor must bind the same address
            cluster.write("f1", peers={"bind": bind})
            process = cluster.processes["f1"]
            assert await cluster.processes["f1"].ask("reload")
            process.signal(signal.SIGUSR2)
            await process.wait_for_log("has taken over")
            await cluster.until(cluster.views_agree, "agreement with the successor")
            assert await process.process.wait() == 0  # the predecessor, once it has drained
            cluster.processes.pop("f1")
            successor = (await process.status())["pid"]
            os.kill(successor, signal.SIGTERM)

            async def has_left() -> bool:
                return await cluster.alive("f0") == {"f0"}

            await cluster.until(has_left, "its leaving")
            while alive(successor):
                await asyncio.sleep(0.02)

    run(test())


def test_fleet_stops_although_its_standard_error_is_closed(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 1) as cluster:
            process = cluster.processes["f0"]
            pipe: Any = process.process._transport.get_pipe_transport(2)  # type: ignore[attr-defined]
            pipe.close()
            process.signal(signal.SIGTERM)
            assert await process.process.wait() == 0
            cluster.processes.clear()

    run(test())


def test_peers_command_shows_members_and_publishes_notes(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 2) as cluster:

            async def command(name: str, *options: str) -> tuple[int, str]:
                config = str(cluster.processes[name].config)
                completed: Any = await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, "-m", "flintlatch", "peers", config, *options],
                    capture_output=True,
                    text=True,
                    timeout=30,
                    env=os.environ | cluster.env,
                )
                return completed.returncode, completed.stdout + completed.stderr

            async def succeeds() -> bool:
                return (await command("f0"))[0] == 0

            await cluster.until(succeeds, "exit code 0")
            code, text = await command("f1", "--say", "deploy under way", "--for", "30")
            assert code == 0 and "30.303 s" in text
            await cluster.processes["f0"].wait_for_log("note of f1, for 30 s: deploy under way")
            assert "note of f1" in (await command("f0"))[1]
            assert (await command("f1", "--say", "x" * 600))[0] == 1
            await cluster.kill("f1")

            async def member_missing() -> bool:
                return (await command("f0"))[0] == 1

            await cluster.until(member_missing, "exit code 1")
            assert (await command("f0", "--share", "0.5"))[0] == 0

    run(test())


def test_fault_schedule_is_determined_by_its_seed_and_survives_a_round_trip() -> None:
    schedule = draw_schedule(7, ["f0", "f1", "f2"], 40.0)
    assert (
        draw_schedule(7, ["f0", "f1", "f2"], 40.0) == schedule != draw_schedule(8, ["f0", "f1", "f2"], 40.0)
    )
    assert (
        format_schedule(parse_schedule(format_schedule(schedule))) == format_schedule(schedule)
        and schedule[-1].action == "heal"
    )
    with pytest.raises(ValueError, match="line 2: 'melt', expected one of cut"):
        parse_schedule("1|heal|||0 0 0 0\n1|melt|||0 0 0 0\n")
