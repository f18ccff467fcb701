"""Fleet-wide rate limits with a stated upper bound during network partitions. The cores do no I/O.

`api.py` is the public interface; `rows.py` holds the configuration types and imports no third-party library.
"""
