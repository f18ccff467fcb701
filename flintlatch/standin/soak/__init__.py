"""A soak of the platform's program: real processes under faults from a seed, decided by an outside audit."""

from flintlatch.standin.soak.run import Report, SoakRun
from flintlatch.standin.soak.schedule import Family, Schedule

__all__ = ["Family", "Report", "Schedule", "SoakRun"]
