"""The tables of what an attempt's end means, against what may never be said of one."""

from __future__ import annotations

import pytest

from flintlatch.api import NEVER_RAN, Result
from flintlatch.grpc import Code, Ended, Status, of_broken, of_goaway, of_http, of_reset, of_status, own

RESET_CODES = [*range(0xE), 0xE, 0xFF, 0xFFFFFFFF]
REFUSED_STREAM = 0x7


@pytest.mark.parametrize("code", RESET_CODES)
@pytest.mark.parametrize("ended", list(Ended))
def test_a_reset_says_never_ran_only_where_that_is_sure(code: int, ended: Ended) -> None:
    verdict = of_reset(code, ended)
    sure = ended is Ended.UNSENT or (ended is Ended.SENT and code == REFUSED_STREAM)
    assert (verdict.result in NEVER_RAN) is sure
    assert verdict.status.code is not Code.OK
    assert verdict.result is not Result.OK


@pytest.mark.parametrize("code", list(Code))
def test_a_status_is_passed_on_as_it_is_and_has_run_whatever_it_says(code: Code) -> None:
    verdict = of_status(Status(code, "why"))
    assert verdict.status == Status(code, "why")
    assert verdict.result not in NEVER_RAN
    ours = {Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED, Code.INTERNAL, Code.UNKNOWN, Code.DATA_LOSS}
    assert (verdict.result is Result.ERROR) is (code in ours)


def test_trailers_without_a_status_are_no_success_and_may_have_run() -> None:
    verdict = of_status(None)
    assert verdict.result is Result.RESET and verdict.status.code is Code.INTERNAL


@pytest.mark.parametrize("ended", list(Ended))
@pytest.mark.parametrize(("stream", "last"), [(1, 0), (3, 1), (3, 3), (5, 7), (2**31 - 1, 2**31 - 1)])
def test_goaway_ends_only_streams_above_its_last_one_and_those_never_ran(
    stream: int, last: int, ended: Ended
) -> None:
    verdict = of_goaway(stream, last, ended)
    if stream <= last or ended is Ended.BEGUN:
        assert verdict is None
    else:
        assert verdict is not None and verdict.result in NEVER_RAN


def test_a_broken_connection_never_ran_only_what_was_not_sent() -> None:
    assert [of_broken(ended).result in NEVER_RAN for ended in Ended] == [True, False, False]
    assert {of_broken(ended).status.code for ended in Ended} == {Code.UNAVAILABLE}


@pytest.mark.parametrize(
    ("status", "code"),
    [(400, Code.INTERNAL), (401, Code.UNAUTHENTICATED), (404, Code.UNIMPLEMENTED), (429, Code.UNAVAILABLE),
     (503, Code.UNAVAILABLE), (200, Code.UNKNOWN), (500, Code.UNKNOWN)],
)  # fmt: skip
def test_an_answer_that_is_no_grpc_gets_the_published_status_and_may_have_run(
    status: int, code: Code
) -> None:
    verdict = of_http(status)
    assert verdict.status.code is code and verdict.result not in NEVER_RAN


@pytest.mark.parametrize("status", [503, 504, 408, 413, 404, 400, 500])
@pytest.mark.parametrize("wait", [0.0, 250.4])
def test_only_what_never_ran_is_told_when_to_come_back(status: int, wait: float) -> None:
    told, pushback = own(status, wait)
    assert told.code is not Code.OK
    assert (pushback is not None) is (status == 503 and wait > 0)
    assert own(504, wait)[0].code is Code.DEADLINE_EXCEEDED and own(503)[0].code is Code.UNAVAILABLE
