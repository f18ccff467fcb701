"""Builds the engine and the front end for the platform's protocol."""

from __future__ import annotations

from dataclasses import replace

from flintlatch.api import Settings
from flintlatch.net.addresses import AddressOwners
from flintlatch.net.process_memory import MemoryControl, ResidentSize
from flintlatch.net.request import Reader
from flintlatch.platform.engine import PlatformEngine
from flintlatch.platform.front import PlatformFrontend
from flintlatch.platform.memory import PROCESS_BYTES, plan_memory
from flintlatch.platform.node import PlatformConnection
from flintlatch.settings import SocketSettings

TRANSFER_FRACTION = 0.9  # of the connections to servers that transfers may use
UPLOAD_MEMORY_FRACTION = 0.5  # of the memory budget that the buffers of uploads may use


def build(
    settings: Settings,
    wire: SocketSettings,
    seed: int,
    to_backends: int,
    to_clients: int,
    memory_mb: float,
    process_bytes: int = PROCESS_BYTES,
) -> tuple[PlatformEngine, PlatformFrontend]:
    """`memory_mb`: the memory limit of the process, which takes `process_bytes` now."""
    plan = plan_memory(memory_mb, to_clients, process_bytes)
    settings = replace(
        settings,
        all_transfers=max(1, int(to_backends * TRANSFER_FRACTION)),
        all_transfer_bytes=int(plan.budget_bytes * UPLOAD_MEMORY_FRACTION),
    )
    engine = PlatformEngine(settings, wire, seed, to_backends, plan.budget_bytes, (), PlatformConnection)
    engine.max_exchanges = plan.max_exchanges
    engine.address_owners = AddressOwners()
    frontend = PlatformFrontend(engine, Reader(settings, wire), plan.max_clients)
    frontend.memory_control = MemoryControl(engine.memory, plan.safe_bytes, ResidentSize().read)
    return engine, frontend
