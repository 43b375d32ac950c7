"""Know every job from the records of the ledger."""

import threading
from dataclasses import dataclass

from loguru import logger

from catkinknot.model.exceptions import BadInputError

from ._records import CANCEL_SUFFIX, PHASE_SUFFIX, read_job
from ._spec import Job
from ._state import JobPhase

__all__ = ["JobEntry", "JobRegistry"]


@dataclass(slots=True)
class JobEntry:
    """Know one job.

    Attributes:
        job: What its caller handed in.
        phase: What the leader said last.
        cancelled: Whether a cancel is on the ledger.
    """

    job: Job
    phase: JobPhase = JobPhase.QUEUED
    cancelled: bool = False

    @property
    def reported_phase(self) -> JobPhase:
        """What a caller is told; a cancel counts unless the job had ended."""
        if self.cancelled and not self.phase.final:
            return JobPhase.CANCELLED
        return self.phase


class JobRegistry:
    """Fold the ledger's records into what is known of each job."""

    def __init__(self) -> None:
        """Begin with no job."""
        self._lock = threading.Lock()
        self._entries: dict[str, JobEntry] = {}
        self._log = logger.bind(part="book")

    def apply(self, key: str, value: bytes) -> str | None:
        """Take one record.

        Args:
            key: The record's key.
            value: Its value, empty when the key was dropped.

        Returns:
            The job that it changed, or None.
        """
        with self._lock:
            try:
                return self._apply(key, value)
            except (BadInputError, ValueError) as exc:
                self._log.bind(key=key, reason=str(exc)[:200]).error("A record can't be read.")
                return None

    def replace(self, records: dict[str, bytes]) -> None:
        """Take the newest record of every key in place of all that was known."""
        fresh = JobRegistry()
        for key in sorted(records):
            fresh.apply(key, records[key])
        with self._lock:
            self._entries = fresh._entries

    def get(self, job_id: str) -> JobEntry | None:
        """Return what is known of a job."""
        with self._lock:
            return self._entries.get(job_id)

    def entries(self) -> list[JobEntry]:
        """Return all jobs, in the order of their acceptance."""
        with self._lock:
            return list(self._entries.values())

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun."""
        return sum(
            entry.job.policy.queue == queue and entry.reported_phase is JobPhase.QUEUED
            for entry in self.entries()
        )

    def _apply(self, key: str, value: bytes) -> str | None:
        """Take one record under the lock."""
        if key.startswith("/"):
            return None
        job_id, slash, _ = key.partition("/")
        entry = self._entries.get(job_id)
        if not slash:
            return self._apply_job(job_id, entry, value)
        if entry is None or not value:
            return None
        if key.endswith(CANCEL_SUFFIX):
            entry.cancelled = True
        elif key.endswith(PHASE_SUFFIX) and not entry.phase.final:
            entry.phase = JobPhase(value.decode())
        return job_id

    def _apply_job(self, job_id: str, entry: JobEntry | None, value: bytes) -> str | None:
        """Take a job's own record; only the first one of an id counts."""
        if not value:
            self._entries.pop(job_id, None)
        elif entry is None:
            self._entries[job_id] = JobEntry(read_job(value))
        else:
            return None
        return job_id
