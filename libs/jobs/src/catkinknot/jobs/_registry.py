"""Registry of all jobs, built from the records of the ledger."""

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
    """Job and its state in the ledger.

    Attributes:
        job: The job as its caller submitted it.
        phase: Latest phase that the leader recorded.
        cancelled: Whether the ledger holds a cancel request.
    """

    job: Job
    phase: JobPhase = JobPhase.QUEUED
    cancelled: bool = False

    @property
    def reported_phase(self) -> JobPhase:
        """Phase to report to callers; a cancel counts unless the job had ended."""
        if self.cancelled and not self.phase.final:
            return JobPhase.CANCELLED
        return self.phase


class JobRegistry:
    """Registry of jobs, updated from the records of the ledger.

    A cancel may come before the record of its job, which another instance or the
    store still holds up. It counts for the job whenever that comes.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self._lock = threading.Lock()
        self._entries: dict[str, JobEntry] = {}
        self._early_cancels: set[str] = set()
        self._log = logger.bind(part="book")

    def apply(self, key: str, value: bytes) -> str | None:
        """Apply one record.

        Args:
            key: Key of the record.
            value: Value of the record, empty if the key was deleted.

        Returns:
            The id of the job that was changed, or None.
        """
        with self._lock:
            try:
                return self._apply(key, value)
            except (BadInputError, ValueError) as exc:
                self._log.bind(key=key, reason=str(exc)[:200]).error("A record can't be read.")
                return None

    def replace(self, records: dict[str, bytes]) -> None:
        """Replace all entries by those of a snapshot, the newest record of every key."""
        replacement = JobRegistry()
        for key in sorted(records):
            replacement.apply(key, records[key])
        with self._lock:
            self._entries = replacement._entries
            self._early_cancels = replacement._early_cancels

    def get(self, job_id: str) -> JobEntry | None:
        """Return the entry of a job, or None."""
        with self._lock:
            return self._entries.get(job_id)

    def entries(self) -> list[JobEntry]:
        """Return the entries of all jobs, in the order of their acceptance."""
        with self._lock:
            return list(self._entries.values())

    def early_cancels(self) -> frozenset[str]:
        """Return the ids of the cancelled jobs that the ledger does not hold."""
        with self._lock:
            return frozenset(self._early_cancels)

    def is_cancelled_early(self, job_id: str) -> bool:
        """Return whether a job is cancelled that the ledger does not hold."""
        with self._lock:
            return job_id in self._early_cancels

    def count_waiting(self, queue: str) -> int:
        """Return the number of queued jobs of a queue."""
        return sum(
            entry.job.policy.queue == queue and entry.reported_phase is JobPhase.QUEUED
            for entry in self.entries()
        )

    def _apply(self, key: str, value: bytes) -> str | None:
        """Apply one record; the caller holds the lock."""
        if key.startswith("/"):
            return None
        job_id, slash, _ = key.partition("/")
        entry = self._entries.get(job_id)
        if not slash:
            return self._apply_job(job_id, entry, value)
        if entry is None and key.endswith(CANCEL_SUFFIX):
            self._apply_early_cancel(job_id, value)
        if entry is None or not value:
            return None
        if key.endswith(CANCEL_SUFFIX):
            entry.cancelled = True
        elif key.endswith(PHASE_SUFFIX) and not entry.phase.final:
            entry.phase = JobPhase(value.decode())
        return job_id

    def _apply_job(self, job_id: str, entry: JobEntry | None, value: bytes) -> str | None:
        """Apply a job's own record; only the first one of each id counts."""
        if not value:
            self._entries.pop(job_id, None)
        elif entry is None:
            cancelled = job_id in self._early_cancels
            self._entries[job_id] = JobEntry(read_job(value), cancelled=cancelled)
            self._early_cancels.discard(job_id)
            if cancelled:
                self._log.bind(job=job_id).info("A job came after its cancel, and never runs.")
        else:
            return None
        return job_id

    def _apply_early_cancel(self, job_id: str, value: bytes) -> None:
        """Apply the cancel of a job that the ledger does not hold, or its deletion."""
        if value:
            self._early_cancels.add(job_id)
        else:
            self._early_cancels.discard(job_id)
