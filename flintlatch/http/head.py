"""Strict parser of request and response heads: RFC 9112 sections 2 to 5.

A head is never copied through: the proxy writes a new one from the parsed fields. So a head that two
recipients could interpret differently can't get through; heads that try to are rejected.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from ipaddress import IPv6Address

from flintlatch.http.framing import (
    TOKEN,
    Fields,
    Framing,
    HttpError,
    ParsedFields,
    field_values,
    list_members,
    read_field_line,
    request_framing,
    response_framing,
)

REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") ([!-~]+) HTTP/([0-9])\.([0-9])")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: ([\t -~\x80-\xff]*))?")
ABSOLUTE_FORM = re.compile(rb"(?i:https?)://([^/?#@]+)([/?][!-~]*)?")
HOST = re.compile(rb"(?:[A-Za-z0-9._~!$&'()*+,;=%-]*|\[[0-9A-Fa-f:.]+\])(?::[0-9]{0,5})?")  # RFC 3986 3.2.2
ORIGIN_FORM = re.compile(rb"/[!-\"$-~]*")  # no fragment: RFC 9112 section 3.2


@dataclass(frozen=True, slots=True)
class HeadLimits:
    """Limits of a head; the comments name the status of a request that exceeds them."""

    head_bytes: int = 32 * 1024  # 431; more than a browser sends with all its cookies
    target_bytes: int = 8 * 1024  # 414; RFC 9112 section 3 recommends at least 8000
    fields: int = 128  # 431


DEFAULT_LIMITS = HeadLimits()


@dataclass(frozen=True, slots=True)
class RequestHead:
    method: bytes
    target: bytes  # in origin-form, or "*" for OPTIONS
    host: bytes  # empty if an HTTP/1.0 client sent none
    minor: int  # minor version of HTTP/1.x
    fields: Fields
    framing: Framing

    @property
    def keep_alive(self) -> bool:
        """Whether the client may send another request on the connection, RFC 9112 section 9.3."""
        options = list_members(self.fields, b"connection")
        return b"close" not in options if self.minor else b"keep-alive" in options and b"close" not in options

    @property
    def expects_continue(self) -> bool:
        """RFC 9110 section 10.1.1; the expectation of an HTTP/1.0 client is ignored."""
        return self.minor >= 1 and list_members(self.fields, b"expect") == [b"100-continue"]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    status: int
    reason: bytes
    minor: int
    fields: Fields
    framing: Framing

    @property
    def keep_alive(self) -> bool:
        options = list_members(self.fields, b"connection")
        return b"close" not in options if self.minor else b"keep-alive" in options and b"close" not in options


def find_head_end(data: bytes | bytearray, start: int = 0) -> int:
    """The position after the empty line, or -1. `start`: length that an earlier call has searched."""
    position = data.find(b"\r\n\r\n", max(start - 3, 0))
    return position + 4 if position >= 0 else -1


def _split_head(raw: bytes, limits: HeadLimits) -> tuple[bytes, Fields]:
    if len(raw) > limits.head_bytes:
        raise HttpError(431, f"a head of {len(raw)} bytes, at most {limits.head_bytes}")
    if not raw.endswith(b"\r\n\r\n"):
        raise HttpError(400, "a head without its end")
    start_line, *lines = raw[:-4].split(b"\r\n")
    if len(lines) > limits.fields:
        raise HttpError(431, f"{len(lines)} fields, at most {limits.fields}")
    return start_line, ParsedFields(map(read_field_line, lines))


def read_request_head(raw: bytes, limits: HeadLimits = DEFAULT_LIMITS) -> RequestHead:
    """Parses a request head. `raw`: from the request line to the end of the empty line. Raises HttpError with
    400, 414, 417, 431, 501 or 505; after that, nothing more can be read from the connection."""
    start_line, fields = _split_head(raw, limits)
    line = REQUEST_LINE.fullmatch(start_line)
    if line is None:
        raise HttpError(400, f"request line {start_line[:60]!r}")
    method, target, major, minor = line[1], line[2], line[3], int(line[4])
    if major != b"1" or minor > 1:
        raise HttpError(505, f"HTTP/{major.decode()}.{minor}")
    if len(target) > limits.target_bytes:
        raise HttpError(414, f"a target of {len(target)} bytes, at most {limits.target_bytes}")
    hosts = field_values(fields, b"host")
    if len(hosts) > 1 or (minor == 1 and not hosts):
        raise HttpError(400, f"{len(hosts)} Host fields")
    host = hosts[0] if hosts else b""
    _check_host(host)
    target, host = _origin_form(method, target, host)
    expect = list_members(fields, b"expect")
    if minor == 1 and expect and expect != [b"100-continue"]:
        raise HttpError(417, f"Expect: {expect[0][:40]!r}")
    return RequestHead(method, target, host, minor, fields, request_framing(fields, minor))


def _check_host(host: bytes) -> None:
    if HOST.fullmatch(host) is None:
        raise HttpError(400, f"Host {host[:60]!r}")
    if host.startswith(b"["):
        try:
            IPv6Address(host[1 : host.index(b"]")].decode())
        except ValueError:
            raise HttpError(400, f"Host {host[:60]!r}") from None


def _origin_form(method: bytes, target: bytes, host: bytes) -> tuple[bytes, bytes]:
    """The target in origin-form and the host, RFC 9112 section 3.2. In absolute-form, the target must name
    the same host as Host, because another recipient could use the other one of two different hosts."""
    if method == b"CONNECT":
        raise HttpError(501, "CONNECT: this is no tunnel")
    if target == b"*":
        if method != b"OPTIONS":
            raise HttpError(400, f"target * with {method[:20]!r}")
        return target, host
    if ORIGIN_FORM.fullmatch(target):
        return target, host
    absolute = ABSOLUTE_FORM.fullmatch(target)
    if absolute is None:
        raise HttpError(400, f"target {target[:60]!r}")
    authority, rest = absolute[1], absolute[2] or b"/"
    _check_host(authority)
    if host and authority.lower() != host.lower():
        raise HttpError(400, "a target with another host than Host")
    rest = rest if rest.startswith(b"/") else b"/" + rest
    if ORIGIN_FORM.fullmatch(rest) is None:
        raise HttpError(400, f"target {target[:60]!r}")
    return rest, authority


def read_response_head(raw: bytes, method: bytes, limits: HeadLimits = DEFAULT_LIMITS) -> ResponseHead:
    """Parses the head of a response to a request with this method. Raises HttpError with 502: the node has
    failed, and its connection can't be reused."""
    try:
        start_line, fields = _split_head(raw, limits)
        line = STATUS_LINE.fullmatch(start_line)
        if line is None:
            raise HttpError(502, f"status line {start_line[:60]!r}")
        minor, status = int(line[1]), int(line[2])
        if status == 101:
            raise HttpError(502, "101, and nobody asked for another protocol")
        framing = response_framing(fields, minor, status, method)
    except HttpError as error:
        raise HttpError(502, error.reason) from None
    return ResponseHead(status, line[3] or b"", minor, fields, framing)
