"""An engine and a front for the platform's protocol."""

from __future__ import annotations

from dataclasses import replace

from flintlatch.api import Settings
from flintlatch.net.request import Reader
from flintlatch.platform.engine import PlatformEngine
from flintlatch.platform.front import PlatformFrontend
from flintlatch.platform.limits import UPLOAD_PART
from flintlatch.platform.node import PlatformConnection
from flintlatch.settings import SocketSettings

TRANSFER_PART = 0.9  # of connections to servers, and of the uploads' memory, that transfers may take


def build(
    settings: Settings,
    wire: SocketSettings,
    seed: int,
    to_backends: int,
    to_clients: int,
    memory_mb: float,
    *at_once: int,
) -> tuple[PlatformEngine, PlatformFrontend]:
    """`memory_mb`: the process's limit. `at_once`: connections accepted a turn, where others accept too."""
    uploads = int(memory_mb * 1e6 * UPLOAD_PART)
    settings = replace(
        settings,
        all_transfers=max(1, int(to_backends * TRANSFER_PART)),
        all_transfer_bytes=int(uploads * TRANSFER_PART),
    )
    engine = PlatformEngine(settings, wire, seed, to_backends, uploads, (), PlatformConnection)
    return engine, PlatformFrontend(engine, Reader(settings, wire), to_clients, *at_once)
