"""Known request smuggling messages, as requests and as responses: all ambiguous ones are rejected.

CL.TE, TE.CL and TE.TE from published collections (RFC 9112 section 11.2 describes the class of attacks). Each
message is complete and has another one hidden in it or after it.
"""

from __future__ import annotations

import pytest

from flintlatch.http import Body, HttpError, read_request_head, read_response_head
from flintlatch.http.head import find_head_end

HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = b"5\r\nhello\r\n0\r\n\r\n"


def post(fields: bytes, body: bytes = CHUNKED + HIDDEN) -> bytes:
    return b"POST / HTTP/1.1\r\nHost: x\r\n" + fields + b"\r\n" + body


def chunked_post(body: bytes) -> bytes:
    return post(b"Transfer-Encoding: chunked\r\n", body)


TE = b"Transfer-Encoding: chunked\r\n"
REQUESTS: dict[str, bytes] = {
    # Length and coding
    "CL.TE": post(b"Content-Length: 6\r\n" + TE),
    "TE.CL": post(TE + b"Content-Length: 4\r\n"),
    "CL.TE of zero": post(b"Content-Length: 0\r\n" + TE),
    "two lengths": post(b"Content-Length: 5\r\nContent-Length: 6\r\n"),
    "two equal lengths": post(b"Content-Length: 5\r\nContent-Length: 5\r\n"),
    "a list of lengths": post(b"Content-Length: 5, 5\r\n"),
    "length +": post(b"Content-Length: +5\r\n"),
    "length -": post(b"Content-Length: -1\r\n"),
    "length hex": post(b"Content-Length: 0x5\r\n"),
    "length octal-looking _": post(b"Content-Length: 1_0\r\n"),
    "length with a space": post(b"Content-Length: 5 0\r\n"),
    "length empty": post(b"Content-Length: \r\n"),
    "length of 30 digits": post(b"Content-Length: 111111111111111111111111111111\r\n"),
    "length 5.0": post(b"Content-Length: 5.0\r\n"),
    "length in other digits": post(b"Content-Length: \xd9\xa5\r\n"),
    # Transfer-Encoding
    "TE.TE": post(TE + b"Transfer-Encoding: identity\r\n"),
    "TE.TE twice chunked": post(TE + TE),
    "TE list chunked, identity": post(b"Transfer-Encoding: chunked, identity\r\n"),
    "TE list identity, chunked": post(b"Transfer-Encoding: identity, chunked\r\n"),
    "TE list chunked, chunked": post(b"Transfer-Encoding: chunked, chunked\r\n"),
    "TE xchunked": post(b"Transfer-Encoding: xchunked\r\n"),
    "TE chunked with a tail": post(b"Transfer-Encoding: chunkedx\r\n"),
    "TE quoted": post(b'Transfer-Encoding: "chunked"\r\n'),
    "TE with a parameter": post(b"Transfer-Encoding: chunked;q=1\r\n"),
    "TE with VT": post(b"Transfer-Encoding: \x0bchunked\r\n"),
    "TE with FF behind": post(b"Transfer-Encoding: chunked\x0c\r\n"),
    "TE with NUL": post(b"Transfer-Encoding: chunked\x00\r\n"),
    "TE empty": post(b"Transfer-Encoding: \r\n"),
    "TE identity": post(b"Transfer-Encoding: identity\r\n"),
    "TE gzip, chunked": post(b"Transfer-Encoding: gzip, chunked\r\n"),
    "TE in HTTP/1.0": b"POST / HTTP/1.0\r\nHost: x\r\n" + TE + b"\r\n" + CHUNKED + HIDDEN,
    "TE space before the colon": post(b"Transfer-Encoding : chunked\r\n"),
    "TE tab before the colon": post(b"Transfer-Encoding\t: chunked\r\n"),
    "TE folded": post(b"Transfer-Encoding:\r\n chunked\r\n"),
    "TE folded by a tab": post(b"X: y\r\n\tTransfer-Encoding: chunked\r\n"),
    "TE behind a space": post(b" Transfer-Encoding: chunked\r\n"),
    "TE with CR in its name": post(b"Transfer\r-Encoding: chunked\r\n"),
    "TE behind a bare CR": post(b"X: y\rTransfer-Encoding: chunked\r\n"),
    "TE behind a bare LF": post(b"X: y\nTransfer-Encoding: chunked\r\n"),
    "TE without a colon": post(b"Transfer-Encoding chunked\r\n"),
    "TE with NUL in its name": post(b"Transfer\x00-Encoding: chunked\r\n"),
    "TE with a dotless look-alike": post(b"Transfer-Encod\xc4\xb1ng: chunked\r\n"),
    # Lines and names
    "bare LF line ends": b"POST / HTTP/1.1\nHost: x\nContent-Length: 5\n\nhello",
    "bare LF before the end": b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\n\r\nhello",
    "bare CR in a value": post(b"X: a\rb\r\n"),
    "NUL in a value": post(b"X: a\x00b\r\n"),
    "NUL in the target": b"GET /\x00 HTTP/1.1\r\nHost: x\r\n\r\n",
    "empty name": post(b": chunked\r\n"),
    "name with a space": post(b"Content Length: 5\r\n"),
    "DEL in a value": post(b"X: a\x7fb\r\n"),
    "folded Host": b"GET / HTTP/1.1\r\nHost:\r\n x\r\n\r\n",
    # Host and target
    "two hosts": b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
    "two equal hosts": b"GET / HTTP/1.1\r\nHost: x\r\nhost: x\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\nX: y\r\n\r\n",
    "a list of hosts": b"GET / HTTP/1.1\r\nHost: x, y\r\nHost: z\r\n\r\n",
    "host with a path": b"GET / HTTP/1.1\r\nHost: x/y\r\n\r\n",
    "host with a user": b"GET / HTTP/1.1\r\nHost: a@x\r\n\r\n",
    "host with a space": b"GET / HTTP/1.1\r\nHost: x y\r\n\r\n",
    "host in broken brackets": b"GET / HTTP/1.1\r\nHost: [::1\r\n\r\n",
    "absolute target of another host": b"GET http://y/ HTTP/1.1\r\nHost: x\r\n\r\n",
    "absolute target with a user": b"GET http://x@y/ HTTP/1.1\r\nHost: x\r\n\r\n",
    "absolute target without a host": b"GET http:///a HTTP/1.1\r\nHost: x\r\n\r\n",
    "a target of no form": b"GET hidden HTTP/1.1\r\nHost: x\r\n\r\n",
    "a fragment": b"GET /a#b HTTP/1.1\r\nHost: x\r\n\r\n",
    "CONNECT": b"CONNECT x:80 HTTP/1.1\r\nHost: x:80\r\n\r\n",
    "two spaces": b"GET  / HTTP/1.1\r\nHost: x\r\n\r\n",
    "a tab in the request line": b"GET\t/ HTTP/1.1\r\nHost: x\r\n\r\n",
    "a space in the target": b"GET /a b HTTP/1.1\r\nHost: x\r\n\r\n",
    "a space behind the version": b"GET / HTTP/1.1 \r\nHost: x\r\n\r\n",
    "no version": b"GET /\r\nHost: x\r\n\r\n",
    "HTTP/2.0 in the line": b"GET / HTTP/2.0\r\nHost: x\r\n\r\n",
    "HTTP/1.10": b"GET / HTTP/1.10\r\nHost: x\r\n\r\n",
    "HTTP/1.2": b"GET / HTTP/1.2\r\nHost: x\r\n\r\n",
    "lower case version": b"GET / http/1.1\r\nHost: x\r\n\r\n",
    "a line before the request": b"\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
    # Chunks
    "chunk size with junk": chunked_post(b"5x\r\nhello\r\n0\r\n\r\n"),
    "chunk size 0x": chunked_post(b"0x5\r\nhello\r\n0\r\n\r\n"),
    "chunk size +": chunked_post(b"+5\r\nhello\r\n0\r\n\r\n"),
    "chunk size -": chunked_post(b"-5\r\nhello\r\n0\r\n\r\n"),
    "chunk size with a space before": chunked_post(b" 5\r\nhello\r\n0\r\n\r\n"),
    "chunk size with a space behind": chunked_post(b"5 \r\nhello\r\n0\r\n\r\n"),
    "chunk size empty": chunked_post(b"\r\nhello\r\n0\r\n\r\n"),
    "chunk size too large for 64 bits": chunked_post(b"10000000000000005\r\nhello\r\n0\r\n\r\n"),
    "chunk size ended by LF": chunked_post(b"5\nhello\r\n0\r\n\r\n"),
    "chunk size ended by CR": chunked_post(b"5\rhello\r\n0\r\n\r\n"),
    "chunk longer than its size": chunked_post(b"5\r\nhello!\r\n0\r\n\r\n"),
    "chunk ended by LF": chunked_post(b"5\r\nhello\n0\r\n\r\n"),
    "chunk not ended": chunked_post(b"5\r\nhello0\r\n\r\n"),
    "chunk extension with LF": chunked_post(b"5;a\nb\r\nhello\r\n0\r\n\r\n"),
    "chunk extension with CR": chunked_post(b"5;a=\rb\r\nhello\r\n0\r\n\r\n"),
    "chunk extension without a name": chunked_post(b"5;\r\nhello\r\n0\r\n\r\n"),
    "chunk extension with an open quote": chunked_post(b'5;a="b\r\nhello\r\n0\r\n\r\n'),
    "chunk extension without end": chunked_post(b"5;" + b"a" * 10_000),
    "last chunk of junk": chunked_post(b"5\r\nhello\r\n0;\x00\r\n\r\n"),
    # Trailers
    "trailer Content-Length": chunked_post(b"0\r\nContent-Length: 5\r\n\r\n"),
    "trailer Transfer-Encoding": chunked_post(b"0\r\nTransfer-Encoding: chunked\r\n\r\n"),
    "trailer Host": chunked_post(b"0\r\nHost: y\r\n\r\n"),
    "trailer Connection": chunked_post(b"0\r\nConnection: close\r\n\r\n"),
    "trailer ended by LF": chunked_post(b"0\r\nX: y\n\r\n"),
    "trailer folded": chunked_post(b"0\r\nX: y\r\n z\r\n\r\n"),
    "trailer with a space before its colon": chunked_post(b"0\r\nX : y\r\n\r\n"),
    "trailers without end": chunked_post(b"0\r\n" + b"X: y\r\n" * 5000),
}


def parse_request(data: bytes) -> None:
    """Parses a request as the proxy does: the head, and the available part of the body."""
    end = find_head_end(data)
    head = read_request_head(data if end < 0 else data[:end])
    Body(head.framing).feed(data[end:])


@pytest.mark.parametrize("name", REQUESTS)
def test_ambiguous_request_is_rejected(name: str) -> None:
    with pytest.raises(HttpError) as caught:
        parse_request(REQUESTS[name])
    assert caught.value.status in (400, 431, 501, 505) and caught.value.reason


def test_there_are_enough_cases_and_valid_requests_are_accepted() -> None:
    assert len(REQUESTS) >= 60 and len(RESPONSES) >= 20
    parse_request(post(TE))
    parse_request(post(b"transfer-ENCODING:chunked\t\r\n"))
    parse_request(post(b"Content-Length:5 \r\n", b"hello"))
    parse_request(chunked_post(b'5;a="b\\"c";d\r\nhello\r\n0005;e=f\r\nhello\r\n00;x\r\nX-Sum: 1\r\n\r\n'))


OK = b"HTTP/1.1 200 OK\r\n"
RESPONSES: dict[str, bytes] = {
    "length and coding": OK + b"Content-Length: 5\r\n" + TE + b"\r\n" + CHUNKED,
    "two lengths": OK + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
    "two equal lengths": OK + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    "negative length": OK + b"Content-Length: -5\r\n\r\nhello",
    "length +": OK + b"Content-Length: +5\r\n\r\nhello",
    "list of lengths": OK + b"Content-Length: 5,5\r\n\r\nhello",
    "coding twice": OK + TE + TE + b"\r\n" + CHUNKED,
    "coding not last": OK + b"Transfer-Encoding: chunked, gzip\r\n\r\n" + CHUNKED,
    "coding unknown": OK + b"Transfer-Encoding: zipped\r\n\r\n" + CHUNKED,
    "coding in HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + TE + b"\r\n" + CHUNKED,
    "coding folded": OK + b"Transfer-Encoding:\r\n chunked\r\n\r\n" + CHUNKED,
    "coding behind a space": OK + b"Transfer-Encoding : chunked\r\n\r\n" + CHUNKED,
    "a body with 204": b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello",
    "chunks with 204": b"HTTP/1.1 204 No Content\r\n" + TE + b"\r\n" + CHUNKED,
    "a body with 103": b"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nhello",
    "101 unasked": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
    "status of 2 digits": b"HTTP/1.1 20 OK\r\n\r\n",
    "status of 4 digits": b"HTTP/1.1 2000 OK\r\n\r\n",
    "status 000": b"HTTP/1.1 000 OK\r\n\r\n",
    "no status": b"HTTP/1.1 OK\r\n\r\n",
    "other version": b"HTTP/2 200 OK\r\n\r\n",
    "two spaces": b"HTTP/1.1  200 OK\r\n\r\n",
    "bare LF": b"HTTP/1.1 200 OK\nContent-Length: 5\n\r\n\r\nhello",
    "bare CR in the reason": b"HTTP/1.1 200 O\rK\r\n\r\n",
    "NUL in a value": OK + b"X: \x00\r\n\r\n",
    "a field without a colon": OK + b"Content-Length 5\r\n\r\nhello",
    "bad chunk size": OK + TE + b"\r\n" + b"5x\r\nhello\r\n0\r\n\r\n",
    "chunk not ended": OK + TE + b"\r\n" + b"5\r\nhello0\r\n\r\n",
    "trailer of framing": OK + TE + b"\r\n" + b"0\r\nContent-Length: 3\r\n\r\n",
}


@pytest.mark.parametrize("name", RESPONSES)
def test_ambiguous_response_is_rejected(name: str) -> None:
    data = RESPONSES[name]
    end = find_head_end(data)
    with pytest.raises(HttpError):
        head = read_response_head(data[:end], b"GET")
        Body(head.framing).feed(data[end:])
