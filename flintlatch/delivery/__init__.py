"""Scoped, incremental delivery: each proxy holds what it serves, and hears of changes only.

The origin commits objects, relays hold them all, subscribers follow names at a relay of their region.
"""
