"""Files of several makes, read to rows for `check_rows`. No I/O. Each must tell by itself that it is whole.

| form | whole by |
| --- | --- |
| ours, JSON Lines | count and checksum (document.py) |
| ours, JSON or TOML: `version`, `count`, `nodes` | its closing brace; TOML's prefix can be valid: `count` |
| Prometheus `file_sd`, JSON | its closing bracket |
| Prometheus `file_sd`, YAML | the end marker `...` (YAML 1.2 section 9.1.2), which a prefix does not have |
| Envoy EDS, JSON: `resources` of ClusterLoadAssignment | its closing brace |

Sources: Prometheus documentation, `file_sd_config`; Envoy API v3, `config.endpoint.v3`.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import orjson

from flintlatch.membership.check import Fault, check_rows, shown
from flintlatch.membership.document import MOST_BYTES, InvalidDocument, read_document
from flintlatch.membership.model import Node

# Of file_sd's labels, those that mean something here.
LABELS = {"pool": "pool", "zone": "zone", "kind": "kind", "__flintlatch_state__": "state"}
NUMBERS = {"weight": "weight", "cell": "cell"}
# Envoy's HealthStatus: whoever is not to get new requests drains (config.core.v3.HealthStatus).
EDS_DRAINS = frozenset(("UNHEALTHY", "DRAINING", "TIMEOUT", 2, 3, 4))


ENDINGS = frozenset(("jsonl", "json", "toml", "yaml", "yml"))


class Content(NamedTuple):
    nodes: tuple[Node, ...]
    number: int | None  # the file's own version, if it tells one


def read_file_content(name: str, data: bytes) -> Content:
    """By the name's ending: .jsonl, .json, .toml, .yaml or .yml. Raises InvalidDocument with all faults."""
    ending = name.rpartition(".")[2].lower()
    if len(data) > MOST_BYTES:
        raise InvalidDocument([Fault("file", f"{len(data)} bytes", f"at most {MOST_BYTES}")])
    if b"\x00" in data:
        raise InvalidDocument([Fault("file", f"a NUL at byte {data.index(0)}", "text")])
    if ending == "jsonl":
        version = read_document(data)
        return Content(version.nodes, version.number)
    if ending == "toml":
        return _ours(_toml(data), must_count=True)
    if ending == "json":
        return _json(data)
    if ending in ("yaml", "yml"):
        return _file_sd(_yaml(data))
    raise InvalidDocument(
        [Fault("file", shown(name), "a name that ends in .jsonl, .json, .toml, .yaml or .yml")]
    )


def _toml(data: bytes) -> dict[str, Any]:
    try:
        return tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidDocument([Fault("file", str(error), "TOML 1.0 in UTF-8")]) from None


def _json(data: bytes) -> Content:
    try:
        found = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise InvalidDocument([Fault("file", str(error), "JSON (RFC 8259)")]) from None
    if isinstance(found, list):
        return _file_sd(found)
    if isinstance(found, dict) and "resources" in found:
        return _eds(found)
    if isinstance(found, dict):
        return _ours(found, must_count=False)
    raise InvalidDocument(
        [Fault("file", shown(found), "our nodes, a list of target groups, or EDS resources")]
    )


def _yaml(data: bytes) -> Any:
    try:
        import yaml  # an extra: only sites with such files need it
    except ImportError:
        raise InvalidDocument(
            [Fault("file", "YAML", "PyYAML installed: pip install flintlatch[membership]")]
        ) from None
    if data.rstrip().rpartition(b"\n")[2] != b"...":
        raise InvalidDocument([Fault("file", "no end marker", "a last line of ..., or it could be cut off")])
    try:
        return yaml.safe_load(data)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise InvalidDocument([Fault("file", shown(str(error)), "one YAML document")]) from None


def _ours(found: Mapping[str, Any], must_count: bool) -> Content:
    faults = [Fault(str(key), shown(found[key]), "no such key") for key in found if key not in OURS]
    rows, count, number = found.get("nodes"), found.get("count"), found.get("version")
    if not isinstance(rows, list):
        raise InvalidDocument([*faults, Fault("nodes", shown(rows), "a list of nodes")])
    if (must_count or count is not None) and (type(count) is not int or count != len(rows)):
        faults.append(Fault("count", shown(count), f"{len(rows)}, as many as there are nodes"))
    if number is not None and (type(number) is not int or not 0 <= number < 1 << 63):
        faults.append(Fault("version", shown(number), "a whole number from 0"))
    return _content(rows, faults, number)


OURS = frozenset(("version", "count", "nodes"))


def _file_sd(found: Any) -> Content:
    """`[{"targets": ["host:port", ...], "labels": {...}}, ...]`; a target's uid is its address."""
    if not isinstance(found, list):
        raise InvalidDocument([Fault("file", shown(found), "a list of target groups")])
    faults, rows = [], []
    for place, group in enumerate(found):
        at = f"group[{place}]"
        targets = group.get("targets") if isinstance(group, Mapping) else None
        labels = group.get("labels") or {} if isinstance(group, Mapping) else {}
        if not isinstance(targets, list):
            faults.append(Fault(f"{at}.targets", shown(targets), "a list of addresses"))
            continue
        if not isinstance(labels, Mapping):
            faults.append(Fault(f"{at}.labels", shown(labels), "names and values"))
            continue
        row: dict[str, Any] = {key: labels[label] for label, key in LABELS.items() if label in labels}
        for label, key in NUMBERS.items():
            if label in labels:
                row[key] = _number(labels[label])
        rows += [{"uid": target, "address": target, **row} for target in targets]
    return _content(rows, faults, None)


def _number(value: object) -> object:
    """Labels are text."""
    if isinstance(value, str):
        try:
            return int(value) if value.isascii() and value.isdigit() else float(value)
        except ValueError:
            return value
    return value


def _eds(found: Mapping[str, Any]) -> Content:
    """`cluster_name` is the pool, a locality's zone the zone, `load_balancing_weight` the weight."""
    faults, rows = [], []
    resources = found.get("resources")
    for place, cluster in enumerate(resources if isinstance(resources, list) else ()):
        at = f"resources[{place}]"
        pool = cluster.get("cluster_name") if isinstance(cluster, Mapping) else None
        if not isinstance(pool, str):
            faults.append(Fault(f"{at}.cluster_name", shown(pool), "a name"))
            continue
        for number, locality in enumerate(_list(cluster, "endpoints", at, faults)):
            zone = _path(locality, "locality", "zone") or "default"
            for which, endpoint in enumerate(
                _list(locality, "lb_endpoints", f"{at}.endpoints[{number}]", faults)
            ):
                socket = _path(endpoint, "endpoint", "address", "socket_address")
                if not isinstance(socket, Mapping):
                    where = f"{at}.endpoints[{number}].lb_endpoints[{which}].endpoint.address"
                    faults.append(Fault(where, shown(socket), "a socket_address"))
                    continue
                host = str(socket.get("address"))
                address = (
                    f"[{host}]:{socket.get('port_value')}"
                    if ":" in host
                    else f"{host}:{socket.get('port_value')}"
                )
                row: dict[str, Any] = {
                    "uid": f"{pool}/{address}",
                    "address": address,
                    "pool": pool,
                    "zone": zone,
                }
                if "load_balancing_weight" in endpoint:
                    row["weight"] = endpoint["load_balancing_weight"]
                if endpoint.get("health_status") in EDS_DRAINS:
                    row["state"] = "draining"
                rows.append(row)
    if not isinstance(resources, list):
        faults.append(Fault("resources", shown(resources), "a list of ClusterLoadAssignment"))
    return _content(rows, faults, None)


def _list(table: Any, key: str, at: str, faults: list[Fault]) -> list[Any]:
    value = table.get(key, []) if isinstance(table, Mapping) else None
    if isinstance(value, list) and all(isinstance(one, Mapping) for one in value):
        return value
    faults.append(Fault(f"{at}.{key}", shown(value), "a list of tables"))
    return []


def _path(table: Any, *keys: str) -> Any:
    for key in keys:
        table = table.get(key) if isinstance(table, Mapping) else None
    return table


def _content(rows: Iterable[Any], faults: list[Fault], number: int | None) -> Content:
    nodes, more = check_rows(rows)
    if faults or more:
        raise InvalidDocument([*faults, *more])
    return Content(nodes, number)
