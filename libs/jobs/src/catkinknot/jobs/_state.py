"""Hold what is known of a job's tasks and how their state may change."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from ._spec import Job, Step

__all__ = ["JobPhase", "RunOutcome", "StepKey", "StepState", "TaskPhase", "TaskState"]


class JobPhase(StrEnum):
    """Name what a caller is told of a job."""

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
    """Name the phase of a task."""

    WAITING = 0
    DONE = 1
    ASSIGNED = 2


class RunOutcome(StrEnum):
    """Name how a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class StepKey:
    """Name one occurrence of a step."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Return the key of its record."""
        return f"{self.job}.{self.occurrence}.{self.step}"

    def task(self, index: int) -> str:
        """Return the name of one of its tasks."""
        return f"{self}.{index}"


@dataclass(slots=True)
class TaskState:
    """Know one task.

    Attributes:
        phase: Where it is.
        run: Number of its latest run, 0 before the first.
        server: Lifetime of the server of that run, while assigned.
        failures: Runs that ended by failure.
        checkpoint: Latest saved progress, empty for none.
        failed_run: The latest run that counted as a failure; several members
            of a gang may report the same one.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    server: str = ""
    failures: int = 0
    checkpoint: str = ""
    failed_run: int = 0


@dataclass(slots=True)
class StepState:
    """Know all tasks of one occurrence of a step."""

    key: StepKey
    step: Step
    job: Job
    tasks: list[TaskState] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Begin with every task waiting."""
        if not self.tasks:
            self.tasks = [TaskState() for _ in range(self.step.count)]

    @property
    def done(self) -> bool:
        """Whether every task has ended well."""
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
        """Begin a run of some tasks; the members of a gang share its number.

        Args:
            places: The server's lifetime by index of the task.
        """
        gang_run = max(task.run for task in self.tasks) + 1
        for i, server in places.items():
            task = self.tasks[i]
            task.phase = TaskPhase.ASSIGNED
            task.run = gang_run if self.step.gang else task.run + 1
            task.server = server

    def end(self, index: int, how: RunOutcome, checkpoint: str) -> None:
        """Take note of the end of a task's present run.

        Args:
            index: Which task.
            how: How the run ended.
            checkpoint: Progress that was saved, empty for none.
        """
        task = self.tasks[index]
        if task.phase is not TaskPhase.ASSIGNED:
            return
        if self.step.gang:
            self._end_gang(task, how, checkpoint)
            return
        task.phase = TaskPhase.DONE if self._counts_as_done(how) else TaskPhase.WAITING
        task.server = ""
        task.failures += how is RunOutcome.FAILED
        task.checkpoint = "" if how is RunOutcome.DONE else checkpoint or task.checkpoint

    def finish_late(self, index: int, run: int) -> bool:
        """Take note that a run which was given up had been done.

        Args:
            index: Which task.
            run: The run's number.

        Returns:
            Whether that finishes the task; it doesn't once a later run began.
        """
        task = self.tasks[index]
        finished = self.tasks if self.step.gang else [task]
        waiting = all(one.phase is TaskPhase.WAITING for one in finished)
        if self.step.service or task.run != run or not waiting:
            return False
        for one in finished:
            one.phase = TaskPhase.DONE
            one.checkpoint = ""
        return True

    def _end_gang(self, member: TaskState, how: RunOutcome, checkpoint: str) -> None:
        """Let one member's end stand for the gang where it has to."""
        if self._counts_as_done(how):
            for task in self.tasks:
                task.phase = TaskPhase.DONE
                task.server = ""
            return
        failed = how is RunOutcome.FAILED and member.failed_run < member.run
        for task in self.tasks:
            if failed:
                task.failures += 1
                task.failed_run = member.run
            task.checkpoint = checkpoint or task.checkpoint
        member.phase = TaskPhase.WAITING
        member.server = ""

    def _counts_as_done(self, how: RunOutcome) -> bool:
        """Tell whether an end finishes a task; a service never finishes."""
        return how is RunOutcome.DONE and not self.step.service
