"""Public interface of the verdicts package: shared outlier detection."""

from flintlatch.verdicts.core import EjectedServer, EjectionDecision, decide_ejections, observation_topic
from flintlatch.verdicts.rows import EjectionRules

__all__ = [
    "EjectedServer",
    "EjectionDecision",
    "EjectionRules",
    "decide_ejections",
    "observation_topic",
]
