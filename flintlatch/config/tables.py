"""Defines the tables of a fleet's configuration file and the functions that read and check them.

Fields have the names of the keys in the file. A new subsystem adds a table of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_address, ip_network
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from flintlatch.api import Effect, RequestClass, Scope
from flintlatch.config.reader import Reader, check_address, format_value
from flintlatch.limits.rows import MAX_HOLDERS, LeaseSettings, Limit, PartitionPolicy
from flintlatch.verdicts.rows import EjectionRules

if TYPE_CHECKING:
    from flintlatch.delivery.model import Rules as DeliveryRules

MAX_LOCAL_INSTANCES = 256  # far above the cores of a machine, far below its process limit
MAX_CONTROL_PATH_BYTES = 100  # 108 of a Unix socket path, less `.PID` of its temporary path
MAX_PROXIES = 100_000  # instances of all fleets in front of the same nodes
DEFAULT_CONTROL_SOCKET = "flintlatch.sock"
DAY_S = 86400.0
MAX_REGION_CHARS = 32
MAX_OBJECT_NAME_BYTES = 200  # of delivery; equal to the limit in flintlatch.delivery.model


@dataclass(frozen=True, slots=True)
class FleetTable:
    """[fleet]: the instances and the addresses of the fleet."""

    name: str
    instances: int
    proxies: int  # instances of all fleets in front of the same nodes, with this one's
    first: int  # number of this fleet's first instance among them, from 0
    listen: tuple[str, ...]  # host:port; port 0 is replaced by a free one
    control: str  # path of the control socket, unresolved; relative to the configuration's folder
    log_level: str
    log_format: str  # "text" or "json"
    metrics: str  # host:port of the metrics endpoint for Prometheus; empty: none


@dataclass(frozen=True, slots=True)
class InstanceLimitsTable:
    """[limits]: resource limits of one instance."""

    sockets: int  # file descriptors
    memory_mb: float  # resident set; an instance above it drains and is replaced


@dataclass(frozen=True, slots=True)
class StartTable:
    """[start]: start and restart of instances. Times are in seconds."""

    ready_s: float  # timeout until a new generation is ready
    restart_first_s: float  # delay of the first restart after a crash; doubles with each crash, with jitter
    restart_most_s: float  # largest delay
    stable_s: float  # serving for this time ends a series of consecutive crashes
    give_up_after: int  # consecutive crashes after which an instance is not restarted
    watchdog_s: float  # an instance that reports nothing for this time is treated as hung
    bind_wait_s: float  # how long binding is retried while a predecessor still has the address


@dataclass(frozen=True, slots=True)
class DrainTable:
    """[drain]: how instances stop. Times are in seconds."""

    limit_s: float  # from the drain command to the exit of the process
    idle_s: float  # idle connections are closed after this time, others after their next response
    hurry_s: float  # replaces limit_s after a second TERM or INT
    orphan_s: float  # instances without a supervisor serve for this time, or until a successor serves


@dataclass(frozen=True, slots=True)
class StaticNode:
    """[[nodes.static]]: a node that the configuration itself lists."""

    uid: str
    address: str
    zone: str
    kind: str
    cell: int
    weight: float


@dataclass(frozen=True, slots=True)
class NodesTable:
    """[nodes]: the source of the list of nodes, and rules that apply to every node."""

    source: str  # "registry", "static", "files", "catalogue" or "delivery"
    registry: str  # host:port
    static: tuple[StaticNode, ...]
    files: tuple[str, ...]  # paths of watched files, by precedence; relative to the configuration's folder
    catalogue: str  # URL of a Consul-compatible catalogue
    services: tuple[str, ...]  # names in the catalogue, by precedence; after the files
    service: str  # name of the object that delivery subscribes to
    token_file: str  # file with the ACL token of the catalogue; empty: none
    wait_s: float  # duration of a blocking query
    # Longest time without contact to its leader for which the answer of a catalogue server is accepted.
    most_stale_s: float
    keep: str  # file for the last accepted versions; empty: none
    # A version that removes a larger fraction of the active nodes is held for hold_s or until confirmed.
    most_removed_part: float
    hold_s: float
    zones: tuple[str, ...]
    zone: str  # of this fleet
    kinds: tuple[str, ...]
    source_host: str  # local address of connections to nodes and registry; empty: any
    connect_timeout_ms: float
    idle_ms: float  # nodes keep idle connections open for at least this time
    cold_ms: float  # slow start: a node is warm at the latest this long after its start
    start_capacity: float  # least fraction of its capacity that a node starts with
    fall_multiple: float  # a cold node fails if its load exceeds this multiple of its capacity for fall_ms
    fall_ms: float
    attempts: int  # most attempts for one request
    may_cancel: bool
    max_retry_after_ms: float


@dataclass(frozen=True, slots=True)
class HttpRule:
    """[[http.rule]]: the first matching rule determines the class of a request.

    No methods, a path or host of "*" and a header of "-" match any request."""

    cls: str
    path: str
    methods: tuple[str, ...]
    host: str
    header: str
    value: str


@dataclass(frozen=True, slots=True)
class HttpTable:
    """[http]: plain HTTP instead of the platform's protocol."""

    via: str
    forwarded: str  # "forwarded", "x-forwarded" or "none"
    trusted: tuple[str, ...]  # networks whose forwarding headers are passed on
    head_bytes: int
    target_bytes: int
    fields: int  # header fields of one message
    body_bytes: int  # of one request's body
    upload_bytes: int  # buffered of one request's body, so that it can be sent again
    process_bytes: int  # buffered of all bodies of an instance
    node_transfers: int  # bodies in transfer between one node and one instance
    node_transfer_bytes: int  # buffered of those; 0: no limit but process_bytes
    idle_s: float  # timeout for the next byte from the side that is to send
    least_bytes_per_s: float  # lowest rate of a transfer
    window_s: float  # time over which the rate is measured
    safe_class: str  # of GET, HEAD and OPTIONS that match no rule; empty: answered with 404
    other_class: str  # of other methods that match no rule
    id_header: str
    budget_header: str
    key_header: str
    tenant_header: str
    route_header: str
    rules: tuple[HttpRule, ...]


@dataclass(frozen=True, slots=True)
class AccessLogTable:
    """[access_log]: one line for each request."""

    file: str  # path, unresolved; relative to the configuration's folder
    paths: str  # "none", "path" or "full": what is logged of the request target


@dataclass(frozen=True, slots=True)
class PeersTable:
    """[peers]: membership and failure detection among fleets (SWIM). Times are in seconds."""

    name: str  # of this fleet as a member
    bind: str  # host:port, for UDP and TCP
    advertise: str  # host:port under which the others reach it; empty: the bound address
    seeds: tuple[str, ...]  # host:port of some others, contacted at the start and after a long partition
    key_file: str  # path, unresolved; relative to the configuration's folder
    region: str
    period_s: float  # between two probes
    ack_s: float  # timeout of a direct probe, followed by indirect ones
    suspicion: float  # shortest suspicion timeout, in units of period_s * max(1, log10(members))
    sync_s: float  # between two exchanges of full state
    forget_s: float  # how long the records of dead members are kept
    hold_s: float  # delay before a lower count of all fleets' instances takes effect
    word_s: float  # validity of the count that is sent to this fleet's instances


@dataclass(frozen=True, slots=True)
class RelayRow:
    """[[delivery.relays]]: a relay."""

    name: str
    address: str  # host:port
    region: str
    zone: str


@dataclass(frozen=True, slots=True)
class DeliveryTable:
    """[delivery]: the relays that provide the list of nodes if `nodes.source` is "delivery"."""

    relays: tuple[RelayRow, ...]
    key_file: str  # path, unresolved; relative to the configuration's folder
    name: str  # of this fleet as a subscriber
    region: str
    zone: str
    rules: DeliveryRules | None  # None: the defaults


@dataclass(frozen=True, slots=True)
class TransferOverrides:
    """Keys of a [[class]] that replace those of [http] for its bodies; None: the value of [http] applies."""

    upload_s: float  # timeout until a request is complete; only then deadline_ms starts
    idle_s: float | None
    least_bytes_per_s: float | None
    upload_bytes: int | None
    body_bytes: int | None


@dataclass(frozen=True, slots=True)
class ClassRow:
    """[[class]]: a class of requests."""

    name: str
    request_class: RequestClass
    transfer: TransferOverrides


@dataclass(frozen=True, slots=True)
class TenantRow:
    """[[tenant]]: a tenant."""

    name: str
    quota_per_s: float


def read_fleet(reader: Reader) -> FleetTable:
    listen = reader.array("listen", 'addresses such as ["127.0.0.1:8080"], at least one', min_items=1)
    addresses = tuple(check_address(reader, f"listen[{index}]", value) for index, value in enumerate(listen))
    fixed = [host_port for host_port in addresses if not host_port.endswith(":0")]
    for duplicate in sorted({host_port for host_port in fixed if fixed.count(host_port) > 1}):
        reader.add_problem("listen", repr(duplicate), "each address once")
    control = reader.string("control", DEFAULT_CONTROL_SOCKET, "the path of a Unix socket to create")
    if len(control.encode()) > MAX_CONTROL_PATH_BYTES:
        reader.add_problem(
            "control", f"{len(control.encode())} bytes", f"a path of at most {MAX_CONTROL_PATH_BYTES}"
        )
    instances = reader.integer("instances", 1, MAX_LOCAL_INSTANCES, 1)
    first = reader.integer("first", 0, MAX_PROXIES, 0)
    proxies = reader.integer("proxies", 1, MAX_PROXIES, first + instances)
    if first + instances > proxies:
        reader.add_problem("proxies", str(proxies), f"at least first + instances, {first + instances}")
    metrics = reader.string("metrics", "", "the address of the metrics endpoint for Prometheus")
    table = FleetTable(
        name=reader.name("name"),
        instances=instances,
        proxies=proxies,
        first=first,
        listen=addresses,
        control=control,
        log_level=reader.choice("log_level", ("error", "warning", "info", "debug"), "info"),
        log_format=reader.choice("log_format", ("text", "json"), "text"),
        metrics=check_address(reader, "metrics", metrics) if metrics else "",
    )
    reader.reject_unknown_keys()
    return table


def read_instance_limits(reader: Reader) -> InstanceLimitsTable:
    table = InstanceLimitsTable(
        sockets=reader.integer("sockets", 64, 1_000_000, 1024),
        memory_mb=reader.number("memory_mb", 32, 1_000_000, 512),
    )
    reader.reject_unknown_keys()
    return table


def read_start(reader: Reader) -> StartTable:
    table = StartTable(
        ready_s=reader.number("ready_s", 0.5, 600, 30),
        restart_first_s=reader.number("restart_first_s", 0.01, 60, 0.2),
        restart_most_s=reader.number("restart_most_s", 0.01, 600, 10),
        stable_s=reader.number("stable_s", 0.1, 3600, 10),
        give_up_after=reader.integer("give_up_after", 1, 1000, 6),
        watchdog_s=reader.number("watchdog_s", 0.5, 600, 5),
        bind_wait_s=reader.number("bind_wait_s", 0, 60, 5),
    )
    if table.restart_most_s < table.restart_first_s:
        reader.add_problem("restart_most_s", f"{table.restart_most_s:g}", "at least restart_first_s")
    reader.reject_unknown_keys()
    return table


def read_drain(reader: Reader) -> DrainTable:
    table = DrainTable(
        limit_s=reader.number("limit_s", 0.1, DAY_S, 30),
        idle_s=reader.number("idle_s", 0, 60, 1),
        hurry_s=reader.number("hurry_s", 0.05, 60, 1),
        orphan_s=reader.number("orphan_s", 0, 600, 5),
    )
    reader.reject_unknown_keys()
    return table


def read_static_node(reader: Reader) -> StaticNode:
    # A missing address is reported with an example.
    host_port = (
        check_address(reader, "address", reader.string("address"), "127.0.0.1:1")
        if "address" in reader.table
        else ""
    )
    if not host_port:
        reader.string("address", None, 'an address such as "127.0.0.1:9001"')
    elif host_port.endswith(":0"):
        reader.add_problem("address", repr(host_port), "a port from 1 to 65535")
    node = StaticNode(
        uid=reader.name("uid"),
        address=host_port,
        zone=reader.name("zone", "default"),
        kind=reader.name("kind", "default"),
        cell=reader.integer("cell", 0, 1_000_000, 0),
        weight=reader.number("weight", 0.01, 1e6, 1.0),
    )
    reader.reject_unknown_keys()
    return node


def check_unique(reader: Reader, key: str, values: list[str]) -> None:
    """Adds a problem for each value that occurs more than once; empty ones are ignored."""
    for duplicate in sorted({value for value in values if value and values.count(value) > 1}):
        reader.add_problem(key, repr(duplicate), f"each {key.rpartition('.')[2]} once")


def read_ip_address(reader: Reader, key: str) -> str:
    """Reads an optional IP address without a port; empty if the key is missing or invalid."""
    text = reader.string(key, "", 'an IP address such as "10.0.0.1"')
    try:
        return str(ip_address(text)) if text else ""
    except ValueError:
        reader.add_problem(key, format_value(text), 'an IP address such as "10.0.0.1"')
        return ""


def read_nodes(reader: Reader) -> NodesTable:
    source = reader.choice("source", ("registry", "static", "files", "catalogue", "delivery"))
    files = reader.array("files", 'paths such as ["nodes.json"]', min_items=1 if source == "files" else 0)
    for index, name in enumerate(files):
        if not isinstance(name, str) or not name or files.count(name) > 1:
            reader.add_problem(f"files[{index}]", repr(name), "a path, each once")
    if files and source not in ("files", "catalogue"):
        reader.add_problem("files", f"{len(files)} paths", f'none with source = "{source}"')
    catalogue = reader.string(
        "catalogue", None if source == "catalogue" else "", "a URL such as http://127.0.0.1:8500"
    )
    services = reader.array("services", "names of services", min_items=1 if source == "catalogue" else 0)
    for index, name in enumerate(services):
        if not isinstance(name, str) or not name or services.count(name) > 1:
            reader.add_problem(f"services[{index}]", repr(name), "a name, each once")
    if catalogue and urlsplit(catalogue).scheme not in ("http", "https"):
        reader.add_problem("catalogue", repr(catalogue), "a URL that begins with http:// or https://")
    if source != "catalogue" and (catalogue or services):
        reader.add_problem("catalogue", repr(catalogue or services), f'none with source = "{source}"')
    service = reader.string(
        "service", None if source == "delivery" else "", 'the name of an object such as "service/answers"'
    )
    if len(service.encode()) > MAX_OBJECT_NAME_BYTES:
        reader.add_problem(
            "service", f"{len(service.encode())} bytes", f"a name of at most {MAX_OBJECT_NAME_BYTES}"
        )
    if service and source != "delivery":
        reader.add_problem("service", repr(service), f'none with source = "{source}"')
    registry = ""
    static: tuple[StaticNode, ...] = ()
    if source == "registry" or "registry" in reader.table:
        registry = reader.string("registry", None, "the registry's address")
        registry = check_address(reader, "registry", registry) if registry else ""
    if source == "static" or "static" in reader.table:
        static = tuple(map(read_static_node, reader.subtables("static", min_items=1)))
        check_unique(reader, "static.uid", [node.uid for node in static])
        check_unique(reader, "static.address", [node.address for node in static])
    if registry and static:
        reader.add_problem(
            "static",
            f"{len(static)} nodes",
            f'either "registry" or "static", not both, with source = "{source}"',
        )
    zone_names = reader.array("zones", "a list of names")
    kinds = reader.array("kinds", "a list of names")
    for key, values in (("zones", zone_names), ("kinds", kinds)):
        for index, value in enumerate(values):
            if not isinstance(value, str) or not value:
                reader.add_problem(f"{key}[{index}]", repr(value), "a name")
    zones = tuple(zone for zone in zone_names if isinstance(zone, str)) or ("default",)
    table = NodesTable(
        source=source,
        registry=registry,
        static=static,
        files=tuple(name for name in files if isinstance(name, str)),
        catalogue=catalogue,
        services=tuple(name for name in services if isinstance(name, str)),
        service=service,
        token_file=reader.string("token_file", ""),
        wait_s=reader.number("wait_s", 1, 600, 30),
        most_stale_s=reader.number("most_stale_s", 0, DAY_S, 10),
        keep=reader.string("keep", ""),
        most_removed_part=reader.number("most_removed_part", 0, 1, 0.5),
        hold_s=reader.number("hold_s", 0, DAY_S, 30),
        zones=zones,
        zone=reader.choice("zone", zones, zones[0]),
        kinds=tuple(kind for kind in kinds if isinstance(kind, str)) or ("default",),
        source_host=read_ip_address(reader, "source_host"),
        connect_timeout_ms=reader.number("connect_timeout_ms", 1, 60_000, 250),
        idle_ms=reader.number("idle_ms", 100, 3_600_000, 15_000),
        cold_ms=reader.number("cold_ms", 0, 3_600_000, 0),
        start_capacity=reader.number("start_capacity", 0.01, 1, 1),
        fall_multiple=reader.number("fall_multiple", 0.1, 100, 2),
        fall_ms=reader.number("fall_ms", 1, 600_000, 1000),
        attempts=reader.integer("attempts", 1, 100, 3),
        may_cancel=reader.boolean("may_cancel", True),
        max_retry_after_ms=reader.number("max_retry_after_ms", 0, 3_600_000, 1000),
    )
    reader.reject_unknown_keys()
    return table


def read_http_rule(reader: Reader, classes: tuple[str, ...]) -> HttpRule:
    methods = reader.array("methods", 'methods such as ["GET"]')
    for index, method in enumerate(methods):
        if not isinstance(method, str) or not method.isascii() or not method.isupper():
            reader.add_problem(f"methods[{index}]", repr(method), "a method in upper case")
    rule = HttpRule(
        cls=reader.choice("class", classes),
        path=reader.string("path", "*", 'a path such as "/deck/*"'),
        methods=tuple(entry for entry in methods if isinstance(entry, str)),
        host=reader.string("host", "*", 'a host such as "*.example.org"').lower(),
        header=reader.string("header", "-").lower(),
        value=reader.string("value", "-"),
    )
    if ("header" in reader.table) != ("value" in reader.table):
        reader.add_problem("value", "", "header and value together, or neither")
    if not rule.path.startswith("/") and rule.path != "*":
        reader.add_problem("path", repr(rule.path), 'a path that starts with "/"')
    reader.reject_unknown_keys()
    return rule


def read_http(reader: Reader, classes: tuple[str, ...]) -> HttpTable:
    trusted = reader.array("trusted", 'networks such as ["10.0.0.0/8"]')
    for index, network in enumerate(trusted):
        try:
            ip_network(network if isinstance(network, str) else "")
        except ValueError:
            reader.add_problem(f"trusted[{index}]", repr(network), 'a network such as "10.0.0.0/8"')
    optional_classes = ("", *classes)

    def default_class(key: str) -> str:
        # The empty name means no class. It is allowed, but a problem with an invalid value lists only the
        # classes.
        is_valid = reader.table.get(key, "") in optional_classes
        return reader.choice(key, classes if not is_valid or reader.table.get(key) else optional_classes, "")

    def header(key: str, default: str) -> str:
        return reader.name(key, default).lower()

    table = HttpTable(
        via=reader.name("via", "flintlatch"),
        forwarded=reader.choice("forwarded", ("forwarded", "x-forwarded", "none"), "forwarded"),
        trusted=tuple(entry for entry in trusted if isinstance(entry, str)),
        head_bytes=reader.integer("head_bytes", 1024, 1 << 20, 32 * 1024),
        target_bytes=reader.integer("target_bytes", 256, 1 << 20, 8 * 1024),
        fields=reader.integer("fields", 8, 10_000, 128),
        body_bytes=reader.integer("body_bytes", 0, 1 << 50, 1 << 31),
        upload_bytes=reader.integer("upload_bytes", 1024, 1 << 30, 64 * 1024),
        process_bytes=reader.integer("process_bytes", 1 << 20, 1 << 40, 256 << 20),
        node_transfers=reader.integer("node_transfers", 1, 1_000_000, 1000),
        node_transfer_bytes=reader.integer("node_transfer_bytes", 0, 1 << 40, 0),
        idle_s=reader.number("idle_s", 0.1, DAY_S, 30),
        least_bytes_per_s=reader.number("least_bytes_per_s", 0, 1e9, 0),
        window_s=reader.number("window_s", 1, DAY_S, 10),
        safe_class=default_class("safe_class"),
        other_class=default_class("other_class"),
        id_header=header("id_header", "x-call-id"),
        budget_header=header("budget_header", "x-budget-ms"),
        key_header=header("key_header", "idempotency-key"),
        tenant_header=header("tenant_header", "x-caller"),
        route_header=header("route_header", "x-route-hash"),
        rules=tuple(read_http_rule(row, classes) for row in reader.subtables("rule")),
    )
    if not table.rules and not table.safe_class and not table.other_class:
        reader.add_problem("rule", "", "a rule, safe_class or other_class: without any, no request is served")
    reader.reject_unknown_keys()
    return table


def read_access_log(reader: Reader) -> AccessLogTable:
    table = AccessLogTable(
        file=reader.string("file", None, "the path of a file to write"),
        paths=reader.choice("paths", ("none", "path", "full"), "path"),
    )
    reader.reject_unknown_keys()
    return table


def read_peers(reader: Reader, fleet: str) -> PeersTable:
    def connectable_address(key: str, value: object) -> str:
        host_port = check_address(reader, key, value, "127.0.0.1:1")
        if host_port.endswith(":0"):
            reader.add_problem(key, repr(host_port), "a port from 1 to 65535")
        return host_port

    advertise = reader.string("advertise", "", "the address that others reach this fleet at")
    seeds = reader.array("seeds", 'addresses of other fleets such as ["10.0.0.2:7946"]')
    bind = reader.string("bind", None, 'an address such as "10.0.0.1:7946"')
    table = PeersTable(
        name=reader.name("name", fleet),
        bind=check_address(reader, "bind", bind) if bind else "127.0.0.1:0",
        advertise=connectable_address("advertise", advertise) if advertise else "",
        seeds=tuple(connectable_address(f"seeds[{index}]", seed) for index, seed in enumerate(seeds)),
        key_file=reader.string("key_file", None, "the path of a file with the fleets' key"),
        region=read_region(reader),
        period_s=reader.number("period_s", 0.05, 60, 1),
        ack_s=reader.number("ack_s", 0.01, 30, 0.3),
        suspicion=reader.number("suspicion", 0.5, 100, 4),
        sync_s=reader.number("sync_s", 0.5, 3600, 20),
        forget_s=reader.number("forget_s", 1, DAY_S, 120),
        hold_s=reader.number("hold_s", 0.1, DAY_S, 30),
        word_s=reader.number("word_s", 0.2, 600, 3),
    )
    if table.ack_s >= table.period_s:
        reader.add_problem("ack_s", f"{table.ack_s:g}", f"below period_s, {table.period_s:g}")
    if table.forget_s <= 2 * table.sync_s:
        expected = f"above twice sync_s, {2 * table.sync_s:g}: a late record could bring back a dead member"
        reader.add_problem("forget_s", f"{table.forget_s:g}", expected)
    reader.reject_unknown_keys()
    return table


def read_relay(reader: Reader) -> RelayRow:
    host_port = reader.string("address", None, 'an address such as "10.0.0.3:7950"')
    host_port = check_address(reader, "address", host_port, "") if host_port else ""
    if host_port.endswith(":0"):
        reader.add_problem("address", repr(host_port), "a port from 1 to 65535")
    row = RelayRow(reader.name("name"), host_port, read_region(reader), reader.string("zone", ""))
    reader.reject_unknown_keys()
    return row


def read_region(reader: Reader) -> str:
    region = reader.string("region", "")
    if len(region) > MAX_REGION_CHARS:
        reader.add_problem("region", format_value(region), f"at most {MAX_REGION_CHARS} characters")
    return region


def read_delivery(
    reader: Reader, fleet: str, zone: str, read_delivery_rules: Callable[[Reader], DeliveryRules | None]
) -> DeliveryTable:
    """`fleet` and `zone`: the defaults of `name` and `zone`. `read_delivery_rules` is a parameter because its
    module needs packages that a fleet without [delivery.rules] does without."""
    table = DeliveryTable(
        relays=tuple(map(read_relay, reader.subtables("relays", min_items=1))),
        key_file=reader.string("key_file", None, "the path of a file with the key of delivery"),
        name=reader.name("name", fleet),
        region=read_region(reader),
        zone=reader.string("zone", zone),
        rules=read_delivery_rules(reader.subtable("rules")) if "rules" in reader.table else None,
    )
    check_unique(reader, "relays.name", [relay.name for relay in table.relays])
    check_unique(reader, "relays.address", [relay.address for relay in table.relays])
    reader.reject_unknown_keys()
    return table


def read_shared_limit(reader: Reader, tenants: tuple[str, ...], classes: tuple[str, ...]) -> Limit:
    limit = Limit(
        name=reader.name("name"),
        tenant=reader.choice("tenant", ("", *tenants), ""),
        cls=reader.choice("class", ("", *classes), ""),
        per_s=reader.number("per_s", 0.01, 1e9),
        burst=reader.number("burst", 0, 1e9, 0),
        when_cut=PartitionPolicy(reader.choice("when_cut", ("strict", "open"))),
        reserve=reader.number("reserve", 0, 1, 0.02),
    )
    reader.reject_unknown_keys()
    return limit


def read_lease_settings(reader: Reader) -> LeaseSettings:
    voters = reader.array("voters", 'names of fleets such as ["a", "b", "c"]')
    for index, name in enumerate(voters):
        if not isinstance(name, str) or not name or voters.count(name) > 1:
            reader.add_problem(f"voters[{index}]", format_value(name), "the name of a fleet, each once")
    settings = LeaseSettings(
        voters=tuple(name for name in voters if isinstance(name, str)),
        fleets=reader.integer("fleets", 1, MAX_HOLDERS, max(len(voters), 1)),
        term_s=reader.number("term_s", 0.2, 60, 2),
        cut_factor=reader.number("cut_factor", 1, 100, 2),
    )
    if len(settings.voters) > settings.fleets:
        reader.add_problem(
            "fleets", str(settings.fleets), f"at least the number of voters, {len(settings.voters)}"
        )
    reader.reject_unknown_keys()
    return settings


def read_ejection_rules(reader: Reader) -> EjectionRules:
    rules = EjectionRules(
        quorum=reader.integer("quorum", 2, 100, 2),
        strikes=reader.integer("strikes", 2, 1000, 4),
        part=reader.number("part", 0, 1, 0.05),
        most_out=reader.number("most_out", 0, 0.5, 0.3),
        itself=reader.number("itself", 0.1, 1, 0.5),
        life_s=reader.number("life_s", 0.2, 60, 2),
    )
    reader.reject_unknown_keys()
    return rules


def read_transfer(reader: Reader) -> TransferOverrides:
    def optional_number(key: str, low: float, high: float) -> float | None:
        return reader.number(key, low, high, 0.0) if key in reader.table else None

    def optional_integer(key: str, low: int, high: int) -> int | None:
        return reader.integer(key, low, high, 0) if key in reader.table else None

    return TransferOverrides(
        reader.number("upload_s", 0.1, DAY_S, 3600),
        optional_number("idle_s", 0.1, DAY_S),
        optional_number("least_bytes_per_s", 0, 1e9),
        optional_integer("upload_bytes", 1024, 1 << 30),
        optional_integer("body_bytes", 0, 1 << 50),
    )


def read_class(reader: Reader) -> ClassRow:
    effect = Effect(reader.choice("effect", ("safe", "keyed", "unsafe"), "unsafe"))
    window_ms = reader.number("window_ms", 0, 86_400_000, 0)
    if effect is Effect.KEYED and not window_ms:
        reader.add_problem(
            "window_ms",
            "0" if "window_ms" in reader.table else "",
            "how long nodes remember an idempotency key",
        )
    if effect is not Effect.KEYED and ("window_ms" in reader.table or "scope" in reader.table):
        reader.add_problem("effect", f'"{effect.value}"', '"keyed" where window_ms or scope is set')
    row = ClassRow(
        reader.name("name"),
        RequestClass(
            aim_ms=reader.number("aim_ms", 0.1, 600_000),
            deadline_ms=reader.number("deadline_ms", 0.1, 600_000),
            effect=effect,
            scope=Scope(reader.choice("scope", ("all", "zone", "cell"), "all")),
            window_ms=window_ms,
            worth=reader.number("worth", 0, 1e9, 1),
            late_worth=reader.number("late_worth", 0, 1, 0),
            stream=reader.boolean("stream", False),
        ),
        read_transfer(reader),
    )
    if row.request_class.deadline_ms < row.request_class.aim_ms:
        reader.add_problem(
            "deadline_ms",
            f"{row.request_class.deadline_ms:g}",
            f"at least aim_ms, {row.request_class.aim_ms:g}",
        )
    reader.reject_unknown_keys()
    return row


def read_tenant(reader: Reader) -> TenantRow:
    row = TenantRow(reader.name("name"), reader.number("quota_per_s", 0, 1e9))
    reader.reject_unknown_keys()
    return row
