"""Every order of events of a small world, to a stated depth: breadth first, so a trace found is a shortest
one.

A world is a value that is never changed: `steps` gives each event with the world after it, `key` what tells
two worlds apart, `check` says what is wrong with one, or nothing. The cores in it are the real ones.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Generic, TypeVar

World = TypeVar("World")


class InvariantViolation(AssertionError):
    """A promise that does not hold: the events that lead there, and what is wrong."""

    def __init__(self, what: str, trace: tuple[str, ...]) -> None:
        super().__init__(f"{what}, after: " + "; ".join(trace))
        self.what, self.trace = what, trace


@dataclass(frozen=True, slots=True)
class Explored:
    states: int
    events: int
    depth: int  # to which every order was played
    whole: bool  # nothing is left: no state has an event that leads to a new one

    def __str__(self) -> str:
        end = "the whole of it" if self.whole else "every order to that depth"
        return f"{self.states} states, {self.events} events, depth {self.depth}, {end}"


@dataclass(slots=True)
class _Node(Generic[World]):
    world: World
    label: str
    before: _Node[World] | None

    def trace(self) -> tuple[str, ...]:
        labels: list[str] = []
        node: _Node[World] | None = self
        while node is not None and node.before is not None:
            labels.append(node.label)
            node = node.before
        return tuple(reversed(labels))


def explore(
    start: World,
    steps: Callable[[World], Iterable[tuple[str, World]]],
    key: Callable[[World], Hashable],
    check: Callable[[World], str],
    depth: int,
    most_states: int = 1_000_000,
) -> Explored:
    """Raises Broken. Stops at the depth, or at the last whole depth before `most_states` are passed."""
    if what := check(start):
        raise InvariantViolation(what, ())
    seen = {key(start)}
    layer, events = [_Node(start, "", None)], 0
    for done in range(depth):
        following: list[_Node[World]] = []
        for node in layer:
            for label, world in steps(node.world):
                events += 1
                mark = key(world)
                if mark in seen:
                    continue
                seen.add(mark)
                after = _Node(world, label, node)
                if what := check(world):
                    raise InvariantViolation(what, after.trace())
                following.append(after)
            if len(seen) > most_states:
                return Explored(len(seen), events, done, False)
        if not following:
            return Explored(len(seen), events, done, True)
        layer = following
    return Explored(len(seen), events, depth, False)


def random_walks(
    start: World,
    steps: Callable[[World], Iterable[tuple[str, World]]],
    check: Callable[[World], str],
    seed: int,
    walks: int,
    length: int,
    weight: Callable[[str], float] = lambda label: 1.0,
) -> int:
    """Walks by chance, deeper than every order can be played; the events played. Raises Broken."""
    rng, events = Random(seed), 0
    for _ in range(walks):
        world, trace = start, list[str]()
        for _ in range(length):
            choices = list(steps(world))
            if not choices:
                break
            label, world = rng.choices(choices, [weight(label) for label, _ in choices])[0]
            trace.append(label)
            events += 1
            if what := check(world):
                raise InvariantViolation(what, tuple(trace))
    return events
