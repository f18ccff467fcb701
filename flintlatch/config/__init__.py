"""Reads and checks the configuration of a fleet, a TOML file with a table for each subsystem.

`load` returns a `Config` or raises `InvalidConfig` with all problems of the file.
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
    DEFAULT_CONTROL_SOCKET,
    AccessLogTable,
    ClassRow,
    DeliveryTable,
    DrainTable,
    FleetTable,
    HttpTable,
    InstanceLimitsTable,
    NodesTable,
    PeersTable,
    StartTable,
    TenantRow,
    check_unique,
    read_access_log,
    read_class,
    read_delivery,
    read_drain,
    read_ejection_rules,
    read_fleet,
    read_http,
    read_instance_limits,
    read_lease_settings,
    read_nodes,
    read_peers,
    read_shared_limit,
    read_start,
    read_tenant,
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
    "read_config_file",
]

MAX_CONFIG_BYTES = 4 * 1024 * 1024  # enough for tens of thousands of static nodes
DRAIN_MARGIN_S = 1.0  # for the exit of the process, after the idle time and the longest deadline


@dataclass(frozen=True, slots=True)
class Config:
    """A complete, checked configuration. `text` is the content of the file at `path`."""

    path: str
    text: str
    fleet: FleetTable
    limits: InstanceLimitsTable
    start: StartTable
    drain: DrainTable
    nodes: NodesTable
    classes: tuple[ClassRow, ...]
    tenants: tuple[TenantRow, ...]
    http: HttpTable | None  # None: the platform's protocol is served
    access_log: AccessLogTable | None
    peers: PeersTable | None  # None: without membership of other fleets
    delivery: DeliveryTable | None  # None: no object is subscribed to
    ejection_rules: EjectionRules | None  # None: no shared outlier ejection, only that of each instance
    shared_limits: tuple[Limit, ...]  # enforced for all fleets together
    lease_settings: LeaseSettings

    @property
    def control_path(self) -> str:
        return resolve_config_path(self.path, self.fleet.control)

    def settings(self, instance: int) -> Settings:
        """Returns the decision module's settings for an instance of this fleet, numbered from 0.

        `ask_for_list` is off, since the list of nodes is pushed to the instances. `retry_after` is on, since
        any server may send Retry-After (RFC 9110 section 10.2.3)."""
        nodes = self.nodes
        return Settings(
            classes=tuple(row.request_class for row in self.classes),
            proxies=self.fleet.proxies,
            me=self.fleet.first + instance,
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
        """Returns what an instance may use of each shared limit while its supervisor sends no allocation."""
        classes = [row.name for row in self.classes]
        tenants = [row.name for row in self.tenants]
        allocations = []
        for row in self.shared_limits:
            rate_per_s = row.fallback_per_s(self.lease_settings) / self.fleet.instances
            cls = classes.index(row.cls) if row.cls else -1
            tenant = tenants.index(row.tenant) if row.tenant else -1
            allocations.append(
                LimitAllocation(row.name, cls, tenant, rate_per_s, row.burst * rate_per_s / row.per_s)
            )
        return tuple(allocations)

    def socket_settings(self) -> SocketSettings:
        """Returns the names and timeouts for the sockets.

        Zones and kinds that appear only in the list of nodes get the next free numbers there."""
        return SocketSettings(
            classes={row.name: index for index, row in enumerate(self.classes)},
            tenants={row.name: index for index, row in enumerate(self.tenants)},
            zones={name: index for index, name in enumerate(self.nodes.zones)},
            kinds={name: index for index, name in enumerate(self.nodes.kinds)},
            connect_timeout_ms=self.nodes.connect_timeout_ms,
            conn_idle_ms=self.nodes.idle_ms,
            source_host=self.nodes.source_host,
        )


def resolve_config_path(config_path: str, name: str) -> str:
    """Resolves a path in a configuration relative to the folder of the configuration file."""
    return os.path.join(os.path.dirname(os.path.abspath(config_path)), name)


def find_control_socket(path: str) -> str:
    """Returns the path of the control socket of a fleet with this configuration file.

    Other faults of the file are ignored: a running fleet that rejected the file must stay reachable to tell
    why. Raises InvalidConfig if the file cannot be read or is not TOML."""
    try:
        raw = tomllib.loads(read_config_file(path))
    except tomllib.TOMLDecodeError as error:
        raise InvalidConfig([Problem(path, "file", str(error), "TOML, or the socket by --control")]) from None
    table = raw.get("fleet")
    name = table.get("control", DEFAULT_CONTROL_SOCKET) if isinstance(table, dict) else DEFAULT_CONTROL_SOCKET
    return resolve_config_path(path, name if isinstance(name, str) and name else DEFAULT_CONTROL_SOCKET)


def read_config_file(path: str) -> str:
    """Returns the text at `path`. Raises InvalidConfig if it cannot be read, is too large or not UTF-8."""
    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_CONFIG_BYTES + 1)
    except OSError as error:
        raise InvalidConfig(
            [Problem(path, "file", error.strerror or str(error), "a file that can be read")]
        ) from None
    if len(raw) > MAX_CONFIG_BYTES:
        raise InvalidConfig([Problem(path, "file", "a larger file", f"at most {MAX_CONFIG_BYTES} bytes")])
    try:
        return raw.decode()
    except UnicodeDecodeError as error:
        raise InvalidConfig(
            [Problem(path, "file", f"byte {error.start} that is no UTF-8", "UTF-8 text")]
        ) from None


def parse(text: str, path: str) -> Config:
    """Parses and checks the text of a configuration. `path` names the file in problems; relative paths in the
    text are relative to its folder. Raises InvalidConfig with all problems."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidConfig(
            [Problem(path, "file", str(error), "TOML (https://toml.io, version 1.0)")]
        ) from None
    problems: list[Problem] = []
    root = Reader(path, "", raw, problems)
    config = Config(
        path=path,
        text=text,
        fleet=read_fleet(root.subtable("fleet")),
        limits=read_instance_limits(root.subtable("limits")),
        start=read_start(root.subtable("start")),
        drain=read_drain(root.subtable("drain")),
        nodes=read_nodes(root.subtable("nodes")),
        classes=tuple(map(read_class, root.subtables("class", min_items=1))),
        tenants=tuple(map(read_tenant, root.subtables("tenant"))),
        http=None,
        access_log=read_access_log(root.subtable("access_log")) if "access_log" in raw else None,
        peers=None,
        delivery=None,
        ejection_rules=read_ejection_rules(root.subtable("verdicts")) if "verdicts" in raw else None,
        shared_limits=(),
        lease_settings=read_lease_settings(root.subtable("keepers")),
    )
    tenants, classes = (tuple(row.name for row in rows) for rows in (config.tenants, config.classes))
    shared_limits = tuple(read_shared_limit(row, tenants, classes) for row in root.subtables("limit"))
    config = replace(config, shared_limits=shared_limits)
    if config.ejection_rules is not None and "peers" not in raw:
        root.add_problem("verdicts", "a table", "a [peers] table: verdicts are shared with other fleets")
    if len(shared_limits) > MAX_LIMITS:
        root.add_problem("limit", f"{len(shared_limits)} rows", f"at most {MAX_LIMITS}")
    if shared_limits and "peers" not in raw:
        root.add_problem(
            "limit", f"{len(shared_limits)} rows", "a [peers] table: limits apply to several fleets"
        )
    if (
        any(row.when_cut is PartitionPolicy.STRICT for row in shared_limits)
        and not config.lease_settings.voters
    ):
        root.add_problem("keepers.voters", "", 'the fleets that vote, where a limit is "strict"')
    if "peers" in raw:
        config = replace(config, peers=read_peers(root.subtable("peers"), config.fleet.name))
    if "delivery" in raw:
        delivery = read_delivery(
            root.subtable("delivery"), config.fleet.name, config.nodes.zone, read_optional_delivery_rules
        )
        config = replace(config, delivery=delivery)
    if ("delivery" in raw) != (config.nodes.source == "delivery"):
        expected = 'a [delivery] table and nodes.source = "delivery" together, or neither'
        root.add_problem("delivery", "a table" if "delivery" in raw else "", expected)
    if "http" in raw:
        class_names = tuple(row.name for row in config.classes) or ("",)
        config = replace(config, http=read_http(root.subtable("http"), class_names))
    check_unique(root, "class.name", [row.name for row in config.classes])
    check_unique(root, "tenant.name", [row.name for row in config.tenants])
    check_unique(root, "limit.name", [row.name for row in config.shared_limits])
    root.reject_unknown_keys()
    if config.classes and not any(row.request_class.worth > 0 for row in config.classes):
        root.add_problem("class.worth", "0 in every class", "a class with worth above 0")
    longest_deadline_s = max((row.request_class.deadline_ms for row in config.classes), default=0) / 1000
    min_drain_s = config.drain.idle_s + longest_deadline_s + DRAIN_MARGIN_S
    if config.drain.limit_s < min_drain_s:
        expected = f"at least {min_drain_s:g}: idle_s, the longest deadline and {DRAIN_MARGIN_S:g} s to exit"
        root.add_problem("drain.limit_s", f"{config.drain.limit_s:g}", expected)
    if problems:
        raise InvalidConfig(problems)
    return config


def read_optional_delivery_rules(reader: Reader) -> DeliveryRules | None:
    """Reads [delivery.rules], which origin, relays and followers read too. Its reader needs the packages of
    the extra `peers`: without them it adds a problem and returns None."""
    try:
        from flintlatch.config.delivery import read_delivery_rules  # imported on demand
    except ImportError as error:
        reader.add_problem("", "a table", f"{error.name} installed: pip install flintlatch[peers]")
        return None
    return read_delivery_rules(reader)


def load(path: str | Path) -> Config:
    """Reads and checks the file at `path`. Raises InvalidConfig with all problems."""
    return parse(read_config_file(str(path)), str(path))
