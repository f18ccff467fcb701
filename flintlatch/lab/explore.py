"""Checks an invariant in all states that a small model reaches within some events (bounded model checking).

The search is breadth-first, so the trace to a violation is one of the shortest. A state (`World`) is a value
that is never modified. `steps` yields each possible event with the state after it, `key` identifies equal
states, and `check` returns a description of what is wrong with a state, or an empty string. The states
contain the real cores.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Generic, TypeVar

World = TypeVar("World")


class InvariantViolation(AssertionError):
    """An invariant doesn't hold.

    `violation`: what is wrong with the state. `trace`: the labels of the events that lead to it.
    """

    def __init__(self, violation: str, trace: tuple[str, ...]) -> None:
        super().__init__(f"{violation}, after: " + "; ".join(trace))
        self.violation, self.trace = violation, trace


@dataclass(frozen=True, slots=True)
class Explored:
    states: int
    events: int
    depth: int  # number of events to which every order was explored
    exhaustive: bool  # all reachable states were explored: no event leads to a new one

    def __str__(self) -> str:
        coverage = "all reachable states" if self.exhaustive else "every order to that depth"
        return f"{self.states} states, {self.events} events, depth {self.depth}, {coverage}"


@dataclass(slots=True)
class _Node(Generic[World]):
    world: World
    label: str  # of the event that leads here
    parent: _Node[World] | None

    def trace(self) -> tuple[str, ...]:
        labels: list[str] = []
        node: _Node[World] | None = self
        while node is not None and node.parent is not None:
            labels.append(node.label)
            node = node.parent
        return tuple(reversed(labels))


def explore(
    start: World,
    steps: Callable[[World], Iterable[tuple[str, World]]],
    key: Callable[[World], Hashable],
    check: Callable[[World], str],
    depth: int,
    max_states: int = 1_000_000,
) -> Explored:
    """Explores every order of events to `depth`. Raises InvariantViolation.

    Stops earlier when more than `max_states` states have been seen; `Explored.depth` is then the last depth
    that was completed before.
    """
    if violation := check(start):
        raise InvariantViolation(violation, ())
    seen = {key(start)}
    layer, events = [_Node(start, "", None)], 0
    for completed_depth in range(depth):
        next_layer: list[_Node[World]] = []
        for node in layer:
            for label, world in steps(node.world):
                events += 1
                world_key = key(world)
                if world_key in seen:
                    continue
                seen.add(world_key)
                child = _Node(world, label, node)
                if violation := check(world):
                    raise InvariantViolation(violation, child.trace())
                next_layer.append(child)
            if len(seen) > max_states:
                return Explored(len(seen), events, completed_depth, False)
        if not next_layer:
            return Explored(len(seen), events, completed_depth, True)
        layer = next_layer
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
    """Follows random sequences of events, which can be much longer than the depth that `explore` reaches.

    `weight`: the relative probability of an event by its label. Returns the number of events. Raises
    InvariantViolation.
    """
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
            if violation := check(world):
                raise InvariantViolation(violation, tuple(trace))
    return events
