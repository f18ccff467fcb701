"""Counts never fall, whichever instance goes, and the page tells them as its format asks."""

from __future__ import annotations

import json
import urllib.request
from itertools import pairwise
from pathlib import Path

import httpx
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families

from flintlatch.metrics import BOUNDS_S, Counts, Totals
from flintlatch.metrics.page import Now, Page
from tests.fleet.support import TEST_TIMEOUT_S, daemon, run


@given(st.lists(st.tuples(st.integers(0, 3), st.sampled_from(["count", "tell", "end"])), max_size=80))
def test_totals_only_grow(events: list[tuple[int, str]]) -> None:
    totals, alive, seen = Totals(), {n: Counts() for n in range(4)}, [0]
    for number, event in events:
        if event == "count":
            alive[number].request("a", 200, 0.02, 1, 2)
        elif event == "tell":
            totals.heard(number, json.loads(json.dumps(alive[number].told())))
        else:
            totals.heard(number, alive[number].told())
            totals.ended(number)
            alive[number] = Counts()  # the next in its place counts from nothing
        whole = totals.all()
        seen.append(whole.requests["a", 200])
        assert whole.down_bytes == 2 * seen[-1]
        assert sum(whole.seconds.get("a", ([], 0.0))[0]) == seen[-1]
    assert all(a <= b for a, b in pairwise(seen))


def test_the_page_is_what_the_format_asks() -> None:
    counts = Counts()
    for first_s in (*BOUNDS_S, 1e9):
        counts.request("answer", 200, first_s, 10, 20)
    counts.request("", 405, None, 0, 0)
    counts.attempt("ok")
    page = Page("127.0.0.1:0", lambda: Now(counts, {"serving": 2}, 3, 4, 5, {"alive": 6}, {"died": 1}))
    try:
        with urllib.request.urlopen(f"http://{page.address}/metrics", timeout=TEST_TIMEOUT_S) as answer:
            families = {f.name: f for f in text_string_to_metric_families(answer.read().decode())}
    finally:
        page.close()
    values = {(s.name, *sorted(s.labels.values())): s.value for f in families.values() for s in f.samples}
    assert values["flintlatch_requests_total", "200", "answer"] == len(BOUNDS_S) + 1
    assert values["flintlatch_requests_total", "", "405"] == 1
    buckets = [value for name, value in values.items() if name[0].endswith("_bucket")]
    assert buckets == sorted(buckets) and buckets[-1] == len(BOUNDS_S) + 1
    assert values["flintlatch_access_log_lost_total",] == 5 and values["flintlatch_instances", "serving"] == 2
    assert values["flintlatch_peers", "alive"] == 6 and values["flintlatch_peers_events_total", "died"] == 1


def test_a_fleet_counts_across_its_generations(tmp_path: Path) -> None:
    async def test() -> None:
        tables = {"fleet": {"instances": 2, "metrics": "127.0.0.1:0", "log_format": "json"}}
        http = {"safe_class": "answer", "other_class": "grade"}
        async with daemon(tmp_path, 1, None, 1, **tables, http=http) as made:
            place = await made.fleet.wait_for_log("metrics at ")
            address = (await made.fleet.status())["listen"][0]
            told = [json.loads(line) for line in made.fleet.log[:place]]
            assert {"event", "level", "timestamp", "fleet", "pid", "logger"} <= set(told[0])
            url = f"http://{told[-1]['event'].split()[-1]}/metrics"
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
