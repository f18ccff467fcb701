"""Divides the memory limit of a process among its connections, its requests and the bytes held for them."""

from __future__ import annotations

from typing import NamedTuple

PROCESS_BYTES = 22_000_000  # of a process at rest, where it is not measured
# What the objects of one client's connection take, and those of one request with its server's connection.
CLIENT_BYTES, EXCHANGE_BYTES = 6 * 1024, 12 * 1024
SAFE_FRACTION = 0.92  # of the memory limit; what is above is for changes between two checks
USABLE_FRACTION = 0.75  # the rest is for the gaps between objects, which the allocator keeps
# Of what is usable, at most.
CLIENTS_FRACTION, EXCHANGES_FRACTION = 0.35, 0.35
MIN_BUDGET_FRACTION = 0.05  # of the memory limit, where the process itself takes most of it
MIN_CLIENTS, MIN_EXCHANGES = 32, 16


class MemoryPlan(NamedTuple):
    """How the memory of a process is divided."""

    safe_bytes: int  # of the whole process; above it nothing more is taken in
    max_clients: int  # client connections
    max_exchanges: int  # requests at once
    budget_bytes: int  # held for clients and servers


def plan_memory(memory_mb: float, max_clients: int, process_bytes: int = PROCESS_BYTES) -> MemoryPlan:
    """`memory_mb`: the limit of the process. `max_clients`: connections that its descriptors allow.
    `process_bytes`: what the process takes before the first of them."""
    limit_bytes = memory_mb * 1e6
    usable_bytes = max(limit_bytes * SAFE_FRACTION - process_bytes, 0.0) * USABLE_FRACTION
    clients = min(max_clients, max(int(usable_bytes * CLIENTS_FRACTION / CLIENT_BYTES), MIN_CLIENTS))
    exchanges = min(clients, max(int(usable_bytes * EXCHANGES_FRACTION / EXCHANGE_BYTES), MIN_EXCHANGES))
    budget_bytes = usable_bytes - clients * CLIENT_BYTES - exchanges * EXCHANGE_BYTES
    return MemoryPlan(
        int(limit_bytes * SAFE_FRACTION),
        clients,
        exchanges,
        int(max(budget_bytes, limit_bytes * MIN_BUDGET_FRACTION)),
    )
