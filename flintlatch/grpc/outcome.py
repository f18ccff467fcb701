"""Maps the end of an attempt at a gRPC node to a result for the decision module and a status for the client.

The mapping depends on whether the call may have been executed. Sources: gRPC over HTTP/2 ("Errors"), RFC 9113
section 7 (error codes) and section 8.7 (requests that were certainly not processed),
http-grpc-status-mapping.md.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from flintlatch.api import Result
from flintlatch.grpc.status import Code, Status


class AttemptStage(Enum):
    """The progress of a call at the end of its attempt."""

    UNSENT = "unsent"  # the head was not sent
    SENT = "sent"  # the head was sent; no response was received
    RESPONDING = "begun"  # a response is being passed on to the client: no other attempt may follow


class AttemptOutcome(NamedTuple):
    result: Result  # for the decision module; it also tells whether the call may have been executed
    status: Status  # for the client if no other attempt follows


# By error code of RST_STREAM, RFC 9113 section 7: the result, and the code and message for the client.
RESET_RESULTS: dict[int, tuple[Result, Code, str]] = {
    0x0: (Result.RESET, Code.INTERNAL, "the node ended the stream without a status"),  # NO_ERROR
    0x1: (Result.RESET, Code.INTERNAL, "protocol error"),
    0x2: (Result.RESET, Code.INTERNAL, "internal error of the node's transport"),
    0x3: (Result.RESET, Code.INTERNAL, "flow control error"),
    0x4: (Result.RESET, Code.INTERNAL, "settings time-out"),
    0x5: (Result.RESET, Code.INTERNAL, "stream closed"),
    0x6: (Result.RESET, Code.INTERNAL, "frame size error"),
    0x7: (Result.FULL, Code.UNAVAILABLE, "the node refused the stream"),  # section 8.7: not processed
    0x8: (Result.RESET, Code.CANCELLED, "the node cancelled the stream"),
    0x9: (Result.RESET, Code.INTERNAL, "compression error"),
    0xA: (Result.RESET, Code.INTERNAL, "connect error"),
    0xB: (Result.RESET, Code.RESOURCE_EXHAUSTED, "the node asks for calm"),  # ENHANCE_YOUR_CALM
    0xC: (Result.RESET, Code.PERMISSION_DENIED, "inadequate security"),
    0xD: (Result.INVALID, Code.UNIMPLEMENTED, "the node wants HTTP/1.1"),
}

# Results by the status in a node's trailers. Only the application sends a status, so the call was executed.
# The statuses listed here are failures of the node; all others concern only the call.
NODE_FAILURE_RESULTS = {
    Code.UNAVAILABLE: Result.ERROR,
    Code.RESOURCE_EXHAUSTED: Result.ERROR,
    Code.INTERNAL: Result.ERROR,
    Code.UNKNOWN: Result.ERROR,
    Code.DATA_LOSS: Result.ERROR,
    Code.DEADLINE_EXCEEDED: Result.TIMEOUT,
}

# For responses that are not gRPC; from http-grpc-status-mapping.md.
CODE_BY_HTTP_STATUS = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}


def outcome_of_status(status: Status | None) -> AttemptOutcome:
    """The node ended the stream with trailers. Without a status in them, the call may have been executed."""
    if status is None:
        return AttemptOutcome(Result.RESET, Status(Code.INTERNAL, "the node's trailers hold no status"))
    return AttemptOutcome(NODE_FAILURE_RESULTS.get(status.code, Result.OK), status)


def outcome_of_reset(code: int, stage: AttemptStage) -> AttemptOutcome:
    """The node sent RST_STREAM. A stream with a response was processed, whatever the error code is."""
    result, status, message = RESET_RESULTS.get(code, RESET_RESULTS[0x2])
    if stage is AttemptStage.UNSENT:
        return AttemptOutcome(Result.CONNECT_FAILED, Status(Code.UNAVAILABLE, message))
    if stage is AttemptStage.RESPONDING and result is Result.FULL:
        return AttemptOutcome(Result.RESET, Status(Code.INTERNAL, message))
    return AttemptOutcome(result, Status(status, message))


def outcome_of_goaway(stream: int, last: int, stage: AttemptStage) -> AttemptOutcome | None:
    """The node sent GOAWAY. Streams above `last` were not and will not be processed (RFC 9113 section 6.8).
    Returns None for a stream that continues: it is not above `last`, or a response to it has begun."""
    if stream <= last or stage is AttemptStage.RESPONDING:
        return None
    return AttemptOutcome(Result.FULL, Status(Code.UNAVAILABLE, "the node goes away"))


def outcome_of_connection_loss(stage: AttemptStage) -> AttemptOutcome:
    """The connection was lost without a frame about this stream."""
    if stage is AttemptStage.UNSENT:
        return AttemptOutcome(Result.CONNECT_FAILED, Status(Code.UNAVAILABLE, "no connection to the node"))
    return AttemptOutcome(Result.RESET, Status(Code.UNAVAILABLE, "the node's connection broke"))


def outcome_of_http(status: int) -> AttemptOutcome:
    """The response is not gRPC: it comes from a proxy or from a wrong server. The call may have been
    executed; a 503 or 504 with a field that excludes this is not recognized here."""
    code = CODE_BY_HTTP_STATUS.get(status, Code.UNKNOWN)
    result = Result.INVALID if 400 <= status < 500 and status != 429 else Result.ERROR
    return AttemptOutcome(result, Status(code, f"HTTP status {status}"))


def proxy_status(http_status: int, retry_after_ms: float = 0.0) -> tuple[Status, int | None]:
    """The status for a response of the proxy itself, and the delay in ms for `grpc-retry-pushback-ms`. Only a
    call that was never executed gets a delay, which allows the client to retry."""
    if http_status == 503:
        return Status(Code.UNAVAILABLE, "no node has room"), round(retry_after_ms) or None
    if http_status == 504:
        return Status(Code.DEADLINE_EXCEEDED, "no answer in time"), None
    if http_status == 408:
        return Status(Code.CANCELLED, "the call did not come whole"), None
    if http_status == 413:
        return Status(Code.RESOURCE_EXHAUSTED, "a message is too long"), None
    if http_status == 404:
        return Status(Code.UNIMPLEMENTED, "no class for this method"), None
    if 400 <= http_status < 500:
        return Status(Code.INTERNAL, "malformed call"), None
    return Status(Code.INTERNAL, f"own answer {http_status}"), None
