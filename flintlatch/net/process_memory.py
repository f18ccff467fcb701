"""The memory of this process as the operating system counts it, and what is done when it grows too large."""

from __future__ import annotations

import ctypes
import os
from collections.abc import Callable

from flintlatch.exchange import Budget

STATM = "/proc/self/statm"  # proc(5); in pages: the size, the resident size, and others
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM_BYTES = 128
TRIM_BYTES = 1024 * 1024  # given back since the last time; a trim takes some milliseconds
TRIM_CHECKS = 5  # between two trims for the size of the process, which may have nothing to give back


def load_malloc_trim() -> Callable[[int], object] | None:
    """malloc_trim(3) of the C library; None if it has none."""
    return getattr(ctypes.CDLL(None), "malloc_trim", None)


class ResidentSize:
    """The resident size of this process."""

    def __init__(self) -> None:
        try:
            self._descriptor = os.open(STATM, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._descriptor = -1

    def read(self) -> int:
        """In bytes; 0 if the system does not tell."""
        if self._descriptor < 0:
            return 0
        try:
            return int(os.pread(self._descriptor, STATM_BYTES, 0).split()[1]) * PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return 0

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class MemoryControl:
    """Keeps the process below a size: gives back what is free, and shrinks the budget by what is too much.

    The C library keeps what is freed between objects that are still in use, so that one crowd after another
    would leave a heap of gaps that none of them can use."""

    def __init__(self, budget: Budget, safe_bytes: int, read_size: Callable[[], int]) -> None:
        """`safe_bytes`: of the process. `read_size`: its present size in bytes, 0 if that is not known."""
        self._budget, self._safe_bytes, self._read_size = budget, safe_bytes, read_size
        self._malloc_trim = load_malloc_trim()
        self._peak_bytes = 0
        self._checks_until_trim = 0

    def check(self) -> None:
        """To be called regularly."""
        self._checks_until_trim -= 1
        size_bytes = self._read_size()
        excess_bytes = size_bytes - self._safe_bytes
        self._peak_bytes = max(self._peak_bytes, self._budget.used_bytes)
        freed_much = self._peak_bytes - self._budget.used_bytes >= TRIM_BYTES
        if freed_much or (excess_bytes > 0 and self._checks_until_trim <= 0):
            self.trim()
            excess_bytes = self._read_size() - self._safe_bytes
        self._budget.excess_bytes = max(excess_bytes, 0)

    def trim(self) -> None:
        """Returns free memory to the operating system."""
        self._peak_bytes = self._budget.used_bytes
        self._checks_until_trim = TRIM_CHECKS
        if self._malloc_trim is not None:
            self._malloc_trim(0)
