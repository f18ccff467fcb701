"""Status codes and the message beside them (gRPC over HTTP/2, "Responses"; statuscodes.md)."""

from __future__ import annotations

import re
from enum import IntEnum
from typing import NamedTuple

Fields = list[tuple[bytes, bytes]]
MOST_MESSAGE = (
    1024  # bytes of a status message that are read; it is for people, and peers write what they like
)


class Code(IntEnum):
    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class Status(NamedTuple):
    code: Code
    message: str = ""


UNRESERVED = re.compile(rb"[\x20-\x24\x26-\x7e]")  # printable ASCII but for the percent sign
ESCAPED = re.compile(rb"%([0-9A-Fa-f]{2})")
DIGITS = re.compile(rb"0|[1-9][0-9]{0,9}")


def encode_message(text: str) -> bytes:
    """Percent-encoded UTF-8, for `grpc-message`."""
    raw = text.encode("utf-8", "replace")[:MOST_MESSAGE]
    return b"".join(bytes([b]) if UNRESERVED.match(bytes([b])) else b"%%%02X" % b for b in raw)


def decode_message(value: bytes) -> str:
    """What can't be decoded stays as it is: the specification asks that a message be never thrown away."""
    raw = ESCAPED.sub(lambda found: bytes([int(found[1], 16)]), value[: 3 * MOST_MESSAGE])
    return raw.decode("utf-8", "replace")


def read_status(trailers: Fields) -> Status | None:
    """The status that trailers (or a trailers-only head) tell; None if they tell none, or it twice. A code
    that is no number, or that nobody defines, is UNKNOWN."""
    codes = [value for name, value in trailers if name == b"grpc-status"]
    if len(codes) != 1:
        return None
    messages = [value for name, value in trailers if name == b"grpc-message"]
    message = decode_message(messages[0]) if messages else ""
    if not DIGITS.fullmatch(codes[0]) or int(codes[0]) > max(Code):
        return Status(Code.UNKNOWN, message or f"undefined status {codes[0][:16].decode('ascii', 'replace')}")
    return Status(Code(int(codes[0])), message)
