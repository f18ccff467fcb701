"""Returns memory that was given back to the operating system.

The C library keeps what is freed between objects that are still in use, so that one crowd after another would
leave a heap of gaps that none of them can use.
"""

from __future__ import annotations

import ctypes
from collections.abc import Callable

from flintlatch.exchange import Budget

TRIM_BYTES = 1024 * 1024  # given back since the last time; a trim takes some milliseconds


def load_malloc_trim() -> Callable[[int], object] | None:
    """malloc_trim(3) of the C library; None if it has none."""
    return getattr(ctypes.CDLL(None), "malloc_trim", None)


class AllocatorTrim:
    """Trims the heap once much less is held than there was."""

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self._malloc_trim = load_malloc_trim()
        self._peak_bytes = 0

    def check(self) -> None:
        """To be called regularly."""
        self._peak_bytes = max(self._peak_bytes, self._budget.used_bytes)
        if self._peak_bytes - self._budget.used_bytes < TRIM_BYTES:
            return
        self._peak_bytes = self._budget.used_bytes
        if self._malloc_trim is not None:
            self._malloc_trim(0)
