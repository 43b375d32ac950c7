"""Learn how long the tasks of a queue run, where callers declare it badly."""

from dataclasses import dataclass

__all__ = ["Estimates"]

WEIGHT = 0.2
"""Weight of the latest run in the running means."""

MIN_RUNS = 4
"""Runs that must have ended before what was learned is used."""

BAD_ERROR = 0.4
"""Mean relative error from which on what was declared is not used."""


@dataclass(slots=True)
class _Learned:
    mean_ms: float
    error: float
    runs: int = 1


class Estimates:
    """Know the mean run time and the mean error of what was declared, by queue."""

    def __init__(self) -> None:
        """Begin with nothing learned."""
        self._queues: dict[str, _Learned] = {}

    def note(self, queue: str, declared_ms: float, actual_ms: float) -> None:
        """Take note of a run that ended well.

        Args:
            queue: Its queue.
            declared_ms: What its caller had declared.
            actual_ms: How long it ran.
        """
        if actual_ms <= 0:
            return
        error = abs(declared_ms - actual_ms) / actual_ms
        known = self._queues.get(queue)
        if known is None:
            self._queues[queue] = _Learned(actual_ms, error)
            return
        known.mean_ms += WEIGHT * (actual_ms - known.mean_ms)
        known.error += WEIGHT * (error - known.error)
        known.runs += 1

    def of(self, queue: str, declared_ms: float) -> float:
        """Return how long a task is likely to run, in milliseconds."""
        known = self._queues.get(queue)
        if known is None or known.runs < MIN_RUNS or known.error < BAD_ERROR:
            return declared_ms
        return known.mean_ms
