"""Metrics of one process, for scraping."""

from typing import Any

from aioprometheus import Counter, Gauge, Registry, Summary, render

__all__ = ["Metrics"]

_TEXT = "text/plain; version=0.0.4"


class Metrics:
    """Metrics of one process; each name includes the unit."""

    def __init__(self) -> None:
        """Register all metrics."""
        self._registry = Registry()
        self.requests = self._add(
            Counter, "catkinknot_requests_total", "Answers to callers by workspace, kind, code"
        )
        self.request_seconds = self._add(
            Summary, "catkinknot_request_seconds", "Time to answer callers by kind"
        )
        self.starts = self._add(
            Counter, "catkinknot_starts_total", "Starts of gangs by zone and outcome"
        )
        self.stops = self._add(Counter, "catkinknot_stops_total", "Stops of gangs by zone")
        self.waiting = self._add(Gauge, "catkinknot_waiting_jobs", "Waiting jobs by zone")
        self.running = self._add(
            Gauge, "catkinknot_busy_accelerators", "Accelerators in use by zone"
        )
        self.config_version = self._add(
            Gauge, "catkinknot_config_version", "Log offset of the configuration in force"
        )
        self.log_silent_seconds = self._add(
            Gauge, "catkinknot_log_silent_seconds", "Seconds since the log last answered"
        )
        self.peer_bytes = self._add(
            Gauge, "catkinknot_peer_bytes_total", "Bytes exchanged with other instances"
        )
        self.bad_messages = self._add(
            Gauge, "catkinknot_bad_peer_messages_total", "Malformed messages of peers"
        )
        self.corrupt_records = self._add(
            Gauge, "catkinknot_corrupt_records_total", "Corrupt records passed over on the log"
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        body, _ = render(self._registry, [_TEXT])
        return body

    def _add(self, kind: type, name: str, text: str) -> Any:
        """Register a metric with the registry of this process."""
        return kind(name, text, registry=self._registry)
