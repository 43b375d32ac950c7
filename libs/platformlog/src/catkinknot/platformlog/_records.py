"""Define the records that the instances keep on the platform's log."""

from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from catkinknot.model import Configuration, JobId, JobRequest, Outcome, ResultCode, check_json
from catkinknot.model import to_json as model_json

__all__ = [
    "AttemptCleared",
    "CancelRequested",
    "ConfigPublished",
    "Entry",
    "JobAccepted",
    "JobEnded",
    "Record",
    "SnapshotTaken",
    "StartIntended",
    "ZoneClaimed",
    "decode_record",
    "encode_record",
]


@dataclass(frozen=True)
class ConfigPublished:
    """Offer a configuration to take the place of a known version.

    Attributes:
        base_version: The version that the operator saw, 0 for none.
        config: The new configuration.
        operator: Who published it.
    """

    base_version: int
    config: Configuration
    operator: str = ""
    type: Literal["config_published"] = "config_published"


@dataclass(frozen=True)
class ZoneClaimed:
    """Claim the scheduling of one availability zone.

    Attributes:
        zone: The availability zone.
        term: The claimed term, one more than the one in force.
        holder: The claiming instance.
    """

    zone: str
    term: int
    holder: str
    type: Literal["zone_claimed"] = "zone_claimed"


@dataclass(frozen=True)
class JobAccepted:
    """Keep a durable job.

    Attributes:
        request: What the caller asked for.
        zone: The availability zone that should run it.
        idempotent: Whether a second run does no harm.
    """

    request: JobRequest
    zone: str
    idempotent: bool
    type: Literal["job_accepted"] = "job_accepted"


@dataclass(frozen=True)
class StartIntended:
    """Announce the start of a job that must not run twice.

    Attributes:
        job: The job.
        attempt: The attempt, one more than the last.
        zone: The availability zone that will run it.
        term: The term under which the holder decides.
        holder: The deciding instance.
        servers: The backend servers that get the start.
        boots: The run of each server, by which it is known later whether the
            server could still remember the start.
    """

    job: JobId
    attempt: int
    zone: str
    term: int
    holder: str
    servers: tuple[str, ...]
    boots: tuple[str, ...]
    type: Literal["start_intended"] = "start_intended"


@dataclass(frozen=True)
class AttemptCleared:
    """Record the proof that an attempt is not running and never will.

    Attributes:
        job: The job.
        attempt: The attempt.
        term: The term of the holder that asked the backend servers.
        reason: How it is known.
        began: Whether it did some work before it stopped at a checkpoint.
    """

    job: JobId
    attempt: int
    term: int
    reason: str
    began: bool
    type: Literal["attempt_cleared"] = "attempt_cleared"


@dataclass(frozen=True)
class CancelRequested:
    """Ask for a job to end.

    Attributes:
        job: The job.
    """

    job: JobId
    type: Literal["cancel_requested"] = "cancel_requested"


@dataclass(frozen=True)
class JobEnded:
    """Keep the final answer of a job.

    Attributes:
        outcome: The answer.
    """

    outcome: Outcome
    type: Literal["job_ended"] = "job_ended"


@dataclass(frozen=True)
class SnapshotTaken:
    """Keep the state that follows from all records before an offset.

    Attributes:
        covers: The first offset that the state does not include.
        state: The state, compressed and in base 64.
    """

    covers: int
    state: str
    type: Literal["snapshot_taken"] = "snapshot_taken"


Record = Annotated[
    ConfigPublished
    | ZoneClaimed
    | JobAccepted
    | StartIntended
    | AttemptCleared
    | CancelRequested
    | JobEnded
    | SnapshotTaken,
    Field(discriminator="type"),
]
"""Any record of ours on the log."""


@dataclass(frozen=True)
class Entry:
    """Wrap what the log service returns for one offset.

    Attributes:
        offset: The place in the log.
        at_s: Seconds since 1970 when the log service took it.
        writer: Who appended it.
        seq: The writer's own number for it.
        data: The record as JSON text.
    """

    offset: int
    at_s: float
    writer: str
    seq: int
    data: str


def encode_record(record: Record) -> str:
    """Write a record as JSON text.

    Args:
        record: The record.

    Returns:
        The text.
    """
    return model_json(record).decode()


def decode_record(data: str) -> Record:
    """Read a record from JSON text.

    Args:
        data: The text.

    Returns:
        The record.

    Raises:
        BadInputError: With code CORRUPT_RECORD when it is none of ours.
    """
    return check_json(Record, data, code=ResultCode.CORRUPT_RECORD)
