"""The mapping of an attempt's end to a result and a status, for all error codes and stages."""

from __future__ import annotations

import pytest

from flintlatch.api import NEVER_RAN, Result
from flintlatch.grpc import (
    AttemptStage,
    Code,
    Status,
    outcome_of_connection_loss,
    outcome_of_goaway,
    outcome_of_http,
    outcome_of_reset,
    outcome_of_status,
    proxy_status,
)

RESET_CODES = [*range(0xE), 0xE, 0xFF, 0xFFFFFFFF]
REFUSED_STREAM = 0x7


@pytest.mark.parametrize("code", RESET_CODES)
@pytest.mark.parametrize("stage", list(AttemptStage))
def test_reset_counts_as_never_ran_only_if_unsent_or_refused(code: int, stage: AttemptStage) -> None:
    outcome = outcome_of_reset(code, stage)
    never_ran = stage is AttemptStage.UNSENT or (stage is AttemptStage.SENT and code == REFUSED_STREAM)
    assert (outcome.result in NEVER_RAN) is never_ran
    assert outcome.status.code is not Code.OK
    assert outcome.result is not Result.OK


@pytest.mark.parametrize("code", list(Code))
def test_status_is_passed_on_and_counts_as_executed(code: Code) -> None:
    outcome = outcome_of_status(Status(code, "why"))
    assert outcome.status == Status(code, "why")
    assert outcome.result not in NEVER_RAN
    node_failures = {Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED, Code.INTERNAL, Code.UNKNOWN, Code.DATA_LOSS}
    assert (outcome.result is Result.ERROR) is (code in node_failures)


def test_trailers_without_status_are_a_failure_that_may_have_run() -> None:
    outcome = outcome_of_status(None)
    assert outcome.result is Result.RESET and outcome.status.code is Code.INTERNAL


@pytest.mark.parametrize("stage", list(AttemptStage))
@pytest.mark.parametrize(("stream", "last"), [(1, 0), (3, 1), (3, 3), (5, 7), (2**31 - 1, 2**31 - 1)])
def test_goaway_ends_only_streams_above_its_last_stream_as_never_ran(
    stream: int, last: int, stage: AttemptStage
) -> None:
    outcome = outcome_of_goaway(stream, last, stage)
    if stream <= last or stage is AttemptStage.RESPONDING:
        assert outcome is None
    else:
        assert outcome is not None and outcome.result in NEVER_RAN


def test_lost_connection_counts_as_never_ran_only_if_unsent() -> None:
    assert [outcome_of_connection_loss(stage).result in NEVER_RAN for stage in AttemptStage] == [
        True,
        False,
        False,
    ]
    assert {outcome_of_connection_loss(stage).status.code for stage in AttemptStage} == {Code.UNAVAILABLE}


@pytest.mark.parametrize(
    ("status", "code"),
    [(400, Code.INTERNAL), (401, Code.UNAUTHENTICATED), (404, Code.UNIMPLEMENTED), (429, Code.UNAVAILABLE),
     (503, Code.UNAVAILABLE), (200, Code.UNKNOWN), (500, Code.UNKNOWN)],
)  # fmt: skip
def test_non_grpc_response_gets_the_published_status_and_may_have_run(status: int, code: Code) -> None:
    outcome = outcome_of_http(status)
    assert outcome.status.code is code and outcome.result not in NEVER_RAN


@pytest.mark.parametrize("status", [503, 504, 408, 413, 404, 400, 500])
@pytest.mark.parametrize("wait", [0.0, 250.4])
def test_only_a_call_that_never_ran_gets_a_retry_delay(status: int, wait: float) -> None:
    status_sent, pushback = proxy_status(status, wait)
    assert status_sent.code is not Code.OK
    assert (pushback is not None) is (status == 503 and wait > 0)
    assert (
        proxy_status(504, wait)[0].code is Code.DEADLINE_EXCEEDED
        and proxy_status(503)[0].code is Code.UNAVAILABLE
    )
