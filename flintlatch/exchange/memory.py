"""The memory for what is held for clients and servers: one budget, which every holder asks.

What can't be given up half-way is reserved before it begins, and refused if too little is left. What can
wait, such as a response whose client reads slowly, has an account. Its holder keeps to a share of the free
memory, so all shares shrink as more is held, and their sum stays within the budget (dynamic thresholds:
Choudhury and Hahne, 1998).
"""

from __future__ import annotations

FREE_SHARES = 32  # a holder may hold this fraction of the free memory
REQUEST_FREE_SHARES = (
    4  # and a request that arrives this one, so that a short body is taken by a small budget
)
MAX_SET_ASIDE_FRACTION = 0.5  # of the budget, for the least shares of all holders
MIN_SHARE_BYTES = 4 * 1024  # with less, a small request could not go on
MAX_SHARE_BYTES = 128 * 1024  # a short body, its head and one read
NO_LIMIT_BYTES = 1 << 60


class Budget:
    """Memory for all connections together."""

    def __init__(self, limit_bytes: int, max_holders: int = 0) -> None:
        """`max_holders`: how many may hold something at once. The least share of each is set aside, so that
        the first ones leave it to the others."""
        self.limit_bytes, self.max_holders = limit_bytes, max_holders
        self.used_bytes = self.peak_bytes = 0
        self.excess_bytes = 0  # by which the process is too large: so much less may be held

    def reserve(self, count: int) -> bool:
        """Reserves `count` bytes; returns false and reserves nothing if less is left."""
        if count and self.used_bytes + count > self.limit_bytes - self.excess_bytes:
            return False
        self.add(count)
        return True

    def release(self, count: int) -> None:
        if count > self.used_bytes:
            raise ValueError(f"{count} bytes released, but only {self.used_bytes} are out")
        self.used_bytes -= count

    @property
    def share_bytes(self) -> int:
        """What the holder of one account may hold now."""
        return self._part_of_free(FREE_SHARES)

    @property
    def request_share_bytes(self) -> int:
        """What one request that has not arrived whole may take now."""
        return self._part_of_free(REQUEST_FREE_SHARES)

    def _part_of_free(self, parts: int) -> int:
        set_aside_bytes = min(
            self.max_holders * MIN_SHARE_BYTES, int(self.limit_bytes * MAX_SET_ASIDE_FRACTION)
        )
        free_bytes = self.limit_bytes - set_aside_bytes - self.excess_bytes - self.used_bytes
        return min(max(free_bytes // parts, MIN_SHARE_BYTES), MAX_SHARE_BYTES)

    def open_account(self) -> MemoryAccount:
        return MemoryAccount(self)

    def add(self, count: int) -> None:
        """Records bytes that are held already, whether or not they are left."""
        self.used_bytes += count
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)


class MemoryAccount:
    """What one holder holds."""

    __slots__ = ("budget", "held_bytes")

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.held_bytes = 0

    @property
    def room_bytes(self) -> int:
        """What the holder may take in addition."""
        room_bytes = self.budget.share_bytes - self.held_bytes
        return room_bytes if room_bytes > 0 else 0

    def set_held(self, count: int) -> None:
        """Records what is held now. It may be more than the share, which shrinks as others hold more."""
        added = count - self.held_bytes
        if not added:
            return
        self.held_bytes = count
        if added > 0:
            self.budget.add(added)
        else:
            self.budget.release(-added)
