"""Fold the records of the log into the state that all instances agree on."""

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
    "WriterMark",
    "ZoneTerm",
    "pack_state",
    "unpack_state",
]

RESULT_RETENTION_S = 86_400.0
"""Keep the answer of an ended job for this long."""

WRITER_RETENTION_S = 2 * 86_400.0
"""Remember the last number of a writer for this long."""


@dataclass(frozen=True)
class Verdict:
    """Say whether a record took effect.

    Attributes:
        offset: Where it stands on the log.
        ok: Whether it took effect.
        code: Why not, or DONE.
        message: One sentence for a person.
    """

    offset: int
    ok: bool
    code: ResultCode = ResultCode.DONE
    message: str = ""


@dataclass(frozen=True)
class ConfigInForce:
    """Hold the configuration in force.

    Attributes:
        version: One more than the log offset of its record, so that 0 is none.
        config: The configuration.
    """

    version: int
    config: Configuration


@dataclass(frozen=True)
class ZoneTerm:
    """Say who schedules an availability zone.

    Attributes:
        term: The term in force, 0 before the first claim.
        holder: The instance that won the claim.
        offset: The log offset of the claim.
        since_s: Seconds since 1970 when the log service took the claim.
    """

    term: int = 0
    holder: str = ""
    offset: int = 0
    since_s: float = 0.0


@dataclass(frozen=True)
class DurableJob:
    """Hold what the log says of one durable job.

    Attributes:
        request: What the caller asked for.
        zone: The availability zone that should run it.
        idempotent: Whether a second run does no harm.
        offset: The log offset where it was accepted.
        accepted_s: Seconds since 1970 when the log service took it.
        attempts: Starts intended so far.
        intent: The last intended start, None when there is none or it is
            known to be over.
        began: Whether an attempt did some work before it was stopped.
        cancelled: Whether its end was asked for after an intended start.
        outcome: The final answer, None while there is none.
        ended_s: Seconds since 1970 of the final answer.
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
class WriterMark:
    """Remember the newest number seen from a writer.

    Attributes:
        seq: The newest number.
        at_s: Seconds since 1970 when it was seen.
    """

    seq: int
    at_s: float


@dataclass
class LogState:
    """Hold everything that follows from the records read so far.

    Every instance that has read the same records holds the same state: it
    depends on nothing but their content and order.

    Attributes:
        next_offset: The first offset that is not in it.
        config: The configuration in force.
        zones: The scheduling term of each availability zone.
        jobs: The durable jobs by workspace and key.
        writers: The newest number of each writer.
    """

    next_offset: int = 0
    config: ConfigInForce | None = None
    zones: dict[str, ZoneTerm] = field(default_factory=dict)
    jobs: dict[str, DurableJob] = field(default_factory=dict)
    writers: dict[str, WriterMark] = field(default_factory=dict)

    def is_repeat(self, entry: Entry) -> bool:
        """Tell whether an entry is a second copy of one already folded.

        Args:
            entry: The entry.

        Returns:
            True when its writer's number is not new.
        """
        mark = self.writers.get(entry.writer)
        return mark is not None and entry.seq <= mark.seq

    def note_writer(self, entry: Entry) -> None:
        """Remember the newest number of an entry's writer.

        Args:
            entry: The entry, not a repeat.
        """
        self.writers[entry.writer] = WriterMark(entry.seq, entry.at_s)

    def apply(self, record: Record, entry: Entry) -> Verdict:
        """Fold one record.

        Args:
            record: The record, not a repeat.
            entry: Where it stands.

        Returns:
            Whether it took effect.
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
        """Forget ended jobs and writers that are past their retention.

        Args:
            now_s: Seconds since 1970, as stamped by the log service.
        """
        old = now_s - RESULT_RETENTION_S
        done = [
            name for name, job in self.jobs.items() if job.outcome is not None and job.ended_s < old
        ]
        for name in done:
            del self.jobs[name]
        silent = now_s - WRITER_RETENTION_S
        for writer in [name for name, mark in self.writers.items() if mark.at_s < silent]:
            del self.writers[writer]

    def job(self, job_id: JobId) -> DurableJob | None:
        """Find a durable job, or None."""
        return self.jobs.get(str(job_id))

    def zone_term(self, zone: str) -> ZoneTerm:
        """Return the scheduling term of an availability zone."""
        return self.zones.get(zone, ZoneTerm())

    def _publish(self, record: ConfigPublished, entry: Entry) -> Verdict:
        """Put a configuration in force if its author saw the newest one."""
        version = self.config.version if self.config else 0
        if record.base_version != version:
            reason = f"version {version} is in force, not {record.base_version}"
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, reason)
        self.config = ConfigInForce(entry.offset + 1, record.config)
        return Verdict(entry.offset, ok=True)

    def _claim(self, record: ZoneClaimed, entry: Entry) -> Verdict:
        """Give a zone to the first claim of the next term."""
        present = self.zone_term(record.zone)
        if record.term != present.term + 1:
            reason = f"{present.holder} holds term {present.term}"
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, reason)
        self.zones[record.zone] = ZoneTerm(record.term, record.holder, entry.offset, entry.at_s)
        return Verdict(entry.offset, ok=True)

    def _accept(self, record: JobAccepted, entry: Entry) -> Verdict:
        """Keep a job unless its key already stands for another."""
        known = self.job(record.request.job_id)
        if known is None:
            name = str(record.request.job_id)
            self.jobs[name] = DurableJob(
                record.request, record.zone, record.idempotent, entry.offset, entry.at_s
            )
            return Verdict(entry.offset, ok=True)
        if known.request.digest != record.request.digest:
            reason = "the key already stands for other work"
            return Verdict(entry.offset, False, ResultCode.KEY_REUSED, reason)
        return Verdict(entry.offset, ok=True)

    def _intend(self, record: StartIntended, entry: Entry) -> Verdict:
        """Allow a start only when nothing before it on the log forbids it."""
        job = self.job(record.job)
        term = self.zone_term(record.zone)
        refusal = None
        if job is None:
            refusal = "the job is not known"
        elif job.outcome is not None:
            refusal = "the job has ended"
        elif job.intent is not None:
            refusal = "another start may have happened"
        elif record.attempt != job.attempts + 1:
            refusal = "the attempt is out of turn"
        elif (term.term, term.holder) != (record.term, record.holder):
            refusal = "another instance schedules the zone"
        if refusal is not None:
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, refusal)
        self.jobs[str(record.job)] = replace(job, attempts=record.attempt, intent=record)
        return Verdict(entry.offset, ok=True)

    def _clear(self, record: AttemptCleared, entry: Entry) -> Verdict:
        """Take back an intended start that is known not to have happened."""
        job = self.job(record.job)
        if job is None or job.intent is None or job.intent.attempt != record.attempt:
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, "no such start")
        if job.outcome is not None:
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, "the job has ended")
        if record.term < self.zone_term(job.intent.zone).term:
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, "the term is over")
        cleared = replace(job, intent=None, began=job.began or record.began)
        if job.cancelled:
            cleared = self._cancelled(cleared, entry)
        self.jobs[str(record.job)] = cleared
        return Verdict(entry.offset, ok=True)

    def _cancel(self, record: CancelRequested, entry: Entry) -> Verdict:
        """End a job that has not started, or mark it to be stopped."""
        job = self.job(record.job)
        if job is None:
            return Verdict(entry.offset, False, ResultCode.UNKNOWN_JOB, "the job is not known")
        if job.outcome is not None:
            return Verdict(entry.offset, ok=True)
        if job.intent is None and not job.idempotent:
            # Every start of such a job stands on the log first, so none before
            # this record means that none will be allowed after it.
            self.jobs[str(record.job)] = self._cancelled(job, entry)
        else:
            self.jobs[str(record.job)] = replace(job, cancelled=True)
        return Verdict(entry.offset, ok=True)

    def _cancelled(self, job: DurableJob, entry: Entry) -> DurableJob:
        """End a cancelled job that is not running."""
        request = job.request
        code, message = ResultCode.CANCELLED, "cancelled before it started"
        if job.began:
            code, message = ResultCode.STOPPED, "cancelled after a part of it had run"
        outcome = Outcome(request.workspace, request.key, code, message)
        return replace(job, outcome=outcome, cancelled=True, ended_s=entry.at_s)

    def _end(self, record: JobEnded, entry: Entry) -> Verdict:
        """Keep the first final answer of a job."""
        job = self.job(record.outcome.job_id)
        if job is None:
            return Verdict(entry.offset, False, ResultCode.UNKNOWN_JOB, "the job is not known")
        if job.outcome is not None:
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, "the job has ended")
        if job.intent is not None and record.outcome.attempt != job.intent.attempt:
            reason = "the answer belongs to another attempt"
            return Verdict(entry.offset, False, ResultCode.CONFIG_CONFLICT, reason)
        ended = replace(job, outcome=record.outcome, ended_s=entry.at_s)
        self.jobs[str(record.outcome.job_id)] = ended
        return Verdict(entry.offset, ok=True)


def pack_state(state: LogState) -> str:
    """Compress a state so that it fits a record.

    Args:
        state: The state.

    Returns:
        Text in base 64.
    """
    return base64.b85encode(zlib.compress(to_json(state), level=6)).decode()


def unpack_state(text: str) -> LogState:
    """Read a state back.

    Args:
        text: What `pack_state` returned.

    Returns:
        The state.

    Raises:
        BadInputError: When the text is damaged.
    """
    try:
        raw = zlib.decompress(base64.b85decode(text))
    except (ValueError, zlib.error):
        raw = b""
    return check_json(LogState, raw, code=ResultCode.CORRUPT_RECORD)
