"""Which nodes there are: versions from several sources, taken whole or not at all."""

from flintlatch.membership.check import MOST_NODES, Fault, check_rows
from flintlatch.membership.core import (
    Action,
    Apply,
    Confirmed,
    Event,
    Failed,
    Health,
    LogWarning,
    Membership,
    MembershipRules,
    Rejected,
    Save,
    TimerExpired,
    Unread,
    VersionHeld,
    VersionOffered,
    VersionRestored,
    WakeAt,
)
from flintlatch.membership.document import InvalidDocument, read_document, write_document
from flintlatch.membership.model import Change, Node, NodeState, Version

__all__ = [
    "MOST_NODES",
    "Action",
    "Apply",
    "Change",
    "Confirmed",
    "Event",
    "Failed",
    "Fault",
    "Health",
    "VersionHeld",
    "Membership",
    "Node",
    "NodeState",
    "VersionOffered",
    "Rejected",
    "VersionRestored",
    "MembershipRules",
    "Save",
    "TimerExpired",
    "Unread",
    "InvalidDocument",
    "Version",
    "WakeAt",
    "LogWarning",
    "check_rows",
    "read_document",
    "write_document",
]
