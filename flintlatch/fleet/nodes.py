"""Where a generation's nodes come from: one watch for the whole fleet, handed on to every worker."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from flintlatch.api import ServerInfo, ServerState
from flintlatch.config import Config
from flintlatch.fleet.members import Members
from flintlatch.net.clock import now_ms
from flintlatch.net.discovery import SERVER_STATES, Listing, Target
from flintlatch.net.http1 import split_address

if TYPE_CHECKING:
    from flintlatch.fleet.delivered import Supply

STATE_NAMES = {state: name for name, state in SERVER_STATES.items()}


def described(listing: Listing) -> dict[str, Any]:
    """A list in the registry's own form, with numbers for zones and kinds, as `read_listing` takes it."""
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


def fixed(config: Config) -> Listing:
    """The list that the configuration names itself."""
    wire, targets = config.socket_settings(), []
    for node in config.nodes.static:
        host, port = split_address(node.address)
        zone = wire.zones.setdefault(node.zone, len(wire.zones))
        kind = wire.kinds.setdefault(node.kind, len(wire.kinds))
        info = ServerInfo(node.uid, ServerState.ACTIVE, zone, kind, node.cell, None, node.weight)
        targets.append(Target(node.uid, host, port, info))
    return Listing(1, True, tuple(targets))


class Nodes:
    """`on_news` is called with each list or change that comes after the first; `first` waits for that."""

    def __init__(
        self,
        config: Config,
        on_news: Callable[[Nodes, Listing], None],
        log: Callable[[str, str], None],
        supply: Supply | None = None,
    ) -> None:
        self.on_news, self.log = on_news, log
        self.targets: dict[str, Target] = {}
        self.rev, self.taken_ms = 0, 0.0
        self.come = asyncio.Event()
        self.members: Members | None = None
        if config.nodes.source == "static":
            self._take(fixed(config))
        else:
            self.members = Members(config, self._take, log, supply)

    async def first(self) -> None:
        await self.come.wait()

    def whole(self) -> Listing:
        return Listing(self.rev, True, tuple(self.targets.values()))

    def _take(self, news: Listing) -> None:
        if news.is_snapshot:
            self.targets = {}
        for target in news.targets:
            if target.info.state is ServerState.GONE:
                self.targets.pop(target.uid, None)
            else:
                self.targets[target.uid] = target
        self.rev, self.taken_ms = news.revision, now_ms()
        if self.come.is_set():
            if news.is_snapshot or news.targets:
                self.on_news(self, news)
        else:
            self.come.set()

    @property
    def heard_ms(self) -> float:
        """When a source last said something of use."""
        return self.members.heard_ms if self.members is not None else self.taken_ms

    @property
    def failure(self) -> str:
        return self.members.failure() if self.members is not None else ""

    def rejections(self) -> dict[str, Any]:
        """How many versions were rejected, and what was wrong with the last."""
        return (
            self.members.rejections() if self.members is not None else {"rejected": 0, "last_rejection": ""}
        )

    def close(self) -> None:
        if self.members is not None:
            self.members.close()
