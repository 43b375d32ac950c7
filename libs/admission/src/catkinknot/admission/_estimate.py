"""Learn how long work really runs, whatever was declared."""

from collections import deque

__all__ = ["RunTimeEstimator"]

_WINDOW_SAMPLES = 64
"""Remember this many run times, so that old ones are forgotten."""

_MIN_SAMPLES = 4
"""Trust a workspace's own run times from this many on."""

_P90 = 0.9


class RunTimeEstimator:
    """Estimate run times by workspace and kind from what was measured."""

    def __init__(self) -> None:
        """Start with nothing measured."""
        self._by_workspace: dict[tuple[str, str], deque[float]] = {}
        self._by_kind: dict[str, deque[float]] = {}

    def record(self, workspace: str, kind: str, seconds: float) -> None:
        """Add a measured run time.

        Args:
            workspace: Whose work it was.
            kind: The kind of work.
            seconds: How long it ran.
        """
        own = self._by_workspace.setdefault((workspace, kind), deque(maxlen=_WINDOW_SAMPLES))
        own.append(seconds)
        self._by_kind.setdefault(kind, deque(maxlen=_WINDOW_SAMPLES)).append(seconds)

    def has_enough_samples(self, workspace: str, kind: str) -> bool:
        """Tell whether enough was measured to judge this work.

        Args:
            workspace: Whose work it is.
            kind: The kind of work.

        Returns:
            Whether estimates rest on measurements.
        """
        own = self._by_workspace.get((workspace, kind), ())
        return len(own) >= _MIN_SAMPLES or len(self._by_kind.get(kind, ())) >= _MIN_SAMPLES

    def median_s(self, workspace: str, kind: str, declared_s: float) -> float:
        """Return the run time that half of the work stays under.

        Args:
            workspace: Whose work it is.
            kind: The kind of work.
            declared_s: What to assume while too little was measured.

        Returns:
            Seconds.
        """
        return self._quantile(workspace, kind, 0.5, declared_s)

    def p90_s(self, workspace: str, kind: str, declared_s: float) -> float:
        """Return the run time that nine in ten stay under.

        Args:
            workspace: Whose work it is.
            kind: The kind of work.
            declared_s: What to assume while too little was measured.

        Returns:
            Seconds.
        """
        return self._quantile(workspace, kind, _P90, declared_s)

    def _quantile(self, workspace: str, kind: str, part: float, declared_s: float) -> float:
        """Return a quantile of the best sample there is."""
        sample = self._by_workspace.get((workspace, kind), ())
        if len(sample) < _MIN_SAMPLES:
            sample = self._by_kind.get(kind, ())
        if len(sample) < _MIN_SAMPLES:
            return declared_s
        ordered = sorted(sample)
        return ordered[min(int(part * len(ordered)), len(ordered) - 1)]
