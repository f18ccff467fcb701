"""Outlier ejection that all fleets share and that no single observer can cause. The core does no I/O.

`api.py` is the public interface; `rows.py` holds the configuration type and imports no third-party library.
"""
