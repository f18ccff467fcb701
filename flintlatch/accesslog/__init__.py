"""The access log: JSON Lines, one a request, written off the loop. Fields: docs/operating/accesslog.md."""

from flintlatch.accesslog.record import VERSION, AttemptRecord, PathDetail, Record, as_fields, logged_path
from flintlatch.accesslog.writer import AccessLog

__all__ = ["VERSION", "AccessLog", "AttemptRecord", "PathDetail", "Record", "as_fields", "logged_path"]
