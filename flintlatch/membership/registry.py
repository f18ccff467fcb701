"""Turns the snapshots and deltas of a registry into complete versions of the node list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from flintlatch.api import ServerState
from flintlatch.membership.core import Event, SourceFailed, VersionOffered
from flintlatch.membership.model import Node, NodeState, Version
from flintlatch.net.clock import now_ms
from flintlatch.net.discovery import Discovery
from flintlatch.net.listing import Listing, Target
from flintlatch.settings import SocketSettings

RETRY_DELAY_RANGE_S = (0.1, 2.0)  # first and longest delay after a failed call; doubled each time


def node_from_target(target: Target, zones: dict[int, str], kinds: dict[int, str]) -> Node:
    """`zones` and `kinds`: names by number. A zone or kind without a name gets its number as the name."""
    info = target.info
    return Node(
        target.uid,
        target.host,
        target.port,
        "default",
        zones.get(info.zone, str(info.zone)),
        kinds.get(info.kind, str(info.kind)),
        info.cell,
        info.weight,
        NodeState.ACTIVE if info.state is ServerState.ACTIVE else NodeState.DRAINING,
        info.started,
    )


class RegistrySource:
    """Calls `on_event` on the event loop with the events of a registry, until it is closed."""

    def __init__(
        self,
        name: str,
        address: str,
        socket_settings: SocketSettings,
        on_event: Callable[[Event], None],
        last_number: int = 0,
    ) -> None:
        """`last_number`: of the version restored after a restart. The wall clock, from which the numbers are
        made, may have been stepped back since."""
        self.name, self.socket_settings, self.on_event = name, socket_settings, on_event
        self.nodes: dict[str, Node] = {}
        self.version_number, self.retry_delay_s = last_number, RETRY_DELAY_RANGE_S[0]
        self.has_offered = False
        self.retry_timer: asyncio.TimerHandle | None = None
        self.discovery = Discovery(address, socket_settings, None, self._on_list, self._on_failure)
        self.discovery.watch()

    def _on_list(self, listing: Listing) -> None:
        self.retry_delay_s = RETRY_DELAY_RANGE_S[0]
        zones = {number: name for name, number in self.socket_settings.zones.items()}
        kinds = {number: name for name, number in self.socket_settings.kinds.items()}
        nodes = dict(self.nodes)
        if listing.is_snapshot:
            nodes = {uid: node for uid, node in nodes.items() if uid in listing.unchanged}
        for target in listing.targets:
            if target.info.state is ServerState.GONE:
                nodes.pop(target.uid, None)
            elif not target.host:  # a drain without an address
                if (held := self.nodes.get(target.uid)) is not None:
                    nodes[target.uid] = held._replace(state=NodeState.DRAINING)
            else:
                nodes[target.uid] = node_from_target(target, zones, kinds)
        if nodes != self.nodes or not self.has_offered:
            # The registry's revisions restart with it. Version numbers must grow, also over a restart of this
            # process.
            self.version_number = max(self.version_number + 1, int(now_ms()))
        self.nodes, self.has_offered = nodes, True
        self.on_event(
            VersionOffered(Version(self.name, self.version_number, tuple(nodes.values()), now_ms()))
        )

    def _on_failure(self, reason: str) -> None:
        self.on_event(SourceFailed(self.name, reason))
        self.retry_timer = asyncio.get_running_loop().call_later(self.retry_delay_s, self.discovery.watch)
        self.retry_delay_s = min(2 * self.retry_delay_s, RETRY_DELAY_RANGE_S[1])

    def close(self) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.discovery.close()
