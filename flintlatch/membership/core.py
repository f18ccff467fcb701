"""Every decision of membership: which version becomes current, and what of it is believed. No I/O, no clock.

Order of decisions on a version that a source offers:
  1. It is rejected if it is older than the current one, or holds no node at all.
  2. It is held, until somebody confirms it or a stated time has passed, if it takes away too much at once.
  3. Else it is the source's current one. Sources are merged by precedence, and of the merged list:
     a node that a source calls unhealthy drains, unless too many of its pool are called so (panic);
     a node that comes and goes again and again is held down;
     a weight that jumps goes there in steps.
A version is taken whole or not at all. So a drain in a version that is rejected does not happen: a file with
one fault may hold others that can't be seen, and the rejection is told of at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from flintlatch.membership.check import Fault
from flintlatch.membership.model import Change, Node, NodeState, Version, difference

REJECTIONS_KEPT = 20  # of each source, for status


@dataclass(frozen=True, slots=True)
class MembershipRules:
    sources: tuple[str, ...]  # by precedence: of two that name one uid, the first counts
    max_removed_fraction: float = 0.5  # of the active nodes that one version may take away without being held
    hold_s: float = 30.0  # after which a held version is taken unconfirmed
    weight_factor: float = 4.0  # a weight changes by no more than this at once
    weight_step_s: float = 5.0  # between two such changes
    flaps: int = 4  # comings and goings of a node
    flap_window_s: float = 60.0  # within which they count
    flap_hold_s: float = 60.0  # for which it is held down then
    panic_part: float = 0.5  # of a pool's nodes called unhealthy or held down; beyond it nothing is believed
    drains_at_once: frozenset[str] = frozenset()  # sources whose drains are no taking away, and never held

    def __post_init__(self) -> None:
        if not self.sources or len(set(self.sources)) != len(self.sources):
            raise ValueError("sources: at least one, each once")
        for name in ("max_removed_fraction", "panic_part"):
            if not 0 <= getattr(self, name) <= 1:
                raise ValueError(f"{name} must be from 0 to 1")
        for name in ("hold_s", "weight_step_s", "flap_window_s", "flap_hold_s"):
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name} must not be negative")
        if not self.weight_factor > 1:
            raise ValueError("weight_factor must be above 1")
        if self.flaps < 2:
            raise ValueError("flaps must be at least 2")


# Events


class VersionOffered(NamedTuple):
    """A source has a whole, checked version."""

    version: Version


class VersionRestored(NamedTuple):
    """The last good version, as it was kept over a restart: old until its source confirms or replaces it."""

    version: Version


class Unread(NamedTuple):
    """A source has something that is no version."""

    source: str
    faults: tuple[Fault, ...]


class Failed(NamedTuple):
    """A source can't be reached, or is gone; what it said last stands."""

    source: str
    reason: str


class Confirmed(NamedTuple):
    """Somebody wants the held version of this number taken."""

    source: str
    number: int


class Health(NamedTuple):
    """A source's word on a node's health, beside the list."""

    source: str
    uid: str
    healthy: bool


class TimerExpired(NamedTuple):
    """The time that `WakeAt` asked for has come."""


Event = VersionOffered | VersionRestored | Unread | Failed | Confirmed | Health | TimerExpired

# Actions


class Apply(NamedTuple):
    """The list has changed. `nodes`: all of it; `revision` grows with each."""

    revision: int
    change: Change
    nodes: tuple[Node, ...]


class Save(NamedTuple):
    """Keep this version for a restart."""

    version: Version


class Rejected(NamedTuple):
    source: str
    number: int | None
    faults: tuple[Fault, ...]


class VersionHeld(NamedTuple):
    source: str
    number: int
    reason: str
    until_s: float


class LogWarning(NamedTuple):
    text: str


class WakeAt(NamedTuple):
    at_s: float


Action = Apply | Save | Rejected | VersionHeld | LogWarning | WakeAt


@dataclass(slots=True)
class Source:
    name: str
    current: Version | None = None
    unconfirmed: bool = False  # it is from before a restart, and nobody has confirmed it
    held: Version | None = None
    held_until_s: float = 0.0
    heard_s: float = 0.0  # when it last said something of use
    failure: str = ""
    rejections: deque[Rejected] = field(default_factory=lambda: deque(maxlen=REJECTIONS_KEPT))
    rejection_count: int = 0  # in all
    unhealthy: set[str] = field(default_factory=set)


class Membership:
    def __init__(self, rules: MembershipRules) -> None:
        self.rules = rules
        self.sources = {name: Source(name) for name in rules.sources}
        self.nodes: dict[str, Node] = {}  # the list in effect
        self.revision = 0
        self.flaps: dict[str, deque[float]] = {}  # when each node came or went of late
        self.down_until: dict[str, float] = {}  # held down
        self.weights_at = 0.0  # when weights that jump may take their next step
        self.present: set[str] = set()  # uids that sources name and call healthy
        self.panics: set[str] = set()  # pools in which no claim is believed
        self.clashes: set[str] = set()  # told of
        self.out: list[Action] = []

    def step(self, now_s: float, event: Event) -> list[Action]:
        self.out = []
        if isinstance(event, VersionOffered):
            self._on_offer(now_s, event.version)
        elif isinstance(event, VersionRestored):
            source = self.sources.get(event.version.source)
            if source is not None and source.current is None and event.version.nodes:
                source.current, source.unconfirmed = event.version, True
        elif isinstance(event, Unread):
            self._reject(self.sources[event.source], None, event.faults)
        elif isinstance(event, Failed):
            source = self.sources[event.source]
            if source.failure != event.reason:
                self.out.append(LogWarning(f"{event.source}: {event.reason}; the list held stands"))
            source.failure = event.reason
        elif isinstance(event, Confirmed):
            self._on_confirm(now_s, event)
        elif isinstance(event, Health):
            claims = self.sources[event.source].unhealthy
            (claims.discard if event.healthy else claims.add)(event.uid)
        for source in self.sources.values():
            if source.held is not None and now_s >= source.held_until_s:
                self._take(now_s, source, source.held)
        self._settle(now_s)
        return self.out

    # Versions

    def _on_offer(self, now_s: float, version: Version) -> None:
        source = self.sources.get(version.source)
        if source is None:
            fault = Fault("source", repr(version.source), "one of " + ", ".join(self.sources))
            self.out.append(Rejected(version.source, version.number, (fault,)))
            return
        source.failure, source.heard_s = "", now_s
        newest = source.held or source.current
        if newest is not None and version.number <= newest.number:
            if version.number < newest.number or version.nodes != newest.nodes:
                fault = Fault("version", str(version.number), f"one above {newest.number}")
                self._reject(source, version.number, (fault,))
            elif source.held is None:
                source.unconfirmed = False  # the current one again: confirmed
            return
        if not version.nodes:
            self._reject(source, version.number, (Fault("node", "none", "a node: all would be gone"),))
            self.out.append(
                LogWarning(f"{source.name}: version {version.number} removes every node: refused")
            )
            return
        lost, active = self._lost(source, version)
        if active and lost / active > self.rules.max_removed_fraction:
            source.held, source.held_until_s = version, now_s + self.rules.hold_s
            reason = f"it takes away {lost} of {active} active nodes"
            self.out.append(VersionHeld(source.name, version.number, reason, source.held_until_s))
            return
        self._take(now_s, source, version)

    def _lost(self, source: Source, version: Version) -> tuple[int, int]:
        """How many active nodes it would take away, and of how many."""
        if source.current is None:
            return 0, 0
        after = version.by_uid()
        active = [node.uid for node in source.current.nodes if node.state is NodeState.ACTIVE]
        drains = source.name not in self.rules.drains_at_once
        lost = sum(
            uid not in after or (drains and after[uid].state is not NodeState.ACTIVE) for uid in active
        )
        return lost, len(active)

    def _on_confirm(self, now_s: float, event: Confirmed) -> None:
        source = self.sources.get(event.source)
        if source is None or source.held is None or source.held.number != event.number:
            self.out.append(LogWarning(f"{event.source}: no version {event.number} is held"))
        else:
            self._take(now_s, source, source.held)

    def _take(self, now_s: float, source: Source, version: Version) -> None:
        source.current, source.held, source.unconfirmed, source.heard_s = version, None, False, now_s
        named = {node.uid for node in version.nodes}
        source.unhealthy &= named  # claims on nodes that are gone would pile up
        self.out.append(Save(version))

    def _reject(self, source: Source, number: int | None, faults: Iterable[Fault]) -> None:
        rejected = Rejected(source.name, number, tuple(faults))
        source.rejections.append(rejected)
        source.rejection_count += 1
        self.out.append(rejected)

    # The list in effect

    def _settle(self, now_s: float) -> None:
        named = self._merged()
        unhealthy = {uid for source in self.sources.values() for uid in source.unhealthy}
        self._note_flaps(now_s, {uid for uid in named if uid not in unhealthy})
        doubted = self._believed(named, unhealthy | set(self.down_until))
        wake = [source.held_until_s for source in self.sources.values() if source.held is not None]
        wake += self.down_until.values()
        stepping, nodes = now_s >= self.weights_at, {}
        more_steps = False
        for uid, node in named.items():
            if uid in doubted and node.state is NodeState.ACTIVE:
                node = node._replace(state=NodeState.DRAINING)
            before = self.nodes.get(uid)
            if before is not None and before.weight != node.weight:
                weight = self._stepped(before.weight, node.weight) if stepping else before.weight
                more_steps = more_steps or weight != node.weight
                node = node._replace(weight=weight)
            nodes[uid] = node
        if stepping and more_steps:
            self.weights_at = now_s + self.rules.weight_step_s
        if more_steps:
            wake.append(self.weights_at)
        change = difference(self.nodes, nodes)
        if change:
            self.revision += 1
            self.nodes = nodes
            self.out.append(Apply(self.revision, change, tuple(nodes.values())))
        if wake:
            self.out.append(WakeAt(min(wake)))

    def _merged(self) -> dict[str, Node]:
        """By precedence; an address that an earlier source has is not listed twice in a pool."""
        nodes: dict[str, Node] = {}
        places: set[tuple[str, str, int]] = set()
        clashes = set()
        for source in self.sources.values():
            for node in source.current.nodes if source.current is not None else ():
                place = (node.pool, node.host, node.port)
                if node.uid in nodes:
                    continue
                if place in places:
                    clashes.add(f"{source.name}: {node.uid} at {node.address} in {node.pool}")
                    continue
                nodes[node.uid] = node
                places.add(place)
        for clash in sorted(clashes - self.clashes):
            self.out.append(LogWarning(f"{clash}: another source has this address; left out"))
        self.clashes = clashes
        return nodes

    def _note_flaps(self, now_s: float, present: set[str]) -> None:
        rules = self.rules
        if self.present:  # the first list is no coming
            for uid in present ^ self.present:
                times = self.flaps.setdefault(uid, deque(maxlen=rules.flaps))
                times.append(now_s)
                if len(times) == rules.flaps and times[0] > now_s - rules.flap_window_s:
                    if uid not in self.down_until:
                        self.out.append(LogWarning(f"{uid} comes and goes: held down"))
                    self.down_until[uid] = now_s + rules.flap_hold_s
        self.present = present
        self.down_until = {uid: until for uid, until in self.down_until.items() if until > now_s}
        oldest = now_s - rules.flap_window_s
        self.flaps = {uid: times for uid, times in self.flaps.items() if times[-1] > oldest}

    def _believed(self, named: dict[str, Node], doubted: set[str]) -> set[str]:
        """Those of `doubted` that drain. Where most of a pool is called bad, it is likelier that whoever says
        so is cut off than that all fail at once; and with all drained, nobody would be served for certain."""
        pools: dict[str, list[int]] = {}
        for uid, node in named.items():
            if node.state is NodeState.ACTIVE:
                count = pools.setdefault(node.pool, [0, 0])
                count[0] += uid in doubted
                count[1] += 1
        panics = {pool for pool, (bad, all_of) in pools.items() if bad > self.rules.panic_part * all_of}
        for pool in sorted(panics - self.panics):
            bad, all_of = pools[pool]
            self.out.append(LogWarning(f"pool {pool}: {bad} of {all_of} nodes are called bad: not believed"))
        self.panics = panics
        return {uid for uid in doubted if uid in named and named[uid].pool not in panics}

    def _stepped(self, old: float, new: float) -> float:
        return min(max(new, old / self.rules.weight_factor), old * self.rules.weight_factor)
