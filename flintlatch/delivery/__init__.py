"""Scoped, incremental delivery: each proxy holds only the objects it serves and receives only their changes.

The origin commits objects, relays hold all of them, and subscribers follow names at a relay of their region.
"""
