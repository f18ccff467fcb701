"""From an ordinary request to what the decision module must know of it: class, tenant, key, budget and id.

The first rule that fits gives the class. Where the configuration is default_class GET, HEAD and OPTIONS are safe,
and everything else is unsafe (RFC 9110 section 9.2.1).
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
    """Fits a request that has all of what is named; what is empty fits any."""

    cls: int
    path: bytes = b""  # with "*" at its end a prefix
    methods: frozenset[bytes] = frozenset()
    host: bytes = b""  # without the port, in lower case; "*.example.org" fits one label or more before it
    header: tuple[bytes, bytes] = (b"", b"")  # name in lower case, and the value that it must have

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
    """Fields by which a client may say more, in lower case; an empty one is not read."""

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
        """`safe_class` and `other_class` take what no rule fits, by method; None answers it 404."""
        self.classes, self.rules, self.tenants = tuple(classes), tuple(rules), dict(tenants)
        self.names, self.make_id = names, make_id
        self.safe_class, self.other_class = safe_class, other_class

    def read(self, head: RequestHead) -> RoutingInfo:
        """Raises HttpError with 400 or 404."""
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
            # What the client gives, and never more than the class does.
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
        """The field's one value; empty if it is not there or not read."""
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
