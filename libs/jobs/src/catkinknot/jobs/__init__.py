"""Describe jobs of steps and tasks, and track their state."""

from ._config import Configuration, Limits, Queue, Service, Workspace, select_queue
from ._records import (
    CANCEL_SUFFIX,
    PHASE_SUFFIX,
    read_job,
    read_step,
    read_step_key,
    write_job,
    write_step,
)
from ._registry import JobEntry, JobRegistry
from ._spec import AdviserTimings, Job, Policy, Resources, Schedule, Step
from ._state import JobPhase, RunOutcome, StepKey, StepState, TaskPhase, TaskState

__all__ = [
    "CANCEL_SUFFIX",
    "PHASE_SUFFIX",
    "AdviserTimings",
    "Configuration",
    "Job",
    "JobEntry",
    "JobPhase",
    "JobRegistry",
    "Limits",
    "Policy",
    "Queue",
    "Resources",
    "RunOutcome",
    "Schedule",
    "Service",
    "Step",
    "StepKey",
    "StepState",
    "TaskPhase",
    "TaskState",
    "Workspace",
    "read_job",
    "read_step",
    "read_step_key",
    "select_queue",
    "write_job",
    "write_step",
]
