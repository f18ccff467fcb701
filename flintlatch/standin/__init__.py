"""Stand-ins for what lies outside: nodes, a registry, clients, a service manager, and a ledger that checks.

For tests, benches and the demo alone; nothing that serves imports it. Everything listens on loopback.
"""
