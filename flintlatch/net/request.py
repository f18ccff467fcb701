"""Checking a client's request: from a message read whole to `Taken`, or the status that refuses it."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple

from flintlatch.api import Effect, Settings
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Answer, Taken
from flintlatch.net.http1 import MAX_BODY, Headers
from flintlatch.settings import SocketSettings

# What goes on to a backend. Anything else is the client's own affair, and one way less to make a backend
# hang up, and so fail a request that it was made to look guilty of.
FORWARDED = frozenset(
    (b"host", b"x-call-id", b"x-caller", b"x-route-hash", b"idempotency-key", b"x-again", b"x-call-cost",
     b"x-call-info", b"content-type")
)  # fmt: skip
# Told twice, the backend could read the other value; HTTP/1.1 asks for one host.
SINGLE = FORWARDED | {b"x-budget-ms", b"content-length", b"transfer-encoding"}
TARGET = re.compile(rb"/[!-~]{0,2047}")  # a longer one is nobody's path, and servers bound their first line
VALUE = re.compile(rb"[\t -~]{0,1024}")  # more than any of these headers holds; no byte that servers dispute
ID = re.compile(rb"[!-~]{1,128}")
BUDGET = re.compile(rb"0{0,8}[1-9][0-9]{0,8}")
KEY = re.compile(rb"[0-9A-Fa-f]{1,16}")


class Bad(Exception):
    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Message(NamedTuple):
    method: bytes
    target: bytes
    headers: Headers  # those of the head; trailers are dropped
    body: bytes
    keep: bool
    arrived: float


def check_framing(headers: Headers, most: int = MAX_BODY) -> int | None:
    """Where the message ends must be beyond dispute, or the next server could see another request in it.
    The body's bytes, at most `most`; None if its end alone tells. Raises Bad."""
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        raise Bad(400)
    if codings and codings[0].strip().lower() != b"chunked":
        raise Bad(400)
    if lengths:
        if not lengths[0].isdigit():
            raise Bad(400)
        if len(lengths[0]) > 18 or int(lengths[0]) > most:
            raise Bad(413)
        return int(lengths[0])
    return None if codings else 0


class Reader:
    """Knows the deployment's classes and tenants."""

    def __init__(self, settings: Settings, wire: SocketSettings) -> None:
        self.settings, self.wire = settings, wire

    def read(self, message: Message, answer: Callable[[Answer], None], framed: bool = True) -> Taken:
        """Raises Bad. Not `framed`: the head says nothing of the body's length."""
        headers = dict(message.headers)
        names = [name for name, _ in message.headers if name in SINGLE]
        if len(names) != len(set(names)) or b"host" not in headers or not TARGET.fullmatch(message.target):
            raise Bad(400)
        path = message.target.split(b"?", 1)[0]
        cls = self.wire.classes.get(path.split(b"/")[1].decode("ascii"))
        if cls is None:
            raise Bad(404)
        effect = self.settings.classes[cls].effect
        if message.method != (b"GET" if effect is Effect.SAFE else b"POST"):
            raise Bad(405)
        if message.method == b"GET" and message.body:
            raise Bad(400)
        if effect is Effect.KEYED and not headers.get(b"idempotency-key"):
            raise Bad(400)
        request_id, budget = headers.get(b"x-call-id", b""), headers.get(b"x-budget-ms", b"")
        if not ID.fullmatch(request_id) or not BUDGET.fullmatch(budget):
            raise Bad(400)
        lines = [b"%b %b HTTP/1.1\r\n" % (message.method, message.target)]
        for name, value in message.headers:
            if name in FORWARDED:
                if not VALUE.fullmatch(value):
                    raise Bad(400)
                lines.append(b"%b: %b\r\n" % (name, value))
        if framed and message.method == b"POST":
            lines.append(b"content-length: %d\r\n" % len(message.body))
        return Taken(
            request_id.decode(),
            cls,
            self._tenant(headers.get(b"x-caller")),
            read_key(headers.get(b"x-route-hash")),
            float(budget) - (now_ms() - message.arrived),  # less what it waited behind others here
            headers.get(b"x-again") == b"1",
            b"".join(lines),
            message.body,
            answer,
        )

    def _tenant(self, name: bytes | None) -> int:
        if not self.wire.tenants:
            return 0
        tenant = self.wire.tenants.get((name or b"").decode("latin-1"))
        if tenant is None:
            raise Bad(400)
        return tenant


def read_key(value: bytes | None) -> int | None:
    if value is None:
        return None
    if not KEY.fullmatch(value):
        raise Bad(400)
    return int(value, 16)
