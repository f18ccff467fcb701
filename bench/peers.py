"""Fleets that know of each other: real ones behind relays, and the cores in virtual time.

    python -m bench.peers --seed 1 [--fleets 20] [--seconds 60] [--members 10,100,1000] [--minutes 20]

Real fleets are cut, slowed, paused and killed by a schedule drawn from the seed, while notes with an end are
told at each of them. An auditor, which reads every fleet's notes with the machine's own clock and uses no
count of theirs, measures how long after its saying a note was still believed, against the stated bound. Once
all is healed, the time until all agree. In virtual time: datagrams, bytes and processor time a member, how
long a death takes to be known to all, false deaths a member-hour at 0, 5 and 20% loss, times after a join, a
cut and a heal. The last line has the worst age over the bound; the exit code is 1 if it is over one, if the
fleets did not agree in the end, or if an aim's promise (no false death at 5% loss) broke.
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

from flintlatch.config import find_control
from flintlatch.fleet.control import ControlError, send_control_request
from flintlatch.lab.members import Members
from flintlatch.lab.network import Link
from flintlatch.peers import EntryStore, Merge, Rules, Topic
from flintlatch.peers.clock import clock
from flintlatch.standin.fleets import Fleets, fleets
from flintlatch.standin.links import draw_schedule, format_schedule

LIVES_S = (0.5, 1.0, 2.0)  # of the notes
SAY_S, READ_S = 0.4, 0.05  # between two notes of one fleet, two readings of one
AGREE_S = 60.0
TICKS = os.sysconf("SC_CLK_TCK")
WORD = Topic("word", Merge.PER_MEMBER, 10.0)


def quantile(values: list[float], part: float) -> float:
    return sorted(values)[min(int(part * len(values)), len(values) - 1)] if values else 0.0


async def ask_one(made: Fleets, name: str, request: dict[str, Any]) -> dict[str, Any] | None:
    process = made.processes.get(name)
    if process is None or name in made.paused:
        return None
    try:
        return await asyncio.to_thread(send_control_request, find_control(str(process.config)), request, 5.0)
    except (ControlError, OSError, ValueError):
        return None  # just killed, or paused meanwhile


def spent(pid: int) -> float:
    """Processor seconds of a process, as proc(5) tells them."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class Auditor:
    """Notes hold the moment of their saying and how long they were to hold."""

    def __init__(self, made: Fleets, seed: int) -> None:
        self.made, self.random = made, Random(f"{seed}/notes")
        self.worst, self.worst_line = 0.0, ""
        self.loose = 0.0  # the same from before the asking: it holds how long the asking took
        self.done: dict[str, float] = {}  # by note: when it had surely been said
        self.said = self.seen = self.readings = 0
        self.ways: dict[tuple[str, str], float] = {}  # (note, reader): how old it was when first seen
        self.over = False

    async def say(self, name: str) -> None:
        while not self.over:
            for_s = self.random.choice(LIVES_S[1:])
            text = f"{clock():.4f} {for_s}"
            request = {"do": "note", "subject": f"n{self.said % 8}", "text": text, "for_s": for_s}
            answer = await ask_one(self.made, name, request)
            if answer and answer["ok"]:
                self.said += 1
                self.done[name + text] = clock()
            await asyncio.sleep(SAY_S)

    async def read(self, name: str) -> None:
        while not self.over:
            began = clock()
            answer = await ask_one(self.made, name, {"do": "peers"})
            for note in (answer or {}).get("notes", ()):
                at, for_s = map(float, note["text"].split())
                # Said by the time its saying was answered, believed by the time this was asked: what is
                # between the two is surely an age at which it mattered.
                key = note["by"] + note["text"]
                age = began - self.done.get(key, began)
                self.seen += 1
                self.ways.setdefault((key, name), began - at)
                self.loose = max(self.loose, (began - at) / EntryStore.staleness_bound_s(for_s))
                if age / EntryStore.staleness_bound_s(for_s) > self.worst:
                    self.worst = age / EntryStore.staleness_bound_s(for_s)
                    self.worst_line = (
                        f"{name} believed a note of {note['by']} {age:.3f} s after, for {for_s} s"
                    )
            self.readings += answer is not None
            await asyncio.sleep(READ_S)


async def real(seed: int, count: int, seconds: float, folder: Path) -> tuple[float, bool]:
    zones = ("a", "b", "c")
    schedule = draw_schedule(seed, [f"f{n}" for n in range(count)], seconds)
    print(f"schedule of seed {seed}:\n{format_schedule(schedule)}", end="")
    async with fleets(folder, count, zones=zones, nodes=3, seed=seed) as made:
        auditor = Auditor(made, seed)
        names = sorted(made.processes)
        pids = {name: made.processes[name].process.pid for name in names}
        quiet, began = {name: spent(pids[name]) for name in names}, clock()
        before = {name: (await made.peers(name))["counts"] for name in names}
        await asyncio.sleep(5.0)
        took = clock() - began
        cpu = sorted((spent(pids[name]) - quiet[name]) / took for name in names)
        after = {name: (await made.peers(name))["counts"] for name in names}
        rate = [(after[n]["bytes_out"] - before[n]["bytes_out"]) / took for n in names]
        tasks = [asyncio.create_task(task(name)) for name in names for task in (auditor.say, auditor.read)]
        await made.play(schedule)
        healed = await made.until(made.views_agree, "agreement after the last fault")
        await asyncio.sleep(1.0)
        auditor.over = True
        await asyncio.gather(*tasks)
        bugs = [
            line for p in made.processes.values() for line in p.log if "bug" in line or "Traceback" in line
        ]
        for line in bugs[:5]:
            print(f"BUG {line}")
        firsts = list(auditor.ways.values())
        print(
            f"real: {count} fleets, {len(schedule)} faults in {seconds:g} s, {auditor.said} notes told,"
            f" {auditor.readings} readings, {auditor.seen} notes read; a note was first seen elsewhere after"
            f" {quantile(firsts, 0.5):.2f} s (99%: {quantile(firsts, 0.99):.2f}); agreed {healed:.1f} s after"
            f" the last fault; at rest a supervisor took {100 * quantile(cpu, 0.5):.1f}% of a core and sent"
            f" {quantile(rate, 0.5):.0f} bytes/s; oldest: {auditor.worst_line} ({auditor.loose:.3f} of the"
            f" bound if counted from before it was asked to say it)"
        )
        return auditor.worst, healed <= AGREE_S and not bugs


async def grow(seed: int, count: int, most: int, folder: Path) -> bool:
    """`count` fleets become `most` at once and go back; whether anybody was held dead."""
    async with fleets(folder, count, nodes=3, seed=seed) as made:
        more = [f"f{n}" for n in range(count, most)]
        for name in more:
            await made.add_fleet_relay(name)
            made.write(name)
        began = clock()
        await asyncio.gather(*map(made.start, more))
        started = clock() - began
        up = await made.until(made.views_agree, f"agreement of {most}")
        for name in more:
            made.processes[name].signal(signal.SIGTERM)
        await asyncio.gather(*(made.processes.pop(name).wait_until_ended() for name in more))
        down = await made.until(made.views_agree, f"agreement of {count}")
        died = int((await made.peers("f0"))["counts"]["died"])
        print(
            f"real: {count} fleets become {most}, started within {started:.1f} s, agreed {up:.1f} s after"
            f" the last; {most - count} stopped: agreed {down:.1f} s after that, {died} held dead"
        )
        return died == 0


def virtual(n: int, seed: int) -> None:
    members = Members(seed, Rules(), topics=(WORD,))
    started = time.process_time()
    names = members.fleet(n)
    agreed = members.until(lambda: members.agreed(names), 120)
    members.run(20)
    bytes_before, sent_before, at = members.bytes, members.network.sent, members.engine.now
    cpu = time.process_time()
    members.run(20)
    cpu = time.process_time() - cpu
    span = members.engine.now - at
    rate, datagrams = (
        (members.bytes - bytes_before) / n / span,
        (members.network.sent - sent_before) / n / span,
    )
    members.say(names[-1], "word", "s", b"v" * 20)
    heard = members.until(lambda: all(members.read(name, "word") for name in names), 60)
    deaths: list[float] = []
    rest = list(names)
    for _ in range(5 if n < 1000 else 3):
        victim = members.rng.choice(rest[3:])
        rest.remove(victim)
        members.kill(victim)
        deaths.append(members.until(lambda: members.agreed(rest), 300))
    members.start("new", tuple(f"{name}:7946" for name in names[:3]))
    rest.append("new")
    join = members.until(lambda: members.agreed(rest), 120)
    half = rest[::2], rest[1::2]
    places = [[members.names[name] for name in side] for side in half]
    members.network.cut(places[0], places[1])
    cut = members.until(lambda: members.agreed(half[0]) and members.agreed(half[1]), 600)
    members.network.heal()
    heal = members.until(lambda: members.agreed(rest), 300)
    print(
        f"virtual: {n} members: agreed {agreed:.1f} s after a common start; at rest {rate:.0f} bytes/s and"
        f" {datagrams:.1f} datagrams/s a member, {1e3 * cpu / span / n:.2f} ms of this core a member-second;"
        f" a word known to all after {heard:.1f} s; deaths known to all after"
        f" {', '.join(f'{d:.1f}' for d in deaths)} s (bound {members.core(rest[0]).death_bound_s(n):.0f});"
        f" a join {join:.1f} s; each half agrees {cut:.1f} s after a cut, all {heal:.1f} s after the heal;"
        f" {time.process_time() - started:.0f} s of processor"
    )


def false_deaths(n: int, seed: int, loss: float, minutes: float) -> int:
    members = Members(seed, Rules(), tick_s=0.1)
    members.network.usual = Link(0.0005, 0.05, loss)
    names = members.fleet(n)
    members.until(lambda: members.agreed(names), 120)
    members.run(60 * minutes)
    died = sum(one.peers.counts.died for one in members.members.values())
    suspected = sum(one.peers.counts.suspected for one in members.members.values())
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
    parser.add_argument("--grow", type=int, default=30, help="fleets that 4 become; 0: left out")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--members", default="10,100,1000", help="sizes in virtual time")
    parser.add_argument("--minutes", type=float, default=100.0, help="that 100 members lose datagrams")
    args = parser.parse_args()
    died = 0
    for n in [int(one) for one in args.members.split(",") if one]:
        virtual(n, args.seed)
    for loss in (0.0, 0.05, 0.2) if args.minutes else ():
        count = false_deaths(100, args.seed, loss, args.minutes if loss == 0.05 else args.minutes / 5)
        died += count if loss <= 0.05 else 0
    worst, good = 0.0, True
    if args.fleets:
        with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
            worst, good = uvloop.run(real(args.seed, args.fleets, args.seconds, Path(name)))
    if args.grow:
        with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
            good = uvloop.run(grow(args.seed, 4, args.grow, Path(name))) and good
    held = worst <= 1 and good and not died
    print(
        f"peers seed {args.seed}: oldest word believed {worst:.3f} of its bound, {died} false deaths at up to"
        f" 5% loss, {'held' if held else 'BROKEN'}"
    )
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
