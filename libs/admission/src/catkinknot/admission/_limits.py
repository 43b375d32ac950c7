"""Limit the unfinished work of each caller."""

from dataclasses import dataclass

__all__ = ["CallerLimiter"]


@dataclass
class _UnfinishedWork:
    """Unfinished work of one caller.

    Attributes:
        jobs: Number of unfinished jobs.
        accelerators: Number of accelerators that they request.
    """

    jobs: int = 0
    accelerators: int = 0


class CallerLimiter:
    """Limit on the unfinished work of each caller of a workspace."""

    def __init__(self) -> None:
        """Create a limiter without unfinished work."""
        self._unfinished: dict[tuple[str, str], _UnfinishedWork] = {}

    def admit(
        self,
        workspace: str,
        caller: str,
        accelerators: int,
        *,
        max_jobs: int,
        max_accelerators: int,
    ) -> bool:
        """Count a job if the caller's limits allow it.

        Args:
            workspace: The workspace.
            caller: The caller that submits the job.
            accelerators: Number of accelerators that the job requests.
            max_jobs: Limit of the caller's unfinished jobs.
            max_accelerators: Limit of the accelerators that those request.

        Returns:
            Whether the job is within the limits.
        """
        unfinished = self._unfinished.setdefault((workspace, caller), _UnfinishedWork())
        if (
            unfinished.jobs + 1 > max_jobs
            or unfinished.accelerators + accelerators > max_accelerators
        ):
            self._drop_if_idle(workspace, caller)
            return False
        unfinished.jobs += 1
        unfinished.accelerators += accelerators
        return True

    def finish(self, workspace: str, caller: str, accelerators: int) -> None:
        """Stop counting a job that has ended.

        Args:
            workspace: The workspace.
            caller: The caller that submitted the job.
            accelerators: Number of accelerators that the job requested.
        """
        unfinished = self._unfinished.get((workspace, caller))
        if unfinished is None:
            return
        unfinished.jobs -= 1
        unfinished.accelerators -= accelerators
        self._drop_if_idle(workspace, caller)

    def callers(self) -> int:
        """Return the number of callers with unfinished work."""
        return len(self._unfinished)

    def _drop_if_idle(self, workspace: str, caller: str) -> None:
        """Drop the entry of a caller without unfinished work."""
        if self._unfinished[workspace, caller].jobs <= 0:
            del self._unfinished[workspace, caller]
