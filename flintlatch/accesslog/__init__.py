"""The access log: one JSON line per request, written by a thread. Fields: docs/operating/accesslog.md."""

from flintlatch.accesslog.record import VERSION, AttemptRecord, PathDetail, Record, as_fields, logged_path
from flintlatch.accesslog.writer import AccessLog

__all__ = ["VERSION", "AccessLog", "AttemptRecord", "PathDetail", "Record", "as_fields", "logged_path"]
