"""A proxy that is restarted while discovery is down sends new work to a backend that has drained."""

from __future__ import annotations

import asyncio
import json
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
    lane,
    main,
    now_ms,
    request,
    settings,
    status_of,
)

FOLDER = Path(__file__).resolve().parent
OUTAGE_S = 8.0
DOWN_S = 1.0  # from the kill to the next start of the proxy
GRACE_MS, SOCKET_SLACK_MS = 600.0, 50.0
WATCH_S = 12.0
BUDGET_MS = 1400
CLIENTS = 4

# As the site file bergen-parcels has them; one of two proxies.
LANES = [
    lane(
        "label",
        "idempotency_key",
        AimMs=500.0,
        HardLimitMs=2500.0,
        KeyTtlMs=4000.0,
        Points=2.0,
        LateWorth=0.4,
    ),
    lane("track", "read_like", AimMs=400.0, HardLimitMs=1500.0),
    lane("customs", "non_idempotent", AimMs=800.0, HardLimitMs=2800.0, Points=6.0, LateWorth=1.0),
]
SETTINGS = settings(
    Balancers=2,
    Me=1,
    Dcs=["havn", "fjell"],
    Discovery="push",
    Domain={},
    Kinds=["belt-4c", "belt-2c"],
    Lanes=LANES,
    Limits={
        "ConnIdleMs": 20000.0,
        "ConnectTimeoutMs": 300.0,
        "MaxRetryAfterMs": 1500.0,
        "MayCancel": False,
        "MayDuplicate": False,
        "MostTries": 3,
        "Probes": False,
        "RetryAfter": True,
    },
    Obligations={
        "ColdMs": 20000.0,
        "DrainGraceMs": GRACE_MS,
        "FallMultiple": 3.0,
        "MustAskInMs": 10000.0,
        "OverloadForMs": 2000.0,
        "StartCapacity": 0.2,
    },
    Reporting={"Fields": ["rif", "busy"], "Via": "inline"},
    Tiers=["sorters"],
    TickMs=2.0,
    Weights="rough",
)


async def ask_steadily(client: int, address: str, record: Record) -> None:
    """Sends one request after another while the proxy is ready, as the front does."""
    connection, number = Client(address), 0
    while True:
        if connection.streams is None and await status_of(address, "/health/ready") != 200:
            await asyncio.sleep(0.1)
            continue
        number += 1
        call_id = f"card{client}-{number}-{now_ms():.0f}"
        record.line(f"{call_id} sent")
        status, _ = await connection.ask(request("customs", call_id, BUDGET_MS, route=number), 3.0)
        record.line(f"{call_id} answered {status}")
        await asyncio.sleep(0.03)


async def case(folder: Path, record: Record, trouble: bool) -> int:
    async def handle(call: Call) -> None:
        await asyncio.sleep(0.01)
        await call.reply(200, call.id.encode())

    agent = Registry(record, "havn", "belt-4c")
    backends = [await Backend(f"s{number}", record, handle).open() for number in range(4)]
    for backend in backends:
        agent.put(backend)
    door = await agent.open()
    draining = backends[0]
    proxy = Proxy(folder, agent, door.address, SETTINGS)
    tasks: list[asyncio.Task[None]] = []
    try:
        await proxy.start()
        tasks += [
            asyncio.create_task(ask_steadily(number, proxy.listen, record)) for number in range(CLIENTS)
        ]
        await asyncio.sleep(3.0)
        if not draining.calls:
            raise CouldNotRun("nothing was sent to the backend that is to drain")
        proxy.config["known"] = json.loads(json.dumps(agent.whole()))  # as this proxy last had it
        record.line("the proxy is killed")
        await proxy.close()
        await asyncio.sleep(DOWN_S / 2)
        agent.put(draining, "leaving")
        await asyncio.sleep(DOWN_S / 2)
        if trouble:
            record.line("discovery is down: the agent is silent")
            agent.silent.set()

            async def end_outage() -> None:
                await asyncio.sleep(OUTAGE_S)
                record.line("discovery is back")
                agent.silent.clear()
                agent.back.set()

            tasks.append(asyncio.create_task(end_outage()))
        before, started_ms = len(draining.calls), now_ms()
        record.line("the proxy is started again")
        await proxy.start()
        record.line("the proxy is ready")
        await asyncio.sleep(WATCH_S - (now_ms() - started_ms) / 1000)
    finally:
        for task in tasks:
            task.cancel()
        await proxy.close()
    latest_ms = GRACE_MS + SOCKET_SLACK_MS
    after = [call.first_byte_ms - started_ms for call in draining.calls[before:]]
    too_late = [ms for ms in after if ms > latest_ms]
    last = f", the last {after[-1]:.0f} ms after the start" if after else ""
    record.line(
        f"{len(after)} requests began at the draining backend after the start of the process{last}; "
        f"{len(too_late)} of them later than {latest_ms:.0f} ms after it"
    )
    return BROKEN if too_late else HELD


main(case, str(FOLDER))
