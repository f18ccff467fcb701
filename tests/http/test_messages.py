"""Parsing of heads and bodies split at any position, also compared with an independent parser (h11)."""

from __future__ import annotations

from ipaddress import ip_network
from itertools import pairwise

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.api import Effect, RequestClass
from flintlatch.http import (
    Body,
    BodyKind,
    Framing,
    HeadLimits,
    HttpError,
    read_request_head,
    read_response_head,
)
from flintlatch.http.body import MAX_LINE_BYTES, MAX_TRAILER_BYTES, chunk, last_chunk
from flintlatch.http.fields import (
    ForwardingPolicy,
    end_to_end,
    request_fields_to_node,
    requests_upgrade,
    response_fields_to_client,
)
from flintlatch.http.head import find_head_end
from flintlatch.http.rules import RoutingHeaders, RoutingRules, Rule

NAMES = st.sampled_from([b"X-A", b"accept", b"X-Call-Id", b"a", b"Cookie", b"!#$%&'*+-.^_`|~9"])
TEXT = st.binary(max_size=30).map(lambda b: bytes(c for c in b if 32 < c < 127 or c > 127 or c in b"\t "))
FIELDS = st.lists(st.tuples(NAMES, TEXT.map(lambda v: v.strip(b"\t "))), max_size=6)


def split_at(data: bytes, positions: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(position % (len(data) + 1) for position in positions)})
    return [data[a:b] for a, b in pairwise(edges)]


def read_body(framing: Framing, pieces: list[bytes]) -> tuple[bytes, bytes, Body, int]:
    body, content, rest, max_buffered = Body(framing), b"", b"", 0
    for piece in pieces:
        if body.done:
            rest += piece
            continue
        parts, left = body.feed(piece)
        content += b"".join(parts)
        rest += left
        max_buffered = max(max_buffered, body.buffered_bytes())
    return content, rest, body, max_buffered


@given(
    st.lists(st.binary(min_size=1, max_size=50), max_size=6), FIELDS, st.lists(st.integers(0), max_size=30)
)
def test_chunked_body_is_parsed_however_it_is_split(
    data: list[bytes], trailers: list[tuple[bytes, bytes]], positions: list[int]
) -> None:
    trailers = [(name, value) for name, value in trailers if name != b"Cookie"]
    message = b"".join(map(chunk, data)) + last_chunk(trailers) + b"GET /next"
    content, rest, body, max_buffered = read_body(Framing(BodyKind.CHUNKED), split_at(message, positions))
    assert (content, rest, body.done) == (b"".join(data), b"GET /next", True)
    assert body.trailers == trailers and max_buffered <= MAX_LINE_BYTES + MAX_TRAILER_BYTES


@given(st.binary(max_size=200), st.binary(max_size=20), st.lists(st.integers(0), max_size=20))
def test_body_with_length_takes_exactly_its_bytes(
    data: bytes, following: bytes, positions: list[int]
) -> None:
    kind = BodyKind.LENGTH if data else BodyKind.NONE
    content, rest, body, max_buffered = read_body(
        Framing(kind, len(data)), split_at(data + following, positions)
    )
    assert (content, rest, body.done, max_buffered) == (data, following, True, 0)


@pytest.mark.parametrize(
    ("framing", "data"),
    [(Framing(BodyKind.LENGTH, 5), b"hello"), (Framing(BodyKind.CHUNKED), chunk(b"hello") + last_chunk())],
)
def test_end_of_the_connection_within_a_body_is_an_error(framing: Framing, data: bytes) -> None:
    for cut in range(len(data)):
        body = Body(framing)
        body.feed(data[:cut])
        with pytest.raises(HttpError):
            body.end()
    body = Body(framing)
    body.feed(data)
    body.end()
    until_close = Body(Framing(BodyKind.UNTIL_CLOSE))
    assert until_close.feed(b"abc") == ([b"abc"], b"") and not until_close.done
    until_close.end()
    assert until_close.done


@given(
    FIELDS,
    st.sampled_from([b"GET", b"POST", b"DELETE", b"PURGE"]),
    st.sampled_from([0, 1]),
    st.integers(0, 20),
)
def test_h11_parses_the_same_request(
    fields: list[tuple[bytes, bytes]], method: bytes, minor: int, length: int
) -> None:
    raw = b"%b /a?b HTTP/1.%d\r\nHost: x:1\r\n" % (method, minor)
    raw += b"".join(b"%b:%b\r\n" % pair for pair in fields)
    raw += b"Content-Length: %d\r\n\r\n" % length
    head = read_request_head(raw)
    peer = h11.Connection(h11.SERVER)
    peer.receive_data(raw + b"x" * length)
    seen = peer.next_event()
    assert isinstance(seen, h11.Request)
    assert (seen.method, seen.target, seen.http_version) == (method, head.target, b"1.%d" % minor)
    assert [(n.lower(), v) for n, v in head.fields] == [(bytes(n), bytes(v)) for n, v in seen.headers]
    assert head.framing.length == length


@given(st.binary(max_size=300))
@settings(max_examples=500)
def test_random_bytes_are_parsed_or_rejected(noise: bytes) -> None:
    for raw in (noise, b"GET / HTTP/1.1\r\nHost: x\r\n" + noise + b"\r\n\r\n"):
        try:
            read_request_head(raw)
        except HttpError as error:
            assert error.status in (400, 414, 417, 431, 501, 505)
        try:
            read_response_head(b"HTTP/1.1 200 OK\r\n" + raw, b"GET")
        except HttpError as error:
            assert error.status == 502
    try:
        Body(Framing(BodyKind.CHUNKED)).feed(noise)
    except HttpError as error:
        assert error.status in (400, 431)


def test_end_of_head_is_found_across_pieces() -> None:
    data = b"GET / HTTP/1.1\r\nHost: x\r\n\r\nbody"
    for cut in range(len(data)):
        first = find_head_end(data[:cut])
        assert first == (27 if cut >= 27 else -1)
        assert (first if first >= 0 else find_head_end(data, cut)) == 27


def test_exceeded_limit_determines_the_status() -> None:
    limits = HeadLimits(head_bytes=200, target_bytes=50, fields=3)
    for raw, status in (
        (b"GET /" + b"a" * 60 + b" HTTP/1.1\r\nHost: x\r\n\r\n", 414),
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\nA: b\r\nA: b\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 200 + b"\r\n\r\n", 431),
    ):
        with pytest.raises(HttpError) as caught:
            read_request_head(raw, limits)
        assert caught.value.status == status


@pytest.mark.parametrize(
    ("line", "fields", "keep_alive"),
    [
        (b"1.1", b"", True),
        (b"1.1", b"Connection: close\r\n", False),
        (b"1.1", b"Connection: x, Close\r\n", False),
        (b"1.0", b"", False),
        (b"1.0", b"Connection: keep-alive\r\n", True),
        (b"1.0", b"Connection: keep-alive, close\r\n", False),
    ],
)
def test_keep_alive(line: bytes, fields: bytes, keep_alive: bool) -> None:
    assert (
        read_request_head(b"GET / HTTP/" + line + b"\r\nHost: x\r\n" + fields + b"\r\n").keep_alive
        is keep_alive
    )
    assert (
        read_response_head(b"HTTP/" + line + b" 200 OK\r\n" + fields + b"\r\n", b"GET").keep_alive
        is keep_alive
    )


@pytest.mark.parametrize(
    ("method", "status", "fields", "kind"),
    [
        (b"GET", 200, b"Content-Length: 3\r\n", BodyKind.LENGTH),
        (b"HEAD", 200, b"Content-Length: 3\r\n", BodyKind.NONE),
        (b"HEAD", 200, b"Transfer-Encoding: chunked\r\n", BodyKind.NONE),
        (b"GET", 304, b"Content-Length: 3\r\n", BodyKind.NONE),
        (b"GET", 204, b"Content-Length: 0\r\n", BodyKind.NONE),
        (b"GET", 100, b"", BodyKind.NONE),
        (b"GET", 200, b"", BodyKind.UNTIL_CLOSE),
        (b"GET", 500, b"Transfer-Encoding: chunked\r\n", BodyKind.CHUNKED),
    ],
)
def test_framing_of_a_response(method: bytes, status: int, fields: bytes, kind: BodyKind) -> None:
    raw = b"HTTP/1.1 %d X\r\n%b\r\n" % (status, fields)
    assert read_response_head(raw, method).framing.kind is kind


def test_absolute_form_target_of_the_same_host_becomes_origin_form() -> None:
    head = read_request_head(b"GET http://X:80/a?b HTTP/1.1\r\nHost: x:80\r\n\r\n")
    assert (head.target, head.host) == (b"/a?b", b"X:80")
    head = read_request_head(b"OPTIONS * HTTP/1.1\r\nHost: [::1]:80\r\nExpect: 100-Continue\r\n\r\n")
    assert head.target == b"*" and head.expects_continue


# Header fields


def test_hop_by_hop_fields_and_fields_named_by_connection_are_removed() -> None:
    fields = [(b"Connection", b"close, X-Mine"), (b"x-mine", b"1"), (b"TE", b"trailers"), (b"Accept", b"*/*")]
    fields += [(b"Keep-Alive", b"3"), (b"Content-Length", b"4"), (b"Upgrade", b"h2c")]
    assert end_to_end(fields) == [(b"Accept", b"*/*")]
    assert response_fields_to_client([(b"A", b"b")], 0, b"fl") == [(b"A", b"b"), (b"Via", b"1.0 fl")]
    for name in (b"Host", b"content-length", b"X-Forwarded-For", b"Idempotency-Key"):
        with pytest.raises(HttpError):
            end_to_end([(b"Connection", b"keep-alive, " + name)])


def test_forwarding_fields_are_kept_only_from_trusted_peers() -> None:
    received = [(b"Forwarded", b"for=6.6.6.6"), (b"X-Forwarded-For", b"6.6.6.6"), (b"Via", b"1.1 a")]
    policy = ForwardingPolicy(trusted=(ip_network("10.0.0.0/8"),))
    untrusted = request_fields_to_node(received, "192.0.2.1", b"x", 1, policy)
    assert untrusted == [
        (b"Via", b"1.1 a"), (b"Via", b"1.1 flintlatch"), (b"Forwarded", b'for=192.0.2.1;host="x";proto=http')
    ]  # fmt: skip
    trusted = request_fields_to_node(received, "10.1.2.3", b"x", 1, policy)
    assert trusted[:2] == received[:2] and trusted[-1] == (b"Forwarded", b'for=10.1.2.3;host="x";proto=http')
    x_forwarded = ForwardingPolicy("x-forwarded", policy.trusted)
    assert (b"X-Forwarded-For", b"6.6.6.6, 10.1.2.3") in request_fields_to_node(
        received, "10.1.2.3", b"x", 1, x_forwarded
    )
    assert (b"X-Forwarded-For", b"192.0.2.1") in request_fields_to_node(
        received, "192.0.2.1", b"x", 1, x_forwarded
    )
    assert request_fields_to_node([], "2001:db8::1", b"x", 1, ForwardingPolicy())[-1][1].startswith(
        b'for="[2001:db8::1]";'
    )


def test_loop_is_detected_by_via() -> None:
    with pytest.raises(HttpError) as caught:
        request_fields_to_node(
            [(b"Via", b"1.1 flintlatch, 1.1 Flintlatch")], "192.0.2.1", b"x", 1, ForwardingPolicy()
        )
    assert caught.value.status == 508


def test_upgrade_is_requested_only_if_connection_names_it() -> None:
    assert requests_upgrade([(b"Connection", b"Upgrade"), (b"Upgrade", b"websocket")])
    assert not requests_upgrade([(b"Connection", b"Upgrade, HTTP2-Settings"), (b"Upgrade", b"h2c")])
    assert not requests_upgrade([(b"Upgrade", b"websocket")])


# Routing rules

CLASSES = [
    RequestClass(100, 1000, Effect.SAFE),
    RequestClass(100, 2000, Effect.UNSAFE),
    RequestClass(100, 3000, Effect.KEYED, window_ms=1000),
]
RULES = [
    Rule(2, path=b"/buy/*", methods=frozenset((b"POST",))),
    Rule(0, path=b"/search", header=(b"x-kind", b"cheap")),
    Rule(1, host=b"*.admin.example.org"),
    Rule(1, host=b"admin.example.org"),
]


def rules(**changes: object) -> RoutingRules:
    names = RoutingHeaders()
    return RoutingRules(
        CLASSES,
        RULES,
        {},
        names,
        lambda: b"made",
        **({"safe_class": 0, "other_class": 1} | changes),  # type: ignore[arg-type]
    )


def request(line: str, *fields: str, host: str = "x") -> bytes:
    return "\r\n".join([f"{line} HTTP/1.1", f"Host: {host}", *fields, "", ""]).encode()


@pytest.mark.parametrize(
    ("raw", "cls"),
    [
        (request("GET /a"), 0),
        (request("HEAD /a"), 0),
        (request("POST /a"), 1),
        (request("PURGE /a"), 1),
        (request("POST /buy/7?x=1", "Idempotency-Key: k"), 2),
        (request("GET /buy/7"), 0),
        (request("POST /search?q", "X-Kind: cheap"), 0),
        (request("POST /search?q", "X-Kind: dear"), 1),
        (request("GET /a", host="b.admin.example.org:8080"), 1),
        (request("GET /a", host="ADMIN.example.org."), 1),
        (request("GET /a", host="xadmin.example.org"), 0),
        (request("GET /a", host=".admin.example.org"), 0),
    ],
)
def test_class_is_of_the_first_matching_rule_or_by_method(raw: bytes, cls: int) -> None:
    routing = rules().routing_of(read_request_head(raw))
    assert (routing.cls, routing.id) == (cls, "made")
    assert routing.budget_ms == CLASSES[cls].deadline_ms


def test_id_budget_and_key_are_read_from_the_fields() -> None:
    raw = request("GET /a", "X-Call-Id: i1", "X-Budget-Ms: 400", "X-Route-Hash: deck-7")
    routing = rules().routing_of(read_request_head(raw))
    assert (routing.id, routing.budget_ms, routing.key is not None) == ("i1", 400.0, True)
    raw = request("GET /a", "X-Budget-Ms: 999999999")
    assert rules().routing_of(read_request_head(raw)).budget_ms == 1000.0


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (request("POST /buy/7"), 400),
        (request("POST /buy/7", "Idempotency-Key: a", "Idempotency-Key: b"), 400),
        (request("GET /a", "X-Budget-Ms: soon"), 400),
        (request("GET /a", "X-Budget-Ms: 0"), 400),
        (request("GET /a", "X-Call-Id: a b"), 400),
        (request("PUT /a"), 404),
    ],
)
def test_unclassifiable_request_is_rejected(raw: bytes, status: int) -> None:
    with pytest.raises(HttpError) as caught:
        rules(other_class=None).routing_of(read_request_head(raw))
    assert caught.value.status == status
