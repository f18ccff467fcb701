"""Several real fleets with relays between them: what they know of each other while links fail."""

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
from flintlatch.peers.words import DRIFT
from flintlatch.standin.fleets import QUICK, Fleets, fleets
from flintlatch.standin.links import draw, read, written
from flintlatch.standin.process import alive
from flintlatch.standin.rig import MIX
from tests.fleet.support import run


def names(cluster: Fleets) -> list[str]:
    return sorted(cluster.processes)


async def proxies(cluster: Fleets, name: str) -> set[int]:
    """What its instances count, as they say themselves."""
    told = (await cluster.processes[name].status())["instances"]
    return {one["proxies"] for one in told if one["state"] == "serving"}


async def counted(cluster: Fleets, name: str, number: int) -> None:
    async def good() -> bool:
        return await proxies(cluster, name) == {number}

    await cluster.until(good, f"{name} counting {number}")


async def say(cluster: Fleets, name: str, text: str, for_s: float) -> None:
    from flintlatch.config import find_control
    from flintlatch.fleet.control import send_control_request

    request = {"do": "note", "subject": "s", "text": text, "for_s": for_s}
    path = find_control(str(cluster.processes[name].config))
    assert (await asyncio.to_thread(send_control_request, path, request, 10.0))["ok"]


async def notes(cluster: Fleets, name: str) -> list[str]:
    return [note["text"] for note in (await cluster.peers(name))["notes"]]


def bugs(cluster: Fleets) -> list[str]:
    return [
        line for p in cluster.processes.values() for line in p.log if "bug" in line or "Traceback" in line
    ]


def good(cluster: Fleets) -> None:
    assert not cluster.rig.ledger.broken(), [str(b) for b in cluster.rig.ledger.broken()[:5]]
    assert not bugs(cluster)


@pytest.mark.parametrize("groups", [(("f0", "f1"), ("f2", "f3")), (("f0",), ("f1", "f2"), ("f3",))])
def test_parts_cut_off_count_as_before_until_in_doubt_no_more_and_agree_again(
    tmp_path: Path, groups: tuple[tuple[str, ...], ...]
) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4, nodes=3) as cluster:
            clients = cluster.ask_all()
            traffic = asyncio.create_task(clients.run(60, 4.0, MIX))
            await counted(cluster, "f0", 4)
            for group in groups:
                cluster.links.cut(group, [name for name in names(cluster) if name not in group])
            began = clock()

            async def parted() -> bool:
                return all([await cluster.agreed(*group) for group in groups])

            while not await parted():
                # Nobody's part grows while somebody is under suspicion, or lately was.
                looked, settled = clock(), await cluster.agreed(*groups[0])
                counts = await proxies(cluster, "f0")
                assert counts == {4} or settled or clock() - looked > QUICK["hold_s"]
            assert clock() - began < (await cluster.peers("f0"))["bounds"]["found_dead_s"] + 10
            await counted(cluster, "f0", len(groups[0]))
            cluster.links.heal()
            await cluster.until(cluster.agreed, "agreement")
            await counted(cluster, "f0", 4)
            await traffic
            good(cluster)

    run(test())


def test_one_way_that_is_cut_kills_nobody_and_a_star_keeps_its_leaves(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as cluster:
            cluster.links.cut("f1", "f2", both=False)
            await asyncio.sleep(20 * QUICK["period_s"])
            assert await cluster.agreed()
            cluster.links.cut(("f1", "f2", "f3"), ("f1", "f2", "f3"))  # f0 alone sees all
            await asyncio.sleep(20 * QUICK["period_s"])
            assert await cluster.alive("f0") == set(names(cluster))
            assert (await cluster.peers("f0"))["counts"]["died"] == 0
            cluster.links.heal()
            await cluster.until(cluster.agreed, "agreement")
            good(cluster)

    run(test())


def test_links_that_flap_and_lose_end_in_agreement_and_carry_words_meanwhile(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as cluster:
            cluster.links.usual = Link(0.0, 0.03, 0.2, copies=0.2)
            await say(cluster, "f3", "through loss", 30.0)

            async def heard() -> bool:
                return all([await notes(cluster, name) == ["through loss"] for name in names(cluster)])

            await cluster.until(heard, "a note through loss")
            for _ in range(4):
                cluster.links.cut(("f0", "f1"), ("f2", "f3"))
                await asyncio.sleep(0.5)
                cluster.links.heal()
                await asyncio.sleep(0.5)
            await cluster.until(cluster.agreed, "agreement")
            cluster.links.usual = Link(0.0, 0.0, copies=0.5)

            async def dropped() -> bool:
                return int((await cluster.peers("f0"))["counts"]["replays"]) > 0

            await cluster.until(dropped, "copies dropped")
            good(cluster)

    run(test())


def test_one_that_is_paused_past_the_end_of_words_believes_none_when_it_wakes(tmp_path: Path) -> None:
    """Old words lie in its buffers. It is accused meanwhile, and refutes."""

    async def test() -> None:
        async with fleets(tmp_path, 3) as cluster:
            cluster.pause("f1")
            last = clock()
            for turn in range(10):
                await say(cluster, "f0", f"note {turn}", 1.0)
                last = clock()
                await asyncio.sleep(0.2)
            while clock() < last + 1.0 / (1 - DRIFT):  # the stated bound, by the machine's own clock
                await asyncio.sleep(0.02)
            cluster.wake("f1")
            seen: set[str] = set()

            async def back() -> bool:
                seen.update(await notes(cluster, "f1"))
                return await cluster.agreed()

            await cluster.until(back, "its return")
            assert not seen
            told = await cluster.peers("f1")
            assert told["counts"]["words_late"] > 0 or told["counts"]["datagrams_in"] > 0
            good(cluster)

    run(test())


def test_instances_whose_supervisor_is_paused_or_dead_are_alone_in_time_and_say_so_once(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 3) as cluster:
            await counted(cluster, "f2", 3)
            process = cluster.processes["f2"]
            start = len(process.log)
            cluster.pause("f2", whole=False)
            began = clock()
            await process.said("the entry on other fleets has expired: counting 1 proxies", start)
            assert clock() - began >= QUICK["word_s"] / 2  # not before its end
            cluster.wake("f2")
            await counted(cluster, "f2", 3)
            await process.said("the entry on other fleets has expired")
            assert sum("the entry on other fleets has expired" in line for line in process.log) == 1

    run(test())


def test_four_become_ten_and_go_back_and_one_has_more_instances(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as cluster:
            more = [f"f{n}" for n in range(4, 10)]
            for name in more:
                await cluster.place(name)
                cluster.write(name)
            await asyncio.gather(*map(cluster.start, more))
            await cluster.until(cluster.agreed, "ten")
            await counted(cluster, "f0", 10)
            cluster.write("f1", fleet={"instances": 3})
            assert (await cluster.processes["f1"].ask("reload"))["ok"]
            await counted(cluster, "f0", 12)
            for name in more:  # told to stop: they say that they leave
                assert await cluster.processes.pop(name).stop() == 0
            await cluster.until(cluster.agreed, "four")
            assert (await cluster.peers("f0"))["counts"]["died"] == 0
            await counted(cluster, "f0", 6)
            good(cluster)

    run(test())


def test_all_seeds_dead_at_the_start_then_all_restart_at_once_and_one_within_a_probe(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as cluster:
            for name in names(cluster):
                await cluster.kill(name)
            await cluster.start("f3")  # knows none but three seeds, which are gone
            assert (await cluster.peers("f3"))["joined"] is False
            await asyncio.gather(*(cluster.start(name) for name in ("f0", "f1", "f2")))
            await cluster.until(cluster.agreed, "agreement of those that came back")
            await cluster.kill("f2")
            await cluster.start("f2")
            await cluster.until(cluster.agreed, "its return under the same name")
            assert len((await cluster.peers("f0"))["members"]) == 4
            good(cluster)

    run(test())


def test_strangers_replays_noise_and_floods_steer_nobody(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 3) as cluster:
            relay = cluster.relays["f0"]
            taken: list[bytes] = []
            deliver = relay._deliver

            def keep(data: bytes) -> None:
                taken.append(data)
                deliver(data)

            relay._deliver = keep  # type: ignore[method-assign]
            await cluster.until(lambda: enough(taken), "datagrams")
            before = (await cluster.peers("f0"))["members"]
            rng, sock = Random(3), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            host, _, port = relay.target.rpartition(":")
            old = list(taken)
            for turn in range(3000):
                one = rng.choice(old)
                place = rng.randrange(len(one))
                changed = one[:place] + bytes([one[place] ^ 1 << rng.randrange(8)]) + one[place + 1 :]
                noise = rng.randbytes(rng.randrange(2000))
                sock.sendto((one, changed, noise)[turn % 3], (host, int(port)))
                if turn % 200 == 0:
                    await asyncio.sleep(0.02)

            async def dropped() -> bool:
                counts = (await cluster.peers("f0"))["counts"]
                return all(counts[name] > 0 for name in ("replays", "foreign"))

            await cluster.until(dropped, "drops")
            assert await cluster.agreed()
            after = (await cluster.peers("f0"))["members"]
            assert [(r["name"], r["incarnation"]) for r in after] == [
                (r["name"], r["incarnation"]) for r in before
            ]
            log = cluster.processes["f0"].log
            assert sum("is not sealed by a key of ours" in line for line in log) == 1
            # What was taken is of no use to a process that starts later, though the key is the same.
            await cluster.kill("f0")
            await cluster.kill("f1")
            await cluster.start("f0")
            host, _, port = relay.target.rpartition(":")
            for one in old:
                sock.sendto(one, (host, int(port)))
            await cluster.until(cluster.agreed, "f0 and f2 alone")
            assert await cluster.alive("f0") == {"f0", "f2"}
            sock.close()
            good(cluster)

    async def enough(taken: list[bytes]) -> bool:
        return len(taken) > 30

    run(test())


def test_a_key_is_replaced_while_all_run(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 3) as cluster:
            old, new = "4b" * 32, "5c" * 32
            for text in (f"{old}\n{new}", f"{new}\n{old}", new):
                for name in names(cluster):
                    (tmp_path / name / "key").write_text(text)
                    assert (await cluster.processes[name].ask("reload"))["ok"]
            (tmp_path / "f0" / "key").write_text("no key")
            assert (await cluster.processes["f0"].ask("reload"))["ok"]
            await cluster.processes["f0"].said("line 1: expected 64 hexadecimal digits; going on")
            await asyncio.sleep(10 * QUICK["period_s"])
            assert await cluster.agreed()
            assert all([(await cluster.peers(name))["counts"]["died"] == 0 for name in names(cluster)])

    run(test())


def test_an_upgrade_takes_the_place_among_members_over(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 2) as cluster:
            bind = (await cluster.peers("f1"))["bound"]  # the successor must come to the same address
            cluster.write("f1", peers={"bind": bind})
            process = cluster.processes["f1"]
            assert await cluster.processes["f1"].ask("reload")
            process.signal(signal.SIGUSR2)
            await process.said("has taken over")
            await cluster.until(cluster.agreed, "agreement with the successor")
            assert await process.process.wait() == 0  # the predecessor, once it has drained
            cluster.processes.pop("f1")
            successor = (await process.status())["pid"]
            os.kill(successor, signal.SIGTERM)

            async def gone() -> bool:
                return await cluster.alive("f0") == {"f0"}

            await cluster.until(gone, "its leaving")
            while alive(successor):
                await asyncio.sleep(0.02)

    run(test())


def test_a_fleet_whose_log_nobody_reads_any_more_still_ends(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 1) as cluster:
            process = cluster.processes["f0"]
            pipe: Any = process.process._transport.get_pipe_transport(2)  # type: ignore[attr-defined]
            pipe.close()
            process.signal(signal.SIGTERM)
            assert await process.process.wait() == 0
            cluster.processes.clear()

    run(test())


def test_people_see_members_and_tell_notes(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 2) as cluster:

            async def command(name: str, *more: str) -> tuple[int, str]:
                config = str(cluster.processes[name].config)
                call: Any = await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, "-m", "flintlatch", "peers", config, *more],
                    capture_output=True,
                    text=True,
                    timeout=30,
                    env=os.environ | cluster.env,
                )
                return call.returncode, call.stdout + call.stderr

            async def whole() -> bool:
                return (await command("f0"))[0] == 0

            await cluster.until(whole, "exit code 0")
            code, text = await command("f1", "--say", "deploy under way", "--for", "30")
            assert code == 0 and "30.303 s" in text
            await cluster.processes["f0"].said("note of f1, for 30 s: deploy under way")
            assert "note of f1" in (await command("f0"))[1]
            assert (await command("f1", "--say", "x" * 600))[0] == 1
            await cluster.kill("f1")

            async def lacking() -> bool:
                return (await command("f0"))[0] == 1

            await cluster.until(lacking, "exit code 1")
            assert (await command("f0", "--share", "0.5"))[0] == 0

    run(test())


def test_a_schedule_is_drawn_alike_from_one_seed_and_read_as_it_was_written() -> None:
    schedule = draw(7, ["f0", "f1", "f2"], 40.0)
    assert draw(7, ["f0", "f1", "f2"], 40.0) == schedule != draw(8, ["f0", "f1", "f2"], 40.0)
    assert written(read(written(schedule))) == written(schedule) and schedule[-1].what == "heal"
    with pytest.raises(ValueError, match="line 2: 'melt', expected one of cut"):
        read("1|heal|||0 0 0 0\n1|melt|||0 0 0 0\n")
