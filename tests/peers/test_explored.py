"""Three members, every order of messages, losses, copies, a death, a pause, a leave: to a stated depth."""

from __future__ import annotations

import pytest

from flintlatch.lab.explore import InvariantViolation, explore
from flintlatch.peers import Record
from flintlatch.peers.core import Peers
from tests.peers import explored


def test_every_order_of_three_members_events_keeps_their_promises() -> None:
    found = explore(explored.start(2), explored.steps, explored.key, explored.check, 6)
    print(found)
    assert found.depth == 6 and found.states > 2000


@pytest.mark.parametrize("fault", ["others raise", "hearsay", "self"])
def test_a_fault_put_into_the_core_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if fault == "others raise":
        accuse = Peers.accuse

        def raised(self: Peers, now: float, record: Record, accuser: str) -> None:
            accuse(self, now, record._replace(incarnation=record.incarnation + 1), accuser)

        monkeypatch.setattr(Peers, "accuse", raised)
    elif fault == "hearsay":
        monkeypatch.setattr(
            Record, "beats", lambda self, other: other is None or self.incarnation >= other.incarnation
        )
    else:
        monkeypatch.setattr(Peers, "hear_of_me", lambda self, now, record: self.put(now, record))
    with pytest.raises(InvariantViolation):
        explore(explored.start(2), explored.steps, explored.key, explored.check, 12, 40_000)
