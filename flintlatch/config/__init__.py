"""The product's configuration: a TOML file, one checked table for each subsystem. Reads, decides nothing.

`load` gives a `Config` or raises `InvalidConfig` with every problem of the file at once.
"""

from __future__ import annotations

import os
import tomllib
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

from flintlatch.api import LimitAllocation, Settings
from flintlatch.config.reader import InvalidConfig, Problem, Reader
from flintlatch.config.tables import (
    CONTROL,
    AccessLogTable,
    ClassRow,
    DeliveryTable,
    DrainTable,
    FleetTable,
    HttpTable,
    LimitsTable,
    NodesTable,
    PeersTable,
    StartTable,
    TenantRow,
    read_access_log,
    read_class,
    read_delivery,
    read_drain,
    read_fleet,
    read_http,
    read_keepers,
    read_limit,
    read_limits,
    read_nodes,
    read_peers,
    read_start,
    read_tenant,
    read_verdicts,
    unique,
)
from flintlatch.limits.rows import MAX_LIMITS, LeaseSettings, Limit, PartitionPolicy
from flintlatch.settings import SocketSettings
from flintlatch.verdicts.rows import EjectionRules

if TYPE_CHECKING:
    from flintlatch.delivery.model import Rules as DeliveryRules

__all__ = [
    "Config",
    "Problem",
    "InvalidConfig",
    "resolve_config_path",
    "find_control_socket",
    "load",
    "parse",
    "read_file",
]

MOST_BYTES = 4 * 1024 * 1024  # of a file: tens of thousands of static nodes; more is not a configuration
DRAIN_SPARE_S = 1.0  # s of a drain beyond the idle time and the longest deadline, for the end itself


@dataclass(frozen=True, slots=True)
class Config:
    """A whole configuration, checked. `text` and `path` are what it was read from."""

    path: str
    text: str
    fleet: FleetTable
    limits: LimitsTable
    start: StartTable
    drain: DrainTable
    nodes: NodesTable
    classes: tuple[ClassRow, ...]
    tenants: tuple[TenantRow, ...]
    http: HttpTable | None  # None: the platform's protocol
    access_log: AccessLogTable | None
    peers: PeersTable | None  # None: this fleet knows of no other
    delivery: DeliveryTable | None  # None: nothing is followed
    ejection_rules: EjectionRules | None  # None: each judges servers by itself
    shared_limits: tuple[Limit, ...]  # limits of all fleets together
    lease_settings: LeaseSettings

    @property
    def control_path(self) -> str:
        return resolve_config_path(self.path, self.fleet.control)

    def settings(self, number: int) -> Settings:
        """The decision module's settings for instance `number` of `fleet.instances`, counted from 0.

        The list is pushed to it, so it never asks; RFC 9110 section 10.2.3 gives Retry-After to all."""
        nodes = self.nodes
        return Settings(
            classes=tuple(row.request_class for row in self.classes),
            proxies=self.fleet.proxies,
            me=self.fleet.first + number,
            zone=nodes.zones.index(nodes.zone),
            zones=1,
            quotas=tuple(row.quota_per_s for row in self.tenants),
            ask_for_list=False,
            may_cancel=nodes.may_cancel,
            retry_after=True,
            max_retry_after_ms=nodes.max_retry_after_ms,
            max_attempts=nodes.attempts,
            start_capacity=nodes.start_capacity,
            cold_ms=nodes.cold_ms,
            fall_multiple=nodes.fall_multiple,
            fall_ms=nodes.fall_ms,
        )

    def fallback_allocations(self) -> tuple[LimitAllocation, ...]:
        """Of each shared limit what one instance may use while nobody says anything."""
        classes = [row.name for row in self.classes]
        tenants = [row.name for row in self.tenants]
        parts = []
        for row in self.shared_limits:
            part = row.fallback_per_s(self.lease_settings) / self.fleet.instances
            cls = classes.index(row.cls) if row.cls else -1
            tenant = tenants.index(row.tenant) if row.tenant else -1
            parts.append(LimitAllocation(row.name, cls, tenant, part, row.burst * part / row.per_s))
        return tuple(parts)

    def socket_settings(self) -> SocketSettings:
        """The names on the sockets; new ones among the nodes get the next numbers."""
        return SocketSettings(
            classes={row.name: place for place, row in enumerate(self.classes)},
            tenants={row.name: place for place, row in enumerate(self.tenants)},
            zones={name: place for place, name in enumerate(self.nodes.zones)},
            kinds={name: place for place, name in enumerate(self.nodes.kinds)},
            connect_timeout_ms=self.nodes.connect_timeout_ms,
            conn_idle_ms=self.nodes.idle_ms,
            source_host=self.nodes.source_host,
        )


def resolve_config_path(path: str, name: str) -> str:
    return os.path.join(os.path.dirname(os.path.abspath(path)), name)


def find_control_socket(path: str) -> str:
    """Where the control socket of a fleet with this configuration is, whatever else is wrong in the file:
    a running one must be reached to hear why it refused it. InvalidConfig if the file does not tell."""
    try:
        raw = tomllib.loads(read_file(path))
    except tomllib.TOMLDecodeError as error:
        raise InvalidConfig([Problem(path, "file", str(error), "TOML, or the socket by --control")]) from None
    table = raw.get("fleet")
    name = table.get("control", CONTROL) if isinstance(table, dict) else CONTROL
    return resolve_config_path(path, name if isinstance(name, str) and name else CONTROL)


def read_file(path: str) -> str:
    """The text at `path`; InvalidConfig if it can't be read."""
    try:
        with open(path, "rb") as file:
            raw = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise InvalidConfig(
            [Problem(path, "file", error.strerror or str(error), "a file that can be read")]
        ) from None
    if len(raw) > MOST_BYTES:
        raise InvalidConfig([Problem(path, "file", "a larger one", f"at most {MOST_BYTES} bytes")])
    try:
        return raw.decode()
    except UnicodeDecodeError as error:
        raise InvalidConfig(
            [Problem(path, "file", f"byte {error.start} that is no UTF-8", "UTF-8 text")]
        ) from None


def parse(text: str, path: str) -> Config:
    """A configuration from its text; `path` names it in problems and is where relative paths start."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidConfig(
            [Problem(path, "file", str(error), "TOML (https://toml.io, version 1.0)")]
        ) from None
    problems: list[Problem] = []
    top = Reader(path, "", raw, problems)
    config = Config(
        path=path,
        text=text,
        fleet=read_fleet(top.sub("fleet")),
        limits=read_limits(top.sub("limits")),
        start=read_start(top.sub("start")),
        drain=read_drain(top.sub("drain")),
        nodes=read_nodes(top.sub("nodes")),
        classes=tuple(map(read_class, top.subs("class", least=1))),
        tenants=tuple(map(read_tenant, top.subs("tenant"))),
        http=None,
        access_log=read_access_log(top.sub("access_log")) if "access_log" in raw else None,
        peers=None,
        delivery=None,
        ejection_rules=read_verdicts(top.sub("verdicts")) if "verdicts" in raw else None,
        shared_limits=(),
        lease_settings=read_keepers(top.sub("keepers")),
    )
    tenants, classes = (tuple(row.name for row in rows) for rows in (config.tenants, config.classes))
    shared = tuple(read_limit(row, tenants, classes) for row in top.subs("limit"))
    config = replace(config, shared_limits=shared)
    if config.ejection_rules is not None and "peers" not in raw:
        top.problem("verdicts", "a table", "a [peers] table: they are shared with other fleets")
    if len(shared) > MAX_LIMITS:
        top.problem("limit", f"{len(shared)} rows", f"at most {MAX_LIMITS}")
    if shared and "peers" not in raw:
        top.problem("limit", f"{len(shared)} rows", "a [peers] table: they hold for several fleets")
    if any(row.when_cut is PartitionPolicy.STRICT for row in shared) and not config.lease_settings.voters:
        top.problem("keepers.voters", "", 'the fleets that vote, where a limit is "strict"')
    if "peers" in raw:
        config = replace(config, peers=read_peers(top.sub("peers"), config.fleet.name))
    if "delivery" in raw:
        delivery = read_delivery(top.sub("delivery"), config.fleet.name, config.nodes.zone, delivery_rules)
        config = replace(config, delivery=delivery)
    if ("delivery" in raw) != (config.nodes.source == "delivery"):
        expected = 'a [delivery] table and nodes.source = "delivery" together, or neither'
        top.problem("delivery", "a table" if "delivery" in raw else "", expected)
    if "http" in raw:
        names = tuple(row.name for row in config.classes) or ("",)
        config = replace(config, http=read_http(top.sub("http"), names))
    unique(top, "class.name", [row.name for row in config.classes])
    unique(top, "tenant.name", [row.name for row in config.tenants])
    unique(top, "limit.name", [row.name for row in config.shared_limits])
    top.done()
    if config.classes and not any(row.request_class.worth > 0 for row in config.classes):
        top.problem("class.worth", "0 in every class", "a class that is worth something")
    longest = max((row.request_class.deadline_ms for row in config.classes), default=0) / 1000
    least = config.drain.idle_s + longest + DRAIN_SPARE_S
    if config.drain.limit_s < least:
        expected = f"at least {least:g}: idle_s, the longest deadline and {DRAIN_SPARE_S:g} s to end in"
        top.problem("drain.limit_s", f"{config.drain.limit_s:g}", expected)
    if problems:
        raise InvalidConfig(problems)
    return config


def delivery_rules(reader: Reader) -> DeliveryRules | None:
    """[delivery.rules], which are also those of the processes that deliver."""
    try:
        from flintlatch.config.delivery import read_delivery_rules  # only where it is wanted
    except ImportError as error:
        reader.problem("", "a table", f"{error.name} installed: pip install flintlatch[peers]")
        return None
    return read_delivery_rules(reader)


def load(path: str | Path) -> Config:
    """Read and check the file at `path`."""
    return parse(read_file(str(path)), str(path))
