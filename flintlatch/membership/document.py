"""A version as a document that tells whether it is whole: JSON Lines, a head, a node a line, and an end.

    {"flintlatch_nodes": 1, "source": "deploy", "version": 42, "made_ms": 1764590000000}
    {"uid": "a", "address": "10.0.0.1:8080", "weight": 2}
    {"end": true, "count": 1, "crc32": "6f1d0b6a"}

The checksum (CRC-32 as in RFC 1952) is over all bytes before the last line. A prefix of such a document,
a mixture of two, or one with a byte changed is never read as whole. The last good version is kept so too.
"""

from __future__ import annotations

from typing import Any
from zlib import crc32

import orjson

from flintlatch.membership.check import Fault, check_rows, shown
from flintlatch.membership.model import Node, Version

FORMAT = 1
MOST_BYTES = 64 * 1024 * 1024  # 100,000 nodes take some 15 MB


class InvalidDocument(Exception):
    """Not a whole document; `faults` says all that was found."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


def row_of(node: Node) -> dict[str, Any]:
    row: dict[str, Any] = {"uid": node.uid, "address": node.address, "pool": node.pool, "zone": node.zone}
    row |= {"kind": node.kind, "cell": node.cell, "weight": node.weight, "state": node.state.value}
    return row if node.started_ms is None else row | {"started_ms": node.started_ms}


def write_document(version: Version) -> bytes:
    head = {
        "flintlatch_nodes": FORMAT,
        "source": version.source,
        "version": version.number,
        "made_ms": version.made_ms,
    }
    body = b"".join(orjson.dumps(row) + b"\n" for row in (head, *map(row_of, version.nodes)))
    end = {"end": True, "count": len(version.nodes), "crc32": f"{crc32(body):08x}"}
    return body + orjson.dumps(end) + b"\n"


def read_document(data: bytes) -> Version:
    """Raises InvalidDocument."""
    if len(data) > MOST_BYTES:
        raise InvalidDocument([Fault("document", f"{len(data)} bytes", f"at most {MOST_BYTES}")])
    if not data.endswith(b"\n"):
        raise InvalidDocument([Fault("document", "no end of line at its end", "a whole last line")])
    cut = data.rfind(b"\n", 0, len(data) - 1) + 1
    end = _object("end", data[cut:])
    if end.get("end") is not True or set(end) != {"end", "count", "crc32"}:
        raise InvalidDocument(
            [Fault("end", shown(data[cut:][:80]), '{"end": true, "count": ..., "crc32": ...}')]
        )
    if end["crc32"] != f"{crc32(data[:cut]):08x}":
        raise InvalidDocument([Fault("end.crc32", shown(end["crc32"]), f"{crc32(data[:cut]):08x}")])
    lines = data[:cut].split(b"\n")[:-1]
    if not lines:
        raise InvalidDocument([Fault("head", "nothing", "a line that begins the document")])
    head = _object("head", lines[0])
    if head.get("flintlatch_nodes") != FORMAT:
        raise InvalidDocument(
            [Fault("head.flintlatch_nodes", shown(head.get("flintlatch_nodes")), str(FORMAT))]
        )
    source, number, made = head.get("source"), head.get("version"), head.get("made_ms", 0)
    faults = []
    if not isinstance(source, str) or not source:
        faults.append(Fault("head.source", shown(source), "a name"))
    if type(number) is not int or not 0 <= number < 1 << 63:
        faults.append(Fault("head.version", shown(number), "a whole number from 0"))
    if isinstance(made, bool) or not isinstance(made, (int, float)):
        faults.append(Fault("head.made_ms", shown(made), "Unix time in ms"))
    if end["count"] != len(lines) - 1:
        faults.append(Fault("end.count", shown(end["count"]), str(len(lines) - 1)))
    rows: list[Any] = []
    for place, line in enumerate(lines[1:]):
        try:
            rows.append(orjson.loads(line))
        except orjson.JSONDecodeError as error:
            raise InvalidDocument([Fault(f"node[{place}]", shown(line[:80]), f"JSON: {error}")]) from None
    nodes, more = check_rows(rows)
    if faults or more:
        raise InvalidDocument([*faults, *more])
    return Version(str(source), int(number or 0), nodes, float(made))


def _object(where: str, line: bytes) -> dict[str, Any]:
    try:
        found = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise InvalidDocument([Fault(where, shown(line[:80]), f"JSON: {error}")]) from None
    if not isinstance(found, dict):
        raise InvalidDocument([Fault(where, shown(found), "an object")])
    return found
