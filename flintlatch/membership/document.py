"""Writes and reads a version as a document that shows whether it is complete.

The format is JSON Lines, with a head, one line per node, and an end:

    {"flintlatch_nodes": 1, "source": "deploy", "version": 42, "made_ms": 1764590000000}
    {"uid": "a", "address": "10.0.0.1:8080", "weight": 2}
    {"end": true, "count": 1, "crc32": "6f1d0b6a"}

The checksum (CRC-32 as in RFC 1952) covers all bytes before the last line. A prefix of a document, a mixture
of two documents, or a document with one changed byte is rejected. The version that is saved for a restart has
this format as well.
"""

from __future__ import annotations

from typing import Any
from zlib import crc32

import orjson

from flintlatch.membership.check import Fault, abbreviate, check_rows
from flintlatch.membership.model import Node, Version

FORMAT_VERSION = 1
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024  # 100,000 nodes take about 15 MB


class InvalidDocument(Exception):
    """The content is not a complete and valid list of nodes; `faults` has every fault found."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


def row_from_node(node: Node) -> dict[str, Any]:
    row: dict[str, Any] = {"uid": node.uid, "address": node.address, "pool": node.pool, "zone": node.zone}
    row |= {"kind": node.kind, "cell": node.cell, "weight": node.weight, "state": node.state.value}
    return row if node.started_ms is None else row | {"started_ms": node.started_ms}


def write_document(version: Version) -> bytes:
    head = {
        "flintlatch_nodes": FORMAT_VERSION,
        "source": version.source,
        "version": version.number,
        "made_ms": version.made_ms,
    }
    body = b"".join(orjson.dumps(row) + b"\n" for row in (head, *map(row_from_node, version.nodes)))
    end = {"end": True, "count": len(version.nodes), "crc32": f"{crc32(body):08x}"}
    return body + orjson.dumps(end) + b"\n"


def read_document(data: bytes) -> Version:
    """Raises InvalidDocument."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InvalidDocument([Fault("document", f"{len(data)} bytes", f"at most {MAX_DOCUMENT_BYTES}")])
    if not data.endswith(b"\n"):
        raise InvalidDocument([Fault("document", "no newline at the end", "a complete last line")])
    body_bytes = data.rfind(b"\n", 0, len(data) - 1) + 1
    end = _parse_object("end", data[body_bytes:])
    if end.get("end") is not True or set(end) != {"end", "count", "crc32"}:
        raise InvalidDocument(
            [Fault("end", abbreviate(data[body_bytes:][:80]), '{"end": true, "count": ..., "crc32": ...}')]
        )
    if end["crc32"] != f"{crc32(data[:body_bytes]):08x}":
        raise InvalidDocument(
            [Fault("end.crc32", abbreviate(end["crc32"]), f"{crc32(data[:body_bytes]):08x}")]
        )
    lines = data[:body_bytes].split(b"\n")[:-1]
    if not lines:
        raise InvalidDocument([Fault("head", "nothing", "a first line with the head of the document")])
    head = _parse_object("head", lines[0])
    if head.get("flintlatch_nodes") != FORMAT_VERSION:
        raise InvalidDocument(
            [Fault("head.flintlatch_nodes", abbreviate(head.get("flintlatch_nodes")), str(FORMAT_VERSION))]
        )
    source, number, made_ms = head.get("source"), head.get("version"), head.get("made_ms", 0)
    faults = []
    if not isinstance(source, str) or not source:
        faults.append(Fault("head.source", abbreviate(source), "a name"))
    if type(number) is not int or not 0 <= number < 1 << 63:
        faults.append(Fault("head.version", abbreviate(number), "a whole number from 0"))
    if isinstance(made_ms, bool) or not isinstance(made_ms, (int, float)):
        faults.append(Fault("head.made_ms", abbreviate(made_ms), "Unix time in ms"))
    if end["count"] != len(lines) - 1:
        faults.append(Fault("end.count", abbreviate(end["count"]), str(len(lines) - 1)))
    rows: list[Any] = []
    for index, line in enumerate(lines[1:]):
        try:
            rows.append(orjson.loads(line))
        except orjson.JSONDecodeError as error:
            raise InvalidDocument(
                [Fault(f"node[{index}]", abbreviate(line[:80]), f"JSON: {error}")]
            ) from None
    nodes, row_faults = check_rows(rows)
    if faults or row_faults:
        raise InvalidDocument([*faults, *row_faults])
    return Version(str(source), int(number or 0), nodes, float(made_ms))


def _parse_object(where: str, line: bytes) -> dict[str, Any]:
    try:
        value = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise InvalidDocument([Fault(where, abbreviate(line[:80]), f"JSON: {error}")]) from None
    if not isinstance(value, dict):
        raise InvalidDocument([Fault(where, abbreviate(value), "an object")])
    return value
