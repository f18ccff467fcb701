"""gRPC status codes and status messages (gRPC over HTTP/2, "Responses"; statuscodes.md)."""

from __future__ import annotations

import re
from enum import IntEnum
from typing import NamedTuple

Fields = list[tuple[bytes, bytes]]
# Of a status message as UTF-8. It is meant for people: a longer one is truncated, even within a character.
MAX_MESSAGE_BYTES = 1024


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


UNESCAPED = re.compile(rb"[\x20-\x24\x26-\x7e]")  # printable ASCII without the percent sign
ESCAPED = re.compile(rb"%([0-9A-Fa-f]{2})")
STATUS_NUMBER = re.compile(rb"0|[1-9][0-9]{0,9}")  # no leading zeros, at most 10 digits


def encode_message(text: str) -> bytes:
    """Encodes a message for `grpc-message`: percent-encoded UTF-8."""
    raw = text.encode("utf-8", "replace")[:MAX_MESSAGE_BYTES]
    return b"".join(bytes([byte]) if UNESCAPED.match(bytes([byte])) else b"%%%02X" % byte for byte in raw)


def decode_message(value: bytes) -> str:
    """Decodes a value of `grpc-message`. Invalid escapes are kept and invalid UTF-8 is replaced by U+FFFD,
    because the specification asks never to discard a message. A value longer than 3 * MAX_MESSAGE_BYTES, the
    size of a message of which every byte is escaped, is truncated."""
    raw = ESCAPED.sub(lambda match: bytes([int(match[1], 16)]), value[: 3 * MAX_MESSAGE_BYTES])
    return raw.decode("utf-8", "replace")


def read_status(trailers: Fields) -> Status | None:
    """The status in trailers or in a Trailers-Only head; None if there is none or more than one. A code that
    is not a number or not defined becomes UNKNOWN."""
    codes = [value for name, value in trailers if name == b"grpc-status"]
    if len(codes) != 1:
        return None
    messages = [value for name, value in trailers if name == b"grpc-message"]
    message = decode_message(messages[0]) if messages else ""
    if not STATUS_NUMBER.fullmatch(codes[0]) or int(codes[0]) > max(Code):
        return Status(Code.UNKNOWN, message or f"undefined status {codes[0][:16].decode('ascii', 'replace')}")
    return Status(Code(int(codes[0])), message)
