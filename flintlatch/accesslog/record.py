"""The records of the access log. No I/O. Within one version, fields are only added."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple

VERSION = 1  # of the set of fields; increases if a field is removed or changes its meaning
MAX_PATH_BYTES = 2048  # longer paths are cut, because many tools can't process very long lines


class PathDetail(Enum):
    """How much of a request's target is logged, because a target may contain confidential data."""

    NONE = "none"
    PATH = "path"  # without the query
    FULL = "full"


class AttemptRecord(NamedTuple):
    node: str
    result: str  # a value of flintlatch.api.Result
    sent_ms: float  # from the arrival of the request to the start of the attempt
    ms: float  # duration of the attempt
    ran: bool  # the node may have executed the request


class Record(NamedTuple):
    t_ms: float  # Unix time of the arrival
    id: str
    cls: str  # empty: rejected before its class was known
    tenant: str
    method: str
    path: str
    status: int  # 0: the client got no response
    ended: str  # a value of flintlatch.exchange.Ending, or the reason of a rejection
    total_ms: float  # from the arrival to the end, including attempts that end later than the response
    first_ms: float | None  # to the first byte of the response
    whole_ms: float | None  # to the last byte of the request; None: it did not arrive
    up_bytes: int
    down_bytes: int
    attempts: tuple[AttemptRecord, ...]


def as_fields(record: Record, fleet: str, instance: int) -> dict[str, Any]:
    """The fields of one line, in their order."""
    return {
        "v": VERSION,
        "t": round(record.t_ms / 1000, 4),
        "fleet": fleet,
        "instance": instance,
        "id": record.id,
        "class": record.cls,
        "tenant": record.tenant,
        "method": record.method,
        "path": record.path,
        "status": record.status,
        "ended": record.ended,
        "total_ms": round(record.total_ms, 2),
        "first_ms": None if record.first_ms is None else round(record.first_ms, 2),
        "whole_ms": None if record.whole_ms is None else round(record.whole_ms, 2),
        "up_bytes": record.up_bytes,
        "down_bytes": record.down_bytes,
        "attempts": [
            {
                "node": attempt.node,
                "result": attempt.result,
                "sent_ms": round(attempt.sent_ms, 2),
                "ms": round(attempt.ms, 2),
                "ran": attempt.ran,
            }
            for attempt in record.attempts
        ],
    }


def logged_path(target: bytes, paths: PathDetail) -> str:
    if paths is PathDetail.NONE:
        return ""
    shown = target.partition(b"?")[0] if paths is PathDetail.PATH else target
    return shown[:MAX_PATH_BYTES].decode("latin-1")
