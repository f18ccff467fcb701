"""Measures how the cost of each part of the program grows with the fleet, and evaluates it for the target.

    python -m bench.capacity --seed 1 [--part module,lists,path,peers,limits,verdicts,delivery] [--small]
    python -m bench.capacity --page          prints docs/CAPACITY.md and docs/design/slopes.md
    python -m bench.capacity --page --write  writes them

Each run measures series over one size each: processor time by process clocks, memory by that of the process.
The series are stored in bench/capacity.json with the seed and the load of the machine, unless the run is
small. The last line has the worst ratio of a figure to its budget, with its row; the exit code is 1 if the
ratio of a guaranteed row is above 1.
"""

from __future__ import annotations

import argparse
import importlib
import sys

from bench.scale import data, page, rows

PARTS = ("module", "lists", "path", "peers", "limits", "verdicts", "delivery")


def measure(parts: list[str], seed: int, small: bool) -> list[data.Series]:
    measured: list[data.Series] = []
    for part in parts:
        series: list[data.Series] = importlib.import_module(f"bench.scale.{part}").run(seed, small)
        for entry in series:
            shape = data.fit(entry.points)
            points = ", ".join(f"{rows.format_short(n)}: {rows.format_short(v)}" for n, v in entry.points)
            print(f"{entry.name} ({entry.unit}) over {entry.over}: {points}; {shape.formula}", flush=True)
        if not small:
            data.write(series)
        measured += series
    return measured


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--part", default=",".join(PARTS), help="separated by commas")
    parser.add_argument("--small", action="store_true", help="few and small sizes, for CI")
    parser.add_argument("--page", action="store_true")
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args()
    if options.page:
        for path in page.PAGES:
            text = page.page(path.read_text(), data.read())
            if options.write:
                path.write_text(text)
            else:
                print(text, end="")
        return 0
    parts = options.part.split(",")
    if unknown := [part for part in parts if part not in PARTS]:
        parser.error(f"--part: {', '.join(unknown)} is not one of {', '.join(PARTS)}")
    print(f"seed {options.seed}, load {data.load():.1f}", flush=True)
    measured = measure(parts, options.seed, options.small)
    found = {entry.name: entry for entry in measured} if options.small else data.read()
    worst_guaranteed, measured_rows, total_rows, ratio, row = page.worst_ratios(found)
    if not measured_rows:
        print(f"no row that is promised was measured; worst of all rows {ratio:.3g}: {row}")
        return 0
    verdict = "broken" if worst_guaranteed > 1 else "held"
    print(
        f"promises {verdict}, {measured_rows} of {total_rows} measured, at most {worst_guaranteed:.3g} of "
        f"an allowance; "
        f"worst of all rows {ratio:.3g}: {row}"
    )
    return 1 if worst_guaranteed > 1 else 0


if __name__ == "__main__":
    sys.exit(main())
