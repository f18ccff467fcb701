"""What the end of an attempt at a gRPC node means: to the decision module, and to the client.

The one question behind it is whether the call may have run. Sources: gRPC over HTTP/2 ("Errors"), RFC 9113
section 7 (error codes) and 8.7 (what was surely not processed), http-grpc-status-mapping.md.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from flintlatch.api import Result
from flintlatch.grpc.status import Code, Status


class Ended(Enum):
    """How far a call had come when its attempt ended."""

    UNSENT = "unsent"  # its head was not written
    SENT = "sent"  # its head was; nothing came back
    BEGUN = "begun"  # an answer has begun to pass on: it is committed, and no other attempt may follow


class Verdict(NamedTuple):
    result: Result  # for the decision module; whether it may have run follows from that
    status: Status  # for the client, should no other attempt follow


# RFC 9113 section 7. What a code means of a stream is this; to the client it becomes the status beside it.
RESETS: dict[int, tuple[Result, Code, str]] = {
    0x0: (Result.RESET, Code.INTERNAL, "the node ended the stream without a status"),  # NO_ERROR
    0x1: (Result.RESET, Code.INTERNAL, "protocol error"),
    0x2: (Result.RESET, Code.INTERNAL, "internal error of the node's transport"),
    0x3: (Result.RESET, Code.INTERNAL, "flow control error"),
    0x4: (Result.RESET, Code.INTERNAL, "settings time-out"),
    0x5: (Result.RESET, Code.INTERNAL, "stream closed"),
    0x6: (Result.RESET, Code.INTERNAL, "frame size error"),
    0x7: (Result.FULL, Code.UNAVAILABLE, "the node refused the stream"),  # section 8.7: surely not processed
    0x8: (Result.RESET, Code.CANCELLED, "the node cancelled the stream"),
    0x9: (Result.RESET, Code.INTERNAL, "compression error"),
    0xA: (Result.RESET, Code.INTERNAL, "connect error"),
    0xB: (Result.RESET, Code.RESOURCE_EXHAUSTED, "the node asks for calm"),  # ENHANCE_YOUR_CALM
    0xC: (Result.RESET, Code.PERMISSION_DENIED, "inadequate security"),
    0xD: (Result.INVALID, Code.UNIMPLEMENTED, "the node wants HTTP/1.1"),
}

# What a status in a node's trailers tells the module. A status is the application's word: the call has run.
# Only these tell of the node rather than of the call.
OF_NODE = {
    Code.UNAVAILABLE: Result.ERROR,
    Code.RESOURCE_EXHAUSTED: Result.ERROR,
    Code.INTERNAL: Result.ERROR,
    Code.UNKNOWN: Result.ERROR,
    Code.DATA_LOSS: Result.ERROR,
    Code.DEADLINE_EXCEEDED: Result.TIMEOUT,
}

# http-grpc-status-mapping.md, for answers that are no gRPC.
OF_HTTP = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}


def of_status(status: Status | None) -> Verdict:
    """The node ended the stream with trailers; without a status in them the call may still have run."""
    if status is None:
        return Verdict(Result.RESET, Status(Code.INTERNAL, "the node's trailers hold no status"))
    return Verdict(OF_NODE.get(status.code, Result.OK), status)


def of_reset(code: int, ended: Ended) -> Verdict:
    """RST_STREAM. A stream that had begun to answer was processed, whatever the code says."""
    result, status, message = RESETS.get(code, RESETS[0x2])
    if ended is Ended.UNSENT:
        return Verdict(Result.CONNECT_FAILED, Status(Code.UNAVAILABLE, message))
    if ended is Ended.BEGUN and result is Result.FULL:
        return Verdict(Result.RESET, Status(Code.INTERNAL, message))
    return Verdict(result, Status(status, message))


def of_goaway(stream: int, last: int, ended: Ended) -> Verdict | None:
    """GOAWAY. RFC 9113 section 6.8: streams above its last one were not and will not be processed. None: this
    stream is not above it, or has an answer that says otherwise, and goes on until it ends by itself."""
    if stream <= last or ended is Ended.BEGUN:
        return None
    return Verdict(Result.FULL, Status(Code.UNAVAILABLE, "the node goes away"))


def of_broken(ended: Ended) -> Verdict:
    """The connection is gone, with no word of this stream."""
    if ended is Ended.UNSENT:
        return Verdict(Result.CONNECT_FAILED, Status(Code.UNAVAILABLE, "no connection to the node"))
    return Verdict(Result.RESET, Status(Code.UNAVAILABLE, "the node's connection broke"))


def of_http(status: int) -> Verdict:
    """An answer that is no gRPC: a proxy's or a wrong server's. Only a 503 or 504 that says so never ran, and
    that is not known here."""
    code = OF_HTTP.get(status, Code.UNKNOWN)
    result = Result.INVALID if 400 <= status < 500 and status != 429 else Result.ERROR
    return Verdict(result, Status(code, f"HTTP status {status}"))


def own(http_status: int, retry_after_ms: float = 0.0) -> tuple[Status, int | None]:
    """The proxy's own final answer, and the pushback in ms for `grpc-retry-pushback-ms`. Only what never ran
    carries one, and so tells the client that it may come again."""
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
