"""From the configuration's [http] table to a front that serves by it."""

from __future__ import annotations

from dataclasses import replace
from ipaddress import ip_network
from itertools import count

from flintlatch.config import Config
from flintlatch.config.tables import HttpTable, TransferRow
from flintlatch.exchange import ExchangeLimits, ProgressLimits
from flintlatch.http.fields import Origin
from flintlatch.http.front import HttpFrontend
from flintlatch.http.head import Limits
from flintlatch.http.node import NodeConnection
from flintlatch.http.rules import Names, Rule, Rules
from flintlatch.http.sockets import READ_BYTES, RESPONSE_BUFFER_BYTES
from flintlatch.net.relay import RelayEngine

TRANSFER_PART = 0.9  # of connections to nodes and of the bodies' memory that transfers known as such may take


def rules_of(config: Config, table: HttpTable, seed: int) -> Rules:
    """`seed` begins the ids that are made, so that no two instances make the same."""
    places = {row.name: place for place, row in enumerate(config.classes)}
    numbers = count(1)
    rules = [
        Rule(
            places[rule.cls],
            b"" if rule.path == "*" else rule.path.encode(),
            frozenset(method.encode() for method in rule.methods),
            b"" if rule.host == "*" else rule.host.encode(),
            (b"", b"") if rule.header == "-" else (rule.header.encode(), rule.value.encode()),
        )
        for rule in table.rules
    ]
    names = Names(
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
    return Rules(
        [row.spec for row in config.classes],
        rules,
        {row.name.encode(): place for place, row in enumerate(config.tenants)},
        names,
        lambda: b"%x-%x" % (seed, next(numbers)),
        places.get(table.safe_class),
        places.get(table.other_class),
    )


def terms_of(config: Config, table: HttpTable) -> tuple[ExchangeLimits, ...]:
    """By class: its own where it has any, else the table's."""

    def of(own: TransferRow) -> ExchangeLimits:
        idle_s = table.idle_s if own.idle_s is None else own.idle_s
        rate = table.least_bytes_per_s if own.least_bytes_per_s is None else own.least_bytes_per_s
        return ExchangeLimits(
            ProgressLimits(idle_s, rate, table.window_s),
            own.upload_s * 1000,
            table.upload_bytes if own.upload_bytes is None else own.upload_bytes,
            RESPONSE_BUFFER_BYTES,
            table.body_bytes if own.body_bytes is None else own.body_bytes,
            READ_BYTES,
        )

    return tuple(of(row.transfer) for row in config.classes)


def build(
    config: Config, table: HttpTable, number: int, seed: int, to_backends: int, to_clients: int, at_once: int
) -> tuple[RelayEngine, HttpFrontend]:
    """One instance's engine and front; `number`: its place in the fleet."""
    limits = Limits(table.head_bytes, table.target_bytes, table.fields)
    settings = replace(
        config.settings(number),
        refuse_unsent=True,
        node_transfers=table.node_transfers,
        node_transfer_bytes=table.node_transfer_bytes or 1 << 60,
        # The rest is for requests that are no transfers, or are not known to be any.
        all_transfers=max(1, int(to_backends * TRANSFER_PART)),
        all_transfer_bytes=int(table.process_bytes * TRANSFER_PART),
    )
    engine = RelayEngine(
        settings,
        config.wire(),
        seed,
        to_backends,
        table.process_bytes,
        terms_of(config, table),
        lambda pool, backend: NodeConnection(pool, backend, limits),
    )
    front = HttpFrontend(
        engine,
        rules_of(config, table, seed),
        to_clients,
        at_once,
        limits=limits,
        origin=Origin(table.forwarded, tuple(map(ip_network, table.trusted)), table.via.encode()),
    )
    return engine, front
