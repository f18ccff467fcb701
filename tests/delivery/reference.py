"""A slow reference model: the origin's complete state at each revision, and the invariants of subscribers.

`History` records every state of the origin with the time at which it took effect. `Watch` compares the
subscribers of a simulated fleet with it, at each change that takes effect and on request.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from flintlatch.delivery import relay, subscriber
from flintlatch.delivery.model import Kind, Message, ObjectChange, ObjectPart, Participant, Rules
from flintlatch.delivery.store import Store
from flintlatch.delivery.subscriber import Subscriber
from flintlatch.lab.delivery import Lab, Proxy, RelayHost, Stream

State = dict[str, dict[str, bytes]]


class Moment(NamedTuple):
    """The origin's state from the time `at` until the next moment."""

    at: float
    revision: int
    state: State


class History:
    """The states of all runs of the origin, with ascending revisions."""

    def __init__(self) -> None:
        self.moments: list[Moment] = []
        self.revisions: list[int] = []

    def record(self, now: float, store: Store) -> None:
        assert not self.revisions or store.revision >= self.revisions[-1], "the origin's revision went back"
        state = {name: stored.items for name, stored in store.objects.items()}
        self.moments.append(Moment(now, store.revision, state))
        self.revisions.append(store.revision)

    def at(self, revision: int) -> State:
        """The last state with at most this revision."""
        index = bisect_right(self.revisions, revision)
        return self.moments[index - 1].state if index else {}

    def since(self, at: float) -> Iterable[State]:
        """Every state that the origin had at some time after `at`, the newest first."""
        for moment in reversed(self.moments):
            yield moment.state
            if moment.at <= at:
                return


def scope_of(core: Subscriber) -> list[str] | None:
    """The names that the subscriber holds or knows to be absent; None for all."""
    return None if core.all_objects else [name for name, known in core.names.items() if known]


def state_of(core: Subscriber) -> State:
    return {name: stored.items for name, stored in core.store.objects.items()}


def restricted(state: State, scope: list[str] | None) -> State:
    return state if scope is None else {name: state[name] for name in scope if name in state}


class Watch:
    """Checks the subscribers of a lab whenever a change takes effect."""

    def __init__(self) -> None:
        self.history = History()
        self.lab: Lab
        self.revisions: dict[str, int] = {}  # by subscriber: the highest so far
        self.mirrors: dict[str, State] = {}  # by subscriber: the state built from its reported changes alone
        self.listeners: list[Callable[[float, str, Any], None]] = []

    def started(self, name: str) -> None:
        """To be called for a new process, which holds nothing."""
        self.revisions.pop(name, None)
        self.mirrors.pop(name, None)

    def forget(self, name: str, object_names: Iterable[str]) -> None:
        """To be called when these objects are unfollowed."""
        for object_name in object_names:
            self.mirrors.get(name, {}).pop(object_name, None)

    def on_force(self, now: float, name: str, action: Any) -> None:
        for listener in self.listeners:
            listener(now, name, action)
        if not isinstance(action, subscriber.Changed):
            return
        mirror = self.mirrors.setdefault(name, {})
        for change in action.changes:
            if change.deleted:
                mirror.pop(change.name, None)
                continue
            items = mirror.setdefault(change.name, {})
            for item in change.removed:
                del items[item]
            for item, value in change.items.items():
                assert items.get(item) != value, f"{name}: {change.name}/{item} was reported without a change"
                items[item] = value
        core = subscriber_of(self.lab, name)
        assert mirror == state_of(core), f"{name}: its reported changes do not lead to the state it holds"
        self.check(now, name, core)

    def check(self, now: float, name: str, core: Subscriber) -> None:
        """The subscriber holds the origin's state at a revision that never decreases, and its age is a true
        upper bound."""
        revision, scope, held = core.store.revision, scope_of(core), state_of(core)
        assert revision >= self.revisions.get(name, 0), f"{name}: its revision went back"
        self.revisions[name] = revision
        if core.all_objects and core.as_of < 0:
            return  # a relay without state rejects subscribers
        assert held == restricted(self.history.at(revision), scope), f"{name}: inconsistent at {revision}"
        if core.as_of >= 0:
            assert any(held == restricted(state, scope) for state in self.history.since(core.as_of)), (
                f"{name}: reports an age of {core.age(now):.3f} s, but its state is older"
            )

    def check_all(self) -> None:
        for name, host in self.lab.hosts.items():
            if host.running and isinstance(host, Proxy | RelayHost):
                self.check(self.lab.engine.now, name, subscriber_of(self.lab, name))


def subscriber_of(lab: Lab, name: str) -> Subscriber:
    host = lab.hosts[name]
    if isinstance(host, RelayHost):
        return host.node.subscriber
    assert isinstance(host, Proxy)
    return host.subscriber


Alter = Callable[[Stream, str, Message], list[Message]]


class Wire:
    """Counts the messages sent in a lab, by receiver, and lets a test alter them."""

    def __init__(self, lab: Lab) -> None:
        lab.tamper = self
        self.alter: Alter | None = None
        self.clear()

    def clear(self) -> None:
        self.parts: Counter[tuple[str, Kind]] = Counter()
        self.objects: Counter[tuple[str, str, Kind]] = Counter()
        self.sent: Counter[tuple[str, type[Message]]] = Counter()

    def __call__(self, stream: Stream, target: str, message: Message) -> list[Message]:
        self.sent[target, type(message)] += 1
        if isinstance(message, ObjectPart):
            self.parts[target, Kind(message.kind)] += 1
            if not message.has_more:
                self.objects[target, message.name, Kind(message.kind)] += 1
        return [message] if self.alter is None else self.alter(stream, target, message)


class Fleet:
    """A simulated origin, relays and proxies. `wanted` is the state that the origin is to hold, also while it
    is down."""

    def __init__(
        self,
        seed: int = 1,
        relays: int = 3,
        regions: int = 1,
        rules: Rules | None = None,
        watched: bool = True,
    ) -> None:
        self.watch, self.watched = Watch(), watched
        on_force = self.watch.on_force if watched else lambda now, name, action: None
        self.lab = self.watch.lab = Lab(seed, on_force)
        self.rules, self.regions = rules or Rules(), regions
        self.wanted: State = {}
        self.names: dict[str, tuple[str, ...]] = {}  # by proxy: the names that it follows
        self.wire = Wire(self.lab)
        self.relays = {
            f"relay{i}": Participant(f"relay{i}", f"r{i % regions}", address=f"relay{i}:1")
            for i in range(relays)
        }
        self.origin = self.lab.origin(Participant("origin"), first_revision=0)
        for name in self.relays:
            self.start(name)

    @property
    def now(self) -> float:
        return self.lab.engine.now

    def run(self, seconds: float) -> None:
        self.lab.engine.run(self.now + seconds)

    def run_until(self, condition: Callable[[], bool], timeout_s: float, step_s: float = 0.1) -> float:
        """Returns the seconds that it took."""
        started_at = self.now
        while not condition():
            assert self.now - started_at <= timeout_s, f"not within {timeout_s} s"
            self.run(step_s)
        return self.now - started_at

    # The origin

    def commit(self, *changes: ObjectChange) -> None:
        for change in changes:
            if change.deleted:
                self.wanted.pop(change.name, None)
                continue
            items = dict(self.wanted.get(change.name, {}))
            for item in change.removed:
                items.pop(item, None)
            self.wanted[change.name] = items | change.items
        if self.origin.running:
            names = self.origin.store.commit(changes)
            self._record()
            self.origin.on_relay_event(relay.Committed(tuple(names)))

    def put(self, name: str, **items: str) -> None:
        self.commit(ObjectChange(name, {item: value.encode() for item, value in items.items()}))

    def _record(self) -> None:
        if self.watched:
            self.watch.history.record(self.now, self.origin.store)

    def restart_origin(self, first: int | None = None) -> None:
        """Starts the origin with an empty store and loads the wanted state."""
        self.lab.kill("origin")
        self.origin = self.lab.origin(Participant("origin"), first_revision=first)
        self.load()

    def load(self) -> None:
        names = self.origin.store.replace(self.wanted)
        if names:
            self._record()
        self.origin.on_relay_event(relay.Committed(tuple(names)))

    # Relays and proxies

    def start(self, name: str) -> None:
        """Starts a relay, or a proxy that has run before."""
        self.watch.started(name)
        if name in self.relays:
            self.lab.relay(self.relays[name], (Participant("origin"),), self.rules)
        else:
            self.proxy(name, *self.names[name])

    def proxy(self, name: str, *names: str, region: int = 0, rules: Rules | None = None) -> Proxy:
        self.names[name] = names
        relays = tuple(self.relays.values())
        return self.lab.proxy(Participant(name, f"r{region}"), relays, names, rules or self.rules)

    def follow(self, name: str, *names: str) -> None:
        host = self.lab.hosts[name]
        assert isinstance(host, Proxy)
        self.names[name] += tuple(n for n in names if n not in self.names[name])
        host.run_or_buffer(lambda: host.on_subscriber_event(subscriber.Follow(names)))

    def unfollow(self, name: str, *names: str) -> None:
        host = self.lab.hosts[name]
        assert isinstance(host, Proxy)
        self.names[name] = tuple(n for n in self.names[name] if n not in names)

        def unfollow_now() -> None:
            host.on_subscriber_event(subscriber.Unfollow(names))
            self.watch.forget(name, names)

        host.run_or_buffer(unfollow_now)

    def subscriber(self, name: str) -> Subscriber:
        return subscriber_of(self.lab, name)

    def log_lines(self, name: str) -> list[str]:
        return [text for _, host, text in self.lab.log_lines if host == name]

    def relay_of(self, name: str) -> str:
        """The relay of a proxy's active session, which must exist."""
        active = self.subscriber(name).active_session
        assert active is not None
        return active.relay.name

    def converged(self, *names: str) -> bool:
        """Whether these proxies, or all, hold exactly the wanted state of the names that they follow."""
        return all(self.has_wanted_state(name) for name in names or self.names)

    def has_wanted_state(self, name: str) -> bool:
        core = self.subscriber(name)
        if set(core.names) != set(self.names[name]) or not all(core.names.values()):
            return False
        return state_of(core) == restricted(self.wanted, list(self.names[name]))

    def is_fresh(self, max_age_s: float = 4.0) -> bool:
        """Whether every proxy reports a lower age of its state."""
        return all(self.subscriber(name).age(self.now) < max_age_s for name in self.names)

    def settle(self, timeout_s: float = 30.0) -> float:
        return self.run_until(self.converged, timeout_s)


OBJECTS = tuple(f"s{n}" for n in range(12))


def settled_fleet(
    relays: int = 3, seed: int = 1, rules: Rules | None = None, proxies: int = 4, watched: bool = True
) -> Fleet:
    """A fleet that has converged, with all counters at zero."""
    fleet = Fleet(seed, relays=relays, rules=rules, watched=watched)
    fleet.commit(*(ObjectChange(name, {f"n{k}": b"x" * 50 for k in range(8)}) for name in OBJECTS))
    for n in range(proxies):
        fleet.proxy(f"p{n}", *OBJECTS[n : n + 6])
    fleet.settle()
    fleet.run(3)
    fleet.wire.clear()
    for name in (*fleet.names, *fleet.relays):
        fleet.subscriber(name).counts.clear()
    return fleet


def followers_of(fleet: Fleet, relay_name: str) -> list[str]:
    return [
        name
        for name in fleet.names
        if fleet.subscriber(name).active_session and fleet.relay_of(name) == relay_name
    ]


def busiest_relay(fleet: Fleet) -> str:
    return Counter(fleet.relay_of(name) for name in fleet.names).most_common(1)[0][0]


def change_all(fleet: Fleet, value: str) -> None:
    fleet.commit(*(ObjectChange(name, {"n3": value.encode()}) for name in OBJECTS))


def snapshots_to_proxies(fleet: Fleet) -> int:
    return sum(
        count
        for (target, kind), count in fleet.wire.parts.items()
        if kind is Kind.SNAPSHOT and target[0] == "p"
    )
