"""The head of a gRPC call: timeout, content type, and the metadata that is passed on to the node."""

from __future__ import annotations

import re
from binascii import Error as NotBase64
from binascii import a2b_base64
from math import ceil

from flintlatch.grpc.status import Fields

UNITS_MS = {b"H": 3_600_000.0, b"M": 60_000.0, b"S": 1000.0, b"m": 1.0, b"u": 0.001, b"n": 0.000001}
TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
NAME = re.compile(rb"[0-9a-z_.-]{1,128}")
VALUE = re.compile(rb"[\x20-\x7e]*")
# Fields of the connection or the protocol, which each hop writes itself (RFC 9113 section 8.2.2).
HOP_FIELDS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade", b"te",
     b"content-length", b"host", b"grpc-timeout", b"content-type")
)  # fmt: skip
# End-to-end fields with the prefix `grpc-`, which are passed on. Others with this prefix are removed.
PASSED_GRPC_FIELDS = frozenset(
    (b"grpc-encoding", b"grpc-accept-encoding", b"grpc-message-type", b"grpc-previous-rpc-attempts",
     b"grpc-trace-bin", b"grpc-tags-bin")
)  # fmt: skip


class MetadataError(Exception):
    """The head of a call is invalid; the text names the field, the value found and what was expected."""


def is_grpc_content_type(value: bytes | None) -> bool:
    """Whether the content type is `application/grpc`, alone or followed by `+` or `;`. The specification asks
    for status 415 otherwise."""
    if value is None or not value.startswith(b"application/grpc"):
        return False
    return value[16:17] in (b"", b"+", b";")


def parse_timeout(value: bytes) -> float:
    """Parses a `grpc-timeout` value to milliseconds. Raises MetadataError."""
    match = TIMEOUT.fullmatch(value)
    if match is None:
        shown = value[:24].decode("ascii", "replace")
        raise MetadataError(f"grpc-timeout: found {shown!r}, expected up to 8 digits and one of H M S m u n")
    return int(match[1]) * UNITS_MS[match[2]]


def format_timeout(ms: float) -> bytes:
    """The value of `grpc-timeout` for `ms` milliseconds, rounded up, in the finest unit for which 8 digits
    are enough."""
    for unit in (b"n", b"u", b"m", b"S", b"M", b"H"):
        count = ceil(max(ms, 0.0) / UNITS_MS[unit])
        if count < 100_000_000:
            return b"%d%b" % (count, unit)
    return b"99999999H"


def forwarded_metadata(fields: Fields, max_bytes: int) -> Fields:
    """The metadata to pass on to the node, in its order. Raises MetadataError if it is malformed or larger
    than `max_bytes`: the node would reject a call that the proxy accepts, and the failure would count against
    it."""
    size, passed = 0, []
    for name, value in fields:
        if name.startswith(b":"):
            continue  # pseudo-header fields form the request line
        size += len(name) + len(value) + 32  # RFC 9113 section 6.5.2
        if size > max_bytes:
            raise MetadataError(f"metadata: over {max_bytes} bytes")
        shown = name[:64].decode("ascii", "replace")
        if not NAME.fullmatch(name):
            raise MetadataError(f"metadata: found the name {shown!r}, expected [0-9a-z_.-]")
        if name in HOP_FIELDS or (name.startswith(b"grpc-") and name not in PASSED_GRPC_FIELDS):
            continue
        if name.endswith(b"-bin"):
            for part in value.split(b","):
                _check_binary(shown, part.strip())
        elif not VALUE.fullmatch(value):
            raise MetadataError(f"metadata: {shown}: found bytes outside of printable ASCII")
        passed.append((name, value))
    return passed


def _check_binary(name: str, value: bytes) -> None:
    """Checks for base64 with or without padding; the specification asks to accept both."""
    try:
        a2b_base64(value + b"=" * (-len(value) % 4), strict_mode=True)
    except NotBase64 as error:
        if value:
            raise MetadataError(f"metadata: {name}: expected base64, {error}") from None
