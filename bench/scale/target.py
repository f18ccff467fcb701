"""The target fleet: the sizes and budgets that the operators gave, and figures derived from them alone."""

from __future__ import annotations

PROXIES = 2_200
BACKENDS = 200_000
SERVICES = 11_000
REQUESTS_PER_S = 1_500_000.0
ROUTES = 52_000
TENANTS = 390_000
REGIONS = 5
ZONES = 50  # the operators' "10 zones" read as 10 in each region: the harder case, with more zone losses
CHANGES_PER_DAY = 15_000  # of the configuration
FAILURES_PER_DAY = 900
RESTARTS_PER_DAY = 14_000
CONTROL_MACHINES = 53

# Budgets
MAX_ADDED_MS = 1.4  # latency added to a request, 99th percentile
MAX_STALENESS_S = 13.0
MAX_CONTROL_CORE_FRACTION = 0.036  # for the control work of a proxy
MAX_CONTROL_MEMORY_BYTES = 128e6  # MB read as 10^6 bytes, the stricter reading
MAX_BYTES_PER_S = 21e3

REQUESTS_PER_PROXY_PER_S = REQUESTS_PER_S / PROXIES
BACKENDS_PER_SERVICE = BACKENDS / SERVICES
CHANGES_PER_S = (CHANGES_PER_DAY + FAILURES_PER_DAY + RESTARTS_PER_DAY) / 86_400
LIST_ENTRY_BYTES = 60  # of one backend; the operators' assumption

# Assignment of services to proxies by shuffle sharding; the capacity page gives its cost.
SERVICES_PER_PROXY = 200
PROXIES_PER_SERVICE = SERVICES_PER_PROXY * PROXIES // SERVICES
BACKENDS_PER_PROXY = SERVICES_PER_PROXY * BACKENDS_PER_SERVICE
TENANTS_PER_PROXY = 2_000  # an assumption: rows of the tenants whose requests a proxy receives
