"""Builds the queries for one service of a Consul-compatible catalogue and interprets the responses. No I/O.

Source: Consul's HTTP API, `GET /v1/health/service/:service` and "Blocking Queries" (index, wait, and the
headers X-Consul-Index, X-Consul-KnownLeader, X-Consul-LastContact). By its rules the index must be above 0,
and a client that sees it go backwards starts again without an index.

Each instance becomes a node. Its uid is `NODE/ID`, its address is the service's, or the machine's if the
service has none; `Weights.Passing` is its weight and `Datacenter` its zone. The `Meta` keys `zone`, `kind`
and `cell` take precedence. Checks are kept apart from the list: a critical check or maintenance mode is a
report that the node is unhealthy.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

import orjson

from flintlatch.membership.check import Fault, abbreviate, check_rows
from flintlatch.membership.core import (
    Event,
    HealthReported,
    InvalidVersionOffered,
    SourceFailed,
    VersionOffered,
)
from flintlatch.membership.document import MAX_DOCUMENT_BYTES
from flintlatch.membership.model import Node, Version

INDEX_LIMIT = 1 << 63  # Consul's index is an unsigned 64-bit number; a value from here on is an error
RETRY_DELAY_RANGE_S = (0.5, 15.0)  # first and longest delay after a failure; doubled each time
UNHEALTHY_STATUSES = frozenset(("critical", "maintenance"))


@dataclass(frozen=True, slots=True)
class CatalogueQuery:
    path: str
    wait_s: float  # how long the catalogue may block the query, without its processing time


class ServiceWatch:
    """The state of the blocking queries for one service.

    After each `next_query`, exactly one of `on_response` and `on_failure` is called. `delay_s` is then the
    time to wait before the next query.
    """

    def __init__(
        self, source: str, service: str, wait_s: float, max_staleness_s: float, last_number: int = 0
    ) -> None:
        """Starts without an index. `last_number`: of the version restored after a restart.

        `wait_s`: the wait time of a blocking query. `max_staleness_s`: a response is not used if its server
        last had contact with its leader longer ago.
        """
        self.source, self.service = source, service
        self.wait_s, self.max_staleness_s = wait_s, max_staleness_s
        self.index = 0  # 0: the query doesn't block and gets the current list
        self.version_number = last_number
        self.nodes: tuple[Node, ...] | None = None  # of the version offered last
        self.unhealthy: frozenset[str] = frozenset()
        self.delay_s = 0.0
        self.failures = 0

    def next_query(self) -> CatalogueQuery:
        parameters: dict[str, str] = {}
        if self.index:
            parameters = {"index": str(self.index), "wait": f"{self.wait_s:.0f}s"}
        path = f"/v1/health/service/{quote(self.service, safe='')}"
        return CatalogueQuery(
            f"{path}?{urlencode(parameters)}" if parameters else path, self.wait_s if parameters else 0.0
        )

    def on_failure(self, reason: str) -> list[Event]:
        """Handles a failed query or an unusable response. The last list stays in effect, and the next query
        has no index."""
        self.index = 0
        self.delay_s = min(RETRY_DELAY_RANGE_S[0] * 2**self.failures, RETRY_DELAY_RANGE_S[1])
        self.failures = min(self.failures + 1, 16)
        return [SourceFailed(self.source, reason)]

    def on_response(self, now_ms: float, status: int, headers: Mapping[str, str], body: bytes) -> list[Event]:
        """`headers`: with names in lower case. `now_ms`: Unix time."""
        if status != 200:
            return self.on_failure(f"status {status}, expected 200")
        if headers.get("x-consul-knownleader") == "false":
            return self.on_failure("the server knows no cluster leader, so its data may be stale")
        contact_age_ms = parse_unsigned(headers.get("x-consul-lastcontact", "0"))
        if contact_age_ms is None or contact_age_ms > self.max_staleness_s * 1000:
            return self.on_failure(
                f"the server last had contact with its leader {abbreviate(contact_age_ms)} ms ago, "
                f"at most {self.max_staleness_s * 1000:g} ms expected"
            )
        index = parse_unsigned(headers.get("x-consul-index", ""))
        if index is None or not 0 < index < INDEX_LIMIT:
            return self.on_failure(
                f"X-Consul-Index is {abbreviate(headers.get('x-consul-index'))}, expected a number above 0"
            )
        if self.index and index < self.index:
            # The server lags behind the others or has restarted: its list may be older than the current one.
            return self.on_failure(f"X-Consul-Index went back from {self.index} to {index}")
        parsed = parse_instances(body)
        if isinstance(parsed[0], Fault):
            # The next query has no index: a blocking query could miss that the list has been corrected.
            self.on_failure("")
            return [
                InvalidVersionOffered(
                    self.source, tuple(fault for fault in parsed if isinstance(fault, Fault))
                )
            ]
        nodes, unhealthy = parsed
        first, self.failures, self.delay_s, self.index = self.nodes is None, 0, 0.0, index
        events: list[Event] = []
        if first or nodes != self.nodes:
            # Consul's index may restart from a low value. Version numbers must grow, also over a restart of
            # this process.
            self.version_number = max(self.version_number + 1, int(now_ms))
        self.nodes = nodes
        events.append(VersionOffered(Version(self.source, max(self.version_number, 1), nodes, now_ms)))
        listed = {node.uid for node in nodes}
        events += [HealthReported(self.source, uid, False) for uid in sorted(unhealthy - self.unhealthy)]
        events += [
            HealthReported(self.source, uid, True) for uid in sorted((self.unhealthy - unhealthy) & listed)
        ]
        self.unhealthy = unhealthy
        return events


def parse_unsigned(text: str) -> int | None:
    """The value of a header of at most 19 decimal digits; None for any other text."""
    return int(text) if text.isascii() and text.isdigit() and len(text) < 20 else None


def parse_instances(body: bytes) -> tuple[tuple[Node, ...], frozenset[str]] | tuple[Fault, ...]:
    """The nodes and the uids of those whose checks report them unhealthy; or every fault of the body."""
    if len(body) > MAX_DOCUMENT_BYTES:
        return (Fault("answer", f"{len(body)} bytes", f"at most {MAX_DOCUMENT_BYTES}"),)
    try:
        instances = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return (Fault("answer", str(error), "JSON (RFC 8259)"),)
    if not isinstance(instances, list):
        return (Fault("answer", abbreviate(instances), "a list of instances"),)
    rows, unhealthy, faults = [], set(), []
    for index, instance in enumerate(instances):
        node, service = (_object_in(instance, key) for key in ("Node", "Service"))
        checks = instance.get("Checks") if isinstance(instance, Mapping) else None
        if node is None or service is None or not isinstance(checks, list):
            faults.append(Fault(f"instance[{index}]", abbreviate(instance), "Node, Service and Checks"))
            continue
        uid = f"{node.get('Node')}/{service.get('ID')}"
        host, port = service.get("Address") or node.get("Address"), service.get("Port")
        meta = _object_in(service, "Meta") or {}
        weights = _object_in(service, "Weights") or {}
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
            cell = parse_unsigned(str(meta["cell"]))
            row["cell"] = meta["cell"] if cell is None else cell
        rows.append(row)
        if any(isinstance(check, Mapping) and check.get("Status") in UNHEALTHY_STATUSES for check in checks):
            unhealthy.add(uid)
    nodes, row_faults = check_rows(rows)
    if faults or row_faults:
        return (*faults, *row_faults)
    return nodes, frozenset(unhealthy)


def _object_in(value: object, key: str) -> Mapping[str, Any] | None:
    member = value.get(key) if isinstance(value, Mapping) else None
    return member if isinstance(member, Mapping) else None
