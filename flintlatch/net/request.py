"""Checks a client's complete message and converts it to an `AcceptedRequest`, or raises with the status to
answer."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple

from flintlatch.api import Effect, Settings
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import AcceptedRequest, Answer
from flintlatch.net.http1 import MAX_BODY, Headers
from flintlatch.settings import SocketSettings

# Headers that are forwarded to a backend. No other header is, so that a client can't use one to make a
# backend close the connection, which would be recorded as a failure of that backend.
FORWARDED_HEADERS = frozenset(
    (b"host", b"x-call-id", b"x-caller", b"x-route-hash", b"idempotency-key", b"x-again", b"x-call-cost",
     b"x-call-info", b"content-type")
)  # fmt: skip
# Must occur only once, because a backend could use the other value; HTTP/1.1 requires one Host.
SINGLE_HEADERS = FORWARDED_HEADERS | {b"x-budget-ms", b"content-length", b"transfer-encoding"}
TARGET_PATTERN = re.compile(rb"/[!-~]{0,2047}")  # servers limit the length of the request line
# Longer than any valid value; only bytes that all servers accept.
HEADER_VALUE_PATTERN = re.compile(rb"[\t -~]{0,1024}")
REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
BUDGET_PATTERN = re.compile(rb"0{0,8}[1-9][0-9]{0,8}")
# Of a field beside its bytes: two bytes objects with their headers, a pair, and its place in a list.
FIELD_BYTES = 2 * 48 + 56 + 8
ROUTE_KEY_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,16}")


class RequestError(Exception):
    """A request that is answered with `status`. The message is not sent to the client."""

    def __init__(self, status: int, message: str = "") -> None:
        super().__init__(message)
        self.status = status

    def held_bytes(self) -> int:
        """The memory that it takes while it is queued."""
        return 0


def held_bytes(headers: Headers, body: bytes | bytearray) -> int:
    """The memory that a message takes."""
    return sum(len(name) + len(value) + FIELD_BYTES for name, value in headers) + len(body)


class Message(NamedTuple):
    """A complete message of a client."""

    method: bytes
    target: bytes
    headers: Headers  # of the head; trailers are dropped
    body: bytes
    keep_alive: bool
    arrived_ms: float

    def held_bytes(self) -> int:
        """The memory that it takes."""
        return held_bytes(self.headers, self.body)


def check_framing(headers: Headers, max_body_bytes: int = MAX_BODY) -> int | None:
    """Returns the length of the body in bytes, or None for a chunked body.

    Raises RequestError if the framing is ambiguous, because the next server could then see another request in
    the body (request smuggling), or if the body is longer than `max_body_bytes`.
    """
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        raise RequestError(
            400,
            f"{len(lengths)} Content-Length and {len(codings)} Transfer-Encoding headers, expected one",
        )
    if codings and codings[0].strip().lower() != b"chunked":
        raise RequestError(400, f"Transfer-Encoding is {codings[0]!r}, expected chunked")
    if lengths:
        if not lengths[0].isdigit():
            raise RequestError(400, f"Content-Length is {lengths[0]!r}, expected decimal digits")
        if len(lengths[0]) > 18 or int(lengths[0]) > max_body_bytes:
            raise RequestError(413, f"Content-Length is {lengths[0]!r}, expected at most {max_body_bytes}")
        return int(lengths[0])
    return None if codings else 0


class Reader:
    """Checks requests by the classes and tenants of the settings."""

    def __init__(self, settings: Settings, wire: SocketSettings) -> None:
        self.settings, self.wire = settings, wire

    def read(
        self, message: Message, respond: Callable[[Answer], None], with_length: bool = True
    ) -> AcceptedRequest:
        """Checks a message. Raises RequestError. Without `with_length`, the head for the backend gets no
        Content-Length."""
        headers = dict(message.headers)
        single_names = [name for name, _ in message.headers if name in SINGLE_HEADERS]
        if (
            len(single_names) != len(set(single_names))
            or b"host" not in headers
            or not TARGET_PATTERN.fullmatch(message.target)
        ):
            raise RequestError(
                400,
                f"target {message.target!r} with the headers {single_names}: expected a path, Host, and no "
                f"repeated header",
            )
        path = message.target.split(b"?", 1)[0]
        cls = self.wire.classes.get(path.split(b"/")[1].decode("ascii"))
        if cls is None:
            raise RequestError(404, f"no request class for the path {path!r}")
        effect = self.settings.classes[cls].effect
        if message.method != (b"GET" if effect is Effect.SAFE else b"POST"):
            raise RequestError(
                405, f"method {message.method!r} does not fit the effect {effect.value} of the class"
            )
        if message.method == b"GET" and message.body:
            raise RequestError(400, f"GET with a body of {len(message.body)} bytes, expected none")
        if effect is Effect.KEYED and not headers.get(b"idempotency-key"):
            raise RequestError(400, "Idempotency-Key is missing")
        request_id, budget = headers.get(b"x-call-id", b""), headers.get(b"x-budget-ms", b"")
        if not REQUEST_ID_PATTERN.fullmatch(request_id) or not BUDGET_PATTERN.fullmatch(budget):
            raise RequestError(
                400,
                f"expected 1 to 128 visible characters in X-Call-Id and milliseconds in X-Budget-Ms, "
                f"got {request_id!r} and {budget!r}",
            )
        lines = [b"%b %b HTTP/1.1\r\n" % (message.method, message.target)]
        for name, value in message.headers:
            if name in FORWARDED_HEADERS:
                if not HEADER_VALUE_PATTERN.fullmatch(value):
                    raise RequestError(
                        400, f"header {name!r} has more than 1024 bytes or a control character"
                    )
                lines.append(b"%b: %b\r\n" % (name, value))
        if with_length and message.method == b"POST":
            lines.append(b"content-length: %d\r\n" % len(message.body))
        return AcceptedRequest(
            request_id.decode(),
            cls,
            self._tenant(headers.get(b"x-caller")),
            read_route_key(headers.get(b"x-route-hash")),
            # Less its wait behind earlier requests of the connection.
            float(budget) - (now_ms() - message.arrived_ms),
            headers.get(b"x-again") == b"1",
            b"".join(lines),
            message.body,
            respond,
        )

    def _tenant(self, name: bytes | None) -> int:
        if not self.wire.tenants:
            return 0
        tenant = self.wire.tenants.get((name or b"").decode("latin-1"))
        if tenant is None:
            raise RequestError(400, f"X-Caller is {name!r}, expected the name of a tenant")
        return tenant


def read_route_key(value: bytes | None) -> int | None:
    """The key of the X-Route-Hash header. Raises RequestError."""
    if value is None:
        return None
    if not ROUTE_KEY_PATTERN.fullmatch(value):
        raise RequestError(400, f"X-Route-Hash is {value!r}, expected 1 to 16 hexadecimal digits")
    return int(value, 16)
