"""Determines where the body of a message ends: RFC 9112 section 6, parsed strictly.

The RFC lets a recipient repair some messages (two equal lengths, a length together with a transfer coding).
These are rejected here, because another recipient on the way may repair them differently, which enables
request smuggling.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

Fields = list[tuple[bytes, bytes]]  # names as received, values without the white space around them


class ParsedFields(Fields):
    """The fields of one head with an index by name. Must not be modified."""

    def __init__(self, fields: Iterable[tuple[bytes, bytes]]) -> None:
        super().__init__(fields)
        self.lower_names = [name.lower() for name, _ in self]
        self.by_name: dict[bytes, list[bytes]] = {}
        for lower, (_, value) in zip(self.lower_names, self, strict=True):
            self.by_name.setdefault(lower, []).append(value)


TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
FIELD_LINE = re.compile(
    rb"(" + TOKEN + rb"):[\t ]*((?:[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?)?)[\t ]*"
)
CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")  # 18 digits fit into a 64-bit integer


class HttpError(Exception):
    """A message that is rejected. `status`: for the client; a node's invalid response becomes 502."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class BodyKind(Enum):
    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until close"  # responses only


class Framing(NamedTuple):
    kind: BodyKind
    length: int = 0  # bytes; only for LENGTH


NO_BODY = Framing(BodyKind.NONE)


def read_field_line(line: bytes) -> tuple[bytes, bytes]:
    """Parses one field line without its CRLF, RFC 9112 section 5. Raises HttpError for line folding, space
    before the colon and control characters (sections 5.1 and 5.2, RFC 9110 section 5.5)."""
    match = FIELD_LINE.fullmatch(line)
    if match is None:
        raise HttpError(400, f"field line that can't be read: {line[:60]!r}")
    return match[1], match[2]


def field_values(fields: Fields, name: bytes) -> list[bytes]:
    """All values of the field `name`, which is given in lower case."""
    if isinstance(fields, ParsedFields):
        return fields.by_name.get(name, [])
    return [value for key, value in fields if key.lower() == name]


def list_members(fields: Fields, name: bytes) -> list[bytes]:
    """The non-empty members of a list field in lower case, RFC 9110 section 5.6.1."""
    found = field_values(fields, name)
    if not found:
        return []
    joined = b",".join(found)
    return [member.strip(b" \t").lower() for member in joined.split(b",") if member.strip(b" \t")]


def _declared_framing(fields: Fields, minor: int) -> Framing | None:
    """The framing by Transfer-Encoding or Content-Length; None if both are absent."""
    codings, lengths = field_values(fields, b"transfer-encoding"), field_values(fields, b"content-length")
    if codings and lengths:
        raise HttpError(400, "Content-Length beside Transfer-Encoding")
    if codings:
        if minor == 0:
            raise HttpError(400, "Transfer-Encoding in HTTP/1.0")
        if len(codings) > 1:
            raise HttpError(400, "more than one Transfer-Encoding")
        if codings[0].lower() != b"chunked":
            final = codings[0].lower().rpartition(b",")[2].strip(b" \t") == b"chunked"
            raise HttpError(
                501 if final else 400, f"transfer coding {codings[0][:40]!r}, only chunked is known"
            )
        return Framing(BodyKind.CHUNKED)
    if lengths:
        if len(lengths) > 1:
            raise HttpError(400, "more than one Content-Length")
        if CONTENT_LENGTH.fullmatch(lengths[0]) is None:
            raise HttpError(400, f"Content-Length {lengths[0][:40]!r}")
        return Framing(BodyKind.LENGTH, int(lengths[0]))
    return None


def request_framing(fields: Fields, minor: int) -> Framing:
    """The framing of a request of HTTP/1.`minor`; RFC 9112 section 6.3, rules 3 to 7."""
    framing = _declared_framing(fields, minor)
    if framing is None or (framing.kind is BodyKind.LENGTH and framing.length == 0):
        return NO_BODY
    return framing


def response_framing(fields: Fields, minor: int, status: int, method: bytes) -> Framing:
    """The framing of a response to a request with this method; RFC 9112 section 6.3, rules 1 to 8.

    In a response without a body to HEAD or with status 304, a length is only informative. A length together
    with a coding is rejected there too."""
    framing = _declared_framing(fields, minor)
    if status < 200 or status in (204, 304) or method == b"HEAD":
        if framing is not None and (status < 200 or status == 204) and framing != Framing(BodyKind.LENGTH, 0):
            raise HttpError(502, f"a body announced with status {status}")
        return NO_BODY
    return Framing(BodyKind.UNTIL_CLOSE) if framing is None else framing
