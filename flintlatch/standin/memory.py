"""The memory of a process as the operating system counts it."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

SAMPLE_INTERVAL_S = 0.01
KIB = 1024


class ProcessMemory(NamedTuple):
    """Sizes of one process in bytes, proc(5)."""

    resident: int
    proportional: int  # a page that n processes share counts for 1/n


def read_memory(pid: int) -> ProcessMemory:
    """Reads the sizes of a process. Raises OSError if there is no such process, ValueError while it ends."""
    sizes = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, _, value = line.partition(":")
        sizes[name] = int(value.split()[0]) * KIB
    if "Pss" not in sizes:
        raise ValueError(f"process {pid} has no memory any more")
    return ProcessMemory(sizes["Rss"], sizes["Pss"])


class MemoryWatch:
    """Samples the memory of one process and keeps its largest sizes."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.largest = ProcessMemory(0, 0)
        self._task = asyncio.get_running_loop().create_task(self._sample())

    async def _sample(self) -> None:
        with suppress(OSError, ValueError):
            while True:
                now = read_memory(self.pid)
                self.largest = ProcessMemory(*map(max, self.largest, now))
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    def close(self) -> None:
        self._task.cancel()
