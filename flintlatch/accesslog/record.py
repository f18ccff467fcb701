"""What is told of one request. No I/O. Fields are only ever added within one version."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple

VERSION = 1  # of the fields; another one when a field goes or changes its meaning
MOST_PATH = 2048  # bytes of a path: a target of the longest kind would make lines that no tool likes


class PathDetail(Enum):
    """How much of a request's target is told: it may hold what nobody should read in a log."""

    NONE = "none"
    PATH = "path"  # without its query
    FULL = "full"


class AttemptRecord(NamedTuple):
    node: str
    result: str  # as flintlatch.api.Result names them
    sent_ms: float  # from the request's arrival
    ms: float  # from there to its end
    ran: bool  # it may have


class Record(NamedTuple):
    t_ms: float  # Unix time of the arrival
    id: str
    cls: str  # empty: refused before it had one
    tenant: str
    method: str
    path: str
    status: int  # 0: the client got none
    ended: str  # who ended it and how, as flintlatch.exchange.Ending names them; or the refusal's reason
    total_ms: float  # to the end, attempts still out included
    first_ms: float | None  # to the first byte of the answer
    whole_ms: float | None  # to the last byte of the request; None: it never came
    up_bytes: int
    down_bytes: int
    attempts: tuple[AttemptRecord, ...]


def as_fields(record: Record, fleet: str, instance: int) -> dict[str, Any]:
    """One line's fields, in the order in which they stand there."""
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
    return shown[:MOST_PATH].decode("latin-1")
