"""What a call's head says beside its path: time-out, content type, and metadata that goes on to the node."""

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
# Fields that are the connection's or the protocol's own; each hop writes its own (RFC 9113 section 8.2.2).
OWN = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade", b"te",
     b"content-length", b"host", b"grpc-timeout", b"content-type")
)  # fmt: skip
# Named `grpc-` and yet the two ends' affair: they pass through.
PASSED = frozenset(
    (b"grpc-encoding", b"grpc-accept-encoding", b"grpc-message-type", b"grpc-previous-rpc-attempts",
     b"grpc-trace-bin", b"grpc-tags-bin")
)  # fmt: skip


class MetadataError(Exception):
    """A head that is no call's; the text names the field, what came, and what was expected."""


def content_type_ok(value: bytes | None) -> bool:
    """`application/grpc`, alone or followed by `+` or `;`. Anything else is answered 415, as the
    specification has it."""
    if value is None or not value.startswith(b"application/grpc"):
        return False
    return value[16:17] in (b"", b"+", b";")


def parse_timeout(value: bytes) -> float:
    """Milliseconds. Raises MetadataError."""
    found = TIMEOUT.fullmatch(value)
    if found is None:
        shown = value[:24].decode("ascii", "replace")
        raise MetadataError(f"grpc-timeout: found {shown!r}, expected up to 8 digits and one of H M S m u n")
    return int(found[1]) * UNITS_MS[found[2]]


def timeout(ms: float) -> bytes:
    """For `grpc-timeout`: `ms` or up to a unit more, in the finest unit that 8 digits hold."""
    for unit in (b"n", b"u", b"m", b"S", b"M", b"H"):
        count = ceil(max(ms, 0.0) / UNITS_MS[unit])
        if count < 100_000_000:
            return b"%d%b" % (count, unit)
    return b"99999999H"


def from_client(fields: Fields, most_bytes: int) -> Fields:
    """Metadata that goes on to the node, in its order. Raises MetadataError for what is malformed or too
    much: what this hop takes and the next one refuses would be blamed on the next."""
    size, passed = 0, []
    for name, value in fields:
        if name.startswith(b":"):
            continue  # pseudo-fields are the request line's
        size += len(name) + len(value) + 32  # RFC 9113 section 6.5.2
        if size > most_bytes:
            raise MetadataError(f"metadata: over {most_bytes} bytes")
        shown = name[:64].decode("ascii", "replace")
        if not NAME.fullmatch(name):
            raise MetadataError(f"metadata: found the name {shown!r}, expected [0-9a-z_.-]")
        if name in OWN or (name.startswith(b"grpc-") and name not in PASSED):
            continue
        if name.endswith(b"-bin"):
            for part in value.split(b","):
                _check_binary(shown, part.strip())
        elif not VALUE.fullmatch(value):
            raise MetadataError(f"metadata: {shown}: found bytes outside of printable ASCII")
        passed.append((name, value))
    return passed


def _check_binary(name: str, value: bytes) -> None:
    """Base64, with or without padding; both are to be accepted."""
    try:
        a2b_base64(value + b"=" * (-len(value) % 4), strict_mode=True)
    except NotBase64 as error:
        if value:
            raise MetadataError(f"metadata: {name}: expected base64, {error}") from None
