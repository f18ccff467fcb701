"""Days of a whole fleet in virtual time: what fails, how late changes come into force, what it costs.

    python -m bench.delivery --seed N [--day NAME ...] [--proxies 2200 --relays 52 --services 11000 ...]

Under every day run the target's changes, ten times as often as the target has them. A change counts at each
proxy that runs and follows the object: from the commit, or from when the proxy was ready or its cut healed.
The last line is the worst of all days against the target; the exit code is 1 if anything broke.
"""

from __future__ import annotations

import argparse
import gc
import sys
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from time import process_time

from bench.hollow import ALLOWED, CHANGES, MACHINES, ROUTE, ROW, WITHIN_S, Fleet, Size
from bench.plain import rival
from bench.scale import data
from bench.scale.data import Series
from flintlatch.delivery.model import ObjectChange
from flintlatch.delivery.store import StoredObject

QUIET_S = 10.0  # before the fault
REPLACED_S = 1.0  # from a machine's going to the next in its place
SILENT_S = 60.0
PARTED_S = 300.0
PUMP = 44e6  # bytes a second that one core of the origin sends: 16 ns a byte, and 7 us a frame of 1.1 KB
AGAIN_S = 3.0  # until a relay that crashed is back


def background(fleet: Fleet, until: float) -> None:
    rng, world, size = fleet.world.rng, fleet.world, fleet.size
    share = size.services / 11_000 * size.times  # of the target's changes, as it has of its services

    def configured() -> None:
        fleet.commit([world.configured()])
        again(CHANGES, configured)

    def moved() -> None:
        gone, new = world.moved()
        fleet.commit([gone])
        fleet.engine.after(REPLACED_S, lambda: fleet.commit([new]))
        again(MACHINES, moved)

    def again(rate: float, what: Callable[[], None]) -> None:
        after = rng.expovariate(rate * share)
        if fleet.engine.now + after < until:
            fleet.engine.after(after, what)

    if share > 0:
        again(CHANGES, configured)
        again(MACHINES, moved)


def probe(fleet: Fleet, at: float) -> None:
    """Ten changes a second more for ten seconds, while a fault is new."""
    for n in range(100):
        fleet.engine.after(at + n / 10, lambda: fleet.commit([fleet.world.configured()]))


def ordinary(fleet: Fleet) -> float:
    """A quarter of an hour."""
    return 900.0


def minutes5(fleet: Fleet) -> float:
    """The same, five minutes of it."""
    return 300.0


def silent(fleet: Fleet, names: list[str]) -> None:
    for name in names:
        fleet.pause(name)


def relays_dead(fleet: Fleet) -> float:
    """Three machines of one region die: nothing answers there any more."""
    probe(fleet, QUIET_S)
    first = sorted(fleet.relays, key=lambda place: place.region)[:3]
    fleet.engine.after(QUIET_S, lambda: silent(fleet, [place.name for place in first]))
    return 90.0


def relays(fleet: Fleet) -> float:
    """All crash within a second, and come back with nothing after three."""
    probe(fleet, QUIET_S)
    for place in fleet.relays:
        when = QUIET_S + fleet.rng.random()
        fleet.engine.after(when, lambda name=place.name: fleet.kill(name))  # type: ignore[misc]
        fleet.engine.after(when + AGAIN_S, lambda place=place: fleet.start_relay(place))  # type: ignore[misc]
    return 120.0


def relays_paced(fleet: Fleet) -> float:
    """The same, the origin no faster than one core of it."""
    fleet.top.pump = PUMP
    return relays(fleet) + 60.0


def rack(fleet: Fleet) -> float:
    """Half a zone's proxies and its relay."""

    def fall() -> None:
        silent(fleet, ["relay0"])
        for place in [p for p in fleet.places if p.zone == "z0"][::2]:
            fleet.stop_proxy(place.name, silent=True)

    probe(fleet, QUIET_S)
    fleet.engine.after(QUIET_S, fall)
    return 90.0


def zone(fleet: Fleet) -> float:
    """All of it falls silent, and starts anew with nothing after a minute."""
    mine = [p for p in fleet.places if p.zone == "z0"]
    above = [p for p in fleet.relays if p.zone == "z0"]

    def fall() -> None:
        for place in above:
            fleet.pause(place.name)
        for place in mine:
            fleet.stop_proxy(place.name, silent=True)

    def back() -> None:
        for place in above:
            fleet.kill(place.name)
            fleet.start_relay(place)
        for place in mine:
            fleet.stop_proxy(place.name, silent=False)
            fleet.start_proxy(place)

    probe(fleet, QUIET_S)
    probe(fleet, QUIET_S + SILENT_S)
    fleet.engine.after(QUIET_S, fall)
    fleet.engine.after(QUIET_S + SILENT_S, back)
    return 180.0


def parted(fleet: Fleet) -> float:
    """Two regions without the origin are cut from the other three."""
    far = ("r0", "r1")
    one = [p.name for p in (*fleet.relays, *fleet.places) if p.region in far]
    other = [p.name for p in (*fleet.relays, fleet.top.place) if p.region not in far]
    rest = [p.name for p in fleet.places if p.region not in far]

    def cut() -> None:
        fleet.cut(one, other)
        fleet.cut([p.name for p in fleet.relays if p.region in far], rest)

    def heal() -> None:
        for place in fleet.places:
            if place.region in far:
                fleet.audit.since[place.name] = fleet.engine.now
        fleet.heal()

    probe(fleet, QUIET_S)
    probe(fleet, QUIET_S + PARTED_S)
    fleet.engine.after(QUIET_S, cut)
    fleet.engine.after(QUIET_S + PARTED_S, heal)
    return QUIET_S + PARTED_S + 60.0


def restart(fleet: Fleet) -> float:
    """All proxies one after another, an hour pressed into five minutes; each comes back with nothing."""
    for n, place in enumerate(fleet.places):
        when = QUIET_S + 300.0 * n / len(fleet.places)
        fleet.engine.after(when, lambda name=place.name: fleet.stop_proxy(name, silent=False))  # type: ignore[misc]
        fleet.engine.after(when + 2.0, lambda place=place: fleet.start_proxy(place))  # type: ignore[misc]
    return QUIET_S + 300.0 + 90.0


def service(fleet: Fleet) -> float:
    """All 1,000 backends of one at once, under other names."""
    world = fleet.world
    name = max(world.services, key=lambda name: world.backends[name])
    count = world.backends[name]
    new = {f"c{k}": world.rng.randbytes(60) for k in range(count)}
    change = ObjectChange(name, new, tuple(f"b{k}" for k in range(count)))
    fleet.engine.after(QUIET_S, lambda: fleet.commit([change]))
    return 60.0


def flap(fleet: Fleet) -> float:
    """A tenth of all backends goes within five seconds and comes back in the next five, as before."""
    world, held = fleet.world, fleet.top.store.objects
    all_of = [(n, f"b{k}") for n, count in world.backends.items() for k in range(count)]
    lost = world.rng.sample(all_of, len(all_of) // 10)
    rows: list[list[tuple[str, str]]] = [lost[n::50] for n in range(50)]
    kept = {pair: held[pair[0]].items[pair[1]] for pair in lost}

    def go(n: int) -> None:
        fleet.commit([ObjectChange(name, removed=(item,)) for name, item in rows[n]])

    def come(n: int) -> None:
        fleet.commit([ObjectChange(name, {item: kept[name, item]}) for name, item in rows[n]])

    for n in range(50):
        fleet.engine.after(QUIET_S + n / 10, lambda n=n: go(n))  # type: ignore[misc]
        fleet.engine.after(QUIET_S + 5 + n / 10, lambda n=n: come(n))  # type: ignore[misc]
    return 90.0


def burst(fleet: Fleet) -> float:
    for n in range(500):
        change = fleet.world.configured()
        fleet.engine.after(QUIET_S + n / 500, lambda change=change: fleet.commit([change]))  # type: ignore[misc]
    return 60.0


def rewritten(fleet: Fleet, backends: bool, after: float = 20.0) -> float:
    world, size = fleet.world, fleet.size
    names = [*world.services[:: size.cells], *world.rows[: 2 * size.tenants]]

    def rewrite() -> None:
        objects: dict[str, StoredObject] = fleet.top.store.objects
        before = {n: dict(objects[n].items) for n in names}
        new = [{k: world.rng.randbytes(BYTES[k[0] == "r"] if k != "row" else ROW)
                for k in before[n] if backends or k[0] == "r"} for n in names]  # fmt: skip
        fleet.commit([ObjectChange(n, items) for n, items in zip(names, new, strict=True)])

        def revert() -> None:
            fleet.commit([ObjectChange(n, {k: before[n][k] for k in items})
                          for n, items in zip(names, new, strict=True)])  # fmt: skip

        fleet.engine.after(after, revert)

    fleet.engine.after(QUIET_S, rewrite)
    return 120.0


BYTES = {False: 60, True: ROUTE}


def wrong(fleet: Fleet) -> float:
    """Every route and row of one cell rewritten, and reverted after 20 s."""
    return rewritten(fleet, False)


def wrong_all(fleet: Fleet) -> float:
    """The same, its backends as well."""
    return rewritten(fleet, True)


def wrong_soon(fleet: Fleet) -> float:
    """The same, reverted after 5 s: twice all of it within the burst and what few seconds add."""
    return rewritten(fleet, True, 5.0)


DAYS = {f.__name__: f for f in (ordinary, minutes5, relays_dead, relays, relays_paced, rack, zone,
                                parted, restart, service, flap, burst, wrong, wrong_all,
                                wrong_soon)}  # fmt: skip


def ranked(rows: list[float], part: float) -> float:
    return rows[min(len(rows) - 1, int(part * len(rows)))] if rows else 0.0


def play(name: str, seed: int, size: Size) -> dict[str, float]:
    gc.collect()
    fleet = Fleet(seed, size)
    gc.freeze()
    gc.disable()  # the lab's heap is that of thousands of processes
    try:
        fleet.begin()
        fleet.clear()
        began, cpu = fleet.engine.now, process_time()
        lasts = DAYS[name](fleet)
        background(fleet, began + lasts - 15.0)
        fleet.engine.run(began + lasts)
        fleet.costs["proxy"].ns += round(fleet.skipped * fleet.idle_ns())
    finally:
        gc.enable()
        gc.unfreeze()
    audit, costs = fleet.audit, fleet.costs
    left = audit.finish(fleet.engine.now)
    stale, everywhere = sorted(audit.stale), sorted(audit.worst.values())
    per_second = [sum(row) / len(row) for row in fleet.minutes.rows.values() if row]
    figures = {
        "staleness_50_s": ranked(everywhere, 0.5),
        "staleness_99_s": ranked(everywhere, 0.99),
        "staleness_999_s": ranked(everywhere, 0.999),
        "staleness_worst_s": everywhere[-1] if everywhere else 0.0,
        "pair_50_s": ranked(stale, 0.5),
        "pair_99_s": ranked(stale, 0.99),
        "pair_999_s": ranked(stale, 0.999),
        "changes": len(everywhere),
        "pairs": len(stale),
        "not_in_force": left,
        "torn": len(audit.torn),
        "minute_bytes_per_s": fleet.minutes.worst(),
        "mean_bytes_per_s": sum(per_second) / max(1, len(per_second)),
        "load_median_s": ranked(sorted(audit.loads), 0.5),
        "load_worst_s": max(audit.loads, default=0.0),
    }
    hosts = {"origin": 1, "relay": size.relays, "proxy": size.proxies}
    for role, cost in costs.items():
        figures |= {
            f"{role}_core": cost.ns / 1e9 / lasts / hosts[role],
            f"{role}_frames_per_s": cost.frames / lasts / hosts[role],
            f"{role}_messages_per_s": cost.peak_messages,
            f"{role}_peak_core": cost.peak_ns / 1e9,
            f"{role}_peak_sent_bytes": cost.peak_bytes,
            f"{role}_longest_step_ms": cost.longest_ns / 1e6,
        }
    told = {text for _, _, text in fleet.log_lines if "refused" in text}
    print(
        f"{name}, seed {seed}, {size.proxies} proxies, {lasts:.0f} s; played in {process_time() - cpu:.0f} s"
    )
    print("  " + ", ".join(f"{k} {v:.4g}" for k, v in figures.items()), *sorted(told), sep="\n  ", flush=True)
    return figures


def broken(figures: dict[str, float]) -> list[str]:
    out = []
    if figures["staleness_999_s"] > WITHIN_S:
        out.append(f"99.9% in force everywhere after {figures['staleness_999_s']:.1f} s")
    if figures["not_in_force"]:
        out.append(f"{figures['not_in_force']:.0f} changes not in force at the end")
    if figures["torn"]:
        out.append(f"{figures['torn']:.0f} times content that the origin never had")
    if figures["minute_bytes_per_s"] > ALLOWED:
        out.append(f"{figures['minute_bytes_per_s']:.0f} bytes/s in a minute")
    return out


def main() -> int:
    parse = argparse.ArgumentParser(prog="python -m bench.delivery")
    parse.add_argument("--seed", type=int, default=1)
    parse.add_argument("--day", action="append", choices=[*DAYS, "rival"])
    parse.add_argument("--keep", type=Path, help="file of series that the figures are added to")
    whole = Size()
    for field in fields(Size):
        kind = type(getattr(whole, field.name))
        parse.add_argument(f"--{field.name}", type=kind, help=f"of the target: {getattr(whole, field.name)}")
    args = parse.parse_args()
    given = {f.name: getattr(args, f.name) for f in fields(Size) if getattr(args, f.name) is not None}
    size = Size.of(given.pop("proxies", whole.proxies), **given)
    worst, most, faults, load = 0.0, 0.0, [], data.load()
    for day in args.day or [*(d for d in DAYS if d != "minutes5"), "rival"]:
        if day == "rival":
            figures = rival(size)
            print("rival " + ", ".join(f"{k} {v:.4g}" for k, v in figures.items()))
        else:
            figures = play(day, args.seed, size)
            worst = max(worst, figures["staleness_999_s"])
            most = max(most, figures["minute_bytes_per_s"])
            faults += [f"{day}: {text}" for text in broken(figures)]
        if args.keep:
            keep(args.keep, day, figures, size, args.seed, load)
    over = "; ".join(faults) or ("held" if most else "the rival is not judged")
    print(f"seed {args.seed}: {worst:.2f} of {WITHIN_S:.0f} s, {most:.0f} of {ALLOWED:.0f} bytes/s: {over}")
    return 1 if faults else 0


def keep(path: Path, day: str, figures: dict[str, float], size: Size, seed: int, load: float) -> None:
    """Points over proxies; those of other sizes and the same seed stay."""
    old, new = data.read(path), []
    for what, value in figures.items():
        name = f"day.{day}{'' if seed == 1 else f'_seed_{seed}'}.{what}"
        before = dict(old[name].points) if name in old else {}
        points = tuple(sorted((before | {float(size.proxies): value}).items()))
        unit = what.rsplit("_", 1)[-1]
        new.append(Series(name, "proxies", unit, points, "hollow", {}, seed, load, "in virtual time"))
    data.write(new, path)


if __name__ == "__main__":
    sys.exit(main())
