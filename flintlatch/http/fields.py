"""Header fields that a proxy removes, adds and passes on: RFC 9110 sections 7.6 and 10, RFC 7239.

Hop-by-hop fields are removed. Fields that describe the origin of a request are added; received ones are kept
only if the peer that sent them is trusted.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from functools import lru_cache
from ipaddress import IPv4Address, IPv4Network, IPv6Address, IPv6Network, ip_address

from flintlatch.http.framing import Fields, HttpError, ParsedFields, list_members

# RFC 9110 section 7.6.1, and obsolete fields that some peers still send.
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization", b"te",
     b"trailer", b"transfer-encoding", b"upgrade", b"http2-settings", b"content-length")
)  # fmt: skip
# Fields that Connection must not name. They would be removed from a message that needs them because one hop
# asked for it.
NOT_REMOVABLE = frozenset(
    (b"host", b"content-length", b"transfer-encoding", b"content-type", b"content-encoding", b"authorization",
     b"cookie", b"cache-control", b"range", b"idempotency-key", b"forwarded", b"x-forwarded-for",
     b"x-forwarded-host", b"x-forwarded-proto", b"via", b"x-call-id", b"x-budget-ms")
)  # fmt: skip
FORWARDING_FIELDS = frozenset((b"forwarded", b"x-forwarded-for", b"x-forwarded-host", b"x-forwarded-proto"))
MAX_VIA_HOPS = 16  # a request with more hops is in a loop
Address = IPv4Address | IPv6Address
Network = IPv4Network | IPv6Network


@dataclass(frozen=True, slots=True)
class ForwardingPolicy:
    """How the origin of a request is reported to nodes."""

    style: str = "forwarded"  # "forwarded" (RFC 7239), "x-forwarded", or "none"
    trusted: tuple[Network, ...] = ()  # peers whose forwarding fields are passed on
    via: bytes = b"flintlatch"  # this proxy's name in Via


def end_to_end(fields: Fields) -> Fields:
    """The fields without the hop-by-hop ones. The sender of the message writes its own framing fields. Raises
    HttpError with 400 if Connection names a field that must not be removed."""
    return without_fields(fields, HOP_BY_HOP | named_by_connection(fields))


def named_by_connection(fields: Fields) -> set[bytes]:
    connection_options = set(list_members(fields, b"connection"))
    if taken := connection_options & NOT_REMOVABLE:
        raise HttpError(400, f"Connection names {min(taken).decode('latin-1')}")
    return connection_options


def without_fields(fields: Fields, names: Set[bytes]) -> Fields:
    lower_names = (
        fields.lower_names if isinstance(fields, ParsedFields) else [name.lower() for name, _ in fields]
    )
    return [pair for pair, lower in zip(fields, lower_names, strict=True) if lower not in names]


def requests_upgrade(fields: Fields) -> bool:
    """Whether a request asks for a protocol other than HTTP, which this proxy rejects. An upgrade to h2c is
    an offer that a server may ignore (RFC 9110 section 7.8); its fields are removed with the hop-by-hop
    ones."""
    if b"upgrade" not in list_members(fields, b"connection"):
        return False
    return any(not protocol.startswith(b"h2c") for protocol in list_members(fields, b"upgrade"))


def request_fields_to_node(
    fields: Fields,
    peer: str,
    host: bytes,
    minor: int,
    policy: ForwardingPolicy,
    drop: Set[bytes] = frozenset(),
) -> Fields:
    """A request's fields for a node: without the hop-by-hop fields and those in `drop`, with Via and the
    forwarding fields. `peer`: the client's IP address. Raises HttpError with 400, or with 508 for a loop."""
    connection_options = named_by_connection(fields)
    via_hops = [] if b"via" in connection_options else list_members(fields, b"via")
    if (
        len(via_hops) >= MAX_VIA_HOPS
        or sum(hop.split(b" ")[-1] == policy.via.lower() for hop in via_hops) > 1
    ):
        raise HttpError(508, f"a request that came through {len(via_hops)} proxies")
    address = read_address(peer)
    trusted = any(address in network for network in policy.trusted)
    kept = without_fields(
        fields, HOP_BY_HOP.union(connection_options, drop, () if trusted else FORWARDING_FIELDS)
    )
    kept.append((b"Via", b"1.%d %b" % (minor, policy.via)))
    if policy.style == "forwarded":
        kept.append(
            (b"Forwarded", b"for=%b;host=%b;proto=http" % (forwarded_node_name(address), quoted(host)))
        )
    elif policy.style == "x-forwarded":
        chain = list_members(kept, b"x-forwarded-for")
        present = {name.lower() for name, _ in kept}
        kept = [(name, value) for name, value in kept if name.lower() != b"x-forwarded-for"]
        kept.append((b"X-Forwarded-For", b", ".join([*chain, str(address).encode()])))
        if b"x-forwarded-host" not in present:
            kept.append((b"X-Forwarded-Host", host))
        if b"x-forwarded-proto" not in present:
            kept.append((b"X-Forwarded-Proto", b"http"))
    return kept


@lru_cache(4096)
def read_address(peer: str) -> Address:
    return ip_address(peer)


def response_fields_to_client(fields: Fields, minor: int, via: bytes) -> Fields:
    """A response's end-to-end fields for the client, with Via."""
    return [*fields, (b"Via", b"1.%d %b" % (minor, via))]


def forwarded_node_name(address: Address) -> bytes:
    """A node name by RFC 7239 section 6: an IPv6 address is in brackets, and therefore quoted."""
    return str(address).encode() if address.version == 4 else b'"[%b]"' % str(address).encode()


def quoted(value: bytes) -> bytes:
    return b'"%b"' % value.replace(b"\\", b"\\\\").replace(b'"', b'\\"')
