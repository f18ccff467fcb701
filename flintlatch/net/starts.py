"""The times at which servers started, by the proxy's clock.

A list tells them as Unix times. They decide how long a server is treated as cold, so a wall clock that was
stepped, here or there, must not make a server that has just started look warm.
"""

from __future__ import annotations

from typing import NamedTuple

from flintlatch.net.clock import WallClock

# A start that a list reports for the first time came after the previous list, less the time that the
# service may need to notice it.
MAX_LISTING_DELAY_MS = 5000.0
MAX_FORGOTTEN_UIDS = 1000  # servers that are no longer listed, but may come back with the same start


class Start(NamedTuple):
    unix_ms: float  # as listed
    local_ms: float  # by the proxy's clock


class ServerStarts:
    """The start of each server, converted when it is listed for the first time and kept from then on."""

    def __init__(self, wall_clock: WallClock) -> None:
        self.wall_clock = wall_clock
        self.by_uid: dict[str, Start] = {}

    def local_ms(self, uid: str, unix_ms: float, previous_list_ms: float | None) -> float:
        """The start of a server by the proxy's clock. `previous_list_ms`: time of the previous list, if the
        service has given one."""
        known = self.by_uid.get(uid)
        if known is not None and known.unix_ms == unix_ms:
            return known.local_ms
        local_ms = self.wall_clock.latest_local_ms(unix_ms)
        if previous_list_ms is not None:
            local_ms = max(local_ms, previous_list_ms - MAX_LISTING_DELAY_MS)
        self.by_uid[uid] = Start(unix_ms, local_ms)
        return local_ms

    def forget(self, listed: set[str]) -> None:
        """Limits the memory for servers that are no longer listed."""
        if len(self.by_uid) > len(listed) + MAX_FORGOTTEN_UIDS:
            self.by_uid = {uid: start for uid, start in self.by_uid.items() if uid in listed}
