"""The calls of the admin address: their paths and methods, and the errors for other requests. No I/O."""

from __future__ import annotations

from enum import Enum


class Call(Enum):
    READINESS = "/ops/readiness"
    STATS = "/ops/stats"
    DRAIN_START = "/ops/drain/start"
    DRAIN_STOP = "/ops/drain/stop"


METHOD_OF_CALL = {
    Call.READINESS: b"GET",
    Call.STATS: b"GET",
    Call.DRAIN_START: b"POST",
    Call.DRAIN_STOP: b"POST",
}
CALL_OF_PATH = {call.value.encode(): call for call in Call}


class CallError(Exception):
    """Not a valid call; answered with `status` and `text`, which says what was expected."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


def read_call(method: bytes, target: bytes) -> Call:
    """Raises CallError: 404 for an unknown path, 405 for a wrong method (RFC 9110 sections 15.5.5 and
    15.5.6)."""
    call = CALL_OF_PATH.get(target.partition(b"?")[0])
    if call is None:
        raise CallError(404, f"no such call; there are {', '.join(sorted(known.value for known in Call))}")
    if method != METHOD_OF_CALL[call]:
        raise CallError(405, f"{call.value} takes {METHOD_OF_CALL[call].decode()}")
    return call
