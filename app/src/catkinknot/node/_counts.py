"""Count what one instance does, for scraping."""

from aioprometheus import Counter, Histogram, Registry, render

__all__ = ["NodeCounts"]

_TEXT = "text/plain; version=0.0.4"
_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class NodeCounts:
    """Hold an instance's counters and histograms; units stand in the names."""

    def __init__(self) -> None:
        """Register all metrics."""
        self._registry = Registry()
        self._calls = Counter(
            "catkinknot_calls_total",
            "Answers to callers by method and status",
            registry=self._registry,
        )
        self._seconds = Histogram(
            "catkinknot_call_seconds",
            "Time to answer callers by method",
            buckets=_SECONDS,
            registry=self._registry,
        )

    def observe_call(self, method: str, status: str, seconds: float) -> None:
        """Count one answer."""
        self._calls.inc({"method": method, "status": status})
        self._seconds.observe({"method": method}, seconds)

    def text(self) -> bytes:
        """Write all metrics in the text form that scrapers read."""
        body, _ = render(self._registry, [_TEXT])
        return body
