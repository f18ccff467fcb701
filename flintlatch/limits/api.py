"""What others may call of limits.

A keeper deals out each limit in grants that end; holders (fleets) pass parts on to their instances.
docs/design/ limits.md has the options, the bounds and their proofs.
"""

from flintlatch.limits.holder import LeaseHolder, Part
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
from flintlatch.limits.split import Split, fair

__all__ = [
    "Ask",
    "Grant",
    "Holder",
    "Keeper",
    "Limit",
    "Malformed",
    "Mark",
    "Part",
    "Seat",
    "Split",
    "Terms",
    "Vote",
    "WhenCut",
    "fair",
    "max_admitted",
    "over_s",
    "limit_topics",
]
