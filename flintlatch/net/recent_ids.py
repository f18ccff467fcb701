"""The ids of the requests of the last seconds, so that a request that comes again does not run again.

Two processes of one proxy, as during a hot restart, share their ids in a table in memory that both map.
"""

from __future__ import annotations

import hashlib
import mmap
import os
import time

RETENTION_MS = 10_000.0  # after the last attempt of a request has ended; no client waits for longer
MAX_RECENT_IDS = 20_000
OPEN_RETENTION_MS = (
    900_000.0  # in the shared table, for a request that is open: an upload may take 10 minutes
)
SLOTS, WINDOW = 32_768, 16  # of the shared table, and of those that one id may be in
SLOT_BYTES = 16  # the key and the time of its end, each of 8 bytes


def now_ms() -> float:
    """The monotonic clock, which all processes of a machine share."""
    return time.monotonic() * 1000


def key_of(request_id: str) -> int:
    """A number that stands for an id, above 0 and the same in all processes."""
    digest = hashlib.blake2b(request_id.encode("utf-8", "surrogatepass"), digest_size=8).digest()
    return int.from_bytes(digest, "little") or 1


class SharedIds:
    """A hash table in a file in memory. Each process writes single words, so that no lock is needed: what is
    lost when both take one slot at the same instant is one id."""

    def __init__(self, descriptor: int | None = None) -> None:
        """`descriptor`: of the table of another process, owned by this object from now on. Raises OSError or
        ValueError if it is no such table."""
        if descriptor is None:
            descriptor = os.memfd_create("recent-ids")
            os.ftruncate(descriptor, SLOTS * SLOT_BYTES)
        self.descriptor = descriptor
        self._words = memoryview(mmap.mmap(descriptor, SLOTS * SLOT_BYTES)).cast("Q")

    def put(self, key: int, until_ms: float) -> None:
        """Remembers a key up to a time, in its slot, a free one, or the one that ends first."""
        now, words = now_ms(), self._words
        best, best_until = 0, float("inf")
        for word in self._window(key):
            until = words[word + 1]
            if words[word] == key:
                best = word
                break
            if until <= now:
                until = 0
            if until < best_until:
                best, best_until = word, until
        words[best], words[best + 1] = key, int(until_ms)

    def __contains__(self, key: int) -> bool:
        now, words = now_ms(), self._words
        return any(words[word] == key and words[word + 1] > now for word in self._window(key))

    @staticmethod
    def _window(key: int) -> list[int]:
        first = key % SLOTS
        return [(first + offset) % SLOTS * 2 for offset in range(WINDOW)]


class RecentIds:
    """The ids of this process, and those of the process beside it."""

    def __init__(self) -> None:
        self._times: dict[int, float] = {}  # by key; the oldest first
        self._shared: SharedIds | None = None
        self._latest_id, self._latest_key = "", key_of("")  # a request is looked for several times in a row

    def __len__(self) -> int:
        return len(self._times)

    def __contains__(self, request_id: str) -> bool:
        key = self._key_of(request_id)
        remembered_ms = self._times.get(key)
        if remembered_ms is not None and remembered_ms > now_ms() - RETENTION_MS:
            return True
        return self._shared is not None and key in self._shared

    def add(self, request_id: str) -> None:
        """A request has arrived."""
        self._remember(self._key_of(request_id), OPEN_RETENTION_MS)

    def end(self, request_id: str) -> None:
        """The request has ended, and so has its last attempt: its id is remembered from now on."""
        self._remember(self._key_of(request_id), RETENTION_MS)

    def share(self) -> int:
        """The descriptor of the table, which is made if there is none. Raises OSError."""
        if self._shared is None:
            self._shared = SharedIds()
            for key, remembered_ms in self._times.items():
                self._shared.put(key, remembered_ms + RETENTION_MS)
        return self._shared.descriptor

    def join(self, descriptor: int) -> None:
        """Shares the table of another process. Raises OSError or ValueError."""
        self._shared = SharedIds(descriptor)

    def _key_of(self, request_id: str) -> int:
        if request_id != self._latest_id:
            self._latest_id, self._latest_key = request_id, key_of(request_id)
        return self._latest_key

    def _remember(self, key: int, shared_for_ms: float) -> None:
        now = now_ms()
        self._times.pop(key, None)
        self._times[key] = now
        if self._shared is not None:
            self._shared.put(key, now + shared_for_ms)
        self._expire(now - RETENTION_MS)

    def _expire(self, oldest_ms: float) -> None:
        while self._times:
            key = next(iter(self._times))
            if self._times[key] > oldest_ms and len(self._times) <= MAX_RECENT_IDS:
                break
            del self._times[key]
