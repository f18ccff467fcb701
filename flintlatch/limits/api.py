"""Public interface of the limits package.

A lessor distributes each limit by leases that expire; lease holders (fleets) allocate their lease to their
instances. docs/design/limits.md has the alternatives, the bounds and their proofs.
"""

from flintlatch.limits.holder import InstanceAllocation, LeaseHolder
from flintlatch.limits.keeper import Lessor
from flintlatch.limits.model import (
    Lease,
    LeaseRequest,
    LeaseVersion,
    Malformed,
    Vote,
    limit_topics,
    max_admitted,
    term_validity_s,
)
from flintlatch.limits.rows import LeaseSettings, Limit, PartitionPolicy
from flintlatch.limits.seat import Leadership
from flintlatch.limits.split import LeaseLedger, max_min_fair

__all__ = [
    "InstanceAllocation",
    "Leadership",
    "Lease",
    "LeaseHolder",
    "LeaseLedger",
    "LeaseRequest",
    "LeaseSettings",
    "LeaseVersion",
    "Lessor",
    "Limit",
    "Malformed",
    "PartitionPolicy",
    "Vote",
    "limit_topics",
    "max_admitted",
    "max_min_fair",
    "term_validity_s",
]
