"""Verdicts that the whole fleet shares, and that no single voice can make. A core without I/O.

`api.py` says what others may call; `rows.py` is what the configuration needs, without any library.
"""
