"""The totals as Prometheus reads them, on an address of the control side."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily, Metric

from flintlatch.metrics.counts import BOUNDS_S, Counts


class FleetSnapshot(NamedTuple):
    """A moment of a fleet, made on its loop and read by the page's thread."""

    counts: Counts
    instances: dict[str, int]  # by state
    in_flight: int
    clients: int
    lost: int  # records of the access log
    members: dict[str, int]  # other fleets by state, this one included; empty without [peers]
    peers: dict[str, int]  # what is counted of that


class Collector:
    def __init__(self, now: Callable[[], FleetSnapshot]) -> None:
        self.now = now

    def collect(self) -> Iterable[Metric]:
        now = self.now()
        counts = now.counts
        requests = CounterMetricFamily(
            "flintlatch_requests",
            "Requests by class and status; status 0: the client left",
            None,
            ["class", "status"],
        )
        for (cls, status), count in sorted(counts.requests.items()):
            requests.add_metric([cls, str(status)], count)
        yield requests
        attempts = CounterMetricFamily("flintlatch_attempts", "Attempts at nodes by result", None, ["result"])
        for result, count in sorted(counts.attempts.items()):
            attempts.add_metric([result], count)
        yield attempts
        seconds = HistogramMetricFamily(
            "flintlatch_first_byte_seconds", "From arrival to the answer's first byte", labels=["class"]
        )
        for cls, (buckets, total) in sorted(counts.seconds.items()):
            so_far, rows = 0, []
            for bound, count in zip((*map(str, BOUNDS_S), "+Inf"), buckets, strict=True):
                so_far += count
                rows.append((bound, float(so_far)))
            seconds.add_metric([cls], rows, total)
        yield seconds
        size = CounterMetricFamily("flintlatch_body_bytes", "Bytes of bodies passed on", None, ["way"])
        size.add_metric(["up"], counts.up_bytes)
        size.add_metric(["down"], counts.down_bytes)
        yield size
        instances = GaugeMetricFamily("flintlatch_instances", "Instances by state", None, ["state"])
        for state, count in sorted(now.instances.items()):
            instances.add_metric([state], count)
        yield instances
        yield GaugeMetricFamily("flintlatch_in_flight", "Requests without a final answer", now.in_flight)
        yield GaugeMetricFamily("flintlatch_clients", "Connections of clients", now.clients)
        if now.members:
            members = GaugeMetricFamily("flintlatch_peers", "Fleets known, by state", None, ["state"])
            for state, count in sorted(now.members.items()):
                members.add_metric([state], count)
            yield members
            told = CounterMetricFamily("flintlatch_peers_events", "What is counted of peers", None, ["what"])
            for what, count in sorted(now.peers.items()):
                told.add_metric([what], count)
            yield told
        yield CounterMetricFamily("flintlatch_access_log_lost", "Records lost", now.lost)


class MetricsServer:
    """Serves `/metrics` at `host:port` from a thread, until closed. OSError if the address is taken."""

    def __init__(self, address: str, now: Callable[[], FleetSnapshot]) -> None:
        registry = CollectorRegistry()
        registry.register(Collector(now))
        host, _, port = address.rpartition(":")
        served: tuple[Any, Any] = start_http_server(int(port), host.strip("[]"), registry)
        self.server, self.thread = served
        self.address = "{}:{}".format(*self.server.server_address[:2])

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()
        self.thread.join(1.0)
