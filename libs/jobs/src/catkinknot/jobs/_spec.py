"""Job specification: steps, resources of a task, and the policy of the queue."""

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["AdviserTimings", "Job", "Policy", "Resources", "Schedule", "Step"]


class Resources(NamedTuple):
    """Amount of processor, memory and accelerators.

    Attributes:
        cpu_milli: Processor time, in thousandths of a core.
        memory_mb: Memory in megabytes.
        accelerators: Number of whole accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return the difference; its parts may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: "Resources") -> bool:
        """Return whether these resources fit into the available ones."""
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def max_count_in(self, available: "Resources") -> int:
        """Return how many times these resources fit into the available ones."""
        times = UNLIMITED_COUNT
        if self.cpu_milli:
            times = available.cpu_milli // self.cpu_milli
        if self.memory_mb:
            times = min(times, available.memory_mb // self.memory_mb)
        if self.accelerators:
            times = min(times, available.accelerators // self.accelerators)
        return max(0, times)


UNLIMITED_COUNT = 1_000_000
"""Number of tasks that fit if a task needs no resources."""


@dataclass(frozen=True, slots=True)
class Step:
    """Step of a job: a number of identical tasks.

    Attributes:
        count: Number of tasks.
        need: Resources that each task needs.
        estimate_ms: Declared run time of a task, in milliseconds; often wrong.
        after: Indexes of earlier steps that must be done first.
        checkpoints: Whether the tasks save checkpoints.
        gang: Whether all tasks must run at the same time, as one run.
        one_rack: Whether the gang runs slower if it spans several racks.
        labels: Labels that a server must have.
        data_rack: Rack that holds the input data, empty for none.
        max_per_server: Most tasks of the step on one server, 0 for no limit.
        speculative: Whether several copies of a task may run at once.
        service: Whether the tasks run until the job is cancelled.
        image: Image that the tasks run; tasks of the same image behave alike.
        target_ms: Highest response time of a service for its users, in
            milliseconds, 0 for none.
        filler: Whether the tasks use only processor time that others leave idle.
        max_unavailable: Most tasks of a service that may be stopped at once.
    """

    count: int
    need: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    labels: tuple[str, ...] = ()
    data_rack: str = ""
    max_per_server: int = 0
    speculative: bool = False
    service: bool = False
    image: str = ""
    target_ms: int = 0
    filler: bool = False
    max_unavailable: int = 0

    @property
    def allocation(self) -> Resources:
        """Resources that a task takes from its server's capacity."""
        if not self.filler:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)


@dataclass(frozen=True, slots=True)
class Schedule:
    """Schedule of a job whose steps run several times.

    Attributes:
        first_ms: When the first occurrence is due, in milliseconds since 1970.
        period_ms: Time between occurrences, in milliseconds.
        count: Number of occurrences.
    """

    first_ms: int
    period_ms: int
    count: int

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in milliseconds since 1970."""
        return self.first_ms + occurrence * self.period_ms


@dataclass(frozen=True, slots=True)
class AdviserTimings:
    """Response times of the placement adviser of a queue.

    Attributes:
        decision_ms: Time that a request takes by itself, in milliseconds.
        interval_ms: Additional time for each server in the request, in
            milliseconds.
        validity_ms: How long an answer is valid, in milliseconds.
    """

    decision_ms: int
    interval_ms: int
    validity_ms: int


@dataclass(frozen=True, slots=True)
class Policy:
    """Policy of a queue, as it was when the job was submitted.

    Attributes:
        queue: Name of the queue.
        service: Pool of servers that run the tasks.
        priority: Priority of the jobs; 0 is the highest and may preempt others.
        max_attempts: Failed runs of a task after which its job fails.
        stretch: Objective for the completion time, as a multiple of the
            critical path.
        target_ms: Time added to the objective, in milliseconds.
        advice: Response times of the placement adviser, None without one.
    """

    queue: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    advice: AdviserTimings | None = None


@dataclass(frozen=True, slots=True)
class Job:
    """Job as its caller submitted it.

    Attributes:
        id: Identifier chosen by the caller; a submit with the same one is a
            repeat of this job.
        workspace: Workspace that the job belongs to.
        policy: Policy of the queue at the time of the submit.
        payload: Opaque text that is passed to every task.
        steps: Steps of the job, numbered from 0.
        accepted_ms: When the job was accepted, in milliseconds since 1970.
        schedule: Schedule of the occurrences, None for a single one.
    """

    id: str
    workspace: str
    policy: Policy
    payload: str
    steps: tuple[Step, ...]
    accepted_ms: int = 0
    schedule: Schedule | None = field(default=None)

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return self.schedule.count if self.schedule else 1

    @property
    def runs_until_cancelled(self) -> bool:
        """Whether the job has a service step and so runs until it is cancelled."""
        return any(step.service for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in milliseconds since 1970."""
        return self.schedule.due_ms(occurrence) if self.schedule else self.accepted_ms

    def critical_path_ms(self, *, done: frozenset[int] = frozenset()) -> int:
        """Return the declared run time of the longest chain of dependent steps.

        Args:
            done: Indexes of steps that are done and need no more time.
        """
        ends: list[int] = []
        for i, step in enumerate(self.steps):
            start = max((ends[j] for j in step.after if j < i), default=0)
            ends.append(start + (0 if i in done else step.estimate_ms))
        return max(ends, default=0)

    def objective_ms(self) -> float:
        """Return the time within which an occurrence should end, in milliseconds."""
        return self.policy.stretch * self.critical_path_ms() + self.policy.target_ms
