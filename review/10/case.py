"""New configurations in quick succession keep the proxy from hearing of a drain."""

from __future__ import annotations

import asyncio
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
)

FOLDER = Path(__file__).resolve().parent
PROXIES = 20  # of the tier; the one with the last number is started, the others are not needed
CALL_S = 0.005  # that discovery takes for a call
MOVES, MOVE_INTERVAL_S = 3, 2.6
DRAIN_AFTER_S = 0.2  # from the first SIGHUP on
OLD_ADDRESS_CLOSES_S = 1.5
TOLD_MS = 6000.0  # after discovery had the change and could be reached
GRACE_MS, SOCKET_SLACK_MS = 250.0, 50.0
WATCH_S = 12.0  # from the drain on
BUDGET_MS = 750
CLIENTS = 4


async def ask_steadily(client: int, address: str, record: Record) -> None:
    connection, number = Client(address), 0
    while True:
        number += 1
        call_id = f"card{client}-{number}"
        status, _ = await connection.ask(request("card-answer", call_id, BUDGET_MS, route=number), 3.0)
        record.line(f"{call_id} answered {status}")
        await asyncio.sleep(0.03)


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
    try:
        await proxy.start()
        tasks += [
            asyncio.create_task(ask_steadily(number, proxy.listen, record)) for number in range(CLIENTS)
        ]
        await asyncio.sleep(6.0)  # the watch is open
        if not draining.calls:
            raise CouldNotRun("nothing was sent to the backend that is to drain")
        drain = asyncio.get_running_loop().create_future()

        def begin_drain() -> None:
            registry.put(draining, "leaving")
            drain.set_result(now_ms())

        asyncio.get_running_loop().call_later(DRAIN_AFTER_S, begin_drain)
        for _ in range(MOVES if trouble else 0):
            old, door = door, await registry.open()
            record.line(f"SIGHUP: discovery moves to {door.address}")
            proxy.move_discovery(door.address)
            # The old address takes no new connection, and closes the open ones a little later.
            tasks.append(asyncio.create_task(old.retire(OLD_ADDRESS_CLOSES_S)))
            await asyncio.sleep(MOVE_INTERVAL_S)
        drained_ms = await drain
        await asyncio.sleep(WATCH_S - (now_ms() - drained_ms) / 1000)
    finally:
        for task in tasks:
            task.cancel()
        await proxy.close()
    latest_ms = TOLD_MS + GRACE_MS + SOCKET_SLACK_MS
    after = [call.first_byte_ms - drained_ms for call in draining.calls if call.first_byte_ms > drained_ms]
    too_late = [ms for ms in after if ms > latest_ms]
    last = f", the last after {after[-1]:.0f} ms" if after else ""
    record.line(
        f"{len(after)} requests began at the draining backend{last}; "
        f"{len(too_late)} of them later than {latest_ms:.0f} ms after discovery had the drain"
    )
    return BROKEN if too_late else HELD


main(case, str(FOLDER))
