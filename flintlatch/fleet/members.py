"""Follows the configured node sources in the supervisor and merges their nodes into one list for all workers.

Sources are files, a catalogue, the registry or delivery. The membership core decides which versions of a
source are accepted; this module carries its decisions out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from flintlatch.api import ServerInfo, ServerState
from flintlatch.config import Config, resolve_config_path
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
from flintlatch.membership.files import FileSource, load_version, make_file_source
from flintlatch.membership.registry import RegistrySource
from flintlatch.membership.saving import VersionSaver
from flintlatch.net.clock import now_ms
from flintlatch.net.listing import Listing, Target
from flintlatch.settings import SocketSettings

if TYPE_CHECKING:
    from flintlatch.fleet.delivered import DeliveryFeeds, NodeSubscription

REGISTRY_SOURCE = "registry"  # name of the registry as a source
MAX_LOGGED_FAULTS = 5  # per rejected version; `status` shows all


class NodeSources:
    """`on_listing` gets the first list as a snapshot, then deltas. `delivery_feeds` is used if nodes come by
    delivery."""

    def __init__(
        self,
        config: Config,
        on_listing: Callable[[Listing], None],
        log: Callable[[str, str], None],
        delivery_feeds: DeliveryFeeds | None = None,
    ) -> None:
        self.socket_settings, self.on_listing, self.log = config.socket_settings(), on_listing, log
        self.loop = asyncio.get_running_loop()
        table = config.nodes
        catalogue_services = {f"{table.catalogue}#{service}": service for service in table.services}
        registry_sources = (REGISTRY_SOURCE,) if table.source == "registry" else ()
        delivery_sources = (table.service,) if table.source == "delivery" else ()
        self.core = Membership(
            MembershipRules(
                (*table.files, *catalogue_services, *registry_sources, *delivery_sources),
                max_removed_fraction=table.most_removed_part,
                hold_s=table.hold_s,
                authoritative=frozenset(registry_sources),
            )
        )
        self.last_offer_ms = 0.0
        self.saved_path_prefix = resolve_config_path(config.path, table.keep) if table.keep else ""
        self.savers: dict[str, VersionSaver] = {}  # by source
        self.wake_timer: asyncio.TimerHandle | None = None
        self.accepted_count = self.rejected_count = 0
        self.last_rejection = ""
        last_numbers = {name: self._restore(name) for name in self.core.rules.sources}
        self.sources: list[FileSource | CatalogueSource | RegistrySource | NodeSubscription] = [
            make_file_source(name, resolve_config_path(config.path, name), self.on_event, last_numbers[name])
            for name in table.files
        ]
        token = (
            self._read_token(resolve_config_path(config.path, table.token_file)) if table.token_file else ""
        )
        for name, service in catalogue_services.items():
            catalogue = ServiceWatch(name, service, table.wait_s, table.most_stale_s, last_numbers[name])
            try:
                self.sources.append(CatalogueSource(table.catalogue, token, catalogue, self.on_event))
            except ImportError:
                log("error", f"{name}: httpx is not installed: pip install flintlatch[membership]")

        if registry_sources:
            self.sources.append(
                RegistrySource(
                    REGISTRY_SOURCE,
                    table.registry,
                    self.socket_settings,
                    self.on_event,
                    last_numbers[REGISTRY_SOURCE],
                )
            )
        self.subscription: NodeSubscription | None = None
        if delivery_sources and delivery_feeds is not None:
            self.subscription = delivery_feeds.subscribe(config, self.on_event)
            self.sources.append(self.subscription)

    def failure(self) -> str:
        """The failures that sources have reported, which may explain why there is no list yet."""
        failures = [source.failure for source in self.core.sources.values()]
        if self.subscription is not None:
            failures.append(self.subscription.failure())
        return "; ".join(filter(None, failures))

    @property
    def last_update_ms(self) -> float:
        """Unix time in ms of the last version from a source; with delivery, the latest time at which the list
        was known to equal the origin's."""
        return self.subscription.last_update_ms() if self.subscription is not None else self.last_offer_ms

    def _read_token(self, path: str) -> str:
        try:
            with open(path, encoding="utf-8") as file:
                return file.read(4096).strip()
        except (OSError, UnicodeDecodeError) as error:
            self.log("error", f"{path}: {error}; requests to the catalogue carry no token")
            return ""

    def _saved_path(self, source: str) -> str:
        """One file per source, by index, since a source's name may not be valid as a file name."""
        return f"{self.saved_path_prefix}.{self.core.rules.sources.index(source)}"

    def _restore(self, name: str) -> int:
        """Puts the saved version of a source into effect. Returns its number, 0 if there is none."""
        if not self.saved_path_prefix:
            return 0
        try:
            version = load_version(self._saved_path(name))
        except (OSError, InvalidDocument) as error:
            self.log("warning", f"{self._saved_path(name)}: not used: {error}")
            return 0
        if version is None or version.source != name:
            return 0
        self.log("info", f"{name}: version {version.number} of before, until there is a newer one")
        self.loop.call_soon(self.on_event, VersionRestored(version))
        return version.number

    def on_event(self, event: Event) -> None:
        if isinstance(event, VersionOffered):
            self.last_offer_ms = now_ms()
            if failure := self.core.sources[event.version.source].failure:
                self.log("info", f"{event.version.source}: has recovered from: {failure}")
        for action in self.core.step(self.loop.time(), event):
            if isinstance(action, Apply):
                self._apply(action)
            elif isinstance(action, Save):
                self.accepted_count += 1
                self.log("info", f"{action.version.source}: version {action.version.number} accepted")
                self._save(action.version)
                if self.subscription is not None:
                    self.subscription.on_accepted(action.version)
            elif isinstance(action, Rejected):
                self.rejected_count += 1
                faults = "; ".join(map(str, action.faults[:MAX_LOGGED_FAULTS]))
                omitted = len(action.faults) - MAX_LOGGED_FAULTS
                version_name = f"version {action.number}" if action.number is not None else "what is there"
                text = f"{action.source}: {version_name} rejected: {faults}" + (
                    f"; {omitted} more" if omitted > 0 else ""
                )
                self.last_rejection = text
                self.log("warning", text)
            elif isinstance(action, VersionHeld):
                remaining_s = action.until_s - self.loop.time()
                text = (
                    f"{action.source}: version {action.number} held for {remaining_s:.0f} s: {action.reason}"
                )
                self.log("warning", text)
            elif isinstance(action, LogWarning):
                self.log("warning", action.text)
            elif isinstance(action, WakeAt):
                if self.wake_timer is not None:
                    self.wake_timer.cancel()
                at = max(action.at_s, self.loop.time() + 0.001)
                self.wake_timer = self.loop.call_at(at, self.on_event, TimerExpired())

    def _apply(self, action: Apply) -> None:
        if action.revision == 1:  # the first list
            targets = tuple(target_of(node, self.socket_settings) for node in action.nodes)
            self.on_listing(Listing(action.revision, True, targets))
            return
        change = action.change
        removed = (target_of(node, self.socket_settings, ServerState.GONE) for node in change.removed)
        updated = (
            target_of(n, self.socket_settings) for n in (*change.drained, *change.changed, *change.added)
        )
        self.on_listing(Listing(action.revision, False, (*removed, *updated)))

    def _save(self, version: Version) -> None:
        """Saves an accepted version in a thread; a failure is logged and the save is repeated."""
        if not self.saved_path_prefix:
            return
        saver = self.savers.get(version.source)
        if saver is None:
            path = self._saved_path(version.source)
            saver = VersionSaver(path, lambda reason: self.log("warning", f"{path}: {reason}"))
            self.savers[version.source] = saver
        saver.save(version)

    def confirm(self, source: str, number: int) -> dict[str, Any]:
        held = self.core.sources[source].held if source in self.core.sources else None
        if held is None or held.number != number:
            return {"ok": False, "reason": f"{source}: no version {number} is held"}
        self.on_event(Confirmed(source, number))
        return {"ok": True}

    def rejections(self) -> dict[str, Any]:
        return {"rejected": self.rejected_count, "last_rejection": self.last_rejection}

    def report(self) -> list[dict[str, Any]]:
        """One row for each source."""
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
                    {"version": rejection.number, "faults": list(map(str, rejection.faults))}
                    for rejection in source.rejections
                ],
                # There is one subscription at most; its report is the same in each row.
                "delivery": self.subscription.report() if self.subscription is not None else None,
            }
            for source in self.core.sources.values()
        ]

    def close(self) -> None:
        if self.wake_timer is not None:
            self.wake_timer.cancel()
        for source in self.sources:
            source.close()
        for saver in self.savers.values():
            saver.close()


def target_of(node: Node, socket_settings: SocketSettings, state: ServerState | None = None) -> Target:
    """A node as a target of the proxy. Also assigns the next index to a zone or kind that `socket_settings`
    does not have yet."""
    zone = socket_settings.zones.setdefault(node.zone, len(socket_settings.zones))
    kind = socket_settings.kinds.setdefault(node.kind, len(socket_settings.kinds))
    if state is None:
        state = ServerState.DRAINING if node.state is NodeState.DRAINING else ServerState.ACTIVE
    info = ServerInfo(node.uid, state, zone, kind, node.cell, node.started_ms, node.weight)
    return Target(node.uid, node.host, node.port, info)
