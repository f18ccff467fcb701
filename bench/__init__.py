"""Benchmarks, one per module: `python -m bench.NAME --seed N`. The last line has the result."""
