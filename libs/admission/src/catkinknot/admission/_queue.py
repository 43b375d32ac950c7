"""Hold waiting jobs and say whose turn it is."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Protocol

from catkinknot.model import JobId, Kind

__all__ = ["JobQueue", "QueuedJob"]

_Lane = OrderedDict[JobId, "QueuedJob"]
"""Jobs of one workspace, kind, caller and size, the first in turn first."""

Usage = Callable[[str], float]
"""Tell how much a caller or a kind has used, in accelerator-seconds."""


class QueuedJob(Protocol):
    """Describe what the queue needs to know of a job."""

    job_id: JobId
    kind: Kind
    caller: str
    accelerators: int
    arrived_s: float


class JobQueue:
    """Hold the waiting jobs of one zone by workspace, kind and caller.

    Adding and removing a job takes constant time, so a wave of cancellations
    costs no more for each job than one does.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._lanes: dict[str, dict[str, dict[str, dict[int, _Lane]]]] = {}
        self._jobs: dict[JobId, QueuedJob] = {}
        self._counts: dict[tuple[str, str], int] = {}
        self._requested: dict[tuple[str, str], int] = {}

    def __len__(self) -> int:
        """Return how many jobs wait."""
        return len(self._jobs)

    def __contains__(self, job_id: JobId) -> bool:
        """Tell whether a job waits."""
        return job_id in self._jobs

    def add(self, job: QueuedJob, *, front: bool = False) -> None:
        """Let a job wait.

        Args:
            job: The job.
            front: Whether it goes before the caller's other jobs of the kind.
        """
        workspace, kind = job.job_id.workspace, job.kind.name
        callers = self._lanes.setdefault(workspace, {}).setdefault(kind, {})
        lane = callers.setdefault(job.caller, {}).setdefault(job.accelerators, OrderedDict())
        lane[job.job_id] = job
        if front:
            lane.move_to_end(job.job_id, last=False)
        self._jobs[job.job_id] = job
        self._count(workspace, kind, 1, job.accelerators)

    def remove(self, job_id: JobId) -> QueuedJob | None:
        """Take a job out.

        Args:
            job_id: The job.

        Returns:
            The job, None when it did not wait.
        """
        job = self._jobs.pop(job_id, None)
        if job is None:
            return None
        kinds = self._lanes[job_id.workspace]
        callers = kinds[job.kind.name]
        sizes = callers[job.caller]
        del sizes[job.accelerators][job_id]
        if not sizes[job.accelerators]:
            del sizes[job.accelerators]
        if not sizes:
            del callers[job.caller]
        if not callers:
            del kinds[job.kind.name]
        if not kinds:
            del self._lanes[job_id.workspace]
        self._count(job_id.workspace, job.kind.name, -1, -job.accelerators)
        return job

    def waiting(self, workspace: str, kind: str) -> int:
        """Return how many jobs of a workspace and kind wait."""
        return self._counts.get((workspace, kind), 0)

    def requested_accelerators(self, workspace: str, kind: str) -> int:
        """Return the accelerators that waiting jobs of a workspace and kind ask for."""
        return self._requested.get((workspace, kind), 0)

    def kinds(self, workspace: str) -> list[str]:
        """Return the kinds that a workspace waits for."""
        return list(self._lanes.get(workspace, ()))

    def workspaces(self) -> list[str]:
        """Return the workspaces with waiting jobs."""
        return list(self._lanes)

    def lanes(self) -> list[tuple[str, str, int, float]]:
        """Return workspace, kind, jobs and oldest arrival of every lane."""
        rows = []
        for workspace, kinds in self._lanes.items():
            for kind, callers in kinds.items():
                heads = [_first(lane) for sizes in callers.values() for lane in sizes.values()]
                oldest = min(head.arrived_s for head in heads)
                rows.append((workspace, kind, self.waiting(workspace, kind), oldest))
        return rows

    def jobs(self) -> list[QueuedJob]:
        """Return all waiting jobs, in no order."""
        return list(self._jobs.values())

    def in_turn(
        self,
        workspace: str,
        *,
        is_below_floor: Callable[[Kind], bool],
        caller_usage: Usage,
        skip: Callable[[QueuedJob], bool],
    ) -> Iterator[QueuedJob]:
        """Yield a workspace's jobs in the order in which they should start.

        Kinds that are below their floor go first, then the more urgent ones.
        Within a kind the callers take turns, starting with the one that used
        least. A caller's jobs go by arrival.

        Args:
            workspace: The workspace.
            is_below_floor: Whether a kind is below its floor.
            caller_usage: What a caller has used.
            skip: Whether jobs of this kind and size cannot start now. It is
                asked again before each job, so that a size that was found
                not to fit costs nothing however many such jobs wait.

        Yields:
            Jobs. The queue may be changed only after the last one.
        """
        kinds = self._lanes.get(workspace, {})
        heads = [_first(next(iter(_any(callers).values()))) for callers in kinds.values()]
        heads.sort(key=lambda job: (not is_below_floor(job.kind), -job.kind.urgency, job.kind.name))
        for head in heads:
            yield from self._by_caller(kinds[head.kind.name], caller_usage, skip)

    def _by_caller(
        self,
        callers: dict[str, dict[int, _Lane]],
        usage: Usage,
        skip: Callable[[QueuedJob], bool],
    ) -> Iterator[QueuedJob]:
        """Yield one job of each caller in turn, the least served caller first."""
        order = sorted(callers, key=lambda caller: (usage(caller), caller))
        turns = [_by_arrival(callers[caller], skip) for caller in order]
        while turns:
            left = []
            for turn in turns:
                job = next(turn, None)
                if job is not None:
                    left.append(turn)
                    yield job
            turns = left

    def _count(self, workspace: str, kind: str, jobs: int, accelerators: int) -> None:
        """Keep the totals of a workspace and kind."""
        lane = (workspace, kind)
        self._counts[lane] = self._counts.get(lane, 0) + jobs
        self._requested[lane] = self._requested.get(lane, 0) + accelerators
        if self._counts[lane] == 0:
            del self._counts[lane]
            del self._requested[lane]


def _by_arrival(sizes: dict[int, _Lane], skip: Callable[[QueuedJob], bool]) -> Iterator[QueuedJob]:
    """Yield one caller's jobs of a kind by arrival, leaving out sizes to skip."""
    lanes = [iter(lane.values()) for lane in sizes.values()]
    heads = [(next(lane), lane) for lane in lanes]
    while heads:
        heads = [(job, lane) for job, lane in heads if not skip(job)]
        if not heads:
            return
        job, lane = min(heads, key=lambda head: head[0].arrived_s)
        heads.remove((job, lane))
        yield job
        following = next(lane, None)
        if following is not None:
            heads.append((following, lane))


def _first(lane: _Lane) -> QueuedJob:
    """Return the first job of a lane."""
    return next(iter(lane.values()))


def _any(callers: dict[str, dict[int, _Lane]]) -> dict[int, _Lane]:
    """Return the lanes of some caller."""
    return next(iter(callers.values()))
