"""The plain rival of delivery: the whole list to every proxy at each change, over a link of the allowance."""

from __future__ import annotations

from bench.hollow import ALLOWED, BACKEND, CHANGES, MACHINES, ROUTE, ROW, Size
from flintlatch.lab.engine import Engine


def whole_list_bytes(size: Size, tenants: bool = True) -> float:
    """Of the plain rival: what every proxy takes for any change."""
    services = size.services * (18 * (5 + BACKEND + 12) + 4.73 * (2 + ROUTE + 12) + 64)
    rows = 390_000 / 11_000 * size.services * (8 + 64 + 3 + ROW + 12)
    return services + rows if tenants else services


def rival(size: Size, seconds: float = 900.0) -> dict[str, float]:
    """The whole list to each proxy at the allowance, again as long as it is not the newest: one link."""
    engine, takes = Engine(), whole_list_bytes(size) / ALLOWED
    rate = (CHANGES + 2 * MACHINES) * size.services / 11_000 * size.times
    newest, sent, busy = 0, 0.0, False
    waits: list[float] = []
    stale: list[float] = []

    def change() -> None:
        nonlocal newest
        newest += 1
        waits.append(engine.now)
        if not busy:
            send()
        if engine.now < seconds:
            engine.after(1 / rate, change)

    def send() -> None:
        nonlocal busy, waits, sent
        busy, now, waits = True, waits, []
        sent += takes * ALLOWED

        def over() -> None:
            nonlocal busy
            stale.extend(engine.now - at for at in now)
            busy = False
            if waits:
                send()

        engine.after(takes, over)

    engine.at(0.0, change)
    engine.run(seconds + 3 * takes)
    stale.sort()
    return {
        "list_bytes": takes * ALLOWED,
        "list_s": takes,
        "staleness_50_s": stale[len(stale) // 2],
        "staleness_worst_s": stale[-1],
        "services_s": whole_list_bytes(size, False) / ALLOWED,  # without the tenants
        "wanted_bytes_per_s": takes * ALLOWED * rate / size.times,  # each change sent, as often as it comes
    }
