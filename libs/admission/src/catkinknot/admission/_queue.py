"""Queue the waiting jobs of a zone and order them by fairness."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Protocol

from catkinknot.model import JobId, Kind

__all__ = ["JobQueue", "QueuedJob"]

_SizeQueue = OrderedDict[JobId, "QueuedJob"]
"""Jobs of one workspace, kind, caller and gang size, in the order of their turn."""

Usage = Callable[[str], float]
"""Return the usage of a caller in accelerator-seconds."""


class QueuedJob(Protocol):
    """Attributes that a job must have to be queued."""

    job_id: JobId
    kind: Kind
    caller: str
    accelerators: int
    arrived_s: float


class JobQueue:
    """Waiting jobs of one zone by workspace, kind, caller and gang size.

    Adding and removing a job takes constant time, so that many cancellations
    at once cost no more per job than a single one.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queues: dict[str, dict[str, dict[str, dict[int, _SizeQueue]]]] = {}
        self._jobs: dict[JobId, QueuedJob] = {}
        self._counts: dict[tuple[str, str], int] = {}
        self._requested: dict[tuple[str, str], int] = {}

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._jobs)

    def __contains__(self, job_id: JobId) -> bool:
        """Return whether a job is waiting."""
        return job_id in self._jobs

    def add(self, job: QueuedJob, *, front: bool = False) -> None:
        """Add a job.

        Args:
            job: The job.
            front: Whether to put it before the caller's other jobs of the same
                kind and size.
        """
        workspace, kind = job.job_id.workspace, job.kind.name
        callers = self._queues.setdefault(workspace, {}).setdefault(kind, {})
        queue = callers.setdefault(job.caller, {}).setdefault(job.accelerators, OrderedDict())
        queue[job.job_id] = job
        if front:
            queue.move_to_end(job.job_id, last=False)
        self._jobs[job.job_id] = job
        self._count(workspace, kind, 1, job.accelerators)

    def remove(self, job_id: JobId) -> QueuedJob | None:
        """Remove a job.

        Args:
            job_id: The job.

        Returns:
            The job, or None when it was not waiting.
        """
        job = self._jobs.pop(job_id, None)
        if job is None:
            return None
        kinds = self._queues[job_id.workspace]
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
            del self._queues[job_id.workspace]
        self._count(job_id.workspace, job.kind.name, -1, -job.accelerators)
        return job

    def waiting(self, workspace: str, kind: str) -> int:
        """Return the number of waiting jobs of a workspace and kind."""
        return self._counts.get((workspace, kind), 0)

    def requested_accelerators(self, workspace: str, kind: str) -> int:
        """Return the accelerators requested by the waiting jobs of a workspace and kind."""
        return self._requested.get((workspace, kind), 0)

    def kinds(self, workspace: str) -> list[str]:
        """Return the kinds of a workspace's waiting jobs."""
        return list(self._queues.get(workspace, ()))

    def workspaces(self) -> list[str]:
        """Return the workspaces with waiting jobs."""
        return list(self._queues)

    def lanes(self) -> list[tuple[str, str, int, float]]:
        """Return workspace, kind, waiting jobs and oldest arrival time of each lane.

        A lane is the waiting jobs of one workspace and kind.
        """
        rows = []
        for workspace, kinds in self._queues.items():
            for kind, callers in kinds.items():
                heads = [_head(queue) for sizes in callers.values() for queue in sizes.values()]
                oldest = min(head.arrived_s for head in heads)
                rows.append((workspace, kind, self.waiting(workspace, kind), oldest))
        return rows

    def jobs(self) -> list[QueuedJob]:
        """Return all waiting jobs, in no particular order."""
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

        Kinds below their floor come first, then kinds by urgency. Within a
        kind, the callers take turns, beginning with the one of least usage. A
        caller's jobs are ordered by arrival.

        Args:
            workspace: The workspace.
            is_below_floor: Whether a kind is below its floor.
            caller_usage: The recent usage of a caller.
            skip: Whether jobs of this kind and size cannot start now. It is
                called again before each job, so that a size found not to fit
                costs nothing, however many jobs of that size are waiting.

        Yields:
            Jobs. The queue must not be changed before the last one.
        """
        kinds = self._queues.get(workspace, {})
        heads = [_head(next(iter(_any_caller(callers).values()))) for callers in kinds.values()]
        heads.sort(key=lambda job: (not is_below_floor(job.kind), -job.kind.urgency, job.kind.name))
        for head in heads:
            yield from self._by_caller(kinds[head.kind.name], caller_usage, skip)

    def _by_caller(
        self,
        callers: dict[str, dict[int, _SizeQueue]],
        usage: Usage,
        skip: Callable[[QueuedJob], bool],
    ) -> Iterator[QueuedJob]:
        """Yield one job of each caller in turn, the caller of least usage first."""
        order = sorted(callers, key=lambda caller: (usage(caller), caller))
        turns = [_by_arrival(callers[caller], skip) for caller in order]
        while turns:
            remaining = []
            for turn in turns:
                job = next(turn, None)
                if job is not None:
                    remaining.append(turn)
                    yield job
            turns = remaining

    def _count(self, workspace: str, kind: str, jobs: int, accelerators: int) -> None:
        """Update the totals of a workspace and kind."""
        lane = (workspace, kind)
        self._counts[lane] = self._counts.get(lane, 0) + jobs
        self._requested[lane] = self._requested.get(lane, 0) + accelerators
        if self._counts[lane] == 0:
            del self._counts[lane]
            del self._requested[lane]


def _by_arrival(
    sizes: dict[int, _SizeQueue], skip: Callable[[QueuedJob], bool]
) -> Iterator[QueuedJob]:
    """Yield one caller's jobs of a kind by arrival, without the sizes to skip."""
    queues = [iter(queue.values()) for queue in sizes.values()]
    heads = [(next(queue), queue) for queue in queues]
    while heads:
        heads = [(job, queue) for job, queue in heads if not skip(job)]
        if not heads:
            return
        job, queue = min(heads, key=lambda head: head[0].arrived_s)
        heads.remove((job, queue))
        yield job
        following = next(queue, None)
        if following is not None:
            heads.append((following, queue))


def _head(queue: _SizeQueue) -> QueuedJob:
    """Return the first job of a non-empty queue."""
    return next(iter(queue.values()))


def _any_caller(callers: dict[str, dict[int, _SizeQueue]]) -> dict[int, _SizeQueue]:
    """Return the queues of any one caller."""
    return next(iter(callers.values()))
