"""The grants of a strict limit: every order of events to a depth, walks by chance beyond it, and faults put
in."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any

import pytest

from flintlatch.lab.explore import InvariantViolation, explore, random_walks
from flintlatch.limits import split as split_module
from flintlatch.limits.api import Grant, Holder, Keeper, Mark, Split
from flintlatch.limits.holder import Part
from flintlatch.limits.model import Ask
from flintlatch.limits.split import Out
from tests.limits import explored

WALKS, LENGTH = 250, 60


def test_no_order_of_events_brings_the_sum_over_a_strict_limit() -> None:
    found = explore(explored.start(2), explored.steps, explored.key, explored.check, 5)
    print(found)
    assert found.depth == 5 and found.states > 2000


@pytest.mark.parametrize("seed", range(3))
def test_no_walk_by_chance_does_either(seed: int) -> None:
    assert (
        random_walks(explored.start(4), explored.steps, explored.check, seed, WALKS, LENGTH, explored.weight)
        > 50 * WALKS / 2
    )


held, deal, hear, ask, parts = Out.held, Split.deal, Holder.hear, Holder.ask, Holder.parts
step = Keeper.step


def told_last(self: Out, now: float) -> float:
    return self.last(now)


def acked_unheard(
    self: Split, now: float, capacity: float, needs: Mapping[str, float], spread: bool = True
) -> Any:
    for out in self.outs.values():
        if out.given:
            out.acked = out.given[-1].mark
    return deal(self, now, capacity, needs, spread)


def forgets(self: Split, holder: str, mark: Mark, amount: float, over: float) -> None:
    pass


def over_at_once(self: Out, now: float) -> float:
    return max((g.amount for g in self.given if g.mark >= self.acked and g.over > now + 1.1), default=0.0)


def settled(self: Keeper, now: float, me: str, number: int, _: bool, *more: Any) -> Any:
    return step(self, now, me, number, True, *more)


def not_carried(self: Holder, now: float, keeper: str, grant: Grant, ends: float) -> None:
    hear(self, now, keeper, grant._replace(carried=False), ends)


def has_come_down(self: Holder, now: float, keeper: str) -> Ask:
    return ask(self, now, keeper)._replace(mark=self.mark)


def outlasts(self: Holder, now: float, follows: Any, needs: Any, term_s: float, due: bool) -> dict[str, Part]:
    made = parts(self, now, follows, needs, term_s, due)
    return {name: Part(p.per_s, p.burst, p.mark, now + term_s) for name, p in made.items()}


def all_to_each(capacity: float, needs: Mapping[str, float], spread: bool = True) -> dict[str, float]:
    return dict.fromkeys(needs, capacity)


def without_what_is_out(self: Split, now: float) -> float:
    return 0.0


def any_keepers_mark(
    self: Keeper, now: float, me: str, number: int, s: bool, c: float, asks: Any, due: bool
) -> Any:
    last = {h: out.given[-1].mark for h, out in self.split.outs.items() if out.given}
    heard = {h: a._replace(of=me, mark=last.get(h, a.mark)) for h, a in asks.items()}
    return step(self, now, me, number, s, c, heard, due)


def instance_follows_at_once(self: Holder, now: float, follows: Any, *more: Any) -> Any:
    last = {n: out.given[-1].mark for n, out in self.split.outs.items() if out.given}
    return parts(self, now, last, *more)


FAULTS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "what was given before is free at once": lambda m: m.setattr(Out, "held", told_last),
    "an answer nobody gave counts": lambda m: m.setattr(Split, "deal", acked_unheard),
    "what is given is forgotten": lambda m: m.setattr(Split, "give", forgets),
    "a grant counts for less than its life": lambda m: m.setattr(Out, "held", over_at_once),
    "a new keeper deals at once": lambda m: m.setattr(Keeper, "step", settled),
    "a carried grant counts whole": lambda m: m.setattr(Holder, "hear", not_carried),
    "it says too early that it has come down": lambda m: m.setattr(Holder, "ask", has_come_down),
    "a part outlasts its grant": lambda m: m.setattr(Holder, "parts", outlasts),
    "each gets all": lambda m: m.setattr(split_module, "fair", all_to_each),
    "what is out does not count": lambda m: m.setattr(Split, "out", without_what_is_out),
    "an answer to another keeper counts": lambda m: m.setattr(Keeper, "step", any_keepers_mark),
    "an instance is held to follow what it has not heard": lambda m: m.setattr(
        Holder, "parts", instance_follows_at_once
    ),
    "one process of a fleet is taken for another": lambda m: m.setattr(explored, "NEXT_LIFE", 0),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_fault_of_one_line_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    FAULTS[fault](monkeypatch)
    with pytest.raises(InvariantViolation):
        for seed in range(12):
            random_walks(
                explored.start(4), explored.steps, explored.check, seed, WALKS, LENGTH, explored.weight
            )
            with suppress(KeyError):  # with this fault it does not come to that
                moved = explored.moved()
                random_walks(moved, explored.steps, explored.check, seed, WALKS // 5, LENGTH, explored.weight)
