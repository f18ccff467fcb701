"""Operation of one proxy: its admin address, its metrics and draining its clients."""

from flintlatch.ops.figures import StatsdMetrics

__all__ = ["StatsdMetrics"]
