"""File formats: each is read with the meaning that its specification gives it, and a prefix is rejected."""

from __future__ import annotations

import json

import pytest

from flintlatch.membership import InvalidDocument, Node, NodeState, Version, write_document
from flintlatch.membership.formats import read_file_content

NATIVE = {
    "version": 3,
    "count": 2,
    "nodes": [{"uid": "a", "address": "10.0.0.1:80"}, {"uid": "b", "address": "[::1]:81"}],
}
TOML = b"""count = 2
version = 3
[[nodes]]
uid = "a"
address = "10.0.0.1:80"
weight = 2
[[nodes]]
uid = "b"
address = "[::1]:81"
"""
FILE_SD = [
    {"targets": ["10.0.0.1:80", "10.0.0.2:80"], "labels": {"zone": "z1", "weight": "2", "team": "x"}},
    {"targets": ["10.0.0.3:80"], "labels": {"__flintlatch_state__": "draining"}},
]
YAML = b"""- targets: ['10.0.0.1:80', '10.0.0.2:80']
  labels:
    zone: z1
    weight: "2"
- targets:
    - 10.0.0.3:80
  labels: {__flintlatch_state__: draining}
...
"""
EDS = {
    "version_info": "7",
    "resources": [
        {
            "@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            "cluster_name": "export",
            "endpoints": [
                {
                    "locality": {"zone": "z1"},
                    "lb_endpoints": [
                        {
                            "endpoint": {
                                "address": {"socket_address": {"address": "10.0.0.1", "port_value": 80}}
                            },
                            "load_balancing_weight": 3,
                        },
                        {
                            "endpoint": {"address": {"socket_address": {"address": "::1", "port_value": 81}}},
                            "health_status": "UNHEALTHY",
                        },
                    ],
                }
            ],
        }
    ],
}
A, B = Node("a", "10.0.0.1", 80), Node("b", "::1", 81)
FILE_SD_NODES = tuple(
    Node(f"10.0.0.{n}:80", f"10.0.0.{n}", 80, zone="z1", weight=2.0) if n < 3
    else Node("10.0.0.3:80", "10.0.0.3", 80, state=NodeState.DRAINING)
    for n in (1, 2, 3)
)  # fmt: skip
EDS_NODES = (
    Node("export/10.0.0.1:80", "10.0.0.1", 80, "export", "z1", weight=3.0),
    Node("export/[::1]:81", "::1", 81, "export", "z1", state=NodeState.DRAINING),
)
FILES = {
    "n.jsonl": (write_document(Version("s", 3, (A, B))), (A, B), 3),
    "n.json": (json.dumps(NATIVE).encode(), (A, B), 3),
    "n.toml": (TOML, (A._replace(weight=2.0), B), 3),
    "sd.json": (json.dumps(FILE_SD).encode(), FILE_SD_NODES, None),
    "sd.yaml": (YAML, FILE_SD_NODES, None),
    "eds.json": (json.dumps(EDS, indent=1).encode(), EDS_NODES, None),
}


@pytest.mark.parametrize("name", FILES)
def test_each_format_is_read(name: str) -> None:
    data, nodes, number = FILES[name]
    assert read_file_content(name, data) == (nodes, number)


@pytest.mark.parametrize("name", FILES)
def test_prefix_of_a_file_is_rejected_or_has_all_nodes(name: str) -> None:
    data, nodes, _ = FILES[name]
    for cut in range(len(data)):
        try:
            content = read_file_content(name, data[:cut])
        except InvalidDocument:
            continue
        # Without its final newline a file may still be complete.
        assert content.nodes == nodes, f"{cut} of {len(data)} bytes"


@pytest.mark.parametrize(
    ("name", "data", "expected_text"),
    [
        ("n.toml", TOML.replace(b"count = 2", b"count = 3"), "count: found 3, expected 2"),
        ("n.toml", TOML.replace(b"count = 2\n", b""), "count: found nothing"),
        ("n.json", b'{"nodes": [], "more": 1}', "more: found 1, expected no such key"),
        ("n.json", b'{"version": -1, "nodes": []}', "version: found -1"),
        ("n.json", b"7", "file: found 7"),
        ("n.json", b"\xff", "JSON"),
        ("n.json", b'{"nodes": \x00[]}', "file: found a NUL at byte 10"),
        ("n.txt", b"", "a name that ends in"),
        ("sd.json", b'[{"targets": "a:1"}]', "group[0].targets"),
        ("sd.json", b'[{"targets": ["a"]}]', "node[0].address: found 'a'"),
        ("sd.yaml", b"a: 1\n...\n", "a list of target groups"),
        ("sd.yaml", b"- &a [*a]\n...\n", "group[0].targets"),
        ("sd.yaml", b"!!python/object/apply:os.system ['true']\n...\n", "one YAML document"),
        ("eds.json", b'{"resources": [{"endpoints": []}]}', "resources[0].cluster_name"),
        ("eds.json", b'{"resources": [{"cluster_name": "a", "endpoints": [7]}]}', "resources[0].endpoints"),
        ("eds.json", b'{"resources": 7}', "resources: found 7"),
    ],
)
def test_fault_names_the_value_and_what_is_expected(name: str, data: bytes, expected_text: str) -> None:
    with pytest.raises(InvalidDocument) as caught:
        read_file_content(name, data)
    assert any(expected_text in str(fault) for fault in caught.value.faults), caught.value.faults
