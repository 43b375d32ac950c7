"""Bound what each caller has in hand."""

from dataclasses import dataclass

__all__ = ["CallerLimiter"]


@dataclass
class _UnfinishedWork:
    """Count the unfinished work of one caller.

    Attributes:
        jobs: Unfinished jobs.
        accelerators: Accelerators that they ask for.
    """

    jobs: int = 0
    accelerators: int = 0


class CallerLimiter:
    """Count the unfinished work of each caller of a workspace."""

    def __init__(self) -> None:
        """Start with nothing in hand."""
        self._unfinished: dict[tuple[str, str], _UnfinishedWork] = {}

    def admit(
        self, workspace: str, caller: str, accelerators: int, *, jobs: int, limit: int
    ) -> bool:
        """Count one more job if the limits allow it.

        Args:
            workspace: The workspace.
            caller: Who asks.
            accelerators: What the job asks for.
            jobs: The most unfinished jobs.
            limit: The most accelerators that unfinished jobs may ask for.

        Returns:
            Whether it was counted.
        """
        held = self._unfinished.setdefault((workspace, caller), _UnfinishedWork())
        if held.jobs + 1 > jobs or held.accelerators + accelerators > limit:
            self._drop_if_idle(workspace, caller)
            return False
        held.jobs += 1
        held.accelerators += accelerators
        return True

    def finish(self, workspace: str, caller: str, accelerators: int) -> None:
        """Count one job less.

        Args:
            workspace: The workspace.
            caller: Who asked.
            accelerators: What the job asked for.
        """
        held = self._unfinished.get((workspace, caller))
        if held is None:
            return
        held.jobs -= 1
        held.accelerators -= accelerators
        self._drop_if_idle(workspace, caller)

    def callers(self) -> int:
        """Return how many callers have work in hand."""
        return len(self._unfinished)

    def _drop_if_idle(self, workspace: str, caller: str) -> None:
        """Forget a caller with nothing in hand."""
        if self._unfinished[workspace, caller].jobs <= 0:
            del self._unfinished[workspace, caller]
