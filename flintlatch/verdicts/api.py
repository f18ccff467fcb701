"""What others may call of verdicts."""

from flintlatch.verdicts.core import Ejection, EjectionDecision, judge, observation_topic
from flintlatch.verdicts.rows import Rules

__all__ = ["SEEN", "Judgement", "Rules", "Verdict", "judge"]
