"""Describe a job as the scheduler of one zone sees it."""

from dataclasses import dataclass, field
from enum import Enum

from catkinknot.model import JobId, JobRequest, Kind

__all__ = ["Job", "JobState"]


class JobState(Enum):
    """Say where a job stands."""

    WAITING = "waiting"
    HELD = "held"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass
class Job:
    """Hold one unfinished job.

    Attributes:
        request: What the caller asked for.
        kind: The kind of work.
        arrived_s: When it arrived, on the scheduler's clock.
        state: Where it stands.
        attempt: The current or last attempt, 0 before the first.
        started_s: When the attempt started.
        preemption_count: How often it was stopped for others.
        failed_on: Servers on which it failed.
        not_before_s: When it may be tried again.
        progress_s: Seconds of work that a checkpoint keeps.
        may_have_run: Whether any start was sent.
        cancelled: Whether its caller gave it up.
        on_guarantee: Whether its attempt runs on the guarantee.
    """

    request: JobRequest
    kind: Kind
    arrived_s: float
    state: JobState = JobState.WAITING
    attempt: int = 0
    started_s: float = 0.0
    preemption_count: int = 0
    failed_on: set[str] = field(default_factory=set)
    not_before_s: float = 0.0
    progress_s: float = 0.0
    may_have_run: bool = False
    cancelled: bool = False
    on_guarantee: bool = False

    @property
    def job_id(self) -> JobId:
        """The job's identity."""
        return self.request.job_id

    @property
    def caller(self) -> str:
        """Who asked for it."""
        return self.request.caller

    @property
    def workspace(self) -> str:
        """The workspace that pays."""
        return self.request.workspace

    @property
    def accelerators(self) -> int:
        """Accelerators that it needs at once."""
        return self.request.accelerators

    @property
    def deadline_s(self) -> float:
        """When its answer becomes useless, on the scheduler's clock."""
        return self.arrived_s + self.kind.deadline_s
