"""Metrics and calls: the StatsD lines, and the errors for invalid calls."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.api import EndReason
from flintlatch.net.counts import GROUPS, Counts
from flintlatch.ops.calls import METHOD_OF_CALL, Call, CallError, read_call
from flintlatch.ops.figures import ClientOutcome, Gauges, StatsdMetrics, outcome_of_status


def parse_statsd(lines: str) -> dict[str, tuple[int, str]]:
    """Parses StatsD lines to value and kind by name."""
    metrics_by_name = {}
    for line in lines.splitlines():
        name, _, rest = line.rpartition(":")
        value, kind = rest.split("|")
        metrics_by_name[name] = (int(value), kind)
    return metrics_by_name


@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from(ClientOutcome)), max_size=200))
def test_every_outcome_is_counted_once_for_its_class_and_none_is_missing(
    outcomes: list[tuple[int, ClientOutcome]],
) -> None:
    names = ["plan-purchase", "card-answer", "look.up"]
    metrics = StatsdMetrics(names)
    for cls, outcome in outcomes:
        metrics.count(cls, outcome)
    metrics.upstream_requests = 7
    counts = Counts()
    counts.add(EndReason.NO_SERVER)
    parsed = parse_statsd(metrics.lines(Gauges(3, 12, 2, 1500, 41), counts.items()))
    for index, name in enumerate(names):
        for outcome in ClientOutcome:
            assert parsed.pop(f"proxy.{outcome.value}.{name}") == (outcomes.count((index, outcome)), "c")
    assert parsed.pop("proxy.not_served.no_server") == (1, "c")
    for prefix, group in GROUPS.items():
        for key in set(group) - {EndReason.NO_SERVER}:
            assert parsed.pop(f"proxy.{prefix}.{key.value}") == (0, "c")
    assert parsed == {
        "proxy.list_age_ms": (1500, "g"),
        "proxy.list_revision": (41, "g"),
        "proxy.upstream_requests": (7, "c"),
        "proxy.pending": (3, "g"),
        "proxy.members": (12, "g"),
        "proxy.members_unavailable": (2, "g"),
    }


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, ClientOutcome.COMPLETED),
        (429, ClientOutcome.REJECTED),
        (503, ClientOutcome.REJECTED),
        (400, ClientOutcome.FAILED),
        (504, ClientOutcome.FAILED),
    ],
)
def test_each_status_has_the_outcome_of_the_protocol(status: int, outcome: ClientOutcome) -> None:
    assert outcome_of_status(status) is outcome


@pytest.mark.parametrize("call", Call)
def test_each_call_is_identified_by_its_path_and_method(call: Call) -> None:
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
