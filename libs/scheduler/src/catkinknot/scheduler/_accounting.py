"""Account for the accelerators that workspaces, kinds and callers use."""

from catkinknot.admission import FairShare
from catkinknot.model import Configuration

from ._job import Job

__all__ = ["UsageAccounting"]

_HALF_LIFE_S = 600.0
"""Half-life of past usage in the fair-share ranking."""


class UsageAccounting:
    """Current and recent accelerator usage, and the fair shares derived from it."""

    def __init__(self) -> None:
        """Create accounts without any usage, shares or guarantees."""
        self._workspace_usage = FairShare(half_life_s=_HALF_LIFE_S)
        self._caller_usage = FairShare(half_life_s=_HALF_LIFE_S)
        self._running: dict[str, int] = {}
        self._running_kinds: dict[tuple[str, str], int] = {}
        self._charged_until: dict[str, float] = {}
        self._guaranteed: dict[str, int] = {}
        self._shares: dict[str, float] = {}

    def configure(self, cfg: Configuration, zone: str) -> None:
        """Apply the shares and guarantees of a configuration.

        Args:
            cfg: The configuration.
            zone: The availability zone whose guarantees count.
        """
        self._shares = {item.name: item.share for item in cfg.workspaces}
        self._guaranteed = {
            item.name: sum(s.accelerators * s.count for s in item.guarantee if s.zone == zone)
            for item in cfg.workspaces
        }

    def start(self, job: Job, now: float) -> None:
        """Add a started job to the accelerators in use."""
        self._add(job, job.accelerators)
        self._charged_until[str(job.job_id)] = now

    def stop(self, job: Job, now: float) -> None:
        """Charge a job that no longer runs and subtract it from the accelerators in use."""
        self.charge(job, now)
        self._add(job, -job.accelerators)
        self._charged_until.pop(str(job.job_id), None)

    def charge(self, job: Job, now: float) -> None:
        """Charge the usage of a running job since it was last charged."""
        since = self._charged_until.get(str(job.job_id), now)
        amount = (now - since) * job.accelerators
        self._workspace_usage.charge(job.workspace, amount, now)
        self._caller_usage.charge(_caller_key(job.workspace, job.caller), amount, now)
        self._charged_until[str(job.job_id)] = now

    def prune_idle(self, now: float) -> None:
        """Remove callers whose past usage has decayed to almost nothing."""
        self._caller_usage.prune_idle(now)

    def running(self, workspace: str) -> int:
        """Return the number of accelerators that a workspace's running jobs use."""
        return self._running.get(workspace, 0)

    def active(self) -> set[str]:
        """Return the workspaces with running jobs."""
        return {name for name, accelerators in self._running.items() if accelerators}

    def guaranteed(self, workspace: str) -> int:
        """Return the number of accelerators guaranteed to a workspace in this zone."""
        return self._guaranteed.get(workspace, 0)

    def normalized_usage(self, workspace: str, now: float) -> float:
        """Return a workspace's current and recent usage divided by its share.

        The workspace with the lowest value is served first.
        """
        average = self._workspace_usage.used(workspace, now) / _HALF_LIFE_S
        return (self.running(workspace) + average) / self._shares.get(workspace, 1.0)

    def caller_use(self, workspace: str, caller: str, now: float) -> float:
        """Return a caller's recent usage in accelerator-seconds."""
        return self._caller_usage.used(_caller_key(workspace, caller), now)

    def below_floor(self, workspace: str, kind: str, floor_share: float) -> bool:
        """Return whether a kind runs on less than its floor share of the workspace's accelerators.

        The share is of the accelerators guaranteed to the workspace or in use
        by it, whichever are more. The floor keeps a kind running while other
        kinds flood the queue.
        """
        base = max(self.guaranteed(workspace), self.running(workspace))
        return self._running_kinds.get((workspace, kind), 0) < floor_share * base

    def fair_accelerators(self, workspace: str, zone_accelerators: int, active: set[str]) -> float:
        """Return a workspace's fair share of the zone's accelerators among the active ones."""
        total = sum(self._shares.get(name, 1.0) for name in active | {workspace})
        return zone_accelerators * self._shares.get(workspace, 1.0) / total

    def _add(self, job: Job, accelerators: int) -> None:
        """Add to the accelerators in use by the job's workspace and kind."""
        lane = (job.workspace, job.kind.name)
        self._running[job.workspace] = self.running(job.workspace) + accelerators
        self._running_kinds[lane] = self._running_kinds.get(lane, 0) + accelerators


def _caller_key(workspace: str, caller: str) -> str:
    """Return a key for a caller that is unique across workspaces."""
    return f"{workspace}/{caller}"
