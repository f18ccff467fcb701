"""The slow reference: the origin's whole state at each revision, and what must hold of every subscriber.

A history keeps every state that the origin ever had, with the time at which it came into force. A watch
compares the subscribers of a lab with it: at each change in force, and whenever it is asked.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from flintlatch.delivery import relay, subscriber
from flintlatch.delivery.model import Kind, Message, ObjectChange, PartOf, Place, Rules
from flintlatch.delivery.store import Store
from flintlatch.delivery.subscriber import Subscriber
from flintlatch.lab.delivery import Lab, Proxy, RelayHost, Stream

State = dict[str, dict[str, bytes]]


class Moment(NamedTuple):
    """From `at` until the next moment this was the origin's state."""

    at: float
    revision: int
    state: State


class History:
    """Revisions grow over all lives of the origin."""

    def __init__(self) -> None:
        self.moments: list[Moment] = []
        self.revisions: list[int] = []

    def note(self, now: float, store: Store) -> None:
        assert not self.revisions or store.revision >= self.revisions[-1], "the origin's revision went back"
        state = {name: one.items for name, one in store.objects.items()}
        self.moments.append(Moment(now, store.revision, state))
        self.revisions.append(store.revision)

    def at(self, revision: int) -> State:
        """The last state of which the revision is at most this."""
        place = bisect_right(self.revisions, revision)
        return self.moments[place - 1].state if place else {}

    def since(self, at: float) -> Iterable[State]:
        """Every state that was the origin's at some time after `at`, the newest first."""
        for moment in reversed(self.moments):
            yield moment.state
            if moment.at <= at:
                return


def scope_of(one: Subscriber) -> list[str] | None:
    """Names that it holds or knows to be absent; None: all."""
    return None if one.everything else [name for name, known in one.names.items() if known]


def held_by(one: Subscriber) -> State:
    return {name: held.items for name, held in one.store.objects.items()}


def within(state: State, scope: list[str] | None) -> State:
    return state if scope is None else {name: state[name] for name in scope if name in state}


class Watch:
    """Hears of what comes into force in a lab, and checks it."""

    def __init__(self) -> None:
        self.history = History()
        self.lab: Lab
        self.revisions: dict[str, int] = {}  # by subscriber, the highest in force
        self.mirrors: dict[str, State] = {}  # what users of a subscriber know by its changes alone
        self.told: list[Callable[[float, str, Any], None]] = []

    def started(self, name: str) -> None:
        """A new process holds nothing."""
        self.revisions.pop(name, None)
        self.mirrors.pop(name, None)

    def forget(self, name: str, names: Iterable[str]) -> None:
        """Followed no more."""
        for one in names:
            self.mirrors.get(name, {}).pop(one, None)

    def on_force(self, now: float, name: str, action: Any) -> None:
        for hear in self.told:
            hear(now, name, action)
        if not isinstance(action, subscriber.Changed):
            return
        mirror = self.mirrors.setdefault(name, {})
        for change in action.changes:
            if change.gone:
                mirror.pop(change.name, None)
                continue
            items = mirror.setdefault(change.name, {})
            for item in change.removed:
                del items[item]
            for item, value in change.items.items():
                assert items.get(item) != value, f"{name}: {change.name}/{item} is no change"
                items[item] = value
        one = subscriber_of(self.lab, name)
        assert mirror == held_by(one), f"{name}: what it told is not what it holds"
        self.check(now, name, one)

    def check(self, now: float, name: str, one: Subscriber) -> None:
        """It holds the origin's state at one revision, which never falls, and knows how old that may be."""
        revision, scope, held = one.store.revision, scope_of(one), held_by(one)
        assert revision >= self.revisions.get(name, 0), f"{name}: its revision went back"
        self.revisions[name] = revision
        if one.everything and one.as_of < 0:
            return  # of a relay that has not heard anything yet, nobody is served
        assert held == within(self.history.at(revision), scope), f"{name}: torn at revision {revision}"
        if one.as_of >= 0:
            assert any(held == within(state, scope) for state in self.history.since(one.as_of)), (
                f"{name}: says {one.age(now):.3f} s, and is staler"
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
    """Counts what is sent in a lab, by receiver, and lets a test alter it."""

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
        if isinstance(message, PartOf):
            self.parts[target, Kind(message.kind)] += 1
            if not message.more:
                self.objects[target, message.name, Kind(message.kind)] += 1
        return [message] if self.alter is None else self.alter(stream, target, message)


class Fleet:
    """An origin, relays and proxies under watch. `wanted`: what the origin is to hold, also while down."""

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
        self.names: dict[str, tuple[str, ...]] = {}  # by proxy, what it follows
        self.wire = Wire(self.lab)
        self.places = {
            f"relay{i}": Place(f"relay{i}", f"r{i % regions}", address=f"relay{i}:1") for i in range(relays)
        }
        self.origin = self.lab.origin(Place("origin"), first_revision=0)
        for name in self.places:
            self.start(name)

    @property
    def now(self) -> float:
        return self.lab.engine.now

    def run(self, seconds: float) -> None:
        self.lab.engine.run(self.now + seconds)

    def until(self, holds: Callable[[], bool], most: float, step: float = 0.1) -> float:
        """Seconds that it took."""
        began = self.now
        while not holds():
            assert self.now - began <= most, f"not within {most} s"
            self.run(step)
        return self.now - began

    # The origin

    def commit(self, *changes: ObjectChange) -> None:
        for change in changes:
            if change.gone:
                self.wanted.pop(change.name, None)
                continue
            items = dict(self.wanted.get(change.name, {}))
            for item in change.removed:
                items.pop(item, None)
            self.wanted[change.name] = items | change.items
        if self.origin.running:
            names = self.origin.store.commit(changes)
            self._note()
            self.origin.on_relay_event(relay.Committed(tuple(names)))

    def put(self, name: str, **items: str) -> None:
        self.commit(ObjectChange(name, {item: value.encode() for item, value in items.items()}))

    def _note(self) -> None:
        if self.watched:
            self.watch.history.note(self.now, self.origin.store)

    def restart_origin(self, first: int | None = None) -> None:
        """From nothing: it reads all that it is to hold anew."""
        self.lab.kill("origin")
        self.origin = self.lab.origin(Place("origin"), first_revision=first)
        self.load()

    def load(self) -> None:
        names = self.origin.store.replace(self.wanted)
        if names:
            self._note()
        self.origin.on_relay_event(relay.Committed(tuple(names)))

    # Others

    def start(self, name: str) -> None:
        """A relay, or a proxy again."""
        self.watch.started(name)
        if name in self.places:
            self.lab.relay(self.places[name], (Place("origin"),), self.rules)
        else:
            self.proxy(name, *self.names[name])

    def proxy(self, name: str, *names: str, region: int = 0, rules: Rules | None = None) -> Proxy:
        self.names[name] = names
        relays = tuple(self.places.values())
        return self.lab.proxy(Place(name, f"r{region}"), relays, names, rules or self.rules)

    def follow(self, name: str, *names: str) -> None:
        host = self.lab.hosts[name]
        assert isinstance(host, Proxy)
        self.names[name] += tuple(n for n in names if n not in self.names[name])
        host.run_or_buffer(lambda: host.on_subscriber_event(subscriber.Follow(names)))

    def unfollow(self, name: str, *names: str) -> None:
        host = self.lab.hosts[name]
        assert isinstance(host, Proxy)
        self.names[name] = tuple(n for n in self.names[name] if n not in names)

        def leave() -> None:
            host.on_subscriber_event(subscriber.Unfollow(names))
            self.watch.forget(name, names)

        host.run_or_buffer(leave)

    def core(self, name: str) -> Subscriber:
        return subscriber_of(self.lab, name)

    def told(self, name: str) -> list[str]:
        return [text for _, one, text in self.lab.log_lines if one == name]

    def relay_of(self, name: str) -> str:
        """Of a proxy that has a live session."""
        main = self.core(name).main
        assert main is not None
        return main.relay.name

    def right(self, *names: str) -> bool:
        """These, or all, hold exactly what the origin is to hold of their names."""
        return all(self.exact(name) for name in names or self.names)

    def exact(self, name: str) -> bool:
        one = self.core(name)
        if set(one.names) != set(self.names[name]) or not all(one.names.values()):
            return False
        return held_by(one) == within(self.wanted, list(self.names[name]))

    def young(self, most: float = 4.0) -> bool:
        """All know that what they hold is no older."""
        return all(self.core(name).age(self.now) < most for name in self.names)

    def settle(self, most: float = 30.0) -> float:
        return self.until(self.right, most)


OBJECTS = tuple(f"s{n}" for n in range(12))


def settled(
    relays: int = 3, seed: int = 1, rules: Rules | None = None, proxies: int = 4, watched: bool = True
) -> Fleet:
    fleet = Fleet(seed, relays=relays, rules=rules, watched=watched)
    fleet.commit(*(ObjectChange(name, {f"n{k}": b"x" * 50 for k in range(8)}) for name in OBJECTS))
    for n in range(proxies):
        fleet.proxy(f"p{n}", *OBJECTS[n : n + 6])
    fleet.settle()
    fleet.run(3)
    fleet.wire.clear()
    for name in (*fleet.names, *fleet.places):
        fleet.core(name).counts.clear()
    return fleet


def served_by(fleet: Fleet, name: str) -> list[str]:
    return [one for one in fleet.names if fleet.core(one).main and fleet.relay_of(one) == name]


def most_served(fleet: Fleet) -> str:
    return Counter(fleet.relay_of(name) for name in fleet.names).most_common(1)[0][0]


def changed(fleet: Fleet, value: str) -> None:
    fleet.commit(*(ObjectChange(name, {"n3": value.encode()}) for name in OBJECTS))


def snapshots(fleet: Fleet) -> int:
    return sum(
        count for (to, kind), count in fleet.wire.parts.items() if kind is Kind.SNAPSHOT and to[0] == "p"
    )
