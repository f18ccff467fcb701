"""Classifies HTTP requests for the decision module: class, tenant, key, budget and id.

The first matching rule determines the class. A request that no rule matches gets the class for safe methods
(GET, HEAD and OPTIONS; RFC 9110 section 9.2.1) or the class for all other methods.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from zlib import crc32

from flintlatch.api import Effect, RequestClass
from flintlatch.exchange import RoutingInfo
from flintlatch.http.framing import HttpError, field_values
from flintlatch.http.head import RequestHead

SAFE_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS"))
ID_VALUE = re.compile(rb"[!-~]{1,128}")
KEY_VALUE = re.compile(rb"[!-~]{1,256}")
BUDGET_VALUE = re.compile(rb"[0-9]{1,9}")


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule matches a request that meets all its conditions; an empty condition matches every request."""

    cls: int
    path: bytes = b""  # a prefix if it ends with "*"
    methods: frozenset[bytes] = frozenset()
    host: bytes = b""  # without port, in lower case; "*.example.org" matches all hosts below example.org
    header: tuple[bytes, bytes] = (b"", b"")  # name in lower case, and the required value

    def matches(self, head: RequestHead, path: bytes) -> bool:
        if self.methods and head.method not in self.methods:
            return False
        if self.path.endswith(b"*"):
            if not path.startswith(self.path[:-1]):
                return False
        elif self.path and path != self.path:
            return False
        if self.host and not host_matches(self.host, head.host):
            return False
        name, value = self.header
        return not name or value in field_values(head.fields, name)


def host_matches(pattern: bytes, host: bytes) -> bool:
    name = host.lower()
    if not name.startswith(b"["):
        name = name.partition(b":")[0].rstrip(b".")
    if pattern.startswith(b"*."):
        return name.endswith(pattern[1:]) and len(name) > len(pattern) - 1
    return name == pattern


@dataclass(frozen=True, slots=True)
class RoutingHeaders:
    """Names of the fields that carry properties of a request, in lower case; an empty one is not read."""

    id: bytes = b"x-call-id"
    budget: bytes = b"x-budget-ms"
    key: bytes = b"idempotency-key"
    tenant: bytes = b"x-caller"
    route: bytes = b"x-route-hash"


class RoutingRules:
    def __init__(
        self,
        classes: Sequence[RequestClass],
        rules: Sequence[Rule],
        tenants: dict[bytes, int],
        names: RoutingHeaders,
        make_id: Callable[[], bytes],
        safe_class: int | None = None,
        other_class: int | None = None,
    ) -> None:
        """`safe_class` and `other_class`: for requests that no rule matches, by method. If the class is None,
        such a request is answered 404. `make_id` generates an id for a request without one."""
        self.classes, self.rules, self.tenants = tuple(classes), tuple(rules), dict(tenants)
        self.names, self.make_id = names, make_id
        self.safe_class, self.other_class = safe_class, other_class

    def routing_of(self, head: RequestHead) -> RoutingInfo:
        """The properties of a request for the decision module. Raises HttpError with 400 or 404."""
        cls = self._match_class(head)
        spec = self.classes[cls]
        if spec.effect is Effect.KEYED and not self._single_value(head, self.names.key, KEY_VALUE):
            raise HttpError(400, f"{self.names.key.decode()} is missing")
        route = self._single_value(head, self.names.route, KEY_VALUE)
        budget = self._single_value(head, self.names.budget, BUDGET_VALUE)
        if budget and int(budget) == 0:
            raise HttpError(400, f"{self.names.budget.decode()}: 0")
        return RoutingInfo(
            (self._single_value(head, self.names.id, ID_VALUE) or self.make_id()).decode(),
            cls,
            self._tenant(head),
            crc32(route) if route else None,
            # The client's budget, limited by the deadline of the class.
            min(float(budget), spec.deadline_ms) if budget else spec.deadline_ms,
            bool(budget),
        )

    def _match_class(self, head: RequestHead) -> int:
        path = head.target.partition(b"?")[0]
        for rule in self.rules:
            if rule.matches(head, path):
                return rule.cls
        default_class = self.safe_class if head.method in SAFE_METHODS else self.other_class
        if default_class is None:
            raise HttpError(404, "no rule fits")
        return default_class

    def _single_value(self, head: RequestHead, name: bytes, pattern: re.Pattern[bytes]) -> bytes:
        """The single value of a field; empty if the field is absent or not configured. Raises HttpError with
        400 for several values or a value that does not match `pattern`."""
        found = field_values(head.fields, name) if name else []
        if len(found) > 1:
            raise HttpError(400, f"{name.decode()} more than once")
        if found and pattern.fullmatch(found[0]) is None:
            raise HttpError(400, f"{name.decode()}: {found[0][:40]!r}")
        return found[0] if found else b""

    def _tenant(self, head: RequestHead) -> int:
        if not self.tenants:
            return 0
        tenant = self.tenants.get(self._single_value(head, self.names.tenant, KEY_VALUE))
        if tenant is None:
            raise HttpError(400, f"{self.names.tenant.decode()} names no tenant")
        return tenant
