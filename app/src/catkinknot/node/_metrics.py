"""Metrics of one instance, for scraping."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["NodeMetrics"]

_CONTENT_TYPE = "text/plain; version=0.0.4"
_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
_OUTCOME_FIELDS = ("outcome", "how", "answer", "phase")


class NodeMetrics:
    """Counters, gauges and histograms of an instance; units are part of the names.

    Decisions are counted when they are logged, so that a count always agrees
    with the log lines.
    """

    def __init__(self) -> None:
        """Register all metrics."""
        self._registry = Registry()
        self._refreshers: list[Callable[[], None]] = []
        self._calls = self._add(
            Counter, "catkinknot_calls_total", "Answers to callers by method and status"
        )
        self._call_seconds = self._add(
            Histogram, "catkinknot_call_seconds", "Time to answer callers by method"
        )
        self._decisions = self._add(
            Counter, "catkinknot_decisions_total", "Logged decisions by part, text and outcome"
        )
        self._wait_seconds = self._add(
            Histogram, "catkinknot_step_wait_seconds", "Time from ready to placed by priority"
        )
        self._store_calls = self._add(
            Counter, "catkinknot_store_calls_total", "Calls to the store by kind and outcome"
        )
        self._store_seconds = self._add(
            Histogram, "catkinknot_store_call_seconds", "Time of calls to the store by kind"
        )
        self._gauges = {
            name: self._add(Gauge, f"catkinknot_{name}", text)
            for name, text in (
                ("config_version", "Version of the configuration in force"),
                ("ledger_offset", "Offset up to which the ledger was read"),
                ("ledger_age_seconds", "Time since the store last answered a read"),
                ("leading", "1 while this instance leads"),
                ("epoch", "Highest epoch of a leader that was seen"),
                ("jobs", "Jobs that are known"),
                ("runs", "Runs that are or may be on servers, at the leader"),
                ("log_lines_dropped_total", "Log lines that found the queue full"),
            )
        }

    def observe_call(self, method: str, status: str, seconds: float) -> None:
        """Record one answer to a caller."""
        self._calls.inc({"method": method, "status": status})
        self._call_seconds.observe({"method": method}, seconds)

    def observe_line(self, text: str, fields: dict) -> None:
        """Record one logged decision."""
        outcome = next((str(fields[name]) for name in _OUTCOME_FIELDS if name in fields), "")
        self._decisions.inc({"part": fields.get("part", ""), "text": text, "outcome": outcome})
        if "waited_ms" in fields:
            labels = {"priority": str(fields.get("priority", ""))}
            self._wait_seconds.observe(labels, fields["waited_ms"] / 1000)

    def observe_store(self, kind: str, outcome: str, seconds: float) -> None:
        """Record one call to the store."""
        self._store_calls.inc({"kind": kind, "outcome": outcome})
        self._store_seconds.observe({"kind": kind}, seconds)

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name].set({}, value)

    def add_refresher(self, refresh: Callable[[], None]) -> None:
        """Add a function that sets gauges, called before each read of the metrics."""
        self._refreshers.append(refresh)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for refresh in self._refreshers:
            refresh()
        body, _ = render(self._registry, [_CONTENT_TYPE])
        return body

    def _add(self, kind: type, name: str, text: str):
        """Register one metric."""
        if kind is Histogram:
            return Histogram(name, text, buckets=_BUCKETS_S, registry=self._registry)
        return kind(name, text, registry=self._registry)
