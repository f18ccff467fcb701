"""Limits that hold for the whole fleet, with a stated bound when links fail. Cores without I/O.

`api.py` says what others may call; `rows.py` is what the configuration needs, without any library.
"""
