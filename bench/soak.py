"""Soaks the platform's program: real processes under faults drawn from each seed, decided by an audit.

    python -m bench.soak --seed 1 --runs 50 --jobs 4 [--family registry] [--program FOLDER]

Each run takes about 15 s. The last line has the result; the exit code is not 0 if a rule was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from pathlib import Path

import uvloop

from flintlatch.standin.shim import compile_shim
from flintlatch.standin.soak import Family, Report, Schedule, SoakRun
from flintlatch.standin.soak.run import program_folder, summarize

SHOWN_VIOLATIONS = 4


async def play(seed: int, families: tuple[Family, ...], library: Path, program: Path) -> Report:
    with tempfile.TemporaryDirectory(prefix="fl-") as folder:
        return await SoakRun(Schedule.draw(seed, families), Path(folder), library, program).play()


async def play_in_process(seed: int, args: argparse.Namespace) -> tuple[str, int]:
    """One run in a process of its own, so that runs do not delay each other. Returns its output and code."""
    command = [sys.executable, "-m", "bench.soak", "--seed", str(seed), "--program", str(args.program)]
    for family in args.family:
        command += ["--family", family]
    process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
    output, _ = await process.communicate()
    return output.decode(), process.returncode or 0


async def play_all(args: argparse.Namespace) -> int:
    slots = asyncio.Semaphore(args.jobs)
    broken = 0

    async def one(seed: int) -> None:
        nonlocal broken
        async with slots:
            output, code = await play_in_process(seed, args)
        broken += code != 0
        print("\n".join(output.splitlines()[:-1]), flush=True)

    await asyncio.gather(*(one(seed) for seed in range(args.seed, args.seed + args.runs)))
    print(f"{args.runs} runs, {broken} with a broken rule")
    return 1 if broken else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("--seed", type=int, default=1, help="of the first run")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4, help="runs at once")
    parser.add_argument("--family", action="append", default=[], choices=[f.value for f in Family])
    parser.add_argument("--program", type=Path, default=program_folder(), help="folder with its text")
    args = parser.parse_args()
    if args.runs > 1:
        return uvloop.run(play_all(args))
    with tempfile.TemporaryDirectory(prefix="fl-") as folder:
        library = compile_shim(Path(folder))
        families = tuple(Family(name) for name in args.family)
        report = uvloop.run(play(args.seed, families, library, args.program))
    print(report.line())
    for violation in report.violations[:SHOWN_VIOLATIONS]:
        print(f"  {violation}")
    if report.injected:
        print(f"  injected: {json.dumps(report.injected)}")
    print(f"1 run, rules broken: {json.dumps(summarize([report]))}")
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
