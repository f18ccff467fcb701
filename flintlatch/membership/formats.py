"""Reads node lists from files of several formats. No I/O.

Each format must show by itself that the file is complete:

| format | complete if |
| --- | --- |
| Flintlatch, JSON Lines | the count and the checksum are right (document.py) |
| Flintlatch, JSON: `version`, `count`, `nodes` | the closing brace is there |
| Flintlatch, TOML with the same keys | `count` is right; a prefix of TOML can be valid TOML |
| Prometheus `file_sd`, JSON | the closing bracket is there |
| Prometheus `file_sd`, YAML | the end marker `...` (YAML 1.2 section 9.1.2) is there, which no prefix has |
| Envoy EDS, JSON: `resources` of ClusterLoadAssignment | the closing brace is there |

Sources: Prometheus documentation, `file_sd_config`; Envoy API v3, `config.endpoint.v3`.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import orjson

from flintlatch.membership.check import Fault, abbreviate, check_rows
from flintlatch.membership.document import MAX_DOCUMENT_BYTES, InvalidDocument, read_document
from flintlatch.membership.model import Node

# The labels of `file_sd` that are used, with the key of the row for each; other labels are ignored.
TEXT_LABELS = {"pool": "pool", "zone": "zone", "kind": "kind", "__flintlatch_state__": "state"}
NUMERIC_LABELS = {"weight": "weight", "cell": "cell"}
# The values of Envoy's config.core.v3.HealthStatus that exclude an endpoint from new requests.
EDS_DRAINING_STATUSES = frozenset(("UNHEALTHY", "DRAINING", "TIMEOUT", 2, 3, 4))

FILE_EXTENSIONS = frozenset(("jsonl", "json", "toml", "yaml", "yml"))


class Content(NamedTuple):
    nodes: tuple[Node, ...]
    number: int | None  # the version number that the file states, if any


def read_file_content(name: str, data: bytes) -> Content:
    """Reads a file in the format of its extension. Raises InvalidDocument with all faults."""
    extension = name.rpartition(".")[2].lower()
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InvalidDocument([Fault("file", f"{len(data)} bytes", f"at most {MAX_DOCUMENT_BYTES}")])
    if b"\x00" in data:
        raise InvalidDocument([Fault("file", f"a NUL at byte {data.index(0)}", "text")])
    if extension == "jsonl":
        version = read_document(data)
        return Content(version.nodes, version.number)
    if extension == "toml":
        return _read_native(_parse_toml(data), count_required=True)
    if extension == "json":
        return _read_json(data)
    if extension in ("yaml", "yml"):
        return _read_file_sd(_parse_yaml(data))
    raise InvalidDocument(
        [Fault("file", abbreviate(name), "a name that ends in .jsonl, .json, .toml, .yaml or .yml")]
    )


def _parse_toml(data: bytes) -> dict[str, Any]:
    try:
        return tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidDocument([Fault("file", str(error), "TOML 1.0 in UTF-8")]) from None


def _read_json(data: bytes) -> Content:
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise InvalidDocument([Fault("file", str(error), "JSON (RFC 8259)")]) from None
    if isinstance(document, list):
        return _read_file_sd(document)
    if isinstance(document, dict) and "resources" in document:
        return _read_eds(document)
    if isinstance(document, dict):
        return _read_native(document, count_required=False)
    raise InvalidDocument(
        [Fault("file", abbreviate(document), "Flintlatch nodes, a list of target groups, or EDS resources")]
    )


def _parse_yaml(data: bytes) -> Any:
    try:
        import yaml  # optional dependency: only installations with YAML files need it
    except ImportError:
        raise InvalidDocument(
            [Fault("file", "YAML", "PyYAML installed: pip install flintlatch[membership]")]
        ) from None
    if data.rstrip().rpartition(b"\n")[2] != b"...":
        raise InvalidDocument(
            [
                Fault(
                    "file",
                    "no end marker",
                    "a last line of ..., without which a truncated file can't be detected",
                )
            ]
        )
    try:
        return yaml.safe_load(data)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise InvalidDocument([Fault("file", abbreviate(str(error)), "one YAML document")]) from None


def _read_native(document: Mapping[str, Any], count_required: bool) -> Content:
    faults = [
        Fault(str(key), abbreviate(document[key]), "no such key")
        for key in document
        if key not in NATIVE_KEYS
    ]
    rows, count, number = document.get("nodes"), document.get("count"), document.get("version")
    if not isinstance(rows, list):
        raise InvalidDocument([*faults, Fault("nodes", abbreviate(rows), "a list of nodes")])
    if (count_required or count is not None) and (type(count) is not int or count != len(rows)):
        faults.append(Fault("count", abbreviate(count), f"{len(rows)}, the number of nodes"))
    if number is not None and (type(number) is not int or not 0 <= number < 1 << 63):
        faults.append(Fault("version", abbreviate(number), "a whole number from 0"))
    return _checked(rows, faults, number)


NATIVE_KEYS = frozenset(("version", "count", "nodes"))


def _read_file_sd(document: Any) -> Content:
    """Reads `[{"targets": ["host:port", ...], "labels": {...}}, ...]`. The uid of a node is its address."""
    if not isinstance(document, list):
        raise InvalidDocument([Fault("file", abbreviate(document), "a list of target groups")])
    faults, rows = [], []
    for index, group in enumerate(document):
        path = f"group[{index}]"
        targets = group.get("targets") if isinstance(group, Mapping) else None
        labels = group.get("labels") or {} if isinstance(group, Mapping) else {}
        if not isinstance(targets, list):
            faults.append(Fault(f"{path}.targets", abbreviate(targets), "a list of addresses"))
            continue
        if not isinstance(labels, Mapping):
            faults.append(Fault(f"{path}.labels", abbreviate(labels), "an object with names and values"))
            continue
        row: dict[str, Any] = {key: labels[label] for label, key in TEXT_LABELS.items() if label in labels}
        for label, key in NUMERIC_LABELS.items():
            if label in labels:
                row[key] = _number(labels[label])
        rows += [{"uid": target, "address": target, **row} for target in targets]
    return _checked(rows, faults, None)


def _number(value: object) -> object:
    """Converts the text of a label to a number. Any other value, or other text, is returned unchanged."""
    if isinstance(value, str):
        try:
            return int(value) if value.isascii() and value.isdigit() else float(value)
        except ValueError:
            return value
    return value


def _read_eds(document: Mapping[str, Any]) -> Content:
    """Reads ClusterLoadAssignments.

    `cluster_name` is the pool, the zone of the locality is the zone, `load_balancing_weight` is the weight.
    """
    faults, rows = [], []
    resources = document.get("resources")
    for index, cluster in enumerate(resources if isinstance(resources, list) else ()):
        path = f"resources[{index}]"
        pool = cluster.get("cluster_name") if isinstance(cluster, Mapping) else None
        if not isinstance(pool, str):
            faults.append(Fault(f"{path}.cluster_name", abbreviate(pool), "a name"))
            continue
        for locality_index, locality in enumerate(_tables(cluster, "endpoints", path, faults)):
            zone = _value_at(locality, "locality", "zone") or "default"
            for endpoint_index, endpoint in enumerate(
                _tables(locality, "lb_endpoints", f"{path}.endpoints[{locality_index}]", faults)
            ):
                socket = _value_at(endpoint, "endpoint", "address", "socket_address")
                if not isinstance(socket, Mapping):
                    where = (
                        f"{path}.endpoints[{locality_index}].lb_endpoints[{endpoint_index}].endpoint.address"
                    )
                    faults.append(Fault(where, abbreviate(socket), "a socket_address"))
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
                if endpoint.get("health_status") in EDS_DRAINING_STATUSES:
                    row["state"] = "draining"
                rows.append(row)
    if not isinstance(resources, list):
        faults.append(Fault("resources", abbreviate(resources), "a list of ClusterLoadAssignment"))
    return _checked(rows, faults, None)


def _tables(table: Any, key: str, path: str, faults: list[Fault]) -> list[Any]:
    """The list of tables under the key; empty, with a fault added, if there is something else."""
    value = table.get(key, []) if isinstance(table, Mapping) else None
    if isinstance(value, list) and all(isinstance(item, Mapping) for item in value):
        return value
    faults.append(Fault(f"{path}.{key}", abbreviate(value), "a list of tables"))
    return []


def _value_at(table: Any, *keys: str) -> Any:
    """The value under the keys of nested tables, or None."""
    for key in keys:
        table = table.get(key) if isinstance(table, Mapping) else None
    return table


def _checked(rows: Iterable[Any], faults: list[Fault], number: int | None) -> Content:
    nodes, row_faults = check_rows(rows)
    if faults or row_faults:
        raise InvalidDocument([*faults, *row_faults])
    return Content(nodes, number)
