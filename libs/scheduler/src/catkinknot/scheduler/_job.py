"""Define an unfinished job and its state in the scheduler."""

from dataclasses import dataclass, field
from enum import Enum

from catkinknot.model import JobId, JobRequest, Kind

__all__ = ["Job", "JobState"]


class JobState(Enum):
    """Scheduling state of a job."""

    WAITING = "waiting"
    HELD = "held"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass
class Job:
    """Unfinished job of one availability zone.

    Attributes:
        request: The caller's request.
        kind: The kind of work.
        arrived_s: When the job arrived, on the scheduler's clock.
        state: The scheduling state.
        attempt: The number of the current or last attempt, 0 before the first.
        started_s: When the current attempt started.
        stop_count: How often the job was stopped before its end.
        failed_on: Servers on which an attempt failed.
        not_before_s: Earliest time of the next attempt.
        progress_s: Seconds of work saved in the last checkpoint.
        may_have_run: Whether a start was sent to any server.
        cancelled: Whether the caller cancelled the job.
        on_guarantee: Whether the current attempt uses the workspace's guarantee.
    """

    request: JobRequest
    kind: Kind
    arrived_s: float
    state: JobState = JobState.WAITING
    attempt: int = 0
    started_s: float = 0.0
    stop_count: int = 0
    failed_on: set[str] = field(default_factory=set)
    not_before_s: float = 0.0
    progress_s: float = 0.0
    may_have_run: bool = False
    cancelled: bool = False
    on_guarantee: bool = False

    @property
    def job_id(self) -> JobId:
        """Identifier of the job."""
        return self.request.job_id

    @property
    def caller(self) -> str:
        """Caller that submitted the job."""
        return self.request.caller

    @property
    def workspace(self) -> str:
        """Workspace whose share and guarantee the job uses."""
        return self.request.workspace

    @property
    def accelerators(self) -> int:
        """Number of accelerators in the gang."""
        return self.request.accelerators

    @property
    def deadline_s(self) -> float:
        """When the result is no longer of use, on the scheduler's clock."""
        return self.arrived_s + self.kind.deadline_s
