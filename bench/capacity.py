"""What each part of the program costs with the size of the fleet, and what that is at the fleet ahead.

    python -m bench.capacity --seed 1 [--part module,lists,path,peers,limits,verdicts,delivery] [--small]
    python -m bench.capacity --page          prints docs/CAPACITY.md and the page of all slopes
    python -m bench.capacity --page --write  writes them

Runs measure series over one size each (processor time by process clocks, memory by what the process holds),
and keep them in bench/capacity.json with seed and machine load; a small run keeps nothing. The last line has
the worst ratio to an allowance, and its row; the exit code is 1 if a row that the page promises is over one.
"""

from __future__ import annotations

import argparse
import importlib
import sys

from bench.scale import data, page, rows

PARTS = ("module", "lists", "path", "peers", "limits", "verdicts", "delivery")


def measure(parts: list[str], seed: int, small: bool) -> list[data.Series]:
    made: list[data.Series] = []
    for part in parts:
        series: list[data.Series] = importlib.import_module(f"bench.scale.{part}").run(seed, small)
        for one in series:
            shape = data.fit(one.points)
            points = ", ".join(f"{rows.format_short(n)}: {rows.format_short(v)}" for n, v in one.points)
            print(f"{one.name} ({one.unit}) over {one.over}: {points}; {shape.formula}", flush=True)
        if not small:
            data.write(series)
        made += series
    return made


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--part", default=",".join(PARTS), help="comma between several")
    parser.add_argument("--small", action="store_true", help="few and small sizes, as CI runs them")
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
    made = measure(parts, options.seed, options.small)
    found = {one.name: one for one in made} if options.small else data.read()
    promised, known, rows, ratio, row = page.worst_ratios(found)
    if not known:
        print(f"no row that is promised was measured; worst of all rows {ratio:.3g}: {row}")
        return 0
    kept = "broken" if promised > 1 else "held"
    print(
        f"promises {kept}, {known} of {rows} measured, at most {promised:.3g} of an allowance; "
        f"worst of all rows {ratio:.3g}: {row}"
    )
    return 1 if promised > 1 else 0


if __name__ == "__main__":
    sys.exit(main())
