"""Simulates the baseline for delivery: the full list is sent to every proxy at each change."""

from __future__ import annotations

from bench.hollow import (
    BACKEND_BYTES,
    CONFIGURATION_CHANGES_PER_S,
    MACHINE_CHANGES_PER_S,
    MAX_BYTES_PER_S,
    ROUTE_BYTES,
    ROW_BYTES,
    Size,
)
from flintlatch.lab.engine import Engine


def full_list_bytes(size: Size, tenants: bool = True) -> float:
    """The bytes that the baseline sends to every proxy for any change."""
    services = size.services * (18 * (5 + BACKEND_BYTES + 12) + 4.73 * (2 + ROUTE_BYTES + 12) + 64)
    rows = 390_000 / 11_000 * size.services * (8 + 64 + 3 + ROW_BYTES + 12)
    return services + rows if tenants else services


def rival(size: Size, seconds: float = 900.0) -> dict[str, float]:
    """Simulates one link with the allowed rate; the full list is sent again while there are newer changes."""
    engine, transfer_s = Engine(), full_list_bytes(size) / MAX_BYTES_PER_S
    rate = (CONFIGURATION_CHANGES_PER_S + 2 * MACHINE_CHANGES_PER_S) * size.services / 11_000 * size.times
    newest_revision, sent, is_sending = 0, 0.0, False
    pending_since: list[float] = []
    staleness_s: list[float] = []

    def change() -> None:
        nonlocal newest_revision
        newest_revision += 1
        pending_since.append(engine.now)
        if not is_sending:
            send()
        if engine.now < seconds:
            engine.after(1 / rate, change)

    def send() -> None:
        nonlocal is_sending, pending_since, sent
        is_sending, now, pending_since = True, pending_since, []
        sent += transfer_s * MAX_BYTES_PER_S

        def complete() -> None:
            nonlocal is_sending
            staleness_s.extend(engine.now - at for at in now)
            is_sending = False
            if pending_since:
                send()

        engine.after(transfer_s, complete)

    engine.at(0.0, change)
    engine.run(seconds + 3 * transfer_s)
    staleness_s.sort()
    return {
        "list_bytes": transfer_s * MAX_BYTES_PER_S,
        "list_s": transfer_s,
        "staleness_50_s": staleness_s[len(staleness_s) // 2],
        "staleness_worst_s": staleness_s[-1],
        "services_s": full_list_bytes(size, False) / MAX_BYTES_PER_S,  # without tenants
        "wanted_bytes_per_s": transfer_s * MAX_BYTES_PER_S * rate / size.times,  # if every change were sent
    }
