"""State of a job's tasks and its transitions."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from ._spec import Job, Step

__all__ = ["JobPhase", "RunOutcome", "StepKey", "StepState", "TaskPhase", "TaskState"]


class JobPhase(StrEnum):
    """Phase of a job, as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job has ended."""
        return self in (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED)


class TaskPhase(IntEnum):
    """Phase of a task."""

    WAITING = 0
    DONE = 1
    ASSIGNED = 2


class RunOutcome(StrEnum):
    """Outcome of a run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class StepKey:
    """Key of one occurrence of a step."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Return the key of the step's record in the ledger."""
        return f"{self.job}.{self.occurrence}.{self.step}"

    def task(self, index: int) -> str:
        """Return the name of one of the step's tasks."""
        return f"{self}.{index}"


@dataclass(slots=True)
class TaskState:
    """State of one task.

    Attributes:
        phase: Phase of the task.
        run: Number of the latest run, 0 before the first.
        server: Lifetime of the server that the run is assigned to, empty otherwise.
        failures: Number of runs that failed.
        checkpoint: Latest checkpoint, empty for none.
        failed_run: Number of the latest run that was counted as a failure;
            several members of a gang may report the failure of the same run.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    server: str = ""
    failures: int = 0
    checkpoint: str = ""
    failed_run: int = 0


@dataclass(slots=True)
class StepState:
    """State of all tasks of one occurrence of a step."""

    key: StepKey
    step: Step
    job: Job
    tasks: list[TaskState] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Initialize all tasks as waiting, unless states were given."""
        if not self.tasks:
            self.tasks = [TaskState() for _ in range(self.step.count)]

    @property
    def done(self) -> bool:
        """Whether every task is done."""
        return all(task.phase is TaskPhase.DONE for task in self.tasks)

    def waiting(self) -> list[int]:
        """Return the indexes of tasks that wait for a server."""
        return [i for i, task in enumerate(self.tasks) if task.phase is TaskPhase.WAITING]

    def assigned(self) -> list[int]:
        """Return the indexes of tasks that have a server."""
        return [i for i, task in enumerate(self.tasks) if task.phase is TaskPhase.ASSIGNED]

    @property
    def exhausted(self) -> bool:
        """Whether a task has failed as often as its queue allows."""
        if self.step.service:
            return False
        return any(task.failures >= self.job.policy.max_attempts for task in self.tasks)

    def assign(self, places: dict[int, str]) -> None:
        """Assign tasks to servers as new runs; the members of a gang share the run number.

        Args:
            places: Lifetime of the server, by index of the task.
        """
        gang_run = max(task.run for task in self.tasks) + 1
        for i, server in places.items():
            task = self.tasks[i]
            task.phase = TaskPhase.ASSIGNED
            task.run = gang_run if self.step.gang else task.run + 1
            task.server = server

    def end(self, index: int, outcome: RunOutcome, checkpoint: str) -> None:
        """Apply the end of a task's current run.

        Args:
            index: Index of the task.
            outcome: Outcome of the run.
            checkpoint: Checkpoint that was saved, empty for none.
        """
        task = self.tasks[index]
        if task.phase is not TaskPhase.ASSIGNED:
            return
        if self.step.gang:
            self._end_gang(task, outcome, checkpoint)
            return
        task.phase = TaskPhase.DONE if self._counts_as_done(outcome) else TaskPhase.WAITING
        task.server = ""
        task.failures += outcome is RunOutcome.FAILED
        task.checkpoint = "" if outcome is RunOutcome.DONE else checkpoint or task.checkpoint

    def finish_late(self, index: int, run: int) -> bool:
        """Apply a late report that an abandoned run had been done.

        Args:
            index: Index of the task.
            run: Number of the run.

        Returns:
            Whether the report completes the task; it does not once a later run
            has begun.
        """
        task = self.tasks[index]
        members = self.tasks if self.step.gang else [task]
        waiting = all(member.phase is TaskPhase.WAITING for member in members)
        if self.step.service or task.run != run or not waiting:
            return False
        for member in members:
            member.phase = TaskPhase.DONE
            member.checkpoint = ""
        return True

    def _end_gang(self, member: TaskState, outcome: RunOutcome, checkpoint: str) -> None:
        """Apply the end of a gang member's run, and what it means for the whole gang."""
        if self._counts_as_done(outcome):
            for task in self.tasks:
                task.phase = TaskPhase.DONE
                task.server = ""
            return
        failed = outcome is RunOutcome.FAILED and member.failed_run < member.run
        for task in self.tasks:
            if failed:
                task.failures += 1
                task.failed_run = member.run
            task.checkpoint = checkpoint or task.checkpoint
        member.phase = TaskPhase.WAITING
        member.server = ""

    def _counts_as_done(self, outcome: RunOutcome) -> bool:
        """Return whether an outcome completes a task; tasks of a service never complete."""
        return outcome is RunOutcome.DONE and not self.step.service
