"""Decides which versions of the node list are accepted and what the merged list contains. No I/O, no clock.

A version that a source offers is handled in this order:
  1. It is rejected if it is older than the source's current one or, unless the source is authoritative,
     contains no node.
  2. It is held if it removes too many nodes at once, until an operator confirms it or `hold_s` has passed;
     a version of an authoritative source is never held.
  3. Otherwise it becomes the source's current version. The current versions are merged by the precedence of
     their sources, and in the merged list
     a node that a source reports unhealthy is drained, unless too many nodes of its pool are (panic mode);
     a node that repeatedly appears and disappears is held down, that is drained for some time;
     a weight that changes by a large factor is changed in steps.
A version is accepted or rejected as a whole. A drain in a rejected version is therefore not applied: a file
with one fault may contain others that can't be detected, and the rejection is reported at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from flintlatch.membership.check import Fault
from flintlatch.membership.model import Change, Node, NodeState, Version, node_changes

MAX_KEPT_REJECTIONS = 20  # per source, for `status`


@dataclass(frozen=True, slots=True)
class MembershipRules:
    sources: tuple[str, ...]  # in order of precedence: the first source that lists a uid defines its node
    max_removed_fraction: float = 0.5  # of the active nodes; a version that removes more is held
    hold_s: float = 30.0  # after this time a held version is accepted without confirmation
    weight_factor: float = 4.0  # largest factor by which a weight changes in one step
    weight_step_s: float = 5.0  # time between two such steps
    flaps: int = 4  # appearances and disappearances of a node within `flap_window_s` that hold it down
    flap_window_s: float = 60.0
    flap_hold_s: float = 60.0  # for how long the node is then held down
    panic_fraction: float = 0.5  # with more of a pool's nodes unhealthy or held down, none of them is drained
    # Sources of the platform's protocol: what they drain or no longer name counts as known when it is
    # received, so no guard may hold it back.
    authoritative: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        if not self.sources or len(set(self.sources)) != len(self.sources):
            raise ValueError(f"sources are {self.sources}, expected at least one and none twice")
        for name in ("max_removed_fraction", "panic_fraction"):
            if not 0 <= getattr(self, name) <= 1:
                raise ValueError(f"{name} is {getattr(self, name)}, expected 0 to 1")
        for name in ("hold_s", "weight_step_s", "flap_window_s", "flap_hold_s"):
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name} is {getattr(self, name)}, expected 0 or more")
        if not self.weight_factor > 1:
            raise ValueError(f"weight_factor is {self.weight_factor}, expected more than 1")
        if self.flaps < 2:
            raise ValueError(f"flaps is {self.flaps}, expected at least 2")


# Events


class VersionOffered(NamedTuple):
    """A source has a complete and valid version."""

    version: Version


class VersionRestored(NamedTuple):
    """The last accepted version, loaded after a restart.

    It is unconfirmed until its source offers it again or replaces it.
    """

    version: Version


class InvalidVersionOffered(NamedTuple):
    """A source has content that is not a valid version."""

    source: str
    faults: tuple[Fault, ...]


class SourceFailed(NamedTuple):
    """A source is missing or can't be reached. Its current version stays in effect."""

    source: str
    reason: str


class Confirmed(NamedTuple):
    """An operator accepts the held version with this number."""

    source: str
    number: int


class HealthReported(NamedTuple):
    """A source reports the health of a node, separately from its list."""

    source: str
    uid: str
    healthy: bool


class TimerExpired(NamedTuple):
    """The time requested with `WakeAt` has come."""


Event = (
    VersionOffered
    | VersionRestored
    | InvalidVersionOffered
    | SourceFailed
    | Confirmed
    | HealthReported
    | TimerExpired
)

# Actions


class Apply(NamedTuple):
    """The merged list has changed. `nodes`: the whole list. `revision`: counts the lists from 1."""

    revision: int
    change: Change
    nodes: tuple[Node, ...]


class Save(NamedTuple):
    """Save this version, so that it can be restored after a restart."""

    version: Version


class Rejected(NamedTuple):
    """A version was rejected. `number`: None if the content could not be read as a version."""

    source: str
    number: int | None
    faults: tuple[Fault, ...]


class VersionHeld(NamedTuple):
    """A version waits for its confirmation, at most until `until_s`."""

    source: str
    number: int
    reason: str
    until_s: float


class LogWarning(NamedTuple):
    text: str


class WakeAt(NamedTuple):
    """Send `TimerExpired` at this time. Replaces the time of an earlier `WakeAt`."""

    at_s: float


Action = Apply | Save | Rejected | VersionHeld | LogWarning | WakeAt


@dataclass(slots=True)
class Source:
    """The state of one source."""

    name: str
    current: Version | None = None
    unconfirmed: bool = False  # the current version was restored, and the source has not offered it since
    held: Version | None = None
    held_until_s: float = 0.0
    last_offer_s: float = 0.0  # when the source last offered a version or one was accepted
    failure: str = ""
    rejections: deque[Rejected] = field(default_factory=lambda: deque(maxlen=MAX_KEPT_REJECTIONS))
    rejection_count: int = 0  # since the start
    unhealthy: set[str] = field(default_factory=set)


class Membership:
    """The state of all sources and the list in effect; `step` is called with each event."""

    def __init__(self, rules: MembershipRules) -> None:
        self.rules = rules
        self.sources = {name: Source(name) for name in rules.sources}
        self.nodes: dict[str, Node] = {}  # the list in effect, by uid
        self.revision = 0
        self.flap_times: dict[str, deque[float]] = {}  # by uid: recent appearances and disappearances
        self.held_down_until: dict[str, float] = {}  # by uid
        self.next_weight_step_at = 0.0
        self.present: set[str] = set()  # uids that are listed and not reported unhealthy
        self.panic_pools: set[str] = set()  # pools in panic mode
        self.address_conflicts: set[str] = set()  # those already logged
        self.actions: list[Action] = []

    def step(self, now_s: float, event: Event) -> list[Action]:
        """Handles one event and returns the actions that follow from it and from the time."""
        self.actions = []
        if isinstance(event, VersionOffered):
            self._on_offer(now_s, event.version)
        elif isinstance(event, VersionRestored):
            source = self.sources.get(event.version.source)
            if source is not None and source.current is None and event.version.nodes:
                source.current, source.unconfirmed = event.version, True
        elif isinstance(event, InvalidVersionOffered):
            self._reject(self.sources[event.source], None, event.faults)
        elif isinstance(event, SourceFailed):
            source = self.sources[event.source]
            if source.failure != event.reason:
                self.actions.append(LogWarning(f"{event.source}: {event.reason}; the list held stands"))
            source.failure = event.reason
        elif isinstance(event, Confirmed):
            self._on_confirm(now_s, event)
        elif isinstance(event, HealthReported):
            unhealthy = self.sources[event.source].unhealthy
            (unhealthy.discard if event.healthy else unhealthy.add)(event.uid)
        for source in self.sources.values():
            if source.held is not None and now_s >= source.held_until_s:
                self._accept(now_s, source, source.held)
        self._update_list(now_s)
        return self.actions

    # Versions

    def _on_offer(self, now_s: float, version: Version) -> None:
        source = self.sources.get(version.source)
        if source is None:
            fault = Fault("source", repr(version.source), "one of " + ", ".join(self.sources))
            self.actions.append(Rejected(version.source, version.number, (fault,)))
            return
        source.failure, source.last_offer_s = "", now_s
        newest = source.held or source.current
        if newest is not None and version.number <= newest.number:
            if version.number < newest.number or version.nodes != newest.nodes:
                fault = Fault("version", str(version.number), f"a number above {newest.number}")
                self._reject(source, version.number, (fault,))
            elif source.held is None:
                source.unconfirmed = False  # the source offers its current version again
            return
        if not version.nodes and version.source not in self.rules.authoritative:
            self._reject(source, version.number, (Fault("node", "none", "at least one node"),))
            self.actions.append(
                LogWarning(f"{source.name}: version {version.number} removes every node: refused")
            )
            return
        removed, active = self._removed_nodes(source, version)
        if active and removed / active > self.rules.max_removed_fraction:
            source.held, source.held_until_s = version, now_s + self.rules.hold_s
            reason = f"it takes away {removed} of {active} active nodes"
            self.actions.append(VersionHeld(source.name, version.number, reason, source.held_until_s))
            return
        self._accept(now_s, source, version)

    def _removed_nodes(self, source: Source, version: Version) -> tuple[int, int]:
        """How many active nodes the version would remove or drain, and how many there are."""
        if source.current is None or source.name in self.rules.authoritative:
            return 0, 0
        after = version.by_uid()
        active = [node.uid for node in source.current.nodes if node.state is NodeState.ACTIVE]
        removed = sum(uid not in after or after[uid].state is not NodeState.ACTIVE for uid in active)
        return removed, len(active)

    def _on_confirm(self, now_s: float, event: Confirmed) -> None:
        source = self.sources.get(event.source)
        if source is None or source.held is None or source.held.number != event.number:
            self.actions.append(LogWarning(f"{event.source}: no version {event.number} is held"))
        else:
            self._accept(now_s, source, source.held)

    def _accept(self, now_s: float, source: Source, version: Version) -> None:
        source.current, source.held, source.unconfirmed, source.last_offer_s = version, None, False, now_s
        listed = {node.uid for node in version.nodes}
        source.unhealthy &= listed  # otherwise reports about removed nodes would accumulate
        self.actions.append(Save(version))

    def _reject(self, source: Source, number: int | None, faults: Iterable[Fault]) -> None:
        rejected = Rejected(source.name, number, tuple(faults))
        source.rejections.append(rejected)
        source.rejection_count += 1
        self.actions.append(rejected)

    # The list in effect

    def _update_list(self, now_s: float) -> None:
        """Computes the list in effect. Adds `Apply` if it has changed, `WakeAt` if time will change it."""
        listed = self._merge_sources()
        unhealthy = {uid for source in self.sources.values() for uid in source.unhealthy}
        self._record_flaps(now_s, {uid for uid in listed if uid not in unhealthy})
        to_drain = self._without_panic(listed, unhealthy | set(self.held_down_until))
        wake_times = [source.held_until_s for source in self.sources.values() if source.held is not None]
        wake_times += self.held_down_until.values()
        step_due, nodes = now_s >= self.next_weight_step_at, {}
        steps_remain = False
        for uid, node in listed.items():
            if uid in to_drain and node.state is NodeState.ACTIVE:
                node = node._replace(state=NodeState.DRAINING)
            before = self.nodes.get(uid)
            if before is not None and before.weight != node.weight:
                weight = self._limited_weight(before.weight, node.weight) if step_due else before.weight
                steps_remain = steps_remain or weight != node.weight
                node = node._replace(weight=weight)
            nodes[uid] = node
        if step_due and steps_remain:
            self.next_weight_step_at = now_s + self.rules.weight_step_s
        if steps_remain:
            wake_times.append(self.next_weight_step_at)
        change = node_changes(self.nodes, nodes)
        if change:
            self.revision += 1
            self.nodes = nodes
            self.actions.append(Apply(self.revision, change, tuple(nodes.values())))
        if wake_times:
            self.actions.append(WakeAt(min(wake_times)))

    def _merge_sources(self) -> dict[str, Node]:
        """The nodes of all sources by uid.

        If several sources list a uid, or an address of a pool, the source with the highest precedence wins.
        """
        nodes: dict[str, Node] = {}
        endpoints: set[tuple[str, str, int]] = set()
        conflicts = set()
        for source in self.sources.values():
            for node in source.current.nodes if source.current is not None else ():
                endpoint = (node.pool, node.host, node.port)
                if node.uid in nodes:
                    continue
                if endpoint in endpoints:
                    conflicts.add(f"{source.name}: {node.uid} at {node.address} in {node.pool}")
                    continue
                nodes[node.uid] = node
                endpoints.add(endpoint)
        for conflict in sorted(conflicts - self.address_conflicts):
            self.actions.append(LogWarning(f"{conflict}: another source has this address; left out"))
        self.address_conflicts = conflicts
        return nodes

    def _record_flaps(self, now_s: float, present: set[str]) -> None:
        rules = self.rules
        if self.present:  # the nodes of the first list don't count as appearing
            for uid in present ^ self.present:
                times = self.flap_times.setdefault(uid, deque(maxlen=rules.flaps))
                times.append(now_s)
                if len(times) == rules.flaps and times[0] > now_s - rules.flap_window_s:
                    if uid not in self.held_down_until:
                        self.actions.append(LogWarning(f"{uid} comes and goes: held down"))
                    self.held_down_until[uid] = now_s + rules.flap_hold_s
        self.present = present
        self.held_down_until = {uid: until for uid, until in self.held_down_until.items() if until > now_s}
        oldest = now_s - rules.flap_window_s
        self.flap_times = {uid: times for uid, times in self.flap_times.items() if times[-1] > oldest}

    def _without_panic(self, listed: dict[str, Node], suspects: set[str]) -> set[str]:
        """Returns the uids in `suspects` to drain: listed nodes of pools that are not in panic mode.

        If most of a pool is reported unhealthy, it is more likely that the reporting source is cut off than
        that all nodes fail at once. With all of them drained, certainly no request would be served.
        """
        pools: dict[str, list[int]] = {}  # by pool: suspected and all active nodes
        for uid, node in listed.items():
            if node.state is NodeState.ACTIVE:
                counts = pools.setdefault(node.pool, [0, 0])
                counts[0] += uid in suspects
                counts[1] += 1
        panic_pools = {
            pool
            for pool, (suspected, total) in pools.items()
            if suspected > self.rules.panic_fraction * total
        }
        for pool in sorted(panic_pools - self.panic_pools):
            suspected, total = pools[pool]
            self.actions.append(
                LogWarning(f"pool {pool}: {suspected} of {total} nodes are called bad: not believed")
            )
        self.panic_pools = panic_pools
        return {uid for uid in suspects if uid in listed and listed[uid].pool not in panic_pools}

    def _limited_weight(self, old: float, new: float) -> float:
        return min(max(new, old / self.rules.weight_factor), old * self.rules.weight_factor)
