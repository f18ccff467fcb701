"""Which entry of the list stands for the process at an address. No I/O.

A new server may come up at the address of one that has died, while the list still names the old one. Only one
process listens at an address, so what is sent there by the old entry would reach the new server: beyond what
a cold server may get, and perhaps in another cell than its key belongs to. So an entry is taken as gone while
another one with the same address tells a later start.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from flintlatch.api import ServerState
from flintlatch.net.listing import Listing, Target


class Address(NamedTuple):
    host: str
    port: int


class ToldEntry(NamedTuple):
    """What the list tells of one server."""

    address: Address
    started_ms: float  # by the proxy's clock, whatever the wall clock did; -inf: long ago


class Resolution(NamedTuple):
    listing: Listing  # without the entries whose address another server has now
    replaced: dict[str, str]  # uids that have lost their address with this listing, and those that have it


class AddressOwners:
    """The entries of one list, which are told by one listing after another."""

    def __init__(self) -> None:
        self._entries: dict[str, ToldEntry] = {}  # by uid
        self._uids: dict[Address, set[str]] = {}

    def resolve(self, listing: Listing) -> Resolution:
        """Takes a listing, whose starts are by the proxy's clock."""
        if listing.is_snapshot:
            named = {target.uid for target in listing.targets} | listing.unchanged
            for uid in [uid for uid in self._entries if uid not in named]:
                self._forget(uid)
        for target in listing.targets:
            self._take(target)
        replaced = {uid: owner for target in listing.targets for uid, owner in self._replaced_by(target.uid)}
        visible = tuple(target for target in listing.targets if self._owner(target.uid) == target.uid)
        unchanged = frozenset(uid for uid in listing.unchanged if self._owner(uid) == uid)
        return Resolution(listing._replace(targets=visible, unchanged=unchanged), replaced)

    def _take(self, target: Target) -> None:
        if target.info.state is ServerState.GONE:
            self._forget(target.uid)
        elif target.host:  # otherwise a drain, which tells nothing of the address
            self._forget(target.uid)
            started_ms = target.info.started if target.info.started is not None else -inf
            entry = ToldEntry(Address(target.host, target.port), started_ms)
            self._entries[target.uid] = entry
            self._uids.setdefault(entry.address, set()).add(target.uid)

    def _forget(self, uid: str) -> None:
        entry = self._entries.pop(uid, None)
        if entry is None:
            return
        self._uids[entry.address].discard(uid)
        if not self._uids[entry.address]:
            del self._uids[entry.address]

    def _owner(self, uid: str) -> str:
        """The server that has started last at the address of `uid`; itself if none has started later."""
        entry = self._entries.get(uid)
        if entry is None or len(self._uids[entry.address]) == 1:
            return uid
        latest = max(self._uids[entry.address], key=lambda other: self._entries[other].started_ms)
        return latest if self._entries[latest].started_ms > entry.started_ms else uid

    def _replaced_by(self, uid: str) -> list[tuple[str, str]]:
        """The servers at the address of `uid` that have started earlier, if none has started later."""
        entry = self._entries.get(uid)
        if entry is None or len(self._uids[entry.address]) == 1 or self._owner(uid) != uid:
            return []
        return [(other, uid) for other in self._uids[entry.address] if self._owner(other) != other]
