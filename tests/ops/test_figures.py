"""StatsdMetrics and calls: what is told, and what is wrong with a call that isn't one."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.ops.calls import METHOD_OF_CALL, Call, CallError, read_call
from flintlatch.ops.figures import ClientOutcome, Gauges, StatsdMetrics, outcome_of_status


def read(lines: str) -> dict[str, tuple[int, str]]:
    """As a reader of StatsD does."""
    found = {}
    for line in lines.splitlines():
        name, _, rest = line.rpartition(":")
        value, kind = rest.split("|")
        found[name] = (int(value), kind)
    return found


@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from(ClientOutcome)), max_size=200))
def test_every_end_counts_once_for_its_class_and_none_is_missing(
    ends: list[tuple[int, ClientOutcome]],
) -> None:
    names = ["plan-purchase", "card-answer", "look.up"]
    figures = StatsdMetrics(names)
    for cls, end in ends:
        figures.count(cls, end)
    figures.upstream_requests = 7
    told = read(figures.lines(Gauges(3, 12, 2)))
    for place, name in enumerate(names):
        for end in ClientOutcome:
            assert told.pop(f"proxy.{end.value}.{name}") == (ends.count((place, end)), "c")
    assert told == {
        "proxy.upstream_requests": (7, "c"),
        "proxy.pending": (3, "g"),
        "proxy.members": (12, "g"),
        "proxy.members_unavailable": (2, "g"),
    }


@pytest.mark.parametrize(
    ("status", "end"),
    [
        (200, ClientOutcome.COMPLETED),
        (429, ClientOutcome.REJECTED),
        (503, ClientOutcome.REJECTED),
        (400, ClientOutcome.FAILED),
        (504, ClientOutcome.FAILED),
    ],
)
def test_an_answer_means_to_its_client_what_the_protocol_says(status: int, end: ClientOutcome) -> None:
    assert outcome_of_status(status) is end


@pytest.mark.parametrize("call", Call)
def test_each_call_is_known_by_its_path_and_method_alone(call: Call) -> None:
    path = call.value.encode()
    assert read_call(METHOD_OF_CALL[call], path) is call
    assert read_call(METHOD_OF_CALL[call], path + b"?x=1") is call
    for method, target, status in (
        (b"HEAD", path, 405),
        (b"POST" if METHOD_OF_CALL[call] == b"GET" else b"GET", path, 405),
        (METHOD_OF_CALL[call], path + b"/", 404),
        (METHOD_OF_CALL[call], b"/", 404),
    ):
        with pytest.raises(CallError) as error:
            read_call(method, target)
        assert error.value.status == status
