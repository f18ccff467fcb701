"""Provides stand-ins for the environment: nodes, a registry, clients, a service manager, and the ledger.

Only tests, benches and the demo use them; no code that serves requests imports them. All listen on loopback.
"""
