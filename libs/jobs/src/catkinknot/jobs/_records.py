"""Encode jobs and their state as ledger records, and decode them."""

import json

from pydantic import TypeAdapter, ValidationError

from catkinknot.model import ResultCode
from catkinknot.model.exceptions import BadInputError

from ._spec import Job
from ._state import StepKey, StepState, TaskPhase, TaskState

__all__ = [
    "CANCEL_SUFFIX",
    "PHASE_SUFFIX",
    "read_job",
    "read_step",
    "read_step_key",
    "write_job",
    "write_step",
]

CANCEL_SUFFIX = "/c"
PHASE_SUFFIX = "/s"

_JOB = TypeAdapter(Job)


def write_job(job: Job) -> bytes:
    """Return the value of a job's record."""
    return _JOB.dump_json(job, exclude_defaults=True)


def read_job(raw: bytes) -> Job:
    """Return the job that a record holds, or raise `BadInputError`."""
    try:
        return _JOB.validate_json(raw)
    except ValidationError as exc:
        raise BadInputError(ResultCode.CORRUPT_RECORD, [str(exc)]) from exc


def write_step(state: StepState) -> bytes:
    """Return the value of a step's record.

    A task in its initial state is written as 0, a task that is done as the number
    of its latest run: the report of an earlier run must be told from that of the latest.
    """
    rows: list[int | list[int | str]] = []
    for task in state.tasks:
        if task.phase is TaskPhase.DONE:
            rows.append(max(task.run, 1))
        elif task == TaskState():
            rows.append(0)
        else:
            row = [task.run, task.server, task.failures, task.checkpoint, task.failed_run]
            rows.append(row)
    return json.dumps(rows, separators=(",", ":")).encode()


def read_step(raw: bytes, count: int) -> list[TaskState]:
    """Return the tasks of a step's record, or raise `BadInputError`.

    Args:
        raw: Value of the record.
        count: Number of tasks of the step.
    """
    try:
        rows = json.loads(raw)
        tasks = [_read_task(row) for row in rows]
    except (ValueError, TypeError) as exc:
        raise BadInputError(ResultCode.CORRUPT_RECORD, [str(exc)]) from exc
    if len(tasks) != count:
        raise BadInputError(ResultCode.CORRUPT_RECORD, [f"{len(tasks)} tasks, expected {count}"])
    return tasks


def read_step_key(text: str) -> StepKey:
    """Return the step key that a record's key encodes, or raise `BadInputError`."""
    parts = text.split(".")
    if len(parts) != 3 or not (parts[1].isdigit() and parts[2].isdigit()):
        raise BadInputError(ResultCode.CORRUPT_RECORD, [f"{text!r} is not a step key"])
    return StepKey(parts[0], int(parts[1]), int(parts[2]))


def _read_task(row: int | list) -> TaskState:
    """Return the state of one task from its row in a step's record."""
    if row == 0:
        return TaskState()
    if isinstance(row, int):
        if row < 0:
            raise ValueError(f"a task can't have the state {row}")
        return TaskState(phase=TaskPhase.DONE, run=row)
    run, server, failures, checkpoint, failed_run = row
    phase = TaskPhase.ASSIGNED if server else TaskPhase.WAITING
    history = int(failures), str(checkpoint), int(failed_run)
    return TaskState(phase, int(run), str(server), *history)
