"""Simulates days of a whole fleet in virtual time: failures, the staleness of changes, and their cost.

    python -m bench.delivery --seed N [--day NAME ...] [--proxies 2200 --relays 52 --services 11000 ...]

Each day has background changes at ten times the target's rate. The staleness of a change is measured at each
running proxy that follows the object, from the commit or from when the proxy became ready or its partition
healed. The last line compares the worst of all days with the target; the exit code is 1 if a bound was
exceeded.
"""

from __future__ import annotations

import argparse
import gc
import sys
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from time import process_time

from bench.hollow import (
    CONFIGURATION_CHANGES_PER_S,
    MACHINE_CHANGES_PER_S,
    MAX_BYTES_PER_S,
    MAX_STALENESS_S,
    ROUTE_BYTES,
    ROW_BYTES,
    Fleet,
    Size,
)
from bench.plain import rival
from bench.scale import data
from bench.scale.data import Series
from flintlatch.delivery.model import ObjectChange
from flintlatch.delivery.store import StoredObject

FAULT_START_S = 10.0  # time before the fault
REPLACEMENT_S = 1.0  # from the removal of a machine to its replacement
OUTAGE_S = 60.0
PARTITION_S = 300.0
SEND_BYTES_PER_S = 44e6  # by one core of the origin: 16 ns per byte, and 7 us per frame of 1.1 KB
RELAY_RESTART_S = 3.0  # from the crash of a relay to its restart


def background(fleet: Fleet, until: float) -> None:
    rng, world, size = fleet.world.rng, fleet.world, fleet.size
    share = size.services / 11_000 * size.times  # of the target's rate, in proportion to the services

    def change_configuration() -> None:
        fleet.commit([world.change_configuration()])
        schedule(CONFIGURATION_CHANGES_PER_S, change_configuration)

    def replace_backend() -> None:
        removal, new = world.replace_backend()
        fleet.commit([removal])
        fleet.engine.after(REPLACEMENT_S, lambda: fleet.commit([new]))
        schedule(MACHINE_CHANGES_PER_S, replace_backend)

    def schedule(rate: float, what: Callable[[], None]) -> None:
        after = rng.expovariate(rate * share)
        if fleet.engine.now + after < until:
            fleet.engine.after(after, what)

    if share > 0:
        schedule(CONFIGURATION_CHANGES_PER_S, change_configuration)
        schedule(MACHINE_CHANGES_PER_S, replace_backend)


def probe(fleet: Fleet, at: float) -> None:
    """Adds ten changes per second for ten seconds from the start of a fault."""
    for n in range(100):
        fleet.engine.after(at + n / 10, lambda: fleet.commit([fleet.world.change_configuration()]))


def ordinary(fleet: Fleet) -> float:
    """15 minutes without a fault."""
    return 900.0


def minutes5(fleet: Fleet) -> float:
    """5 minutes without a fault."""
    return 300.0


def pause_hosts(fleet: Fleet, names: list[str]) -> None:
    for name in names:
        fleet.pause(name)


def relays_dead(fleet: Fleet) -> float:
    """Three relay machines of one region fail without closing their connections."""
    probe(fleet, FAULT_START_S)
    first = sorted(fleet.relays, key=lambda participant: participant.region)[:3]
    fleet.engine.after(FAULT_START_S, lambda: pause_hosts(fleet, [participant.name for participant in first]))
    return 90.0


def relays(fleet: Fleet) -> float:
    """All relays crash within a second and restart empty after three."""
    probe(fleet, FAULT_START_S)
    for participant in fleet.relays:
        when = FAULT_START_S + fleet.rng.random()
        fleet.engine.after(when, lambda name=participant.name: fleet.kill(name))  # type: ignore[misc]
        fleet.engine.after(when + RELAY_RESTART_S, lambda host=participant: fleet.start_relay(host))  # type: ignore[misc]
    return 120.0


def relays_paced(fleet: Fleet) -> float:
    """The same, with the origin limited to the speed of one core."""
    fleet.top.send_bytes_per_s = SEND_BYTES_PER_S
    return relays(fleet) + 60.0


def rack(fleet: Fleet) -> float:
    """Half of the proxies of a zone and its relay fail silently."""

    def fail() -> None:
        pause_hosts(fleet, ["relay0"])
        for participant in [p for p in fleet.proxy_participants if p.zone == "z0"][::2]:
            fleet.stop_proxy(participant.name, silent=True)

    probe(fleet, FAULT_START_S)
    fleet.engine.after(FAULT_START_S, fail)
    return 90.0


def zone(fleet: Fleet) -> float:
    """A zone fails silently and restarts empty after a minute."""
    proxies = [p for p in fleet.proxy_participants if p.zone == "z0"]
    relays_of_zone = [p for p in fleet.relays if p.zone == "z0"]

    def fail() -> None:
        for participant in relays_of_zone:
            fleet.pause(participant.name)
        for participant in proxies:
            fleet.stop_proxy(participant.name, silent=True)

    def restart_zone() -> None:
        for participant in relays_of_zone:
            fleet.kill(participant.name)
            fleet.start_relay(participant)
        for participant in proxies:
            fleet.stop_proxy(participant.name, silent=False)
            fleet.start_proxy(participant)

    probe(fleet, FAULT_START_S)
    probe(fleet, FAULT_START_S + OUTAGE_S)
    fleet.engine.after(FAULT_START_S, fail)
    fleet.engine.after(FAULT_START_S + OUTAGE_S, restart_zone)
    return 180.0


def parted(fleet: Fleet) -> float:
    """Two regions without the origin are partitioned from the other three."""
    far = ("r0", "r1")
    far_hosts = [p.name for p in (*fleet.relays, *fleet.proxy_participants) if p.region in far]
    near_relays = [p.name for p in (*fleet.relays, fleet.top.place) if p.region not in far]
    near_proxies = [p.name for p in fleet.proxy_participants if p.region not in far]

    def cut() -> None:
        fleet.cut(far_hosts, near_relays)
        fleet.cut([p.name for p in fleet.relays if p.region in far], near_proxies)

    def heal() -> None:
        for participant in fleet.proxy_participants:
            if participant.region in far:
                fleet.audit.counted_from[participant.name] = fleet.engine.now
        fleet.heal()

    probe(fleet, FAULT_START_S)
    probe(fleet, FAULT_START_S + PARTITION_S)
    fleet.engine.after(FAULT_START_S, cut)
    fleet.engine.after(FAULT_START_S + PARTITION_S, heal)
    return FAULT_START_S + PARTITION_S + 60.0


def restart(fleet: Fleet) -> float:
    """All proxies restart empty one after another, within five minutes instead of an hour."""
    for n, participant in enumerate(fleet.proxy_participants):
        when = FAULT_START_S + 300.0 * n / len(fleet.proxy_participants)
        fleet.engine.after(when, lambda name=participant.name: fleet.stop_proxy(name, silent=False))  # type: ignore[misc]
        fleet.engine.after(when + 2.0, lambda host=participant: fleet.start_proxy(host))  # type: ignore[misc]
    return FAULT_START_S + 300.0 + 90.0


def service(fleet: Fleet) -> float:
    """All 1,000 backends of one service are replaced at once, under new names."""
    world = fleet.world
    name = max(world.services, key=lambda name: world.backends[name])
    count = world.backends[name]
    new = {f"c{k}": world.rng.randbytes(60) for k in range(count)}
    change = ObjectChange(name, new, tuple(f"b{k}" for k in range(count)))
    fleet.engine.after(FAULT_START_S, lambda: fleet.commit([change]))
    return 60.0


def flap(fleet: Fleet) -> float:
    """A tenth of all backends is removed within five seconds and added again in the next five."""
    world, objects = fleet.world, fleet.top.store.objects
    all_of = [(n, f"b{k}") for n, count in world.backends.items() for k in range(count)]
    removed = world.rng.sample(all_of, len(all_of) // 10)
    batches: list[list[tuple[str, str]]] = [removed[n::50] for n in range(50)]
    values = {pair: objects[pair[0]].items[pair[1]] for pair in removed}

    def remove(n: int) -> None:
        fleet.commit([ObjectChange(name, removed=(item,)) for name, item in batches[n]])

    def add(n: int) -> None:
        fleet.commit([ObjectChange(name, {item: values[name, item]}) for name, item in batches[n]])

    for n in range(50):
        fleet.engine.after(FAULT_START_S + n / 10, lambda n=n: remove(n))  # type: ignore[misc]
        fleet.engine.after(FAULT_START_S + 5 + n / 10, lambda n=n: add(n))  # type: ignore[misc]
    return 90.0


def burst(fleet: Fleet) -> float:
    for n in range(500):
        change = fleet.world.change_configuration()
        fleet.engine.after(FAULT_START_S + n / 500, lambda change=change: fleet.commit([change]))  # type: ignore[misc]
    return 60.0


def rewritten(fleet: Fleet, backends: bool, after: float = 20.0) -> float:
    world, size = fleet.world, fleet.size
    names = [*world.services[:: size.cells], *world.rows[: 2 * size.tenants]]

    def rewrite() -> None:
        objects: dict[str, StoredObject] = fleet.top.store.objects
        before = {n: dict(objects[n].items) for n in names}
        new = [{k: world.rng.randbytes(VALUE_BYTES[k[0] == "r"] if k != "row" else ROW_BYTES)
                for k in before[n] if backends or k[0] == "r"} for n in names]  # fmt: skip
        fleet.commit([ObjectChange(n, items) for n, items in zip(names, new, strict=True)])

        def revert() -> None:
            fleet.commit([ObjectChange(n, {k: before[n][k] for k in items})
                          for n, items in zip(names, new, strict=True)])  # fmt: skip

        fleet.engine.after(after, revert)

    fleet.engine.after(FAULT_START_S, rewrite)
    return 120.0


VALUE_BYTES = {False: 60, True: ROUTE_BYTES}


def wrong(fleet: Fleet) -> float:
    """All routes and rows of one cell are rewritten, and reverted after 20 s."""
    return rewritten(fleet, False)


def wrong_all(fleet: Fleet) -> float:
    """The same, with the backends of the cell."""
    return rewritten(fleet, True)


def wrong_soon(fleet: Fleet) -> float:
    """The same, reverted after 5 s: both transfers must fit into the burst and a few seconds of credit."""
    return rewritten(fleet, True, 5.0)


DAYS = {f.__name__: f for f in (ordinary, minutes5, relays_dead, relays, relays_paced, rack, zone,
                                parted, restart, service, flap, burst, wrong, wrong_all,
                                wrong_soon)}  # fmt: skip


def quantile(rows: list[float], fraction: float) -> float:
    return rows[min(len(rows) - 1, int(fraction * len(rows)))] if rows else 0.0


def play(name: str, seed: int, size: Size) -> dict[str, float]:
    gc.collect()
    fleet = Fleet(seed, size)
    gc.freeze()
    gc.disable()  # the heap of the simulation is that of thousands of processes
    try:
        fleet.begin()
        fleet.clear()
        began, cpu = fleet.engine.now, process_time()
        duration_s = DAYS[name](fleet)
        background(fleet, began + duration_s - 15.0)
        fleet.engine.run(began + duration_s)
        fleet.costs["proxy"].ns += round(fleet.skipped_steps * fleet.idle_ns())
    finally:
        gc.enable()
        gc.unfreeze()
    audit, costs = fleet.audit, fleet.costs
    remaining = audit.finish(fleet.engine.now)
    stale, everywhere = sorted(audit.staleness_s), sorted(audit.worst_staleness_s.values())
    per_second = [sum(row) / len(row) for row in fleet.received_by_second.rows.values() if row]
    figures = {
        "staleness_50_s": quantile(everywhere, 0.5),
        "staleness_99_s": quantile(everywhere, 0.99),
        "staleness_999_s": quantile(everywhere, 0.999),
        "staleness_worst_s": everywhere[-1] if everywhere else 0.0,
        "pair_50_s": quantile(stale, 0.5),
        "pair_99_s": quantile(stale, 0.99),
        "pair_999_s": quantile(stale, 0.999),
        "changes": len(everywhere),
        "pairs": len(stale),
        "not_in_force": remaining,
        "torn": len(audit.unknown_content),
        "minute_bytes_per_s": fleet.received_by_second.worst(),
        "mean_bytes_per_s": sum(per_second) / max(1, len(per_second)),
        "load_median_s": quantile(sorted(audit.load_times_s), 0.5),
        "load_worst_s": max(audit.load_times_s, default=0.0),
    }
    hosts = {"origin": 1, "relay": size.relays, "proxy": size.proxies}
    for role, cost in costs.items():
        figures |= {
            f"{role}_core": cost.ns / 1e9 / duration_s / hosts[role],
            f"{role}_frames_per_s": cost.frames / duration_s / hosts[role],
            f"{role}_messages_per_s": cost.peak_messages,
            f"{role}_peak_core": cost.peak_ns / 1e9,
            f"{role}_peak_sent_bytes": cost.peak_bytes,
            f"{role}_longest_step_ms": cost.longest_ns / 1e6,
        }
    log_lines = {text for _, _, text in fleet.log_lines if "refused" in text}
    print(
        f"{name}, seed {seed}, {size.proxies} proxies, {duration_s:.0f} s; "
        f"played in {process_time() - cpu:.0f} s"
    )
    print(
        "  " + ", ".join(f"{k} {v:.4g}" for k, v in figures.items()),
        *sorted(log_lines),
        sep="\n  ",
        flush=True,
    )
    return figures


def exceeded_bounds(figures: dict[str, float]) -> list[str]:
    out = []
    if figures["staleness_999_s"] > MAX_STALENESS_S:
        out.append(f"99.9% in force everywhere after {figures['staleness_999_s']:.1f} s")
    if figures["not_in_force"]:
        out.append(f"{figures['not_in_force']:.0f} changes not in force at the end")
    if figures["torn"]:
        out.append(f"{figures['torn']:.0f} times content that the origin never had")
    if figures["minute_bytes_per_s"] > MAX_BYTES_PER_S:
        out.append(f"{figures['minute_bytes_per_s']:.0f} bytes/s in a minute")
    return out


def main() -> int:
    parse = argparse.ArgumentParser(prog="python -m bench.delivery")
    parse.add_argument("--seed", type=int, default=1)
    parse.add_argument("--day", action="append", choices=[*DAYS, "rival"])
    parse.add_argument("--keep", type=Path, help="file of series that the figures are added to")
    target_size = Size()
    for field in fields(Size):
        kind = type(getattr(target_size, field.name))
        parse.add_argument(
            f"--{field.name}", type=kind, help=f"of the target: {getattr(target_size, field.name)}"
        )
    args = parse.parse_args()
    given = {f.name: getattr(args, f.name) for f in fields(Size) if getattr(args, f.name) is not None}
    size = Size.of(given.pop("proxies", target_size.proxies), **given)
    worst, worst_bytes_per_s, faults, load = 0.0, 0.0, [], data.load()
    for day in args.day or [*(d for d in DAYS if d != "minutes5"), "rival"]:
        if day == "rival":
            figures = rival(size)
            print("rival " + ", ".join(f"{k} {v:.4g}" for k, v in figures.items()))
        else:
            figures = play(day, args.seed, size)
            worst = max(worst, figures["staleness_999_s"])
            worst_bytes_per_s = max(worst_bytes_per_s, figures["minute_bytes_per_s"])
            faults += [f"{day}: {text}" for text in exceeded_bounds(figures)]
        if args.keep:
            save_figures(args.keep, day, figures, size, args.seed, load)
    over = "; ".join(faults) or ("held" if worst_bytes_per_s else "the rival is not judged")
    print(
        f"seed {args.seed}: {worst:.2f} of {MAX_STALENESS_S:.0f} s, "
        f"{worst_bytes_per_s:.0f} of {MAX_BYTES_PER_S:.0f} bytes/s: {over}"
    )
    return 1 if faults else 0


def save_figures(path: Path, day: str, figures: dict[str, float], size: Size, seed: int, load: float) -> None:
    """Adds the figures to the series over proxies; points of other sizes and the same seed stay."""
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
