"""The tables of the fleet's configuration, each with its own reader. A subsystem that comes adds one more."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_address, ip_network
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from flintlatch.api import Effect, RequestClass, Scope
from flintlatch.config.reader import Reader, address, shown
from flintlatch.limits.rows import MAX_HOLDERS, LeaseSettings, Limit, PartitionPolicy
from flintlatch.verdicts.rows import EjectionRules

if TYPE_CHECKING:
    from flintlatch.delivery.model import Rules as DeliveryRules

MOST_INSTANCES = 256  # processes on one machine: far beyond its cores, and far below its process table
CONTROL_PATH_MOST = 100  # bytes: a Unix socket's path holds 108, less the suffix it is first made under
MOST_PROXIES = 100_000  # before one set of nodes
CONTROL = "flintlatch.sock"
DAY_S = 86400.0
REGION_MOST = 32  # characters
SERVICE_MOST = 200  # bytes of an object's name in delivery


@dataclass(frozen=True, slots=True)
class FleetTable:
    """[fleet]: who runs, and where it is reached."""

    name: str
    instances: int
    proxies: int  # of all fleets before the same nodes, this one's included
    first: int  # number of this fleet's first instance among those
    listen: tuple[str, ...]  # host:port; port 0 takes a free one
    control: str  # path of the control socket, as written; relative to the file's folder
    log_level: str
    log_format: str  # "text" or "json"
    metrics: str  # host:port of the page for Prometheus; empty: none


@dataclass(frozen=True, slots=True)
class LimitsTable:
    """[limits]: of one instance."""

    sockets: int  # descriptors
    memory_mb: float  # resident; an instance above it is replaced by a new one and drains


@dataclass(frozen=True, slots=True)
class StartTable:
    """[start]: how instances come up, and when one is given up on. Seconds."""

    ready_s: float  # a generation that is not ready after this has failed
    restart_first_s: float  # wait before the first restart after a crash; doubled with each, jittered
    restart_most_s: float
    stable_s: float  # an instance that served for so long is no part of a crash loop
    give_up_after: int  # crashes in a row
    watchdog_s: float  # without a sign of life for so long an instance hangs
    bind_wait_s: float  # how long to wait for an address that a predecessor still holds


@dataclass(frozen=True, slots=True)
class DrainTable:
    """[drain]: how instances end. Seconds."""

    limit_s: float  # from being told to drain to the end of the process
    idle_s: float  # kept connections stay open for so long, each answer then closing one
    hurry_s: float  # the limit after a second TERM or INT
    orphan_s: float  # instances whose supervisor is gone serve on for so long, until a successor does


@dataclass(frozen=True, slots=True)
class StaticNode:
    uid: str
    address: str
    zone: str
    kind: str
    cell: int
    weight: float


@dataclass(frozen=True, slots=True)
class NodesTable:
    """[nodes]: where the list comes from, and the rules that hold for every node."""

    source: str  # "registry", "static", "files", "catalogue" or "delivery"
    registry: str  # host:port
    static: tuple[StaticNode, ...]
    files: tuple[str, ...]  # watched, as written; relative to the configuration's folder, by precedence
    catalogue: str  # URL of a Consul-compatible catalogue
    services: tuple[str, ...]  # of it, by precedence, behind the files
    service: str  # the object that is followed by delivery
    token_file: str  # holds its ACL token; empty: none
    wait_s: float  # of a blocking query
    most_stale_s: float  # an answer from a server out of touch with its leader for longer says nothing
    keep: str  # where the last good versions are kept; empty: nowhere
    most_removed_part: float  # of the active nodes that a file may take away at once without being held
    hold_s: float
    zones: tuple[str, ...]
    zone: str  # the fleet's own
    kinds: tuple[str, ...]
    source_host: str  # address that connections to nodes and registry come from; empty: the system's choice
    connect_timeout_ms: float
    idle_ms: float  # a node closes an idle connection no sooner than this
    cold_ms: float
    start_capacity: float
    fall_multiple: float
    fall_ms: float
    attempts: int
    may_cancel: bool
    max_retry_after_ms: float


@dataclass(frozen=True, slots=True)
class HttpRule:
    """[[http.rule]]: the first that fits gives the class; what is empty fits any request."""

    cls: str
    path: str
    methods: tuple[str, ...]
    host: str
    header: str
    value: str


@dataclass(frozen=True, slots=True)
class HttpTable:
    """[http]: ordinary HTTP in place of the platform's protocol. Bytes, seconds."""

    via: str
    forwarded: str  # "forwarded", "x-forwarded" or "none"
    trusted: tuple[str, ...]  # networks whose word on a request's origin is passed on
    head_bytes: int
    target_bytes: int
    fields: int
    body_bytes: int  # of one request's body
    upload_bytes: int  # of it held at most: the replay cap
    process_bytes: int  # that all bodies of an instance may hold
    node_transfers: int  # bodies on their way to or from one node, through one instance
    node_transfer_bytes: int  # that those may hold; 0: as much as all
    idle_s: float  # without a byte from the side that is waited for
    least_bytes_per_s: float
    window_s: float  # over which that rate is measured
    safe_class: str  # of GET, HEAD and OPTIONS that no rule fits; empty: 404
    other_class: str
    id_header: str
    budget_header: str
    key_header: str
    tenant_header: str
    route_header: str
    rules: tuple[HttpRule, ...]


@dataclass(frozen=True, slots=True)
class AccessLogTable:
    """[access_log]: one line a request."""

    file: str  # as written; relative to the configuration's folder
    paths: str  # "none", "path" or "full"


@dataclass(frozen=True, slots=True)
class PeersTable:
    """[peers]: other fleets that this one knows of. Seconds."""

    name: str  # of this fleet among them
    bind: str  # host:port, for UDP and TCP
    advertise: str  # host:port that others reach it at; empty: what was bound
    seeds: tuple[str, ...]  # host:port of some others, asked at the start and after a long cut
    key_file: str  # as written; relative to the configuration's folder
    region: str
    period_s: float  # between two probes
    ack_s: float  # that a probe's answer is waited for before others are asked
    suspicion: float  # least time under suspicion, in periods, times the tenfolds of members
    sync_s: float  # between two exchanges of whole views
    forget_s: float  # the dead are kept for so long
    hold_s: float  # a number of instances that has fallen is believed in for so long
    word_s: float  # what the instances are told of it holds for so long


@dataclass(frozen=True, slots=True)
class RelayRow:
    name: str
    address: str  # host:port
    region: str
    zone: str


@dataclass(frozen=True, slots=True)
class DeliveryTable:
    """[delivery]: where the nodes of `nodes.source = "delivery"` come from."""

    relays: tuple[RelayRow, ...]
    key_file: str  # as written; relative to the configuration's folder
    name: str  # of this fleet among those that follow
    region: str
    zone: str
    rules: DeliveryRules | None  # None: the usual ones


@dataclass(frozen=True, slots=True)
class TransferOverrides:
    """Of a [[class]]: how its bodies travel by [http]. None: as that table says."""

    upload_s: float  # a request may take so long to be here whole; deadline_ms runs from there
    idle_s: float | None
    least_bytes_per_s: float | None
    upload_bytes: int | None
    body_bytes: int | None


@dataclass(frozen=True, slots=True)
class ClassRow:
    name: str
    request_class: RequestClass
    transfer: TransferOverrides


@dataclass(frozen=True, slots=True)
class TenantRow:
    name: str
    quota_per_s: float


def read_fleet(reader: Reader) -> FleetTable:
    listen = reader.items("listen", 'addresses such as ["127.0.0.1:8080"], at least one', least=1)
    addresses = tuple(address(reader, f"listen[{n}]", value) for n, value in enumerate(listen))
    fixed = [a for a in addresses if not a.endswith(":0")]
    for twice in sorted({a for a in fixed if fixed.count(a) > 1}):
        reader.problem("listen", repr(twice), "each address once")
    control = reader.text("control", CONTROL, "the path of a socket to be made")
    if len(control.encode()) > CONTROL_PATH_MOST:
        reader.problem("control", f"{len(control.encode())} bytes", f"a path of at most {CONTROL_PATH_MOST}")
    instances = reader.whole("instances", 1, MOST_INSTANCES, 1)
    first = reader.whole("first", 0, MOST_PROXIES, 0)
    proxies = reader.whole("proxies", 1, MOST_PROXIES, first + instances)
    if first + instances > proxies:
        reader.problem("proxies", str(proxies), f"at least first + instances, {first + instances}")
    metrics = reader.text("metrics", "", "the address of a page for Prometheus")
    table = FleetTable(
        name=reader.name("name"),
        instances=instances,
        proxies=proxies,
        first=first,
        listen=addresses,
        control=control,
        log_level=reader.choice("log_level", ("error", "warning", "info", "debug"), "info"),
        log_format=reader.choice("log_format", ("text", "json"), "text"),
        metrics=address(reader, "metrics", metrics) if metrics else "",
    )
    reader.done()
    return table


def read_limits(reader: Reader) -> LimitsTable:
    table = LimitsTable(
        sockets=reader.whole("sockets", 64, 1_000_000, 1024),
        memory_mb=reader.number("memory_mb", 32, 1_000_000, 512),
    )
    reader.done()
    return table


def read_start(reader: Reader) -> StartTable:
    table = StartTable(
        ready_s=reader.number("ready_s", 0.5, 600, 30),
        restart_first_s=reader.number("restart_first_s", 0.01, 60, 0.2),
        restart_most_s=reader.number("restart_most_s", 0.01, 600, 10),
        stable_s=reader.number("stable_s", 0.1, 3600, 10),
        give_up_after=reader.whole("give_up_after", 1, 1000, 6),
        watchdog_s=reader.number("watchdog_s", 0.5, 600, 5),
        bind_wait_s=reader.number("bind_wait_s", 0, 60, 5),
    )
    if table.restart_most_s < table.restart_first_s:
        reader.problem("restart_most_s", f"{table.restart_most_s:g}", "at least restart_first_s")
    reader.done()
    return table


def read_drain(reader: Reader) -> DrainTable:
    table = DrainTable(
        limit_s=reader.number("limit_s", 0.1, DAY_S, 30),
        idle_s=reader.number("idle_s", 0, 60, 1),
        hurry_s=reader.number("hurry_s", 0.05, 60, 1),
        orphan_s=reader.number("orphan_s", 0, 600, 5),
    )
    reader.done()
    return table


def read_static_node(reader: Reader) -> StaticNode:
    host = (
        address(reader, "address", reader.text("address"), "127.0.0.1:1") if "address" in reader.table else ""
    )
    if not host:
        reader.text("address", None, 'an address such as "127.0.0.1:9001"')
    elif host.endswith(":0"):
        reader.problem("address", repr(host), "a port from 1 to 65535")
    node = StaticNode(
        uid=reader.name("uid"),
        address=host,
        zone=reader.name("zone", "default"),
        kind=reader.name("kind", "default"),
        cell=reader.whole("cell", 0, 1_000_000, 0),
        weight=reader.number("weight", 0.01, 1e6, 1.0),
    )
    reader.done()
    return node


def unique(reader: Reader, what: str, values: list[str]) -> None:
    for value in sorted({v for v in values if v and values.count(v) > 1}):
        reader.problem(what, repr(value), f"each {what.rpartition('.')[2]} once")


def ip_address_of(reader: Reader, name: str) -> str:
    """An IP address without a port, or nothing."""
    text = reader.text(name, "", 'an IP address such as "10.0.0.1"')
    try:
        return str(ip_address(text)) if text else ""
    except ValueError:
        reader.problem(name, shown(text), 'an IP address such as "10.0.0.1"')
        return ""


def read_nodes(reader: Reader) -> NodesTable:
    source = reader.choice("source", ("registry", "static", "files", "catalogue", "delivery"))
    files = reader.items("files", 'paths such as ["nodes.json"]', least=1 if source == "files" else 0)
    for place, name in enumerate(files):
        if not isinstance(name, str) or not name or files.count(name) > 1:
            reader.problem(f"files[{place}]", repr(name), "a path, each once")
    if files and source not in ("files", "catalogue"):
        reader.problem("files", f"{len(files)} paths", f'none with source = "{source}"')
    catalogue = reader.text(
        "catalogue", None if source == "catalogue" else "", "a URL such as http://127.0.0.1:8500"
    )
    services = reader.items("services", "names of services", least=1 if source == "catalogue" else 0)
    for place, name in enumerate(services):
        if not isinstance(name, str) or not name or services.count(name) > 1:
            reader.problem(f"services[{place}]", repr(name), "a name, each once")
    if catalogue and urlsplit(catalogue).scheme not in ("http", "https"):
        reader.problem("catalogue", repr(catalogue), "a URL that begins with http:// or https://")
    if source != "catalogue" and (catalogue or services):
        reader.problem("catalogue", repr(catalogue or services), f'none with source = "{source}"')
    service = reader.text(
        "service", None if source == "delivery" else "", 'the name of an object such as "service/answers"'
    )
    if len(service.encode()) > SERVICE_MOST:
        reader.problem("service", f"{len(service.encode())} bytes", f"a name of at most {SERVICE_MOST}")
    if service and source != "delivery":
        reader.problem("service", repr(service), f'none with source = "{source}"')
    registry = ""
    static: tuple[StaticNode, ...] = ()
    if source == "registry" or "registry" in reader.table:
        registry = reader.text("registry", None, "the registry's address")
        registry = address(reader, "registry", registry) if registry else ""
    if source == "static" or "static" in reader.table:
        static = tuple(map(read_static_node, reader.subs("static", least=1)))
        unique(reader, "static.uid", [node.uid for node in static])
        unique(reader, "static.address", [node.address for node in static])
    if registry and static:
        reader.problem(
            "static", f"{len(static)} nodes", f'none of "registry" and "static" but source = "{source}"'
        )
    names = reader.items("zones", "a list of names")
    kinds = reader.items("kinds", "a list of names")
    for key, values in (("zones", names), ("kinds", kinds)):
        for place, value in enumerate(values):
            if not isinstance(value, str) or not value:
                reader.problem(f"{key}[{place}]", repr(value), "a name")
    zones = tuple(z for z in names if isinstance(z, str)) or ("default",)
    table = NodesTable(
        source=source,
        registry=registry,
        static=static,
        files=tuple(name for name in files if isinstance(name, str)),
        catalogue=catalogue,
        services=tuple(name for name in services if isinstance(name, str)),
        service=service,
        token_file=reader.text("token_file", ""),
        wait_s=reader.number("wait_s", 1, 600, 30),
        most_stale_s=reader.number("most_stale_s", 0, DAY_S, 10),
        keep=reader.text("keep", ""),
        most_removed_part=reader.number("most_removed_part", 0, 1, 0.5),
        hold_s=reader.number("hold_s", 0, DAY_S, 30),
        zones=zones,
        zone=reader.choice("zone", zones, zones[0]),
        kinds=tuple(k for k in kinds if isinstance(k, str)) or ("default",),
        source_host=ip_address_of(reader, "source_host"),
        connect_timeout_ms=reader.number("connect_timeout_ms", 1, 60_000, 250),
        idle_ms=reader.number("idle_ms", 100, 3_600_000, 15_000),
        cold_ms=reader.number("cold_ms", 0, 3_600_000, 0),
        start_capacity=reader.number("start_capacity", 0.01, 1, 1),
        fall_multiple=reader.number("fall_multiple", 0.1, 100, 2),
        fall_ms=reader.number("fall_ms", 1, 600_000, 1000),
        attempts=reader.whole("attempts", 1, 100, 3),
        may_cancel=reader.flag("may_cancel", True),
        max_retry_after_ms=reader.number("max_retry_after_ms", 0, 3_600_000, 1000),
    )
    reader.done()
    return table


def read_http_rule(reader: Reader, classes: tuple[str, ...]) -> HttpRule:
    methods = reader.items("methods", 'methods such as ["GET"]')
    for place, method in enumerate(methods):
        if not isinstance(method, str) or not method.isascii() or not method.isupper():
            reader.problem(f"methods[{place}]", repr(method), "a method in capitals")
    rule = HttpRule(
        cls=reader.choice("class", classes),
        path=reader.text("path", "*", 'a path such as "/deck/*"'),
        methods=tuple(m for m in methods if isinstance(m, str)),
        host=reader.text("host", "*", 'a host such as "*.example.org"').lower(),
        header=reader.text("header", "-").lower(),
        value=reader.text("value", "-"),
    )
    if ("header" in reader.table) != ("value" in reader.table):
        reader.problem("value", "", "header and value together, or neither")
    if not rule.path.startswith("/") and rule.path != "*":
        reader.problem("path", repr(rule.path), 'a path that starts with "/"')
    reader.done()
    return rule


def read_http(reader: Reader, classes: tuple[str, ...]) -> HttpTable:
    trusted = reader.items("trusted", 'networks such as ["10.0.0.0/8"]')
    for place, network in enumerate(trusted):
        try:
            ip_network(network if isinstance(network, str) else "")
        except ValueError:
            reader.problem(f"trusted[{place}]", repr(network), 'a network such as "10.0.0.0/8"')
    silent = ("", *classes)

    def default(name: str) -> str:
        good = reader.table.get(name, "") in silent
        return reader.choice(name, classes if not good or reader.table.get(name) else silent, "")

    def header(name: str, usual: str) -> str:
        return reader.name(name, usual).lower()

    table = HttpTable(
        via=reader.name("via", "flintlatch"),
        forwarded=reader.choice("forwarded", ("forwarded", "x-forwarded", "none"), "forwarded"),
        trusted=tuple(n for n in trusted if isinstance(n, str)),
        head_bytes=reader.whole("head_bytes", 1024, 1 << 20, 32 * 1024),
        target_bytes=reader.whole("target_bytes", 256, 1 << 20, 8 * 1024),
        fields=reader.whole("fields", 8, 10_000, 128),
        body_bytes=reader.whole("body_bytes", 0, 1 << 50, 1 << 31),
        upload_bytes=reader.whole("upload_bytes", 1024, 1 << 30, 64 * 1024),
        process_bytes=reader.whole("process_bytes", 1 << 20, 1 << 40, 256 << 20),
        node_transfers=reader.whole("node_transfers", 1, 1_000_000, 1000),
        node_transfer_bytes=reader.whole("node_transfer_bytes", 0, 1 << 40, 0),
        idle_s=reader.number("idle_s", 0.1, DAY_S, 30),
        least_bytes_per_s=reader.number("least_bytes_per_s", 0, 1e9, 0),
        window_s=reader.number("window_s", 1, DAY_S, 10),
        safe_class=default("safe_class"),
        other_class=default("other_class"),
        id_header=header("id_header", "x-call-id"),
        budget_header=header("budget_header", "x-budget-ms"),
        key_header=header("key_header", "idempotency-key"),
        tenant_header=header("tenant_header", "x-caller"),
        route_header=header("route_header", "x-route-hash"),
        rules=tuple(read_http_rule(row, classes) for row in reader.subs("rule")),
    )
    if not table.rules and not table.safe_class and not table.other_class:
        reader.problem("rule", "", "a rule, safe_class or other_class: without any, no request is served")
    reader.done()
    return table


def read_access_log(reader: Reader) -> AccessLogTable:
    table = AccessLogTable(
        file=reader.text("file", None, "the path of a file to be written"),
        paths=reader.choice("paths", ("none", "path", "full"), "path"),
    )
    reader.done()
    return table


def read_peers(reader: Reader, fleet: str) -> PeersTable:
    def where(key: str, value: object) -> str:
        found = address(reader, key, value, "127.0.0.1:1")
        if found.endswith(":0"):
            reader.problem(key, repr(found), "a port from 1 to 65535")
        return found

    advertise = reader.text("advertise", "", "the address that others reach this fleet at")
    seeds = reader.items("seeds", 'addresses of other fleets such as ["10.0.0.2:7946"]')
    bind = reader.text("bind", None, 'an address such as "10.0.0.1:7946"')
    table = PeersTable(
        name=reader.name("name", fleet),
        bind=address(reader, "bind", bind) if bind else "127.0.0.1:0",
        advertise=where("advertise", advertise) if advertise else "",
        seeds=tuple(where(f"seeds[{place}]", seed) for place, seed in enumerate(seeds)),
        key_file=reader.text("key_file", None, "the path of a file with the fleets' key"),
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
        reader.problem("ack_s", f"{table.ack_s:g}", f"below period_s, {table.period_s:g}")
    if table.forget_s <= 2 * table.sync_s:
        expected = f"above twice sync_s, {2 * table.sync_s:g}: a late word would bring back the dead"
        reader.problem("forget_s", f"{table.forget_s:g}", expected)
    reader.done()
    return table


def read_relay(reader: Reader) -> RelayRow:
    where = reader.text("address", None, 'an address such as "10.0.0.3:7950"')
    where = address(reader, "address", where, "") if where else ""
    if where.endswith(":0"):
        reader.problem("address", repr(where), "a port from 1 to 65535")
    row = RelayRow(reader.name("name"), where, read_region(reader), reader.text("zone", ""))
    reader.done()
    return row


def read_region(reader: Reader) -> str:
    region = reader.text("region", "")
    if len(region) > REGION_MOST:
        reader.problem("region", shown(region), f"at most {REGION_MOST} characters")
    return region


def read_delivery(
    reader: Reader, fleet: str, zone: str, read_delivery_rules: Callable[[Reader], DeliveryRules | None]
) -> DeliveryTable:
    table = DeliveryTable(
        relays=tuple(map(read_relay, reader.subs("relays", least=1))),
        key_file=reader.text("key_file", None, "the path of a file with the key of delivery"),
        name=reader.name("name", fleet),
        region=read_region(reader),
        zone=reader.text("zone", zone),
        rules=read_delivery_rules(reader.sub("rules")) if "rules" in reader.table else None,
    )
    unique(reader, "relays.name", [relay.name for relay in table.relays])
    unique(reader, "relays.address", [relay.address for relay in table.relays])
    reader.done()
    return table


def read_limit(reader: Reader, tenants: tuple[str, ...], classes: tuple[str, ...]) -> Limit:
    limit = Limit(
        name=reader.name("name"),
        tenant=reader.choice("tenant", ("", *tenants), ""),
        cls=reader.choice("class", ("", *classes), ""),
        per_s=reader.number("per_s", 0.01, 1e9),
        burst=reader.number("burst", 0, 1e9, 0),
        when_cut=PartitionPolicy(reader.choice("when_cut", ("strict", "open"))),
        reserve=reader.number("reserve", 0, 1, 0.02),
    )
    reader.done()
    return limit


def read_keepers(reader: Reader) -> LeaseSettings:
    voters = reader.items("voters", 'names of fleets such as ["a", "b", "c"]')
    for place, name in enumerate(voters):
        if not isinstance(name, str) or not name or voters.count(name) > 1:
            reader.problem(f"voters[{place}]", shown(name), "the name of a fleet, each once")
    terms = LeaseSettings(
        voters=tuple(name for name in voters if isinstance(name, str)),
        fleets=reader.whole("fleets", 1, MAX_HOLDERS, max(len(voters), 1)),
        term_s=reader.number("term_s", 0.2, 60, 2),
        cut_factor=reader.number("cut_factor", 1, 100, 2),
    )
    if len(terms.voters) > terms.fleets:
        reader.problem("fleets", str(terms.fleets), f"at least the {len(terms.voters)} voters")
    reader.done()
    return terms


def read_verdicts(reader: Reader) -> EjectionRules:
    rules = EjectionRules(
        quorum=reader.whole("quorum", 2, 100, 2),
        strikes=reader.whole("strikes", 2, 1000, 4),
        part=reader.number("part", 0, 1, 0.05),
        most_out=reader.number("most_out", 0, 0.5, 0.3),
        itself=reader.number("itself", 0.1, 1, 0.5),
        life_s=reader.number("life_s", 0.2, 60, 2),
    )
    reader.done()
    return rules


def read_transfer(reader: Reader) -> TransferOverrides:
    def number(key: str, least: float, most: float) -> float | None:
        return reader.number(key, least, most, 0.0) if key in reader.table else None

    def whole(key: str, least: int, most: int) -> int | None:
        return reader.whole(key, least, most, 0) if key in reader.table else None

    return TransferOverrides(
        reader.number("upload_s", 0.1, DAY_S, 3600),
        number("idle_s", 0.1, DAY_S),
        number("least_bytes_per_s", 0, 1e9),
        whole("upload_bytes", 1024, 1 << 30),
        whole("body_bytes", 0, 1 << 50),
    )


def read_class(reader: Reader) -> ClassRow:
    effect = Effect(reader.choice("effect", ("safe", "keyed", "unsafe"), "unsafe"))
    window = reader.number("window_ms", 0, 86_400_000, 0)
    if effect is Effect.KEYED and not window:
        reader.problem(
            "window_ms", "0" if "window_ms" in reader.table else "", "how long nodes remember a key"
        )
    if effect is not Effect.KEYED and ("window_ms" in reader.table or "scope" in reader.table):
        reader.problem("effect", f'"{effect.value}"', '"keyed" where window_ms or scope is set')
    row = ClassRow(
        reader.name("name"),
        RequestClass(
            aim_ms=reader.number("aim_ms", 0.1, 600_000),
            deadline_ms=reader.number("deadline_ms", 0.1, 600_000),
            effect=effect,
            scope=Scope(reader.choice("scope", ("all", "zone", "cell"), "all")),
            window_ms=window,
            worth=reader.number("worth", 0, 1e9, 1),
            late_worth=reader.number("late_worth", 0, 1, 0),
            stream=reader.flag("stream", False),
        ),
        read_transfer(reader),
    )
    if row.request_class.deadline_ms < row.request_class.aim_ms:
        reader.problem(
            "deadline_ms",
            f"{row.request_class.deadline_ms:g}",
            f"at least aim_ms, {row.request_class.aim_ms:g}",
        )
    reader.done()
    return row


def read_tenant(reader: Reader) -> TenantRow:
    row = TenantRow(reader.name("name"), reader.number("quota_per_s", 0, 1e9))
    reader.done()
    return row
