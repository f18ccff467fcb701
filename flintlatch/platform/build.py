"""Builds the engine and the front end for the platform's protocol."""

from __future__ import annotations

from dataclasses import replace

from flintlatch.api import Settings
from flintlatch.net.addresses import AddressOwners
from flintlatch.net.request import Reader
from flintlatch.platform.engine import PlatformEngine
from flintlatch.platform.front import PlatformFrontend
from flintlatch.platform.limits import memory_budget_bytes
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
    *accepts_per_turn: int,
) -> tuple[PlatformEngine, PlatformFrontend]:
    """`memory_mb`: the memory limit of the process. `accepts_per_turn`: connections accepted in one loop
    turn, if other processes accept from the same socket."""
    budget_bytes = memory_budget_bytes(memory_mb, to_backends + to_clients)
    settings = replace(
        settings,
        all_transfers=max(1, int(to_backends * TRANSFER_FRACTION)),
        all_transfer_bytes=int(budget_bytes * UPLOAD_MEMORY_FRACTION),
    )
    engine = PlatformEngine(settings, wire, seed, to_backends, budget_bytes, (), PlatformConnection)
    engine.address_owners = AddressOwners()
    return engine, PlatformFrontend(engine, Reader(settings, wire), to_clients, *accepts_per_turn)
