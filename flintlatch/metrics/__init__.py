"""Prometheus metrics of a fleet: counted by the instances, added up and served by the supervisor."""

from flintlatch.metrics.counts import BUCKET_BOUNDS_S, Counts, Totals

__all__ = ["BUCKET_BOUNDS_S", "Counts", "Totals"]
