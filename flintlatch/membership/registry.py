"""The platform's registry as a source: each of its answers, put together with what is held, is a version."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from flintlatch.api import ServerState
from flintlatch.membership.core import Event, Failed, VersionOffered
from flintlatch.membership.model import Node, NodeState, Version
from flintlatch.net.clock import now_ms
from flintlatch.net.discovery import Discovery, Listing, Target
from flintlatch.settings import SocketSettings

RETRY_S = (0.1, 2.0)  # s until a failed call is made again, first and longest: doubled


def node_of(target: Target, zones: dict[int, str], kinds: dict[int, str]) -> Node:
    """`zones` and `kinds`: names by number; what has none is named by its number."""
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
    """Tells the core's events of a registry to `on_event`, on the loop, until closed."""

    def __init__(
        self, name: str, address: str, wire: SocketSettings, on_event: Callable[[Event], None]
    ) -> None:
        self.name, self.wire, self.on_event = name, wire, on_event
        self.nodes: dict[str, Node] = {}
        self.number, self.wait_s = 0, RETRY_S[0]
        self.retry: asyncio.TimerHandle | None = None
        self.discovery = Discovery(address, wire, None, self._on_list, self._on_failure)
        self.discovery.watch()

    def _on_list(self, listing: Listing) -> None:
        self.wait_s = RETRY_S[0]
        zones = {number: name for name, number in self.wire.zones.items()}
        kinds = {number: name for name, number in self.wire.kinds.items()}
        nodes = {} if listing.is_snapshot else dict(self.nodes)
        for target in listing.targets:
            if target.info.state is ServerState.GONE:
                nodes.pop(target.uid, None)
            else:
                nodes[target.uid] = node_of(target, zones, kinds)
        if nodes != self.nodes or not self.number:
            # Its versions are its own, and begin anew with it; ours never go back, also over a restart.
            self.number = max(self.number + 1, int(now_ms()))
        self.nodes = nodes
        self.on_event(VersionOffered(Version(self.name, self.number, tuple(nodes.values()), now_ms())))

    def _on_failure(self, reason: str) -> None:
        self.on_event(Failed(self.name, reason))
        self.retry = asyncio.get_running_loop().call_later(self.wait_s, self.discovery.watch)
        self.wait_s = min(2 * self.wait_s, RETRY_S[1])

    def close(self) -> None:
        if self.retry is not None:
            self.retry.cancel()
        self.discovery.close()
