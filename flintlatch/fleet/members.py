"""Membership in the supervisor: files watched, the core's decisions carried out, one list for all workers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from flintlatch.api import ServerInfo, ServerState
from flintlatch.config import Config, beside
from flintlatch.membership import (
    Apply,
    Confirmed,
    Event,
    InvalidDocument,
    LogWarning,
    Membership,
    MembershipRules,
    Node,
    NodeState,
    Rejected,
    Save,
    TimerExpired,
    Version,
    VersionHeld,
    VersionOffered,
    VersionRestored,
    WakeAt,
)
from flintlatch.membership.catalogue import CatalogueSource
from flintlatch.membership.consul import ServiceWatch
from flintlatch.membership.files import FileSource, load_version, make_file_source, save_version
from flintlatch.membership.registry import RegistrySource
from flintlatch.net.clock import now_ms
from flintlatch.net.discovery import Listing, Target
from flintlatch.settings import SocketSettings

if TYPE_CHECKING:
    from flintlatch.fleet.delivered import Followed, Supply

REGISTRY = "registry"  # its name as a source
FAULTS_TOLD = 5  # of a rejection in the log; all are in `status`


class Members:
    """`take` gets the first list whole, then what changes. `supply`: of nodes by delivery."""

    def __init__(
        self,
        config: Config,
        take: Callable[[Listing], None],
        log: Callable[[str, str], None],
        supply: Supply | None = None,
    ) -> None:
        self.wire, self.take, self.log = config.wire(), take, log
        self.loop = asyncio.get_running_loop()
        table = config.nodes
        named = {f"{table.catalogue}#{service}": service for service in table.services}
        registry = (REGISTRY,) if table.source == "registry" else ()
        delivered = (table.service,) if table.source == "delivery" else ()
        self.core = Membership(
            MembershipRules(
                (*table.files, *named, *registry, *delivered),
                max_removed_fraction=table.most_removed_part,
                hold_s=table.hold_s,
                drains_at_once=frozenset(registry),  # a drain is a process's own word there, not a hand's
            )
        )
        self.offered_ms = 0.0
        self.keep_path = beside(config.path, table.keep) if table.keep else ""
        self.kept: set[asyncio.Future[None]] = set()
        self.wake: asyncio.TimerHandle | None = None
        self.taken = self.rejected = 0
        self.last_rejection = ""
        for name in self.core.rules.sources:
            self._restore(name)
        self.sources: list[FileSource | CatalogueSource | RegistrySource | Followed] = [
            make_file_source(name, beside(config.path, name), self.on_event) for name in table.files
        ]
        token = self._token(beside(config.path, table.token_file)) if table.token_file else ""
        for name, service in named.items():
            catalogue = ServiceWatch(name, service, table.wait_s, table.most_stale_s)
            try:
                self.sources.append(CatalogueSource(table.catalogue, token, catalogue, self.on_event))
            except ImportError:
                log("error", f"{name}: httpx is not installed: pip install flintlatch[membership]")

        if registry:
            self.sources.append(RegistrySource(REGISTRY, table.registry, self.wire, self.on_event))
        self.followed: Followed | None = None
        if delivered and supply is not None:
            self.followed = supply.follow(config, self.on_event)
            self.sources.append(self.followed)

    def failure(self) -> str:
        """Why there is no list yet, as far as sources have said."""
        failures = [source.failure for source in self.core.sources.values()]
        if self.followed is not None:
            failures.append(self.followed.failure())
        return "; ".join(filter(None, failures))

    @property
    def heard_ms(self) -> float:
        """When a source last said something of use; by delivery, when what is held was the origin's."""
        return self.followed.heard_ms() if self.followed is not None else self.offered_ms

    def _token(self, path: str) -> str:
        try:
            with open(path, encoding="utf-8") as file:
                return file.read(4096).strip()
        except (OSError, UnicodeDecodeError) as error:
            self.log("error", f"{path}: {error}; the catalogue is asked without a token")
            return ""

    def _kept_at(self, source: str) -> str:
        """One file a source; its name may hold what a file's may not."""
        return f"{self.keep_path}.{self.core.rules.sources.index(source)}"

    def _restore(self, name: str) -> None:
        if not self.keep_path:
            return
        try:
            version = load_version(self._kept_at(name))
        except (OSError, InvalidDocument) as error:
            self.log("warning", f"{self._kept_at(name)}: not used: {error}")
            return
        if version is not None and version.source == name:
            self.log("info", f"{name}: version {version.number} of before, until there is a newer one")
            self.loop.call_soon(self.on_event, VersionRestored(version))

    def on_event(self, event: Event) -> None:
        if isinstance(event, VersionOffered):
            self.offered_ms = now_ms()
            if failure := self.core.sources[event.version.source].failure:
                self.log("info", f"{event.version.source}: answers again, after {failure}")
        for action in self.core.step(self.loop.time(), event):
            if isinstance(action, Apply):
                self._apply(action)
            elif isinstance(action, Save):
                self.taken += 1
                self.log("info", f"{action.version.source}: version {action.version.number} taken")
                self._keep(action.version)
                if self.followed is not None:
                    self.followed.took(action.version)
            elif isinstance(action, Rejected):
                self.rejected += 1
                told = "; ".join(map(str, action.faults[:FAULTS_TOLD]))
                more = len(action.faults) - FAULTS_TOLD
                which = f"version {action.number}" if action.number is not None else "what is there"
                text = f"{action.source}: {which} rejected: {told}" + (f"; {more} more" if more > 0 else "")
                self.last_rejection = text
                self.log("warning", text)
            elif isinstance(action, VersionHeld):
                left = action.until_s - self.loop.time()
                text = f"{action.source}: version {action.number} held for {left:.0f} s: {action.reason}"
                self.log("warning", text)
            elif isinstance(action, LogWarning):
                self.log("warning", action.text)
            elif isinstance(action, WakeAt):
                if self.wake is not None:
                    self.wake.cancel()
                at = max(action.at_s, self.loop.time() + 0.001)
                self.wake = self.loop.call_at(at, self.on_event, TimerExpired())

    def _apply(self, action: Apply) -> None:
        if action.revision == 1:
            targets = tuple(target_of(node, self.wire) for node in action.nodes)
            self.take(Listing(action.revision, True, targets))
            return
        change = action.change
        gone = (target_of(node, self.wire, ServerState.GONE) for node in change.removed)
        there = (target_of(n, self.wire) for n in (*change.drained, *change.changed, *change.added))
        self.take(Listing(action.revision, False, (*gone, *there)))

    def _keep(self, version: Version) -> None:
        """Off the loop; that it fails is told of and stops nothing."""
        if not self.keep_path:
            return

        def done(future: asyncio.Future[None]) -> None:
            self.kept.discard(future)
            if not future.cancelled() and (error := future.exception()) is not None:
                self.log("warning", f"{self._kept_at(version.source)}: version not kept: {error}")

        future = self.loop.run_in_executor(None, save_version, self._kept_at(version.source), version)
        self.kept.add(future)
        future.add_done_callback(done)

    def confirm(self, source: str, number: int) -> dict[str, Any]:
        held = self.core.sources[source].held if source in self.core.sources else None
        if held is None or held.number != number:
            return {"ok": False, "reason": f"{source}: no version {number} is held"}
        self.on_event(Confirmed(source, number))
        return {"ok": True}

    def rejections(self) -> dict[str, Any]:
        return {"rejected": self.rejected, "last_rejection": self.last_rejection}

    def report(self) -> list[dict[str, Any]]:
        """A row a source."""
        now = self.loop.time()
        return [
            {
                "source": source.name,
                "version": source.current.number if source.current is not None else None,
                "nodes": len(source.current.nodes) if source.current is not None else 0,
                "old": source.unconfirmed,
                "held": source.held.number if source.held is not None else None,
                "held_for_s": round(source.held_until_s - now, 1) if source.held is not None else None,
                "failure": source.failure,
                "rejected": source.rejection_count,
                "rejections": [
                    {"version": one.number, "faults": list(map(str, one.faults))} for one in source.rejections
                ],
                "delivery": self.followed.report() if self.followed is not None else None,
            }
            for source in self.core.sources.values()
        ]

    def close(self) -> None:
        if self.wake is not None:
            self.wake.cancel()
        for source in self.sources:
            source.close()


def target_of(node: Node, wire: SocketSettings, state: ServerState | None = None) -> Target:
    zone = wire.zones.setdefault(node.zone, len(wire.zones))
    kind = wire.kinds.setdefault(node.kind, len(wire.kinds))
    if state is None:
        state = ServerState.DRAINING if node.state is NodeState.DRAINING else ServerState.ACTIVE
    info = ServerInfo(node.uid, state, zone, kind, node.cell, node.started_ms, node.weight)
    return Target(node.uid, node.host, node.port, info)
