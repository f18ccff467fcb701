"""The HTTP endpoint that serves a fleet's metrics to Prometheus."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily, Metric

from flintlatch.metrics.counts import BUCKET_BOUNDS_S, Counts


class FleetSnapshot(NamedTuple):
    """The state of a fleet at one moment, read by the thread of the endpoint."""

    counts: Counts
    instances: dict[str, int]  # by state
    in_flight: int
    clients: int
    lost: int  # lost records of the access log
    members: dict[str, int]  # number of fleets by membership state, including this one; empty without [peers]
    peers: dict[str, int]  # events of the peer protocol by name


class Collector:
    def __init__(self, take_snapshot: Callable[[], FleetSnapshot]) -> None:
        self.take_snapshot = take_snapshot

    def collect(self) -> Iterable[Metric]:
        snapshot = self.take_snapshot()
        counts = snapshot.counts
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
        first_byte = HistogramMetricFamily(
            "flintlatch_first_byte_seconds", "From arrival to the answer's first byte", labels=["class"]
        )
        for cls, (buckets, sum_s) in sorted(counts.first_byte_histograms.items()):
            cumulative, rows = 0, []
            for bound, count in zip((*map(str, BUCKET_BOUNDS_S), "+Inf"), buckets, strict=True):
                cumulative += count
                rows.append((bound, float(cumulative)))
            first_byte.add_metric([cls], rows, sum_s)
        yield first_byte
        body_bytes = CounterMetricFamily("flintlatch_body_bytes", "Bytes of bodies passed on", None, ["way"])
        body_bytes.add_metric(["up"], counts.up_bytes)
        body_bytes.add_metric(["down"], counts.down_bytes)
        yield body_bytes
        instances = GaugeMetricFamily("flintlatch_instances", "Instances by state", None, ["state"])
        for state, count in sorted(snapshot.instances.items()):
            instances.add_metric([state], count)
        yield instances
        yield GaugeMetricFamily("flintlatch_in_flight", "Requests without a final answer", snapshot.in_flight)
        yield GaugeMetricFamily("flintlatch_clients", "Connections of clients", snapshot.clients)
        if snapshot.members:
            members = GaugeMetricFamily("flintlatch_peers", "Fleets known, by state", None, ["state"])
            for state, count in sorted(snapshot.members.items()):
                members.add_metric([state], count)
            yield members
            peer_events = CounterMetricFamily(
                "flintlatch_peers_events", "What is counted of peers", None, ["what"]
            )
            for what, count in sorted(snapshot.peers.items()):
                peer_events.add_metric([what], count)
            yield peer_events
        yield CounterMetricFamily("flintlatch_access_log_lost", "Records lost", snapshot.lost)


class MetricsServer:
    """Serves `/metrics` at `host:port` in a thread until it is closed. Raises OSError if the address is in
    use."""

    def __init__(self, address: str, take_snapshot: Callable[[], FleetSnapshot]) -> None:
        registry = CollectorRegistry()
        registry.register(Collector(take_snapshot))
        host, _, port = address.rpartition(":")
        server_and_thread: tuple[Any, Any] = start_http_server(int(port), host.strip("[]"), registry)
        self.server, self.thread = server_and_thread
        self.address = "{}:{}".format(*self.server.server_address[:2])

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()
        self.thread.join(1.0)
