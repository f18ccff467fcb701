"""Ordinary HTTP/1.1 for installations that don't use the platform's protocol.

Sources: RFC 9110 (semantics), RFC 9112 (HTTP/1.1), RFC 7239 (Forwarded).
"""

from flintlatch.http.body import Body
from flintlatch.http.framing import BodyKind, Framing, HttpError
from flintlatch.http.head import HeadLimits, RequestHead, ResponseHead, read_request_head, read_response_head

__all__ = [
    "Body",
    "BodyKind",
    "Framing",
    "HeadLimits",
    "HttpError",
    "RequestHead",
    "ResponseHead",
    "read_request_head",
    "read_response_head",
]
