"""Maintains the list of nodes from versions that sources offer, each accepted or rejected as a whole."""

from flintlatch.membership.check import MAX_NODES, Fault, check_rows
from flintlatch.membership.core import (
    Action,
    Apply,
    Confirmed,
    Event,
    HealthReported,
    InvalidVersionOffered,
    LogWarning,
    Membership,
    MembershipRules,
    Rejected,
    Save,
    SourceFailed,
    TimerExpired,
    VersionHeld,
    VersionOffered,
    VersionRestored,
    WakeAt,
)
from flintlatch.membership.document import InvalidDocument, read_document, write_document
from flintlatch.membership.model import Change, Node, NodeState, Version

__all__ = [
    "MAX_NODES",
    "Action",
    "Apply",
    "Change",
    "Confirmed",
    "Event",
    "Fault",
    "HealthReported",
    "InvalidDocument",
    "InvalidVersionOffered",
    "LogWarning",
    "Membership",
    "MembershipRules",
    "Node",
    "NodeState",
    "Rejected",
    "Save",
    "SourceFailed",
    "TimerExpired",
    "Version",
    "VersionHeld",
    "VersionOffered",
    "VersionRestored",
    "WakeAt",
    "check_rows",
    "read_document",
    "write_document",
]
