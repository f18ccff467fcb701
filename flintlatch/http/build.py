"""From the configuration's [http] table to a front that serves by it."""

from __future__ import annotations

from ipaddress import ip_network
from itertools import count

from flintlatch.config import Config
from flintlatch.config.tables import HttpTable
from flintlatch.http.engine import HttpEngine
from flintlatch.http.fields import Origin
from flintlatch.http.front import HttpFrontend
from flintlatch.http.head import Limits
from flintlatch.http.rules import Names, Rule, Rules
from flintlatch.http.transfer import Pace


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


def build(
    config: Config, table: HttpTable, number: int, seed: int, to_backends: int, to_clients: int, at_once: int
) -> tuple[HttpEngine, HttpFrontend]:
    """One instance's engine and front; `number`: its place in the fleet."""
    engine = HttpEngine(config.settings(number), config.wire(), seed, to_backends, table.process_bytes)
    front = HttpFrontend(
        engine,
        rules_of(config, table, seed),
        to_clients,
        at_once,
        limits=Limits(table.head_bytes, table.target_bytes, table.fields),
        origin=Origin(table.forwarded, tuple(map(ip_network, table.trusted)), table.via.encode()),
        pace=Pace(table.idle_s, table.least_bytes_per_s, table.window_s),
        upload_bytes=table.upload_bytes,
        most_body=table.body_bytes,
    )
    return engine, front
