"""The proxy's clock: monotonic milliseconds, offset once to Unix time so that `boot_ms` can be compared with
it."""

from __future__ import annotations

import time

_UNIX_OFFSET_MS = (time.time() - time.monotonic()) * 1000


def now_ms() -> float:
    return _UNIX_OFFSET_MS + time.monotonic() * 1000
