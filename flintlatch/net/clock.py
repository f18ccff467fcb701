"""The one clock of the proxy: monotonic milliseconds, anchored once to Unix time for `boot_ms`."""

from __future__ import annotations

import time

_ANCHOR = (time.time() - time.monotonic()) * 1000


def now_ms() -> float:
    return _ANCHOR + time.monotonic() * 1000
