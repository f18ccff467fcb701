"""Errors of system calls that may pass by themselves, and retries of what a start can't do without."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

# A lack of descriptors, memory or ports, an interrupted call, a disk that fails for a moment, and an address
# whose previous owner has not ended yet.
TRANSIENT_ERRNOS = frozenset(
    (
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EINTR,
        errno.EIO,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)
RETRY_FOR_S = 2.0
RETRY_INTERVAL_S = 0.02

T = TypeVar("T")


def retry_transient(operation: Callable[[], T]) -> T:
    """Returns the result of `operation`, which is repeated for RETRY_FOR_S while it fails with a transient
    error. Blocks the thread: for the start of a process only. Raises the last OSError."""
    give_up_at = time.monotonic() + RETRY_FOR_S
    while True:
        try:
            return operation()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS or time.monotonic() >= give_up_at:
                raise
        time.sleep(RETRY_INTERVAL_S)
