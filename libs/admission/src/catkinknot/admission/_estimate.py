"""Estimate run times from measurements rather than declarations."""

from collections import deque

__all__ = ["RunTimeEstimator"]

_WINDOW_SAMPLES = 64
"""Run times kept for each estimate, so that old ones no longer count."""

_MIN_SAMPLES = 4
"""Fewest run times that an estimate is based on."""

_P90_QUANTILE = 0.9


class RunTimeEstimator:
    """Run time estimates by workspace and kind, from measured run times.

    While a workspace has too few samples of a kind, those of all workspaces
    are used.
    """

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self._by_workspace: dict[tuple[str, str], deque[float]] = {}
        self._by_kind: dict[str, deque[float]] = {}

    def record(self, workspace: str, kind: str, seconds: float) -> None:
        """Add a measured run time.

        Args:
            workspace: The workspace of the job.
            kind: The kind of work.
            seconds: The measured run time.
        """
        own = self._by_workspace.setdefault((workspace, kind), deque(maxlen=_WINDOW_SAMPLES))
        own.append(seconds)
        self._by_kind.setdefault(kind, deque(maxlen=_WINDOW_SAMPLES)).append(seconds)

    def has_enough_samples(self, workspace: str, kind: str) -> bool:
        """Return whether there are enough samples for an estimate.

        Args:
            workspace: The workspace of the job.
            kind: The kind of work.

        Returns:
            Whether estimates are based on measured run times.
        """
        own = self._by_workspace.get((workspace, kind), ())
        return len(own) >= _MIN_SAMPLES or len(self._by_kind.get(kind, ())) >= _MIN_SAMPLES

    def median_s(self, workspace: str, kind: str, declared_s: float) -> float:
        """Return the median run time.

        Args:
            workspace: The workspace of the job.
            kind: The kind of work.
            declared_s: Run time to assume while there are too few samples.

        Returns:
            Seconds.
        """
        return self._quantile(workspace, kind, 0.5, declared_s)

    def p90_s(self, workspace: str, kind: str, declared_s: float) -> float:
        """Return the 90th percentile of the run times.

        Args:
            workspace: The workspace of the job.
            kind: The kind of work.
            declared_s: Run time to assume while there are too few samples.

        Returns:
            Seconds.
        """
        return self._quantile(workspace, kind, _P90_QUANTILE, declared_s)

    def _quantile(self, workspace: str, kind: str, quantile: float, declared_s: float) -> float:
        """Return a quantile of the workspace's samples, or of all workspaces' samples."""
        sample = self._by_workspace.get((workspace, kind), ())
        if len(sample) < _MIN_SAMPLES:
            sample = self._by_kind.get(kind, ())
        if len(sample) < _MIN_SAMPLES:
            return declared_s
        ordered = sorted(sample)
        return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]
