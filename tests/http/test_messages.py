"""Heads and bodies, cut anywhere, and beside an independent reader (h11)."""

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


def cuts(data: bytes, places: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(place % (len(data) + 1) for place in places)})
    return [data[a:b] for a, b in pairwise(edges)]


def read_body(framing: Framing, pieces: list[bytes]) -> tuple[bytes, bytes, Body, int]:
    body, got, rest, most = Body(framing), b"", b"", 0
    for piece in pieces:
        if body.done:
            rest += piece
            continue
        parts, left = body.feed(piece)
        got += b"".join(parts)
        rest += left
        most = max(most, body.buffered_bytes())
    return got, rest, body, most


@given(
    st.lists(st.binary(min_size=1, max_size=50), max_size=6), FIELDS, st.lists(st.integers(0), max_size=30)
)
def test_a_chunked_body_is_the_same_however_it_is_cut(
    data: list[bytes], trailers: list[tuple[bytes, bytes]], places: list[int]
) -> None:
    trailers = [(name, value) for name, value in trailers if name != b"Cookie"]
    message = b"".join(map(chunk, data)) + last_chunk(trailers) + b"GET /next"
    got, rest, body, most = read_body(Framing(BodyKind.CHUNKED), cuts(message, places))
    assert (got, rest, body.done) == (b"".join(data), b"GET /next", True)
    assert body.trailers == trailers and most <= MAX_LINE_BYTES + MAX_TRAILER_BYTES


@given(st.binary(max_size=200), st.binary(max_size=20), st.lists(st.integers(0), max_size=20))
def test_a_body_of_known_length_takes_just_that(data: bytes, behind: bytes, places: list[int]) -> None:
    kind = BodyKind.LENGTH if data else BodyKind.NONE
    got, rest, body, most = read_body(Framing(kind, len(data)), cuts(data + behind, places))
    assert (got, rest, body.done, most) == (data, behind, True, 0)


@pytest.mark.parametrize(
    ("framing", "data"),
    [(Framing(BodyKind.LENGTH, 5), b"hello"), (Framing(BodyKind.CHUNKED), chunk(b"hello") + last_chunk())],
)
def test_the_end_of_the_connection_at_each_byte_is_told_from_the_end_of_the_body(
    framing: Framing, data: bytes
) -> None:
    for cut in range(len(data)):
        body = Body(framing)
        body.feed(data[:cut])
        with pytest.raises(HttpError):
            body.end()
    body = Body(framing)
    body.feed(data)
    body.end()
    until = Body(Framing(BodyKind.UNTIL_CLOSE))
    assert until.feed(b"abc") == ([b"abc"], b"") and not until.done
    until.end()
    assert until.done


@given(
    FIELDS,
    st.sampled_from([b"GET", b"POST", b"DELETE", b"PURGE"]),
    st.sampled_from([0, 1]),
    st.integers(0, 20),
)
def test_an_independent_reader_sees_the_same_request(
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
def test_noise_is_refused_or_read_and_never_breaks_the_reader(noise: bytes) -> None:
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


def test_the_end_of_a_head_is_found_across_pieces() -> None:
    data = b"GET / HTTP/1.1\r\nHost: x\r\n\r\nbody"
    for cut in range(len(data)):
        first = find_head_end(data[:cut])
        assert first == (27 if cut >= 27 else -1)
        assert (first if first >= 0 else find_head_end(data, cut)) == 27


def test_limits_say_which_they_are() -> None:
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
    ("line", "fields", "keep"),
    [
        (b"1.1", b"", True),
        (b"1.1", b"Connection: close\r\n", False),
        (b"1.1", b"Connection: x, Close\r\n", False),
        (b"1.0", b"", False),
        (b"1.0", b"Connection: keep-alive\r\n", True),
        (b"1.0", b"Connection: keep-alive, close\r\n", False),
    ],
)
def test_whether_a_connection_is_kept(line: bytes, fields: bytes, keep: bool) -> None:
    assert read_request_head(b"GET / HTTP/" + line + b"\r\nHost: x\r\n" + fields + b"\r\n").keep_alive is keep
    assert read_response_head(b"HTTP/" + line + b" 200 OK\r\n" + fields + b"\r\n", b"GET").keep_alive is keep


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
def test_where_an_answer_ends(method: bytes, status: int, fields: bytes, kind: BodyKind) -> None:
    raw = b"HTTP/1.1 %d X\r\n%b\r\n" % (status, fields)
    assert read_response_head(raw, method).framing.kind is kind


def test_an_absolute_target_of_the_same_host_becomes_a_path() -> None:
    head = read_request_head(b"GET http://X:80/a?b HTTP/1.1\r\nHost: x:80\r\n\r\n")
    assert (head.target, head.host) == (b"/a?b", b"X:80")
    head = read_request_head(b"OPTIONS * HTTP/1.1\r\nHost: [::1]:80\r\nExpect: 100-Continue\r\n\r\n")
    assert head.target == b"*" and head.expects_continue


# Fields


def test_what_concerns_one_hop_ends_here_and_what_it_names_too() -> None:
    fields = [(b"Connection", b"close, X-Mine"), (b"x-mine", b"1"), (b"TE", b"trailers"), (b"Accept", b"*/*")]
    fields += [(b"Keep-Alive", b"3"), (b"Content-Length", b"4"), (b"Upgrade", b"h2c")]
    assert end_to_end(fields) == [(b"Accept", b"*/*")]
    assert response_fields_to_client([(b"A", b"b")], 0, b"fl") == [(b"A", b"b"), (b"Via", b"1.0 fl")]
    for name in (b"Host", b"content-length", b"X-Forwarded-For", b"Idempotency-Key"):
        with pytest.raises(HttpError):
            end_to_end([(b"Connection", b"keep-alive, " + name)])


def test_an_origin_is_believed_only_from_who_is_trusted() -> None:
    said = [(b"Forwarded", b"for=6.6.6.6"), (b"X-Forwarded-For", b"6.6.6.6"), (b"Via", b"1.1 a")]
    trusting = ForwardingPolicy(trusted=(ip_network("10.0.0.0/8"),))
    stranger = request_fields_to_node(said, "192.0.2.1", b"x", 1, trusting)
    assert stranger == [
        (b"Via", b"1.1 a"), (b"Via", b"1.1 flintlatch"), (b"Forwarded", b'for=192.0.2.1;host="x";proto=http')
    ]  # fmt: skip
    friend = request_fields_to_node(said, "10.1.2.3", b"x", 1, trusting)
    assert friend[:2] == said[:2] and friend[-1] == (b"Forwarded", b'for=10.1.2.3;host="x";proto=http')
    old = ForwardingPolicy("x-forwarded", trusting.trusted)
    assert (b"X-Forwarded-For", b"6.6.6.6, 10.1.2.3") in request_fields_to_node(
        said, "10.1.2.3", b"x", 1, old
    )
    assert (b"X-Forwarded-For", b"192.0.2.1") in request_fields_to_node(said, "192.0.2.1", b"x", 1, old)
    assert request_fields_to_node([], "2001:db8::1", b"x", 1, ForwardingPolicy())[-1][1].startswith(
        b'for="[2001:db8::1]";'
    )


def test_a_loop_is_seen() -> None:
    with pytest.raises(HttpError) as caught:
        request_fields_to_node(
            [(b"Via", b"1.1 flintlatch, 1.1 Flintlatch")], "192.0.2.1", b"x", 1, ForwardingPolicy()
        )
    assert caught.value.status == 508


def test_another_protocol_is_wanted_only_if_the_connection_says_so() -> None:
    assert requests_upgrade([(b"Connection", b"Upgrade"), (b"Upgrade", b"websocket")])
    assert not requests_upgrade([(b"Connection", b"Upgrade, HTTP2-Settings"), (b"Upgrade", b"h2c")])
    assert not requests_upgrade([(b"Upgrade", b"websocket")])


# RoutingRules

SPECS = [
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


def rules(**more: object) -> RoutingRules:
    names = RoutingHeaders()
    return RoutingRules(
        SPECS,
        RULES,
        {},
        names,
        lambda: b"made",
        **({"safe_class": 0, "other_class": 1} | more),  # type: ignore[arg-type]
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
def test_the_class_comes_from_the_first_rule_that_fits_and_else_from_the_method(raw: bytes, cls: int) -> None:
    read = rules().read(read_request_head(raw))
    assert (read.cls, read.id) == (cls, "made")
    assert read.budget_ms == SPECS[cls].deadline_ms


def test_what_a_client_says_of_its_request() -> None:
    raw = request("GET /a", "X-Call-Id: i1", "X-Budget-Ms: 400", "X-Route-Hash: deck-7")
    read = rules().read(read_request_head(raw))
    assert (read.id, read.budget_ms, read.key is not None) == ("i1", 400.0, True)
    raw = request("GET /a", "X-Budget-Ms: 999999999")
    assert rules().read(read_request_head(raw)).budget_ms == 1000.0


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
def test_what_no_rule_can_make_sense_of(raw: bytes, status: int) -> None:
    with pytest.raises(HttpError) as caught:
        rules(other_class=None).read(read_request_head(raw))
    assert caught.value.status == status
