"""Measures fleet membership with real fleets over faulty links, and with the cores in virtual time.

    python -m bench.peers --seed 1 [--fleets 20] [--seconds 60] [--members 10,100,1000] [--minutes 20]

Real fleets are partitioned, slowed, paused and killed by a schedule drawn from the seed, while notes with a
TTL are published at each of them. An auditor reads the notes of every fleet with the clock of the machine,
without the fleets' own counters, and compares the age at which a note was still valid with the documented
bound. After the last fault it measures the time until all fleets agree. In virtual time it measures
datagrams, bytes and processor time per member, the time until a death is known to all, false deaths per
member-hour at 0, 5 and 20% loss, and the time to agreement after a join, a partition and its end. The last
line has the worst ratio of age to bound; the exit code is 1 if it is above 1, if the fleets did not agree in
the end, or if there was a false death at up to 5% loss.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from flintlatch.config import find_control_socket
from flintlatch.fleet.control import ControlError, send_control_request
from flintlatch.lab.members import MemberSimulation
from flintlatch.lab.network import Link
from flintlatch.peers import EntryStore, Merge, Rules, Topic
from flintlatch.peers.clock import clock
from flintlatch.standin.fleets import Fleets, fleets
from flintlatch.standin.links import draw_schedule, format_schedule

NOTE_TTLS_S = (0.5, 1.0, 2.0)
# intervals between notes published at a fleet, and between readings of it
PUBLISH_INTERVAL_S, READ_INTERVAL_S = 0.4, 0.05
MAX_AGREEMENT_S = 60.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
NOTE_TOPIC = Topic("word", Merge.PER_MEMBER, 10.0)


def quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(int(fraction * len(values)), len(values) - 1)] if values else 0.0


async def ask_one(fleet_rig: Fleets, name: str, request: dict[str, Any]) -> dict[str, Any] | None:
    process = fleet_rig.processes.get(name)
    if process is None or name in fleet_rig.paused:
        return None
    try:
        return await asyncio.to_thread(
            send_control_request, find_control_socket(str(process.config)), request, 5.0
        )
    except (ControlError, OSError, ValueError):
        return None  # the fleet was killed or paused in the meantime


def cpu_s(pid: int) -> float:
    """Processor time of a process in seconds, from proc(5)."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


class Auditor:
    """Publishes notes that contain their publication time and TTL, and checks how long they stay valid."""

    def __init__(self, fleet_rig: Fleets, seed: int) -> None:
        self.fleet_rig, self.random = fleet_rig, Random(f"{seed}/notes")
        self.worst, self.worst_line = 0.0, ""
        # the ratio from before the request to publish, so it includes the time of that request
        self.worst_from_request = 0.0
        self.published_at: dict[str, float] = {}  # by note: when its publication was confirmed
        self.published = self.notes_read = self.readings = 0
        # by (note, reader): age of the note when first read, in seconds
        self.first_read_ages: dict[tuple[str, str], float] = {}
        self.stopped = False

    async def say(self, name: str) -> None:
        while not self.stopped:
            for_s = self.random.choice(NOTE_TTLS_S[1:])
            text = f"{clock():.4f} {for_s}"
            request = {"do": "note", "subject": f"n{self.published % 8}", "text": text, "for_s": for_s}
            answer = await ask_one(self.fleet_rig, name, request)
            if answer and answer["ok"]:
                self.published += 1
                self.published_at[name + text] = clock()
            await asyncio.sleep(PUBLISH_INTERVAL_S)

    async def read(self, name: str) -> None:
        while not self.stopped:
            began = clock()
            answer = await ask_one(self.fleet_rig, name, {"do": "peers"})
            for note in (answer or {}).get("notes", ()):
                at, for_s = map(float, note["text"].split())
                # The note was published before the answer to the publication and was valid after this
                # request was sent, so the time between the two is a lower bound of its age.
                key = note["by"] + note["text"]
                age = began - self.published_at.get(key, began)
                self.notes_read += 1
                self.first_read_ages.setdefault((key, name), began - at)
                self.worst_from_request = max(
                    self.worst_from_request, (began - at) / EntryStore.staleness_bound_s(for_s)
                )
                if age / EntryStore.staleness_bound_s(for_s) > self.worst:
                    self.worst = age / EntryStore.staleness_bound_s(for_s)
                    self.worst_line = (
                        f"{name} believed a note of {note['by']} {age:.3f} s after, for {for_s} s"
                    )
            self.readings += answer is not None
            await asyncio.sleep(READ_INTERVAL_S)


async def run_real_fleets(seed: int, count: int, seconds: float, folder: Path) -> tuple[float, bool]:
    zones = ("a", "b", "c")
    schedule = draw_schedule(seed, [f"f{n}" for n in range(count)], seconds)
    print(f"schedule of seed {seed}:\n{format_schedule(schedule)}", end="")
    async with fleets(folder, count, zones=zones, nodes=3, seed=seed) as fleet_rig:
        auditor = Auditor(fleet_rig, seed)
        names = sorted(fleet_rig.processes)
        pids = {name: fleet_rig.processes[name].process.pid for name in names}
        cpu_before, began = {name: cpu_s(pids[name]) for name in names}, clock()
        before = {name: (await fleet_rig.peers(name))["counts"] for name in names}
        await asyncio.sleep(5.0)
        elapsed_s = clock() - began
        cpu = sorted((cpu_s(pids[name]) - cpu_before[name]) / elapsed_s for name in names)
        after = {name: (await fleet_rig.peers(name))["counts"] for name in names}
        rate = [(after[n]["bytes_out"] - before[n]["bytes_out"]) / elapsed_s for n in names]
        tasks = [asyncio.create_task(task(name)) for name in names for task in (auditor.say, auditor.read)]
        await fleet_rig.play(schedule)
        healed = await fleet_rig.until(fleet_rig.views_agree, "agreement after the last fault")
        await asyncio.sleep(1.0)
        auditor.stopped = True
        await asyncio.gather(*tasks)
        bugs = [
            line
            for p in fleet_rig.processes.values()
            for line in p.log
            if "bug" in line or "Traceback" in line
        ]
        for line in bugs[:5]:
            print(f"BUG {line}")
        first_ages = list(auditor.first_read_ages.values())
        print(
            f"real: {count} fleets, {len(schedule)} faults in {seconds:g} s, {auditor.published} notes told,"
            f" {auditor.readings} readings, {auditor.notes_read} notes read; a note was first seen "
            f"elsewhere after"
            f" {quantile(first_ages, 0.5):.2f} s (99%: {quantile(first_ages, 0.99):.2f}); agreed "
            f"{healed:.1f} s after"
            f" the last fault; at rest a supervisor took {100 * quantile(cpu, 0.5):.1f}% of a core and sent"
            f" {quantile(rate, 0.5):.0f} bytes/s; oldest: {auditor.worst_line} "
            f"({auditor.worst_from_request:.3f} of the"
            f" bound if counted from before it was asked to say it)"
        )
        return auditor.worst, healed <= MAX_AGREEMENT_S and not bugs


async def grow_fleets(seed: int, count: int, most: int, folder: Path) -> bool:
    """Grows `count` fleets to `most` at once and back. Returns whether no fleet was declared dead."""
    async with fleets(folder, count, nodes=3, seed=seed) as fleet_rig:
        new_names = [f"f{n}" for n in range(count, most)]
        for name in new_names:
            await fleet_rig.add_fleet_relay(name)
            fleet_rig.write(name)
        began = clock()
        await asyncio.gather(*map(fleet_rig.start, new_names))
        started = clock() - began
        agreed_up_s = await fleet_rig.until(fleet_rig.views_agree, f"agreement of {most}")
        for name in new_names:
            fleet_rig.processes[name].signal(signal.SIGTERM)
        await asyncio.gather(*(fleet_rig.processes.pop(name).wait_until_ended() for name in new_names))
        agreed_down_s = await fleet_rig.until(fleet_rig.views_agree, f"agreement of {count}")
        died = int((await fleet_rig.peers("f0"))["counts"]["died"])
        print(
            f"real: {count} fleets become {most}, started within {started:.1f} s, agreed {agreed_up_s:.1f} "
            f"s after"
            f" the last; {most - count} stopped: agreed {agreed_down_s:.1f} s after that, {died} held dead"
        )
        return died == 0


def run_virtual(n: int, seed: int) -> None:
    members = MemberSimulation(seed, Rules(), topics=(NOTE_TOPIC,))
    started = time.process_time()
    names = members.start_fleet(n)
    agreed = members.run_until(lambda: members.converged(names), 120)
    members.run(20)
    bytes_before, sent_before, at = members.sent_bytes, members.network.sent, members.engine.now
    cpu = time.process_time()
    members.run(20)
    cpu = time.process_time() - cpu
    elapsed_s = members.engine.now - at
    rate, datagrams = (
        (members.sent_bytes - bytes_before) / n / elapsed_s,
        (members.network.sent - sent_before) / n / elapsed_s,
    )
    members.publish(names[-1], "word", "s", b"v" * 20)
    entry_s = members.run_until(lambda: all(members.read_values(name, "word") for name in names), 60)
    deaths: list[float] = []
    surviving = list(names)
    for _ in range(5 if n < 1000 else 3):
        victim = members.rng.choice(surviving[3:])
        surviving.remove(victim)
        members.kill(victim)
        deaths.append(members.run_until(lambda: members.converged(surviving), 300))
    members.start("new", tuple(f"{name}:7946" for name in names[:3]))
    surviving.append("new")
    join = members.run_until(lambda: members.converged(surviving), 120)
    halves = surviving[::2], surviving[1::2]
    addresses = [[members.addresses[name] for name in side] for side in halves]
    members.network.cut(addresses[0], addresses[1])
    cut = members.run_until(lambda: members.converged(halves[0]) and members.converged(halves[1]), 600)
    members.network.heal()
    heal = members.run_until(lambda: members.converged(surviving), 300)
    print(
        f"virtual: {n} members: agreed {agreed:.1f} s after a common start; at rest {rate:.0f} bytes/s and"
        f" {datagrams:.1f} datagrams/s a member, {1e3 * cpu / elapsed_s / n:.2f} ms of this core a "
        f"member-second;"
        f" a word known to all after {entry_s:.1f} s; deaths known to all after"
        f" {', '.join(f'{d:.1f}' for d in deaths)} s (bound "
        f"{members.core(surviving[0]).death_bound_s(n):.0f});"
        f" a join {join:.1f} s; each half agrees {cut:.1f} s after a cut, all {heal:.1f} s after the heal;"
        f" {time.process_time() - started:.0f} s of processor"
    )


def false_deaths(n: int, seed: int, loss: float, minutes: float) -> int:
    members = MemberSimulation(seed, Rules(), tick_s=0.1)
    members.network.default_link = Link(0.0005, 0.05, loss)
    names = members.start_fleet(n)
    members.run_until(lambda: members.converged(names), 120)
    members.run(60 * minutes)
    died = sum(member.peers.counts.died for member in members.members.values())
    suspected = sum(member.peers.counts.suspected for member in members.members.values())
    hours = n * minutes / 60
    print(
        f"virtual: {n} members, {100 * loss:g}% of datagrams lost, {n * minutes:.0f} member-minutes:"
        f" {suspected / hours:.1f} suspected and {died / hours:.3f} false deaths a member-hour"
    )
    return died


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fleets", type=int, default=20)
    parser.add_argument("--grow", type=int, default=30, help="number of fleets that 4 grow to; 0: skipped")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--members", default="10,100,1000", help="numbers of members in virtual time")
    parser.add_argument(
        "--minutes", type=float, default=100.0, help="duration of datagram loss among 100 members"
    )
    args = parser.parse_args()
    died = 0
    for n in [int(size) for size in args.members.split(",") if size]:
        run_virtual(n, args.seed)
    for loss in (0.0, 0.05, 0.2) if args.minutes else ():
        count = false_deaths(100, args.seed, loss, args.minutes if loss == 0.05 else args.minutes / 5)
        died += count if loss <= 0.05 else 0
    worst, good = 0.0, True
    if args.fleets:
        with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
            worst, good = uvloop.run(run_real_fleets(args.seed, args.fleets, args.seconds, Path(name)))
    if args.grow:
        with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
            good = uvloop.run(grow_fleets(args.seed, 4, args.grow, Path(name))) and good
    held = worst <= 1 and good and not died
    print(
        f"peers seed {args.seed}: oldest word believed {worst:.3f} of its bound, {died} false deaths at up to"
        f" 5% loss, {'held' if held else 'BROKEN'}"
    )
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
