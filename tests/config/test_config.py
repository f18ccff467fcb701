"""Tests of the fleet's configuration: values read from valid files, and the problems of invalid ones."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from flintlatch.api import Effect, Scope
from flintlatch.cli import main
from flintlatch.config import InvalidConfig, load, parse
from flintlatch.config.tables import MAX_OBJECT_NAME_BYTES, RelayRow
from flintlatch.delivery.model import MAX_NAME_BYTES, Rules
from flintlatch.standin.rig import toml

EXAMPLE = Path(__file__).parent.parent.parent / "deploy" / "fleet.toml"
STATIC = """
[fleet]
name = "t"
listen = ["[::1]:8080", "127.0.0.1:0", "127.0.0.1:0"]
[drain]
limit_s = 60
[nodes]
source = "static"
zones = ["a", "b"]
zone = "b"
[[nodes.static]]
uid = "n1"
address = "127.0.0.1:9001"
zone = "b"
[[nodes.static]]
uid = "n2"
address = "[::1]:9001"
[[class]]
name = "buy"
aim_ms = 100
deadline_ms = 200
effect = "keyed"
scope = "cell"
window_ms = 5000
[[tenant]]
name = "school"
quota_per_s = 5
"""


def read_problems(text: str) -> list[str]:
    """Parses an invalid configuration and returns the texts of its problems."""
    with pytest.raises(InvalidConfig) as caught:
        parse(text, "f.toml")
    return [str(problem) for problem in caught.value.problems]


def test_example_configuration_is_read_as_written() -> None:
    config = load(EXAMPLE)
    assert (config.fleet.instances, config.nodes.registry) == (4, "127.0.0.1:8500")
    assert [row.name for row in config.classes] == ["answer", "purchase", "grade"]
    settings = config.settings(3)
    settings.check()
    assert (settings.proxies, settings.me, settings.max_attempts) == (4, 3, 3)
    assert config.control_path == str(EXAMPLE.parent / "flintlatch.sock")


def test_reads_static_nodes_classes_and_tenants() -> None:
    config = parse(STATIC, "/etc/f.toml")
    assert [node.zone for node in config.nodes.static] == ["b", "default"]
    request_class = config.classes[0].request_class
    assert (request_class.effect, request_class.scope, request_class.window_ms) == (
        Effect.KEYED,
        Scope.CELL,
        5000,
    )
    assert config.settings(0).zone == 1 and config.settings(0).quotas == (5.0,)
    assert config.socket_settings().tenants == {"school": 0}


def test_reports_all_problems_with_key_found_and_expected_value() -> None:
    text = STATIC.replace('name = "t"', 'name = "t!"\ncolour = 3').replace("aim_ms = 100", 'aim_ms = "x"')
    text = text.replace('zone = "b"\n[[', 'zone = "c"\n[[').replace("window_ms = 5000\n", "")
    assert read_problems(text) == [
        "f.toml: fleet.name: found 't!', expected a name of 1 to 63 letters, digits, '.', '_' or '-'",
        "f.toml: fleet.colour: found 3, expected no such key "
        "(known here: control, first, instances, listen, log_format, log_level, metrics, name, proxies)",
        'f.toml: nodes.zone: found \'c\', expected one of "a", "b"',
        "f.toml: class[0].window_ms: missing, expected how long nodes remember an idempotency key",
        "f.toml: class[0].aim_ms: found 'x', expected a number from 0.1 to 600000",
    ]


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("listen = [", "listen = [3, ", "fleet.listen[0]: found 3, expected an address"),
        ('"[::1]:8080"', '"::1:8080"', "found '::1:8080', expected an address"),
        ('"[::1]:8080"', '"localhost:8080"', "found 'localhost:8080'"),
        ('"[::1]:8080"', '"127.0.0.1:65536"', "found '127.0.0.1:65536'"),
        ('["[::1]:8080"', '["127.0.0.1:80", "127.0.0.1:80"', "expected each address once"),
        ("127.0.0.1:9001", "127.0.0.1:0", "expected a port from 1 to 65535"),
        ('"n2"', '"n1"', "nodes.static.uid: found 'n1', expected each uid once"),
        ("[::1]:9001", "127.0.0.1:9001", "expected each address once"),
        ("deadline_ms = 200", "deadline_ms = 50", "deadline_ms: found 50, expected at least aim_ms, 100"),
        ("deadline_ms = 200", "deadline_ms = 59_500", "drain.limit_s: found 60, expected at least 61.5"),
        ("aim_ms = 100", "aim_ms = nan", "aim_ms: found nan"),
        ("aim_ms = 100", "aim_ms = true", "aim_ms: found true"),
        ('effect = "keyed"', 'effect = "safe"', 'effect: found "safe", expected "keyed" where'),
        (
            "[fleet]",
            "[fleet]\nfirst = 4\nproxies = 4",
            "proxies: found 4, expected at least first + instances, 5",
        ),
        ("[[tenant]]", "[tenant]", "tenant: found a table, expected [[tenant]] tables"),
        ("[drain]", "[drian]", "drian: found a table, expected no such key"),
        ("[fleet]", "fleet = 3\n[x]", "fleet: found 3, expected a table"),
        ("quota_per_s = 5", "quota_per_s = -1", "quota_per_s: found -1"),
        ("[drain]", "[drain", "TOML"),
    ],
)
def test_reports_each_problem(old: str, new: str, message: str) -> None:
    assert old in STATIC
    found = read_problems(STATIC.replace(old, new))
    assert any(message in problem for problem in found), found


def leaf_keys(table: dict[str, Any], path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yields the path of each value of a configuration: keys, and indexes in arrays of tables."""
    for key, value in table.items():
        if isinstance(value, dict):
            yield from leaf_keys(value, (*path, key))
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for index, row in enumerate(value):
                yield from leaf_keys(row, (*path, key, index))
        else:
            yield (*path, key)


def to_toml(table: dict[str, Any], name: str = "") -> str:
    values = [
        f"{value_key} = {toml(content)}"
        for value_key, content in table.items()
        if not isinstance(content, dict) and not is_array_of_tables(content)
    ]
    text = "\n".join(values) + "\n"
    for key, value in table.items():
        full_key = f"{name}.{key}" if name else key
        if isinstance(value, dict):
            text += f"[{full_key}]\n" + to_toml(value, full_key)
        elif is_array_of_tables(value):
            text += "".join(f"[[{full_key}]]\n" + to_toml(row, full_key) for row in value)
    return text


def is_array_of_tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


@pytest.mark.parametrize("source", [EXAMPLE.read_text(), STATIC], ids=["example", "static"])
def test_reports_key_of_each_value_of_a_wrong_type(source: str) -> None:
    assert parse(to_toml(tomllib.loads(source)), "f.toml")
    for path in leaf_keys(tomllib.loads(source)):
        raw: Any = tomllib.loads(source)
        table = raw
        for step in path[:-1]:
            table = table[step]
        table[path[-1]] = [[]]
        found = read_problems(to_toml(raw))
        assert any(
            f"{path[-1]}: found [[]]" in problem or f"{path[-1]}[0]: found []" in problem for problem in found
        ), (path, found)


def test_exit_codes_of_check_and_of_status_without_a_fleet(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["check", str(EXAMPLE)]) == 0
    assert "good: 4 instances, 3 classes, nodes: 127.0.0.1:8500" in capsys.readouterr().out
    bad = tmp_path / "bad.toml"
    bad.write_text("[fleet]\n")
    assert main(["check", str(bad)]) == 2
    assert capsys.readouterr().err.endswith("5 problems\n")
    assert main(["status", str(EXAMPLE)]) == 1
    assert "no fleet runs there" in capsys.readouterr().err


SHARED = """
[peers]
bind = "127.0.0.1:7946"
seeds = ["127.0.0.2:7946"]
key_file = "peers.key"
[[limit]]
name = "school"
tenant = "school"
class = "buy"
per_s = 10
burst = 2
when_cut = "strict"
[keepers]
voters = ["a", "b", "c"]
[verdicts]
"""


def test_reads_shared_limits_with_fallback_allocations() -> None:
    config = parse(STATIC + SHARED, "f.toml")
    assert config.peers is not None and (config.peers.name, config.peers.period_s) == ("t", 1.0)
    assert (
        config.lease_settings.fleets == 3
        and config.ejection_rules is not None
        and config.ejection_rules.quorum == 2
    )
    assert [(part.cls, part.tenant, part.per_s) for part in config.fallback_allocations()] == [(0, 0, 0.0)]
    open_allocation = parse(STATIC + SHARED.replace('"strict"', '"open"'), "f.toml").fallback_allocations()[0]
    # The allocation of a fleet that is alone on its side of a partition.
    assert open_allocation.per_s == pytest.approx(10 * 2 / 3)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('bind = "127.0.0.1:7946"\n', "", "peers.bind: missing, expected an address"),
        ('"127.0.0.2:7946"', '"127.0.0.2:0"', "peers.seeds[0]: found '127.0.0.2:0', expected a port"),
        ('key_file = "peers.key"', "", "peers.key_file: missing"),
        (
            'key_file = "peers.key"',
            'key_file = "k"\nack_s = 2',
            "peers.ack_s: found 2, expected below period_s",
        ),
        (
            'key_file = "peers.key"',
            'key_file = "k"\nforget_s = 40',
            "forget_s: found 40, expected above twice",
        ),
        ('key_file = "peers.key"', 'key_file = "k"\nregion = "' + "x" * 33 + '"', "expected at most 32 char"),
        ('tenant = "school"', 'tenant = "scool"', "limit[0].tenant: found 'scool', expected one of"),
        ('class = "buy"', 'class = "by"', "limit[0].class: found 'by', expected one of"),
        ("per_s = 10", "per_s = 0", "limit[0].per_s: found 0, expected a number from 0.01"),
        ('when_cut = "strict"', "", 'limit[0].when_cut: missing, expected one of "strict", "open"'),
        (
            '["a", "b", "c"]',
            '["a", "b", "a"]',
            "keepers.voters[0]: found 'a', expected the name of a fleet, each",
        ),
        (
            '["a", "b", "c"]',
            '["a", "b", "c"]\nfleets = 2',
            "keepers.fleets: found 2, expected at least the number of voters, 3",
        ),
        ('voters = ["a", "b", "c"]', "", "keepers.voters: missing, expected the fleets that vote"),
        ("[verdicts]", "[verdicts]\nquorum = 1", "verdicts.quorum: found 1, expected a whole number from 2"),
        ("[verdicts]", "[verdicts]\nmost_out = 0.9", "verdicts.most_out: found 0.9"),
    ],
)
def test_reports_each_problem_of_shared_tables(old: str, new: str, message: str) -> None:
    assert old in SHARED
    found = read_problems(STATIC + SHARED.replace(old, new, 1))
    assert any(message in problem for problem in found), found


def test_shared_tables_require_peers_and_limits_are_bounded_and_unique() -> None:
    without_peers = SHARED[SHARED.index("[[limit]]") :]
    found = read_problems(STATIC + without_peers)
    assert any("limit: found 1 rows, expected a [peers] table" in problem for problem in found), found
    assert any("verdicts: found a table, expected a [peers] table" in problem for problem in found), found
    rows = "".join(f'[[limit]]\nname = "l{n}"\nper_s = 1\nwhen_cut = "open"\n' for n in range(65))
    assert any(
        "found 66 rows, expected at most 64" in problem for problem in read_problems(STATIC + SHARED + rows)
    )
    duplicate = SHARED + '[[limit]]\nname = "school"\nper_s = 1\nwhen_cut = "open"\n'
    assert any(
        "limit.name: found 'school', expected each name once" in problem
        for problem in read_problems(STATIC + duplicate)
    )


DELIVERY = """
[fleet]
name = "t"
listen = ["127.0.0.1:0"]
[nodes]
source = "delivery"
service = "service/answers"
zones = ["a", "b"]
zone = "b"
[delivery]
key_file = "delivery.key"
region = "north"
relays = [{ name = "r1", address = "10.0.0.3:7950", region = "north", zone = "a" }]
[[class]]
name = "buy"
aim_ms = 100
deadline_ms = 200
"""
RELAY = '{ name = "r1", address = "10.0.0.3:7950", region = "north", zone = "a" }'


def test_delivery_defaults_to_name_and_zone_of_the_fleet() -> None:
    config = parse(DELIVERY, "f.toml")
    table = config.delivery
    assert table is not None and config.nodes.service == "service/answers"
    assert (table.name, table.region, table.zone, table.key_file) == ("t", "north", "b", "delivery.key")
    assert table.relays == (RelayRow("r1", "10.0.0.3:7950", "north", "a"),)
    rows = '[[delivery.relays]]\nname = "r1"\naddress = "[::1]:7950"\n'
    named = parse(DELIVERY.replace(f"relays = [{RELAY}]\n", 'name = "me"\nzone = "c"\n') + rows, "f.toml")
    assert named.delivery is not None and named.delivery.relays == (RelayRow("r1", "[::1]:7950", "", ""),)
    assert (named.delivery.name, named.delivery.zone) == ("me", "c")
    assert table.rules is None
    with_rules = parse(
        DELIVERY.replace("relays =", "rules = { stale_s = 1, ping_s = 0.5 }\nrelays ="), "f.toml"
    )
    assert with_rules.delivery is not None and with_rules.delivery.rules == replace(
        Rules(), stale_s=1.0, ping_s=0.5
    )
    # Two constants, since reading a configuration must not import delivery.
    assert MAX_OBJECT_NAME_BYTES == MAX_NAME_BYTES


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('service = "service/answers"\n', "", "nodes.service: missing, expected the name of an object such"),
        ("service/answers", "s" * 201, "nodes.service: found 201 bytes, expected a name of at most 200"),
        (
            'service = "service/answers"',
            "service = 3",
            "nodes.service: found 3, expected the name of an object",
        ),
        ('source = "delivery"', 'source = "files"\nfiles = ["n"]', "nodes.service: found 'service/answers'"),
        ('source = "delivery"', 'source = "delivery"\nfiles = ["n.json"]', "nodes.files: found 1 paths"),
        (
            'source = "delivery"',
            'source = "files"\nfiles = ["n"]',
            "delivery: found a table, expected a [del",
        ),
        ('key_file = "delivery.key"\n', "", "delivery.key_file: missing, expected the path of a file"),
        ('region = "north"\n', f'region = "{"x" * 33}"\n', "delivery.region: found 'xxx"),
        ('region = "north"\n', 'name = "a b"\n', "delivery.name: found 'a b', expected a name of 1 to 63"),
        (
            'region = "north"\n',
            "colour = 3\n",
            "delivery.colour: found 3, expected no such key (known here: ",
        ),
        (f"[{RELAY}]", "[]", "delivery.relays: found [], expected [[delivery.relays]] tables, at least 1"),
        (f"relays = [{RELAY}]", "", "delivery.relays: missing, expected [[delivery.relays]] tables"),
        (f"[{RELAY}]", '["10.0.0.3:7950"]', "delivery.relays[0]: found '10.0.0.3:7950', expected a table"),
        (RELAY, f"{RELAY}, {RELAY}", "delivery.relays.name: found 'r1', expected each name once"),
        (RELAY, f"{RELAY}, {RELAY}", "delivery.relays.address: found '10.0.0.3:7950', expected each address"),
        (
            '"10.0.0.3:7950"',
            '"relay:7950"',
            "delivery.relays[0].address: found 'relay:7950', expected an add",
        ),
        (
            '"10.0.0.3:7950"',
            '"10.0.0.3:0"',
            "delivery.relays[0].address: found '10.0.0.3:0', expected a port",
        ),
        (', address = "10.0.0.3:7950"', "", "delivery.relays[0].address: missing, expected an address such"),
        ('{ name = "r1", ', "{ ", "delivery.relays[0].name: missing, expected a name of 1 to 63"),
        (
            "relays =",
            "rules = { stale_s = 0 }\nrelays =",
            "delivery.rules.stale_s: found 0, expected a number",
        ),
        ("relays =", "rules = { pace = 1 }\nrelays =", "delivery.rules.pace: found 1, expected no such key"),
        ("relays =", "rules = 3\nrelays =", "delivery.rules: found 3, expected a table"),
        ('zone = "a" }', "zone = 3 }", "delivery.relays[0].zone: found 3, expected text"),
        ('zone = "a" }', 'region2 = "x" }', "delivery.relays[0].region2: found 'x', expected no such key"),
    ],
)
def test_reports_each_problem_of_delivery(old: str, new: str, message: str) -> None:
    assert old in DELIVERY
    found = read_problems(DELIVERY.replace(old, new, 1))
    assert any(message in problem for problem in found), found


def test_delivery_as_source_requires_its_table() -> None:
    start, end = DELIVERY.index("[delivery]"), DELIVERY.index("[[class]]")
    (found,) = read_problems(DELIVERY[:start] + DELIVERY[end:])
    expected = 'a [delivery] table and nodes.source = "delivery" together, or neither'
    assert found == f"f.toml: delivery: missing, expected {expected}"
