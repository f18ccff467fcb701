"""Measurements, one a file: `python -m bench.NAME --seed N`. The last line is the figure."""
