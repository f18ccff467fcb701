"""The node list of a generation, followed once in the supervisor and sent to every worker."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from flintlatch.api import ServerInfo, ServerState
from flintlatch.config import Config
from flintlatch.fleet.members import NodeSources
from flintlatch.net.clock import now_ms
from flintlatch.net.http1 import split_address
from flintlatch.net.listing import SERVER_STATES, Listing, Target

if TYPE_CHECKING:
    from flintlatch.fleet.delivered import DeliveryFeeds

STATE_NAMES = {state: name for name, state in SERVER_STATES.items()}


def encode_listing(listing: Listing) -> dict[str, Any]:
    """Encodes a list in the registry's format, with numbers for zones and kinds, which `read_listing`
    decodes."""
    return {
        "rev": listing.revision,
        "all": listing.is_snapshot,
        "targets": [
            {
                "uid": target.uid,
                "endpoint": f"[{target.host}]:{target.port}"
                if ":" in target.host
                else f"{target.host}:{target.port}",
                "az": target.info.zone,
                "model": target.info.kind,
                "pod_group": target.info.cell,
                "state": STATE_NAMES[target.info.state],
                "capacity_hint": target.info.weight,
                "boot_ms": target.info.started or 0,
            }
            for target in listing.targets
        ],
    }


def static_listing(config: Config) -> Listing:
    """The list written in the configuration itself."""
    wire, targets = config.socket_settings(), []
    for node in config.nodes.static:
        host, port = split_address(node.address)
        zone = wire.zones.setdefault(node.zone, len(wire.zones))
        kind = wire.kinds.setdefault(node.kind, len(wire.kinds))
        info = ServerInfo(node.uid, ServerState.ACTIVE, zone, kind, node.cell, None, node.weight)
        targets.append(Target(node.uid, host, port, info))
    return Listing(1, True, tuple(targets))


class NodeList:
    """`on_change` is called with each snapshot or delta after the first list, which `wait_for_first`
    awaits."""

    def __init__(
        self,
        config: Config,
        on_change: Callable[[NodeList, Listing], None],
        log: Callable[[str, str], None],
        delivery_feeds: DeliveryFeeds | None = None,
    ) -> None:
        self.on_change, self.log = on_change, log
        self.targets: dict[str, Target] = {}
        self.rev, self.updated_ms = 0, 0.0
        self.first_received = asyncio.Event()
        self.node_sources: NodeSources | None = None
        if config.nodes.source == "static":
            self._on_listing(static_listing(config))
        else:
            self.node_sources = NodeSources(config, self._on_listing, log, delivery_feeds)

    async def wait_for_first(self) -> None:
        await self.first_received.wait()

    def snapshot(self) -> Listing:
        return Listing(self.rev, True, tuple(self.targets.values()))

    def _on_listing(self, listing: Listing) -> None:
        if listing.is_snapshot:
            self.targets = {}
        for target in listing.targets:
            if target.info.state is ServerState.GONE:
                self.targets.pop(target.uid, None)
            else:
                self.targets[target.uid] = target
        self.rev, self.updated_ms = listing.revision, now_ms()
        if self.first_received.is_set():
            if listing.is_snapshot or listing.targets:
                self.on_change(self, listing)
        else:
            self.first_received.set()

    @property
    def last_update_ms(self) -> float:
        """Unix time in ms of the last update from a source."""
        return self.node_sources.last_update_ms if self.node_sources is not None else self.updated_ms

    @property
    def failure(self) -> str:
        return self.node_sources.failure() if self.node_sources is not None else ""

    def rejections(self) -> dict[str, Any]:
        """The number of rejected versions, and why the last one was rejected."""
        return (
            self.node_sources.rejections()
            if self.node_sources is not None
            else {"rejected": 0, "last_rejection": ""}
        )

    def close(self) -> None:
        if self.node_sources is not None:
            self.node_sources.close()
