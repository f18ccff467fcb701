"""A new version under load sends new work to a backend whose drain its predecessor was told of."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from harness import (
    BROKEN,
    HELD,
    Backend,
    Call,
    Client,
    CouldNotRun,
    Proxy,
    Record,
    Registry,
    main,
    now_ms,
    request,
    settings,
    status_of,
)

FOLDER = Path(__file__).resolve().parent
PROXIES = 20  # of the tier; the one with the last number is started, the others are not needed
CALL_S = 0.5  # for which each call waits for its turn at discovery; it fails after 2 s
BEFORE_DRAIN_S, AFTER_DRAIN_S = 5.0, 3.0
BINDS_MS = 2000.0  # after the new process has said yes
GRACE_MS, SOCKET_SLACK_MS = 250.0, 50.0
SIGTERM_AFTER_S = 4.0  # after the yes; it comes within 6 s
WATCH_S = 6.0  # from the yes on
BUDGET_MS = 750
CLIENTS = 4


async def ask_steadily(client: int, address: str, record: Record) -> None:
    """Sends one request after another, each on a connection of its own."""
    number = 0
    while True:
        number += 1
        call_id, connection = f"card{client}-{number}", Client(address)
        status, _ = await connection.ask(request("card-answer", call_id, BUDGET_MS, route=number), 3.0)
        connection.close()
        record.line(f"{call_id} answered {status}")
        await asyncio.sleep(0.02)


async def case(folder: Path, record: Record, trouble: bool) -> int:
    async def handle(call: Call) -> None:
        await asyncio.sleep(0.01)
        await call.reply(200, call.id.encode())

    registry = Registry(record)
    backends = [await Backend(f"s{number}", record, handle).open() for number in range(4)]
    for backend in backends:
        registry.put(backend)
    door = await registry.open()
    registry.delay_s = CALL_S
    draining = backends[0]
    proxy = Proxy(folder, registry, door.address, settings(Balancers=PROXIES, Me=PROXIES - 1))
    tasks: list[asyncio.Task[None]] = []
    successor: asyncio.subprocess.Process | None = None
    try:
        await proxy.start()
        tasks += [
            asyncio.create_task(ask_steadily(number, proxy.listen, record)) for number in range(CLIENTS)
        ]
        await asyncio.sleep(BEFORE_DRAIN_S)
        if not draining.calls:
            raise CouldNotRun("nothing was sent to the backend that is to drain")
        registry.put(draining, "leaving")
        await asyncio.sleep(1.0)
        before = len(draining.calls)
        await asyncio.sleep(AFTER_DRAIN_S - 1.0)
        if len(draining.calls) != before:
            raise CouldNotRun("the proxy did not keep the drain before the new version came")
        yes_ms = now_ms()
        if trouble:
            record.line("the new version is started")
            successor, admin = await proxy.run()
            while await status_of(admin, "/ops/readiness") != 200:
                if successor.returncode is not None or now_ms() > yes_ms + 30_000:
                    raise CouldNotRun("the new version does not say yes")
                await asyncio.sleep(0.02)
            yes_ms = now_ms()
            record.line("the new version says yes")
        await asyncio.sleep(SIGTERM_AFTER_S)
        if trouble:
            record.line("SIGTERM to the old version")
            proxy.signal(signal.SIGTERM)
        await asyncio.sleep(WATCH_S - SIGTERM_AFTER_S)
    finally:
        for task in tasks:
            task.cancel()
        if successor is not None and successor.returncode is None:
            successor.kill()
            await successor.wait()
        await proxy.close()
    latest_ms = BINDS_MS + GRACE_MS + SOCKET_SLACK_MS
    after = [call.first_byte_ms - yes_ms for call in draining.calls[before:]]
    too_late = [ms for ms in after if ms > latest_ms]
    last = f", the last {after[-1]:.0f} ms after the yes" if after else ""
    record.line(
        f"{len(after)} requests began at the draining backend after the start of the new version{last}; "
        f"{len(too_late)} of them later than {latest_ms:.0f} ms after the yes"
    )
    return BROKEN if too_late else HELD


main(case, str(FOLDER))
