"""Name what the planner can decide."""

from dataclasses import dataclass

from catkinknot.model import JobId, ResultCode
from catkinknot.placement import Placement

from ._job import Job

__all__ = ["Decision", "DropJob", "StartJob", "StopJob"]


@dataclass(frozen=True)
class StartJob:
    """Start one attempt of a job.

    Attributes:
        job: The job.
        attempt: The attempt.
        placement: The accelerators to reserve.
    """

    job: Job
    attempt: int
    placement: Placement


@dataclass(frozen=True)
class StopJob:
    """Stop a running attempt.

    Attributes:
        job_id: The job.
        attempt: The attempt.
        placement: Where it runs.
        checkpoint: Whether to save its progress first.
        reason: Why, in a few words.
    """

    job_id: JobId
    attempt: int
    placement: Placement
    checkpoint: bool
    reason: str


@dataclass(frozen=True)
class DropJob:
    """End a job without another attempt.

    Attributes:
        job: The job.
        code: What to tell the caller.
        message: One sentence for a person.
    """

    job: Job
    code: ResultCode
    message: str


Decision = StartJob | StopJob | DropJob
