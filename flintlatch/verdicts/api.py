"""What others may call of verdicts."""

from flintlatch.verdicts.core import SEEN, Judgement, Verdict, judge
from flintlatch.verdicts.rows import Rules

__all__ = ["SEEN", "Judgement", "Rules", "Verdict", "judge"]
