"""Keep the running and past use of workspaces, kinds and callers."""

from catkinknot.admission import FairShare
from catkinknot.model import Configuration

from ._job import Job

__all__ = ["UsageAccounting"]

_HALF_LIFE_S = 600.0


class UsageAccounting:
    """Answer who has how much, and who should get the next free room."""

    def __init__(self) -> None:
        """Start with nothing running."""
        self._workspace_usage = FairShare(half_life_s=_HALF_LIFE_S)
        self._caller_usage = FairShare(half_life_s=_HALF_LIFE_S)
        self._running: dict[str, int] = {}
        self._running_kinds: dict[tuple[str, str], int] = {}
        self._charged_until: dict[str, float] = {}
        self._guaranteed: dict[str, int] = {}
        self._shares: dict[str, float] = {}

    def configure(self, cfg: Configuration, zone: str) -> None:
        """Take shares and guarantees from a configuration.

        Args:
            cfg: The configuration.
            zone: The availability zone that this scheduler decides for.
        """
        self._shares = {item.name: item.share for item in cfg.workspaces}
        self._guaranteed = {
            item.name: sum(s.accelerators * s.count for s in item.guarantee if s.zone == zone)
            for item in cfg.workspaces
        }

    def start(self, job: Job, now: float) -> None:
        """Count a job that starts to run."""
        self._add(job, job.accelerators)
        self._charged_until[str(job.job_id)] = now

    def stop(self, job: Job, now: float) -> None:
        """Count a job that ceases to run."""
        self.charge(job, now)
        self._add(job, -job.accelerators)
        self._charged_until.pop(str(job.job_id), None)

    def charge(self, job: Job, now: float) -> None:
        """Add the use of a running job since it was last added."""
        since = self._charged_until.get(str(job.job_id), now)
        amount = (now - since) * job.accelerators
        self._workspace_usage.charge(job.workspace, amount, now)
        self._caller_usage.charge(_caller_key(job.workspace, job.caller), amount, now)
        self._charged_until[str(job.job_id)] = now

    def prune_idle(self, now: float) -> None:
        """Drop callers whose past no longer counts."""
        self._caller_usage.prune_idle(now)

    def running(self, workspace: str) -> int:
        """Return the accelerators that a workspace runs on."""
        return self._running.get(workspace, 0)

    def active(self) -> set[str]:
        """Return the workspaces that run anything."""
        return {name for name, accelerators in self._running.items() if accelerators}

    def guaranteed(self, workspace: str) -> int:
        """Return the accelerators that a workspace is guaranteed here."""
        return self._guaranteed.get(workspace, 0)

    def normalized_usage(self, workspace: str, now: float) -> float:
        """Return a workspace's recent use by its share; the least goes first."""
        average = self._workspace_usage.used(workspace, now) / _HALF_LIFE_S
        return (self.running(workspace) + average) / self._shares.get(workspace, 1.0)

    def caller_use(self, workspace: str, caller: str, now: float) -> float:
        """Return what a caller has used recently, in accelerator-seconds."""
        return self._caller_usage.used(_caller_key(workspace, caller), now)

    def below_floor(self, workspace: str, kind: str, floor_share: float) -> bool:
        """Tell whether a kind has less than the part it keeps in a flood."""
        base = max(self.guaranteed(workspace), self.running(workspace))
        return self._running_kinds.get((workspace, kind), 0) < floor_share * base

    def fair_accelerators(self, workspace: str, zone_accelerators: int, active: set[str]) -> float:
        """Return a workspace's part of the zone among those that want any."""
        total = sum(self._shares.get(name, 1.0) for name in active | {workspace})
        return zone_accelerators * self._shares.get(workspace, 1.0) / total

    def _add(self, job: Job, accelerators: int) -> None:
        """Change what a workspace and a kind run on."""
        lane = (job.workspace, job.kind.name)
        self._running[job.workspace] = self.running(job.workspace) + accelerators
        self._running_kinds[lane] = self._running_kinds.get(lane, 0) + accelerators


def _caller_key(workspace: str, caller: str) -> str:
    """Name a caller across workspaces."""
    return f"{workspace}/{caller}"
