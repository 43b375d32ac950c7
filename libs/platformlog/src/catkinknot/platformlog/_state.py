"""State that results from the records of the log, the same on all instances."""

import base64
import zlib
from dataclasses import field, replace

from pydantic.dataclasses import dataclass

from catkinknot.model import (
    Configuration,
    JobId,
    JobRequest,
    Outcome,
    ResultCode,
    check_json,
    to_json,
)

from ._records import (
    AttemptCleared,
    CancelRequested,
    ConfigPublished,
    Entry,
    JobAccepted,
    JobEnded,
    Record,
    SnapshotTaken,
    StartIntended,
    ZoneClaimed,
)

__all__ = [
    "ConfigInForce",
    "DurableJob",
    "LogState",
    "Verdict",
    "WriterPosition",
    "ZoneTerm",
    "pack_state",
    "unpack_state",
]

RESULT_RETENTION_S = 86_400.0
"""Retention of the outcome of an ended job."""

WRITER_RETENTION_S = 2 * 86_400.0
"""Retention of the newest sequence number of a writer."""


@dataclass(frozen=True)
class Verdict:
    """Whether a record took effect.

    Attributes:
        offset: The record's offset on the log.
        ok: Whether the record took effect.
        code: The code of the refusal, DONE for none.
        message: A readable reason for the refusal, empty for none.
    """

    offset: int
    ok: bool
    code: ResultCode = ResultCode.DONE
    message: str = ""


@dataclass(frozen=True)
class ConfigInForce:
    """Current configuration with its version.

    Attributes:
        version: One more than the log offset of its record, so that 0 means
            no configuration.
        config: The configuration.
    """

    version: int
    config: Configuration


@dataclass(frozen=True)
class ZoneTerm:
    """Current scheduling term of an availability zone.

    Attributes:
        term: The current term, 0 before the first claim.
        holder: The instance that won the claim and its lifetime, as
            ``instance:boot``; empty before the first claim.
        offset: The log offset of the claim.
        since_s: When the log service appended the claim, in seconds since
            1970.
    """

    term: int = 0
    holder: str = ""
    offset: int = 0
    since_s: float = 0.0


@dataclass(frozen=True)
class DurableJob:
    """State of one durable job according to the log.

    Attributes:
        request: The caller's request.
        zone: The availability zone that should run the job.
        idempotent: Whether the job may run more than once.
        offset: The log offset of the acceptance.
        accepted_s: When the log service appended the acceptance, in seconds
            since 1970.
        attempts: The number of starts intended so far.
        intent: The last intended start, None if there is none or it is known
            to be over.
        began: Whether an attempt did some work before it was stopped.
        cancelled: Whether the job's cancellation was requested; it may still
            be running while it has no outcome.
        outcome: The final outcome, None while there is none.
        ended_s: When the log service appended the final outcome, in seconds
            since 1970.
    """

    request: JobRequest
    zone: str
    idempotent: bool
    offset: int
    accepted_s: float
    attempts: int = 0
    intent: StartIntended | None = None
    began: bool = False
    cancelled: bool = False
    outcome: Outcome | None = None
    ended_s: float = 0.0


@dataclass
class WriterPosition:
    """Newest sequence number of a writer.

    Attributes:
        seq: The sequence number.
        at_s: When the log service appended its record, in seconds since 1970.
    """

    seq: int
    at_s: float


@dataclass
class LogState:
    """State that results from the records read so far.

    Instances that have read the same records have the same state, because it
    depends only on the content and the order of the records.

    Attributes:
        next_offset: The first offset that the state does not include.
        config: The current configuration, None before the first.
        zones: The scheduling term of each availability zone.
        jobs: The durable jobs by workspace and key.
        writers: The newest sequence number of each writer.
    """

    next_offset: int = 0
    config: ConfigInForce | None = None
    zones: dict[str, ZoneTerm] = field(default_factory=dict)
    jobs: dict[str, DurableJob] = field(default_factory=dict)
    writers: dict[str, WriterPosition] = field(default_factory=dict)

    def is_duplicate(self, entry: Entry) -> bool:
        """Return whether an entry is a copy of one that was already applied.

        Args:
            entry: The entry.

        Returns:
            True if its sequence number is not above its writer's newest.
        """
        position = self.writers.get(entry.writer)
        return position is not None and entry.seq <= position.seq

    def record_writer(self, entry: Entry) -> None:
        """Store the newest sequence number of an entry's writer.

        Args:
            entry: The entry, not a duplicate.
        """
        self.writers[entry.writer] = WriterPosition(entry.seq, entry.at_s)

    def apply(self, record: Record, entry: Entry) -> Verdict:
        """Apply one record.

        Args:
            record: The record, not a duplicate.
            entry: The record's entry on the log.

        Returns:
            Whether the record took effect.
        """
        match record:
            case ConfigPublished():
                return self._publish(record, entry)
            case ZoneClaimed():
                return self._claim(record, entry)
            case JobAccepted():
                return self._accept(record, entry)
            case StartIntended():
                return self._intend(record, entry)
            case AttemptCleared():
                return self._clear(record, entry)
            case CancelRequested():
                return self._cancel(record, entry)
            case JobEnded():
                return self._end(record, entry)
            case SnapshotTaken():
                return Verdict(entry.offset, ok=True)

    def expire(self, now_s: float) -> None:
        """Drop ended jobs and writers that are past their retention.

        Args:
            now_s: Seconds since 1970, as stamped by the log service.
        """
        ended_cutoff_s = now_s - RESULT_RETENTION_S
        expired = [
            name
            for name, job in self.jobs.items()
            if job.outcome is not None and job.ended_s < ended_cutoff_s
        ]
        for name in expired:
            del self.jobs[name]
        writer_cutoff_s = now_s - WRITER_RETENTION_S
        for writer in [
            name for name, position in self.writers.items() if position.at_s < writer_cutoff_s
        ]:
            del self.writers[writer]

    def job(self, job_id: JobId) -> DurableJob | None:
        """Return a durable job, or None if it is unknown."""
        return self.jobs.get(str(job_id))

    def zone_term(self, zone: str) -> ZoneTerm:
        """Return the scheduling term of an availability zone."""
        return self.zones.get(zone, ZoneTerm())

    def _publish(self, record: ConfigPublished, entry: Entry) -> Verdict:
        """Apply a configuration if it is based on the current version."""
        version = self.config.version if self.config else 0
        if record.base_version != version:
            reason = f"version {version} is in force, not {record.base_version}"
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, reason)
        self.config = ConfigInForce(entry.offset + 1, record.config)
        return Verdict(entry.offset, ok=True)

    def _claim(self, record: ZoneClaimed, entry: Entry) -> Verdict:
        """Grant a zone to the first claim on the next term."""
        current = self.zone_term(record.zone)
        if record.term != current.term + 1:
            reason = f"{current.holder} holds term {current.term}"
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, reason)
        self.zones[record.zone] = ZoneTerm(record.term, record.holder, entry.offset, entry.at_s)
        return Verdict(entry.offset, ok=True)

    def _accept(self, record: JobAccepted, entry: Entry) -> Verdict:
        """Add a job unless its key is in use for a different request."""
        existing = self.job(record.request.job_id)
        if existing is None:
            name = str(record.request.job_id)
            self.jobs[name] = DurableJob(
                record.request, record.zone, record.idempotent, entry.offset, entry.at_s
            )
            return Verdict(entry.offset, ok=True)
        if existing.request.digest != record.request.digest:
            reason = "the key is in use for a different request"
            return Verdict(entry.offset, False, ResultCode.KEY_REUSED, reason)
        return Verdict(entry.offset, ok=True)

    def _intend(self, record: StartIntended, entry: Entry) -> Verdict:
        """Allow a start unless an earlier record on the log forbids it."""
        job = self.job(record.job)
        term = self.zone_term(record.zone)
        refusal = None
        if job is None:
            refusal = "the job is not known"
        elif job.outcome is not None:
            refusal = "the job has ended"
        elif job.intent is not None:
            refusal = "an earlier start is unresolved"
        elif record.attempt != job.attempts + 1:
            refusal = "the attempt number is not the next one"
        elif (term.term, term.holder) != (record.term, record.holder):
            refusal = "another instance schedules the zone"
        if refusal is not None:
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, refusal)
        self.jobs[str(record.job)] = replace(job, attempts=record.attempt, intent=record)
        return Verdict(entry.offset, ok=True)

    def _clear(self, record: AttemptCleared, entry: Entry) -> Verdict:
        """Withdraw an intended start whose attempt is known not to be running."""
        job = self.job(record.job)
        if job is None or job.intent is None or job.intent.attempt != record.attempt:
            return Verdict(
                entry.offset, False, ResultCode.CONFIG_CONFLICT, "there is no such start"
            )
        if job.outcome is not None:
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, "the job has ended")
        if record.term < self.zone_term(job.intent.zone).term:
            return Verdict(
                entry.offset, False, ResultCode.CONFIG_CONFLICT, "the term was superseded"
            )
        cleared = replace(job, intent=None, began=job.began or record.began)
        if job.cancelled:
            cleared = self._end_cancelled(cleared, entry)
        self.jobs[str(record.job)] = cleared
        return Verdict(entry.offset, ok=True)

    def _cancel(self, record: CancelRequested, entry: Entry) -> Verdict:
        """End a job that has not started, or mark it as cancelled."""
        job = self.job(record.job)
        if job is None:
            return Verdict(entry.offset, False, ResultCode.UNKNOWN_JOB, "the job is not known")
        if job.outcome is not None:
            return Verdict(entry.offset, ok=True)
        if job.intent is None and not job.idempotent:
            # Each start of such a job is recorded on the log first. If there is
            # none before this record, none will be allowed after it.
            self.jobs[str(record.job)] = self._end_cancelled(job, entry)
        else:
            self.jobs[str(record.job)] = replace(job, cancelled=True)
        return Verdict(entry.offset, ok=True)

    def _end_cancelled(self, job: DurableJob, entry: Entry) -> DurableJob:
        """Return a cancelled job that is not running with its final outcome."""
        request = job.request
        code, message = ResultCode.CANCELLED, "cancelled before it started"
        if job.began:
            code, message = ResultCode.STOPPED, "cancelled after a part of it had run"
        outcome = Outcome(request.workspace, request.key, code, message)
        return replace(job, outcome=outcome, cancelled=True, ended_s=entry.at_s)

    def _end(self, record: JobEnded, entry: Entry) -> Verdict:
        """Store the first final outcome of a job."""
        job = self.job(record.outcome.job_id)
        if job is None:
            return Verdict(entry.offset, False, ResultCode.UNKNOWN_JOB, "the job is not known")
        if job.outcome is not None:
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, "the job has ended")
        if job.intent is not None and record.outcome.attempt != job.intent.attempt:
            reason = "the outcome belongs to another attempt"
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, reason)
        ended = replace(job, outcome=record.outcome, ended_s=entry.at_s)
        self.jobs[str(record.outcome.job_id)] = ended
        return Verdict(entry.offset, ok=True)


def pack_state(state: LogState) -> str:
    """Compress a state so that it fits into a record.

    Args:
        state: The state.

    Returns:
        The state as base 85 text.
    """
    return base64.b85encode(zlib.compress(to_json(state), level=6)).decode()


def unpack_state(text: str) -> LogState:
    """Unpack a state.

    Args:
        text: The text returned by `pack_state`.

    Returns:
        The state.

    Raises:
        BadInputError: If the text is damaged.
    """
    try:
        raw = zlib.decompress(base64.b85decode(text))
    except (ValueError, zlib.error):
        raw = b""
    return check_json(LogState, raw, code=ResultCode.CORRUPT_RECORD)
