"""Learn how long work really runs, whatever was declared."""

from collections import deque

__all__ = ["RunTimeEstimator"]

_WINDOW = 64
"""Remember this many run times, so that old ones are forgotten."""

_FEW = 4
"""Trust a workspace's own run times from this many on."""

_CAUTIOUS_PART = 0.9


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
        own = self._by_workspace.setdefault((workspace, kind), deque(maxlen=_WINDOW))
        own.append(seconds)
        self._by_kind.setdefault(kind, deque(maxlen=_WINDOW)).append(seconds)

    def known(self, workspace: str, kind: str) -> bool:
        """Tell whether enough was measured to judge this work.

        Args:
            workspace: Whose work it is.
            kind: The kind of work.

        Returns:
            Whether estimates rest on measurements.
        """
        own = self._by_workspace.get((workspace, kind), ())
        return len(own) >= _FEW or len(self._by_kind.get(kind, ())) >= _FEW

    def typical_s(self, workspace: str, kind: str, declared_s: float) -> float:
        """Return the run time that half of the work stays under.

        Args:
            workspace: Whose work it is.
            kind: The kind of work.
            declared_s: What to assume while too little was measured.

        Returns:
            Seconds.
        """
        return self._quantile(workspace, kind, 0.5, declared_s)

    def cautious_s(self, workspace: str, kind: str, declared_s: float) -> float:
        """Return the run time that nine in ten stay under.

        Args:
            workspace: Whose work it is.
            kind: The kind of work.
            declared_s: What to assume while too little was measured.

        Returns:
            Seconds.
        """
        return self._quantile(workspace, kind, _CAUTIOUS_PART, declared_s)

    def _quantile(self, workspace: str, kind: str, part: float, declared_s: float) -> float:
        """Return a quantile of the best sample there is."""
        sample = self._by_workspace.get((workspace, kind), ())
        if len(sample) < _FEW:
            sample = self._by_kind.get(kind, ())
        if len(sample) < _FEW:
            return declared_s
        ordered = sorted(sample)
        return ordered[min(int(part * len(ordered)), len(ordered) - 1)]
