"""The messages of an exchange in the terms of RFC 9110, and the ways in which an exchange ends."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

Piece = bytes | memoryview  # a piece of a body; a view keeps the buffer of one read alive
Fields = list[tuple[bytes, bytes]]  # end-to-end fields only, without the fields of a single connection


@dataclass(frozen=True, slots=True)
class Request:
    """A request for a node, independent of the protocol: RFC 9112 section 3, RFC 9113 section 8.3.1."""

    method: bytes
    target: bytes  # path and query, or "*"
    authority: bytes
    fields: Fields
    length: int | None = 0  # bytes of the body; None: not known before its end
    expects_continue: bool = False  # the client waits for 100 Continue before it sends the body


@dataclass(frozen=True, slots=True)
class Response:
    """The head of a final response, or of an interim response if the status is 1xx."""

    status: int
    fields: Fields
    reason: bytes = b""  # reason phrase, RFC 9112 section 4; HTTP/2 has none
    length: int | None = None  # bytes of the body; None: not known before its end
    bodyless: bool = False  # response to HEAD, 204 or 304: no body follows, whatever Content-Length says


class RoutingInfo(NamedTuple):
    """The properties of a request that the decision module needs."""

    id: str
    cls: int
    tenant: int
    key: int | None
    budget_ms: float  # time from the end of the request to the first byte of the response
    budget_includes_upload: bool = False  # the client set the budget, and it covers the upload too
    is_retry: bool = False  # the client marked the request as a retry


class ProxyResponse(NamedTuple):
    """A response that the proxy itself creates.

    503: the request was not executed, and `retry_after_ms` is the delay before a retry. 504: it was sent to a
    node and not answered in time. 408: the request did not arrive completely."""

    status: int
    retry_after_ms: float = 0.0


class Ending(Enum):
    """How an exchange ended; the values appear in the access log."""

    ANSWERED = "answered"  # the node's complete response was passed on
    PROXY_RESPONSE = "own answer"  # the proxy answered itself
    CLIENT_LEFT = "client left"
    CLIENT_STALLED = "client stalled"
    CLIENT_FAULT = "client's request can't be read on"
    NODE_BROKE = "node broke off its answer"
    NODE_STALLED = "node stalled"
