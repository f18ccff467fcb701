"""What goes through an exchange, in the terms of RFC 9110: heads, and how one ended."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

Piece = bytes | memoryview  # of a body; a view keeps what was read with it, one read at most
Fields = list[tuple[bytes, bytes]]  # end-to-end fields; what concerns one connection alone is not among them


@dataclass(frozen=True, slots=True)
class Request:
    """As any protocol's node gets it: RFC 9112 section 3, RFC 9113 section 8.3.1."""

    method: bytes
    target: bytes  # path and query, or "*"
    authority: bytes
    fields: Fields
    length: int | None = 0  # bytes of the body; None: told by its end alone
    expects_continue: bool = False  # its client waits for a word (100) before it sends the body


@dataclass(frozen=True, slots=True)
class Response:
    """A final answer's head, or with a status of 1xx an interim one's."""

    status: int
    fields: Fields
    reason: bytes = b""  # RFC 9112 section 4; HTTP/2 has none
    length: int | None = None  # bytes of the body; None: told by its end alone
    bodyless: bool = False  # of HEAD, 204, 304: no body follows, whatever length the fields tell


class RoutingInfo(NamedTuple):
    """What the decision module must know of a request."""

    id: str
    cls: int
    tenant: int
    key: int | None
    budget_ms: float  # the client's wait for the first byte of an answer, once its request is here whole
    budget_includes_upload: bool = False  # that budget is the client's own word, and holds for the upload too
    is_retry: bool = False  # marked by the client as another try of a request


class ProxyResponse(NamedTuple):
    """An answer of the proxy's own. 503: nothing ran, and `retry_after_ms` says when to come back; 504: sent,
    and not answered in time; 408: the request did not come."""

    status: int
    retry_after_ms: float = 0.0


class Ending(Enum):
    """Who ended an exchange, and how."""

    ANSWERED = "answered"  # the node's answer is out whole
    OWN = "own answer"  # the proxy gave one of its own
    CLIENT_LEFT = "client left"
    CLIENT_STALLED = "client stalled"
    CLIENT_FAULT = "client's request can't be read on"
    NODE_BROKE = "node broke off its answer"
    NODE_STALLED = "node stalled"
