"""Records that the instances append to the platform's log."""

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
    """New configuration, which replaces one specific version.

    Attributes:
        base_version: The version that the operator saw and means to replace,
            0 for none.
        config: The new configuration.
        operator: The name of the operator who published it.
    """

    base_version: int
    config: Configuration
    operator: str = ""
    type: Literal["config_published"] = "config_published"


@dataclass(frozen=True)
class ZoneClaimed:
    """Claim of an instance on the next term of an availability zone.

    Attributes:
        zone: The availability zone.
        term: The claimed term, one more than the current one.
        holder: The claiming instance and its lifetime, as ``instance:boot``.
    """

    zone: str
    term: int
    holder: str
    type: Literal["zone_claimed"] = "zone_claimed"


@dataclass(frozen=True)
class JobAccepted:
    """Acceptance of a durable job.

    Attributes:
        request: The caller's request.
        zone: The availability zone that should run the job.
        idempotent: Whether the job may run more than once.
    """

    request: JobRequest
    zone: str
    idempotent: bool
    type: Literal["job_accepted"] = "job_accepted"


@dataclass(frozen=True)
class StartIntended:
    """Intended start of a job that must not run twice.

    Attributes:
        job: The job.
        attempt: The attempt's number, one more than the last.
        zone: The availability zone that will run the job.
        term: The holder's term.
        holder: The instance that starts the job and its lifetime, as in its
            claim on the zone.
        servers: The backend servers that the start is sent to.
        boots: The lifetime of each server, which shows later whether the
            server can still know of the start.
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
    """Proof that an attempt is not running and will never run.

    Attributes:
        job: The job.
        attempt: The attempt's number.
        term: The term of the holder that queried the backend servers.
        reason: How it is known that the attempt cannot run.
        began: Whether the attempt did some work before it stopped at a
            checkpoint.
    """

    job: JobId
    attempt: int
    term: int
    reason: str
    began: bool
    type: Literal["attempt_cleared"] = "attempt_cleared"


@dataclass(frozen=True)
class CancelRequested:
    """Request to cancel a job.

    Attributes:
        job: The job that is to end.
    """

    job: JobId
    type: Literal["cancel_requested"] = "cancel_requested"


@dataclass(frozen=True)
class JobEnded:
    """Final outcome of a job.

    Attributes:
        outcome: The outcome; only the first one recorded for a job takes
            effect.
    """

    outcome: Outcome
    type: Literal["job_ended"] = "job_ended"


@dataclass(frozen=True)
class SnapshotTaken:
    """Snapshot of the state that results from all records before an offset.

    Attributes:
        covers: The first offset that the state does not include.
        state: The state as returned by `pack_state`.
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
"""Any record that this library writes to the log."""


@dataclass(frozen=True)
class Entry:
    """Entry of the log.

    Attributes:
        offset: The entry's position in the log.
        at_s: When the log service appended the entry, in seconds since 1970.
        writer: The name of the writer.
        seq: The writer's sequence number of the record.
        data: The record as JSON text.
    """

    offset: int
    at_s: float
    writer: str
    seq: int
    data: str


def encode_record(record: Record) -> str:
    """Encode a record as JSON text.

    Args:
        record: The record.

    Returns:
        The text.
    """
    return model_json(record).decode()


def decode_record(data: str) -> Record:
    """Decode a record from JSON text.

    Args:
        data: The text.

    Returns:
        The record.

    Raises:
        BadInputError: With code CORRUPT_RECORD if the text is not a known
            record.
    """
    return check_json(Record, data, code=ResultCode.CORRUPT_RECORD)
