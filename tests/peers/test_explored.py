"""Explores three members: every order of messages, losses, duplicates and faults to a stated depth."""

from __future__ import annotations

import pytest

from flintlatch.lab.explore import InvariantViolation, explore
from flintlatch.peers import Record
from flintlatch.peers.core import Peers
from tests.peers import explored


def test_no_order_of_events_of_three_members_violates_an_invariant() -> None:
    found = explore(explored.start(2), explored.steps, explored.state_key, explored.invariant_violation, 6)
    print(found)
    assert found.depth == 6 and found.states > 2000


@pytest.mark.parametrize(
    "mutation", ["another member raises the incarnation", "states are not ordered", "no refutation"]
)
def test_a_mutation_of_the_core_is_found(mutation: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if mutation == "another member raises the incarnation":
        suspect = Peers.suspect

        def raised(self: Peers, now: float, record: Record, reporter: str) -> None:
            suspect(self, now, record._replace(incarnation=record.incarnation + 1), reporter)

        monkeypatch.setattr(Peers, "suspect", raised)
    elif mutation == "states are not ordered":
        monkeypatch.setattr(
            Record, "supersedes", lambda self, other: other is None or self.incarnation >= other.incarnation
        )
    else:
        monkeypatch.setattr(Peers, "on_own_record", lambda self, now, record: self.set_record(now, record))
    with pytest.raises(InvariantViolation):
        explore(
            explored.start(2), explored.steps, explored.state_key, explored.invariant_violation, 12, 40_000
        )
