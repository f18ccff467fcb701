"""Totals never decrease when instances end, and the endpoint serves the Prometheus format."""

from __future__ import annotations

import json
import urllib.request
from itertools import pairwise
from pathlib import Path

import httpx
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families

from flintlatch.metrics import BUCKET_BOUNDS_S, Counts, Totals
from flintlatch.metrics.page import FleetSnapshot, MetricsServer
from tests.fleet.support import TEST_TIMEOUT_S, daemon, run


@given(st.lists(st.tuples(st.integers(0, 3), st.sampled_from(["count", "report", "end"])), max_size=80))
def test_totals_never_decrease(events: list[tuple[int, str]]) -> None:
    totals, running, observed = Totals(), {n: Counts() for n in range(4)}, [0]
    for number, event in events:
        if event == "count":
            running[number].count_request("a", 200, 0.02, 1, 2)
        elif event == "report":
            totals.replace_report(number, json.loads(json.dumps(running[number].as_json())))
        else:
            totals.replace_report(number, running[number].as_json())
            totals.on_instance_ended(number)
            running[number] = Counts()  # the next instance in this place starts at zero
        total = totals.fleet_counts()
        observed.append(total.requests["a", 200])
        assert total.down_bytes == 2 * observed[-1]
        assert sum(total.first_byte_histograms.get("a", ([], 0.0))[0]) == observed[-1]
    assert all(a <= b for a, b in pairwise(observed))


def test_endpoint_serves_valid_prometheus_text() -> None:
    counts = Counts()
    for first_s in (*BUCKET_BOUNDS_S, 1e9):
        counts.count_request("answer", 200, first_s, 10, 20)
    counts.count_request("", 405, None, 0, 0)
    counts.count_attempt("ok")
    server = MetricsServer(
        "127.0.0.1:0", lambda: FleetSnapshot(counts, {"serving": 2}, 3, 4, 5, {"alive": 6}, {"died": 1})
    )
    try:
        with urllib.request.urlopen(f"http://{server.address}/metrics", timeout=TEST_TIMEOUT_S) as response:
            families = {f.name: f for f in text_string_to_metric_families(response.read().decode())}
    finally:
        server.close()
    values = {(s.name, *sorted(s.labels.values())): s.value for f in families.values() for s in f.samples}
    assert values["flintlatch_requests_total", "200", "answer"] == len(BUCKET_BOUNDS_S) + 1
    assert values["flintlatch_requests_total", "", "405"] == 1
    buckets = [value for name, value in values.items() if name[0].endswith("_bucket")]
    assert buckets == sorted(buckets) and buckets[-1] == len(BUCKET_BOUNDS_S) + 1
    assert values["flintlatch_access_log_lost_total",] == 5 and values["flintlatch_instances", "serving"] == 2
    assert values["flintlatch_peers", "alive"] == 6 and values["flintlatch_peers_events_total", "died"] == 1


def test_counters_of_a_fleet_continue_across_generations(tmp_path: Path) -> None:
    async def test() -> None:
        tables = {"fleet": {"instances": 2, "metrics": "127.0.0.1:0", "log_format": "json"}}
        http = {"safe_class": "answer", "other_class": "grade"}
        async with daemon(tmp_path, 1, None, 1, **tables, http=http) as made:
            line_count = await made.fleet.wait_for_log("metrics at ")
            address = (await made.fleet.status())["listen"][0]
            log_lines = [json.loads(line) for line in made.fleet.log[:line_count]]
            assert {"event", "level", "timestamp", "fleet", "pid", "logger"} <= set(log_lines[0])
            url = f"http://{log_lines[-1]['event'].split()[-1]}/metrics"
            async with httpx.AsyncClient(timeout=TEST_TIMEOUT_S) as client:
                for turn in range(2):
                    for _ in range(15):
                        reply = await client.get(
                            f"http://{address}/answer/1", headers={"connection": "close"}
                        )
                        assert reply.status_code == 200
                    if not turn:
                        assert (await made.fleet.ask("reload"))["ok"]
                wanted = 'flintlatch_requests_total{class="answer",status="200"} 30.0'
                while wanted not in (await client.get(url)).text:
                    pass

    run(test())
