"""Builds the HTTP front end and its engine from the [http] table of the configuration."""

from __future__ import annotations

from dataclasses import replace
from ipaddress import ip_network
from itertools import count

from flintlatch.config import Config
from flintlatch.config.tables import HttpTable, TransferOverrides
from flintlatch.exchange import ExchangeLimits, ProgressLimits
from flintlatch.http.fields import ForwardingPolicy
from flintlatch.http.front import HttpFrontend
from flintlatch.http.head import HeadLimits
from flintlatch.http.node import NodeConnection
from flintlatch.http.rules import RoutingHeaders, RoutingRules, Rule
from flintlatch.http.sockets import MAX_READ_BYTES, RESPONSE_BUFFER_BYTES
from flintlatch.net.relay import RelayEngine

# Fraction of the connections to nodes and of the memory for bodies that transfers may use. A transfer is a
# request whose body is still arriving or whose response is long.
TRANSFER_FRACTION = 0.9
NO_LIMIT_BYTES = 1 << 60


def routing_rules(config: Config, table: HttpTable, seed: int) -> RoutingRules:
    """The rules that classify requests. `seed`, which is also the random seed of the engine, is the prefix
    of generated request ids; it differs between instances, so that the ids are unique."""
    class_indexes = {row.name: index for index, row in enumerate(config.classes)}
    request_numbers = count(1)
    rules = [
        # An empty path, host or header matches any request.
        Rule(
            class_indexes[rule.cls],
            b"" if rule.path == "*" else rule.path.encode(),
            frozenset(method.encode() for method in rule.methods),
            b"" if rule.host == "*" else rule.host.encode(),
            (b"", b"") if rule.header == "-" else (rule.header.encode(), rule.value.encode()),
        )
        for rule in table.rules
    ]
    headers = RoutingHeaders(
        *(
            name.encode()
            for name in (
                table.id_header,
                table.budget_header,
                table.key_header,
                table.tenant_header,
                table.route_header,
            )
        )
    )
    return RoutingRules(
        [row.request_class for row in config.classes],
        rules,
        {row.name.encode(): index for index, row in enumerate(config.tenants)},
        headers,
        lambda: b"%x-%x" % (seed, next(request_numbers)),
        class_indexes.get(table.safe_class),
        class_indexes.get(table.other_class),
    )


def limits_by_class(config: Config, table: HttpTable) -> tuple[ExchangeLimits, ...]:
    """The limits of each class: its own values where it sets them, else those of the [http] table."""

    def merged(transfer: TransferOverrides) -> ExchangeLimits:
        idle_s = table.idle_s if transfer.idle_s is None else transfer.idle_s
        min_rate = (
            table.least_bytes_per_s if transfer.least_bytes_per_s is None else transfer.least_bytes_per_s
        )
        return ExchangeLimits(
            ProgressLimits(idle_s, min_rate, table.window_s),
            transfer.upload_s * 1000,
            table.upload_bytes if transfer.upload_bytes is None else transfer.upload_bytes,
            RESPONSE_BUFFER_BYTES,
            table.body_bytes if transfer.body_bytes is None else transfer.body_bytes,
            MAX_READ_BYTES,
        )

    return tuple(merged(row.transfer) for row in config.classes)


def build(
    config: Config,
    table: HttpTable,
    instance: int,
    seed: int,
    max_node_connections: int,
    max_clients: int,
    accepts_per_turn: int,
) -> tuple[RelayEngine, HttpFrontend]:
    """Builds the engine and the front end of one instance; `instance`: its index in the fleet."""
    limits = HeadLimits(table.head_bytes, table.target_bytes, table.fields)
    settings = replace(
        config.settings(instance),
        refuse_unsent=True,
        node_transfers=table.node_transfers,
        node_transfer_bytes=table.node_transfer_bytes or NO_LIMIT_BYTES,
        # The rest is reserved for requests that are not transfers, or not known to be transfers.
        all_transfers=max(1, int(max_node_connections * TRANSFER_FRACTION)),
        all_transfer_bytes=int(table.process_bytes * TRANSFER_FRACTION),
    )
    engine = RelayEngine(
        settings,
        config.socket_settings(),
        seed,
        max_node_connections,
        table.process_bytes,
        limits_by_class(config, table),
        lambda pool, backend: NodeConnection(pool, backend, limits),
    )
    front = HttpFrontend(
        engine,
        routing_rules(config, table, seed),
        max_clients,
        accepts_per_turn,
        limits=limits,
        forwarding=ForwardingPolicy(
            table.forwarded, tuple(map(ip_network, table.trusted)), table.via.encode()
        ),
    )
    return engine, front
