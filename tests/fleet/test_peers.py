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


def names(made: Fleets) -> list[str]:
    return sorted(made.processes)


async def proxies(made: Fleets, name: str) -> set[int]:
    """What its instances count, as they say themselves."""
    told = (await made.processes[name].status())["instances"]
    return {one["proxies"] for one in told if one["state"] == "serving"}


async def counted(made: Fleets, name: str, number: int) -> None:
    async def good() -> bool:
        return await proxies(made, name) == {number}

    await made.until(good, f"{name} counting {number}")


async def say(made: Fleets, name: str, text: str, for_s: float) -> None:
    from flintlatch.config import find_control
    from flintlatch.fleet.control import ask

    request = {"do": "note", "subject": "s", "text": text, "for_s": for_s}
    path = find_control(str(made.processes[name].config))
    assert (await asyncio.to_thread(ask, path, request, 10.0))["ok"]


async def notes(made: Fleets, name: str) -> list[str]:
    return [note["text"] for note in (await made.peers(name))["notes"]]


def bugs(made: Fleets) -> list[str]:
    return [line for p in made.processes.values() for line in p.log if "bug" in line or "Traceback" in line]


def good(made: Fleets) -> None:
    assert not made.rig.ledger.broken(), [str(b) for b in made.rig.ledger.broken()[:5]]
    assert not bugs(made)


@pytest.mark.parametrize("groups", [(("f0", "f1"), ("f2", "f3")), (("f0",), ("f1", "f2"), ("f3",))])
def test_parts_cut_off_count_as_before_until_in_doubt_no_more_and_agree_again(
    tmp_path: Path, groups: tuple[tuple[str, ...], ...]
) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4, nodes=3) as made:
            clients = made.ask_all()
            traffic = asyncio.create_task(clients.run(60, 4.0, MIX))
            await counted(made, "f0", 4)
            for group in groups:
                made.links.cut(group, [name for name in names(made) if name not in group])
            began = clock()

            async def parted() -> bool:
                return all([await made.agreed(*group) for group in groups])

            while not await parted():
                # Nobody's part grows while somebody is under suspicion, or lately was.
                looked, settled = clock(), await made.agreed(*groups[0])
                counts = await proxies(made, "f0")
                assert counts == {4} or settled or clock() - looked > QUICK["hold_s"]
            assert clock() - began < (await made.peers("f0"))["bounds"]["found_dead_s"] + 10
            await counted(made, "f0", len(groups[0]))
            made.links.heal()
            await made.until(made.agreed, "agreement")
            await counted(made, "f0", 4)
            await traffic
            good(made)

    run(test())


def test_one_way_that_is_cut_kills_nobody_and_a_star_keeps_its_leaves(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as made:
            made.links.cut("f1", "f2", both=False)
            await asyncio.sleep(20 * QUICK["period_s"])
            assert await made.agreed()
            made.links.cut(("f1", "f2", "f3"), ("f1", "f2", "f3"))  # f0 alone sees all
            await asyncio.sleep(20 * QUICK["period_s"])
            assert await made.alive("f0") == set(names(made))
            assert (await made.peers("f0"))["counts"]["died"] == 0
            made.links.heal()
            await made.until(made.agreed, "agreement")
            good(made)

    run(test())


def test_links_that_flap_and_lose_end_in_agreement_and_carry_words_meanwhile(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as made:
            made.links.usual = Link(0.0, 0.03, 0.2, duplication=0.2)
            await say(made, "f3", "through loss", 30.0)

            async def heard() -> bool:
                return all([await notes(made, name) == ["through loss"] for name in names(made)])

            await made.until(heard, "a note through loss")
            for _ in range(4):
                made.links.cut(("f0", "f1"), ("f2", "f3"))
                await asyncio.sleep(0.5)
                made.links.heal()
                await asyncio.sleep(0.5)
            await made.until(made.agreed, "agreement")
            made.links.usual = Link(0.0, 0.0, duplication=0.5)

            async def dropped() -> bool:
                return int((await made.peers("f0"))["counts"]["replays"]) > 0

            await made.until(dropped, "copies dropped")
            good(made)

    run(test())


def test_one_that_is_paused_past_the_end_of_words_believes_none_when_it_wakes(tmp_path: Path) -> None:
    """Old words lie in its buffers. It is accused meanwhile, and refutes."""

    async def test() -> None:
        async with fleets(tmp_path, 3) as made:
            made.pause("f1")
            last = clock()
            for turn in range(10):
                await say(made, "f0", f"note {turn}", 1.0)
                last = clock()
                await asyncio.sleep(0.2)
            while clock() < last + 1.0 / (1 - DRIFT):  # the stated bound, by the machine's own clock
                await asyncio.sleep(0.02)
            made.wake("f1")
            seen: set[str] = set()

            async def back() -> bool:
                seen.update(await notes(made, "f1"))
                return await made.agreed()

            await made.until(back, "its return")
            assert not seen
            told = await made.peers("f1")
            assert told["counts"]["words_late"] > 0 or told["counts"]["datagrams_in"] > 0
            good(made)

    run(test())


def test_instances_whose_supervisor_is_paused_or_dead_are_alone_in_time_and_say_so_once(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 3) as made:
            await counted(made, "f2", 3)
            process = made.processes["f2"]
            start = len(process.log)
            made.pause("f2", whole=False)
            began = clock()
            await process.said("the word on other fleets has ended: counting 1 proxies", start)
            assert clock() - began >= QUICK["word_s"] / 2  # not before its end
            made.wake("f2")
            await counted(made, "f2", 3)
            await process.said("the word on other fleets has ended")
            assert sum("the word on other fleets has ended" in line for line in process.log) == 1

    run(test())


def test_four_become_ten_and_go_back_and_one_has_more_instances(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as made:
            more = [f"f{n}" for n in range(4, 10)]
            for name in more:
                await made.place(name)
                made.write(name)
            await asyncio.gather(*map(made.start, more))
            await made.until(made.agreed, "ten")
            await counted(made, "f0", 10)
            made.write("f1", fleet={"instances": 3})
            assert (await made.processes["f1"].ask("reload"))["ok"]
            await counted(made, "f0", 12)
            for name in more:  # told to stop: they say that they leave
                assert await made.processes.pop(name).stop() == 0
            await made.until(made.agreed, "four")
            assert (await made.peers("f0"))["counts"]["died"] == 0
            await counted(made, "f0", 6)
            good(made)

    run(test())


def test_all_seeds_dead_at_the_start_then_all_restart_at_once_and_one_within_a_probe(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4) as made:
            for name in names(made):
                await made.kill(name)
            await made.start("f3")  # knows none but three seeds, which are gone
            assert (await made.peers("f3"))["joined"] is False
            await asyncio.gather(*(made.start(name) for name in ("f0", "f1", "f2")))
            await made.until(made.agreed, "agreement of those that came back")
            await made.kill("f2")
            await made.start("f2")
            await made.until(made.agreed, "its return under the same name")
            assert len((await made.peers("f0"))["members"]) == 4
            good(made)

    run(test())


def test_strangers_replays_noise_and_floods_steer_nobody(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 3) as made:
            relay = made.relays["f0"]
            taken: list[bytes] = []
            deliver = relay._deliver

            def keep(data: bytes) -> None:
                taken.append(data)
                deliver(data)

            relay._deliver = keep  # type: ignore[method-assign]
            await made.until(lambda: enough(taken), "datagrams")
            before = (await made.peers("f0"))["members"]
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
                counts = (await made.peers("f0"))["counts"]
                return all(counts[name] > 0 for name in ("replays", "foreign"))

            await made.until(dropped, "drops")
            assert await made.agreed()
            after = (await made.peers("f0"))["members"]
            assert [(r["name"], r["incarnation"]) for r in after] == [
                (r["name"], r["incarnation"]) for r in before
            ]
            log = made.processes["f0"].log
            assert sum("is not sealed by a key of ours" in line for line in log) == 1
            # What was taken is of no use to a process that starts later, though the key is the same.
            await made.kill("f0")
            await made.kill("f1")
            await made.start("f0")
            host, _, port = relay.target.rpartition(":")
            for one in old:
                sock.sendto(one, (host, int(port)))
            await made.until(made.agreed, "f0 and f2 alone")
            assert await made.alive("f0") == {"f0", "f2"}
            sock.close()
            good(made)

    async def enough(taken: list[bytes]) -> bool:
        return len(taken) > 30

    run(test())


def test_a_key_is_replaced_while_all_run(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 3) as made:
            old, new = "4b" * 32, "5c" * 32
            for text in (f"{old}\n{new}", f"{new}\n{old}", new):
                for name in names(made):
                    (tmp_path / name / "key").write_text(text)
                    assert (await made.processes[name].ask("reload"))["ok"]
            (tmp_path / "f0" / "key").write_text("no key")
            assert (await made.processes["f0"].ask("reload"))["ok"]
            await made.processes["f0"].said("line 1: expected 64 hexadecimal digits; going on")
            await asyncio.sleep(10 * QUICK["period_s"])
            assert await made.agreed()
            assert all([(await made.peers(name))["counts"]["died"] == 0 for name in names(made)])

    run(test())


def test_an_upgrade_takes_the_place_among_members_over(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 2) as made:
            bind = (await made.peers("f1"))["bound"]  # the successor must come to the same address
            made.write("f1", peers={"bind": bind})
            process = made.processes["f1"]
            assert await made.processes["f1"].ask("reload")
            process.signal(signal.SIGUSR2)
            await process.said("has taken over")
            await made.until(made.agreed, "agreement with the successor")
            assert await process.process.wait() == 0  # the predecessor, once it has drained
            made.processes.pop("f1")
            successor = (await process.status())["pid"]
            os.kill(successor, signal.SIGTERM)

            async def gone() -> bool:
                return await made.alive("f0") == {"f0"}

            await made.until(gone, "its leaving")
            while alive(successor):
                await asyncio.sleep(0.02)

    run(test())


def test_a_fleet_whose_log_nobody_reads_any_more_still_ends(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 1) as made:
            process = made.processes["f0"]
            pipe: Any = process.process._transport.get_pipe_transport(2)  # type: ignore[attr-defined]
            pipe.close()
            process.signal(signal.SIGTERM)
            assert await process.process.wait() == 0
            made.processes.clear()

    run(test())


def test_people_see_members_and_tell_notes(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 2) as made:

            async def command(name: str, *more: str) -> tuple[int, str]:
                config = str(made.processes[name].config)
                call: Any = await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, "-m", "flintlatch", "peers", config, *more],
                    capture_output=True,
                    text=True,
                    timeout=30,
                    env=os.environ | made.env,
                )
                return call.returncode, call.stdout + call.stderr

            async def whole() -> bool:
                return (await command("f0"))[0] == 0

            await made.until(whole, "exit code 0")
            code, text = await command("f1", "--say", "deploy under way", "--for", "30")
            assert code == 0 and "30.303 s" in text
            await made.processes["f0"].said("note of f1, for 30 s: deploy under way")
            assert "note of f1" in (await command("f0"))[1]
            assert (await command("f1", "--say", "x" * 600))[0] == 1
            await made.kill("f1")

            async def lacking() -> bool:
                return (await command("f0"))[0] == 1

            await made.until(lacking, "exit code 1")
            assert (await command("f0", "--share", "0.5"))[0] == 0

    run(test())


def test_a_schedule_is_drawn_alike_from_one_seed_and_read_as_it_was_written() -> None:
    schedule = draw(7, ["f0", "f1", "f2"], 40.0)
    assert draw(7, ["f0", "f1", "f2"], 40.0) == schedule != draw(8, ["f0", "f1", "f2"], 40.0)
    assert written(read(written(schedule))) == written(schedule) and schedule[-1].what == "heal"
    with pytest.raises(ValueError, match="line 2: 'melt', expected one of cut"):
        read("1|heal|||0 0 0 0\n1|melt|||0 0 0 0\n")
