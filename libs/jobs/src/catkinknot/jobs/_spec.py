"""Describe a job: its steps, what a task needs, and the policy of its queue."""

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["AdviserTimings", "Job", "Policy", "Resources", "Schedule", "Step"]


class Resources(NamedTuple):
    """Count what a task takes or a server has.

    Attributes:
        cpu_milli: Processor, in thousandths of a core.
        memory_mb: Memory in megabytes.
        accelerators: Whole accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
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
        times = UNLIMITED
        if self.cpu_milli:
            times = available.cpu_milli // self.cpu_milli
        if self.memory_mb:
            times = min(times, available.memory_mb // self.memory_mb)
        if self.accelerators:
            times = min(times, available.accelerators // self.accelerators)
        return max(0, times)


UNLIMITED = 1_000_000
"""Tasks that need nothing fit this often."""


@dataclass(frozen=True, slots=True)
class Step:
    """Describe tasks that are alike.

    Attributes:
        count: Number of tasks.
        need: What each task takes.
        estimate_ms: Declared run time of a task; often wrong.
        after: Earlier steps that must be done first.
        checkpoints: Whether a task saves its progress.
        gang: Whether the tasks run only together, as one run.
        one_rack: Whether the gang is slower on several racks.
        labels: Labels a server must have.
        data_rack: The rack its data is in, empty for none.
        max_per_server: Most tasks on one server, 0 for no limit.
        speculative: Whether copies of a task may run side by side.
        service: Whether the tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        target_ms: Highest response time of a service's users, 0 for none.
        filler: Whether the tasks only take processor that others leave.
        max_unavailable: Tasks of a service that may be stopped at once.
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
        """What a task takes from its server's capacity."""
        if not self.filler:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)


@dataclass(frozen=True, slots=True)
class Schedule:
    """Run the steps of a job several times.

    Attributes:
        first_ms: When the first occurrence is due, since 1970.
        period_ms: Time between occurrences.
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
    """Say how the placement adviser of a queue behaves.

    Attributes:
        decision_ms: Its time for a question.
        interval_ms: Its time for each server that is asked about.
        validity_ms: How long an answer can be used.
    """

    decision_ms: int
    interval_ms: int
    validity_ms: int


@dataclass(frozen=True, slots=True)
class Policy:
    """Hold what a queue promises its jobs, as it was when the job came.

    Attributes:
        queue: Name of the queue.
        service: Pool of servers that runs the tasks.
        priority: 0 comes first and may preempt others.
        max_attempts: Failed runs after which a task is given up.
        stretch: Objective as a multiple of the work.
        target_ms: Added to the objective.
        advice: The adviser's figures where the queue has one.
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
    """Describe a job as its caller handed it in.

    Attributes:
        id: The caller's identity for it; a repeat is the same job.
        workspace: Whose job it is.
        policy: What its queue promised.
        payload: Opaque text that every task is given.
        steps: Its steps, numbered from 0.
        accepted_ms: When it was accepted, since 1970.
        schedule: When it is repeated, if it is.
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
        """How often the steps run."""
        return self.schedule.count if self.schedule else 1

    @property
    def runs_until_cancelled(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.service for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in milliseconds since 1970."""
        return self.schedule.due_ms(occurrence) if self.schedule else self.accepted_ms

    def critical_path_ms(self, *, done: frozenset[int] = frozenset()) -> int:
        """Return the declared time of the longest chain of steps.

        Args:
            done: Steps that need no more time.
        """
        ends: list[int] = []
        for i, step in enumerate(self.steps):
            start = max((ends[j] for j in step.after if j < i), default=0)
            ends.append(start + (0 if i in done else step.estimate_ms))
        return max(ends, default=0)

    def objective_ms(self) -> float:
        """Return the time within which an occurrence should end."""
        return self.policy.stretch * self.critical_path_ms() + self.policy.target_ms
