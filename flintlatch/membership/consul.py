"""A service of a Consul-compatible catalogue as a source: what to ask next, and what an answer means. No I/O.

Source: Consul's HTTP API, `GET /v1/health/service/:service` and "Blocking Queries" (index, wait, and the
headers X-Consul-Index, X-Consul-KnownLeader, X-Consul-LastContact). Its rules for the index: it must be above
0, and where it goes back it is begun anew.

What is taken: an instance is a node, `NODE/ID` its uid, the service's address or else its machine's;
`Weights.Passing` its weight, `Datacenter` its zone, and of `Meta` the keys `zone`, `kind` and `cell` before
those. Checks are evidence beside the list: critical ones and maintenance claim that the node is unhealthy.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

import orjson

from flintlatch.membership.check import Fault, check_rows, shown
from flintlatch.membership.core import Event, Failed, Health, Unread, VersionOffered
from flintlatch.membership.document import MOST_BYTES
from flintlatch.membership.model import Node, Version

MOST_INDEX = 1 << 63  # it is an unsigned number there; beyond this it is somebody's mistake
RETRY_S = (0.5, 15.0)  # s after a failure, first and longest: doubled
BAD_STATUS = frozenset(("critical", "maintenance"))


@dataclass(frozen=True, slots=True)
class Ask:
    path: str
    wait_s: float  # that the catalogue may take for it, beside its own work


class ServiceWatch:
    """One service. `ask` says what to ask; each answer or failure goes in once, and then `rest_s` says how
    long to wait before the next."""

    def __init__(self, source: str, service: str, wait_s: float, most_stale_s: float) -> None:
        """`wait_s`: of a blocking query. `most_stale_s`: an answer of a server that last heard from its
        leader longer ago says nothing."""
        self.source, self.service = source, service
        self.wait_s, self.most_stale_s = wait_s, most_stale_s
        self.index = 0  # 0: answered at once, with what is there
        self.number = 0
        self.nodes: tuple[Node, ...] | None = None  # as offered last
        self.claims: frozenset[str] = frozenset()
        self.rest_s = 0.0
        self.failures = 0

    def ask(self) -> Ask:
        told: dict[str, str] = {}
        if self.index:
            told = {"index": str(self.index), "wait": f"{self.wait_s:.0f}s"}
        path = f"/v1/health/service/{quote(self.service, safe='')}"
        return Ask(f"{path}?{urlencode(told)}" if told else path, self.wait_s if told else 0.0)

    def failed(self, reason: str) -> list[Event]:
        """It could not be asked, or took too long. What it said last stands; it is asked from the start."""
        self.index = 0
        self.rest_s = min(RETRY_S[0] * 2**self.failures, RETRY_S[1])
        self.failures = min(self.failures + 1, 16)
        return [Failed(self.source, reason)]

    def answered(self, now_ms: float, status: int, headers: Mapping[str, str], body: bytes) -> list[Event]:
        """`headers`: by names in lower case. `now_ms`: Unix time."""
        if status != 200:
            return self.failed(f"status {status}")
        if headers.get("x-consul-knownleader") == "false":
            return self.failed("the server knows no leader: its word may be old")
        stale_ms = whole(headers.get("x-consul-lastcontact", "0"))
        if stale_ms is None or stale_ms > self.most_stale_s * 1000:
            return self.failed(f"the server last heard from its leader {shown(stale_ms)} ms ago")
        index = whole(headers.get("x-consul-index", ""))
        if index is None or not 0 < index < MOST_INDEX:
            return self.failed(
                f"X-Consul-Index {shown(headers.get('x-consul-index'))}, a number above 0 expected"
            )
        if self.index and index < self.index:
            # A server behind the others, or one begun anew: what it says now may be older than what is held.
            return self.failed(f"X-Consul-Index went back from {self.index} to {index}")
        found = read_instances(body)
        if isinstance(found[0], Fault):
            # Asked from the start: to wait for a change could leave the mended list unseen.
            self.failed("")
            return [Unread(self.source, tuple(fault for fault in found if isinstance(fault, Fault)))]
        nodes, claims = found
        first, self.failures, self.rest_s, self.index = self.nodes is None, 0, 0.0, index
        out: list[Event] = []
        if first or nodes != self.nodes:
            # Its index may begin anew; ours never goes back, also over a restart.
            self.number = max(self.number + 1, int(now_ms))
        self.nodes = nodes
        out.append(VersionOffered(Version(self.source, max(self.number, 1), nodes, now_ms)))
        named = {node.uid for node in nodes}
        out += [Health(self.source, uid, False) for uid in sorted(claims - self.claims)]
        out += [Health(self.source, uid, True) for uid in sorted((self.claims - claims) & named)]
        self.claims = claims
        return out


def whole(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() and len(text) < 20 else None


def read_instances(body: bytes) -> tuple[tuple[Node, ...], frozenset[str]] | tuple[Fault, ...]:
    """Nodes, and the uids that checks call bad; or every fault."""
    if len(body) > MOST_BYTES:
        return (Fault("answer", f"{len(body)} bytes", f"at most {MOST_BYTES}"),)
    try:
        found = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return (Fault("answer", str(error), "JSON (RFC 8259)"),)
    if not isinstance(found, list):
        return (Fault("answer", shown(found), "a list of instances"),)
    rows, claims, faults = [], set(), []
    for place, entry in enumerate(found):
        node, service = (_table(entry, key) for key in ("Node", "Service"))
        checks = entry.get("Checks") if isinstance(entry, Mapping) else None
        if node is None or service is None or not isinstance(checks, list):
            faults.append(Fault(f"instance[{place}]", shown(entry), "Node, Service and Checks"))
            continue
        uid = f"{node.get('Node')}/{service.get('ID')}"
        host, port = service.get("Address") or node.get("Address"), service.get("Port")
        meta = _table(service, "Meta") or {}
        weights = _table(service, "Weights") or {}
        row: dict[str, Any] = {
            "uid": uid,
            "address": f"[{host}]:{port}" if ":" in str(host) else f"{host}:{port}",
            "pool": service.get("Service"),
            "zone": meta.get("zone") or node.get("Datacenter") or "default",
            "weight": weights.get("Passing", 1) or 1,
        }
        if meta.get("kind"):
            row["kind"] = meta["kind"]
        if "cell" in meta:
            cell = whole(str(meta["cell"]))
            row["cell"] = meta["cell"] if cell is None else cell
        rows.append(row)
        if any(isinstance(check, Mapping) and check.get("Status") in BAD_STATUS for check in checks):
            claims.add(uid)
    nodes, more = check_rows(rows)
    if faults or more:
        return (*faults, *more)
    return nodes, frozenset(claims)


def _table(entry: object, key: str) -> Mapping[str, Any] | None:
    value = entry.get(key) if isinstance(entry, Mapping) else None
    return value if isinstance(value, Mapping) else None
