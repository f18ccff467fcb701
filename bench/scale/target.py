"""The fleet ahead, as the operators gave it, and what follows from those figures alone."""

from __future__ import annotations

PROXIES = 2_200
BACKENDS = 200_000
SERVICES = 11_000
REQUESTS_PER_S = 1_500_000.0
ROUTES = 52_000
TENANTS = 390_000
REGIONS = 5
ZONES = 50  # "10 zones" is read as ten in each region, the harder way: ten times the zone losses, small zones
CHANGES_PER_DAY = 15_000  # of configuration
FAILURES_PER_DAY = 900
RESTARTS_PER_DAY = 14_000
CONTROL_MACHINES = 53

# Allowed
ADDED_MS = 1.4  # to a request, for 99 of 100
IN_FORCE_S = 13.0
CORE = 0.036  # of one, a proxy's control
MEMORY = 128e6  # bytes; MB are taken as 10^6, the harder way
BYTES_PER_S = 21e3

REQUESTS_A_PROXY = REQUESTS_PER_S / PROXIES
A_SERVICE = BACKENDS / SERVICES  # backends
CHANGES_PER_S = (CHANGES_PER_DAY + FAILURES_PER_DAY + RESTARTS_PER_DAY) / 86_400
LIST_BYTES = 60  # of one backend, assumed as the operators do

# Services to proxies (shuffle sharding): chosen on the page, with what it costs.
FOLLOWED = 200  # services a proxy
CARRIERS = FOLLOWED * PROXIES // SERVICES  # proxies a service
OWN_BACKENDS = FOLLOWED * A_SERVICE
OWN_TENANTS = 2_000  # rows that a proxy holds: those whose requests it sees; assumed
