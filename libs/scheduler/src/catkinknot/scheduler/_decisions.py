"""Define the decisions of the planner."""

from dataclasses import dataclass

from catkinknot.model import JobId, ResultCode
from catkinknot.placement import Placement

from ._job import Job

__all__ = ["Decision", "DropJob", "StartJob", "StopJob"]


@dataclass(frozen=True)
class StartJob:
    """Decision to start an attempt of a job.

    Attributes:
        job: The job.
        attempt: The number of the attempt.
        placement: The accelerators to run it on.
    """

    job: Job
    attempt: int
    placement: Placement


@dataclass(frozen=True)
class StopJob:
    """Decision to stop a running attempt.

    Attributes:
        job_id: The job.
        attempt: The number of the attempt.
        placement: The accelerators that it runs on.
        checkpoint: Whether to write a checkpoint first.
        reason: Short text that says why the attempt is stopped.
    """

    job_id: JobId
    attempt: int
    placement: Placement
    checkpoint: bool
    reason: str


@dataclass(frozen=True)
class DropJob:
    """Decision to end a job without another attempt.

    Attributes:
        job: The job.
        code: The result code for the caller.
        message: Human-readable explanation.
    """

    job: Job
    code: ResultCode
    message: str


Decision = StartJob | StopJob | DropJob
