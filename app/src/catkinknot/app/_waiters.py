"""Hold the callers that wait for jobs, and recent outcomes."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from catkinknot.model import JobId, Outcome, ResultCode

__all__ = ["RecentOutcomes", "Waiters"]

_RETENTION_S = 300.0
_MAX_OUTCOME_COUNT = 20_000

OutcomeCallback = Callable[[Outcome | None], None]
"""Receives the outcome, or None if this scheduler does not know the job."""


@dataclass(frozen=True)
class _Waiter:
    """Caller that waits for a job.

    Attributes:
        answer: Receives the outcome.
        until_s: When to answer that the job is still running.
    """

    answer: OutcomeCallback
    until_s: float


class Waiters:
    """Callers that wait for jobs; each is answered once."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._by_job: dict[JobId, list[_Waiter]] = {}

    def add(self, job_id: JobId, answer: OutcomeCallback, until_s: float) -> None:
        """Add a caller that waits for a job.

        Args:
            job_id: The job.
            answer: Receives the outcome.
            until_s: When to answer that the job is still running.
        """
        self._by_job.setdefault(job_id, []).append(_Waiter(answer, until_s))

    def finish(self, outcome: Outcome) -> None:
        """Send the outcome to all callers that wait for its job."""
        for waiter in self._by_job.pop(outcome.job_id, []):
            waiter.answer(outcome)

    def expire(self, now: float) -> None:
        """Answer all callers whose wait has expired that the job is still running."""
        for job_id in list(self._by_job):
            expired = [w for w in self._by_job[job_id] if now >= w.until_s]
            if not expired:
                continue
            remaining = [w for w in self._by_job[job_id] if now < w.until_s]
            self._by_job[job_id] = remaining
            if not remaining:
                del self._by_job[job_id]
            outcome = Outcome(
                job_id.workspace, job_id.key, ResultCode.RUNNING, "the job has not ended yet"
            )
            for waiter in expired:
                waiter.answer(outcome)

    def abandon(self) -> None:
        """Answer all callers that this scheduler no longer knows their jobs."""
        waiting, self._by_job = self._by_job, {}
        for waiters in waiting.values():
            for waiter in waiters:
                waiter.answer(None)


class RecentOutcomes:
    """Recent outcomes of jobs that are not on the log, kept to answer repeated requests."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._outcomes: OrderedDict[JobId, tuple[float, str, Outcome]] = OrderedDict()

    def keep(self, digest: str, outcome: Outcome, now: float) -> None:
        """Keep an outcome, and evict the oldest ones beyond the limits.

        Args:
            digest: The digest of the request, empty if unknown.
            outcome: The outcome.
            now: The current time in seconds.
        """
        self._outcomes[outcome.job_id] = (now, digest, outcome)
        self._outcomes.move_to_end(outcome.job_id)
        while self._outcomes and (
            len(self._outcomes) > _MAX_OUTCOME_COUNT or self._oldest_expiry_s() < now
        ):
            self._outcomes.popitem(last=False)

    def find(self, job_id: JobId) -> tuple[str, Outcome] | None:
        """Return the digest and the outcome of a job, or None."""
        found = self._outcomes.get(job_id)
        return None if found is None else found[1:]

    def _oldest_expiry_s(self) -> float:
        """Return when the oldest outcome expires."""
        recorded_s, _, _ = next(iter(self._outcomes.values()))
        return recorded_s + _RETENTION_S
